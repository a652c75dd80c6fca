"""Tests of model placement and of its rate limits."""

from __future__ import annotations

import pytest

from sesamehold.process import placement


def _targets(text: str) -> list[placement.TargetModels]:
    """Builds targets from letters: a model name, `-` for none, upper case for unavailable."""
    return [
        placement.TargetModels(
            target_id=f"t{index}",
            model=None if letter == "-" else letter.lower(),
            available=not letter.isupper(),
        )
        for index, letter in enumerate(text)
    ]


@pytest.mark.parametrize(
    ("held", "shares", "expected"),
    [
        pytest.param("aabb", {"a": 0.5, "b": 0.5}, None, id="balanced"),
        pytest.param("aaab", {"a": 0.5, "b": 0.5}, "b", id="shifted-demand"),
        pytest.param("aaaa", {"a": 0.9, "b": 0.1}, "b", id="small-model-gets-one"),
        pytest.param("aab-", {"a": 0.2, "b": 0.8}, "b", id="empty-target-first"),
        pytest.param("aaaaaabbbb", {"a": 0.5, "b": 0.5}, None, id="small-shift-changes-nothing"),
        pytest.param("AAAB", {"b": 1.0}, None, id="unavailable-targets-are-left-alone"),
        pytest.param("aaaa", {}, None, id="no-demand"),
    ],
)
def test_next_load_follows_demand(
    held: str, shares: dict[str, float], expected: str | None
) -> None:
    """Guards against placements that ignore demand or oscillate."""
    order = placement.next_load(_targets(held), shares)
    assert (order.model if order else None) == expected


def test_target_without_a_model_is_used_first() -> None:
    """Guards against replacing a loaded model while another target has none."""
    order = placement.next_load(_targets("aab-"), {"a": 0.2, "b": 0.8})
    assert order == placement.LoadOrder("t3", "b")


@pytest.mark.parametrize(
    ("shares", "total"),
    [
        pytest.param({"a": 1.0}, 5, id="one-model"),
        pytest.param({"a": 0.5, "b": 0.3, "c": 0.2}, 7, id="three-models"),
        pytest.param({f"m{i}": 1 / 7 for i in range(7)}, 3, id="more-models-than-targets"),
        pytest.param({"a": 0.98, "b": 0.01, "c": 0.01}, 3, id="skewed"),
    ],
)
def test_desired_counts_add_up_to_the_number_of_targets(
    shares: dict[str, float], total: int
) -> None:
    """Guards against desired counts that do not add up to the number of targets."""
    assert sum(placement.desired_counts(shares, total).values()) == total


def test_loads_of_all_pools_respect_the_rate_of_the_weight_store() -> None:
    """Guards against a fleet that exceeds the rate of the weight store."""
    pools = [placement.LoadBudget(6.0 / 3, 0.5) for _ in range(3)]
    loads = sum(
        pool.try_spend(now_ms, unavailable=0, total=8)
        for now_ms in range(0, 600_000, 1_000)
        for pool in pools
    )
    assert 55 <= loads <= 60
