"""Tests the gateway against workers that send bytes without end, or a second copy of an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import itertools

import platform_stand_in as stand_in
from platform_stand_in import Exchange
from platform_stand_in import Script
import pytest

# A worker that is cut off may have written this much: the largest event or answer that the gateway
# buffers, and the buffers of both sockets.
MAX_ACCEPTED_BYTES = 16_000_000
ROUTE_TIMEOUT_MS = 1_500

_HEAD = {"Server-Seal": "s"}
_STREAM = {**_HEAD, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}


class EndlessWorker:
    """Writes bytes until its connection is closed, and counts those that were accepted."""

    def __init__(self, start: Callable[[Exchange], bytes], pattern: Iterator[bytes]) -> None:
        self.start = start
        self.pattern = pattern
        self.accepted_bytes = 0
        self.was_cut_off = False

    async def __call__(self, exchange: Exchange) -> None:
        data = self.start(exchange)
        try:
            for block in itertools.chain((data,), self.pattern):
                exchange.writer.write(block)
                await exchange.writer.drain()
                self.accepted_bytes += len(block)
                await asyncio.sleep(0)
        except ConnectionError:
            pass
        finally:
            self.was_cut_off = True


def _head(
    status: int, fields: dict[str, str], request_id: str | None = None
) -> Callable[..., bytes]:
    def write(exchange: Exchange) -> bytes:
        known = request_id if request_id is not None else exchange.request_id
        lines = [f"HTTP/1.1 {status} X", f"Request-Id: {known}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    return write


def _repeat(block: bytes) -> Iterator[bytes]:
    return itertools.repeat(block)


ENDLESS = [
    pytest.param(lambda _: b"", b"\x00\xff" * 4_096, id="no-head"),
    pytest.param(lambda _: b"HTTP/1.1 200 ", b"x" * 8_192, id="status-line"),
    pytest.param(lambda _: b"HTTP/1.1 200 OK\r\nA: ", b"x" * 8_192, id="header-line"),
    pytest.param(lambda _: b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 1_000, id="header-lines"),
    pytest.param(lambda _: b"", b"HTTP/1.1 102 X\r\n\r\n" * 100, id="interim-answers"),
    pytest.param(lambda _: b"", b"\r\n" * 4_096, id="empty-lines"),
    pytest.param(
        _head(200, {"Transfer-Encoding": "chunked"}, "other"),
        b"1000\r\n" + b"x" * 4_096 + b"\r\n",
        id="late-answer-of-another-request",
    ),
    pytest.param(_head(500, _HEAD), b"x" * 65_536, id="failure-without-length"),
    pytest.param(
        _head(500, {**_HEAD, "Transfer-Encoding": "chunked"}),
        b"1000\r\n" + b"x" * 4_096 + b"\r\n",
        id="failure-in-chunks",
    ),
    pytest.param(
        _head(500, {**_HEAD, "Transfer-Encoding": "chunked"}),
        b"1;" + b"x" * 8_192,
        id="chunk-extension",
    ),
    pytest.param(
        _head(500, {**_HEAD, "Transfer-Encoding": "chunked"}), b"1" * 8_192, id="chunk-size"
    ),
]


@pytest.mark.parametrize(("start", "block"), ENDLESS)
@pytest.mark.parametrize(
    ("kind", "statuses"),
    [
        pytest.param("idempotent", {200}, id="safe"),
        pytest.param("non_idempotent", {500, 502, 504}, id="unsafe"),
    ],
)
def test_caller_is_answered_although_a_target_never_stops(
    kind: str, statuses: set[int], start: Callable[[Exchange], bytes], block: bytes
) -> None:
    """Guards against memory that fills up, and callers that wait for a target without an answer.

    Work that may not be repeated is not sent again, and no answer says that it has not run.
    """

    async def main() -> None:
        worker = EndlessWorker(start, _repeat(block))
        runs = 0

        async def script(exchange: Exchange) -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                await worker(exchange)
            else:
                exchange.send(200, b"answer")

        answer = await _ask(kind, script, [script, script])
        assert _status(answer) in statuses, answer[:200]
        assert runs == (2 if kind == "idempotent" else 1)
        assert worker.accepted_bytes <= MAX_ACCEPTED_BYTES
        await _wait_until(lambda: worker.was_cut_off)

    stand_in.run(main)


@pytest.mark.parametrize(
    ("start", "block"),
    [
        pytest.param(_head(200, _HEAD), b"x" * 65_536, id="body-without-length"),
        pytest.param(
            _head(200, {**_HEAD, "Transfer-Encoding": "chunked"}),
            b"1000\r\n" + b"x" * 4_096 + b"\r\n",
            id="body-in-chunks",
        ),
    ],
)
def test_answer_that_never_ends_does_not_look_complete(
    start: Callable[[Exchange], bytes], block: bytes
) -> None:
    """Guards against a success that is ended for the caller when the route's timeout is reached."""

    async def main() -> None:
        worker = EndlessWorker(start, _repeat(block))
        answer = await _ask("non_idempotent", worker, [worker])
        assert _status(answer) in {0, 200, 504}
        assert not answer.endswith(b"0\r\n\r\n")
        await _wait_until(lambda: worker.was_cut_off)

    stand_in.run(main)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("resumable", [True, False])
