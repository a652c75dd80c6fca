"""A gateway process with little memory, and a crowd of callers beside one ordinary request."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import pathlib
from typing import Any

import crowd
from fault_soak.process import host as soak_host
from fault_soak.request import promises
import platform_stand_in as stand_in
from platform_stand_in import Exchange

from sesamehold.platform import boot
from sesamehold.process import listening

FRONT, READINESS, METRICS = soak_host.FRONT_PORT, soak_host.READINESS_PORT, boot.METRICS_PORT
LISTENERS = {FRONT: "front", READINESS: "readiness", METRICS: "metrics"}
LARGE_ANSWER = b"a" * 200_000
LARGE_PATH, SLOW_PATH = "/svc/large", "/svc/slow"
HEAD = stand_in.request("/svc/x", body=b"", Deadline_Remaining="20000")
HEAD = HEAD.removesuffix(b"\r\n\r\n").replace(b"Connection: close\r\n", b"") + b"\r\n"
SLOW_HEAD = HEAD.replace(b"/svc/x", SLOW_PATH.encode())
LARGE = HEAD.replace(b"/svc/x", LARGE_PATH.encode()) + b"\r\n"


class Host(soak_host.SoakHost):
    """A gateway process with little memory."""

    def _settings(self) -> str:
        limits = f"[limits]\nmemoryMb = {crowd.MEMORY_MB}"
        return super()._settings().replace("[limits]", limits)


async def _answer(exchange: Exchange) -> None:
    exchange.body = b""
    if exchange.target == SLOW_PATH:
        await asyncio.sleep(crowd.HANG_S)
    exchange.send(200, LARGE_ANSWER if exchange.target == LARGE_PATH else b"answer")


async def check_beside_crowd(
    name: str,
    folder: pathlib.Path,
    address: listening.Address,
    streams: Sequence[crowd.Stream],
    limits: dict[str, Any],
    caller_count: int = crowd.CALLER_COUNT,
) -> None:
    """Checks that a gateway lives, stays within its memory and answers one ordinary request.

    Args:
        name: Name of the case, for its output.
        folder: Gets the settings and the log of the process.
        address: What the crowd connects to.
        streams: What the crowd sends.
        limits: Limits on callers, in the form of the configuration store.
        caller_count: Size of the crowd.
    """
    site = stand_in.GatewayEnvironment()
    site.ingress = listening.Address(address.ip, FRONT)
    site.routes = [stand_in.route("svc", "idempotent", timeoutMs=20_000)]
    site.add_worker("i-0", "svc", _answer, slots=2 * caller_count)
    site.publish(limits=limits)
    host = Host(0, address.ip, "z1", site.store.address, [], folder, promises.Record())
    async with site:
        await host.start()
        try:
            async with asyncio.timeout(crowd.HANG_S):
                while not await host.is_ready():
                    await asyncio.sleep(0.05)
            assert host.process is not None
            meter = crowd.ProcessMeter(host.process.pid, caller_count)
            callers = crowd.Crowd((address.ip, address.port), streams, caller_count)
            await callers.send()
            async with asyncio.timeout(crowd.HANG_S):
                data = stand_in.request("/svc/x", "ordinary", Deadline_Remaining="20000")
                answer = await site.send(data)
            meter.check_with_crowd(name)
            assert answer.startswith(b"HTTP/1.1 200"), answer[:200]
            await callers.close()
            await meter.wait_until_crowd_is_forgotten()
            assert host.process.returncode is None
        finally:
            await host.kill()
