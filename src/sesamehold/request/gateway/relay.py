"""Relays one request: admits it, runs its stages, sends it to a target and forwards the answer."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request import deadline as deadlines
from sesamehold.request.gateway import admission
from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import crash_evidence
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import open_answer
from sesamehold.request.gateway import ports
from sesamehold.request.gateway import request_record
from sesamehold.request.gateway import request_stages
from sesamehold.request.gateway import stream_forwarding
from sesamehold.request.gateway import target_search
from sesamehold.version import routing

# Answers up to this size are buffered and verified completely before the caller receives any byte.
MAX_BUFFERED_BYTES = 262_144
# Minimum time that a target needs; with less time left, the request is not sent again.
MIN_REMAINING_MS = 30
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
    _crashes: crash_evidence.CrashEvidence = attrs.field(init=False)
    _search: target_search.TargetSearch = attrs.field(init=False)
    _stages: request_stages.RequestStages = attrs.field(init=False)
    _streams: stream_forwarding.StreamForwarder = attrs.field(init=False)
    _record: request_record.RequestRecord = attrs.field(init=False)
    _answer_started: bool = False
    _fallback: open_answer.BufferedAnswer | None = None
    _in_flight: bool = False
    _outcome: str = ""
    _time_limit: asyncio.Timeout | None = None
    _is_stopped: bool = False

    def __attrs_post_init__(self) -> None:
        self._record = request_record.RequestRecord(
            self._services.state, self._incoming.head.request_id, self._incoming.arrived_ms
        )

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
            reason = messages.Reason.TOO_LATE
            retry_after_ms = open_answer.NO_TARGET_RETRY_MS
            if self._is_stopped:
                reason, retry_after_ms = messages.Reason.STOPPING, admission.STOPPING_RETRY_MS
            await self._fail(open_answer.NoAnswer(reason, retry_after_ms))
        except asyncio.CancelledError:
            self._outcome = self._outcome or "caller-left"
            raise
        finally:
            self._time_limit = None
            self._stages.release()
            self._record_end()
            # It refers to this object; the body would stay until the next garbage collection.
            del self._streams

    def stop(self) -> None:
        """Ends the request with its final answer now, because the process is about to end."""
        if self._time_limit is not None and not self._time_limit.expired():
            self._is_stopped = True
            self._time_limit.reschedule(asyncio.get_running_loop().time())

    def _end_time_limit(self) -> None:
        """Lets a final answer be written to its end: no other one may follow a part of it."""
        if self._time_limit is not None and not self._time_limit.expired():
            self._time_limit.reschedule(None)

    def _apply_admission(self, admitted: admission.Admitted) -> None:
        self._route = admitted.route
        self._account = admitted.account
        self._service = admitted.service
        self._record.admit(admitted.route, admitted.service)
        self._deadline = admitted.deadline
        self._attempts = attempts.Attempts(admitted.route.repeatable, admitted.route.attempts)
        state, head = self._services.state, self._incoming.head
        self._crashes = crash_evidence.CrashEvidence(
            state, self._record.write, admitted.traits, admitted.probed_trait
        )
        self._streams = stream_forwarding.StreamForwarder(self, admitted.route, state.clock)
        self._streams.splitter.last_id = head.last_event_id
        self._search = target_search.TargetSearch(state, admitted.route, self._service, head)
        self._stages = request_stages.RequestStages(
            state,
            self._services.stages,
            head,
            admitted.route,
            admitted.deadline,
            self._urgency(),
            "" if self._account is None else self._account.name,
            self._incoming.arrived_ms,
        )

    async def _serve(self) -> None:
        if self._search.is_restricted_until(self._deadline.at_ms):
            await self._end_unanswered(self._no_target())
            return
        if self._route.stages:
            failure = await self._stages.run(self._search.preferred_zone())
            if failure is not None:
                await self._end_unanswered(self._stages_failed(failure))
                return
        outcome: open_answer.OpenResult | None = await self._open_answer()
        while outcome is not None:
            match outcome:
                case Result(tag="ok", ok=opened):
                    outcome = await self._forward(opened)
                case Result(error=no_answer):
                    await self._end_unanswered(no_answer)
                    return

    # ---- attempts ------------------------------------------------------------------------------

    async def _open_answer(
        self, *, redo_stages: bool = False, untried_only: bool = False
    ) -> open_answer.OpenResult:
        """Sends the request to one target after another until one begins a successful answer."""
        while True:
            if redo_stages:
                failure = await self._stages.run_again(self._search.preferred_zone())
                if failure is not None:
                    return Error(self._stages_failed(failure))
            target = await self._search.find(self._stages.results, untried_only=untried_only)
            if self._crashes.blamed_trait() is not None:
                return Error(open_answer.NoAnswer(messages.Reason.CRASHES_TARGETS))
            if target is None:
                return Error(self._no_target())
            match await self._attempt(target):
                case Result(tag="ok", ok=opened):
                    return Ok(opened)
                case Result(error=result):
                    step = self._attempts.record(result)
            match self._decide_next_step(target, step, result):
                case Result(tag="ok", ok=next_step):
                    redo_stages = next_step is attempts.NextStep.REDO_STAGES
                case Result(error=no_answer):
                    return Error(no_answer)

    async def _attempt(
        self, target: targets.Target
    ) -> Result[open_answer.OpenAnswer, attempts.AttemptResult]:
        """Sends the request once and waits for the head of the answer."""
        started_ms = self._now_ms()
        # A late answer to the attempt before carries the same id, so it must come on another
        # connection.
        may_reuse = self._route.repeatable and target.incarnation not in self._search.tried
        attempt = self._search.start(target)
        self._in_flight = True
        is_open = False
        is_resumed = self._streams.splitter.last_id is not None
        try:
            match await self._send(target, started_ms, may_reuse=may_reuse):
                case Result(tag="ok", ok=answer):
                    is_open = True
                    self._record.on_opened(answer.transfer)
                    return Ok(
                        open_answer.OpenAnswer(
                            target,
                            answer,
                            started_ms,
                            attempt,
                            is_resumed=is_resumed,
                        )
                    )
                case Result(error=result):
                    self._in_flight = False
                    return Error(result)
        except asyncio.CancelledError:
            self._attempts.count(attempts.AttemptResult.UNKNOWN)
            raise
        finally:
            if not is_open:
                attempt.end()

    async def _send(
        self, target: targets.Target, started_ms: int, *, may_reuse: bool
    ) -> Result[ports.TargetAnswer, attempts.AttemptResult]:
        """Returns a successful answer whose body is still to be read, or the result."""
        order = messages.SendOptions(
            remaining_ms=self._deadline.remaining_ms(started_ms),
            expected_target_id=target.target_id,
            account=self._account.name if self._account is not None else None,
            urgency=self._urgency() if self._incoming.head.prompt is not None else None,
            inputs=None if self._stages.results is None else self._stages.results.handles,
            last_event_id=self._streams.splitter.last_id,
        )
        body = self._incoming.body
        size_bytes = None if body is None else len(body)
        head = self._services.codec.encode_request_head(self._incoming.head, order, size_bytes)
        loop = asyncio.get_running_loop()
        release_timer = loop.call_later(INPUT_RELEASE_DELAY_S, self._stages.free_inputs)
        try:
            sent = await self._services.client.send(
                target, head, self._incoming.head.request_id, body=body or b"", reuse=may_reuse
            )
        finally:
            release_timer.cancel()
        match sent:
            case Result(tag="ok", ok=answer):
                result = attempts.classify(answer.head)
                if result is attempts.AttemptResult.ANSWERED and answer.head.succeeded:
                    return Ok(answer)
                return Error(await self._handle_failure(target, answer, result, started_ms))
            case Result(error=fault):
                return Error(self._handle_fault(target, fault, started_ms))

    def _handle_fault(
        self, target: targets.Target, fault: ports.ExchangeFault, started_ms: int
    ) -> attempts.AttemptResult:
        self._record.on_fault(target, fault)
        if not fault.sent:
            return attempts.AttemptResult.NOT_SENT
        if fault.connection_broken:
            self._crashes.record_broken_connection(target, started_ms)
        return attempts.AttemptResult.UNKNOWN

    async def _handle_failure(
        self,
        target: targets.Target,
        answer: ports.TargetAnswer,
        result: attempts.AttemptResult,
        started_ms: int,
    ) -> attempts.AttemptResult:
        """Reads an answer that is no success, and keeps it if it may be passed on."""
        head = answer.head
        try:
            body = await self._read_body(answer)
        except ports.BrokenAnswerError as error:
            self._record_broken(target, answer, error, started_ms)
            return (
                attempts.AttemptResult.NOT_RUN if head.not_run else attempts.AttemptResult.UNKNOWN
            )
        finally:
            answer.release()
        self._record.on_failure_answer(target, answer, result)
        if (
            result in {attempts.AttemptResult.FAILED, attempts.AttemptResult.ANSWERED}
            and body is not None
        ):
            self._fallback = open_answer.BufferedAnswer(head, body)
        return result

    async def _read_body(self, answer: ports.TargetAnswer) -> bytes | None:
        chunks: list[bytes] = []
        size_bytes = 0
        async for chunk in answer.chunks():
            chunks.append(chunk)
            size_bytes += len(chunk)
            if size_bytes > MAX_BUFFERED_BYTES:
                return None
        return b"".join(chunks)

    # ---- forwarding of an answer ---------------------------------------------------------------

    async def _forward(self, opened: open_answer.OpenAnswer) -> open_answer.OpenResult | None:
        """Forwards an answer; returns None once the caller has all of it, else what follows."""
        try:
            if self._route.kind is routing.RequestKind.STREAMING:
                following = await self._streams.forward(opened)
                if following is not None:
                    return Ok(following)
                self._crashes.record_completion(is_resumed=opened.is_resumed)
                await self._finish_answer()
            else:
                await self._forward_body(opened)
            return None
        except ports.BrokenAnswerError as error:
            self.on_broken(opened, error)
        finally:
            opened.release()
        return await self._continue_elsewhere(opened)

    async def _forward_body(self, opened: open_answer.OpenAnswer) -> None:
        """Forwards an answer that is no stream; the caller gets a small one once it is complete."""
        answer = opened.answer
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
                await self._sink.send_chunk(open_answer.take_joined(chunks))
        # The loop keeps its last part otherwise.
        chunk = b""
        self._record.on_success(opened)
        self._crashes.record_completion(is_resumed=opened.is_resumed)
        if self._answer_started:
            await self._finish_answer()
            return
        self._outcome = "served"
        self._end_time_limit()
        await self._sink.send_complete(
            answer.head.status, answer.head.headers, open_answer.take_joined(chunks)
        )

    async def _continue_elsewhere(self, opened: open_answer.OpenAnswer) -> open_answer.OpenResult:
        """Sends the request to another target after an answer broke off, if that is allowed."""
        result = attempts.AttemptResult.UNKNOWN
        self._count_run_once(opened)
        match self._decide_next_step(opened.target, self._attempts.next_step(result), result):
            case Result(tag="ok", ok=step):
                return await self._open_answer(redo_stages=step is attempts.NextStep.REDO_STAGES)
            case Result(error=no_answer):
                return Error(no_answer)

    def _count_run_once(self, opened: open_answer.OpenAnswer) -> None:
        if not opened.is_counted:
            opened.is_counted = True
            self._attempts.count(attempts.AttemptResult.UNKNOWN)

    # ---- streams, see `stream_forwarding.StreamedRequest` --------------------------------------

    @property
    def answer_started(self) -> bool:
        """Returns whether the caller has received the head of the answer."""
        return self._answer_started

    async def forward_events(self, opened: open_answer.OpenAnswer, events: bytes) -> None:
        """Sends complete events to the caller, after the head if they are the first ones."""
        if not self._answer_started:
            await self._start_answer(opened.answer.head)
        await self._sink.send_chunk(events)

    def on_first_event(self, opened: open_answer.OpenAnswer) -> None:
        """Records that a target answers, and frees the inputs that it has read."""
        self._record.on_success(opened)
        self._stages.free_inputs()

    def on_broken(self, opened: open_answer.OpenAnswer, error: ports.BrokenAnswerError) -> None:
        """Records that the answer of a target broke off."""
        if not opened.is_broken:
            opened.is_broken = True
            self._record_broken(opened.target, opened.answer, error, opened.started_ms)

    def may_replace(self, stalled: open_answer.OpenAnswer) -> bool:
        """Returns whether another target could go on with a stream now."""
        state = self._services.state
        now_ms = self._now_ms()
        host_count = len(state.hosts.known_addresses(now_ms))
        return (
            self._route.resumable
            and self._attempts.may_run_again(open_runs=0 if stalled.is_counted else 1)
            and self._search.has_untried()
            and state.retry_budget.has_left(self._service, host_count, now_ms)
        )

    async def open_replacement(self, stalled: open_answer.OpenAnswer) -> open_answer.OpenResult:
        """Sends the request to other targets until one accepts to go on with a stalled stream."""
        result = attempts.AttemptResult.UNKNOWN
        self._record.write("attempt.stalled", target=stalled.target.target_id)
        self._services.state.ranking.record_failure(stalled.target, self._now_ms())
        self._count_run_once(stalled)
        match self._decide_next_step(stalled.target, attempts.NextStep.SEND_AGAIN, result):
            case Result(tag="ok", ok=step):
                redo_stages = step is attempts.NextStep.REDO_STAGES
            case Result(error=no_answer):
                return Error(no_answer)
        try:
            outcome = await self._open_answer(redo_stages=redo_stages, untried_only=True)
        except asyncio.CancelledError:
            self._stages.free_inputs()
            raise
        stalled_id = stalled.target.target_id
        match outcome:
            case Result(tag="ok", ok=opened):
                self._record.write(
                    "attempt.replaced", target=stalled_id, by=opened.target.target_id
                )
            case Result(error=no_answer):
                self._record.write(
                    "attempt.not-replaced", target=stalled_id, reason=no_answer.reason.value
                )
                self._stages.free_inputs()
        return outcome

    # ---- next step -----------------------------------------------------------------------------

    def _decide_next_step(
        self, target: targets.Target, step: attempts.NextStep, result: attempts.AttemptResult
    ) -> Result[attempts.NextStep, open_answer.NoAnswer]:
        """Returns whether to send the request again, or to do its stages again before."""
        state = self._services.state
        state.metrics.attempts.labels(self._service, result.value).inc()
        if step in {attempts.NextStep.SEND_AGAIN, attempts.NextStep.REDO_STAGES}:
            step = self._check_limits(step, result)
        if step is attempts.NextStep.SEND_AGAIN and self._stages.inputs_freed:
            step = self._attempts.step_without_inputs()
        if step in {attempts.NextStep.SEND_AGAIN, attempts.NextStep.REDO_STAGES}:
            self._record.write("attempt.again", target=target.target_id, after=result.value)
            return Ok(step)
        reason = messages.Reason.OUTCOME_UNKNOWN
        if not self._attempts.may_have_run:
            reason = messages.Reason.REJECTED
        passes_failure = step is attempts.NextStep.PASS_ANSWER
        return Error(open_answer.NoAnswer(reason, passes_failure=passes_failure))

    def _check_limits(
        self, step: attempts.NextStep, result: attempts.AttemptResult
    ) -> attempts.NextStep:
        """Returns the step, or a fallback if the request cannot be sent again now."""
        state = self._services.state
        now_ms = self._now_ms()
        fallback = attempts.NextStep.REFUSE
        if self._fallback is not None:
            fallback = attempts.NextStep.PASS_ANSWER
        if self._answer_started and self._route.kind is not routing.RequestKind.STREAMING:
            # Only a stream can go on where the part that the caller has received ends.
            return attempts.NextStep.REFUSE
        if self._deadline.remaining_ms(now_ms) < MIN_REMAINING_MS:
            return fallback
        if self._crashes.blamed_trait() is not None:
            return fallback
        if result is attempts.AttemptResult.NOT_SENT:
            return step
        host_count = len(state.hosts.known_addresses(now_ms))
        if not state.retry_budget.try_spend(self._service, host_count, now_ms):
            self._record.write("attempt.budget-used-up", service=self._service)
            return fallback
        return step

    def _no_target(self) -> open_answer.NoAnswer:
        retry_after_ms = self._search.retry_after_ms()
        if retry_after_ms is None:
            return open_answer.NoAnswer(messages.Reason.NO_TARGET)
        return open_answer.NoAnswer(messages.Reason.NO_TARGET, retry_after_ms)

    def _stages_failed(self, failure: ports.StageFailure) -> open_answer.NoAnswer:
        self._record.write("request.stages-failed", reason=failure.kind)
        return open_answer.NoAnswer(messages.Reason.STAGES_FAILED, failure.retry_after_ms)

    # ---- ends without an answer of a target ----------------------------------------------------

    async def _end_unanswered(self, no_answer: open_answer.NoAnswer) -> None:
        """Gives the caller the failure of a target, or a refusal."""
        failure = self._fallback
        if no_answer.passes_failure and failure is not None and not self._answer_started:
            self._outcome = f"passed-{failure.head.status}"
            self._end_time_limit()
            await self._sink.send_complete(failure.head.status, failure.head.headers, failure.body)
        elif no_answer.reason is messages.Reason.CRASHES_TARGETS:
            await self._fail_as_crashing()
        else:
            await self._fail(no_answer)

    async def _fail(self, no_answer: open_answer.NoAnswer) -> None:
        """Ends a request that cannot be served; states "not run" only if that is certain."""
        reason = no_answer.reason
        if self._answer_started:
            self._outcome = f"cut-{reason.value}"
            self._sink.abort()
            return
        if self._attempts.may_have_run or self._in_flight:
            await self._refuse(messages.Refusal(reason, may_have_run=True))
            return
        state = self._services.state
        await self._refuse(admission.not_run_refusal(state, reason, no_answer.retry_after_ms))

    async def _fail_as_crashing(self) -> None:
        """Ends a request that would crash its next target; a retry would fare no better."""
        reason = messages.Reason.CRASHES_TARGETS
        if self._answer_started or self._attempts.may_have_run:
            await self._fail(open_answer.NoAnswer(reason))
        else:
            await self._refuse(messages.Refusal(reason))

    async def _refuse(self, refusal: messages.Refusal) -> None:
        self._outcome = f"refused-{refusal.reason.value}"
        self._record.write(
            "request.refused",
            reason=refusal.reason.value,
            may_have_run=refusal.may_have_run,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._end_time_limit()
        await self._sink.refuse(refusal)

    async def _start_answer(self, head: messages.AnswerHead) -> None:
        self._answer_started = True
        await self._sink.send_head(head.status, head.headers)

    async def _finish_answer(self) -> None:
        self._outcome = "served"
        self._end_time_limit()
        await self._sink.finish()

    def _record_broken(
        self,
        target: targets.Target,
        answer: ports.TargetAnswer,
        error: ports.BrokenAnswerError,
        started_ms: int,
    ) -> None:
        self._record.on_broken(target, answer, error)
        if error.connection_broken:
            self._crashes.record_broken_connection(target, started_ms)

    def _record_end(self) -> None:
        results = self._stages.results
        self._record.on_end(
            self._outcome,
            stages_ms=self._stages.duration_ms,
            targets=sorted(self._search.tried),
            zone=None if results is None else results.zone,
            **self._attempts.log_fields(),
        )

    def _urgency(self) -> int:
        priority = self._route.priority
        if self._account is not None and self._account.priority is not None:
            priority = self._account.priority
        return min(MAX_URGENCY, max(0, priority))

    def _now_ms(self) -> int:
        return self._services.state.clock.now_ms()
