"""Relays one request: admits it, runs its stages, sends it to a target and forwards the answer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import attrs
from expression import Result

from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request import deadline as deadlines
from sesamehold.request.gateway import admission
from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import event_stream
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.request.gateway import request_stages
from sesamehold.request.gateway import target_search
from sesamehold.version import routing

# Answers up to this size are buffered and verified completely before the caller receives any byte.
MAX_BUFFERED_BYTES = 262_144
# A stopped target is restarted or replaced after a few hundred milliseconds at the earliest.
NO_TARGET_RETRY_MS = 400
# Minimum time that a target needs; with less time left, the request is not sent again.
MIN_REMAINING_MS = 30
# A resumable stream is considered stalled, and is resumed, after a pause of this many times the
# wanted gap between events, but not before the minimum below.
STALL_GAP_FACTOR = 3
MIN_STALL_MS = 800
MAX_URGENCY = 9
# Delay after which stage results are freed to make room. Engines fetch them within milliseconds
# after a request starts. An engine that queued the request for longer rejects it, and the stages
# are run again.
INPUT_RELEASE_DELAY_S = 0.06
_MS_PER_S = 1_000


@attrs.frozen
class RelayServices:
    """Process-wide services that a relay uses."""

    state: states.GatewayState
    codec: ports.RequestCodec
    client: ports.TargetClient
    stages: ports.StageRunner


@attrs.define(eq=False)
class Relay:
    """Forwards one request; holds the state of its stages, attempts and answer."""

    _services: RelayServices
    _incoming: admission.IncomingRequest
    _sink: ports.AnswerSink
    _attempts: attempts.Attempts = attrs.field(init=False)
    _route: routing.Route = attrs.field(init=False)
    _account: routing.RoutedAccount | None = None
    _service: str = ""
    _deadline: deadlines.Deadline = attrs.field(init=False)
    _traits: crash_attribution.RequestTraits = attrs.field(init=False)
    _probed_trait: crash_attribution.Trait | None = None
    _search: target_search.TargetSearch = attrs.field(init=False)
    _stages: request_stages.RequestStages = attrs.field(init=False)
    _answer_started: bool = False
    _splitter: event_stream.EventSplitter = attrs.field(factory=event_stream.EventSplitter)
    _fallback: _BufferedAnswer | None = None
    _in_flight: bool = False
    _answer_ms: int | None = None
    _outcome: str = ""
    _time_limit: asyncio.Timeout | None = None
    _is_stopped: bool = False

    @property
    def outcome(self) -> str:
        """Returns how the request ended, for logs and metrics."""
        return self._outcome

    async def run(self) -> None:
        """Serves the request until the caller has received its final answer.

        Cancellation means that the caller has disconnected. Closing the connection to the target
        then stops the work there.
        """
        match admission.admit(self._services.state, self._incoming):
            case Result(tag="ok", ok=admitted):
                self._apply_admission(admitted)
            case Result(error=refusal):
                await self._refuse(refusal)
                return
        remaining_ms = self._deadline.remaining_ms(self._now_ms())
        try:
            async with asyncio.timeout(remaining_ms / _MS_PER_S) as self._time_limit:
                await self._serve()
        except TimeoutError:
            self._time_limit = None
            if self._is_stopped:
                await self._fail(messages.Reason.STOPPING, admission.STOPPING_RETRY_MS)
            else:
                await self._fail(messages.Reason.TOO_LATE)
        except asyncio.CancelledError:
            self._outcome = self._outcome or "caller-left"
            raise
        finally:
            self._time_limit = None
            self._stages.release()
            self._record_outcome()

    def stop(self) -> None:
        """Ends the request with its final answer now, because the process is about to end."""
        if self._time_limit is not None and not self._time_limit.expired():
            self._is_stopped = True
            self._time_limit.reschedule(asyncio.get_running_loop().time())

    def _apply_admission(self, admitted: admission.Admitted) -> None:
        self._route = admitted.route
        self._account = admitted.account
        self._service = admitted.service
        self._deadline = admitted.deadline
        self._traits = admitted.traits
        self._probed_trait = admitted.probed_trait
        self._attempts = attempts.Attempts(admitted.route.repeatable, admitted.route.attempts)
        self._splitter.last_id = self._incoming.head.last_event_id
        state, head = self._services.state, self._incoming.head
        self._search = target_search.TargetSearch(state, admitted.route, self._service, head)
        self._stages = request_stages.RequestStages(
            state,
            self._services.stages,
            head,
            admitted.route,
            admitted.deadline,
            self._urgency(),
            self._incoming.arrived_ms,
        )

    async def _serve(self) -> None:
        if self._search.is_restricted_until(self._deadline.at_ms):
            await self._fail_without_target()
            return
        if self._route.stages:
            failure = await self._stages.run(self._search.preferred_zone())
            if failure is not None:
                await self._fail_with_stages(failure)
                return
        while True:
            target = await self._search.find(self._stages.results)
            if self._blamed_trait() is not None:
                await self._fail_as_crashing()
                return
            if target is None:
                await self._fail_without_target()
                return
            step = await self._attempt(target)
            if step is None:
                return
            if step is attempts.NextStep.REDO_STAGES:
                failure = await self._stages.run_again(self._search.preferred_zone())
                if failure is not None:
                    await self._fail_with_stages(failure)
                    return

    # ---- one attempt ---------------------------------------------------------------------------

    async def _attempt(self, target: targets.Target) -> attempts.NextStep | None:
        """Sends the request once; returns the next step, None after the final answer."""
        state = self._services.state
        started_ms = self._now_ms()
        self._search.tried.add(target.incarnation)
        state.ranking.record_start(target)
        self._in_flight = True
        try:
            result = await self._exchange(target, started_ms)
            self._in_flight = False
        finally:
            state.ranking.record_end(target)
        if result is None:
            return None
        return await self._decide_next_step(target, result)

    async def _exchange(
        self, target: targets.Target, started_ms: int
    ) -> attempts.AttemptResult | None:
        order = messages.SendOptions(
            remaining_ms=self._deadline.remaining_ms(started_ms),
            expected_target_id=target.target_id,
            account=self._account.name if self._account is not None else None,
            urgency=self._urgency() if self._incoming.head.prompt is not None else None,
            inputs=None if self._stages.results is None else self._stages.results.handles,
            last_event_id=self._splitter.last_id,
        )
        body = self._incoming.body
        size_bytes = None if body is None else len(body)
        head = self._services.codec.encode_request_head(self._incoming.head, order, size_bytes)
        loop = asyncio.get_running_loop()
        release_timer = loop.call_later(INPUT_RELEASE_DELAY_S, self._stages.free_inputs)
        try:
            sent = await self._services.client.send(
                target,
                head + (body or b""),
                self._incoming.head.request_id,
                reuse=self._route.repeatable,
            )
        finally:
            release_timer.cancel()
        match sent:
            case Result(tag="ok", ok=answer):
                return await self._handle_answer(target, answer, started_ms)
            case Result(error=fault):
                return self._handle_fault(target, fault, started_ms)

    def _handle_fault(
        self, target: targets.Target, fault: ports.ExchangeFault, started_ms: int
    ) -> attempts.AttemptResult:
        state = self._services.state
        now_ms = self._now_ms()
        self._log("attempt.failed", target=target.target_id, fault=fault.kind, sent=fault.sent)
        if not fault.sent:
            state.ranking.record_unreachable(target, now_ms)
            return attempts.AttemptResult.NOT_SENT
        state.ranking.record_failure(target, now_ms)
        if fault.connection_broken:
            self._record_crash(target, started_ms)
        return attempts.AttemptResult.UNKNOWN

    async def _handle_answer(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.AttemptResult | None:
        state = self._services.state
        head = answer.head
        result = attempts.classify(head)
        try:
            if result is attempts.AttemptResult.ANSWERED and head.succeeded:
                return await self._forward_success(target, answer, started_ms)
            body = await self._read_body(answer)
        except ports.BrokenAnswerError as error:
            self._log("attempt.broken", target=target.target_id, fault=str(error))
            state.ranking.record_failure(target, self._now_ms())
            if not isinstance(error, ports.StalledAnswerError):
                self._record_crash(target, started_ms)
            return (
                attempts.AttemptResult.NOT_RUN if head.not_run else attempts.AttemptResult.UNKNOWN
            )
        finally:
            answer.release()
        self._record_failure_answer(target, head, result)
        if (
            result in {attempts.AttemptResult.FAILED, attempts.AttemptResult.ANSWERED}
            and body is not None
        ):
            self._fallback = _BufferedAnswer(head, body)
        return result

    def _record_failure_answer(
        self, target: targets.Target, head: messages.AnswerHead, result: attempts.AttemptResult
    ) -> None:
        state = self._services.state
        now_ms = self._now_ms()
        if result is attempts.AttemptResult.ANSWERED:
            return
        self._log(
            "attempt.failed", target=target.target_id, status=head.status, result=result.value
        )
        if result is attempts.AttemptResult.NOT_RUN:
            state.ranking.record_rejection(target, now_ms)
        if result is not attempts.AttemptResult.INPUTS_GONE:
            state.ranking.record_failure(target, now_ms)

    async def _forward_success(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.AttemptResult | None:
        if self._route.kind is routing.RequestKind.STREAMING:
            return await self._forward_stream(target, answer, started_ms)
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in answer.chunks():
            if self._answer_started:
                await self._sink.send_chunk(chunk)
                continue
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BYTES:
                await self._start_answer(answer.head)
                await self._sink.send_chunk(b"".join(chunks))
        self._record_success(target, started_ms)
        state = self._services.state
        state.crashes.record_completion(self._traits, self._now_ms())
        if self._answer_started:
            await self._finish_answer()
        else:
            self._outcome = "served"
            await self._sink.send_complete(
                answer.head.status, answer.head.headers, b"".join(chunks)
            )
        return None

    async def _forward_stream(
        self, target: targets.Target, answer: ports.TargetAnswer, started_ms: int
    ) -> attempts.AttemptResult | None:
        first = True
        self._splitter.start_attempt(is_resumed=self._answer_started)
        chunks = answer.chunks()
        progress_ms = self._now_ms()
        may_resume = self._may_resume()
        while True:
            stall_at_ms = self._stall_at_ms(progress_ms, first=first) if may_resume else None
            chunk = await self._next_chunk(chunks, stall_at_ms)
            if chunk is None:
                break
            known_id = self._splitter.last_id
            try:
                events = self._splitter.feed(chunk)
            except event_stream.MalformedStreamError as error:
                raise ports.BrokenAnswerError(str(error)) from error
            if self._splitter.last_id != known_id:
                progress_ms = self._now_ms()
            if not events:
                continue
            if first:
                first = False
                self._record_success(target, started_ms)
                self._stages.free_inputs()
            if not self._answer_started:
                await self._start_answer(answer.head)
            await self._sink.send_chunk(events)
        if self._splitter.has_partial_event or not self._answer_started:
            raise ports.BrokenAnswerError("the stream ended within an event")
        if first and answer.delimited_by_close:
            raise ports.BrokenAnswerError("the resumed stream ended without an event")
        self._services.state.crashes.record_completion(self._traits, self._now_ms())
        await self._finish_answer()
        return None

    async def _next_chunk(
        self, chunks: AsyncIterator[bytes], stall_at_ms: int | None
    ) -> bytes | None:
        """Returns the next part of a stream, None at its end.

        Args:
            chunks: Parts of the stream.
            stall_at_ms: Monotonic time from which the stream is broken, None if it never is.
        """
        if stall_at_ms is None:
            return await anext(chunks, None)
        left_ms = max(0, stall_at_ms - self._now_ms())
        stall_timeout = asyncio.timeout(left_ms / _MS_PER_S)
        try:
            async with stall_timeout:
                return await anext(chunks, None)
        except TimeoutError:
            if stall_timeout.expired():
                raise ports.StalledAnswerError("silent") from None
            raise

    def _stall_at_ms(self, progress_ms: int, *, first: bool) -> int:
        """Returns when the stream has stalled: too long without an event that has a new id.

        Other bytes, such as comments or parts of an event, are no progress.
        """
        stall_ms = max(MIN_STALL_MS, self._route.event_gap_goal_ms * STALL_GAP_FACTOR)
        if first:
            stall_ms = max(stall_ms, self._route.latency_goal_ms)
        return progress_ms + stall_ms

    def _may_resume(self) -> bool:
        """Returns whether another target could go on with the stream; without one it is not cut."""
        state = self._services.state
        now_ms = self._now_ms()
        return (
            self._route.resumable
            and self._attempts.may_run_again
            and self._search.has_untried()
            and state.retry_budget.has_left(
                self._service, len(state.hosts.known_addresses(now_ms)), now_ms
            )
        )

    async def _read_body(self, answer: ports.TargetAnswer) -> bytes | None:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in answer.chunks():
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BYTES:
                return None
        return b"".join(chunks)

    # ---- next step -----------------------------------------------------------------------------

    async def _decide_next_step(
        self, target: targets.Target, result: attempts.AttemptResult
    ) -> attempts.NextStep | None:
        step = self._attempts.record(result)
        state = self._services.state
        state.metrics.attempts.labels(self._service, result.value).inc()
        if step in {attempts.NextStep.SEND_AGAIN, attempts.NextStep.REDO_STAGES}:
            step = self._check_limits(step, result)
        if (
            step is attempts.NextStep.PASS_ANSWER
            and self._fallback is not None
            and not self._answer_started
        ):
            buffered = self._fallback
            self._outcome = f"passed-{buffered.head.status}"
            await self._sink.send_complete(
                buffered.head.status, buffered.head.headers, buffered.body
            )
            return None
        if step is attempts.NextStep.SEND_AGAIN and self._stages.inputs_freed:
            step = attempts.NextStep.REDO_STAGES
        if step in {attempts.NextStep.SEND_AGAIN, attempts.NextStep.REDO_STAGES}:
            self._log("attempt.again", target=target.target_id, after=result.value)
            return step
        reason = messages.Reason.OUTCOME_UNKNOWN
        if not self._attempts.may_have_run:
            reason = messages.Reason.REJECTED
        await self._fail(reason)
        return None

    def _check_limits(
        self, step: attempts.NextStep, result: attempts.AttemptResult
    ) -> attempts.NextStep:
        """Returns the step, or a fallback if deadline or retry budget forbid another send."""
        state = self._services.state
        now_ms = self._now_ms()
        fallback = attempts.NextStep.REFUSE
        if self._fallback is not None:
            fallback = attempts.NextStep.PASS_ANSWER
        if self._deadline.remaining_ms(now_ms) < MIN_REMAINING_MS:
            return fallback
        if self._blamed_trait() is not None:
            return fallback
        if result is attempts.AttemptResult.NOT_SENT:
            return step
        host_count = len(state.hosts.known_addresses(now_ms))
        if not state.retry_budget.try_spend(self._service, host_count, now_ms):
            self._log("attempt.budget-used-up", service=self._service)
            return fallback
        return step

    async def _fail(
        self, reason: messages.Reason, retry_after_ms: int = NO_TARGET_RETRY_MS
    ) -> None:
        """Ends a request that cannot be served; states "not run" only if that is certain."""
        if self._answer_started:
            self._outcome = f"cut-{reason.value}"
            self._sink.abort()
            return
        if self._attempts.may_have_run or self._in_flight:
            await self._refuse(messages.Refusal(reason, may_have_run=True))
            return
        await self._refuse(admission.not_run_refusal(self._services.state, reason, retry_after_ms))

    async def _fail_with_stages(self, failure: ports.StageFailure) -> None:
        self._log("request.stages-failed", reason=failure.kind)
        await self._fail(messages.Reason.STAGES_FAILED, failure.retry_after_ms)

    async def _fail_without_target(self) -> None:
        retry_after_ms = self._search.retry_after_ms()
        if retry_after_ms is None:
            retry_after_ms = NO_TARGET_RETRY_MS
        await self._fail(messages.Reason.NO_TARGET, retry_after_ms)

    async def _fail_as_crashing(self) -> None:
        """Ends a request that would crash its next target; a retry would fare no better."""
        reason = messages.Reason.CRASHES_TARGETS
        if self._answer_started or self._attempts.may_have_run:
            await self._fail(reason)
        else:
            await self._refuse(messages.Refusal(reason))

    async def _refuse(self, refusal: messages.Refusal) -> None:
        self._outcome = f"refused-{refusal.reason.value}"
        self._log(
            "request.refused",
            reason=refusal.reason.value,
            may_have_run=refusal.may_have_run,
            retry_after_ms=refusal.retry_after_ms,
        )
        await self._sink.refuse(refusal)

    async def _start_answer(self, head: messages.AnswerHead) -> None:
        self._answer_started = True
        await self._sink.send_head(head.status, head.headers)

    async def _finish_answer(self) -> None:
        self._outcome = "served"
        await self._sink.finish()

    # ---- observations --------------------------------------------------------------------------

    def _record_success(self, target: targets.Target, started_ms: int) -> None:
        state = self._services.state
        now_ms = self._now_ms()
        self._answer_ms = now_ms - started_ms
        state.ranking.record_latency(target, self._answer_ms)
        state.route_latency.record(self._route.name, self._answer_ms)
        seconds = (now_ms - started_ms) / _MS_PER_S
        state.metrics.attempt_seconds.labels(self._service).observe(seconds)
        state.metrics.attempts.labels(self._service, "answered").inc()

    def _record_crash(self, target: targets.Target, started_ms: int) -> None:
        if self._splitter.event_count:
            return
        # A further attempt would crash a further target if the probe has failed.
        self._probed_trait = None
        crashes = self._services.state.crashes
        crashes.record_crash(self._traits, target.incarnation, started_ms, self._now_ms())
        self._log(
            "request.suspected",
            target=target.incarnation,
            fingerprint=self._traits.request.digest.hex(),
            crashes=crashes.crash_count(self._traits.request),
            parts=[part.digest.hex() for part in self._traits.parts] or None,
            part_crashes=[crashes.crash_count(part) for part in self._traits.parts] or None,
            blamed=blamed.digest.hex() if (blamed := self._blamed_trait()) is not None else None,
        )

    def _blamed_trait(self) -> crash_attribution.Trait | None:
        """Returns the trait for which the request must not be sent, unless it probes it."""
        blamed = self._services.state.crashes.blamed_trait(self._traits, self._now_ms())
        return None if blamed == self._probed_trait else blamed

    def _record_outcome(self) -> None:
        state = self._services.state
        duration_ms = self._now_ms() - self._incoming.arrived_ms
        if self._outcome == "served":
            state.route_duration.record(self._route.name, duration_ms)
        state.metrics.requests.labels(self._route.name, self._outcome).inc()
        state.metrics.request_seconds.labels(self._route.name).observe(duration_ms / _MS_PER_S)
        self._log(
            "request.finished",
            outcome=self._outcome,
            duration_ms=duration_ms,
            stages_ms=self._stages.duration_ms,
            answer_ms=self._answer_ms,
            targets=sorted(self._search.tried),
            zone=self._stages.results.zone if self._stages.results is not None else None,
            runs=self._attempts.runs,
            rejected=self._attempts.rejected,
        )

    def _log(self, event: str, **fields: object) -> None:
        state = self._services.state
        state.log.write(
            event,
            request=self._incoming.head.request_id,
            route=self._route.name if self._service else None,
            version=state.table.version if state.table is not None else None,
            **fields,
        )

    def _urgency(self) -> int:
        priority = self._route.priority
        if self._account is not None and self._account.priority is not None:
            priority = self._account.priority
        return min(MAX_URGENCY, max(0, priority))

    def _now_ms(self) -> int:
        return self._services.state.clock.now_ms()


@attrs.frozen
class _BufferedAnswer:
    """Complete error answer of a target, forwarded if no later attempt yields a better one."""

    head: messages.AnswerHead
    body: bytes
