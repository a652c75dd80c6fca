"""Bounded check of the specification of order fencing, with and without each of its rules."""

from __future__ import annotations

import minicheck
import pytest
from sesamehold_specs import order_fencing

MAX_STATES = 200_000


@pytest.mark.parametrize(
    "engine_checks_fencing", [pytest.param(True, id="checking"), pytest.param(False, id="ignoring")]
)
def test_specification_holds_in_the_whole_space(engine_checks_fencing: bool) -> None:
    """Guards against an order of a previous owner that takes effect after one of the new owner."""
    result = minicheck.check_safety(
        order_fencing.protocol(engine_checks_fencing=engine_checks_fencing), MAX_STATES
    )
    assert result["exhaustive"]
    assert all(item["holds"] for item in result["properties"].values())


@pytest.mark.parametrize(
    ("rules", "engine_checks_fencing", "invariant"),
    [
        pytest.param(
            order_fencing.Rules(hold_off=False), False, "newest_owner_wins", id="hold-off"
        ),
        pytest.param(
            order_fencing.Rules(hold_off=False), True, "numbers_grow", id="growing-numbers"
        ),
        pytest.param(order_fencing.Rules(quorum=False), False, "newest_owner_wins", id="quorum"),
        pytest.param(
            order_fencing.Rules(engine_check=False), True, "newest_owner_wins", id="engine-check"
        ),
    ],
)
def test_specification_without_a_rule_is_refuted(
    rules: order_fencing.Rules, engine_checks_fencing: bool, invariant: str
) -> None:
    """Guards against redundant rules and against invariants that cannot fail."""
    result = minicheck.check_safety(
        order_fencing.protocol(rules, engine_checks_fencing=engine_checks_fencing), MAX_STATES
    )
    assert result["properties"][invariant]["holds"] is False
