"""How slow each engine is compared with the others, as all hosts of a fleet measure it together.

The load that it answers: engines of uneven speed serve requests of many hosts, and each host sends
so few to each engine that its own observations say nothing of the engine.

Every host keeps averages of its own and mixes them with those that other hosts send. Repeated
mixing brings the averages of all hosts to their common mean, so no host has to know the others'
observations one by one. Observations lose weight with their age, wherever they are.
"""

from __future__ import annotations

from collections.abc import Iterable
import math
import statistics

import attrs

# Time after which an observation has half of its weight.
HALF_LIFE_MS = 10_000
# Observations that the assumption of a usual engine stands for.
PRIOR_WEIGHT = 8.0
MIN_RATIO = 0.25
MAX_RATIO = 3.0
# An engine is slow above the first multiple of the median engine, and until it is below the second.
SLOW_ABOVE = 1.5
USUAL_BELOW = 1.25
# Engines in one datagram; of more, a part is sent each time.
MAX_REPORTED = 48
# Largest weight of an average of one host.
MAX_WEIGHT = 1_000.0


@attrs.frozen
class SlowdownReport:
    """Average of one host for one engine.

    Attributes:
        key: Hash of the engine's start, see `engine_load.engine_key`.
        slowdown: Times to the first event as a multiple of those that are expected.
        weight: Mean number of observations for each host.
    """

    key: int
    slowdown: float
    weight: float


@attrs.define
class _Average:
    total: float = 0.0
    weight: float = 0.0


@attrs.define(eq=False)
class EngineSlowdowns:
    """Averages of one host.

    >>> slowdowns = EngineSlowdowns()
    >>> for key in (1, 2, 3):
    ...     for _ in range(50):
    ...         slowdowns.record(key, 2.0 if key == 3 else 1.0)
    >>> slowdowns.update((1, 2, 3), host_count=1, now_ms=0)
    >>> slowdowns.is_slow(1), slowdowns.is_slow(3), round(slowdowns.slowdown(3), 1)
    (False, True, 1.9)
    """

    _averages: dict[int, _Average] = attrs.field(factory=dict)
    _slowdowns: dict[int, float] = attrs.field(factory=dict)
    _slow: set[int] = attrs.field(factory=set)
    _updated_ms: int | None = None
    _next_reported: int = 0

    def slowdown(self, key: int) -> float:
        """Returns the slowdown of an engine as of the last update, 1 for an unknown one."""
        return self._slowdowns.get(key, 1.0)

    def is_slow(self, key: int) -> bool:
        """Returns whether an engine is slow compared with the others, with hysteresis."""
        return key in self._slow

    def record(self, key: int, ratio: float) -> None:
        """Records a time to the first event of this host, as a multiple of the expected one."""
        average = self._averages.setdefault(key, _Average())
        average.total += min(MAX_RATIO, max(MIN_RATIO, ratio))
        average.weight += 1.0
        if average.weight > MAX_WEIGHT:
            average.total *= MAX_WEIGHT / average.weight
            average.weight = MAX_WEIGHT

    def update(self, keys: Iterable[int], host_count: int, now_ms: int) -> None:
        """Ages the observations and computes the slowdowns from them.

        An engine without observations has an average of no weight. Without it, a single observation
        would spread over hosts that have none, and count as one of each of them.

        Args:
            keys: All registered engines; averages of others are dropped.
            host_count: Number of live hosts, with this one.
            now_ms: Monotonic time.
        """
        if self._updated_ms is not None:
            factor = math.pow(0.5, (now_ms - self._updated_ms) / HALF_LIFE_MS)
            for average in self._averages.values():
                average.total *= factor
                average.weight *= factor
        self._updated_ms = now_ms
        self._averages = {key: self._averages.get(key) or _Average() for key in keys}
        self._slowdowns = {
            key: (average.total * host_count + PRIOR_WEIGHT)
            / (average.weight * host_count + PRIOR_WEIGHT)
            for key, average in self._averages.items()
        }
        self._update_slow()

    def reports(self) -> tuple[SlowdownReport, ...]:
        """Returns the averages for one datagram; those of many engines are sent by turns."""
        keys = sorted(self._averages)
        if len(keys) > MAX_REPORTED:
            first = self._next_reported % len(keys)
            self._next_reported = first + MAX_REPORTED
            keys = (keys[first:] + keys[:first])[:MAX_REPORTED]
        return tuple(
            SlowdownReport(key, average.total / average.weight, average.weight)
            if (average := self._averages[key]).weight > 0
            else SlowdownReport(key, 1.0, 0.0)
            for key in keys
        )

    def merge(self, reports: Iterable[SlowdownReport]) -> None:
        """Mixes the averages of another host with those of this one.

        Engines that this host does not know yet are left out.
        """
        for report in reports:
            average = self._averages.get(report.key)
            if average is None:
                continue
            average.total = (average.total + report.slowdown * report.weight) / 2
            average.weight = (average.weight + report.weight) / 2

    def _update_slow(self) -> None:
        if not self._slowdowns:
            self._slow = set()
            return
        median = statistics.median(self._slowdowns.values())
        self._slow = {
            key
            for key, slowdown in self._slowdowns.items()
            if slowdown > median * (USUAL_BELOW if key in self._slow else SLOW_ABOVE)
        }
