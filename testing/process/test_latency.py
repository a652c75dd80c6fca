from __future__ import annotations

import dispatch_factories
import pytest

from sesamehold.process import latency


# Wrong quantiles refuse requests that would finish or admit those that cannot.
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
    book = latency.LatencyBook()
    for value in values:
        book.record("pipeline", dispatch_factories.STAGE, value, value, 0)
    for result in (
        book.total_ms("pipeline", dispatch_factories.STAGE, quantile, 1_000),
        book.first_piece_ms("pipeline", dispatch_factories.STAGE, quantile, 1_000),
        book.pool_ms("p", quantile, 1_000),
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
def test_old_values_fade_out(now_ms: int, expected: float | None) -> None:
    sketch = latency.RotatingSketch()
    for _ in range(20):
        sketch.add(10, 0)
    result = sketch.quantile(0.5, now_ms)
    assert result == (None if expected is None else pytest.approx(expected, rel=0.05))


def test_need_adds_the_stages_up() -> None:
    book = latency.LatencyBook()
    for _ in range(8):
        book.record("pipeline", dispatch_factories.STAGE, 100, None, 0)
    stages = [dispatch_factories.STAGE, dispatch_factories.LATER]
    assert book.need_ms("pipeline", stages, 0.1, 0) == pytest.approx(100, rel=0.05)