def test_event_that_never_ends_is_a_broken_stream(*, resumable: bool) -> None:
    """Guards against an event that fills the memory, and against an internal error of the relay."""

    async def main() -> None:
        worker = EndlessWorker(_head(200, _STREAM), _repeat(_chunk(b"data: " + b"x" * 65_536)))
        runs = 0

        async def script(exchange: Exchange) -> None:
            nonlocal runs
            runs += 1
            if runs == 1:
                await worker(exchange)
                return
            exchange.writer.write(_head(200, _STREAM)(exchange))
            exchange.writer.write(_chunk(b"id: 1\ndata: a\n\n") + b"0\r\n\r\n")

        answer = await _ask("streaming", script, [script, script], resumable=resumable)
        assert _status(answer) == (200 if resumable else 502), answer[:200]
        assert (b"data: a" in answer) is resumable
        assert runs == (2 if resumable else 1)
        assert worker.accepted_bytes <= MAX_ACCEPTED_BYTES

    stand_in.run(main)


EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 4)]


def _events_then(pause_s: float, filler: bytes) -> Script:
    """Returns a script that sends one event and then only filler, a piece at a time."""

    async def script(exchange: Exchange) -> None:
        exchange.writer.write(_head(200, _STREAM)(exchange) + _chunk(EVENTS[0]))
        for index in itertools.count():
            await exchange.writer.drain()
            await asyncio.sleep(pause_s)
            exchange.writer.write(_chunk(filler[index % len(filler) :][:1]))

    return script


async def _rest(exchange: Exchange) -> None:
    last = int(exchange.headers.get("last-event-id", "0"))
    chunks = [_chunk(event) for event in EVENTS[last:]]
    exchange.writer.write(_head(200, _STREAM)(exchange) + b"".join(chunks) + b"0\r\n\r\n")


async def _slow_but_sound(exchange: Exchange) -> None:
    exchange.writer.write(_head(200, _STREAM)(exchange))
    for event in EVENTS[int(exchange.headers.get("last-event-id", "0")) :]:
        exchange.writer.write(_chunk(event))
        await exchange.writer.drain()
        await asyncio.sleep(1.0)
    exchange.writer.write(b"0\r\n\r\n")


@pytest.mark.parametrize(
    "filler",
    [
        pytest.param(b"data: " + b"x" * 1_000, id="event-without-end"),
        pytest.param(b": keep-alive\n\n", id="comments"),
        pytest.param(b"\n", id="empty-lines"),
    ],
)
def test_stalled_stream_that_sends_bytes_is_resumed_elsewhere(filler: bytes) -> None:
    """Guards against a stalled stream that never ends because it sends a byte now and then."""

    async def main() -> None:
        scripts = [_events_then(0.05, filler), _rest]
        runs = 0

        async def script(exchange: Exchange) -> None:
            nonlocal runs
            runs += 1
            await scripts[min(runs, 2) - 1](exchange)

        answer = await _ask(
            "streaming", script, [script, script], resumable=True, gapAimMs=50, timeoutMs=2_000
        )
        assert answer.endswith(b"0\r\n\r\n")
        assert [answer.count(b"data: e%d\n" % index) for index in (1, 2, 3)] == [1, 1, 1]

    stand_in.run(main)


@pytest.mark.parametrize("attempts", [1, 2])
def test_slow_but_sound_stream_is_not_cut(attempts: int) -> None:
    """Guards against a stream that is cut for its pauses although nothing else could resume it."""

    async def main() -> None:
        answer = await _ask(
            "streaming",
            _slow_but_sound,
            [_slow_but_sound],
            resumable=True,
            gapAimMs=50,
            attempts=attempts,
            timeoutMs=6_000,
        )
        assert answer.endswith(b"0\r\n\r\n")
        assert b"data: e3\n" in answer

    stand_in.run(main)


