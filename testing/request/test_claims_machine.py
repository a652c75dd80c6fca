"""Tests at-most-once execution with random schedules of several hosts that claim keys.

`SESAMEHOLD_MACHINE_RUNS=20000 pytest testing/request/test_claims_machine.py` runs 20,000 schedules
of the state machine with new random seeds. By default, a fixed set of schedules is run.
"""

from __future__ import annotations

from collections.abc import Callable
import os
import random
from typing import Any

import claim_simulation
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sesamehold.process import witness
from sesamehold.version import roster

RUNS = int(os.environ.get("SESAMEHOLD_MACHINE_RUNS", "0"))
STEPS_PER_RUN = 60


def _indexes(name: str) -> strategies.SearchStrategy[tuple[int, ...]]:
    bounds = claim_simulation.STEPS[name][0]
    return strategies.tuples(*(strategies.integers(0, bound - 1) for bound in bounds))


@strategies.composite
def _steps(draw: strategies.DrawFn) -> claim_simulation.Step:
    name = draw(strategies.sampled_from(_WEIGHTED_NAMES))
    return (name, *draw(_indexes(name)))


_WEIGHTED_NAMES = [
    name for name, (_, weight) in claim_simulation.STEPS.items() for _ in range(weight)
]


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Generates any order of submissions, messages, faults and roster changes.

    The simulated fleet raises `InvariantViolationError` if a key is dispatched twice, if a reply
    wrongly states "not run", or if two answers for one key differ.
    """

    def __init__(self) -> None:
        super().__init__()
        self.world = claim_simulation.ClaimSimulation()

    @stateful.rule(steps=strategies.lists(_steps(), min_size=1, max_size=8))
    def act(self, steps: list[claim_simulation.Step]) -> None:
        for step in steps:
            self.world.apply(step)

    @stateful.rule(
        host=strategies.integers(0, 4),
        key=strategies.integers(0, claim_simulation.KEY_COUNT - 1),
        kind=strategies.integers(0, 11),
    )
    def run_one_request(self, host: int, key: int, kind: int) -> None:
        self.world.apply(("submit", host, key, kind))
        for step in (("drain", 24), ("dispatch", 0), ("answer", 0, 1), ("drain", 24)):
            self.world.apply(step)

    @stateful.rule(duration_ms=strategies.sampled_from(claim_simulation.ADVANCES_MS))
    def advance(self, duration_ms: int) -> None:
        self.world.apply(("advance", duration_ms))


ClaimMachine.TestCase.settings = hypothesis.settings(
    derandomize=RUNS == 0,
    database=None,
    max_examples=RUNS or 60,
    stateful_step_count=STEPS_PER_RUN,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
TestClaimMachine = ClaimMachine.TestCase


def _run_seed(seed: int, steps: int = 150) -> claim_simulation.ClaimSimulation:
    rng = random.Random(seed)
    world = claim_simulation.ClaimSimulation()
    for _ in range(steps):
        world.apply(claim_simulation.random_step(rng))
    return world


def test_seeded_schedules_keep_the_invariants_and_execute_requests() -> None:
    """Guards against violated invariants and against schedules that execute next to nothing."""
    worlds = [_run_seed(seed) for seed in range(200)]
    assert sum(sum(world.executions.values()) for world in worlds) > 100
    for reply in ("answer", "ran-no", "ran-unknown"):
        assert sum(world.replies.get(reply, 0) for world in worlds) > 50


def _release_any(memory: witness.ClaimMemory, key: Any, claim_id: str, now_ms: int) -> None:
    del claim_id, now_ms
    memory._records.pop(key.scoped, None)


def _evict_at_retention(memory: witness.ClaimMemory, record: witness.Record, now_ms: int) -> bool:
    finished_ms = record.finished_ms
    return finished_ms is not None and now_ms - finished_ms > memory.retention_ms


def _evict_early(memory: witness.ClaimMemory, record: witness.Record, now_ms: int) -> bool:
    return record.finished_ms is not None and now_ms - record.finished_ms > 5_000


def _newest_set_only(window: roster.RosterWindow, key: str, now_ms: int) -> Any:
    del now_ms
    return (window.current.witnesses(key),) if window.current is not None else ()


# Each seed yields a schedule that violates an invariant when the rule is disabled; found by running
# seeds 0 to 5,999.
@pytest.mark.parametrize(
    ("owner", "name", "replacement", "seed"),
    [
        pytest.param(roster, "majority", lambda size: max(1, size // 2), 161, id="half-is-enough"),
        pytest.param(
            witness.ClaimMemory,
            "_may_be_older",
            lambda *_: False,
            1530,
            id="restarted-witness-votes",
        ),
        pytest.param(
            witness.ClaimMemory,
            "_may_be_older",
            lambda *_: False,
            2869,
            id="restarted-witness-falsifies-not-run",
        ),
        pytest.param(
            roster.RosterWindow, "witness_sets", _newest_set_only, 5126, id="newest-set-only"
        ),
        pytest.param(witness.ClaimMemory, "_expired", _evict_early, 36, id="early-eviction"),
        pytest.param(
            witness.ClaimMemory,
            "_expired",
            _evict_at_retention,
            1363,
            id="eviction-ignores-clock-skew",
        ),
        pytest.param(witness.ClaimMemory, "release", _release_any, 3, id="release-any-claim"),
    ],
)
def test_schedule_detects_a_disabled_rule_and_passes_with_it(
    monkeypatch: pytest.MonkeyPatch,
    owner: object,
    name: str,
    replacement: Callable[..., Any],
    seed: int,
) -> None:
    """Guards against a test harness that no longer detects a missing rule."""
    _run_seed(seed)
    monkeypatch.setattr(owner, name, replacement)
    with pytest.raises(claim_simulation.InvariantViolationError):
        _run_seed(seed)
