"""Tests that callers outside the limits cost `sesameholdd` neither its life nor its memory."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import attrs
import crowd
import fleet_session
import pytest
from sesamehold_bench.version import fleet

from sesamehold.process import listening

PIPELINE = "summary"
LIMITS = {
    "header_size_bytes": crowd.HEADER_BYTES,
    "body_size_bytes": crowd.BODY_BYTES,
    "idle_ms": 20_000,
}
DEPLOYMENT = attrs.evolve(fleet.SMALL, host_count=1)
SOUND = b"POST /v1/pipelines/%s/requests HTTP/1.1\r\nHost: h\r\n" % PIPELINE.encode()
STREAMS = crowd.streams(SOUND)
ASK = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
STREAMS["pipelined-sound-requests"] = crowd.Stream(b"", ASK * 8, size_bytes=16_000)
STREAMS["many-answers-that-are-not-read"] = crowd.Stream(b"", ASK * 8, 16_000, reads=False)
# The operators' listener has the same server.
OTHERS = ("request-line", "one-field", "small-trailers", "chunks-of-64-kB", "bytes-behind-a-body")


@pytest.fixture(scope="module")
def session() -> Iterator[fleet_session.FleetSession]:
    with fleet_session.small_fleet(
        deployment=DEPLOYMENT, limits=LIMITS, memory_bytes=crowd.MEMORY_MB * 1_000_000
    ) as running:
        yield running


@pytest.mark.parametrize(
    ("listener", "name"),
    [pytest.param(0, name, id=name) for name in STREAMS]
    + [pytest.param(1, name, id=f"operators-{name}") for name in OTHERS],
)
def test_daemon_serves_within_its_memory_beside_crowd(
    session: fleet_session.FleetSession, listener: int, name: str
) -> None:
    """Guards against bytes that a daemon holds for callers without a limit."""

    async def main() -> None:
        host = session.fleet.children["host-0"]
        await host.kill()
        await session.fleet.start_host(0)
        await session.fleet.wait_until_ready(0)
        host = session.fleet.children["host-0"]
        await session.send(session.plan(PIPELINE))
        meter = crowd.ProcessMeter(host.process.pid)
        address = listening.Address.parse(session.fleet.addresses.hosts[0][listener])
        callers = crowd.Crowd((address.ip, address.port), STREAMS[name])
        await callers.send()
        async with asyncio.timeout(crowd.HANG_S):
            (outcome,) = await session.send(session.plan(PIPELINE))
        meter.check_with_crowd(name)
        assert outcome.kind == "answered", outcome
        await callers.close()
        await meter.wait_until_crowd_is_forgotten()
        assert not host.ended

    session.run(main())
