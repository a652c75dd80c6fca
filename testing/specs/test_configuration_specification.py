"""Bounded check of the specification of configuration acceptance."""

from __future__ import annotations

import minicheck
import pytest
from sesamehold_specs import configuration

BOUNDED = configuration.SPECIFICATIONS[0]


def _holds(model: minicheck.Protocol) -> bool:
    safety = minicheck.check_safety(model, BOUNDED.max_states)
    assert safety["exhaustive"]
    return (
        all(item["holds"] for item in safety["properties"].values())
        and minicheck.check_liveness(model)["holds"]
    )


def test_rules_hold() -> None:
    """Guards against rules under which some order of events violates safety or liveness."""
    assert _holds(BOUNDED.protocol())


@pytest.mark.parametrize("rule", sorted(BOUNDED.mutants))
def test_each_rule_is_needed(rule: str) -> None:
    """Guards against a specification that holds even without the rule."""
    assert not _holds(BOUNDED.mutants[rule]())
