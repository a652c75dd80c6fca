"""Runs the calls that the stage scheduler forms."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Work that arrives within this time shares a call; a round trip between zones takes about 2 ms.
GATHER_S = 0.004
FREE_TIMEOUT_S = 1.0
# A free target fetches the inputs of a call at once, which takes milliseconds.
INPUT_READ_S = 0.05
# Results that are freed together share a call.
FREE_DELAY_S = 0.003
_MS_PER_S = 1_000
_STATUS_OK = 200


@attrs.define(eq=False)
class StagePool:
    """Stages of requests of this host, and of other hosts that hand them over."""

    _state: states.GatewayState
    _client: ports.TargetClient
    _codec: ports.StageCodec
    _scheduler: stage_scheduler.StageScheduler = attrs.field(init=False)
    _waiters: dict[str, asyncio.Future[ports.StageFailure | None]] = attrs.field(factory=dict)
    _results: dict[str, ports.StageResults] = attrs.field(factory=dict)
    _listeners: dict[str, ports.ProgressListener] = attrs.field(factory=dict)
    _in_charge: bool = True
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _pump_handle: asyncio.TimerHandle | None = None
    _pump_at_s: float = 0.0
    _free_handle: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self._scheduler = stage_scheduler.StageScheduler(
            self._state.directory.usable, self._pool_of, self._state.directory.find
        )

    def __len__(self) -> int:
        return len(self._scheduler)

    @property
    def open_count(self) -> int:
        """Returns the number of requests whose stages are not all done."""
        return self._scheduler.open_count

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> Result[ports.StageResults, ports.StageFailure]:
        """Does all stages of a request; see `ports.StageRunner`."""
        request_id = request.request_id
        # A host that takes over may send a request that another host gave up on before.
        self.release(request_id)
        failure = self._scheduler.submit(request, self._state.clock.now_ms())
        if failure is not None:
            self._state.measures.stage_jobs.labels(failure.kind).inc()
            return Error(failure)
        waiter: asyncio.Future[ports.StageFailure | None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[request_id] = waiter
        if listener is not None:
            self._listeners[request_id] = listener
        self._schedule(GATHER_S)
        try:
            failure = await waiter
        except asyncio.CancelledError:
            self.release(request_id)
            raise
        finally:
            if self._waiters.get(request_id) is waiter:
                del self._waiters[request_id]
                self._listeners.pop(request_id, None)
        self._state.measures.stage_jobs.labels("done" if failure is None else failure.kind).inc()
        if failure is not None:
            return Error(failure)
        return Ok(self._results.pop(request_id))

    def release(self, request_id: str) -> None:
        """Frees the results of a request, or drops its work."""
        self._scheduler.release(request_id)
        self._results.pop(request_id, None)
        self._schedule_free()

    def set_in_charge(self, in_charge: bool) -> None:
        """Says whether this host is in charge.

        If it is not, other hosts go on with its jobs, now or when their running calls have ended.
        """
        self._in_charge = in_charge
        if not in_charge:
            self._schedule(0.0)

    async def close(self) -> None:
        """Ends all calls."""
        for handle in (self._pump_handle, self._free_handle):
            if handle is not None:
                handle.cancel()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _pool_of(self, service: str) -> routing.StagePool | None:
        table = self._state.table
        known = table.services.get(service) if table is not None else None
        return known.stage_pool if known is not None else None

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        at_s = loop.time() + delay_s
        if self._pump_handle is not None:
            # The time is kept here because uvloop's handles for "now" do not have one.
            if self._pump_at_s <= at_s:
                return
            self._pump_handle.cancel()
        self._pump_at_s = at_s
        self._pump_handle = loop.call_at(at_s, self._pump)

    def _pump(self) -> None:
        self._pump_handle = None
        now_ms = self._state.clock.now_ms()
        calls: list[stage_workers.Call] = []
        if self._in_charge:
            calls, finished = self._scheduler.plan(now_ms)
        else:
            finished = self._scheduler.hand_over(now_ms)
            # Orders that come later are taken again: their senders know no better host.
            self._in_charge = not self.open_count
        self._settle(finished)
        for call in calls:
            self._start(self._call(call))
        if len(self._scheduler):
            wake_ms = self._scheduler.next_wake_ms()
            delay_ms = 50.0 if wake_ms is None else min(50.0, max(5.0, wake_ms - now_ms))
            self._schedule(delay_ms / _MS_PER_S)
        self._schedule_free()

    async def _call(self, call: stage_workers.Call) -> None:
        self._state.measures.stage_call_pieces.labels(call.target.service).observe(len(call.pieces))
        loop = asyncio.get_running_loop()
        reading = loop.call_later(INPUT_READ_S, self._on_inputs_read, call)
        try:
            outcome = await self._exchange(call)
        finally:
            reading.cancel()
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
        self._settle(finished)
        self._schedule(0.0)

    def _report_progress(self, call: stage_workers.Call) -> None:
        jobs = {piece.job.request.request_id: piece.job for piece in call.pieces}
        for request_id, job in jobs.items():
            listener = self._listeners.get(request_id)
            if listener is not None and not job.done:
                listener(job.made_pieces())

    def _on_inputs_read(self, call: stage_workers.Call) -> None:
        self._scheduler.on_inputs_read(call, self._state.clock.now_ms())
        self._schedule_free()

    async def _exchange(
        self, call: stage_workers.Call
    ) -> Result[list[ports.PieceResult], stage_scheduler.CallFault]:
        request = self._codec.run_call(call.target, call.orders)
        timeout_s = call.expected_ms * stage_workers.ABANDON_FACTOR / _MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                sent = await self._client.send(call.target, request, None, reuse=True)
                match sent:
                    case Result(tag="ok", ok=answer):
                        return await self._read(call, answer)
                    case Result(error=fault):
                        return Error(
                            stage_scheduler.CallFault(fault.kind, fault.sent, reachable=False)
                        )
        except TimeoutError:
            return Error(stage_scheduler.CallFault("timeout", worked=True, reachable=False))

    async def _read(
        self, call: stage_workers.Call, answer: ports.TargetAnswer
    ) -> Result[list[ports.PieceResult], stage_scheduler.CallFault]:
        fault = stage_scheduler.CallFault
        try:
            body = b"".join([chunk async for chunk in answer.chunks()])
        except ports.BrokenAnswerError:
            return Error(fault("broken-answer", worked=True, reachable=True))
        finally:
            answer.release()
        if answer.head.not_run or answer.head.wrong_target:
            return Error(fault(f"rejected-{answer.head.status}", worked=False, reachable=True))
        if answer.head.status != _STATUS_OK:
            return Error(fault(f"status-{answer.head.status}", worked=True, reachable=True))
        results = self._codec.results(body, len(call.pieces))
        if results is None:
            return Error(fault("malformed-answer", worked=True, reachable=True))
        return Ok(results)

    def _settle(self, finished: list[stage_scheduler.Finished]) -> None:
        for item in finished:
            request_id = item.job.request.request_id
            waiter = self._waiters.get(request_id)
            if waiter is None or waiter.done():
                continue
            if item.failure is None:
                self._results[request_id] = item.job.results()
            waiter.set_result(item.failure)

    def _schedule_free(self) -> None:
        if self._free_handle is None:
            loop = asyncio.get_running_loop()
            self._free_handle = loop.call_later(FREE_DELAY_S, self._free)

    def _free(self) -> None:
        self._free_handle = None
        for target, handles in self._scheduler.take_freed():
            self._start(self._free_at(target, handles))

    async def _free_at(self, target: targets.Target, handles: list[str]) -> None:
        request = self._codec.free_call(target, handles)
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
                        self._schedule(0.0)
                    case Result(error=fault):
                        self._log_free(target, fault.kind)
        except (TimeoutError, ports.BrokenAnswerError) as error:
            # The target drops the results by itself some seconds later.
            self._log_free(target, type(error).__name__)

    def _log_free(self, target: targets.Target, fault: str) -> None:
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
            waiting=call.waiting_count,
            held_bytes=call.held_bytes,
            overdue=call.overdue or None,
            **fields,
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._state.log.write("stage.error", error=repr(task.exception()))
