"""Runs the stages of requests on this host: sends the calls that the stage scheduler forms."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process.gateway import account_labels
from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Planning is delayed by this time after a submission, so that requests that arrive together share a
# call. A round trip between zones takes about 2 ms.
BATCH_DELAY_S = 0.004
FREE_TIMEOUT_S = 1.0
# Time after the start of a call at which its inputs count as fetched: an idle target fetches them
# at once, which takes milliseconds.
INPUT_FETCH_S = 0.05
# Longest answer to a stage call: a few hundred handles of less than 100 bytes.
MAX_ANSWER_BYTES = 1_048_576
# Results that are freed within this time share a call.
FREE_BATCH_DELAY_S = 0.003
# Delay of the next plan after an unexpected error.
ERROR_DELAY_S = 0.05
MAX_REASON_LENGTH = 200
_MS_PER_S = 1_000
_STATUS_OK = 200


@attrs.define(eq=False)
class LocalStageRunner:
    """Runs stages for requests of this host and for those that other hosts delegate to it."""

    _state: states.GatewayState
    _client: ports.TargetClient
    _codec: ports.StageCodec
    _scheduler: stage_scheduler.StageScheduler = attrs.field(init=False)
    _waiters: dict[str, asyncio.Future[ports.StageFailure | None]] = attrs.field(factory=dict)
    _results: dict[str, ports.StageResults] = attrs.field(factory=dict)
    _listeners: dict[str, ports.ProgressListener] = attrs.field(factory=dict)
    _account_labels: account_labels.AccountLabels = attrs.field(
        factory=account_labels.AccountLabels
    )
    _is_leader: bool = True
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _plan_timer: asyncio.TimerHandle | None = None
    _plan_at_s: float = 0.0
    _free_timer: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self._scheduler = stage_scheduler.StageScheduler(
            self._state.directory.usable,
            self._pool_for,
            self._state.directory.find,
            self._state.may_call_stage,
            self._state.target_load,
            self._state.rng,
            self._state.is_large_fleet,
        )

    def __len__(self) -> int:
        return len(self._scheduler)

    @property
    def open_count(self) -> int:
        """Returns the number of requests with unfinished stages."""
        return self._scheduler.open_count

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> Result[ports.StageResults, ports.StageFailure]:
        """Runs all stages of a request; see `ports.StageRunner`."""
        request_id = request.request_id
        # A host that takes over may submit a request that another host gave up before, so an
        # earlier job may still exist.
        self.release(request_id)
        failure = self._scheduler.submit(request, self._state.clock.now_ms())
        if failure is not None:
            self._state.metrics.stage_jobs.labels(failure.kind).inc()
            self._log_refusal(request, failure, 0)
            return Error(failure)
        waiter: asyncio.Future[ports.StageFailure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[request_id] = waiter
        if listener is not None:
            self._listeners[request_id] = listener
        self._schedule_plan(BATCH_DELAY_S)
        try:
            failure = await waiter
        except asyncio.CancelledError:
            # The host of the caller may have submitted the request again meanwhile.
            if self._waiters.get(request_id) is waiter:
                self.release(request_id)
            raise
        finally:
            if self._waiters.get(request_id) is waiter:
                del self._waiters[request_id]
                self._listeners.pop(request_id, None)
        self._state.metrics.stage_jobs.labels("done" if failure is None else failure.kind).inc()
        if failure is not None:
            return Error(failure)
        return Ok(self._results.pop(request_id))

    def release(self, request_id: str) -> None:
        """Frees the results of a request; cancels its stages if they are not done."""
        self._scheduler.release(request_id)
        self._results.pop(request_id, None)
        self._schedule_free()

    def set_leader(self, is_leader: bool) -> None:
        """Sets whether this host is the leader.

        If it is not, its open jobs are handed over as soon as their calls in flight have ended.
        """
        self._is_leader = is_leader
        if not is_leader:
            self._schedule_plan(0.0)

    async def close(self) -> None:
        """Cancels all calls and timers."""
        for handle in (self._plan_timer, self._free_timer):
            if handle is not None:
                handle.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _pool_for(self, service: str) -> routing.StagePool | None:
        table = self._state.table
        known = table.services.get(service) if table is not None else None
        return known.stage_pool if known is not None else None

    def _schedule_plan(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        at_s = loop.time() + delay_s
        if self._plan_timer is not None:
            # Stored separately because uvloop handles that are due immediately have no `when()`.
            if self._plan_at_s <= at_s:
                return
            self._plan_timer.cancel()
        self._plan_at_s = at_s
        self._plan_timer = loop.call_at(at_s, self._run_scheduler)

    def _run_scheduler(self) -> None:
        self._plan_timer = None
        try:
            self._plan()
        except Exception as error:  # noqa: BLE001
            self._log_error(error)
            self._schedule_plan(ERROR_DELAY_S)

    def _plan(self) -> None:
        now_ms = self._state.clock.now_ms()
        calls: list[stage_workers.Call] = []
        if self._is_leader:
            calls, finished = self._scheduler.plan(now_ms)
        else:
            finished = self._scheduler.hand_over(now_ms)
            # Later requests are accepted again, because their senders know no other leader.
            self._is_leader = not self.open_count
        self._complete(finished)
        for change in self._scheduler.take_shortage_changes():
            self._state.log.write(
                "stage.shortage",
                service=change.service,
                began=change.is_short,
                drain_ms=round(change.drain_ms),
                accounts=change.account_count,
            )
        for call in calls:
            self._state.record_stage_call(call.target)
            self._start_task(self._run_call(call))
        if len(self._scheduler):
            timeout_ms = self._scheduler.next_timeout_ms()
            delay_ms = 50.0 if timeout_ms is None else min(50.0, max(5.0, timeout_ms - now_ms))
            self._schedule_plan(delay_ms / _MS_PER_S)
        self._schedule_free()

    async def _run_call(self, call: stage_workers.Call) -> None:
        self._state.metrics.stage_call_pieces.labels(call.target.service).observe(len(call.pieces))
        loop = asyncio.get_running_loop()
        fetch_timer = loop.call_later(INPUT_FETCH_S, self._on_inputs_read, call)
        try:
            outcome = await self._send_call(call)
        except Exception as error:  # noqa: BLE001
            # The scheduler counts the call as running until it gets an outcome.
            self._log_error(error)
            fault = stage_scheduler.CallFault("internal", may_have_run=True, reachable=False)
            outcome = Error(fault)
        finally:
            fetch_timer.cancel()
        now_ms = self._state.clock.now_ms()
        match outcome:
            case Result(tag="ok", ok=results):
                finished = self._scheduler.on_results(call, results, now_ms)
                self._report_progress(call)
                reasons = sorted({result.reason for result in results if result.reason})
                self._log_call(call, now_ms, "done", reasons=reasons or None)
            case Result(error=fault):
                finished = self._scheduler.on_fault(call, fault, now_ms)
                self._log_call(call, now_ms, fault.kind)
        self._complete(finished)
        self._schedule_plan(0.0)

    def _report_progress(self, call: stage_workers.Call) -> None:
        jobs = {piece.job.request.request_id: piece.job for piece in call.pieces}
        for request_id, job in jobs.items():
            listener = self._listeners.get(request_id)
            if listener is not None and not job.done:
                listener(job.completed_pieces())

    def _on_inputs_read(self, call: stage_workers.Call) -> None:
        self._scheduler.on_inputs_read(call, self._state.clock.now_ms())
        self._schedule_free()

    async def _send_call(
        self, call: stage_workers.Call
    ) -> Result[list[ports.PieceResult], stage_scheduler.CallFault]:
        request = self._codec.encode_run_call(call.target, call.piece_calls)
        timeout_s = call.expected_ms * stage_workers.TIMEOUT_FACTOR / _MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                # Answers to stage calls carry no request id, so a second copy of an earlier answer
                # could not be told from the answer to this call on a reused connection.
                sent = await self._client.send(call.target, request, None, reuse=False)
                match sent:
                    case Result(tag="ok", ok=answer):
                        return await self._read_results(call, answer)
                    case Result(error=fault):
                        return Error(
                            stage_scheduler.CallFault(fault.kind, fault.sent, reachable=False)
                        )
        except TimeoutError:
            return Error(stage_scheduler.CallFault("timeout", may_have_run=True, reachable=False))

    async def _read_results(
        self, call: stage_workers.Call, answer: ports.TargetAnswer
    ) -> Result[list[ports.PieceResult], stage_scheduler.CallFault]:
        fault = stage_scheduler.CallFault
        chunks: list[bytes] = []
        size_bytes = 0
        try:
            async for chunk in answer.chunks():
                chunks.append(chunk)
                size_bytes += len(chunk)
                if size_bytes > MAX_ANSWER_BYTES:
                    return Error(fault("answer-too-large", may_have_run=True, reachable=True))
        except ports.BrokenAnswerError:
            return Error(fault("broken-answer", may_have_run=True, reachable=True))
        finally:
            answer.release()
        if answer.head.not_run or answer.head.wrong_target:
            return Error(
                fault(f"rejected-{answer.head.status}", may_have_run=False, reachable=True)
            )
        if answer.head.status != _STATUS_OK:
            return Error(fault(f"status-{answer.head.status}", may_have_run=True, reachable=True))
        results = self._codec.decode_results(b"".join(chunks), len(call.pieces))
        if results is None:
            return Error(fault("malformed-answer", may_have_run=True, reachable=True))
        return Ok(results)

    def _complete(self, finished: list[stage_scheduler.FinishedJob]) -> None:
        for item in finished:
            request_id = item.job.request.request_id
            waiter = self._waiters.get(request_id)
            if waiter is None or waiter.done():
                continue
            waited_ms = self._state.clock.now_ms() - item.job.submitted_at_ms
            if item.failure is None:
                self._results[request_id] = item.job.results()
                self._state.metrics.stage_account_seconds.labels(
                    self._account_labels.label(item.job.request.account)
                ).observe(waited_ms / _MS_PER_S)
            elif item.failure.kind != ports.HANDED_OVER:
                self._log_refusal(item.job.request, item.failure, waited_ms)
            waiter.set_result(item.failure)

    def _log_refusal(
        self, request: ports.StageRequest, failure: ports.StageFailure, waited_ms: int
    ) -> None:
        label = self._account_labels.label(request.account)
        self._state.metrics.stage_refusals.labels(failure.kind, label).inc()
        self._state.log.write(
            "stage.refused",
            request=request.request_id,
            reason=failure.kind,
            account=request.account or None,
            urgency=request.urgency,
            waited_ms=waited_ms,
            left_ms=request.deadline_ms - waited_ms,
            retry_after_ms=failure.retry_after_ms,
        )

    def _schedule_free(self) -> None:
        if self._free_timer is None:
            loop = asyncio.get_running_loop()
            self._free_timer = loop.call_later(FREE_BATCH_DELAY_S, self._free)

    def _free(self) -> None:
        self._free_timer = None
        for target, handles in self._scheduler.take_freed():
            if not self._state.may_contact(target):
                self._log_free_failure(target, "target-waits")
                continue
            self._start_task(self._free_at(target, handles))

    async def _free_at(self, target: targets.Target, handles: list[str]) -> None:
        request = self._codec.encode_free_call(target, handles)
        try:
            async with asyncio.timeout(FREE_TIMEOUT_S):
                match await self._client.send(target, request, None, reuse=True):
                    case Result(tag="ok", ok=answer):
                        try:
                            async for _ in answer.chunks():
                                pass
                        finally:
                            answer.release()
                        self._scheduler.on_freed(target, handles)
                        self._schedule_plan(0.0)
                    case Result(error=fault):
                        self._log_free_failure(target, fault.kind)
        except (TimeoutError, ports.BrokenAnswerError) as error:
            # The target drops the results by itself when their retention time ends, after seconds.
            self._log_free_failure(target, type(error).__name__)

    def _log_free_failure(self, target: targets.Target, fault: str) -> None:
        self._state.log.write("stage.free-failed", target=target.target_id, fault=fault)

    def _log_call(
        self, call: stage_workers.Call, now_ms: int, outcome: str, **fields: object
    ) -> None:
        self._state.log.write(
            "stage.call",
            target=call.target.target_id,
            outcome=outcome,
            pieces=len(call.pieces),
            requests=sorted({piece.job.request.request_id for piece in call.pieces}),
            duration_ms=now_ms - call.started_ms,
            expected_ms=round(call.expected_ms),
            stated_slowdown=round(call.stated_slowdown, 2),
            waiting=call.waiting_count,
            held_bytes=call.held_bytes,
            overdue=call.overdue or None,
            **fields,
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._log_error(error)

    def _log_error(self, error: BaseException) -> None:
        self._state.log.write("stage.error", error=repr(error)[:MAX_REASON_LENGTH])
