"""Bounded check of the specification of execution claims."""

from __future__ import annotations

import minicheck
import pytest
from sesamehold_specs import check
from sesamehold_specs import execution_claim

MODELS = execution_claim.models(full=False)
MUTANTS = execution_claim.mutants()


@pytest.mark.parametrize("model", MODELS, ids=[model.name for model in MODELS])
def test_bounded_model_holds_in_its_whole_space(model: object) -> None:
    """Guards against rules that allow a key to be dispatched twice."""
    outcome = check.search(model, check.MAX_STATES)
    assert outcome.holds, outcome.trace
    assert outcome.states > 1_000


@pytest.mark.parametrize("rule", MUTANTS)
def test_model_without_a_rule_has_a_counterexample(rule: str) -> None:
    """Guards against a specification that does not detect a missing rule."""
    assert check.refute(MUTANTS[rule], check.MAX_MUTANT_STATES).refuted


def test_every_claim_can_end() -> None:
    """Guards against a state from which a claim can be neither used nor released."""
    model = execution_claim.single_roster(execution_claim.ALL_RULES, execution_claim.BOUNDED)
    assert minicheck.check_liveness(model)["holds"] is True
