"""Three daemons on loopback with a simulated configuration service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib

import aiohttp
from aiohttp import web
import attrs
import pytest
from sesamehold_bench.connection import platform_http
from sesamehold_bench.process import local_fleet
from sesamehold_bench.version import fleet

from sesamehold.process import daemon
from sesamehold.process import settings
from sesamehold.version import manifest

HOST_COUNT = 3


@attrs.define(eq=False)
class _Fleet:
    platform: platform_http.PlatformApi
    addresses: list[str]
    daemons: list[daemon.Daemon] = attrs.field(factory=list)
    tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    def version(self, number: int) -> manifest.Manifest:
        free = self.addresses
        hosts = tuple(tuple(free[1 + 3 * index : 4 + 3 * index]) for index in range(HOST_COUNT))
        deployment = fleet.ASSOCIATION
        ids = [fleet.engine_id(index) for index in range(deployment.engine_count)]
        for pool in deployment.services:
            ids += [fleet.service_id(pool.name, index) for index in range(pool.target_count)]
        # Unused addresses: no request is sent, the version only has to be accepted.
        targets = {name: f"127.0.0.1:{1 + index}" for index, name in enumerate(ids)}
        return fleet.build(deployment, fleet.Addresses(hosts, targets), number)  # type: ignore[arg-type]

    async def publish(self, number: int) -> None:
        url = f"http://{self.addresses[0]}/control/values/manifest"
        document = {"version": number, "value": manifest.to_json(self.version(number))}
        async with aiohttp.ClientSession() as session, session.put(url, json=document):
            pass

    def start(self, index: int) -> daemon.Daemon:
        caller, operator, peer = self.addresses[1 + 3 * index : 4 + 3 * index]
        config = settings.Settings(
            host_id=f"host-{index}",
            zone="zone-a",
            caller_address=caller,
            operator_address=operator,
            peer_address=peer,
            platform_address=self.addresses[0],
            operator_credential="operator-credential",
            peer_keys=("key-of-these-tests",),
            seeds=tuple(self.addresses[3::3]),
            random_seed=index,
            balancer_grace_ms=0,
        )
        started = daemon.Daemon.from_config(config)
        self.daemons.append(started)
        self.tasks.append(asyncio.create_task(started.run()))
        return started


@contextlib.asynccontextmanager
async def _fleet():  # type: ignore[no-untyped-def] # noqa: ANN202
    running = _Fleet(platform_http.PlatformApi(), local_fleet.free_addresses(1 + 3 * HOST_COUNT))
    runner = web.AppRunner(running.platform.application(), shutdown_timeout=0.1)
    await runner.setup()
    ip, _, port = running.addresses[0].rpartition(":")
    await web.TCPSite(runner, ip, int(port)).start()
    await running.publish(1)
    for index in range(HOST_COUNT):
        running.start(index)
    try:
        yield running
    finally:
        for item in running.daemons:
            item.start_drain()
        await asyncio.gather(*running.tasks)
        await runner.cleanup()


async def _until(condition: Callable[[], bool], timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.02)


def test_fleet_applies_new_versions_and_survives_a_leaving_host_and_a_platform_outage() -> None:
    """Guards against sockets and background tasks that are not connected to the fleet view."""

    async def run() -> None:
        async with _fleet() as running:
            daemons = running.daemons
            await _until(lambda: all(item.node.is_ready() for item in daemons), 5)
            await running.publish(2)
            await _until(lambda: all(item.node.version.version == 2 for item in daemons), 5)
            now_ms = daemons[0].node.clock.now_ms()
            assert all(item.node.fleet.has_quorum(now_ms) for item in daemons)

            daemons[2].start_drain()
            assert not daemons[2].node.is_ready()
            members = [item.node.fleet.membership for item in daemons[:2]]
            await _until(lambda: not any(item.is_alive("host-2") for item in members), 3)
            await running.tasks[2]

            running.platform.down = True
            again = running.start(2)
            await _until(again.node.is_ready, 5)
            assert again.node.version is not None
            assert again.node.version.version == 2
            await _until(lambda: all(item.is_alive("host-2") for item in members), 5)

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent_bytes", [pytest.param(20, id="in-its-head"), pytest.param(-1, id="in-its-body")]
)
def test_request_that_is_being_received_at_a_stop_gets_an_answer(sent_bytes: int) -> None:
    """Guards against a host that drops the rest of a request because it shuts down."""

    async def run() -> None:
        async with _fleet() as running:
            stopping = running.daemons[0]
            await _until(stopping.node.is_ready, 5)
            ip, _, port = running.addresses[1].rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            data = (
                b"POST /v1/pipelines/p/requests HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
            )
            writer.write(data[:sent_bytes])
            await asyncio.sleep(0.1)
            stopping.start_drain()
            await _until(lambda: stopping.node.requests.closed, 5)
            await asyncio.sleep(1.0)
            writer.write(data[sent_bytes:])
            async with asyncio.timeout(5):
                answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 ")
            assert b"Connection: close" in answer
            writer.close()

    asyncio.run(run())
