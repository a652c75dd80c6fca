"""Executes the actions of the request state machine on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any
from typing import TypeAlias

import attrs
from expression import Result

from sesamehold.process import clock as clocks
from sesamehold.process import dispatch
from sesamehold.process import explanations
from sesamehold.process import ledger
from sesamehold.process import metrics
from sesamehold.process import slots
from sesamehold.request import calls
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.request import prompt
from sesamehold.version import manifest

_MS_PER_S = 1_000

_FinalAction: TypeAlias = events.DeliverAnswer | events.DeliverStoredAnswer | events.DeliverFailure


@attrs.frozen
class Services:
    """Services of the process and its connections that a request uses."""

    clock: clocks.Clock
    slots: slots.SlotRegistry
    targets: calls.TargetConnector
    claims: calls.ClaimRegistry
    ledger: ledger.Ledger
    metrics: metrics.Metrics


@attrs.define(eq=False)
class RequestDriver:
    """Runs one admitted request until its final answer.

    Executes the actions of `execution` and feeds the results back to it as events.
    """

    execution: execution.RequestExecution
    services: Services
    sink: calls.AnswerSink
    trace: explanations.Trace
    _started_ms: int = 0
    _caller_disconnected: bool = False
    _final_action: asyncio.Future[_FinalAction] = attrs.field(init=False)
    _claims: calls.ExecutionClaims = attrs.field(init=False)
    _attempt_tasks: dict[ids.AttemptId, asyncio.Task[None]] = attrs.field(factory=dict)
    _background_tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def run(self) -> None:
        """Runs the request; returns after the final answer is written and all tasks have ended."""
        loop = asyncio.get_running_loop()
        self._final_action = loop.create_future()
        self._claims = self.services.claims.open(self.execution.request.pipeline)
        self._started_ms = self.services.clock.now_ms()
        remaining_ms = self.execution.request.deadline.remaining_ms(self._started_ms)
        timer = loop.call_later(remaining_ms / _MS_PER_S, self._on_deadline)
        try:
            self._execute_all(self.execution.start(self._started_ms))
            await self._deliver(await self._final_action)
        except ConnectionError:
            # The caller has disconnected: end the execution and cancel its work at the targets.
            self.cancel()
        finally:
            timer.cancel()
            await self._end_tasks()

    def cancel(self) -> None:
        """Cancels the request on behalf of its caller."""
        self._handle_event(events.CancelRequested())

    # ---- actions ----

    def _handle_event(self, event: events.Event) -> None:
        self._execute_all(self.execution.handle(event, self.services.clock.now_ms()))

    def _on_deadline(self) -> None:
        self._handle_event(events.DeadlinePassed())

    def _execute_all(self, actions: Sequence[events.Action]) -> None:
        for action in actions:
            self._execute(action)

    def _execute(self, action: events.Action) -> None:
        match action:
            case events.StartAttempt():
                task = asyncio.create_task(self._run_attempt(action))
                self._attempt_tasks[action.attempt] = task
            case events.CancelAttempt():
                attempt_task = self._attempt_tasks.get(action.attempt)
                if attempt_task is not None:
                    attempt_task.cancel()
            case events.ClaimKey():
                self._spawn(self._claim(action))
            case events.ReleaseClaim():
                self._claims.release(action.key)
            case events.FinishClaim():
                fingerprint = self.execution.request.fingerprint
                self._claims.finish(action.key, fingerprint, action.answer)
            case events.BookCost():
                self._book_cost(action)
            case events.DeliverPiece():
                # Pieces are sent by `_on_pieces`, which applies backpressure from slow callers.
                raise AssertionError("pieces must be delivered by the attempt that received them")
            case events.DeliverAnswer() | events.DeliverStoredAnswer() | events.DeliverFailure():
                if not self._final_action.done():
                    self._final_action.set_result(action)

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.create_task(coroutine)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def _deliver(self, final: _FinalAction) -> None:
        duration_ms = self.services.clock.now_ms() - self._started_ms
        self.services.metrics.timing("requests.duration_ms", duration_ms)
        match final:
            case events.DeliverAnswer():
                self._trace("answered")
                self.services.metrics.count("requests.answered")
                await self.sink.answer(final.answer)
            case events.DeliverStoredAnswer():
                self._trace("answered-from-store")
                self.services.metrics.count("requests.answered_from_store")
                await self.sink.stored_answer(final.status, final.content_type, final.body)
            case events.DeliverFailure():
                failure = final.failure
                self._trace("failed", failure.kind, ran=failure.ran.value, detail=failure.detail)
                self.services.metrics.count(f"requests.failed.{failure.kind}")
                await self.sink.failure(failure)

    async def _end_tasks(self) -> None:
        attempt_tasks = list(self._attempt_tasks.values())
        for task in attempt_tasks:
            task.cancel()
        await asyncio.gather(*attempt_tasks, return_exceptions=True)
        await asyncio.gather(*self._background_tasks, return_exceptions=True)

    # ---- claims and costs ----

    async def _claim(self, action: events.ClaimKey) -> None:
        request = self.execution.request
        wait_ms = request.deadline.remaining_ms(self.services.clock.now_ms())
        event = await self._claims.claim(
            action.key, request.fingerprint, request.first_submission, wait_ms
        )
        self._trace("claim", type(event).__name__)
        self._handle_event(event)

    def _book_cost(self, action: events.BookCost) -> None:
        request = self.execution.request
        pool = self.services.slots.pool(action.stage.pool)
        cost_per_unit = pool.cost_per_unit if pool is not None else 0
        entry = ledger.CostEntry(
            attempt=action.attempt.encode(),
            account=request.account,
            pipeline=request.pipeline.name,
            stage=action.stage.name,
            pool=action.stage.pool,
            units=action.usage.units,
            cost=action.usage.units * cost_per_unit,
            wasted=action.wasted,
        )
        self.services.ledger.book(entry)
        self._trace(
            "cost",
            stage=entry.stage,
            number=action.attempt.number,
            units=entry.units,
            cost=entry.cost,
            wasted=entry.wasted,
        )

    # ---- attempts ----

    async def _run_attempt(self, action: events.StartAttempt) -> None:
        try:
            event = await self._attempt(action)
        finally:
            self._attempt_tasks.pop(action.attempt, None)
        self._handle_event(event)

    async def _attempt(
        self, action: events.StartAttempt
    ) -> events.AttemptSucceeded | events.AttemptFailed | events.SlotDenied:
        waited_from_ms = self.services.clock.now_ms()
        decision = await self.services.slots.acquire(self._slot_request(action))
        wait_ms = self.services.clock.now_ms() - waited_from_ms
        if isinstance(decision, dispatch.SlotDenied):
            self._trace(
                "slot-denied",
                decision.failure.kind,
                stage=action.stage.name,
                wait_ms=wait_ms,
                detail=decision.failure.detail,
            )
            return events.SlotDenied(action.attempt, decision.failure)
        self._trace(
            "attempt",
            decision.rule,
            stage=action.stage.name,
            number=action.attempt.number,
            target=decision.target.id,
            wait_ms=wait_ms,
            **decision.figures,
        )
        return await self._call(action, decision)

    async def _call(
        self, action: events.StartAttempt, slot: dispatch.SlotGranted
    ) -> events.AttemptSucceeded | events.AttemptFailed:
        sent_ms = self.services.clock.now_ms()
        progress = _CallProgress()
        call = self._target_call(action, slot, progress)

        async def on_pieces(pieces: Sequence[calls.Piece]) -> bool:
            if progress.first_piece_ms is None:
                progress.first_piece_ms = self.services.clock.now_ms() - sent_ms
            return await self._on_pieces(action.attempt, pieces)

        result: Result[calls.CallSuccess, calls.CallFault] | None = None
        try:
            result = await self.services.targets.call(call, on_pieces)
        except asyncio.CancelledError:
            if progress.written:
                # Runs as a separate task, so that a second cancellation does not interrupt it.
                self._spawn(self._cancel_at_target(action, slot))
            raise
        finally:
            duration_ms = self.services.clock.now_ms() - sent_ms
            self.services.slots.release(
                action.attempt, _attempt_report(result, progress, duration_ms)
            )
        match result:
            case Result(tag="ok", ok=success):
                self._trace(
                    "attempt-succeeded",
                    stage=action.stage.name,
                    target=slot.target.id,
                    duration_ms=duration_ms,
                    first_piece_ms=progress.first_piece_ms,
                )
                return events.AttemptSucceeded(action.attempt, success.output, success.usage)
            case Result(error=fault):
                outcome = await self._read_back(call, slot, fault)
                if outcome is not None and outcome.output is not None:
                    return events.AttemptSucceeded(action.attempt, outcome.output, outcome.usage)
                self._trace(
                    "attempt-failed",
                    fault.fault.value,
                    stage=action.stage.name,
                    target=slot.target.id,
                    duration_ms=duration_ms,
                    ran=fault.ran.value,
                )
                self.services.metrics.count(f"attempts.failed.{fault.fault.value}")
                return events.AttemptFailed(
                    action.attempt, fault.fault, fault.ran, fault.usage, slot.target.id
                )

    async def _read_back(
        self, call: calls.TargetCall, slot: dispatch.SlotGranted, fault: calls.CallFault
    ) -> calls.TargetOutcome | None:
        """Reads the outcome of a non-repeatable call that may have run from its target."""
        if call.key is None or fault.ran is errors.RunStatus.NO or not slot.pool.readback:
            return None
        outcome = await self.services.targets.read_outcome(slot.target, call.key)
        executions = -1 if outcome is None else outcome.executions
        self._trace("read-back", executions=executions)
        return outcome

    async def _on_pieces(self, attempt: ids.AttemptId, pieces: Sequence[calls.Piece]) -> bool:
        accept = self.execution.accept_piece
        accepted_pieces: list[calls.Piece] = []
        for piece in pieces:
            accepted = accept(attempt, piece.index, piece.token_count, piece.text)
            if accepted is None:
                return False
            if accepted:
                accepted_pieces.append(piece)
        if accepted_pieces and self.execution.streams_to_caller and not self._caller_disconnected:
            try:
                await self.sink.pieces(accepted_pieces)
            except ConnectionError:
                # If raised here, the error would be mistaken for a lost connection to the target.
                self._caller_disconnected = True
                self.cancel()
        return True

    async def _cancel_at_target(
        self, action: events.StartAttempt, slot: dispatch.SlotGranted
    ) -> None:
        usage = await self.services.targets.cancel(slot.target, action.attempt)
        if usage is not None and usage.units > 0:
            self._book_cost(events.BookCost(action.attempt, action.stage, usage, wasted=True))

    def _slot_request(self, action: events.StartAttempt) -> dispatch.SlotRequest:
        request = self.execution.request
        return dispatch.SlotRequest(
            attempt=action.attempt,
            account=request.account,
            pipeline=request.pipeline.name,
            stage=action.stage,
            deadline_ms=request.deadline.at_ms,
            later_stages=request.pipeline.stages[action.attempt.stage_index + 1 :],
            priority=request.priority,
            excluded_targets=action.excluded_targets,
            fingerprint=request.fingerprint,
            prefix_hashes=_prefix_hashes(action),
        )

    def _target_call(
        self, action: events.StartAttempt, slot: dispatch.SlotGranted, progress: _CallProgress
    ) -> calls.TargetCall:
        request = self.execution.request
        key = None if action.stage.repeatable else request.key

        def before_write() -> bool:
            if not self.execution.may_dispatch(action.attempt, self.services.clock.now_ms()):
                return False
            if key is not None and not self._claims.may_dispatch(key):
                return False
            progress.written = True
            self.execution.mark_dispatched(action.attempt)
            return True

        return calls.TargetCall(
            attempt=action.attempt,
            target=slot.target,
            stage=action.stage,
            body=action.body,
            remaining_ms=request.deadline.remaining_ms(self.services.clock.now_ms()),
            priority=request.priority,
            account=request.account,
            key=key,
            resume_index=action.resume_index,
            resume_text=action.resume_text,
            before_write=before_write,
            max_service_ms=slot.pool.max_service_ms,
        )

    def _trace(self, kind: str, rule: str = "", **figures: Any) -> None:
        at_ms = self.services.clock.now_ms() - self._started_ms
        self.trace.records.append(explanations.TraceRecord(at_ms, kind, rule, figures))


def _prefix_hashes(action: events.StartAttempt) -> tuple[int, ...]:
    stage = action.stage
    if stage.kind is not manifest.StageKind.GENERATE:
        return ()
    return prompt.prefix_hashes(f"{stage.model}/{stage.adapter}", prompt.build(action.body))


@attrs.define
class _CallProgress:
    written: bool = False
    first_piece_ms: int | None = None


def _attempt_report(
    result: Result[calls.CallSuccess, calls.CallFault] | None,
    progress: _CallProgress,
    duration_ms: int,
) -> dispatch.AttemptReport:
    match result:
        case Result(tag="ok", ok=success):
            return dispatch.AttemptReport(
                fault=None,
                duration_ms=duration_ms,
                first_piece_ms=progress.first_piece_ms,
                load=success.load,
                cached_units=success.usage.cached_units,
            )
        case Result(tag="error", error=fault):
            return dispatch.AttemptReport(
                fault=fault.fault,
                duration_ms=duration_ms,
                first_piece_ms=progress.first_piece_ms,
                load=fault.load,
                sent=progress.written,
            )
        case _:
            return dispatch.AttemptReport(
                fault=events.AttemptFault.CANCELLED,
                duration_ms=duration_ms,
                first_piece_ms=progress.first_piece_ms,
                sent=progress.written,
            )
