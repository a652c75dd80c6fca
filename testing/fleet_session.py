"""A fleet of real processes that all tests of a module share."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import time
from typing import Any
from typing import TypeVar

import aiohttp
import attrs
from sesamehold_bench.process import fleet_counts
from sesamehold_bench.process import load
from sesamehold_bench.process import load_report
from sesamehold_bench.process import local_fleet
from sesamehold_bench.request import load_request
from sesamehold_bench.version import fleet
import uvloop

from sesamehold.request import ids

T = TypeVar("T")

# Far above the duration of any test, so that no result depends on the speed of the machine.
DEADLINE_MS = 60_000
WAIT_S = 60.0


@attrs.define(eq=False)
class FleetSession:
    """Sends requests to a running fleet and checks their outcomes."""

    fleet: local_fleet.LocalFleet
    _runner: asyncio.Runner
    _last_number: int = 0

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the event loop of the fleet and returns its result."""
        return self._runner.run(coroutine)

    def plan(
        self, pipeline: str, host_index: int = 0, **fields: Any
    ) -> load_request.PlannedRequest:
        """Returns a planned request with a unique prompt."""
        self._last_number += 1
        definition = self.fleet.version.pipeline(pipeline)
        assert definition is not None
        values: dict[str, Any] = {
            "number": self._last_number,
            "at_s": 0.0,
            "host_index": host_index,
            "account": self.fleet.deployment.accounts[0][0],
            "pipeline": definition,
            "prompt": f"question {self._last_number}",
            "stream": definition.repeatable,
            "deadline_ms": DEADLINE_MS,
        }
        return load_request.PlannedRequest(**{**values, **fields})

    def new_key(self) -> str:
        """Returns a new UUIDv7 idempotency key."""
        self._last_number += 1
        return ids.uuid7(time.time_ns() // 1_000_000, self._last_number)

    async def send(self, *plans: load_request.PlannedRequest) -> list[load_request.Outcome]:
        """Sends the requests concurrently and waits for their outcomes."""
        return await load.run(plans, [caller for caller, _, _ in self.fleet.addresses.hosts])

    async def target_sum(self, counter: str, *target_ids: str) -> int:
        """Returns the sum of one counter over the given targets."""
        documents = [await self.fleet.target_counters(target_id) for target_id in target_ids]
        return sum(document[counter] for document in documents)

    async def violations(self, outcomes: list[load_request.Outcome]) -> list[str]:
        """Returns every invariant violation found in these outcomes.

        The counters accumulate over all tests of the shared fleet, so keys of other requests are
        ignored.
        """
        counts, complete = await fleet_counts.read_targets(self.fleet)
        own_keys = {
            f"{outcome.plan.account}:{outcome.plan.key or outcome.request_id}"
            for outcome in outcomes
        }
        executions = {key: count for key, count in counts.executions.items() if key in own_keys}
        counts = attrs.evolve(counts, executions=executions)
        return load_report.violations(outcomes, counts, complete=complete)


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Polls a condition until it holds; raises `TimeoutError` after `WAIT_S`."""
    async with asyncio.timeout(WAIT_S):
        while not await condition():
            await asyncio.sleep(0.02)


@contextlib.contextmanager
def small_fleet(
    deployment: fleet.Deployment = fleet.SMALL, **settings: Any
) -> Iterator[FleetSession]:
    """Runs a small fleet, with additional host settings, for the duration of the context."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        session = runner.run(_session())
        running = local_fleet.LocalFleet.from_config(deployment, session)
        running.settings.update(settings)
        try:
            runner.run(running.start())
            yield FleetSession(running, runner)
        finally:
            runner.run(running.stop())
            runner.run(session.close())


async def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession()
