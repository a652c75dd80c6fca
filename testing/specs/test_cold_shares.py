"""Bounded check of the specification of cold capacity shares."""

from __future__ import annotations

from minicheck import check_safety
import pytest
from sesamehold_specs import cold_shares

SPECIFICATION = cold_shares.SPECIFICATIONS[0]


def test_work_never_exceeds_the_cold_capacity() -> None:
    """Guards against two hosts that use the same slot."""
    result = check_safety(SPECIFICATION.protocol(), SPECIFICATION.max_states)
    assert result["exhaustive"]
    assert all(item["holds"] for item in result["properties"].values())


@pytest.mark.parametrize("mutant", SPECIFICATION.mutants)
def test_each_rule_is_needed(mutant: str) -> None:
    """Guards against a rule that the model does not check: removing it must be detected."""
    result = check_safety(SPECIFICATION.mutants[mutant](), SPECIFICATION.max_states)
    assert [item["holds"] for item in result["properties"].values()] == [False]
