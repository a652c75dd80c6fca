from __future__ import annotations

import dispatch_factories
import pytest

from sesamehold.process import latency


# Guards against wrong quantiles, which refuse requests that could finish or admit those that
# cannot.
@pytest.mark.parametrize(
    ("values", "quantile", "expected"),
    [
        pytest.param([10] * 7, 0.5, None, id="too few samples"),
        pytest.param([10] * 8, 0.5, 10, id="constant"),
        pytest.param(list(range(1, 101)), 0.1, 10, id="low quantile"),
        pytest.param(list(range(1, 101)), 0.9, 90, id="high quantile"),
        pytest.param([0] * 8, 0.5, 1, id="zero counts as one millisecond"),
    ],
)
def test_quantile(values: list[int], quantile: float, expected: float | None) -> None:
    history = latency.LatencyHistory()
    for value in values:
        history.record("pipeline", dispatch_factories.STAGE, value, value, 0)
    for result in (
        history.total_ms("pipeline", dispatch_factories.STAGE, quantile, 1_000),
        history.first_piece_ms("pipeline", dispatch_factories.STAGE, quantile, 1_000),
        history.pool_ms("p", quantile, 1_000),
    ):
        assert result == (None if expected is None else pytest.approx(expected, rel=0.05))


@pytest.mark.parametrize(
    ("now_ms", "expected"),
    [
        pytest.param(29_000, 10, id="same window"),
        pytest.param(59_000, 10, id="previous window"),
        pytest.param(61_000, None, id="forgotten"),
    ],
)
def test_old_values_are_discarded(now_ms: int, expected: float | None) -> None:
    sketch = latency.RotatingSketch()
    for _ in range(20):
        sketch.add(10, 0)
    result = sketch.quantile(0.5, now_ms)
    assert result == (None if expected is None else pytest.approx(expected, rel=0.05))


def test_remaining_time_is_the_sum_over_the_stages() -> None:
    history = latency.LatencyHistory()
    for _ in range(8):
        history.record("pipeline", dispatch_factories.STAGE, 100, None, 0)
    stages = [dispatch_factories.STAGE, dispatch_factories.LATER]
    assert history.remaining_ms("pipeline", stages, 0.1, 0) == pytest.approx(100, rel=0.05)
