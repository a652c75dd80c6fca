"""Relays one request: finds its route, has its stages done, sends it and passes the answer on."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import attrs
from expression import Result

from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request import deadline as deadlines
from sesamehold.request.gateway import admission
from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import event_stream
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.request.gateway import target_search
from sesamehold.version import routing

# Answers up to this size are checked as a whole before the caller gets a byte of them.
MAX_BUFFERED_BYTES = 262_144
# Targets that end are back, or replaced, within a few hundred milliseconds at best.
NO_TARGET_RETRY_MS = 400
# Time that a target needs at least; less is not worth a send.
MIN_REMAINING_MS = 30
# A stream that may be resumed is resumed after a pause of this many wanted pauses.
RESUME_AFTER_GAPS = 3
MIN_RESUME_AFTER_MS = 800
MAX_URGENCY = 9
# Engines fetch stage results as soon as a request begins, and take milliseconds for it; the room
# is given back after this time. An engine that had the request wait refuses it, and the stages are
# done again.
INPUT_READ_S = 0.06
_MS_PER_S = 1_000


@attrs.frozen
class RelayParts:
    """What relays use of the process."""

    state: states.GatewayState
    codec: ports.RequestCodec
    client: ports.TargetClient
    stages: ports.StageRunner


@attrs.define(eq=False)
class Relay:
    """Progress of one request."""

    _parts: RelayParts
    _incoming: admission.Incoming
    _sink: ports.AnswerSink
    _attempts: attempts.Attempts = attrs.field(init=False)
    _route: routing.Route = attrs.field(init=False)
    _account: routing.RoutedAccount | None = None
    _service: str = ""
    _deadline: deadlines.Deadline = attrs.field(init=False)
    _fingerprint: bytes = b""
    _search: target_search.TargetSearch = attrs.field(init=False)
    _results: ports.StageResults | None = None
    _has_stages: bool = False
    _inputs_freed: bool = False
    _begun: bool = False
    _splitter: event_stream.EventSplitter = attrs.field(factory=event_stream.EventSplitter)
    _fallback: _Held | None = None
    _in_flight: bool = False
    _stages_ms: int | None = None
    _answer_ms: int | None = None
    _outcome: str = ""

    @property
    def outcome(self) -> str:
        """Returns how the request ended, for logs and metrics."""
        return self._outcome

    async def run(self) -> None:
        """Serves the request until the caller has its final answer.

        Cancellation means that the caller has left; targets stop because their connection closes.
        """
        match admission.admit(self._parts.state, self._incoming):
            case Result(tag="ok", ok=admitted):
                self._take(admitted)
            case Result(error=refusal):
                await self._refuse(refusal)
                return
        remaining_ms = self._deadline.remaining_ms(self._now_ms())
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S):
                await self._serve()
        except TimeoutError:
            await self._give_up(messages.Reason.TOO_LATE)
        except asyncio.CancelledError:
            self._outcome = self._outcome or "caller-left"
            raise
        finally:
            if self._has_stages:
                self._parts.stages.release(self._incoming.head.request_id)
            self._report()

    def _take(self, admitted: admission.Admitted) -> None:
        self._route = admitted.route
        self._account = admitted.account
        self._service = admitted.service
        self._deadline = admitted.deadline
        self._fingerprint = admitted.fingerprint
        self._attempts = attempts.Attempts(admitted.route.repeatable, admitted.route.attempts)
        self._splitter.last_id = self._incoming.head.last_event_id
        self._search = target_search.TargetSearch(
            self._parts.state, admitted.route, self._service, self._incoming.head
        )

    # ---- stages --------------------------------------------------------------------------------

    async def _serve(self) -> None:
        if self._route.stages and not await self._do_stages():
            return
        while True:
            target = await self._search.find(self._results)
            if target is None:
                await self._give_up(messages.Reason.NO_TARGET)
                return
            step = await self._attempt(target)
            if step is None:
                return
            if step is attempts.Step.REDO_STAGES:
                self._parts.stages.release(self._incoming.head.request_id)
                if not await self._do_stages():
                    return

    async def _do_stages(self) -> bool:
        head = self._incoming.head
        counts = head.piece_counts
        works = tuple(
            ports.StageWork(index, stage.service, stage.after, count, stage.result_size_bytes)
            for index, (stage, count) in enumerate(zip(self._route.stages, counts, strict=False))
        )
        if not any(work.piece_count for work in works):
            self._results = ports.StageResults(())
            return True
        now_ms = self._now_ms()
        self._has_stages = True
        self._inputs_freed = False
        request = ports.StageRequest(
            request_id=head.request_id,
            piece_key=head.piece_key,
            stages=works,
            urgency=self._rank(),
            aim_ms=self._route.aim_ms - (now_ms - self._incoming.arrived_ms),
            deadline_ms=self._deadline.remaining_ms(now_ms),
            request_ms=self._parts.state.route_pace.expected_ms(self._route.name),
            preferred_zone=self._search.preferred_zone(),
        )
        match await self._parts.stages.run(request):
            case Result(tag="ok", ok=results):
                self._results = results
                self._stages_ms = self._now_ms() - now_ms
                seconds = self._stages_ms / _MS_PER_S
                self._parts.state.measures.stage_seconds.labels(self._route.name).observe(seconds)
                return True
            case Result(error=failure):
                self._log("request.stages-failed", reason=failure.kind)
                await self._give_up(messages.Reason.STAGES_FAILED, failure.retry_after_ms)
                return False

    # ---- one attempt ---------------------------------------------------------------------------

    async def _attempt(self, target: targets.Target) -> attempts.Step | None:
        """Sends the request once; returns what follows, None if it has its final answer."""
        state = self._parts.state
        started_ms = self._now_ms()
        self._search.tried.add(target.incarnation)
        state.choice.record_start(target)
        self._in_flight = True
        try:
            result = await self._exchange(target, started_ms)
            self._in_flight = False
        finally:
            state.choice.record_end(target)
        if result is None:
            return None
        return await self._follow(target, result)

    async def _exchange(self, target: targets.Target, started_ms: int) -> attempts.Result | None:
        order = messages.SendOrder(
            remaining_ms=self._deadline.remaining_ms(started_ms),
            expected_target_id=target.target_id,
            account=self._account.name if self._account is not None else None,
            urgency=self._rank() if self._incoming.head.prompt is not None else None,
            inputs=None if self._results is None else self._results.handles,
            last_event_id=self._splitter.last_id,
        )
        body = self._incoming.body
        size_bytes = None if body is None else len(body)
        head = self._parts.codec.send_head(self._incoming.head, order, size_bytes)
        loop = asyncio.get_running_loop()
        reading = loop.call_later(INPUT_READ_S, self._release_inputs)
        try:
            sent = await self._parts.client.send(
                target,
                head + (body or b""),
                self._incoming.head.request_id,
                reuse=self._route.repeatable,
            )
        finally:
            reading.cancel()
        match sent:
            case Result(tag="ok", ok=answer):
                return await self._take_answer(target, answer, started_ms)
            case Result(error=fault):
                return self._take_fault(target, fault, started_ms)

    def _take_fault(
        self, target: targets.Target, fault: ports.ExchangeFault, started_ms: int
    ) -> attempts.Result:
        state = self._parts.state
        now_ms = self._now_ms()
        self._log("attempt.failed", target=target.target_id, fault=fault.kind, sent=fault.sent)
        if not fault.sent:
            state.choice.record_unreachable(target, now_ms)
            return attempts.Result.NOT_SENT
        state.choice.record_failure(target, now_ms)
        if fault.broken:
            self._note_crash(started_ms)
        return attempts.Result.UNKNOWN

    async def _take_answer(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.Result | None:
        state = self._parts.state
        head = answer.head
        result = attempts.classify(head)
        try:
            if result is attempts.Result.ANSWERED and head.succeeded:
                return await self._pass_success(target, answer, started_ms)
            body = await self._read_all(answer)
        except ports.BrokenAnswerError as error:
            self._log("attempt.broken", target=target.target_id, fault=str(error))
            state.choice.record_failure(target, self._now_ms())
            self._note_crash(started_ms)
            return attempts.Result.NOT_RUN if head.not_run else attempts.Result.UNKNOWN
        finally:
            answer.release()
        self._note_failure_answer(target, head, result)
        if result in {attempts.Result.FAILED, attempts.Result.ANSWERED} and body is not None:
            self._fallback = _Held(head, body)
        return result

    def _note_failure_answer(
        self, target: targets.Target, head: messages.AnswerHead, result: attempts.Result
    ) -> None:
        state = self._parts.state
        now_ms = self._now_ms()
        state.suspects.record_success(self._fingerprint, "", now_ms)
        if result is attempts.Result.ANSWERED:
            return
        self._log(
            "attempt.failed", target=target.target_id, status=head.status, result=result.value
        )
        if result is attempts.Result.NOT_RUN:
            state.choice.record_rejection(target, now_ms)
        if result is not attempts.Result.INPUTS_GONE:
            state.choice.record_failure(target, now_ms)

    async def _pass_success(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.Result | None:
        if self._route.kind is routing.RequestKind.STREAMING:
            return await self._pass_stream(target, answer, started_ms)
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in answer.chunks():
            if self._begun:
                await self._sink.chunk(chunk)
                continue
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BYTES:
                await self._begin(answer.head)
                await self._sink.chunk(b"".join(chunks))
        self._note_success(target, started_ms)
        if self._begun:
            await self._finish()
        else:
            self._outcome = "served"
            await self._sink.whole(answer.head.status, answer.head.headers, b"".join(chunks))
        return None

    async def _pass_stream(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.Result | None:
        first = True
        self._splitter.drop_rest()
        chunks = answer.chunks()
        while True:
            chunk = await self._next_chunk(chunks, first=first)
            if chunk is None:
                break
            events = self._splitter.feed(chunk)
            if not events:
                continue
            if first:
                first = False
                self._note_success(target, started_ms)
                self._release_inputs()
            if not self._begun:
                await self._begin(answer.head)
            await self._sink.chunk(events)
        if self._splitter.has_rest or not self._begun:
            raise ports.BrokenAnswerError("the stream ended within an event")
        await self._finish()
        return None

    async def _next_chunk(self, chunks: AsyncIterator[bytes], *, first: bool) -> bytes | None:
        if not self._route.resumable:
            return await anext(chunks, None)
        bound_ms = max(MIN_RESUME_AFTER_MS, self._route.gap_aim_ms * RESUME_AFTER_GAPS)
        if first:
            bound_ms = max(bound_ms, self._route.aim_ms)
        silence = asyncio.timeout(bound_ms / _MS_PER_S)
        try:
            async with silence:
                return await anext(chunks, None)
        except TimeoutError:
            if silence.expired():
                raise ports.BrokenAnswerError("silent") from None
            raise

    def _release_inputs(self) -> None:
        # The engine has read them; the results take up room that other requests wait for.
        if self._has_stages:
            self._parts.stages.release(self._incoming.head.request_id)
            self._has_stages = False
            self._inputs_freed = True

    async def _read_all(self, answer: ports.TargetAnswer) -> bytes | None:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in answer.chunks():
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BYTES:
                return None
        return b"".join(chunks)

    # ---- after an attempt ----------------------------------------------------------------------

    async def _follow(
        self, target: targets.Target, result: attempts.Result
    ) -> attempts.Step | None:
        step = self._attempts.after(result)
        state = self._parts.state
        state.measures.attempts.labels(self._service, result.value).inc()
        if step in {attempts.Step.SEND_AGAIN, attempts.Step.REDO_STAGES}:
            step = self._checked(step, result)
        if step is attempts.Step.PASS_ANSWER and self._fallback is not None and not self._begun:
            held = self._fallback
            self._outcome = f"passed-{held.head.status}"
            await self._sink.whole(held.head.status, held.head.headers, held.body)
            return None
        if step is attempts.Step.SEND_AGAIN and self._inputs_freed:
            step = attempts.Step.REDO_STAGES
        if step in {attempts.Step.SEND_AGAIN, attempts.Step.REDO_STAGES}:
            self._log("attempt.again", target=target.target_id, after=result.value)
            return step
        reason = messages.Reason.OUTCOME_UNKNOWN
        if not self._attempts.may_have_run:
            reason = messages.Reason.REJECTED
        await self._give_up(reason)
        return None

    def _checked(self, step: attempts.Step, result: attempts.Result) -> attempts.Step:
        """Returns the step if time and budget allow another send."""
        state = self._parts.state
        now_ms = self._now_ms()
        fallback = attempts.Step.REFUSE
        if self._fallback is not None:
            fallback = attempts.Step.PASS_ANSWER
        if self._deadline.remaining_ms(now_ms) < MIN_REMAINING_MS:
            return fallback
        if state.suspects.crashes(self._fingerprint, now_ms) >= admission.MAX_CRASHES:
            return fallback
        if result is attempts.Result.NOT_SENT:
            return step
        host_count = len(state.hosts.known_addresses(now_ms))
        if not state.repeats.try_spend(self._service, host_count, now_ms):
            self._log("attempt.budget-used-up", service=self._service)
            return fallback
        return step

    async def _give_up(
        self, reason: messages.Reason, retry_after_ms: int = NO_TARGET_RETRY_MS
    ) -> None:
        """Ends a request that cannot be served; says "not run" only if that is certain."""
        if self._begun:
            self._outcome = f"cut-{reason.value}"
            self._sink.abort()
            return
        if self._attempts.may_have_run or self._in_flight:
            await self._refuse(messages.Refusal(reason, may_have_run=True))
            return
        await self._refuse(admission.not_run(self._parts.state, reason, retry_after_ms))

    async def _refuse(self, refusal: messages.Refusal) -> None:
        self._outcome = f"refused-{refusal.reason.value}"
        self._log(
            "request.refused",
            reason=refusal.reason.value,
            may_have_run=refusal.may_have_run,
            retry_after_ms=refusal.retry_after_ms,
        )
        await self._sink.refuse(refusal)

    async def _begin(self, head: messages.AnswerHead) -> None:
        self._begun = True
        await self._sink.begin(head.status, head.headers)

    async def _finish(self) -> None:
        self._outcome = "served"
        await self._sink.finish()

    # ---- observations --------------------------------------------------------------------------

    def _note_success(self, target: targets.Target, started_ms: int) -> None:
        state = self._parts.state
        now_ms = self._now_ms()
        self._answer_ms = now_ms - started_ms
        state.choice.record_latency(target, self._answer_ms)
        state.route_pace.record(self._route.name, self._answer_ms)
        state.suspects.record_success(self._fingerprint, "", now_ms)
        seconds = (now_ms - started_ms) / _MS_PER_S
        state.measures.attempt_seconds.labels(self._service).observe(seconds)
        state.measures.attempts.labels(self._service, "answered").inc()

    def _note_crash(self, started_ms: int) -> None:
        if self._splitter.event_count == 0:
            state = self._parts.state
            now_ms = self._now_ms()
            state.suspects.record_crash(self._fingerprint, "", started_ms, now_ms)

    def _report(self) -> None:
        state = self._parts.state
        duration_ms = self._now_ms() - self._incoming.arrived_ms
        state.measures.requests.labels(self._route.name, self._outcome).inc()
        state.measures.request_seconds.labels(self._route.name).observe(duration_ms / _MS_PER_S)
        self._log(
            "request.finished",
            outcome=self._outcome,
            duration_ms=duration_ms,
            stages_ms=self._stages_ms,
            answer_ms=self._answer_ms,
            targets=sorted(self._search.tried),
            zone=self._results.zone if self._results is not None else None,
            runs=self._attempts.runs,
            rejected=self._attempts.rejected,
        )

    def _log(self, event: str, **fields: object) -> None:
        state = self._parts.state
        state.log.write(
            event,
            request=self._incoming.head.request_id,
            route=self._route.name if self._service else None,
            version=state.table.version if state.table is not None else None,
            **fields,
        )

    def _rank(self) -> int:
        priority = self._route.priority
        if self._account is not None and self._account.priority is not None:
            priority = self._account.priority
        return min(MAX_URGENCY, max(0, priority))

    def _now_ms(self) -> int:
        return self._parts.state.clock.now_ms()


@attrs.frozen
class _Held:
    """A target's complete answer that is passed on if no better one comes."""

    head: messages.AnswerHead
    body: bytes
