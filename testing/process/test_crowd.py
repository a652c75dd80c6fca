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
# The default limits.
AT_LIMITS = {"header_size_bytes": 8_190, "body_size_bytes": 1_048_576, "idle_ms": 20_000}
AT_LIMITS_COUNT = 200
STREAMS_AT_LIMITS = crowd.streams_at_limits(SOUND, SOUND, 8_190, 1_048_576)
_OBJECTS = b'{"prompt": "p", "list": [%s{}]}' % (b"{}," * 349_000)
STREAMS_AT_LIMITS["body-of-many-objects"] = crowd.Stream(
    SOUND + b"Content-Length: %d\r\n\r\n" % len(_OBJECTS), _OBJECTS, 1
)
# The operators' listener has the same server.
OTHERS_AT_LIMITS = ("chunks-that-stop-short", "largest-wide-head-without-its-body")
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

    session.run(_check_beside_crowd(session, listener, STREAMS[name], name, crowd.CALLER_COUNT))


@pytest.fixture(scope="module")
def session_at_limits() -> Iterator[fleet_session.FleetSession]:
    with fleet_session.small_fleet(
        deployment=DEPLOYMENT, limits=AT_LIMITS, memory_bytes=crowd.MEMORY_MB * 1_000_000
    ) as running:
        yield running


@pytest.mark.parametrize(
    ("listener", "name"),
    [pytest.param(0, name, id=name) for name in STREAMS_AT_LIMITS]
    + [pytest.param(1, name, id=f"operators-{name}") for name in OTHERS_AT_LIMITS],
)
def test_daemon_stays_within_its_memory_beside_callers_at_the_limits(
    session_at_limits: fleet_session.FleetSession, listener: int, name: str
) -> None:
    """Guards against memory that a daemon uses for callers and does not count."""
    stream = STREAMS_AT_LIMITS[name]
    session_at_limits.run(
        _check_beside_crowd(session_at_limits, listener, stream, name, AT_LIMITS_COUNT)
    )


async def _check_beside_crowd(
    session: fleet_session.FleetSession,
    listener: int,
    stream: crowd.Stream,
    name: str,
    caller_count: int,
) -> None:
    host = session.fleet.children["host-0"]
    await host.kill()
    await session.fleet.start_host(0)
    await session.fleet.wait_until_ready(0)
    host = session.fleet.children["host-0"]
    await session.send(session.plan(PIPELINE))
    meter = crowd.ProcessMeter(host.process.pid, caller_count)
    address = listening.Address.parse(session.fleet.addresses.hosts[0][listener])
    callers = crowd.Crowd((address.ip, address.port), [stream], caller_count)
    await callers.send()
    async with asyncio.timeout(crowd.HANG_S):
        (outcome,) = await session.send(session.plan(PIPELINE))
    meter.check_with_crowd(name)
    assert outcome.kind == "answered", outcome
    await callers.close()
    await meter.wait_until_crowd_is_forgotten()
    assert not host.ended
