"""Guards the measurement of the stage scheduler."""

from __future__ import annotations

import pytest
from sesamehold_bench.process import stage_sweep


@pytest.mark.parametrize(
    ("rate_per_s", "is_overloaded"),
    [
        pytest.param(20.0, False, id="light"),
        pytest.param(600.0, True, id="beyond-what-the-targets-bear"),
    ],
)
def test_load_is_played_to_its_end(rate_per_s: float, is_overloaded: bool) -> None:
    """Guards against figures of a run in which nothing was done, or nothing was refused."""
    measured = stage_sweep.measure(rate_per_s, duration_s=8.0, seed=1)
    assert measured.done_count > 100
    assert (measured.failed_count > 0) is is_overloaded
    assert measured.processor_fraction > 0
