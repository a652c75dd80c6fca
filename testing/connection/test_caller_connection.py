"""Tests of one connection of a caller, and of what several of them share, without a network."""

from __future__ import annotations

import asyncio

from aiohttp import web
import pytest

from sesamehold.connection import caller_connection
from sesamehold.connection.gateway import framing_budget
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process import receive_budget

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
TINY_CHUNKS = b"1\r\na\r\n" * 10_000
LARGE_CHUNKS = b"8000\r\n%s\r\n" % (b"a" * 32_768) * 2
BURST_BYTES = framing_budget.BURST_BYTES * caller_connection.FRAMING_BYTES_PER_CHARGE
# A part, and what is not dense: the largest that one connection has parsed of tiny chunks.
PROBE_BYTES = 2 * caller_connection.PROBE_PART_BYTES


class _Transport(asyncio.Transport):
    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def close(self) -> None:
        pass


async def _wait(request: web.BaseRequest) -> web.StreamResponse:
    await request.content.readany()
    await asyncio.Event().wait()
    return web.Response()


def _connect(framing: framing_budget.FramingBudget) -> caller_connection.CallerConnection:
    budget = receive_budget.ReceiveBudget(10**9, on_excess=lambda _: None)
    connection = caller_connection.CallerConnection(
        web.Server(_wait),
        listening.ConnectionLimits,
        budget,
        framing,
        loop=asyncio.get_running_loop(),
    )
    connection.connection_made(_Transport())
    return connection


async def _parsed_bytes(framing: framing_budget.FramingBudget, data: bytes, count: int) -> int:
    """Returns how much of the same body on several connections is parsed while no time passes."""
    connections = [_connect(framing) for _ in range(count)]
    for connection in connections:
        connection.data_received(HEAD + data)
    parsed = sum(len(data) - len(connection._unparsed) for connection in connections)
    for connection in connections:
        connection.connection_lost(None)
    await asyncio.sleep(0)
    return parsed


@pytest.mark.parametrize("count", [1, 20, 100])
def test_tiny_chunks_are_parsed_up_to_a_burst_and_a_part(count: int) -> None:
    """Guards against refusals and pauses that cost as much time as the bodies themselves."""

    async def main() -> None:
        framing = framing_budget.FramingBudget(clocks.ManualClock())
        parsed_bytes = await _parsed_bytes(framing, TINY_CHUNKS, count)
        # Five of the six bytes of a chunk are framing.
        assert parsed_bytes <= 6 * BURST_BYTES / 5 + count * PROBE_BYTES

    asyncio.run(main())


def test_large_chunks_are_parsed_beside_tiny_ones() -> None:
    """Guards against ordinary bodies that wait for the framing of others."""

    async def main() -> None:
        framing = framing_budget.FramingBudget(clocks.ManualClock())
        await _parsed_bytes(framing, TINY_CHUNKS, 100)
        assert framing.is_overdrawn
        assert await _parsed_bytes(framing, LARGE_CHUNKS, 1) == len(LARGE_CHUNKS)

    asyncio.run(main())


@pytest.mark.parametrize("rate_bytes_per_s", [1_000, framing_budget.RATE_BYTES_PER_S])
def test_rate_of_a_budget_is_its_own(rate_bytes_per_s: int) -> None:
    """Guards against a pause that is shorter than what was spent takes to come back."""
    clock = clocks.ManualClock()
    budget = framing_budget.FramingBudget(clock, rate_bytes_per_s=rate_bytes_per_s)
    assert budget.spend(framing_budget.BURST_BYTES) == 0
    assert budget.spend(rate_bytes_per_s) == 1_001
    assert budget.is_overdrawn
    clock.advance(1_001)
    assert not budget.is_overdrawn


def test_lost_connection_counts_no_request() -> None:
    """Guards against memory that is counted for ever, so that others are refused."""

    async def main() -> None:
        connection = _connect(framing_budget.FramingBudget(clocks.ManualClock()))
        assert connection.admit(1_000)
        assert connection._budget.admitted_bytes == 1_000
        connection.connection_lost(None)
        assert connection.admit(1_000)
        assert (connection._budget.admitted_bytes, connection._budget.used_bytes) == (0, 0)

    asyncio.run(main())
