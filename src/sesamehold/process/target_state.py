"""State of a target as seen by one host."""

from __future__ import annotations

import collections
import enum
from typing import Any

import attrs

from sesamehold.process import concurrency
from sesamehold.process import dispatch
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest

# A load report is discounted with its age and ignored after this time, because it is outdated.
REPORT_HORIZON_MS = 1_000
EJECTION_FAILURES = 3
EJECTION_BASE_MS = 1_000
EJECTION_MAX_MS = 30_000
# A time-out earlier than this is attributed to the deadline of the caller, not to the target.
SLOW_TIMEOUT_MS = 1_000
# Targets of pools without load reports never report warm, so a cold signal expires after this time.
UNREPORTED_COLD_MS = 30_000
CRASH_HISTORY = 16
_SMOOTHING = 0.1

_FAILURE_FAULTS = frozenset(
    {
        events.AttemptFault.NO_CONNECTION,
        events.AttemptFault.CONNECTION_LOST,
        events.AttemptFault.SILENT,
        events.AttemptFault.BAD_ANSWER,
        events.AttemptFault.ERROR_ANSWER,
    }
)
_RESTART_FAULTS = frozenset(
    {events.AttemptFault.NO_CONNECTION, events.AttemptFault.CONNECTION_LOST}
)


class Temperature(enum.Enum):
    """Whether a target has completed its cold start.

    `UNKNOWN` targets are treated as cold until they report, because a host that has just started or
    has lost its connection to a target cannot tell whether the target is cold.
    """

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"


