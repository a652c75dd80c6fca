"""Adaptive concurrency limit of one target.

The rule is additive increase and multiplicative decrease, with latency as the signal of
congestion, as in TCP Vegas (Brakmo and Peterson, 1995).
"""

from __future__ import annotations

import attrs

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
# Engines batch: a full batch decodes more slowly than a small one without being overloaded.
LATENCY_TOLERANCE = 2.0
# Loop and network delays of a few milliseconds must not count as congestion of fast services.
LATENCY_SLACK_MS = 10.0
REFUSAL_FACTOR = 0.7
LATENCY_FACTOR = 0.9
_SMOOTHING = 0.1
# The baseline is a slow mean and not a minimum: service times that differ by their content alone
# exceed twice their minimum. It rises more slowly while the target is congested.
_BASELINE_SMOOTHING = 0.02
_CONGESTED_SMOOTHING = 0.002
# All attempts of one congested moment report it; they count as one signal.
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

    def exceeds(self, usual_ms: float) -> bool:
        return self.smoothed_ms > LATENCY_TOLERANCE * usual_ms + LATENCY_SLACK_MS


@attrs.define
class AdaptiveLimit:
    """Concurrent requests that this host sends to one target.

    Attributes:
        capacity: Upper bound, the pool's `capacity_warm`.
        limit: Current limit.
    """

    capacity: int
    limit: float = attrs.field(default=INITIAL_LIMIT)
    _slow_start: bool = True
    _decreased_ms: int | None = None
    _latencies: dict[str, _StageLatency] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.limit = min(self.limit, float(self.capacity))

    def resize(self, capacity: int) -> None:
        """Takes over a new upper bound."""
        self.capacity = capacity
        self.limit = min(self.limit, float(capacity))

    def restart(self) -> None:
        """Starts low again, because the target's process changed."""
        self.limit = min(INITIAL_LIMIT, float(self.capacity))
        self._slow_start = True
        self._latencies.clear()

    def record_success(
        self,
        stage: str,
        latency_ms: int,
        outstanding: int,
        now_ms: int,
        usual_ms: float | None = None,
    ) -> None:
        """Learns from a complete answer.

        Args:
            stage: Name of pipeline and stage; each has its own baseline.
            latency_ms: Time to the first piece, or the whole time without a stream.
            outstanding: Attempts on the target when the answer came, this one included.
            now_ms: Current time.
            usual_ms: Median over all targets of the pool, None if unknown. A target that has been
                slow from the start shows it only in comparison with the others.
        """
        latency = self._latencies.get(stage)
        if latency is None:
            latency = self._latencies[stage] = _StageLatency(latency_ms, latency_ms)
        latency.add(latency_ms)
        if latency.congested or (usual_ms is not None and latency.exceeds(usual_ms)):
            self._decrease(LATENCY_FACTOR, now_ms)
        elif 2 * outstanding >= self.limit:
            # A limit that is not used says nothing about a higher one.
            step = 1.0 if self._slow_start else 1.0 / self.limit
            self.limit = min(float(self.capacity), self.limit + step)

    def record_overload(self, now_ms: int) -> None:
        """Learns from a refusal, a time-out or another sign of overload."""
        self._decrease(REFUSAL_FACTOR, now_ms)

    def _decrease(self, factor: float, now_ms: int) -> None:
        if self._decreased_ms is not None and now_ms - self._decreased_ms < _COOLDOWN_MS:
            return
        self._decreased_ms = now_ms
        self._slow_start = False
        self.limit = max(MIN_LIMIT, self.limit * factor)
