"""Tests that a change of the caller limits loses no request that is within any of them."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import Any

import platform_stand_in as stand_in
from platform_stand_in import Exchange
import pytest

from sesamehold.process.gateway import daemon

LARGE = b"x" * 4_000
SHORT_IDLE, LONG_IDLE = {"idleMs": 400}, {"idleMs": 3_000}
SMALL_BODY, LARGE_BODY = {"bodyBytes": 1_000}, {"bodyBytes": 8_000}
SMALL_HEADER, LARGE_HEADER = {"headerBytes": 1_000}, {"headerBytes": 8_000}


@pytest.fixture(autouse=True)
def no_idle_margin(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(daemon, "IDLE_MARGIN_MS", 0)


def _request(body: bytes = b"body", **extra: str) -> bytes:
    data = stand_in.request("/svc/x", body=body, **extra)
    return data.replace(b"Connection: close\r\n", b"")


async def _answer(reader: asyncio.StreamReader) -> bytes:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        return repr(error).encode()
    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
    return head + await reader.readexactly(length)


async def _publish(site: stand_in.GatewayEnvironment, limits: dict[str, Any]) -> None:
    site.publish(limits=limits)
    async with asyncio.timeout(5):
        while (table := site.gateway.state.table) is None or table.version < site.version:  # type: ignore[union-attr]
            await asyncio.sleep(0.005)


async def _ok(exchange: Exchange) -> None:
    exchange.send(200, b"answer")


@pytest.mark.parametrize(
    ("before", "after", "pause_s"),
    [
        pytest.param(SHORT_IDLE, LONG_IDLE, 0.7, id="longer-idle-time"),
        pytest.param(LONG_IDLE, SHORT_IDLE, 0.7, id="shorter-idle-time"),
        pytest.param(SMALL_BODY, LARGE_BODY, 0.0, id="larger-body"),
        pytest.param(LARGE_BODY, SMALL_BODY, 0.0, id="smaller-body"),
        pytest.param(SMALL_HEADER, LARGE_HEADER, 0.0, id="larger-header"),
        pytest.param(LARGE_HEADER, SMALL_HEADER, 0.0, id="smaller-header"),
    ],
)
@pytest.mark.parametrize("kept", [True, False], ids=["kept-connection", "new-connection"])
def test_request_within_one_of_two_limits_is_served_beside_their_change(
    before: dict[str, int], after: dict[str, int], pause_s: float, *, kept: bool
) -> None:
    """Guards against limits of a connection that stay as they were at its start."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish(limits=before)
        async with site:
            await site.start_gateway()
            connect = asyncio.open_connection
            address = (site.ingress.ip, site.ingress.port)
            if kept:
                reader, writer = await connect(*address)
                writer.write(_request())
                assert (await _answer(reader)).endswith(b"answer")
            await _publish(site, after)
            if not kept:
                reader, writer = await connect(*address)
            await asyncio.sleep(pause_s)
            large_body = LARGE if "bodyBytes" in before else b"body"
            extra = {"X_Large": LARGE.decode()} if "headerBytes" in before else {}
            writer.write(_request(large_body, **extra))
            answer = await _answer(reader)
            assert answer.endswith(b"answer"), answer[:200]
            writer.close()

    stand_in.run(main)


@pytest.mark.parametrize(
    "sent_bytes",
    [
        pytest.param(20, id="in-its-head"),
        pytest.param(len(_request()) - 2, id="in-its-body"),
    ],
)
@pytest.mark.parametrize("kept", [True, False], ids=["kept-connection", "new-connection"])
def test_idle_time_does_not_cut_a_request_that_is_being_received(
    sent_bytes: int, *, kept: bool
) -> None:
    """Guards against taking a connection for idle on which a part of a request has arrived."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish(limits={"idleMs": 500, "headerMs": 3_000})
        async with site:
            await site.start_gateway()
            reader, writer = await asyncio.open_connection(site.ingress.ip, site.ingress.port)
            if kept:
                writer.write(_request())
                assert (await _answer(reader)).endswith(b"answer")
            await asyncio.sleep(0.3)
            data = _request()
            writer.write(data[:sent_bytes])
            await asyncio.sleep(0.8)
            writer.write(data[sent_bytes:])
            answer = await _answer(reader)
            assert answer.endswith(b"answer"), answer[:200]
            writer.close()

    stand_in.run(main)


@pytest.mark.parametrize(
    ("limits", "sent", "status"),
    [
        pytest.param(SMALL_BODY, _request(LARGE), b"413", id="large-body"),
        pytest.param(SMALL_HEADER, _request(X_Large=LARGE.decode()), b"431", id="large-header"),
    ],
)
def test_request_beyond_all_limits_is_refused(
    limits: dict[str, int], sent: bytes, status: bytes
) -> None:
    """Guards against limits that are no longer enforced."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish(limits=limits)
        async with site:
            await site.start_gateway()
            reader, writer = await asyncio.open_connection(site.ingress.ip, site.ingress.port)
            writer.write(sent)
            async with asyncio.timeout(5):
                answer = await _answer(reader)
            assert answer.split()[1:2] == [status], answer[:200]
            assert not site.workers["i-0"].exchanges
            writer.close()

    stand_in.run(main)


def test_head_that_stays_incomplete_is_cut_after_its_time() -> None:
    """Guards against connections that a part of a head keeps open for ever."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish(limits={"headerMs": 300})
        async with site:
            await site.start_gateway()
            reader, writer = await asyncio.open_connection(site.ingress.ip, site.ingress.port)
            writer.write(_request()[:20])
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            writer.close()

    stand_in.run(main)


def test_request_that_arrived_while_the_process_stood_still_is_served() -> None:
    """Guards against an idle time that passes unseen before the received bytes are read."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _ok)
        site.publish(limits={"idleMs": 400})
        async with site:
            await site.start_gateway()
            sock = socket.create_connection((site.ingress.ip, site.ingress.port))
            sock.sendall(_request())
            assert (await asyncio.to_thread(sock.recv, 4_096)).endswith(b"answer")
            # The bytes are in the kernel when the process stands still, not in a buffer of its own.
            sock.sendall(_request())
            time.sleep(0.8)  # noqa: ASYNC251
            assert (await asyncio.to_thread(sock.recv, 4_096)).endswith(b"answer")
            sock.close()

    stand_in.run(main)
