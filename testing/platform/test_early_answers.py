"""Tests targets that answer an upload before they have read it, and break off."""

from __future__ import annotations

import asyncio

import attrs
import platform_stand_in as stand_in
import pytest

PART = b"the first part of an answer\n" * 4
WHOLE = PART * 3
EVENT = b"id: 1\ndata: e1\n\n"
UPLOADS_BYTES = [0, 300_000, 3_000_000]
ENDS = ["reset", "close"]
# An answer without a length is whole if its target closes the connection in order.
ORDERLY = ("none", "close")
FRAMINGS = {
    "length": [f"Content-Length: {len(WHOLE)}"],
    "chunks": ["Transfer-Encoding: chunked"],
    "none": [],
}


def _begin(framing: str, body: bytes) -> bytes:
    """Returns the head of a success, without its first line and id, and a part of its body."""
    if framing == "chunks" and body:
        body = b"%x\r\n%s\r\n" % (len(body), body)
    return "\r\n".join(["Server-Seal: s", *FRAMINGS[framing], "", ""]).encode() + body


@attrs.define(eq=False)
class HastyTarget:
    """Target that answers as soon as it has a head, and ends the connection.

    Attributes:
        answer: What it sends behind the id of the request.
        end: How it ends the connection.
        runs: Number of requests that it got.
    """

    answer: bytes
    end: str
    runs: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.runs += 1
        fields = dict(line.split(b": ", 1) for line in head.strip().split(b"\r\n")[1:])
        request_id = fields[b"Request-Id"]
        writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: " + request_id + b"\r\n" + self.answer)
        await writer.drain()
        # The answer arrives while the upload is still being written.
        await asyncio.sleep(0.02)
        if self.end == "reset":
            stand_in.Exchange(b"GET / HTTP/1.1", b"", writer, 0).reset()
        else:
            writer.close()


async def _upload(kind: str, target: HastyTarget, size_bytes: int, **route: object) -> bytes:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, attempts=2, **route)]
    for index in range(2):
        worker = site.add_worker(f"i-{index}", "svc", _unused)
        worker._serve = target.serve  # type: ignore[method-assign]
    site.publish(limits={"bodyBytes": 4_000_000, "idleMs": 2_000})
    async with site:
        await site.start_gateway()
        return await site.send(stand_in.request("/svc/x", "r1", body=b"u" * size_bytes))


async def _unused(exchange: stand_in.Exchange) -> None:
    raise AssertionError(exchange.target)


BROKEN = [(framing, end) for framing in FRAMINGS for end in ENDS if (framing, end) != ORDERLY]


@pytest.mark.parametrize("size_bytes", UPLOADS_BYTES)
@pytest.mark.parametrize("body", [pytest.param(PART, id="part"), pytest.param(b"", id="head")])
@pytest.mark.parametrize(("framing", "end"), BROKEN)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_part_of_an_answer_to_an_upload_is_no_answer(
    kind: str, framing: str, end: str, body: bytes, size_bytes: int
) -> None:
    """Guards against a part that reaches the caller as a whole success."""

    async def main() -> None:
        target = HastyTarget(_begin(framing, body), end)
        answer = await _upload(kind, target, size_bytes)
        assert answer.startswith(b"HTTP/1.1 502"), answer
        assert target.runs == (2 if kind == "idempotent" else 1)

    stand_in.run(main)


@pytest.mark.parametrize("size_bytes", UPLOADS_BYTES)
@pytest.mark.parametrize("event_count", [0, 1])
@pytest.mark.parametrize(("framing", "end"), BROKEN)
@pytest.mark.parametrize("resumable", [True, False])
def test_part_of_a_stream_that_answers_an_upload_does_not_look_complete(
    framing: str, end: str, event_count: int, size_bytes: int, *, resumable: bool
) -> None:
    """Guards against a stream that ends as complete after its first event."""

    async def main() -> None:
        target = HastyTarget(_begin(framing, EVENT * event_count), end)
        answer = await _upload("streaming", target, size_bytes, resumable=resumable)
        assert answer.count(EVENT) <= 1
        assert answer.startswith(b"HTTP/1.1 502") or not answer.endswith(b"0\r\n\r\n"), answer

    stand_in.run(main)


@pytest.mark.parametrize("size_bytes", UPLOADS_BYTES)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_whole_answer_to_an_upload_that_is_not_read_reaches_the_caller(
    kind: str, framing: str, end: str, size_bytes: int
) -> None:
    """Guards against an early answer that is dropped or asked for again for what follows it."""

    async def main() -> None:
        last_chunk = b"0\r\n\r\n" if framing == "chunks" else b""
        target = HastyTarget(_begin(framing, WHOLE) + last_chunk, end)
        answer = await _upload(kind, target, size_bytes)
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert answer.endswith(b"\r\n\r\n" + WHOLE)
        assert target.runs == 1

    stand_in.run(main)


def test_part_of_a_stage_answer_is_no_result() -> None:
    """Guards against a stage call whose answer breaks off and looks like a shorter one."""

    async def main() -> None:
        count = 0

        async def stage(exchange: stand_in.Exchange) -> None:
            nonlocal count
            if exchange.target.endswith("stage-free"):
                exchange.send(200)
                return
            count += 1
            body = stand_in.stage_results(exchange)
            if count > 1:
                exchange.send(200, body)
                return
            # Without a length, and with a part that is whole by itself.
            exchange.write_head(200, {"Server-Seal": "s"})
            exchange.writer.write(body)
            await exchange.writer.drain()
            await asyncio.sleep(0.02)
            exchange.reset()

        async def engine(exchange: stand_in.Exchange) -> None:
            exchange.send(200, b"answer")

        site = stand_in.GatewayEnvironment()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [stand_in.route("svc", "idempotent", stages=stages)]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        site.add_worker("i-0", "svc", engine)
        site.add_worker("i-1", "st", stage)
        site.publish()
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1", Pieces="1", Piece_Key="k"))
        assert answer.startswith(b"HTTP/1.1 200"), answer
        assert count == 2

    stand_in.run(main)
