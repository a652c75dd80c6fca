"""Tests that callers outside the limits cost a gateway process neither its life nor its memory."""

from __future__ import annotations

import asyncio
import pathlib

import crowd
from fault_soak.process import host as soak_host
from fault_soak.request import promises
import platform_stand_in as stand_in
from platform_stand_in import Exchange
import pytest

from sesamehold.platform import boot
from sesamehold.process import listening

LARGE_ANSWER = b"a" * 200_000
HEAD = stand_in.request("/svc/x", body=b"").removesuffix(b"\r\n\r\n") + b"\r\n"
KEPT_HEAD = HEAD.replace(b"Connection: close\r\n", b"")
FRONT, READINESS, METRICS = soak_host.FRONT_PORT, soak_host.READINESS_PORT, boot.METRICS_PORT

STREAMS = crowd.streams(KEPT_HEAD)
SOUND = KEPT_HEAD + b"\r\n"
LARGE = SOUND.replace(b"/svc/x", b"/svc/large")
STREAMS["pipelined-sound-requests"] = crowd.Stream(b"", SOUND * 8, size_bytes=16_000)
STREAMS["large-answer-that-is-not-read"] = crowd.Stream(b"", LARGE, len(LARGE), reads=False)
STREAMS["many-answers-that-are-not-read"] = crowd.Stream(b"", LARGE * 4, 8_000, reads=False)
# The other listeners have the same server, with other limits.
LISTENERS = {READINESS: "readiness", METRICS: "metrics"}
OTHERS = ("request-line", "one-field", "small-trailers", "chunks-of-64-kB", "bytes-behind-a-body")


class Host(soak_host.SoakHost):
    """A gateway process with little memory."""

    def _settings(self) -> str:
        limits = f"[limits]\nmemoryMb = {crowd.MEMORY_MB}"
        return super()._settings().replace("[limits]", limits)


async def _answer(exchange: Exchange) -> None:
    exchange.body = b""
    exchange.send(200, LARGE_ANSWER if exchange.target == "/svc/large" else b"answer")


@pytest.mark.parametrize(
    ("port", "name"),
    [pytest.param(FRONT, name, id=name) for name in STREAMS]
    + [
        pytest.param(port, name, id=f"{listener}-{name}")
        for port, listener in LISTENERS.items()
        for name in OTHERS
    ],
)
def test_process_serves_within_its_memory_beside_crowd(
    tmp_path: pathlib.Path, port: int, name: str
) -> None:
    """Guards against bytes that a process holds for callers without a limit."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        ip = f"127.0.72.{1 + [*STREAMS].index(name)}"
        site.ingress = listening.Address(ip, FRONT)
        site.routes = [stand_in.route("svc", "idempotent", timeoutMs=20_000)]
        site.add_worker("i-0", "svc", _answer, slots=2 * crowd.CALLER_COUNT)
        site.publish(
            limits={
                "headerBytes": crowd.HEADER_BYTES,
                "bodyBytes": crowd.BODY_BYTES,
                "headerMs": 20_000,
                "idleMs": 20_000,
            }
        )
        host = Host(0, ip, "z1", site.store.address, [], tmp_path, promises.Record())
        async with site:
            await host.start()
            try:
                async with asyncio.timeout(crowd.HANG_S):
                    while not await host.is_ready():
                        await asyncio.sleep(0.05)
                assert host.process is not None
                meter = crowd.ProcessMeter(host.process.pid)
                callers = crowd.Crowd((ip, port), STREAMS[name])
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

    stand_in.run(main)
