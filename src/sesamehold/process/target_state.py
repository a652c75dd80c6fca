"""What this host knows about one target."""

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

# Reports lag behind; after this time they say nothing about the load of now.
REPORT_HORIZON_MS = 1_000
EJECTION_FAILURES = 3
EJECTION_BASE_MS = 1_000
EJECTION_MAX_MS = 30_000
# A time-out before this time says more about the caller's deadline than about the target.
SLOW_TIMEOUT_MS = 1_000
# Pools without load reports never report warm, so a cold signal holds for this time.
UNREPORTED_COLD_MS = 30_000
CRASH_HISTORY = 16
_SMOOTHING = 0.1

_FAILURES = frozenset(
    {
        events.AttemptFault.NO_CONNECTION,
        events.AttemptFault.CONNECTION_LOST,
        events.AttemptFault.SILENT,
        events.AttemptFault.BAD_ANSWER,
        events.AttemptFault.ERROR_ANSWER,
    }
)
_RESTART_SIGNS = frozenset({events.AttemptFault.NO_CONNECTION, events.AttemptFault.CONNECTION_LOST})


class Temperature(enum.Enum):
    """Whether a target bears its full load.

    `UNKNOWN` targets are treated as cold until they report: a host that starts cannot tell them
    apart, and neither can one that lost its connection to a target.
    """

    UNKNOWN = "unknown"
    COLD = "cold"
    WARM = "warm"


