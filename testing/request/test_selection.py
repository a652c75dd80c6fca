from __future__ import annotations

from collections.abc import Callable
import random

import attrs
import dispatch_factories as make
import pytest

from sesamehold.process import target_selector
from sesamehold.process import target_state
from sesamehold.request import selection

SELECTORS: dict[str, Callable[[], target_selector.TargetSelector]] = {
    "load-aware": lambda: selection.LoadAwareSelector(random.Random(1)),
    "round-robin": selection.RoundRobinSelector,
    "random": lambda: selection.RandomSelector(random.Random(1)),
    "fewest-outstanding": selection.FewestOutstandingSelector,
}


def _choices(outstanding: list[int], **fields: object) -> target_selector.Candidates:
    pool = make.version(targets=len(outstanding)).pools[0]
    states = []
    for number, (target, count) in enumerate(zip(pool.targets, outstanding, strict=True)):
        state = target_state.TargetState.from_config(target, pool, zone_in_service=True)
        for index in range(count):
            state.begin(make.attempt(number * 100 + index).attempt, 0)
        states.append(state)
    candidates = target_selector.Candidates(states, lambda state: 4, "z0", 0)
    return attrs.evolve(candidates, **fields)  # type: ignore[arg-type]


@pytest.mark.parametrize("name", SELECTORS)
@pytest.mark.parametrize(
    ("outstanding", "allowed"),
    [
        pytest.param([4, 4, 4], {None}, id="all full"),
        pytest.param([4, 3, 4], {"t1"}, id="one has room"),
        pytest.param([], {None}, id="no targets"),
    ],
)
def test_no_selector_chooses_a_full_target(
    name: str, outstanding: list[int], allowed: set[str | None]
) -> None:
    choice = SELECTORS[name]().choose(_choices(outstanding))
    assert (choice.target.target.id if choice else None) in allowed


# Bounds for 1,000 choices. A wrong weighting would send load to busy, slow or remote targets. Two
# random samples out of four targets both have odd numbers in 1/6 of the choices.
@pytest.mark.parametrize(
    ("name", "outstanding", "slowness", "low", "high"),
    [
        pytest.param("load-aware", [0, 3, 0, 3], 1.0, 110, 220, id="busy targets get less"),
        pytest.param("load-aware", [0, 0, 0, 0], 1.0, 110, 220, id="remote zone gets less"),
        pytest.param("load-aware", [0, 0, 0, 0], 9.0, 110, 220, id="slow targets get less"),
        pytest.param("random", [0, 3, 0, 3], 1.0, 400, 600, id="random ignores load"),
        pytest.param("round-robin", [0, 3, 0, 3], 1.0, 500, 500, id="round-robin ignores load"),
        pytest.param("fewest-outstanding", [0, 3, 0, 3], 1.0, 0, 0, id="fewest outstanding"),
    ],
)
def test_share_of_odd_numbered_targets(
    name: str, outstanding: list[int], slowness: float, low: int, high: int
) -> None:
    candidates = _choices(outstanding)
    for state in candidates.targets[1::2]:
        state.slowness = slowness
    selector = SELECTORS[name]()
    chosen = [selector.choose(candidates) for _ in range(1_000)]
    assert low <= sum(item.target.target.id in {"t1", "t3"} for item in chosen if item) <= high


@pytest.mark.parametrize(
    ("outstanding", "holders", "rule"),
    [
        pytest.param([0, 1, 0], ("t1",), "prefix-holder", id="holder below the bound"),
        pytest.param([0, 3, 0], ("t1",), "prefix-rendezvous", id="overloaded holder"),
        pytest.param([0, 0, 0], (), "prefix-rendezvous", id="no holder known"),
    ],
)
def test_prefix_affinity_rule(outstanding: list[int], holders: tuple[str, ...], rule: str) -> None:
    candidates = _choices(outstanding, prefix_hashes=(7, 8), holders=holders)
    choice = SELECTORS["load-aware"]().choose(candidates)
    assert choice is not None
    assert choice.rule == rule
    if rule == "prefix-holder":
        assert choice.target.target.id == "t1"
    else:
        assert choice.target.target.id != "t1" or not holders
