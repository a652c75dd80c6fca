"""One load run over a local fleet, with a disturbance, and its report."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time
from typing import Any

import aiohttp
import attrs

from sesamehold_bench.process import fleet_counts
from sesamehold_bench.process import load
from sesamehold_bench.process import load_report
from sesamehold_bench.process import local_fleet
from sesamehold_bench.request import load_request
from sesamehold_bench.version import fleet

Disturbance = Callable[[local_fleet.LocalFleet], Awaitable[None]]


async def no_disturbance(running: local_fleet.LocalFleet) -> None:
    """Does not change the fleet."""
    del running


@attrs.frozen
class RunResult:
    """Outcomes of a run and the counters of hosts and targets after it.

    Attributes:
        outcomes: One outcome for each request.
        duration_s: Planned duration of the arrivals.
        targets: Counters of the targets that answered.
        targets_complete: Whether all targets answered and none lost its counters.
        replaced_targets: Number of targets that exited and were restarted.
        hosts: Counters of the hosts that answered.
    """

    outcomes: list[load_request.Outcome]
    duration_s: float
    targets: load_report.TargetCounts
    targets_complete: bool
    replaced_targets: int
    hosts: fleet_counts.HostCounts

    def violations(self) -> list[str]:
        """Returns all invariant violations."""
        return load_report.violations(self.outcomes, self.targets, complete=self.targets_complete)

    def report(self) -> dict[str, Any]:
        """Returns the results of the run as JSON-compatible values."""
        failed = {
            name.removeprefix("attempts.failed."): count
            for name, count in sorted(self.hosts.counters.items())
            if name.startswith("attempts.failed.")
        }
        return {
            **load_report.summary(self.outcomes, self.duration_s),
            "failed_attempts": failed,
            "cost": self.hosts.cost,
            "wasted_cost": self.hosts.wasted_cost,
            "units_booked": dict(sorted(self.hosts.units.items())),
            "units_counted_by_targets": dict(sorted(self.targets.units.items())),
            "replaced_targets": self.replaced_targets,
            "counters_complete": self.targets_complete and self.hosts.complete,
            "violations": self.violations(),
        }


async def run(
    running: local_fleet.LocalFleet,
    config: load.LoadConfig,
    disturb: Disturbance = no_disturbance,
) -> RunResult:
    """Runs the load and the disturbance concurrently and waits for both."""
    requests = load.plan(config, running.version, time.time_ns() // 1_000_000)
    addresses = [caller for caller, _, _ in running.addresses.hosts]
    replacement = asyncio.create_task(running.replace_ended_targets())
    try:
        outcomes, _ = await asyncio.gather(load.run(requests, addresses), disturb(running))
    finally:
        replacement.cancel()
    targets, complete = await fleet_counts.read_targets(running)
    return RunResult(
        outcomes=outcomes,
        duration_s=sum(phase.duration_s for phase in config.phases),
        targets=targets,
        targets_complete=complete and not running.replaced_targets,
        replaced_targets=running.replaced_targets,
        hosts=await fleet_counts.read_hosts(running),
    )


async def run_on_new_fleet(
    deployment: fleet.Deployment,
    config: load.LoadConfig,
    disturb: Disturbance = no_disturbance,
    settings: dict[str, Any] | None = None,
) -> RunResult:
    """Starts a fleet, runs the load over it and stops the fleet."""
    async with aiohttp.ClientSession() as session:
        running = local_fleet.LocalFleet.from_config(deployment, session)
        running.settings.update(settings or {})
        try:
            await running.start()
            return await run(running, config, disturb)
        finally:
            await running.stop()
