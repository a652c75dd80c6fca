"""What the host in charge of stages knows of their targets: running calls, pace, room."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

# A call that takes longer than expected by this factor and time is given to another target, too.
OVERDUE_FACTOR = 1.5
OVERDUE_EXTRA_MS = 150
# An overdue call is given up after this many expected times.
ABANDON_FACTOR = 6.0
# Weight of the newest call in the average of actual to expected time.
PACE_WEIGHT = 0.3
# A target that had less room than expected holds results that another host ordered; most of them
# are freed within this time.
FOREIGN_MS = 500


@attrs.frozen
class PieceId:
    """One piece of one stage of a job."""

    job: stage_job.Job
    stage_index: int
    piece: int


@attrs.define(eq=False)
class Call:
    """One call to a target.

    Attributes:
        target: Where it goes.
        pieces: What is to be done.
        orders: The same, as sent.
        started_ms: Start of the call.
        expected_ms: Expected time of the call.
        waiting_count: Steps of the service that wait while the call is formed.
        held_bytes: Size of the results that lie at the target at its start.
        overdue: Whether its pieces were given to another target, too.
    """

    target: targets.Target
    pieces: tuple[PieceId, ...]
    orders: tuple[ports.PieceOrder, ...]
    started_ms: int
    expected_ms: float
    waiting_count: int = 0
    held_bytes: int = 0
    overdue: bool = False

    @property
    def overdue_at_ms(self) -> float:
        """Returns when the call counts as overdue."""
        return self.started_ms + self.expected_ms * OVERDUE_FACTOR + OVERDUE_EXTRA_MS

    @property
    def abandon_at_ms(self) -> float:
        """Returns when the call is given up."""
        return self.started_ms + self.expected_ms * ABANDON_FACTOR


@attrs.define
class Worker:
    """What is known of one start of a target.

    Attributes:
        incarnation: Identity of the start.
        calls: Calls that have not ended.
        pace: Moving average of actual to expected time of calls.
        avoid_until_ms: Time until which it gets no calls.
    """

    incarnation: str
    calls: list[Call] = attrs.field(factory=list)
    pace: float = 1.0
    avoid_until_ms: int = 0
    # Sizes of results that lie at the target, by handle, with the time at which they are dropped.
    _held: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    # Room that others' results must take up, because the target had less than is known of.
    _foreign_bytes: int = 0
    _foreign_until_ms: int = 0

    def held_bytes(self, now_ms: int) -> int:
        """Returns the size of the results that lie at the target."""
        for handle in [h for h, (_, until_ms) in self._held.items() if until_ms <= now_ms]:
            del self._held[handle]
        foreign = self._foreign_bytes if now_ms < self._foreign_until_ms else 0
        return foreign + sum(size for size, _ in self._held.values())

    def hold(self, handle: str, size_bytes: int, until_ms: int) -> None:
        """Notes a result that lies at the target until a time."""
        self._held[handle] = (size_bytes, until_ms)

    def drop(self, handle: str) -> None:
        """Notes that a result no longer takes up room."""
        self._held.pop(handle, None)

    def note_missing_room(self, size_bytes: int, now_ms: int) -> None:
        """Notes that the target had no room for a result, though it should have had."""
        self._foreign_until_ms = now_ms + FOREIGN_MS
        self._foreign_bytes += size_bytes

    def end_call(self, call: Call, now_ms: int) -> None:
        """Notes that a call has ended with results."""
        if now_ms >= self._foreign_until_ms:
            self._foreign_bytes = 0
        actual_ms = now_ms - call.started_ms
        self.pace += PACE_WEIGHT * (actual_ms / max(1.0, call.expected_ms) - self.pace)

    def frees_within(self, wait_ms: int, now_ms: int) -> bool:
        """Returns whether its call is expected to end within a time."""
        if self.avoid_until_ms > now_ms or not self.calls:
            return False
        call = self.calls[0]
        return not call.overdue and call.started_ms + call.expected_ms - now_ms <= wait_ms


@attrs.define
class WorkerTable:
    """Targets of stages by identity."""

    _workers: dict[str, Worker] = attrs.field(factory=dict)

    def get(self, target: targets.Target) -> Worker:
        """Returns what is known of this start of a target."""
        worker = self._workers.get(target.target_id)
        if worker is None or worker.incarnation != target.incarnation:
            worker = self._workers[target.target_id] = Worker(target.incarnation)
        return worker

    def calls(self) -> Iterator[Call]:
        """Yields all calls that have not ended."""
        for worker in self._workers.values():
            yield from worker.calls

    def remove_call(self, call: Call) -> Worker:
        """Forgets a call that has ended; returns its target."""
        worker = self.get(call.target)
        if call in worker.calls:
            worker.calls.remove(call)
        return worker

    def next_wake_ms(self) -> float | None:
        """Returns when an overdue call needs attention, None if no call runs."""
        times = [
            call.abandon_at_ms if call.overdue else call.overdue_at_ms for call in self.calls()
        ]
        return min(times, default=None)
