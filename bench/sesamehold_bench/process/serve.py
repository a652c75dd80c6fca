"""Runs one simulated service as a separate process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal

from aiohttp import web
import uvloop

from sesamehold.process import listening

# Calls on connections that were made silent never end, so shutdown waits only briefly for them.
SHUTDOWN_S = 1.0


async def _serve(application: web.Application, address_text: str) -> None:
    address = listening.Address.parse(address_text)
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True, shutdown_timeout=SHUTDOWN_S
    )
    await runner.setup()
    await web.TCPSite(runner, address.ip, address.port).start()
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
    await runner.cleanup()


def serve(make_application: Callable[[], web.Application], address_text: str) -> None:
    """Serves an application until SIGTERM or SIGINT."""

    async def run() -> None:
        await _serve(make_application(), address_text)

    uvloop.run(run())
