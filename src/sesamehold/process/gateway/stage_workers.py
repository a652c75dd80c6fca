"""State that the leader keeps for each stage target: running calls, speed and used memory."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

# A call that exceeds its expected time by this factor and margin is hedged: its pieces are sent to
# another target as well.
OVERDUE_FACTOR = 1.5
OVERDUE_MARGIN_MS = 150
# A call times out after this multiple of its expected time.
TIMEOUT_FACTOR = 6.0
# Weight of the latest call in the moving average of the ratio of actual to expected time.
SLOWDOWN_EWMA_WEIGHT = 0.3
# A target with less free memory than expected holds results of calls from another host. Most of
# them are freed within this time.
EXTERNAL_RESULTS_TTL_MS = 500


@attrs.frozen
class PieceRef:
    """Reference to one piece of one stage of a job."""

    job: stage_job.Job
    stage_index: int
    piece: int


@attrs.define(eq=False)
class Call:
    """One call to a target.

    Attributes:
        target: Target that receives the call.
        pieces: Pieces to process.
        piece_calls: The pieces in the form in which they are sent, in the same order.
        started_ms: Monotonic start time.
        expected_ms: Expected duration.
        stated_slowdown: Slowdown that the target stated when the call was formed, for the log.
        waiting_count: Queue length of the service when the call was formed, for the log.
        held_bytes: Size of the results held by the target at the start, for the log.
        overdue: Whether the pieces have been released for a hedged call to another target.
    """

    target: targets.Target
    pieces: tuple[PieceRef, ...]
    piece_calls: tuple[ports.PieceCall, ...]
    started_ms: int
    expected_ms: float
    stated_slowdown: float = 1.0
    waiting_count: int = 0
    held_bytes: int = 0
    overdue: bool = False

    @property
    def overdue_at_ms(self) -> float:
        """Returns the monotonic time after which the call is hedged."""
        return self.started_ms + self.expected_ms * OVERDUE_FACTOR + OVERDUE_MARGIN_MS

    @property
    def timeout_at_ms(self) -> float:
        """Returns the monotonic time at which the call times out."""
        return self.started_ms + self.expected_ms * TIMEOUT_FACTOR


@attrs.define
class Worker:
    """State of one incarnation of a stage target.

    Attributes:
        incarnation: Identity of this start of the target.
        calls: Calls in flight.
        slowdown: Moving average of the ratio of actual to expected call time.
        backoff_until_ms: Monotonic time until which the target receives no calls.
    """

    incarnation: str
    calls: list[Call] = attrs.field(factory=list)
    slowdown: float = 1.0
    backoff_until_ms: int = 0
    # Size and expiry time of each result held by the target, by handle.
    _results: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    # Memory attributed to results of other hosts after the target reported a shortage.
    _external_bytes: int = 0
    _external_until_ms: int = 0

    def held_bytes(self, now_ms: int) -> int:
        """Returns the total size of the results held by the target."""
        for handle in [h for h, (_, until_ms) in self._results.items() if until_ms <= now_ms]:
            del self._results[handle]
        external = self._external_bytes if now_ms < self._external_until_ms else 0
        return external + sum(size for size, _ in self._results.values())

    def add_result(self, handle: str, size_bytes: int, until_ms: int) -> None:
        """Records a result that the target holds until it is freed or expires."""
        self._results[handle] = (size_bytes, until_ms)

    def remove_result(self, handle: str) -> None:
        """Records that a result no longer occupies memory."""
        self._results.pop(handle, None)

    def record_memory_shortage(self, size_bytes: int, now_ms: int) -> None:
        """Records that the target lacked memory for a result that should have fitted."""
        self._external_until_ms = now_ms + EXTERNAL_RESULTS_TTL_MS
        self._external_bytes += size_bytes

    def record_call_end(self, call: Call, now_ms: int) -> None:
        """Updates the slowdown after a call with results and resets expired external memory."""
        if now_ms >= self._external_until_ms:
            self._external_bytes = 0
        actual_ms = now_ms - call.started_ms
        self.slowdown += SLOWDOWN_EWMA_WEIGHT * (
            actual_ms / max(1.0, call.expected_ms) - self.slowdown
        )

    def present_slowdown(self, stated: float) -> float:
        """Returns the expected ratio of actual to usual time of a call that starts now.

        The average over past calls is of what the stated slowdown does not explain, as their
        expected times contain it. A target that states to be faster than usual is not held to it:
        its calls would be overdue or time out too early.

        Args:
            stated: Slowdown that the target states, 1.0 if nothing is known.
        """
        return max(1.0, self.slowdown) * max(1.0, stated)

    def is_free_within(self, wait_ms: int, now_ms: int) -> bool:
        """Returns whether the oldest call is expected to end within `wait_ms`."""
        if self.backoff_until_ms > now_ms or not self.calls:
            return False
        call = self.calls[0]
        return not call.overdue and call.started_ms + call.expected_ms - now_ms <= wait_ms


@attrs.define
class WorkerTable:
    """State of all stage targets by identity."""

    _workers: dict[str, Worker] = attrs.field(factory=dict)

    def get(self, target: targets.Target) -> Worker:
        """Returns the state of a target, a new one if the target has restarted."""
        worker = self._workers.get(target.target_id)
        if worker is None or worker.incarnation != target.incarnation:
            worker = self._workers[target.target_id] = Worker(target.incarnation)
        return worker

    def calls(self) -> Iterator[Call]:
        """Yields all calls in flight."""
        for worker in self._workers.values():
            yield from worker.calls

    def remove_call(self, call: Call) -> Worker:
        """Removes a call that has ended; returns the state of its target."""
        worker = self.get(call.target)
        if call in worker.calls:
            worker.calls.remove(call)
        return worker

    def next_timeout_ms(self) -> float | None:
        """Returns the earliest time at which a call becomes overdue or times out, None if idle."""
        times = [
            call.timeout_at_ms if call.overdue else call.overdue_at_ms for call in self.calls()
        ]
        return min(times, default=None)
