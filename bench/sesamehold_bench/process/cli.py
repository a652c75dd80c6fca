"""Command line of the bench: simulated services, demonstration, experiments and sweeps."""

from __future__ import annotations

import json
import pathlib
import sys
from typing import Annotated
from typing import Literal

import cyclopts
import uvloop

from sesamehold_bench.connection import engine_http
from sesamehold_bench.connection import platform_http
from sesamehold_bench.connection import service_http
from sesamehold_bench.process import demo as demos
from sesamehold_bench.process import engine as engines
from sesamehold_bench.process import experiment_plan
from sesamehold_bench.process import experiments
from sesamehold_bench.process import load
from sesamehold_bench.process import measured_run
from sesamehold_bench.process import relay
from sesamehold_bench.process import serve
from sesamehold_bench.process import statsd_sink
from sesamehold_bench.process import sweep
from sesamehold_bench.version import fleet

app = cyclopts.App(name="sesamehold-bench", help=__doc__, result_action="return_value")


@app.command
def platform(*, address: str) -> int:
    """Serves the simulated configuration service."""
    serve.serve(lambda: platform_http.PlatformApi().application(), address)
    return 0


@app.command
def statsd(*, address: str) -> int:
    """Counts statsd datagrams; returns the counts over HTTP on the same port number."""
    serve.serve(lambda: statsd_sink.StatsdSink().application(address), address)
    return 0


@app.command
def engine(
    *,
    address: str,
    config: Annotated[engines.EngineConfig | None, cyclopts.Parameter(name="*")] = None,
) -> int:
    """Serves one simulated engine."""
    chosen = config or engines.EngineConfig()
    serve.serve(lambda: engine_http.EngineApi.from_config(chosen).application(), address)
    return 0


@app.command
def service(
    *,
    address: str,
    config: Annotated[service_http.ServiceConfig, cyclopts.Parameter(name="*")],
) -> int:
    """Serves one simulated service."""
    serve.serve(lambda: service_http.ServiceApi(config).application(), address)
    return 0


@app.command(name="load")
def run_load(
    *,
    deployment: Literal["association", "monedero"] = "association",
    rate_per_s: float = 40.0,
    duration_s: float = 5.0,
    seed: int = 1,
) -> int:
    """Runs an open-loop load over a local fleet and prints its report as JSON."""
    shape = fleet.ASSOCIATION if deployment == "association" else fleet.MONEDERO
    config = load.LoadConfig(
        seed=seed, phases=(load.Phase(duration_s, rate_per_s),), accounts=shape.accounts
    )
    result = uvloop.run(measured_run.run_on_new_fleet(shape, config))
    print(json.dumps(result.report(), indent=2))
    return 1 if result.violations() else 0


@app.command(name="relay")
def run_relay(
    *,
    window_s: float = 2.0,
    output: pathlib.Path | None = None,
    profile: pathlib.Path | None = None,
) -> int:
    """Measures the CPU time of one daemon for each token and each request.

    Args:
        window_s: Duration of each measured window.
        output: JSON file for the result.
        profile: File for a profile of the daemon, which is printed instead of measurements.
    """
    if profile is not None:
        print(relay.profile(profile, window_s))
        return 0
    text = json.dumps(uvloop.run(relay.run(window_s)), indent=2)
    print(text)
    if output is not None:
        output.write_text(text + "\n", encoding="utf-8")
    return 0


@app.command(name="experiments")
def run_experiments(
    *,
    only: tuple[str, ...] = (),
    deployments: tuple[str, ...] = tuple(experiments.DEPLOYMENTS),
    dispatchers: tuple[str, ...] = ("policy",),
    duration_s: float = 4.0,
    seed: int = experiment_plan.SEED,
    directory: pathlib.Path = pathlib.Path("docs/measurements"),
) -> int:
    """Runs the experiments with real processes; writes JSON and plots.

    Args:
        only: Names of experiments; empty for all.
        deployments: Names of deployments.
        dispatchers: Values of the settings field `dispatcher`.
        duration_s: Duration of the load of each experiment.
        seed: Seed of the load.
        directory: Output directory for JSON files and plots.
    """
    selection = experiments.Selection(only, deployments, dispatchers, duration_s, seed)
    for row in experiments.run(selection, directory):
        print(
            f"{row['experiment']:<24} {row['deployment']:<12} {row['dispatcher']:<18} "
            f"attained {row['attainment']:.3f}  goodput {row['goodput_per_s']:.1f}/s  "
            f"wasted {row['wasted_cost']}/{row['cost']}  violations {len(row['violations'])}"
        )
    return 0


@app.command(name="sweep")
def run_sweeps(*, window_s: float = 1.0, output: pathlib.Path | None = None) -> int:
    """Measures how costs grow with one variable at a time.

    Args:
        window_s: Duration of each measured window.
        output: JSON file for the result.
    """
    text = json.dumps(uvloop.run(sweep.run(window_s)), indent=2)
    print(text)
    if output is not None:
        output.write_text(text + "\n", encoding="utf-8")
    return 0


@app.command
def demo() -> int:
    """Runs the demonstration fleet on loopback."""
    return uvloop.run(demos.run())


def main() -> None:
    """Entry point of `sesamehold-bench`."""
    sys.exit(app())


if __name__ == "__main__":
    main()
