"""Tests faults in answers of targets that other systems passed on to callers."""

from __future__ import annotations

import asyncio

import platform_stand_in as stand_in
import pytest

EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 5)]
ERROR_TEXT = b"the engine is out of order\n\n"


def _site(kind: str, script: stand_in.Script, **route: object) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, **route)]
    for index in range(2):
        site.add_worker(f"i-{index}", "svc", script)
    site.publish()
    return site


def _head(exchange: stand_in.Exchange, status: int, *fields: str, own_id: str = "") -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Request-Id: {own_id or exchange.request_id}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


@pytest.mark.parametrize("moment", ["while idle", "before the next answer", "in one write"])
@pytest.mark.parametrize("has_id", [True, False])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_refusal_that_a_target_repeats_is_no_answer_to_the_next_request(
    kind: str, has_id: bool, moment: str
) -> None:
    """Guards against "not run" for a request that runs, and against a second run of it."""

    async def main() -> None:
        seen: list[str] = []
        used_connections: set[asyncio.StreamWriter] = set()

        async def script(exchange: stand_in.Exchange) -> None:
            seen.append(exchange.request_id)
            is_kept = exchange.writer in used_connections
            used_connections.add(exchange.writer)
            fields = ["Not-Run: 1", "Content-Length: 0", "Keep-Alive: timeout=60"]
            refusal = _head(exchange, 503, *fields, own_id="r0")
            if not has_id:
                refusal = refusal.replace(b"Request-Id: r0\r\n", b"")
            if exchange.request_id == "r0":
                exchange.writer.write(refusal)
                if moment == "while idle":
                    await asyncio.sleep(0.02)
                    exchange.writer.write(refusal)
                return
            answer = _head(exchange, 200, "Server-Seal: s", "Content-Length: 6") + b"answer"
            if is_kept and moment == "before the next answer":
                exchange.writer.write(refusal)
                await exchange.writer.drain()
                await asyncio.sleep(0.02)
            elif is_kept and moment == "in one write":
                answer = refusal + answer
            exchange.writer.write(answer)

        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", kind, attempts=2)]
        site.add_worker("i-0", "svc", script)
        site.publish()
        async with site:
            await site.start_gateway()
            await site.send(stand_in.request("/svc/x", "r0"))
            await asyncio.sleep(0.05)
            del seen[:]
            answer = await site.send(stand_in.request("/svc/x", "r1"))
            assert _status(answer) == 200, answer
            assert answer.endswith(b"answer")
            assert kind == "idempotent" or len(seen) == 1

    stand_in.run(main)


SECOND_ANSWERS = [
    pytest.param(500, ("Content-Length: 28",), ERROR_TEXT, id="error"),
    pytest.param(500, (), ERROR_TEXT, id="error-without-length"),
    pytest.param(404, ("Content-Length: 28", "Server-Seal: s"), ERROR_TEXT, id="own-404"),
    pytest.param(503, ("Content-Length: 28", "Not-Run: 1"), ERROR_TEXT, id="refusal"),
    pytest.param(502, ("Content-Length: 999",), ERROR_TEXT, id="short-error"),
    pytest.param(200, ("Content-Length: 28",), ERROR_TEXT, id="unsigned-success"),
    pytest.param(200, ("Server-Seal: s",), b"", id="nothing-without-length"),
    pytest.param(200, ("Server-Seal: s",), b"id: 3\nda", id="part-of-an-event"),
    pytest.param(200, ("Server-Seal: s",), b"".join(EVENTS), id="stream-from-the-start"),
    pytest.param(
        200,
        ("Server-Seal: s", "Content-Type: text/plain", "Content-Length: 28"),
        ERROR_TEXT,
        id="signed-text-that-is-no-event",
    ),
]


@pytest.mark.parametrize(("status", "fields", "body"), SECOND_ANSWERS)
def test_answer_of_the_next_target_does_not_end_up_in_a_stream_that_has_begun(
    status: int, fields: tuple[str, ...], body: bytes
) -> None:
    """Guards against an error inside a stream, and against a part that looks complete."""

    async def main() -> None:
        count = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal count
            count += 1
            if count == 1:
                exchange.writer.write(
                    _head(exchange, 200, "Server-Seal: s", "Transfer-Encoding: chunked")
                )
                for event in EVENTS[:2]:
                    exchange.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await exchange.writer.drain()
                await asyncio.sleep(0.05)
                exchange.reset()
                return
            exchange.writer.write(_head(exchange, status, *fields) + body)
            await exchange.writer.drain()
            exchange.writer.close()

        site = _site("streaming", script, resumable=True, gapAimMs=400, attempts=2)
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x"))
            assert ERROR_TEXT.strip() not in answer
            assert answer.count(b"HTTP/1.1") == 1
            assert answer.count(b"data: e1\n") == answer.count(b"data: e2\n") == 1
            assert b"data: e3" not in answer or answer.count(b"data: e3") == 1
            if b"data: e4" not in answer:
                assert not answer.endswith(b"0\r\n\r\n")

    stand_in.run(main)


_FULL_HEAD = b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nRequest-Id: r1\r\nX-A: b\r\n"


@pytest.mark.parametrize("cut_bytes", [5, 12, 15, 17, 22, 31, 33, 40, 47, 49, 53, len(_FULL_HEAD)])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
def test_head_that_is_cut_off_is_no_answer(kind: str, cut_bytes: int) -> None:
    """Guards against a success with an empty body that is framed as whole."""

    async def main() -> None:
        count = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal count
            count += 1
            if count == 1:
                exchange.writer.write(_FULL_HEAD[:cut_bytes])
                await exchange.writer.drain()
                exchange.writer.close()
            elif kind == "streaming":
                body = b"".join(EVENTS)
                fields = ["Server-Seal: s", f"Content-Length: {len(body)}"]
                exchange.writer.write(_head(exchange, 200, *fields) + body)
            else:
                exchange.send(200, b"answer")

        site = _site(kind, script, attempts=2)
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1"))
            if kind == "idempotent":
                assert _status(answer) == 200
                assert answer.endswith(b"answer")
            else:
                assert _status(answer) == 502, answer
                assert count == 1

    stand_in.run(main)
