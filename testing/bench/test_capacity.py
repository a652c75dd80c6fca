"""Checks the capacity page against the recorded measurements."""

from __future__ import annotations

import pathlib

import pytest
from sesamehold_bench.process import capacity
from sesamehold_bench.process import sweep

ROOT = pathlib.Path(capacity.__file__).parents[3]


def test_page_is_generated_from_the_recorded_measurements() -> None:
    """Guards against figures on the page that come from no recorded run."""
    notes = (ROOT / "docs" / "capacity-notes.md").read_text("utf-8")
    inputs = capacity.Inputs.from_folder(ROOT / capacity.MEASUREMENTS)
    assert (ROOT / capacity.PAGE).read_text("utf-8") == capacity.page(inputs, notes)


@pytest.mark.parametrize(
    ("value", "budget", "expected"),
    [
        pytest.param(50.0, 100.0, "50%", id="margin"),
        pytest.param(100.0, 100.0, "0%", id="no-margin"),
        pytest.param(120.0, 100.0, "**misses by 20%**", id="miss"),
        pytest.param(5.0, None, "", id="no-budget"),
    ],
)
def test_verdict_names_a_missed_budget(value: float, budget: float | None, expected: str) -> None:
    """Guards against a missed budget that is shown as met."""
    line = capacity.Line("role", "item", "mechanism", "slope", value, budget, "unit", "command")
    assert capacity._verdict(line) == expected


@pytest.mark.parametrize(
    ("order", "rows"),
    [
        pytest.param(1, [(1, 5), (2, 10), (4, 20)], id="linear"),
        pytest.param(2, [(1, 5), (2, 20), (4, 80)], id="quadratic"),
    ],
)
def test_fit_finds_the_order_of_growth(order: int, rows: list[tuple[int, int]]) -> None:
    """Guards against superlinear growth that is reported as linear."""
    found = sweep.fit([sweep.Row(x, y) for x, y in rows])
    assert found.order == pytest.approx(order)
