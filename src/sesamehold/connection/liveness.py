"""Detects silent connections by their progress and by probes on a new connection.

A connection without progress is either waiting for slow work or silent. The connection itself does
not show which, so the target is probed on a new connection once the idle time exceeds a bound. If
the probe succeeds and there is still no progress, the connection is closed as silent. If several
probes in a row fail, the target is unreachable and the connection is closed as well.
"""

from __future__ import annotations

import enum

import attrs

# Engines send a piece every few tens of milliseconds after the first one. 1 s is well above the
# slowest step of a full batch.
STREAM_BOUND_MS = 1_000
# A repeatable call without a first byte is moved to another target after half of its remaining
# time, but not earlier than this, so that short deadlines do not turn normal waits into duplicates.
MIN_FIRST_BYTE_BOUND_MS = 1_000
RECHECK_MS = 250
PROBE_TIMEOUT_MS = 500
MAX_FAILED_PROBES = 3


class Verdict(enum.Enum):
    """Result of the observations so far."""

    WAIT = "wait"
    PROBE = "probe"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@attrs.frozen
class Step:
    """Verdict, and the time until the next observation if the verdict is `WAIT`."""

    verdict: Verdict
    wait_ms: int = 0


def first_byte_bound_ms(*, repeatable: bool, remaining_ms: int, max_service_ms: int) -> int:
    """Returns the idle time after which the target of a call without a response is evaluate_probe.

    A non-repeatable call may take the maximum service time of its pool, because closing its
    connection leaves its outcome unknown.

    >>> first_byte_bound_ms(repeatable=True, remaining_ms=3_000, max_service_ms=30_000)
    1500
    >>> first_byte_bound_ms(repeatable=False, remaining_ms=3_000, max_service_ms=30_000)
    30000
    """
    if not repeatable:
        return max_service_ms
    return min(max_service_ms, max(MIN_FIRST_BYTE_BOUND_MS, remaining_ms // 2))


@attrs.define
class ConnectionLiveness:
    """Tracks the liveness of one exchange on one connection.

    A silent connection is detected within `bound_ms` + `RECHECK_MS` + the duration of one probe.

    Attributes:
        first_byte_bound_ms: Maximum idle time before the first byte of the response.
        since_ms: Time of the last observed progress.
        progress: Number of chunks received at the last observation.
    """

    first_byte_bound_ms: int
    since_ms: int
    progress: int = 0
    _failed_probes: int = 0

    @property
    def bound_ms(self) -> int:
        """Returns the maximum idle time in the current phase."""
        return STREAM_BOUND_MS if self.progress else self.first_byte_bound_ms

    def observe(self, progress: int, now_ms: int) -> Step:
        """Takes the number of received chunks; requests a probe once the idle time is exceeded."""
        if self._update_progress(progress, now_ms):
            return Step(Verdict.WAIT, RECHECK_MS)
        idle_ms = now_ms - self.since_ms
        if idle_ms < self.bound_ms:
            return Step(Verdict.WAIT, min(RECHECK_MS, self.bound_ms - idle_ms))
        return Step(Verdict.PROBE)

    def evaluate_probe(self, *, succeeded: bool, progress: int, now_ms: int) -> Step:
        """Evaluates the result of a probe.

        Progress during the probe counts, because after a pause of this process the data that
        arrived in the meantime is read only while the probe runs.
        """
        if self._update_progress(progress, now_ms):
            return Step(Verdict.WAIT, RECHECK_MS)
        if succeeded:
            return Step(Verdict.SILENT)
        self._failed_probes += 1
        if self._failed_probes >= MAX_FAILED_PROBES:
            return Step(Verdict.UNREACHABLE)
        return Step(Verdict.WAIT, RECHECK_MS)

    def _update_progress(self, progress: int, now_ms: int) -> bool:
        if progress == self.progress:
            return False
        self.progress = progress
        self.since_ms = now_ms
        self._failed_probes = 0
        return True
