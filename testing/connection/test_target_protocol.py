"""Tests how the connections to targets read answers that consist mostly of framing."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
import uvloop

from sesamehold.connection.gateway import framing_budget
from sesamehold.connection.gateway import target_protocol
from sesamehold.process import clock as clocks

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
# What a transport may pass on in one call.
RECEIVED_BYTES = 262_144


class RecordingTransport(asyncio.Transport):
    """Transport that records whether its protocol wants to read."""

    def __init__(self) -> None:
        super().__init__()
        self.is_reading = True
        self.is_closed = False

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    def abort(self) -> None:
        self.is_closed = True


class Connection:
    """A connection to a target that sends what a test passes on."""

    def __init__(self, budget: framing_budget.FramingBudget) -> None:
        self.transport = RecordingTransport()
        loop = asyncio.get_running_loop()
        self.protocol = target_protocol.TargetProtocol(loop, budget)
        self.protocol.connection_made(self.transport)
        self.protocol.begin_request()
        self.protocol.set_response_params(read_until_eof=True, auto_decompress=False)

    def receive(self, data: bytes) -> None:
        for start in range(0, len(data), RECEIVED_BYTES):
            self.protocol.data_received(data[start : start + RECEIVED_BYTES])

    @property
    def body_bytes(self) -> int:
        return 0 if self.protocol.body is None else self.protocol.body.total_bytes


def _run(main: Callable[[], Awaitable[None]]) -> None:
    uvloop.run(main())  # type: ignore[arg-type]


def _chunks(body: bytes, size: int) -> bytes:
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)


@pytest.mark.parametrize("connection_count", [1, 16])
def test_small_chunks_of_one_target_are_read_at_a_limited_rate(connection_count: int) -> None:
    """Guards against a target whose tiny chunks keep the loop from serving other requests."""

    async def main() -> None:
        clock = clocks.ManualClock()
        budget = framing_budget.FramingBudget(clock)
        connections = [Connection(budget) for _ in range(connection_count)]
        for connection in connections:
            connection.receive(HEAD + _chunks(b"x" * 43_000, 1))
            assert not connection.transport.is_reading
            assert not connection.transport.is_closed
        received = sum(connection.body_bytes for connection in connections)
        burst = framing_budget.BURST_BYTES + connection_count * target_protocol.SLICE_BYTES
        assert 0 < received * 5 <= burst

    _run(main)


def test_answer_in_small_chunks_arrives_whole() -> None:
    """Guards against a sound answer that is refused, cut or reordered for its tiny chunks."""

    async def main() -> None:
        clock = clocks.ManualClock()
        connection = Connection(framing_budget.FramingBudget(clock))
        body = bytes(index % 251 for index in range(30_000))
        connection.receive(HEAD + _chunks(body, 1) + LAST_CHUNK)
        assert connection.protocol.has_unparsed
        _, payload = await connection.protocol.read()
        received = bytearray()
        async with asyncio.timeout(10):
            while data := await payload.readany():
                received += data
                clock.advance(1_000)
        assert bytes(received) == body
        assert not connection.protocol.has_unparsed

    _run(main)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(HEAD + _chunks(b"x" * 40_000, 1) + LAST_CHUNK, id="small-chunks"),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 2_000_000, id="until-close"),
    ],
)
def test_answer_does_not_look_complete_if_a_part_was_not_parsed(data: bytes) -> None:
    """Guards against a connection that is lost while received bytes wait to be parsed."""

    async def main() -> None:
        connection = Connection(framing_budget.FramingBudget(clocks.ManualClock()))
        connection.receive(data)
        assert connection.protocol.has_unparsed
        _, payload = await connection.protocol.read()
        connection.protocol.connection_lost(None)
        assert connection.protocol.was_reset
        assert payload.exception() is not None or payload.is_eof()

    _run(main)


@pytest.mark.parametrize("chunk_size", [4_096, 65_536])
def test_large_sound_body_waits_only_for_its_reader(chunk_size: int) -> None:
    """Guards against large answers that are slowed down as if their bytes were framing."""

    async def main() -> None:
        # The clock stands still, so a wait for the budget would never end.
        connection = Connection(framing_budget.FramingBudget(clocks.ManualClock()))
        body = bytes(index % 251 for index in range(8)) * 500_000
        data = HEAD + _chunks(body, chunk_size) + LAST_CHUNK
        received = bytearray()
        connection.receive(data[:RECEIVED_BYTES])
        _, payload = await connection.protocol.read()
        for start in range(RECEIVED_BYTES, len(data) + RECEIVED_BYTES, RECEIVED_BYTES):
            while not connection.transport.is_reading:
                received += await payload.readany()
            connection.receive(data[start : start + RECEIVED_BYTES])
        async with asyncio.timeout(10):
            received += await payload.read(-1)
        assert bytes(received) == body

    _run(main)


@pytest.mark.parametrize(
    "block",
    [
        pytest.param(b"\r\n" * 4_096, id="empty-lines"),
        pytest.param(b"\n" * 8_192, id="line-feeds"),
    ],
)
def test_bytes_before_a_head_are_limited(block: bytes) -> None:
    """Guards against a target that keeps a connection busy before it answers."""

    async def main() -> None:
        connection = Connection(framing_budget.FramingBudget(clocks.ManualClock()))
        sent_bytes = 0
        while not connection.transport.is_closed and sent_bytes < 10_000_000:
            connection.receive(block)
            sent_bytes += len(block)
            if not connection.transport.is_reading:
                break
        assert sent_bytes <= target_protocol.MAX_FRAMING_BYTES + len(block)

    _run(main)


def test_budget_is_replenished_at_its_rate() -> None:
    """Guards against a target that is read slowly for ever after one bad answer."""
    clock = clocks.ManualClock()
    budget = framing_budget.FramingBudget(clock)
    assert budget.spend(framing_budget.BURST_BYTES) == 0
    delay_ms = budget.spend(framing_budget.RATE_BYTES_PER_S)
    assert delay_ms == 1_001
    clock.advance(delay_ms)
    assert budget.spend(0) == 0
    assert not budget.is_full
    clock.advance(1_000)
    assert budget.is_full
