"""Tests what callers get around a limit: truthful refusals, and answers to sound requests."""

from __future__ import annotations

import asyncio
import re
import socket

import platform_stand_in as stand_in
from platform_stand_in import Exchange
import pytest

from sesamehold.connection import caller_connection

BODY_BYTES = 2_000
LIMITS = {"headerBytes": 1_000, "bodyBytes": BODY_BYTES, "headerMs": 2_000, "idleMs": 2_000}
KEPT = stand_in.request("/svc/x", body=b"").replace(b"Connection: close\r\n", b"")
LAST = stand_in.request("/svc/x", body=b"")
GARBAGE = b"\x16\x03\x01garbage\r\n\r\n"


def _post(body: bytes, field: bytes) -> bytes:
    return KEPT.removesuffix(b"\r\n") + field + b"\r\n\r\n" + body


def _chunks(body: bytes) -> bytes:
    return _post(body, b"Transfer-Encoding: chunked")


def _with_length(body: bytes, length: int) -> bytes:
    return _post(body, b"Content-Length: %d" % length)


async def _answer(exchange: Exchange) -> None:
    exchange.send(200, b"answer")


@pytest.mark.parametrize(
    ("data", "statuses"),
    [
        pytest.param(LAST, [200], id="sound"),
        pytest.param(b"\r\n" + LAST, [200], id="empty-line-before"),
        pytest.param(KEPT * 40 + LAST, [200] * 41, id="many-in-a-row"),
        pytest.param(_with_length(b"x" * BODY_BYTES, BODY_BYTES) + LAST, [200, 200], id="limit"),
        pytest.param(
            _chunks(b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n") + LAST, [200, 200], id="tiny-chunks"
        ),
        pytest.param(_chunks(b"1;a=b\r\nx\r\n0\r\nX: 1\r\n\r\n") + LAST, [200, 200], id="trailer"),
        pytest.param(KEPT + GARBAGE, [200, 400], id="malformed-behind-a-sound-one"),
        pytest.param(_with_length(b"x", 1) + GARBAGE, [200, 400], id="malformed-behind-a-body"),
        pytest.param(
            _chunks(b"1\r\nx\r\n0\r\n\r\n") + KEPT + GARBAGE,
            [200, 200, 400],
            id="malformed-behind-chunks",
        ),
        pytest.param(KEPT + b"\r\n" * 1_000 + LAST, [200, 400], id="empty-lines"),
        pytest.param(KEPT + b"GET /" + b"a" * 100_000, [200, 431], id="request-line"),
        pytest.param(KEPT[:-2] + b"X: " + b"a" * 100_000, [431], id="field"),
        pytest.param(KEPT[:-2] + b"X: 1\r\n" * 1_000, [431], id="fields"),
        pytest.param(_chunks(b"1\r\nx\r\n0\r\n" + b"X: 1\r\n" * 1_000), [431], id="trailers"),
        pytest.param(_chunks(b"1;" + b"e" * 100_000), [413], id="chunk-extension"),
        pytest.param(_chunks(b"zz\r\n"), [400], id="malformed-chunk"),
        pytest.param(_chunks(b"8000\r\n" + b"x" * 0x8000), [413], id="chunk-over"),
        pytest.param(_with_length(b"x" * 400_000, 400_000), [413], id="body-over"),
        pytest.param(_with_length(b"", 10**12), [413], id="body-announced-over"),
    ],
)
def test_each_request_gets_its_own_answer_until_the_refusal(
    data: bytes, statuses: list[int]
) -> None:
    """Guards against refusals that take the answer of a sound request, or that leave none.

    The last answer ends the connection.
    """

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        worker = site.add_worker("i-0", "svc", _answer)
        site.publish(limits=LIMITS)
        async with site:
            await site.start_gateway()
            async with asyncio.timeout(20):
                answers = await site.send(data)
            assert [
                int(status) for status in re.findall(rb"HTTP/1.[01] (\d+)", answers)
            ] == statuses
            assert len(worker.exchanges) == statuses.count(200)

    stand_in.run(main)


@pytest.mark.parametrize(
    ("rest", "status"),
    [
        pytest.param(b"zz\r\n", 400, id="malformed-chunk"),
        pytest.param(b"1;" + b"e" * 100_000, 413, id="chunk-extension"),
        pytest.param(b"0\r\n" + b"X: 1\r\n" * 1_000, 431, id="trailers"),
    ],
)
def test_refusal_inside_a_body_does_not_wait_for_its_idle_limit(rest: bytes, status: int) -> None:
    """Guards against a handler that waits for more of a body of which nothing more is parsed.

    Content and the fault come in one part, so the handler is woken before the refusal. It then
    waited until the limit and answered 408.
    """

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", _answer)
        site.publish(limits=LIMITS)
        async with site:
            await site.start_gateway()
            reader, writer = await asyncio.open_connection(*_address(site))
            writer.write(_chunks(b"5\r\nhello\r\n"))
            await asyncio.sleep(0.2)
            writer.write(b"5\r\nhello\r\n" + rest)
            assert (await reader.read()).split()[1] == b"%d" % status
            writer.close()

    stand_in.run(main)


def test_connections_that_hold_most_are_refused_when_memory_is_short() -> None:
    """Guards against small requests that are refused for others that hold much more."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        worker = site.add_worker("i-0", "svc", _answer)
        site.publish(limits={**LIMITS, "headerBytes": 8_000})
        async with site:
            gateway = await site.start_gateway()
            budget = gateway.state.receive_budget
            budget.capacity_bytes = 1_000_000
            begun, rest = LAST[:-2], b"\r\n"
            small = [await asyncio.open_connection(*_address(site)) for _ in range(5)]
            for _, writer in small:
                writer.write(begun)
            large = [await asyncio.open_connection(*_address(site)) for _ in range(20)]
            for _, writer in large:
                writer.write(begun + b"".join(b"X-%d: %s\r\n" % (n, b"a" * 500) for n in range(40)))
            reads = [asyncio.create_task(reader.read()) for reader, _ in large]
            while sum(read.done() for read in reads) < len(large) // 2:
                await asyncio.sleep(0.01)
            refused = [read.result() for read in reads if read.done()]
            # The version of the request is not known yet, so the answer has the oldest one.
            assert all(answer.startswith(b"HTTP/1.0 503") for answer in refused), refused
            assert all(b"Retry-After" in answer for answer in refused)
            for _, writer in small:
                writer.write(rest)
            assert all([(await reader.read()).startswith(b"HTTP/1.1 200") for reader, _ in small])
            assert len(worker.exchanges) == len(small)
            assert budget.used_bytes <= budget.capacity_bytes
            for _, writer in [*small, *large]:
                writer.close()
            await asyncio.gather(*reads, return_exceptions=True)
            while budget.used_bytes:
                await asyncio.sleep(0.01)

    stand_in.run(main)


def _address(site: stand_in.GatewayEnvironment) -> tuple[str, int]:
    return site.ingress.ip, site.ingress.port


@pytest.mark.parametrize(
    "stalled_s", [pytest.param(0.2, id="stalled"), pytest.param(60.0, id="at-once")]
)
def test_unread_answers_are_cut_when_memory_is_short(
    monkeypatch: pytest.MonkeyPatch, stalled_s: float
) -> None:
    """Guards against callers that fill the memory with answers that they do not read."""
    monkeypatch.setattr(caller_connection, "STALLED_S", stalled_s)
    large = b"a" * 250_000

    async def answer(exchange: Exchange) -> None:
        exchange.send(200, b"answer" if exchange.target == "/svc/small" else large)

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "idempotent", timeoutMs=20_000)]
        site.add_worker("i-0", "svc", answer, slots=64)
        site.publish(limits=LIMITS)
        async with site:
            gateway = await site.start_gateway()
            budget = gateway.state.receive_budget
            budget.capacity_bytes = 1_000_000
            callers = [await _open_without_reading(site) for _ in range(16)]
            for sock in callers:
                sock.send(KEPT * 30)
            refused = gateway.state.metrics.refused_connections.labels("answer-not-read")
            async with asyncio.timeout(20):
                while not refused._value.get():
                    await asyncio.sleep(0.05)
            answers = await site.send(stand_in.request("/svc/small"))
            assert answers.startswith(b"HTTP/1.1 200")
            for sock in callers:
                sock.close()

    stand_in.run(main)


async def _open_without_reading(site: stand_in.GatewayEnvironment) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, _address(site))
    return sock
