"""Tests of target calls over loopback, with a manual clock for the silence detection."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any

from aiohttp import web
import attrs
from expression import Result
import factories
import pytest
from sesamehold_bench.connection import engine_http
from sesamehold_bench.process import engine as engines
from sesamehold_bench.process import local_fleet

from sesamehold.connection import target_http
from sesamehold.process import clock as clocks
from sesamehold.request import calls
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest

ATTEMPT = ids.AttemptId(factories.REQUEST_ID, 0, 1)


def _call(address: str) -> calls.TargetCall:
    return calls.TargetCall(
        attempt=ATTEMPT,
        target=manifest.Target("engine-0", address, "zone-a"),
        stage=attrs.evolve(factories.stage("generate"), path="/v1/completions", max_tokens=8),
        body={"input": {"prompt": "p"}, "outputs": {}},
        remaining_ms=600_000,
        priority=0,
        account="account",
        key=None,
        resume_index=0,
        resume_text="",
        before_write=lambda: True,
    )


async def _exchange(silent: bool, stall_s: int) -> Result[calls.CallSuccess, calls.CallFault]:
    """Streams from a simulated engine; the caller stalls on the first pieces for `stall_s` s."""
    clock = clocks.ManualClock()
    address = local_fleet.free_addresses(1)[0]
    ip, _, port = address.rpartition(":")
    engine = engine_http.EngineApi.from_config(engines.EngineConfig(step_base_ms=20.0))
    runner = web.AppRunner(engine.application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, ip, int(port)).start()
    connector = target_http.HttpTargetConnector.from_config(4, clock)
    steps = stall_s

    async def pass_time() -> None:
        clock.advance(1_000)
        await asyncio.sleep(0.3)

    async def on_pieces(pieces: Sequence[calls.Piece]) -> bool:
        nonlocal steps
        if silent:
            request: Any = None
            await engine.control.silence(request)
        while steps:
            steps -= 1
            await pass_time()
        return True

    call = asyncio.create_task(connector.call(_call(address), on_pieces))
    try:
        while silent and not call.done():
            await pass_time()
        return await call
    finally:
        await connector.close()
        await runner.cleanup()


@pytest.mark.parametrize(
    ("silent", "stall_s", "fault"),
    [
        pytest.param(False, 0, None, id="steady-stream"),
        pytest.param(False, 6, None, id="caller-reads-slowly"),
        pytest.param(True, 0, events.AttemptFault.SILENT, id="connection-goes-silent"),
    ],
)
def test_only_a_silent_connection_is_closed(
    silent: bool, stall_s: int, fault: events.AttemptFault | None
) -> None:
    """Guards against aborting a stream because its caller reads slowly."""
    result = asyncio.run(_exchange(silent, stall_s))
    if fault is None:
        assert result.is_ok()
    else:
        assert result.error.fault is fault