async def _ask(kind: str, script: Script, scripts: list[Script], **route: object) -> bytes:
    """Returns the answer to one request at a gateway with these workers."""
    site = stand_in.GatewayEnvironment()
    options: dict[str, object] = {"timeoutMs": ROUTE_TIMEOUT_MS, **route}
    site.routes = [stand_in.route("svc", kind, **options)]
    for index, item in enumerate(scripts):
        site.add_worker(f"i-{index}", "svc", item)
    site.publish()
    async with site:
        gateway = await site.start_gateway()
        for _ in range(30):
            gateway.state.retry_budget.record_request("svc", gateway.state.clock.now_ms())
        async with asyncio.timeout(10):
            return await site.send(stand_in.request("/svc/x", Deadline_Remaining="9000"))


class SecondCopies:
    """Stage worker that sends its last answer on a connection once more before the next one."""

    def __init__(self) -> None:
        self.last_body: dict[asyncio.StreamWriter, bytes] = {}

    async def __call__(self, exchange: Exchange) -> None:
        copy = self.last_body.pop(exchange.writer, None)
        if copy is not None:
            exchange.send(200, copy)
        body = b"" if exchange.target.endswith("stage-free") else stand_in.stage_results(exchange)
        exchange.send(200, body, Keep_Alive="timeout=60")
        if body:
            self.last_body[exchange.writer] = body


def _stage_site(stage_script: Script, engine_s: float = 0.0) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    stages = [{"service": "st", "after": [], "bytes": 10}]
    site.routes = [stand_in.route("svc", "idempotent", stages=stages)]
    site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}

    async def engine(exchange: Exchange) -> None:
        await asyncio.sleep(engine_s)
        exchange.send(200, b"answer")

    site.add_worker("i-0", "svc", engine)
    site.add_worker("i-1", "st", stage_script)
    site.publish()
    return site


def test_second_copy_of_a_stage_answer_reaches_no_other_request() -> None:
    """Guards against inputs of another request: answers to stage calls carry no request id.

    The copy of an answer arrives on the connection when the next call has been sent on it.
    """

    async def main() -> None:
        site = _stage_site(SecondCopies(), engine_s=0.2)
        async with site:
            await site.start_gateway()
            answers = []
            for index in range(6):
                data = stand_in.request("/svc/x", f"r{index}", Pieces="1", Piece_Key="k")
                answers.append(asyncio.create_task(site.send(data)))
                # The results of a request are freed 60 ms after it was sent to its engine; until
                # then the connection of its stage call is free for the next stage call.
                await asyncio.sleep(0.015)
            assert {_status(answer) for answer in await asyncio.gather(*answers)} == {200}
            inputs = {
                exchange.request_id: exchange.headers["inputs"]
                for exchange in site.workers["i-0"].exchanges
            }
        assert inputs == {f"r{index}": f"127.0.0.1:1/r{index}-0-0" for index in range(6)}

    stand_in.run(main)


def test_stage_answer_that_never_ends_is_cut_off() -> None:
    """Guards against a stage call whose answer fills the memory of the leader."""

    async def main() -> None:
        head = _head(200, {"Transfer-Encoding": "chunked"})
        worker = EndlessWorker(head, _repeat(_chunk(b" " * 65_536)))
        calls = 0

        async def script(exchange: Exchange) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                await worker(exchange)
            else:
                exchange.send(200, stand_in.stage_results(exchange))

        site = _stage_site(script)
        async with site:
            await site.start_gateway()
            data = stand_in.request("/svc/x", "r1", Pieces="1", Piece_Key="k")
            assert _status(await site.send(data)) == 200
            assert worker.accepted_bytes <= MAX_ACCEPTED_BYTES

    stand_in.run(main)


def test_answer_without_an_id_on_a_used_connection_is_not_taken() -> None:
    """Guards against bytes left on a connection that are taken for the next answer."""

    async def main() -> None:
        count = 0

        async def script(exchange: Exchange) -> None:
            nonlocal count
            count += 1
            if count == 2:
                exchange.send(200, b"of nobody", Request_Id="")
                return
            exchange.send(200, b"answer", Keep_Alive="timeout=60")

        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "idempotent", timeoutMs=ROUTE_TIMEOUT_MS)]
        site.add_worker("i-0", "svc", script)
        site.publish()
        async with site:
            await site.start_gateway()
            answers = [await site.send(stand_in.request("/svc/x", f"r{index}")) for index in (1, 2)]
        assert answers[0].endswith(b"answer")
        assert not answers[1].endswith(b"of nobody")

    stand_in.run(main)


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


async def _wait_until(condition: Callable[[], bool], limit_s: float = 3.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)
