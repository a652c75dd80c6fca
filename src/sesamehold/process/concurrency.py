"""Adaptive concurrency limit of one target.

The limit follows additive increase, multiplicative decrease (AIMD), with latency as the congestion
signal, as in TCP Vegas (Brakmo and Peterson, 1995).
"""

from __future__ import annotations

import attrs

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
# Latency above this multiple of the baseline indicates congestion. Engines batch requests, and a
# full batch decodes more slowly than a small one without being overloaded.
LATENCY_TOLERANCE = 2.0
# Added to the threshold, so that event loop and network delays of a few milliseconds do not count
# as congestion of fast services.
LATENCY_SLACK_MS = 10.0
OVERLOAD_DECREASE_FACTOR = 0.7
LATENCY_DECREASE_FACTOR = 0.9
_SMOOTHING = 0.1
# The baseline is a slow moving average rather than a minimum, because service times that vary with
# the request content alone exceed twice their minimum. It rises more slowly while the target is
# congested.
_BASELINE_SMOOTHING = 0.02
_CONGESTED_SMOOTHING = 0.002
# All attempts that run during one congestion event report it, so decreases within this time count
# as one.
_COOLDOWN_MS = 100


@attrs.define
class _StageLatency:
    baseline_ms: float
    smoothed_ms: float

    def add(self, latency_ms: float) -> None:
        self.smoothed_ms += _SMOOTHING * (latency_ms - self.smoothed_ms)
        rises = latency_ms > self.baseline_ms
        factor = _CONGESTED_SMOOTHING if rises and self.congested else _BASELINE_SMOOTHING
        self.baseline_ms += factor * (latency_ms - self.baseline_ms)

    @property
    def congested(self) -> bool:
        return self.exceeds(self.baseline_ms)

    def exceeds(self, reference_ms: float) -> bool:
        return self.smoothed_ms > LATENCY_TOLERANCE * reference_ms + LATENCY_SLACK_MS


@attrs.define
class AdaptiveLimit:
    """Limit on the concurrent requests of this host on one target.

    Attributes:
        capacity: Upper bound, the pool's `capacity_warm`.
        limit: Current limit.
    """

    capacity: int
    limit: float = attrs.field(default=INITIAL_LIMIT)
    _slow_start: bool = True
    _last_decrease_ms: int | None = None
    _latencies: dict[str, _StageLatency] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.limit = min(self.limit, float(self.capacity))

    def resize(self, capacity: int) -> None:
        """Applies a new upper bound."""
        self.capacity = capacity
        self.limit = min(self.limit, float(capacity))

    def restart(self) -> None:
        """Resets the limit to its initial value after a restart of the target."""
        self.limit = min(INITIAL_LIMIT, float(self.capacity))
        self._slow_start = True
        self._latencies.clear()

    def record_success(
        self,
        stage: str,
        latency_ms: int,
        outstanding: int,
        now_ms: int,
        pool_median_ms: float | None = None,
    ) -> None:
        """Updates the limit from a successful attempt.

        Args:
            stage: Name of pipeline and stage; each has its own baseline.
            latency_ms: Time to the first piece, or the total time without a stream.
            outstanding: Attempts on the target when the answer arrived, including this one.
            now_ms: Current time.
            pool_median_ms: Median over all targets of the pool, None if unknown. Detects a target
                that has been slow from the start, whose own baseline is slow too.
        """
        latency = self._latencies.get(stage)
        if latency is None:
            latency = self._latencies[stage] = _StageLatency(latency_ms, latency_ms)
        latency.add(latency_ms)
        if latency.congested or (pool_median_ms is not None and latency.exceeds(pool_median_ms)):
            self._decrease(LATENCY_DECREASE_FACTOR, now_ms)
        elif 2 * outstanding >= self.limit:
            # Raise the limit only if it is in use; otherwise nothing shows that a higher one works.
            step = 1.0 if self._slow_start else 1.0 / self.limit
            self.limit = min(float(self.capacity), self.limit + step)

    def record_overload(self, now_ms: int) -> None:
        """Decreases the limit after a refusal, a time-out or another sign of overload."""
        self._decrease(OVERLOAD_DECREASE_FACTOR, now_ms)

    def _decrease(self, factor: float, now_ms: int) -> None:
        if self._last_decrease_ms is not None and now_ms - self._last_decrease_ms < _COOLDOWN_MS:
            return
        self._last_decrease_ms = now_ms
        self._slow_start = False
        self.limit = max(MIN_LIMIT, self.limit * factor)
