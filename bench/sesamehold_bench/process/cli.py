"""Command line of the bench: stand-ins, demonstration, experiments and sweeps."""

from __future__ import annotations

import sys
import time

import cyclopts
import uvloop

from sesamehold_bench.connection import engine_http
from sesamehold_bench.connection import platform_http
from sesamehold_bench.connection import service_http
from sesamehold_bench.process import demo as demos
from sesamehold_bench.process import engine as engines
from sesamehold_bench.process import serve

app = cyclopts.App(name="sesamehold-bench", help=__doc__, result_action="return_value")


@app.command
def platform(*, address: str) -> int:
    """Serves the stand-in configuration service."""
    serve.serve(lambda: platform_http.PlatformApi().application(), address)
    return 0


@app.command
def engine(
    *,
    address: str,
    capacity_warm: int = 16,
    capacity_cold: int = 2,
    step_base_ms: float = 4.0,
    cold_ms: int = 0,
) -> int:
    """Serves one stand-in engine."""
    config = engines.EngineConfig(
        capacity_warm=capacity_warm,
        capacity_cold=capacity_cold,
        step_base_ms=step_base_ms,
        cold_ms=cold_ms,
    )
    serve.serve(
        lambda: engine_http.EngineApi(engines.Engine(config, time.monotonic())).application(),
        address,
    )
    return 0


@app.command
def service(*, address: str, name: str, capacity: int = 32, service_ms: float = 5.0) -> int:
    """Serves one stand-in service."""
    config = service_http.ServiceConfig(name=name, capacity=capacity, service_ms=service_ms)
    serve.serve(lambda: service_http.ServiceApi(config).application(), address)
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
