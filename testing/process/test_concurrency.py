from __future__ import annotations

import pytest

from sesamehold.process import concurrency


def _limit_after(steps: list[tuple[str, int]], capacity: int = 16) -> float:
    limit = concurrency.AdaptiveLimit(capacity)
    now_ms = 0
    for kind, value in steps:
        now_ms += 1_000
        if kind == "overload":
            limit.record_overload(now_ms)
        else:
            outstanding = 0 if kind == "idle" else int(limit.limit)
            limit.record_success("s", value, outstanding, now_ms)
    return limit.limit


# Guards against limits that overload targets or leave them idle.
@pytest.mark.parametrize(
    ("steps", "low", "high"),
    [
        pytest.param([], 4, 4, id="starts low"),
        pytest.param([("busy", 50)] * 5, 9, 9, id="doubles while latency stays at the baseline"),
        pytest.param([("busy", 50)] * 99, 16, 16, id="never above capacity_warm"),
        pytest.param([("idle", 50)] * 99, 4, 4, id="does not rise while it is not used"),
        pytest.param([("overload", 0)], 2.8, 2.8, id="falls by a factor on overload"),
        pytest.param([("overload", 0)] * 99, 1, 1, id="never below one"),
        pytest.param([("busy", 50)] * 20 + [("busy", 500)] * 20, 1, 8, id="falls on latency"),
        pytest.param([("busy", 1)] * 20 + [("busy", 9)] * 20, 16, 16, id="ignores few ms"),
    ],
)
def test_limit(steps: list[tuple[str, int]], low: float, high: float) -> None:
    assert low <= round(_limit_after(steps), 6) <= high


def test_one_congestion_event_counts_once() -> None:
    limit = concurrency.AdaptiveLimit(16)
    for _ in range(10):
        limit.record_overload(5)
    assert limit.limit == pytest.approx(2.8)


# Guards against an undetected slow target: the baseline of a target that is slow from its first
# answer is slow too, so only the comparison with its pool reveals it.
def test_limit_falls_on_a_target_that_is_slower_than_its_pool() -> None:
    limit = concurrency.AdaptiveLimit(16)
    for now_ms in range(0, 20_000, 1_000):
        limit.record_success("s", 500, int(limit.limit), now_ms, pool_median_ms=100)
    assert limit.limit == 1
