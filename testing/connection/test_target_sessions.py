"""Tests that the keep-alive connections to a target are discarded together."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from sesamehold.connection import target_sessions

ADDRESS = "127.0.0.1:9"


async def _retire(*, call_is_open: bool) -> tuple[bool, bool, bool]:
    """Returns whether the session was closed, was reused, and whether its successor is closed."""
    sessions = target_sessions.TargetSessions.from_config(4, aiohttp.TraceConfig())
    try:
        async with sessions.pooled(ADDRESS) as session:
            if call_is_open:
                await sessions.retire(ADDRESS)
        if not call_is_open:
            await sessions.retire(ADDRESS)
        closed = session.closed
        async with sessions.pooled(ADDRESS) as later:
            return closed, later is session, later.closed
    finally:
        await sessions.close()


@pytest.mark.parametrize(
    "call_is_open", [pytest.param(True, id="call-open"), pytest.param(False, id="idle")]
)
def test_retired_session_is_closed_and_replaced(call_is_open: bool) -> None:
    """Guards against silent connections that are reused or never closed."""
    assert asyncio.run(_retire(call_is_open=call_is_open)) == (True, False, False)
