from __future__ import annotations

from minicheck import check_safety
import pytest
from sesamehold_specs import cold_shares

SPECIFICATION = cold_shares.SPECIFICATIONS[0]


# Guards against two hosts using the same slot.
def test_work_never_exceeds_the_cold_capacity() -> None:
    result = check_safety(SPECIFICATION.protocol(), SPECIFICATION.max_states)
    assert result["exhaustive"]
    assert all(item["holds"] for item in result["properties"].values())


# A rule whose absence goes unnoticed is not checked by the model.
@pytest.mark.parametrize("mutant", SPECIFICATION.mutants)
def test_each_rule_is_needed(mutant: str) -> None:
    result = check_safety(SPECIFICATION.mutants[mutant](), SPECIFICATION.max_states)
    assert [item["holds"] for item in result["properties"].values()] == [False]