@attrs.define(eq=False)
class TargetState:
    """Load, temperature and health of one target as seen by this host.

    Attributes:
        target: The target of the version in force.
        pool: Its pool.
        limit: Adaptive concurrency limit.
        zone_in_service: False while operators have taken its zone out.
        outstanding: Open attempts of this host with the time of their grant.
        reserved_for: Attempt that must run alone on this target.
        slowness: Smoothed ratio of its service times to those of its pool.
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
    _others_reported: int = 0
    _reported_ms: int | None = None
    _failures: int = 0
    _ejections: int = 0
    _ejected_until_ms: int | None = None

    @classmethod
    def from_config(
        cls, target: manifest.Target, pool: manifest.Pool, *, zone_in_service: bool
    ) -> TargetState:
        """Returns the state of a target that this host has not used yet."""
        return cls(
            target,
            pool,
            concurrency.AdaptiveLimit(pool.capacity_warm),
            zone_in_service=zone_in_service,
            # There is no report to wait for.
            temperature=Temperature.UNKNOWN if pool.reports_load else Temperature.WARM,
        )

    def configure(
        self, target: manifest.Target, pool: manifest.Pool, *, zone_in_service: bool, now_ms: int
    ) -> None:
        """Takes over a new version; a target counts as cold when its zone returns."""
        returned = zone_in_service and not self.zone_in_service
        self.target = target
        self.pool = pool
        self.zone_in_service = zone_in_service
        self.limit.resize(pool.capacity_warm)
        if returned:
            self.note_cold(now_ms)

    # ---- questions ----

    def in_service(self) -> bool:
        """Returns whether the target may get new work at all."""
        return self.zone_in_service and not self.target.leaving

    def ejected(self, now_ms: int) -> bool:
        """Returns whether the target is ejected and its probing return has not begun."""
        return self._ejected_until_ms is not None and now_ms < self._ejected_until_ms

    def probing(self) -> bool:
        """Returns whether the target was ejected and has not succeeded since."""
        return self._ejected_until_ms is not None

    def others(self, now_ms: int) -> float:
        """Returns the estimated load from other hosts; reports count less the older they are."""
        if self._reported_ms is None:
            return 0.0
        age = (now_ms - self._reported_ms) / REPORT_HORIZON_MS
        return self._others_reported * max(0.0, 1.0 - age)

    def load(self, now_ms: int) -> float:
        """Returns the estimated load: own open attempts plus those of other hosts."""
        return len(self.outstanding) + self.others(now_ms)

    # ---- events ----

    def begin(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Notes a granted attempt."""
        self.outstanding[attempt] = now_ms

    def end(self, attempt: ids.AttemptId, report: dispatch.AttemptReport, now_ms: int) -> bool:
        """Learns from the end of an attempt; returns whether the target has turned cold."""
        was_cold = self.temperature is Temperature.COLD
        granted_ms = self.outstanding.pop(attempt, now_ms)
        if report.fault is events.AttemptFault.REFUSED_COLD:
            self.note_cold(now_ms)
        if report.load is not None:
            self.note_report(report.load, granted_ms, now_ms)
        if report.fault in _RESTART_SIGNS and self.pool.reports_load:
            self._doubt(now_ms)
        self._note_health(report, now_ms)
        return self.temperature is Temperature.COLD and not was_cold

    def note_cold(self, now_ms: int) -> None:
        """Treats the target as cold from now on."""
        self.temperature = Temperature.COLD
        self._cold_since_ms = now_ms
        self.limit.restart()

    def note_report(self, load: dispatch.LoadReport, asked_ms: int, now_ms: int) -> None:
        """Takes over a load report.

        Args:
            load: The report.
            asked_ms: Time of the call that brought it; the report may be as old as that.
            now_ms: Current time.
        """
        changed = bool(self._start_id) and load.start_id != self._start_id
        self._start_id = load.start_id
        self._others_reported = max(0, load.running + load.waiting - len(self.outstanding) - 1)
        self._reported_ms = now_ms
        if load.cold or changed:
            self.note_cold(now_ms)
        elif self.temperature is not Temperature.WARM and asked_ms >= self._cold_since_ms:
            # An answer to a call from before the cold signal may describe the time before it.
            self.temperature = Temperature.WARM

    def advance(self, now_ms: int) -> None:
        """Ends the cold state of a target that never reports load."""
        if (
            not self.pool.reports_load
            and self.temperature is Temperature.COLD
            and now_ms - self._cold_since_ms >= UNREPORTED_COLD_MS
        ):
            self.temperature = Temperature.WARM

    def note_crash(self, granted_ms: int, now_ms: int) -> None:
        """Notes a crash that an attempt granted at `granted_ms` was seen in.

        The attempts of one crash report it one by one, so only the first of them counts.
        """
        if not self.crash_times_ms or self.crash_times_ms[-1] <= granted_ms:
            self.crash_times_ms.append(now_ms)

    def note_latency_ratio(self, ratio: float) -> None:
        """Learns how one service time compares to that of the pool."""
        self.slowness += _SMOOTHING * (min(ratio, 10.0) - self.slowness)

    def _doubt(self, now_ms: int) -> None:
        if self.temperature is Temperature.WARM:
            self.temperature = Temperature.UNKNOWN
            self._cold_since_ms = now_ms

    def _note_health(self, report: dispatch.AttemptReport, now_ms: int) -> None:
        slow_timeout = (
            report.fault is events.AttemptFault.TIMEOUT
            and report.first_piece_ms is None
            and report.duration_ms >= SLOW_TIMEOUT_MS
        )
        if report.fault is None and report.sent:
            self._failures = 0
            self._ejections = 0
            self._ejected_until_ms = None
        elif report.fault in _FAILURES or slow_timeout:
            self._failures += 1
            if self._failures >= EJECTION_FAILURES or self.probing():
                self._eject(now_ms)

    def _eject(self, now_ms: int) -> None:
        if self.ejected(now_ms):
            return
        duration_ms = min(EJECTION_MAX_MS, EJECTION_BASE_MS << min(self._ejections, 8))
        self._ejections += 1
        self._ejected_until_ms = now_ms + duration_ms

    def take_back_ejection(self) -> None:
        """Keeps the target in use in spite of its failures."""
        self._ejected_until_ms = None
        self._failures = 0

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns one row of a state dump."""
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
