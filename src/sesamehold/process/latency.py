"""Latency quantiles by pipeline stage, from DDSketch (Masson, Rim and Lee, 2019)."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from typing import Any

import attrs
import ddsketch

from sesamehold.version import manifest

RELATIVE_ACCURACY = 0.02
MAX_BINS = 512
WINDOW_MS = 30_000
# With fewer samples, no quantile is returned.
MIN_SAMPLES = 8
# Computing a quantile takes about 14 us, so each one is cached for this time.
CACHE_MS = 250
MAX_STAGES = 2_048


def _sketch() -> Any:
    return ddsketch.LogCollapsingLowestDenseDDSketch(RELATIVE_ACCURACY, MAX_BINS)


@attrs.define
class RotatingSketch:
    """Quantiles over the current and the previous time window; older values are discarded."""

    _current: Any = attrs.field(factory=_sketch)
    _previous: Any = attrs.field(factory=_sketch)
    _rotated_ms: int | None = None
    _cached: dict[float, float | None] = attrs.field(factory=dict)
    _cached_since_ms: int = 0

    def add(self, value: float, now_ms: int) -> None:
        """Adds one value."""
        self._rotate(now_ms)
        self._current.add(value)

    def quantile(self, quantile: float, now_ms: int) -> float | None:
        """Returns a quantile, None with fewer than `MIN_SAMPLES` values in the two windows."""
        self._rotate(now_ms)
        if now_ms - self._cached_since_ms >= CACHE_MS:
            self._cached.clear()
            self._cached_since_ms = now_ms
        if self._cached.get(quantile) is None:
            self._cached[quantile] = self._compute(quantile)
        return self._cached[quantile]

    def _compute(self, quantile: float) -> float | None:
        if self._current.count + self._previous.count < MIN_SAMPLES:
            return None
        merged = _sketch()
        merged.merge(self._previous)
        merged.merge(self._current)
        value: float | None = merged.get_quantile_value(quantile)
        return value

    def _rotate(self, now_ms: int) -> None:
        if self._rotated_ms is None:
            self._rotated_ms = now_ms
        elapsed_ms = now_ms - self._rotated_ms
        if elapsed_ms < WINDOW_MS:
            return
        self._previous = self._current if elapsed_ms < 2 * WINDOW_MS else _sketch()
        self._current = _sketch()
        self._rotated_ms = now_ms


@attrs.define
class _StageTimes:
    total: RotatingSketch = attrs.field(factory=RotatingSketch)
    first_piece: RotatingSketch = attrs.field(factory=RotatingSketch)


@attrs.define
class LatencyHistory:
    """Service times of successful attempts, excluding the time spent waiting for a target."""

    _stages: collections.OrderedDict[tuple[str, str, str], _StageTimes] = attrs.field(
        factory=collections.OrderedDict
    )
    _pools: collections.OrderedDict[str, RotatingSketch] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(
        self,
        pipeline: str,
        stage: manifest.Stage,
        total_ms: int,
        first_piece_ms: int | None,
        now_ms: int,
    ) -> None:
        """Adds the times of one successful attempt."""
        key = (pipeline, stage.name, stage.pool)
        times = self._stages.get(key)
        if times is None:
            times = self._stages[key] = _StageTimes()
            if len(self._stages) > MAX_STAGES:
                self._stages.popitem(last=False)
        # DDSketch has no bin for zero, because its error is relative; the clock resolves 1 ms.
        times.total.add(max(1, total_ms), now_ms)
        self._pool_sketch(stage.pool).add(max(1, total_ms), now_ms)
        if first_piece_ms is not None:
            times.first_piece.add(max(1, first_piece_ms), now_ms)

    def total_ms(
        self, pipeline: str, stage: manifest.Stage, quantile: float, now_ms: int
    ) -> float | None:
        """Returns a quantile of the total time of a stage, None with too few samples."""
        times = self._stages.get((pipeline, stage.name, stage.pool))
        return None if times is None else times.total.quantile(quantile, now_ms)

    def first_piece_ms(
        self, pipeline: str, stage: manifest.Stage, quantile: float, now_ms: int
    ) -> float | None:
        """Returns a quantile of the time to the first piece, None with too few samples."""
        times = self._stages.get((pipeline, stage.name, stage.pool))
        return None if times is None else times.first_piece.quantile(quantile, now_ms)

    def pool_ms(self, pool: str, quantile: float, now_ms: int) -> float | None:
        """Returns a quantile of the total times of all stages of a pool."""
        sketch = self._pools.get(pool)
        return None if sketch is None else sketch.quantile(quantile, now_ms)

    def remaining_ms(
        self, pipeline: str, stages: Iterable[manifest.Stage], quantile: float, now_ms: int
    ) -> float:
        """Returns the sum of the stages' quantiles; stages with too few samples count as 0."""
        return sum(self.total_ms(pipeline, stage, quantile, now_ms) or 0.0 for stage in stages)

    def _pool_sketch(self, pool: str) -> RotatingSketch:
        sketch = self._pools.get(pool)
        if sketch is None:
            sketch = self._pools[pool] = RotatingSketch()
            if len(self._pools) > MAX_STAGES:
                self._pools.popitem(last=False)
        return sketch
