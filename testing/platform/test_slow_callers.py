"""Tests what a caller gets that stops to read its answer for a while."""

from __future__ import annotations

import asyncio
import socket

import platform_stand_in as stand_in
from platform_stand_in import Exchange
import pytest

from sesamehold.connection.gateway import target_pool

# Fits into the answers that the gateway buffers, but not into the buffers of the sockets below.
BODY = b"a" * 250_000
SEND_BUFFER_BYTES = 4_096
RECEIVE_BUFFER_BYTES = 2_048
STREAM_END = b"\r\n0\r\n\r\n"


async def _answer(exchange: Exchange) -> None:
    exchange.send(200, BODY)


async def _stream(exchange: Exchange) -> None:
    fields = {"Request-Id": exchange.request_id, "Server-Seal": "seal"}
    exchange.write_head(200, fields | {"Transfer-Encoding": "chunked"})
    event = b"id: 1\ndata: " + BODY + b"\n\n"
    exchange.writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))


@pytest.fixture
def small_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes answers wait in the gateway until their caller reads them."""
    enable = target_pool.enable_dead_peer_detection

    def enable_with_small_buffer(sock: socket.socket | None, **options: int) -> None:
        enable(sock, **options)
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

    monkeypatch.setattr(target_pool, "enable_dead_peer_detection", enable_with_small_buffer)


async def _read_after(address: stand_in.listening.Address, request: bytes, pause_s: float) -> bytes:
    """Sends a request and reads nothing for a time; returns what comes until the connection ends.

    The connection also counts as ended after half a second without a byte.
    """
    loop = asyncio.get_running_loop()
    received = b""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.ip, address.port))
        await loop.sock_sendall(sock, request)
        await asyncio.sleep(pause_s)
        try:
            while True:
                async with asyncio.timeout(0.5):
                    data = await loop.sock_recv(sock, 65_536)
                if not data:
                    return received
                received += data
        except (TimeoutError, ConnectionError):
            return received


@pytest.mark.usefixtures("small_send_buffers")
@pytest.mark.parametrize(
    ("kind", "script", "end", "deadline_s", "pause_s"),
    [
        pytest.param("idempotent", _answer, BODY, 1.0, 0.0, id="reads-at-once"),
        pytest.param("streaming", _stream, STREAM_END, 1.0, 0.0, id="reads-a-stream-at-once"),
        pytest.param("idempotent", _answer, BODY, 1.0, 1.2, id="pauses-beyond-the-deadline"),
        pytest.param("idempotent", _answer, BODY, 9.0, 2.5, id="pauses-within-the-deadline"),
        pytest.param("streaming", _stream, STREAM_END, 9.0, 2.5, id="pauses-in-a-stream"),
    ],
)
def test_caller_that_pauses_gets_one_answer(
    kind: str, script: stand_in.Script, end: bytes, deadline_s: float, pause_s: float
) -> None:
    """Guards against a second answer behind a complete one, and against cutting a slow reader."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", kind, timeoutMs=10_000)]
        site.add_worker("i-0", "svc", script)
        site.publish()
        async with site:
            await site.start_gateway()
            deadline_ms = str(int(deadline_s * 1_000))
            data = stand_in.request("/svc/x", Deadline_Remaining=deadline_ms)
            data = data.replace(b"Connection: close\r\n", b"")
            answer = await _read_after(site.ingress, data, pause_s)
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.count(b"HTTP/1.1") == 1
            assert answer.count(b"a" * len(BODY)) == 1
            assert answer.endswith(end)

    stand_in.run(main)
