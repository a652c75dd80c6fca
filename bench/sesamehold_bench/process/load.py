"""Open-loop load generator with seeded arrivals that do not depend on the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import random

import aiohttp
import attrs

from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold_bench.request import load_request

# Range of the delay before a key is submitted again, as by a caller that does not wait for the
# first answer.
_RESUBMISSION_DELAY_S = (0.0, 0.5)


@attrs.frozen
class Phase:
    """Part of a run with a constant mean rate."""

    duration_s: float
    rate_per_s: float


@attrs.frozen
class LoadConfig:
    """Request mix and arrival rates of one run.

    Attributes:
        seed: Seed of the random source.
        phases: Consecutive phases with their rates.
        pipelines: Pipelines with their weights.
        accounts: Client accounts with their weights.
        stream_fraction: Fraction of requests that are streamed.
        deadline_ms: Deadline of all requests.
        key_fraction: Fraction of non-repeatable requests that carry a caller's key.
        repeat_fraction: Fraction of those that are sent again through another host.
        shared_prefixes: Number of distinct prompt prefixes, 0 for none.
        crashing_numbers: Numbers of the requests whose prompt contains the crash marker.
    """

    seed: int
    phases: tuple[Phase, ...]
    pipelines: tuple[tuple[str, float], ...] = (("summary", 0.8), ("order", 0.2))
    accounts: tuple[tuple[str, float], ...] = ()
    stream_fraction: float = 0.7
    deadline_ms: int = 3_000
    key_fraction: float = 0.7
    repeat_fraction: float = 0.3
    shared_prefixes: int = 20
    crashing_numbers: tuple[int, ...] = ()


@attrs.define
class _Planner:
    """Generates the requests of one run."""

    config: LoadConfig
    version: manifest.Manifest
    start_wall_ms: int
    rng: random.Random

    def request(self, number: int, at_s: float) -> load_request.PlannedRequest:
        config = self.config
        name = self._choose_weighted(config.pipelines)
        pipeline = self.version.pipeline(name)
        if pipeline is None:
            raise ValueError(f"the manifest has no pipeline {name!r}")
        has_key = not pipeline.repeatable and self.rng.random() < config.key_fraction
        return load_request.PlannedRequest(
            number=number,
            at_s=at_s,
            host_index=self.rng.randrange(len(self.version.hosts)),
            account=self._choose_weighted(config.accounts),
            pipeline=pipeline,
            prompt=self._prompt(number),
            stream=pipeline.repeatable and self.rng.random() < config.stream_fraction,
            deadline_ms=config.deadline_ms,
            key=self._key(at_s) if has_key else None,
        )

    def resubmissions(
        self, first: load_request.PlannedRequest
    ) -> list[load_request.PlannedRequest]:
        if first.key is None or self.rng.random() >= self.config.repeat_fraction:
            return []
        other = (first.host_index + 1) % len(self.version.hosts)
        at_s = first.at_s + self.rng.uniform(*_RESUBMISSION_DELAY_S)
        return [attrs.evolve(first, at_s=at_s, host_index=other, submission=2)]

    def _choose_weighted(self, weights: Sequence[tuple[str, float]]) -> str:
        names = [name for name, _ in weights]
        return self.rng.choices(names, [weight for _, weight in weights])[0]

    def _prompt(self, number: int) -> str:
        prefix = ""
        if self.config.shared_prefixes:
            group = self.rng.randrange(self.config.shared_prefixes)
            prefix = f"manual {group:04d} section on payment terminals and tabs, "
        marker = " <crash>" if number in self.config.crashing_numbers else ""
        return f"{prefix}question {number}{marker}"

    def _key(self, at_s: float) -> str:
        return ids.uuid7(self.start_wall_ms + int(at_s * 1_000), self.rng.getrandbits(74))


def plan(
    config: LoadConfig, version: manifest.Manifest, start_wall_ms: int
) -> list[load_request.PlannedRequest]:
    """Returns all requests of a run in order of arrival."""
    planner = _Planner(config, version, start_wall_ms, random.Random(config.seed))
    requests: list[load_request.PlannedRequest] = []
    end_s = 0.0
    number = 0
    for phase in config.phases:
        at_s, end_s = end_s, end_s + phase.duration_s
        while (
            phase.rate_per_s > 0
            and (at_s := at_s + planner.rng.expovariate(phase.rate_per_s)) < end_s
        ):
            first = planner.request(number, at_s)
            requests += [first, *planner.resubmissions(first)]
            number += 1
    return sorted(requests, key=lambda item: item.at_s)


def _arrivals(phase: Phase, start_s: float, rng: random.Random) -> Iterator[float]:
    if phase.rate_per_s <= 0:
        return
    at_s = start_s + rng.expovariate(phase.rate_per_s)
    while at_s < start_s + phase.duration_s:
        yield at_s
        at_s += rng.expovariate(phase.rate_per_s)


async def run(
    requests: Sequence[load_request.PlannedRequest],
    caller_addresses: Sequence[str],
) -> list[load_request.Outcome]:
    """Sends each request at its arrival time and waits for all outcomes."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        start_s = asyncio.get_running_loop().time()
        tasks = []
        for item in requests:
            await asyncio.sleep(start_s + item.at_s - asyncio.get_running_loop().time())
            tasks.append(asyncio.create_task(_send_with_failover(session, caller_addresses, item)))
        return list(await asyncio.gather(*tasks))


async def _send_with_failover(
    session: aiohttp.ClientSession,
    caller_addresses: Sequence[str],
    item: load_request.PlannedRequest,
) -> load_request.Outcome:
    """Sends a request as a load balancer does: tries the next host if one turns it away."""
    for offset in range(len(caller_addresses)):
        index = (item.host_index + offset) % len(caller_addresses)
        outcome = await load_request.send(session, caller_addresses[index], item)
        if not outcome.may_use_other_host:
            break
    return outcome
