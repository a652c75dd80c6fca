"""Checks all specifications of this package and prints the number of explored states.

`python -m sesamehold_specs.check` checks the bounded models and requires a counterexample for each
mutant; `--full` also checks the full models.
"""

from __future__ import annotations

from collections.abc import Callable
import sys
import time
from typing import Any

import attrs
import cyclopts
import minicheck

from sesamehold_specs import cold_shares
from sesamehold_specs import configuration
from sesamehold_specs import execution_claim
from sesamehold_specs import order_fencing

MAX_STATES = 8_000_000
# minicheck checks a goal only in state spaces up to this size.
MAX_GOAL_STATES = 200_000
# A mutant may be searched partially: a counterexample from a partial search is still valid.
MAX_MUTANT_STATES = 400_000

SPECIFICATIONS = (
    *execution_claim.SPECIFICATIONS,
    *configuration.SPECIFICATIONS,
    *cold_shares.SPECIFICATIONS,
    *order_fencing.SPECIFICATIONS,
)


@attrs.frozen
class Outcome:
    """Result of one search.

    Attributes:
        holds: True only if the whole state space was searched and every checked property held.
        refuted: Whether an invariant or the goal has a counterexample.
        states: Number of explored states.
        exhaustive: Whether the whole state space was searched.
        trace: Steps of the shortest counterexample.
        goal_checked: Whether the model's goal was checked in addition to its invariants.
    """

    holds: bool
    refuted: bool
    states: int
    exhaustive: bool
    trace: tuple[str, ...] = ()
    goal_checked: bool = False


def search(model: minicheck.Protocol, max_states: int) -> Outcome:
    """Searches a model for violations of its invariants and of its goal, if it has one."""
    result: dict[str, Any] = minicheck.check_safety(model, max_states=max_states)
    verdicts = list(result["properties"].values())
    checks_goal = (
        model.goal is not None
        and result["exhaustive"]
        and result["reachable_states"] <= MAX_GOAL_STATES
    )
    if checks_goal:
        verdicts.append(minicheck.check_liveness(model))
    traces = [item["counterexample"] for item in verdicts if item["holds"] is False]
    shortest = min(traces, key=len, default=[])
    return Outcome(
        holds=result["exhaustive"] and all(item["holds"] is True for item in verdicts),
        refuted=bool(traces),
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        trace=tuple(step["label"] for step in shortest[1:]),
        goal_checked=checks_goal,
    )


def refute(mutant: minicheck.Protocol, max_states: int) -> Outcome:
    """Searches a mutant for a violation and stops expanding states after the first one."""
    violated: list[str] = []

    def recording(name: str, holds: Callable[[Any], bool]) -> Callable[[Any], bool]:
        def predicate(state: Any) -> bool:
            if holds(state):
                return True
            violated.append(name)
            return False

        return predicate

    def transitions(state: Any) -> Any:
        return [] if violated else mutant.transitions(state)

    recording_model = minicheck.Protocol(
        name=mutant.name,
        candidate=mutant.candidate,
        fields=mutant.fields,
        initial=mutant.initial,
        transitions=transitions,
        invariants={name: recording(name, holds) for name, holds in mutant.invariants.items()},
    )
    outcome = search(recording_model, max_states)
    if not outcome.refuted and mutant.goal is not None:
        # Some rules only support the goal, so removing them violates no invariant.
        return search(mutant, max_states)
    return attrs.evolve(outcome, exhaustive=outcome.exhaustive and not violated)


def main(*, full: bool = False) -> int:
    """Checks all specifications; returns 0 if all models hold and all mutants are refuted.

    Args:
        full: Also check the full models.
    """
    all_passed = True
    total_states = 0
    for item in SPECIFICATIONS:
        if item.full_only and not full:
            continue
        started_s = time.monotonic()
        outcome = search(item.protocol(), MAX_STATES)
        total_states += outcome.states
        all_passed = all_passed and outcome.holds
        verdict = "holds" if outcome.holds else f"FAILS: {' / '.join(outcome.trace)}"
        verdict += ", goal included" if outcome.goal_checked else ""
        _print_result(item.name, outcome, time.monotonic() - started_s, verdict)
        for rule, make_mutant in item.mutants.items():
            started_s = time.monotonic()
            outcome = refute(make_mutant(), MAX_MUTANT_STATES)
            all_passed = all_passed and outcome.refuted
            verdict = " / ".join(outcome.trace) if outcome.refuted else "NO COUNTEREXAMPLE"
            _print_result(f"  without {rule}", outcome, time.monotonic() - started_s, verdict)
    print(f"{total_states:,} states of models in all")
    return 0 if all_passed else 1


def _print_result(name: str, outcome: Outcome, duration_s: float, verdict: str) -> None:
    coverage = "all" if outcome.exhaustive else "first"
    print(f"{name}: {coverage} {outcome.states:,} states in {duration_s:.1f} s: {verdict}")


if __name__ == "__main__":
    sys.exit(cyclopts.run(main))