@attrs.define(eq=False)
class TargetState:
    """Load, temperature and health of one target as seen by this host.

    Attributes:
        target: The target in the current configuration version.
        pool: Pool of the target.
        limit: Adaptive concurrency limit.
        zone_in_service: False while its availability zone is out of service.
        outstanding: Granted attempts of this host that have not ended, with their grant times.
        reserved_for: Attempt that must run alone on this target.
        slowness: Smoothed ratio of its service times to the median of its pool.
        crash_times_ms: Times of its most recent crashes.
    """

    target: manifest.Target
    pool: manifest.Pool
    limit: concurrency.AdaptiveLimit
    zone_in_service: bool = True
    temperature: Temperature = Temperature.UNKNOWN
    outstanding: dict[ids.AttemptId, int] = attrs.field(factory=dict)
    reserved_for: ids.AttemptId | None = None
    slowness: float = 1.0
    crash_times_ms: collections.deque[int] = attrs.field(
        factory=lambda: collections.deque(maxlen=CRASH_HISTORY)
    )
    _start_id: str = ""
    _cold_since_ms: int = 0
    _reported_other_load: int = 0
    _reported_ms: int | None = None
    _failures: int = 0
    _ejections: int = 0
    _ejected_until_ms: int | None = None

    @classmethod
    def from_config(
        cls, target: manifest.Target, pool: manifest.Pool, *, zone_in_service: bool
    ) -> TargetState:
        """Returns the initial state of a target."""
        return cls(
            target,
            pool,
            concurrency.AdaptiveLimit(pool.capacity_warm),
            zone_in_service=zone_in_service,
            # Without load reports, the target would never become warm.
            temperature=Temperature.UNKNOWN if pool.reports_load else Temperature.WARM,
        )

    def configure(
        self, target: manifest.Target, pool: manifest.Pool, *, zone_in_service: bool, now_ms: int
    ) -> None:
        """Applies a configuration version; a target is cold when its zone returns to service."""
        returned = zone_in_service and not self.zone_in_service
        self.target = target
        self.pool = pool
        self.zone_in_service = zone_in_service
        self.limit.resize(pool.capacity_warm)
        if returned:
            self.mark_cold(now_ms)

    # ---- queries ----

    def in_service(self) -> bool:
        """Returns whether the target may receive new attempts."""
        return self.zone_in_service and not self.target.leaving

    def ejected(self, now_ms: int) -> bool:
        """Returns whether the target is ejected and may not be probed yet."""
        return self._ejected_until_ms is not None and now_ms < self._ejected_until_ms

    def probing(self) -> bool:
        """Returns whether the target was ejected and has had no success since."""
        return self._ejected_until_ms is not None

    def other_hosts_load(self, now_ms: int) -> float:
        """Returns the estimated load from other hosts, which decays with the age of the report."""
        if self._reported_ms is None:
            return 0.0
        age = (now_ms - self._reported_ms) / REPORT_HORIZON_MS
        return self._reported_other_load * max(0.0, 1.0 - age)

    def load(self, now_ms: int) -> float:
        """Returns the estimated load: outstanding attempts of this host and of other hosts."""
        return len(self.outstanding) + self.other_hosts_load(now_ms)

    # ---- events ----

    def begin(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Records a granted attempt."""
        self.outstanding[attempt] = now_ms

    def end(self, attempt: ids.AttemptId, report: dispatch.AttemptReport, now_ms: int) -> bool:
        """Records the result of an attempt; returns whether the target has turned cold."""
        was_cold = self.temperature is Temperature.COLD
        granted_ms = self.outstanding.pop(attempt, now_ms)
        if report.fault is events.AttemptFault.REFUSED_COLD:
            self.mark_cold(now_ms)
        if report.load is not None:
            self.record_load_report(report.load, granted_ms, now_ms)
        if report.fault in _RESTART_FAULTS and self.pool.reports_load:
            self._mark_unknown(now_ms)
        self._record_health(report, now_ms)
        return self.temperature is Temperature.COLD and not was_cold

    def mark_cold(self, now_ms: int) -> None:
        """Marks the target as cold and resets its concurrency limit."""
        self.temperature = Temperature.COLD
        self._cold_since_ms = now_ms
        self.limit.restart()

    def record_load_report(self, load: dispatch.LoadReport, requested_ms: int, now_ms: int) -> None:
        """Records a load report.

        Args:
            load: The report.
            requested_ms: Start of the call that returned it; the report may be as old as that.
            now_ms: Current time.
        """
        restarted = bool(self._start_id) and load.start_id != self._start_id
        self._start_id = load.start_id
        self._reported_other_load = max(0, load.running + load.waiting - len(self.outstanding) - 1)
        self._reported_ms = now_ms
        if load.cold or restarted:
            self.mark_cold(now_ms)
        elif self.temperature is not Temperature.WARM and requested_ms >= self._cold_since_ms:
            # An answer to a call that began before the cold signal may describe the earlier state.
            self.temperature = Temperature.WARM

    def advance(self, now_ms: int) -> None:
        """Marks a target without load reports as warm after `UNREPORTED_COLD_MS`."""
        if (
            not self.pool.reports_load
            and self.temperature is Temperature.COLD
            and now_ms - self._cold_since_ms >= UNREPORTED_COLD_MS
        ):
            self.temperature = Temperature.WARM

    def record_crash(self, granted_ms: int, now_ms: int) -> None:
        """Records a crash that ended an attempt granted at `granted_ms`.

        Each attempt that was running reports the same crash, so only the first report is counted.
        """
        if not self.crash_times_ms or self.crash_times_ms[-1] <= granted_ms:
            self.crash_times_ms.append(now_ms)

    def record_latency_ratio(self, ratio: float) -> None:
        """Updates the slowness from the ratio of one service time to the median of the pool."""
        self.slowness += _SMOOTHING * (min(ratio, 10.0) - self.slowness)

    def _mark_unknown(self, now_ms: int) -> None:
        if self.temperature is Temperature.WARM:
            self.temperature = Temperature.UNKNOWN
            self._cold_since_ms = now_ms

    def _record_health(self, report: dispatch.AttemptReport, now_ms: int) -> None:
        slow_timeout = (
            report.fault is events.AttemptFault.TIMEOUT
            and report.first_piece_ms is None
            and report.duration_ms >= SLOW_TIMEOUT_MS
        )
        if report.fault is None and report.sent:
            self._failures = 0
            self._ejections = 0
            self._ejected_until_ms = None
        elif report.fault in _FAILURE_FAULTS or slow_timeout:
            self._failures += 1
            if self._failures >= EJECTION_FAILURES or self.probing():
                self._eject(now_ms)

    def _eject(self, now_ms: int) -> None:
        if self.ejected(now_ms):
            return
        duration_ms = min(EJECTION_MAX_MS, EJECTION_BASE_MS << min(self._ejections, 8))
        self._ejections += 1
        self._ejected_until_ms = now_ms + duration_ms

    def cancel_ejection(self) -> None:
        """Ends the ejection and resets the failure count."""
        self._ejected_until_ms = None
        self._failures = 0

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns the row of this target in a state dump."""
        return {
            "target": self.target.id,
            "pool": self.pool.name,
            "in_service": self.in_service(),
            "temperature": self.temperature.value,
            "outstanding": len(self.outstanding),
            "load": round(self.load(now_ms), 2),
            "limit": round(self.limit.limit, 2),
            "slowness": round(self.slowness, 2),
            "ejected": self.ejected(now_ms),
            "probing": self.probing(),
            "crashes": len(self.crash_times_ms),
        }
