"""Tests targets that answer a request twice, or begin an answer that another one follows."""

from __future__ import annotations

import asyncio
import gzip

import attrs
import platform_stand_in as stand_in
import pytest

BODY = b"ticket 4711 is open\n" * 20
EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 5)]

# More than the relay buffers before the caller receives the first byte.
LARGE_BODY = bytes(range(256)) * 2_344


def _head(exchange: stand_in.Exchange, status: int, *fields: str, own_id: str = "") -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Request-Id: {own_id or exchange.request_id}", *fields]
    return ("\r\n".join([*lines, "Server-Seal: s"]) + "\r\n\r\n").encode()


def _framed(exchange: stand_in.Exchange, framing: str, body: bytes, own_id: str = "") -> bytes:
    """Encodes an answer with a length, in two chunks, or without a length."""
    fields = {"length": [f"Content-Length: {len(body)}"], "chunks": ["Transfer-Encoding: chunked"]}
    head = _head(exchange, 200, *fields.get(framing, []), own_id=own_id)
    if framing != "chunks":
        return head + body
    halves = [body[: len(body) // 2], body[len(body) // 2 :]]
    return head + b"".join(b"%x\r\n%s\r\n" % (len(half), half) for half in halves) + b"0\r\n\r\n"


async def _write_in_pieces(exchange: stand_in.Exchange, data: bytes, piece_bytes: int) -> None:
    for start in range(0, len(data), piece_bytes):
        exchange.writer.write(data[start : start + piece_bytes])
        await exchange.writer.drain()
        await asyncio.sleep(0.002)


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


def _body(answer: bytes) -> bytes:
    return answer.partition(b"\r\n\r\n")[2]


@attrs.frozen
class Stutter:
    """How a target follows its first answer, which has no length, by another one.

    Attributes:
        first_bytes: Size of the part of the body that the first answer has.
        delay_s: Time between the answers.
        framing: Framing of the second answer.
        second_bytes: Size of the part of the second answer that is sent, None for all of it.
        own_id: Request that the second answer names, empty for the same request.
        piece_bytes: Size of the parts in which both answers are written.
    """

    first_bytes: int = len(BODY)
    delay_s: float = 0.0
    framing: str = "length"
    second_bytes: int | None = None
    own_id: str = ""
    piece_bytes: int = 65_536


STUTTERS = [
    pytest.param(Stutter(), id="at-once"),
    pytest.param(Stutter(delay_s=0.1), id="late"),
    pytest.param(Stutter(framing="chunks"), id="second-in-chunks"),
    pytest.param(Stutter(framing="none", delay_s=0.1), id="second-without-length"),
    pytest.param(Stutter(piece_bytes=7), id="in-pieces"),
    pytest.param(Stutter(own_id="r0"), id="of-an-earlier-request"),
    pytest.param(Stutter(first_bytes=150), id="first-breaks-off"),
    pytest.param(Stutter(first_bytes=0), id="first-has-no-body"),
    pytest.param(Stutter(second_bytes=12), id="second-cut-in-its-status-line"),
    pytest.param(Stutter(second_bytes=40), id="second-cut-in-its-head"),
    pytest.param(Stutter(second_bytes=200, delay_s=0.05), id="second-cut-in-its-body"),
]


@pytest.mark.parametrize("stutter", STUTTERS)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_answer_without_length_does_not_take_in_the_answer_behind_it(
    kind: str, stutter: Stutter
) -> None:
    """Guards against a success whose body is two answers."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            if runs > 1:
                exchange.send(200, BODY)
                return
            first = _framed(exchange, "none", BODY[: stutter.first_bytes])
            second = _framed(exchange, stutter.framing, BODY, stutter.own_id)
            await _write_in_pieces(exchange, first, stutter.piece_bytes)
            await asyncio.sleep(stutter.delay_s)
            await _write_in_pieces(exchange, second[: stutter.second_bytes], stutter.piece_bytes)
            exchange.writer.close()

        answer = await _ask(kind, script)
        if kind == "idempotent":
            assert _status(answer) == 200
            assert _body(answer) == BODY
        else:
            assert _status(answer) == 502, answer
            assert runs == 1

    stand_in.run(main)


@pytest.mark.parametrize("first_bytes", [0, 150, len(BODY) - 20])
@pytest.mark.parametrize("piece_bytes", [7, 65_536])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_answer_that_breaks_off_is_not_filled_up_by_the_answer_behind_it(
    kind: str, piece_bytes: int, first_bytes: int
) -> None:
    """Guards against a success of the right length with the bytes of two answers."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            whole = _framed(exchange, "length", BODY)
            if runs > 1:
                exchange.writer.write(whole)
                return
            await _write_in_pieces(exchange, whole[: len(whole) - len(BODY) + first_bytes], 65_536)
            await _write_in_pieces(exchange, whole, piece_bytes)

        answer = await _ask(kind, script)
        if kind == "idempotent":
            assert _status(answer) == 200
            assert _body(answer) == BODY
        else:
            assert _status(answer) == 502, answer
            assert runs == 1

    stand_in.run(main)


@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
@pytest.mark.parametrize("second_framing", ["length", "chunks"])
def test_answer_that_the_caller_has_begun_to_receive_is_not_joined_with_another(
    framing: str, second_framing: str
) -> None:
    """Guards against a large answer that breaks off and is followed by that of the next target."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            if runs > 1:
                exchange.writer.write(_framed(exchange, second_framing, LARGE_BODY))
                return
            exchange.writer.write(_framed(exchange, framing, LARGE_BODY)[:450_000])
            await exchange.writer.drain()
            await asyncio.sleep(0.05)
            exchange.reset()

        answer = await _ask("idempotent", script)
        assert _status(answer) == 200
        assert len(answer) < 455_000
        assert not answer.endswith(b"0\r\n\r\n")
        assert runs == 1

    stand_in.run(main)


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1])
@pytest.mark.parametrize("first_status", [500, 503])
def test_second_answer_of_an_attempt_is_not_taken_for_that_of_the_next_attempt(
    first_status: int, delay_s: float
) -> None:
    """Guards against a failure for a request whose second run succeeds."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            if runs > 1:
                await asyncio.sleep(0.15)
                exchange.send(200, BODY)
                return
            fields = ["Content-Length: 2", *(["Not-Run: 1"] if first_status == 503 else [])]
            failure = _head(exchange, first_status, *fields) + b"no"
            exchange.writer.write(failure)
            asyncio.get_running_loop().call_later(delay_s, exchange.writer.write, failure)

        answer = await _ask("idempotent", script, worker_count=1)
        assert _status(answer) == 200, answer
        assert _body(answer) == BODY

    stand_in.run(main)


_LATE_HEAD = b"HTTP/1.1 200 X\r\nRequest-Id: r0\r\nServer-Seal: s\r\nX-Note: abc\r\n"


@pytest.mark.parametrize("cut_bytes", range(1, len(_LATE_HEAD) + 1))
def test_head_that_breaks_off_does_not_change_the_answer_behind_it(cut_bytes: int) -> None:
    """Guards against the status or seal of an earlier answer on the answer of a request."""

    async def main() -> None:
        used: set[asyncio.StreamWriter] = set()

        async def script(exchange: stand_in.Exchange) -> None:
            if exchange.request_id == "r0":
                used.add(exchange.writer)
                exchange.send(200, b"earlier", Keep_Alive="timeout=60")
                return
            if exchange.writer in used:
                exchange.writer.write(_LATE_HEAD[:cut_bytes])
            exchange.writer.write(_head(exchange, 404, "Content-Length: 4") + b"none")

        async with _site("idempotent", script, worker_count=1) as site:
            await site.start_gateway()
            await site.send(stand_in.request("/svc/x", "r0"))
            answer = await site.send(stand_in.request("/svc/x", "r1"))
            assert _status(answer) != 200, answer

    stand_in.run(main)


@pytest.mark.parametrize("framing", ["chunks", "none"])
@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("event_count", [2, len(EVENTS)])
def test_stream_does_not_take_in_the_answer_behind_it(
    event_count: int, framing: str, *, resumable: bool
) -> None:
    """Guards against a head inside a stream, and against events of two runs."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            known = int(exchange.headers.get("last-event-id", "0"))
            if runs > 1:
                exchange.writer.write(_framed(exchange, "length", b"".join(EVENTS[known:])))
                return
            begun = b"".join(EVENTS[:event_count])
            exchange.writer.write(_framed(exchange, "none", begun))
            await exchange.writer.drain()
            await asyncio.sleep(0.02)
            exchange.writer.write(_framed(exchange, framing, b"".join(EVENTS)))
            await exchange.writer.drain()
            exchange.writer.close()

        answer = await _ask("streaming", script, resumable=resumable, gapAimMs=400)
        assert answer.count(b"HTTP/1.1") == 1, answer
        assert all(answer.count(event) <= 1 for event in EVENTS)
        if answer.endswith(b"0\r\n\r\n"):
            assert all(event in answer for event in EVENTS)
        assert runs == 1 or resumable

    stand_in.run(main)


@pytest.mark.parametrize("missing_bytes", range(1, 8))
def test_answer_that_lacks_a_few_bytes_is_not_filled_up_by_the_answer_behind_it(
    missing_bytes: int,
) -> None:
    """Guards against a body whose last bytes are the first ones of the next status line."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            whole = _framed(exchange, "length", BODY)
            if runs == 1:
                await _write_in_pieces(exchange, whole[:-missing_bytes], 65_536)
            exchange.writer.write(whole)

        answer = await _ask("idempotent", script)
        assert _status(answer) == 200
        assert _body(answer) == BODY

    stand_in.run(main)


@pytest.mark.parametrize(
    "second",
    [
        pytest.param(b"503 X\r\nNot-Run: 1\r\nContent-Length: 0", id="not-run"),
        pytest.param(b"400 X\r\nNot-Run: 1\r\nContent-Length: 2", id="without-an-id"),
        pytest.param(b"200 X\r\nServer-Load: 1,0,6\r\nContent-Length: 2", id="of-a-stage"),
        pytest.param(b"200 X\r\nServer-Load: 1,0,6,240\r\nContent-Length: 2", id="four-figures"),
        pytest.param(b"200 X\r\nServer-Load: 1,0\r\nContent-Length: 2", id="odd-figures"),
    ],
)
@pytest.mark.parametrize("framing", ["length", "none"])
def test_answer_does_not_take_in_an_answer_that_names_no_request(
    framing: str, second: bytes
) -> None:
    """Guards against an answer in a body whose head has neither an id nor a seal."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            whole = _framed(exchange, framing, BODY)
            if runs > 1:
                exchange.send(200, BODY)
                return
            await _write_in_pieces(exchange, whole[:-100], 65_536)
            exchange.writer.write(b"HTTP/1.1 " + second + b"\r\n\r\n")
            exchange.writer.write(b"no" * 50)
            await exchange.writer.drain()
            exchange.writer.close()

        answer = await _ask("idempotent", script)
        assert _status(answer) == 200
        assert _body(answer) == BODY

    stand_in.run(main)


@pytest.mark.parametrize("coding", ["gzip, chunked", "gzip", "gzip\r\nTransfer-Encoding: chunked"])
def test_transfer_coding_is_not_passed_on_as_the_body(coding: str) -> None:
    """Guards against a body in a transfer coding whose header is not passed on."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            packed = gzip.compress(BODY)
            head = _head(exchange, 200, f"Transfer-Encoding: {coding}")
            chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(packed), packed)
            exchange.writer.write(head + (chunks if "chunked" in coding else packed))
            await exchange.writer.drain()
            exchange.writer.close()

        answer = await _ask("idempotent", script)
        assert _status(answer) == 502, answer

    stand_in.run(main)


@pytest.mark.parametrize("second_framing", ["length", "chunks"])
def test_answer_in_chunks_is_whole_wherever_it_breaks_off(second_framing: str) -> None:
    """Guards against an answer in chunks that is joined with the answer behind it."""

    async def main() -> None:
        seen: set[str] = set()

        async def script(exchange: stand_in.Exchange) -> None:
            whole = _framed(exchange, "chunks", BODY)
            second = _framed(exchange, second_framing, BODY)
            if exchange.request_id not in seen:
                seen.add(exchange.request_id)
                exchange.writer.write(whole[: int(exchange.request_id)])
            exchange.writer.write(second)

        async with _site("idempotent", script) as site:
            await site.start_gateway()
            joined = []
            for cut_bytes in range(100, 520):
                answer = await site.send(stand_in.request("/svc/x", str(cut_bytes)))
                if _status(answer) == 200 and _body(answer) != BODY:
                    joined.append(cut_bytes)
            assert joined == []

    stand_in.run(main)


@pytest.mark.parametrize("framing", ["length", "chunks", "none"])
def test_connection_that_ends_behind_an_answer_is_no_extra_byte(framing: str) -> None:
    """Guards against log lines that blame a target that closes its connections."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.writer.write(_framed(exchange, framing, BODY))
            await exchange.writer.drain()
            exchange.writer.close()

        async with _site("idempotent", script) as site:
            gateway = await site.start_gateway()
            for index in range(30):
                answer = await site.send(stand_in.request("/svc/x", f"r{index}"))
                assert _body(answer) == BODY
            extra_bytes = gateway.state.metrics.extra_bytes.collect()
            assert [sample for metric in extra_bytes for sample in metric.samples] == []

    stand_in.run(main)


@pytest.mark.parametrize(
    ("first", "status"),
    [
        pytest.param(["HTTP/1.1 204 X", "Content-Length: 400"], 204, id="204-with-length"),
        pytest.param(["HTTP/1.1 204 X", "Transfer-Encoding: chunked"], 204, id="204-in-chunks"),
        pytest.param(["HTTP/1.1 204 X"], 204, id="204"),
        pytest.param(["HTTP/1.1 304 X", "Content-Length: 400"], 304, id="304-with-length"),
        pytest.param(["HTTP/1.1 304 X"], 304, id="304"),
    ],
)
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_answer_without_a_body_takes_in_no_other_answer(
    first: list[str], status: int, delay_s: float
) -> None:
    """Guards against an answer that has no body by its status and is given one."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            fields = [f"Request-Id: {exchange.request_id}", "Server-Seal: s"]
            exchange.writer.write(("\r\n".join([*first, *fields]) + "\r\n\r\n").encode())
            await asyncio.sleep(delay_s)
            exchange.writer.write(_framed(exchange, "length", BODY))

        async with _site("idempotent", script) as site:
            await site.start_gateway()
            for index in range(3):
                answer = await site.send(stand_in.request("/svc/x", f"r{index}"))
                assert _status(answer) in {status, 502}, answer
                assert _status(answer) == 502 or _body(answer) == b"", answer

    stand_in.run(main)


@pytest.mark.parametrize("count", [1, 3, 4, 6])
@pytest.mark.parametrize("status", [100, 102, 103])
def test_interim_answers_are_skipped(status: int, count: int) -> None:
    """Guards against a sound answer that is dropped for the interim ones before it."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.writer.write(b"HTTP/1.1 %d X\r\n\r\n" % status * count)
            exchange.send(200, BODY)

        answer = await _ask("non_idempotent", script)
        assert _status(answer) == 200, answer
        assert _body(answer) == BODY

    stand_in.run(main)


@pytest.mark.parametrize(
    ("framing", "sent_bytes"),
    [("none", None), ("none", 200), ("length", 200), ("length", 100), ("chunks", 200)],
)
def test_late_answer_without_an_end_does_not_hold_up_the_answer_behind_it(
    framing: str, sent_bytes: int | None
) -> None:
    """Guards against a wait until the deadline for the end of a late answer."""

    async def main() -> None:
        used: set[asyncio.StreamWriter] = set()

        async def script(exchange: stand_in.Exchange) -> None:
            if exchange.request_id == "r0":
                used.add(exchange.writer)
                exchange.send(200, b"earlier", Keep_Alive="timeout=60")
                return
            if exchange.writer in used:
                late = _framed(exchange, framing, BODY * 4, own_id="r0")
                await _write_in_pieces(exchange, late[:sent_bytes], 65_536)
            exchange.send(200, BODY)

        async with _site("idempotent", script, worker_count=1) as site:
            await site.start_gateway()
            await site.send(stand_in.request("/svc/x", "r0"))
            answer = await site.send(stand_in.request("/svc/x", "r1"))
            assert _status(answer) == 200, answer
            assert _body(answer) == BODY

    stand_in.run(main)


def _site(
    kind: str, script: stand_in.Script, worker_count: int = 2, **route: object
) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, attempts=2, **route)]
    for index in range(worker_count):
        site.add_worker(f"i-{index}", "svc", script)
    site.publish()
    return site


async def _ask(kind: str, script: stand_in.Script, worker_count: int = 2, **route: object) -> bytes:
    async with _site(kind, script, worker_count, **route) as site:
        await site.start_gateway()
        return await site.send(stand_in.request("/svc/x", "r1"))
