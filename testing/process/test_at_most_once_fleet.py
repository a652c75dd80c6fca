"""Tests at-most-once execution with real daemons on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
import time
from typing import Any

import aiohttp
import attrs
import pytest
from sesamehold_bench.process import local_fleet
from sesamehold_bench.version import fleet

from sesamehold.request import ids
from sesamehold.version import manifest

SKEW_MS = 50
ORDER_MS = 1_200
ENCODE_MS = 600
DEPLOYMENT = fleet.Deployment(
    name="three-hosts",
    zones=("zone-a", "zone-b", "zone-c"),
    host_count=3,
    engine_count=1,
    engine_capacity=4,
    engine_capacity_cold=1,
    services=(
        fleet.ServicePool("encoder", manifest.StageKind.ENCODE, 1, service_ms=ENCODE_MS),
        fleet.ServicePool("retriever", manifest.StageKind.RETRIEVE, 1),
        fleet.ServicePool(
            "orders", manifest.StageKind.SERVICE, 1, service_ms=ORDER_MS, repeatable=False
        ),
    ),
    accounts=(("hanoi", 1.0),),
)
_RNG = random.Random(11)


@attrs.frozen
class Reply:
    """Response as seen by the caller: HTTP status, `ran` of a refusal and the body."""

    status: int
    ran: str | None
    body: bytes


@attrs.define
class Caller:
    """Sends requests with one key to any host of a running fleet."""

    running: local_fleet.LocalFleet
    key: str

    async def send(self, host: int, *, prompt: str = "p", deadline_ms: int = 8_000) -> Reply:
        headers = {
            "Authorization": f"Bearer {fleet.credential_of('hanoi')}",
            "Idempotency-Key": self.key,
            "Sesamehold-Deadline-Ms": str(deadline_ms),
        }
        url = f"http://{self.running.addresses.hosts[host][0]}/v1/pipelines/order/requests"
        json = {"prompt": prompt}
        async with self.running.session.post(url, json=json, headers=headers) as response:
            body = await response.read()
            problem: Any = await response.json(content_type=None)
            return Reply(response.status, problem.get("ran"), body)

    def signal(self, host: int, number: int) -> None:
        self.running.children[f"host-{host}"].send_signal(number)

    async def executions(self) -> int:
        counters = await self.running.target_counters("orders-0")
        return sum(counters["executions"].values())


async def _repeat_through_another_host(caller: Caller) -> None:
    first = await caller.send(0)
    again = await caller.send(1)
    assert (first.status, again) == (200, first)
    assert (await caller.send(2, prompt="other")).status == 422


async def _repeat_while_running(caller: Caller) -> None:
    first, second = await asyncio.gather(caller.send(0), caller.send(1))
    assert first.status == 200
    assert second == first


async def _owner_killed_while_running(caller: Caller) -> None:
    first = asyncio.create_task(caller.send(0))
    await asyncio.sleep((ENCODE_MS + ORDER_MS / 2) / 1_000)
    await caller.running.children["host-0"].kill()
    with pytest.raises(aiohttp.ClientError):
        await first
    # The target supports lookups by key, so the repeated request reports that the order was run.
    assert (await caller.send(1)).ran == "yes"


async def _owner_killed_after_its_answer(caller: Caller) -> None:
    first = await caller.send(0)
    await asyncio.sleep(0.3)
    await caller.running.children["host-0"].kill()
    assert await caller.send(1) == first


async def _owner_paused_before_its_claim(caller: Caller) -> None:
    first = asyncio.create_task(caller.send(0))
    await asyncio.sleep(ENCODE_MS / 2_000)
    caller.signal(0, signal.SIGSTOP)
    second = await caller.send(1)
    caller.signal(0, signal.SIGCONT)
    assert second.status == 200
    assert await first == second


async def _owner_paused_while_running(caller: Caller) -> None:
    first = asyncio.create_task(caller.send(0))
    await asyncio.sleep((ENCODE_MS + ORDER_MS / 2) / 1_000)
    caller.signal(0, signal.SIGSTOP)
    second = await caller.send(1, deadline_ms=ENCODE_MS + 1_500)
    caller.signal(0, signal.SIGCONT)
    assert second.status != 200
    assert second.ran in {"unknown", "yes"}
    assert (await first).status == 200
    assert await caller.send(2) == await first


async def _slow_witness(caller: Caller) -> None:
    caller.signal(2, signal.SIGSTOP)
    reply = await caller.send(0)
    caller.signal(2, signal.SIGCONT)
    assert reply.status == 200


async def _planned_stop_with_handover(caller: Caller) -> None:
    first = await caller.send(0)
    assert await caller.running.children["host-0"].stop() == 0
    assert await caller.running.children["host-2"].stop() == 0
    assert await caller.send(1) == first


async def _single_host_fleet(caller: Caller) -> None:
    first = await caller.send(0)
    assert (first.status, await caller.send(0)) == (200, first)


Scenario = Callable[[Caller], Awaitable[None]]


async def _run(scenario: Scenario, host_count: int) -> int:
    deployment = attrs.evolve(DEPLOYMENT, host_count=host_count)
    async with aiohttp.ClientSession() as session:
        running = local_fleet.LocalFleet.from_config(deployment, session)
        policy = manifest.Policy(clock_skew_ms=SKEW_MS, key_retention_ms=60_000)
        running.version = attrs.evolve(running.version, policy=policy)
        try:
            await running.start()
            # Witnesses abstain for keys that may have been created before they started.
            await asyncio.sleep(4 * SKEW_MS / 1_000)
            key = ids.uuid7(time.time_ns() // 1_000_000, _RNG.getrandbits(74))
            caller = Caller(running, key)
            await scenario(caller)
            return await caller.executions()
        finally:
            for child in running.children.values():
                child.send_signal(signal.SIGCONT)
            await running.stop()


@pytest.mark.parametrize(
    ("scenario", "host_count"),
    [
        pytest.param(_repeat_through_another_host, 3, id="repeat-through-another-host"),
        pytest.param(_repeat_while_running, 3, id="repeat-while-running"),
        pytest.param(_owner_killed_while_running, 3, id="owner-killed-while-running"),
        pytest.param(_owner_killed_after_its_answer, 3, id="owner-killed-after-its-answer"),
        pytest.param(_owner_paused_before_its_claim, 3, id="owner-paused-before-its-claim"),
        pytest.param(_owner_paused_while_running, 3, id="owner-paused-while-running"),
        pytest.param(_slow_witness, 3, id="slow-witness"),
        pytest.param(_planned_stop_with_handover, 3, id="planned-stop-of-two-hosts"),
        pytest.param(_single_host_fleet, 1, id="fleet-of-one-host"),
    ],
)
def test_key_is_executed_once(scenario: Scenario, host_count: int) -> None:
    """Guards against a second execution or a changed answer when hosts fail or are slow."""
    assert asyncio.run(_run(scenario, host_count)) == 1
