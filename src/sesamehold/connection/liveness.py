"""Detection of silent connections from progress and from probes on a fresh connection.

A connection that makes no progress is either waiting for slow work or silent. The two look alike
from its inside, so the target is probed on a fresh connection once the quiet time exceeds a bound.
If the probe works and the connection is still quiet, the connection is closed. If several probes
in a row fail, the target is unreachable and the connection is given up as well.
"""

from __future__ import annotations

import enum

import attrs

# Engines send a piece every few tens of milliseconds once the first one is out; 1 s is far beyond
# the slowest step of a full batch.
STREAM_BOUND_MS = 1_000
# A repeatable call before its first byte is moved at half of its remaining time, but not earlier
# than this, so that short deadlines do not turn normal waits into duplicates.
FIRST_BYTE_FLOOR_MS = 1_000
RECHECK_MS = 250
PROBE_TIMEOUT_MS = 500
MAX_FAILED_PROBES = 3


class Verdict(enum.Enum):
    """What follows from the observations so far."""

    WAIT = "wait"
    PROBE = "probe"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


@attrs.frozen
class Step:
    """Verdict, and the time until the next observation if it is `WAIT`."""

    verdict: Verdict
    wait_ms: int = 0


def first_byte_bound_ms(*, repeatable: bool, remaining_ms: int, max_service_ms: int) -> int:
    """Returns the quiet time after which a call without an answer is probed.

    A call that must not be repeated is given the longest time that its pool states, because closing
    its connection leaves its outcome unknown.

    >>> first_byte_bound_ms(repeatable=True, remaining_ms=3_000, max_service_ms=30_000)
    1500
    >>> first_byte_bound_ms(repeatable=False, remaining_ms=3_000, max_service_ms=30_000)
    30000
    """
    if not repeatable:
        return max_service_ms
    return min(max_service_ms, max(FIRST_BYTE_FLOOR_MS, remaining_ms // 2))


@attrs.define
class ConnectionLiveness:
    """Judges one exchange on one connection.

    A silent connection is closed within `bound_ms` + `RECHECK_MS` + the time of one probe.

    Attributes:
        first_byte_bound_ms: Longest quiet time before the first byte of the answer.
        since_ms: Time at which the latest progress was observed.
        progress: Number of chunks received when it was last observed.
    """

    first_byte_bound_ms: int
    since_ms: int
    progress: int = 0
    _failed_probes: int = 0

    @property
    def bound_ms(self) -> int:
        """Returns the quiet time that is allowed now."""
        return STREAM_BOUND_MS if self.progress else self.first_byte_bound_ms

    def observe(self, progress: int, now_ms: int) -> Step:
        """Takes the number of chunks received so far; asks for a probe after the quiet time."""
        if self._moved(progress, now_ms):
            return Step(Verdict.WAIT, RECHECK_MS)
        quiet_ms = now_ms - self.since_ms
        if quiet_ms < self.bound_ms:
            return Step(Verdict.WAIT, min(RECHECK_MS, self.bound_ms - quiet_ms))
        return Step(Verdict.PROBE)

    def probed(self, *, worked: bool, progress: int, now_ms: int) -> Step:
        """Takes the result of a probe.

        Progress during the probe counts: after a pause of this process, data that arrived in the
        meantime is read while the probe runs.
        """
        if self._moved(progress, now_ms):
            return Step(Verdict.WAIT, RECHECK_MS)
        if worked:
            return Step(Verdict.SILENT)
        self._failed_probes += 1
        if self._failed_probes >= MAX_FAILED_PROBES:
            return Step(Verdict.UNREACHABLE)
        return Step(Verdict.WAIT, RECHECK_MS)

    def _moved(self, progress: int, now_ms: int) -> bool:
        if progress == self.progress:
            return False
        self.progress = progress
        self.since_ms = now_ms
        self._failed_probes = 0
        return True
