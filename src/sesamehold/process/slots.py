"""Waiting for target slots on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from sesamehold.process import clock as clocks
from sesamehold.process import dispatch
from sesamehold.request import ids
from sesamehold.version import manifest


def _noop() -> None:
    pass


@attrs.define
class SlotRegistry:
    """Resolves waiting slot requests with the decisions of the dispatcher.

    Attributes:
        dispatcher: Decides which target runs which attempt.
        clock: Source of time.
        on_released: Called after each released slot and before the request continues, so that the
            findings of the attempt reach other hosts before a refusal reaches the caller.
    """

    dispatcher: dispatch.Dispatcher
    clock: clocks.Clock
    on_released: Callable[[], None] = _noop
    _pools: dict[str, manifest.Pool] = attrs.field(factory=dict)
    _waiters: dict[ids.AttemptId, asyncio.Future[dispatch.SlotGranted | dispatch.SlotDenied]] = (
        attrs.field(factory=dict)
    )

    async def acquire(
        self, request: dispatch.SlotRequest
    ) -> dispatch.SlotGranted | dispatch.SlotDenied:
        """Requests a slot and waits until it is granted or denied."""
        decision = self.dispatcher.acquire(request, self.clock.now_ms())
        if not isinstance(decision, dispatch.SlotQueued):
            return decision
        waiter = asyncio.get_running_loop().create_future()
        self._waiters[request.attempt] = waiter
        try:
            result: dispatch.SlotGranted | dispatch.SlotDenied = await waiter
        except asyncio.CancelledError:
            self._cancel_wait(request.attempt, waiter)
            raise
        finally:
            self._waiters.pop(request.attempt, None)
        return result

    def release(self, attempt: ids.AttemptId, report: dispatch.AttemptReport) -> None:
        """Releases a granted slot."""
        self._resolve(self.dispatcher.release(attempt, report, self.clock.now_ms()))
        self.on_released()

    def configure(self, version: manifest.Manifest) -> None:
        """Passes a new configuration version to the dispatcher."""
        self._pools = {pool.name: pool for pool in version.pools}
        self._resolve(self.dispatcher.configure(version, self.clock.now_ms()))

    def pool(self, name: str) -> manifest.Pool | None:
        """Returns a pool of the current configuration version, None if it does not exist."""
        return self._pools.get(name)

    def record_load_report(
        self, target_id: str, load: dispatch.LoadReport, requested_ms: int
    ) -> None:
        """Passes a load report that was fetched without sending work to the dispatcher."""
        now_ms = self.clock.now_ms()
        self._resolve(self.dispatcher.record_load_report(target_id, load, requested_ms, now_ms))

    def tick(self) -> None:
        """Runs the periodic work of the dispatcher."""
        self._resolve(self.dispatcher.tick(self.clock.now_ms()))

    def _cancel_wait(
        self,
        attempt: ids.AttemptId,
        waiter: asyncio.Future[dispatch.SlotGranted | dispatch.SlotDenied],
    ) -> None:
        granted = waiter.done() and not waiter.cancelled()
        if granted and isinstance(waiter.result(), dispatch.SlotGranted):
            # The grant and the cancellation happened in the same loop iteration.
            self.release(attempt, dispatch.AttemptReport(fault=None, duration_ms=0, sent=False))
        else:
            self.dispatcher.withdraw(attempt, self.clock.now_ms())

    def _resolve(self, decisions: list[dispatch.SlotDecision]) -> None:
        for decision in decisions:
            if isinstance(decision, dispatch.SlotQueued):
                continue
            waiter = self._waiters.get(decision.attempt)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)
            elif isinstance(decision, dispatch.SlotGranted):
                self.release(
                    decision.attempt,
                    dispatch.AttemptReport(fault=None, duration_ms=0, sent=False),
                )
