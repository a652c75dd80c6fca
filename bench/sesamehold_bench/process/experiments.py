"""Runs the experiments with real processes and writes their results."""

from __future__ import annotations

from collections.abc import Sequence
import json
import os
import pathlib
from typing import Any

import attrs
import uvloop

from sesamehold.process import settings
from sesamehold_bench.process import experiment_plan
from sesamehold_bench.process import experiment_plots
from sesamehold_bench.process import measured_run
from sesamehold_bench.version import fleet

DISPATCHER_FIELD = "dispatcher"

# Engines this slow are the bottleneck long before the processes on a single machine are.
DEPLOYMENTS = {
    deployment.name: attrs.evolve(
        deployment,
        engine_capacity=8,
        engine_step_base_ms=15.0,
        engine_step_per_request_ms=1.0,
        max_tokens=24,
    )
    for deployment in (fleet.ASSOCIATION, fleet.MONEDERO)
}


@attrs.frozen
class Selection:
    """Selection of the experiments to run.

    Attributes:
        only: Names of experiments; empty for all.
        deployments: Names of deployments.
        dispatchers: Values of the settings field `dispatcher`.
        duration_s: Duration of the load of each experiment.
        seed: Seed of the load.
    """

    only: tuple[str, ...] = ()
    deployments: tuple[str, ...] = tuple(DEPLOYMENTS)
    dispatchers: tuple[str, ...] = ("policy",)
    duration_s: float = 4.0
    seed: int = experiment_plan.SEED


def dispatcher_settings(dispatcher: str) -> dict[str, Any]:
    """Returns the settings that select a dispatcher; empty if the field does not exist."""
    known = attrs.fields_dict(settings.Settings)
    return {DISPATCHER_FIELD: dispatcher} if DISPATCHER_FIELD in known else {}


def run(selection: Selection, directory: pathlib.Path) -> list[dict[str, Any]]:
    """Runs the selected experiments one after another.

    Returns:
        One row for each run; the rows are also written as JSON and plots, one file for each
        experiment.
    """
    directory.mkdir(parents=True, exist_ok=True)
    known = {experiment.name: experiment for experiment in experiment_plan.EXPERIMENTS}
    rows = []
    for name in selection.only or tuple(known):
        found = _run_one(known[name], selection)
        path = directory / f"{name}.json"
        path.write_text(json.dumps(found, indent=2) + "\n", encoding="utf-8")
        rows += found
    experiment_plots.attainment(rows, directory / "attainment.png")
    return rows


def _run_one(experiment: experiment_plan.Experiment, selection: Selection) -> list[dict[str, Any]]:
    rows = []
    for deployment_name in selection.deployments:
        for dispatcher in _distinguishable(selection.dispatchers):
            deployment = DEPLOYMENTS[deployment_name]
            config = experiment.load_config(deployment, selection.duration_s, selection.seed)
            result = uvloop.run(
                measured_run.run_on_new_fleet(
                    deployment,
                    config,
                    experiment.disturb(selection.duration_s),
                    dispatcher_settings(dispatcher),
                )
            )
            rows.append(
                {
                    "experiment": experiment.name,
                    "question": experiment.question,
                    "deployment": deployment_name,
                    "dispatcher": dispatcher if dispatcher_settings(dispatcher) else "built-in",
                    "seed": selection.seed,
                    "duration_s": selection.duration_s,
                    "rates_per_s": [round(phase.rate_per_s, 1) for phase in config.phases],
                    "command": f"sesamehold-bench experiments --only {experiment.name} "
                    f"--deployments {deployment_name} --dispatchers {dispatcher} "
                    f"--seed {selection.seed} --duration-s {selection.duration_s}",
                    "baseline": experiment.baseline,
                    "load_average": round(os.getloadavg()[0], 1),
                    **result.report(),
                }
            )
    return rows


def _distinguishable(dispatchers: Sequence[str]) -> Sequence[str]:
    # Without the settings field, all runs use the same dispatcher.
    return dispatchers if dispatcher_settings("policy") else dispatchers[:1]
