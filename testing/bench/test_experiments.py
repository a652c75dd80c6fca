"""Short runs of the experiments that check counts and invariants, but no timings."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
import fleet_session
import pytest
from sesamehold_bench.process import experiment_plan
from sesamehold_bench.process import measured_run
from sesamehold_bench.request import load_request
from sesamehold_bench.version import fleet

DURATION_S = 2.0
EXPERIMENTS = {item.name: item for item in experiment_plan.EXPERIMENTS}


@pytest.fixture(scope="module")
def shared() -> Iterator[fleet_session.FleetSession]:
    with fleet_session.small_fleet() as session:
        yield session


@pytest.mark.parametrize(
    ("name", "all_answered"),
    [
        pytest.param("steady-50", True, id="steady"),
        pytest.param("slow-stage", True, id="slow-stage"),
        pytest.param("failing-stage", False, id="failing-stage"),
        pytest.param("zone-out-and-slow-stage", True, id="two-faults"),
        pytest.param("platform-down", True, id="configuration-service-down"),
    ],
)
def test_experiment_keeps_the_invariants(
    shared: fleet_session.FleetSession, name: str, all_answered: bool
) -> None:
    """Guards against lost, duplicate or misrouted answers and false `ran` values under faults."""
    # A tenth of the normal capacity, so that a slow machine is not overloaded.
    shape = attrs.evolve(fleet.SMALL, engine_step_base_ms=400.0)
    config = attrs.evolve(
        EXPERIMENTS[name].load_config(shape, DURATION_S, experiment_plan.SEED),
        deadline_ms=fleet_session.DEADLINE_MS,
        # Resubmission through other hosts is covered by a separate test.
        repeat_fraction=0.0,
    )
    disturb = EXPERIMENTS[name].disturb(DURATION_S)
    result = shared.run(measured_run.run(shared.fleet, config, disturb))
    shared.run(shared.fleet.restore())
    assert result.violations() == []
    kinds = {outcome.kind for outcome in result.outcomes}
    assert load_request.ANSWERED in kinds
    assert kinds <= {load_request.ANSWERED, *(() if all_answered else ("stage-failed",))}
    assert result.hosts.units == {
        pool: units for pool, units in result.targets.units.items() if units
    }


def test_experiments_have_unique_names_and_known_baselines() -> None:
    """Guards against results that cannot be reproduced by name or compared with a baseline."""
    assert len(EXPERIMENTS) == len(experiment_plan.EXPERIMENTS)
    assert {item.baseline for item in experiment_plan.EXPERIMENTS} <= set(EXPERIMENTS)
