"""Checks the measurement of the stage scheduler."""

from __future__ import annotations

import pytest
from sesamehold_bench.process import stage_sweep


@pytest.mark.parametrize(
    ("rate_per_s", "is_overloaded"),
    [
        pytest.param(20.0, False, id="light"),
        pytest.param(600.0, True, id="overload"),
    ],
)
def test_work_completes_and_fails_only_under_overload(
    rate_per_s: float, is_overloaded: bool
) -> None:
    """Guards against figures of a run without completed work or of overload without failures."""
    measured = stage_sweep.measure(rate_per_s, duration_s=8.0, seed=1)
    assert measured.done_count > 100
    assert (measured.failed_count > 0) is is_overloaded
    assert measured.processor_fraction > 0
