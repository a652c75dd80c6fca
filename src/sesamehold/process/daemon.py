"""`sesameholdd`: one entry host as a process.

This module puts the parts together, so it alone imports from packages of shorter life.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from typing import Annotated

import aiohttp
from aiohttp import web
import aiomisc
import attrs
import cyclopts
from expression import Result
import logbook
import uvloop

from sesamehold.connection import caller_http
from sesamehold.connection import operator_http
from sesamehold.connection import platform_http
from sesamehold.connection import target_http
from sesamehold.process import clock as clocks
from sesamehold.process import local_claims
from sesamehold.process import logs
from sesamehold.process import node as nodes
from sesamehold.process import settings
from sesamehold.request import driver
from sesamehold.version import manifest

EXIT_BAD_SETTINGS = 2
CONNECTIONS_PER_TARGET = 256
WATCH_MS = 10_000
PLATFORM_RETRY_S = 1.0
SLOT_TICK_S = 0.05
METRICS_TICK_S = 1.0
DRAIN_POLL_S = 0.05

_LOG = logbook.Logger("daemon")


@attrs.define(eq=False)
class Daemon:
    """Runs the services of one host until it has drained."""

    node: nodes.Node
    _targets: target_http.HttpTargetConnector
    _platform_session: aiohttp.ClientSession
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    _runners: list[web.AppRunner] = attrs.field(factory=list)

    @classmethod
    def from_config(cls, config: settings.Settings) -> Daemon:
        """Returns a daemon; must be called with a running event loop."""
        clock = clocks.SystemClock()
        return cls(
            node=nodes.Node.from_config(config, clock),
            targets=target_http.HttpTargetConnector.from_config(CONNECTIONS_PER_TARGET, clock),
            platform_session=aiohttp.ClientSession(),
        )

    async def run(self) -> None:
        """Serves until the host has drained."""
        services = driver.Services(
            clock=self.node.clock,
            slots=self.node.slots,
            targets=self._targets,
            claims=local_claims.LocalClaims(),
            ledger=self.node.ledger,
            metrics=self.node.metrics,
        )
        config = self.node.config
        callers = caller_http.CallerApi(self.node, services).application()
        operators = operator_http.OperatorApi(self.node, self.start_drain).application()
        await self._listen(callers, config.caller_address)
        await self._listen(operators, config.operator_address)
        self._tasks = [
            asyncio.create_task(self._watch_configuration()),
            asyncio.create_task(self._tick()),
        ]
        _LOG.info("started", extra={"host_id": config.host_id})
        await self._stopped.wait()
        await self._close()

    def start_drain(self) -> None:
        """Refuses new requests, finishes the running ones and stops."""
        if self.node.requests.draining:
            return
        self.node.requests.draining = True
        _LOG.info("draining", extra={"open_requests": len(self.node.requests)})
        self._tasks.append(asyncio.create_task(self._drain()))

    async def _drain(self) -> None:
        deadline_ms = self.node.clock.now_ms() + self.node.config.drain_ms
        while len(self.node.requests) and self.node.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        self._stopped.set()

    async def _listen(self, application: web.Application, address_text: str) -> None:
        address = settings.Address.parse(address_text)
        limits = self.node.config.limits
        runner = web.AppRunner(
            application,
            handler_cancellation=True,
            access_log=None,
            max_line_size=limits.header_size_bytes,
            max_field_size=limits.header_size_bytes,
        )
        await runner.setup()
        await web.TCPSite(runner, address.ip, address.port).start()
        self._runners.append(runner)

    async def _watch_configuration(self) -> None:
        platform = platform_http.PlatformClient(
            self.node.config.platform_address, self._platform_session
        )
        while True:
            version = self.node.version.version if self.node.version else 0
            match await platform.watch("manifest", version, WATCH_MS):
                case Result(tag="ok", ok=platform_http.PublishedValue(document=document)):
                    self._offer(document)
                case Result(tag="error"):
                    self.node.metrics.count("configuration.platform_errors")
                    await asyncio.sleep(PLATFORM_RETRY_S)
                case _:
                    pass

    def _offer(self, document: object) -> None:
        match manifest.from_json(document):
            case Result(tag="ok", ok=version):
                if self.node.version is None or version.version > self.node.version.version:
                    self.node.configure(version)
                    _LOG.info("configuration in force", extra={"version": version.version})
            case Result(error=faults):
                self.node.metrics.count("configuration.refused")
                _LOG.warning(
                    "configuration refused",
                    extra={"faults": [f"{fault.path}: {fault.reason}" for fault in faults[:5]]},
                )

    async def _tick(self) -> None:
        last_flush_ms = self.node.clock.now_ms()
        while True:
            await asyncio.sleep(SLOT_TICK_S)
            self.node.slots.tick()
            now_ms = self.node.clock.now_ms()
            if now_ms - last_flush_ms >= METRICS_TICK_S * 1_000:
                last_flush_ms = now_ms
                self.node.metrics.flush()

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._targets.close()
        await self._platform_session.close()
        self.node.metrics.flush()
        _LOG.info("stopped", extra={"host_id": self.node.config.host_id})


class DaemonService(aiomisc.Service):
    """Runs a `Daemon` as an aiomisc service."""

    config: settings.Settings
    finished: asyncio.Event

    async def start(self) -> None:
        """Starts the daemon; SIGTERM and SIGINT begin a graceful shutdown."""
        daemon = Daemon.from_config(self.config)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.start_drain)
        self.start_event.set()
        try:
            await daemon.run()
        finally:
            self.finished.set()


async def _run(config: settings.Settings) -> None:
    finished = asyncio.Event()
    service = DaemonService(config=config, finished=finished)
    # Entered as an asynchronous context, so that aiomisc creates no thread pool.
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        await finished.wait()


app = cyclopts.App(
    name="sesameholdd", help="Entry host of sesamehold.", result_action="return_value"
)


@app.default
def serve(*, settings_file: Annotated[pathlib.Path, cyclopts.Parameter(name="--settings")]) -> int:
    """Serves until a graceful shutdown has ended.

    Args:
        settings_file: Settings in JSON with comments.
    """
    match settings.from_file(settings_file):
        case Result(tag="ok", ok=config):
            with logs.handler().applicationbound():
                uvloop.run(_run(config))
            return 0
        case Result(error=faults):
            for fault in faults:
                print(f"{fault.path}: {fault.reason}", file=sys.stderr)
            return EXIT_BAD_SETTINGS


def main() -> None:
    """Entry point of `sesameholdd`."""
    sys.exit(app())


if __name__ == "__main__":
    main()
