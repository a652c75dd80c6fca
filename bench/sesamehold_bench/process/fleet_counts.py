"""Reads the counters of the targets and hosts of a local fleet."""

from __future__ import annotations

import collections
from typing import Any

import aiohttp
import attrs

from sesamehold_bench.process import load_report
from sesamehold_bench.process import local_fleet


@attrs.frozen
class HostCounts:
    """Counters of all hosts that answered.

    Attributes:
        units: Booked units by pool.
        cost: Booked cost.
        wasted_cost: Part of the cost whose results were not delivered.
        counters: Sums of the hosts' metrics counters.
        complete: Whether all hosts answered.
    """

    units: dict[str, int]
    cost: int
    wasted_cost: int
    counters: dict[str, int]
    complete: bool


async def read_targets(
    running: local_fleet.LocalFleet,
) -> tuple[load_report.TargetCounts, bool]:
    """Returns the counters of all targets, and whether all of them answered."""
    executions: collections.Counter[str] = collections.Counter()
    requests: collections.Counter[str] = collections.Counter()
    units: collections.Counter[str] = collections.Counter()
    complete = True
    for pool in running.version.pools:
        for target in pool.targets:
            try:
                document = await running.target_counters(target.id)
            except aiohttp.ClientError:
                complete = False
                continue
            executions.update(document.get("executions", {}))
            requests.update(document.get("requests", {}))
            units[pool.name] += document["total_units"]
    return load_report.TargetCounts(executions, requests, units), complete


async def read_hosts(running: local_fleet.LocalFleet) -> HostCounts:
    """Returns the counters summed over all hosts that answer."""
    units: collections.Counter[str] = collections.Counter()
    counters: collections.Counter[str] = collections.Counter()
    rows: list[dict[str, Any]] = []
    complete = True
    for index in range(running.deployment.host_count):
        try:
            rows += (await running.operator_get(index, "/v1/costs"))["rows"]
            counters.update((await running.operator_get(index, "/v1/dump"))["counters"])
        except aiohttp.ClientError:
            complete = False
    for row in rows:
        units[row["pool"]] += row["units"]
    return HostCounts(
        units=dict(units),
        cost=sum(row["cost"] for row in rows),
        wasted_cost=sum(row["wasted_cost"] for row in rows),
        counters=dict(counters),
        complete=complete,
    )
