"""`sesameholdd`: one entry host as a process.

This module puts the parts together, so it alone imports from packages of shorter life.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import pathlib
import signal
import ssl
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
from sesamehold.connection import http_listener
from sesamehold.connection import ledger_peer
from sesamehold.connection import operator_http
from sesamehold.connection import peer_client
from sesamehold.connection import platform_http
from sesamehold.connection import seal
from sesamehold.connection import target_http
from sesamehold.connection import tls
from sesamehold.process import clock as clocks
from sesamehold.process import dump
from sesamehold.process import local_claims
from sesamehold.process import logs
from sesamehold.process import node as nodes
from sesamehold.process import settings
from sesamehold.request import driver
from sesamehold.version import manifest
from sesamehold.version import validation

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
    _peers: peer_client.PeerClient
    _ledger_pusher: ledger_peer.LedgerPusher
    _caller_tls: tls.ReloadingTls | None
    _peer_tls: tls.ReloadingTls | None
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    _listeners: list[http_listener.HttpListener] = attrs.field(factory=list)

    @classmethod
    def from_config(cls, config: settings.Settings) -> Daemon:
        """Returns a daemon; must be called with a running event loop."""
        node = nodes.Node.from_config(config, clocks.SystemClock())
        caller_tls = _certificate(config.caller_tls, tls.ReloadingTls.for_callers)
        peer_tls = _certificate(config.peer_tls, tls.ReloadingTls.for_peer_client)
        peers = peer_client.PeerClient(
            seal.Sealer.from_keys(config.peer_keys),
            peer_tls.context if peer_tls is not None else None,
        )
        return cls(
            node=node,
            peers=peers,
            ledger_pusher=ledger_peer.LedgerPusher.from_node(node, peers),
            caller_tls=caller_tls,
            peer_tls=peer_tls,
            targets=target_http.HttpTargetConnector.from_config(CONNECTIONS_PER_TARGET),
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
        peers = self._peers
        callers = caller_http.CallerApi(self.node, services, peers).application()
        operators = operator_http.OperatorApi(self.node, self.start_drain, peers).application()
        caller_tls = self._caller_tls.context if self._caller_tls is not None else None
        await self._listen(callers, config.caller_address, caller_tls)
        await self._listen(operators, config.operator_address, None)
        self._tasks = [
            asyncio.create_task(self._watch_configuration()),
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._ledger_pusher.run()),
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

    def log_state(self) -> None:
        """Writes the decision state as one log line."""
        _LOG.info("state", extra={"state": dump.state(self.node)})

    async def _drain(self) -> None:
        deadline_ms = self.node.clock.now_ms() + self.node.config.drain_ms
        while len(self.node.requests) and self.node.clock.now_ms() < deadline_ms:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._ledger_pusher.hand_over()
        self._stopped.set()

    async def _listen(
        self, application: web.Application, address: str, tls: ssl.SSLContext | None
    ) -> None:
        limits = self.node.config.limits
        try:
            listener = await http_listener.HttpListener.start(application, address, limits, tls)
        except OSError as error:
            await self._close()
            raise StartError(f"{address}: cannot listen: {error.strerror}") from error
        self._listeners.append(listener)

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
                faults = validation.validate(version)
                if faults:
                    self._refuse(faults)
                elif self.node.version is None or version.version > self.node.version.version:
                    self.node.configure(version)
                    _LOG.info("configuration in force", extra={"version": version.version})
            case Result(error=faults):
                self._refuse(faults)

    def _refuse(self, faults: tuple[manifest.ManifestFault, ...]) -> None:
        self.node.metrics.count("configuration.refused")
        _LOG.warning("configuration refused", extra={"faults": [str(item) for item in faults[:5]]})

    async def _tick(self) -> None:
        last_flush_ms = self.node.clock.now_ms()
        while True:
            await asyncio.sleep(SLOT_TICK_S)
            self.node.slots.tick()
            now_ms = self.node.clock.now_ms()
            if now_ms - last_flush_ms >= METRICS_TICK_S * 1_000:
                last_flush_ms = now_ms
                self.node.metrics.gauge("requests.open", len(self.node.requests))
                self.node.metrics.flush()
                for certificate in self._certificates():
                    certificate.reload_if_changed()

    def _certificates(self) -> list[tls.ReloadingTls]:
        return [item for item in (self._caller_tls, self._peer_tls) if item is not None]

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in self._listeners:
            await listener.close()
        self._peers.close()
        await self._targets.close()
        await self._platform_session.close()
        self.node.metrics.flush()
        _LOG.info("stopped", extra={"host_id": self.node.config.host_id})


class StartError(Exception):
    """A certificate cannot be loaded or an address cannot be listened on."""


def _certificate(
    files: settings.Tls | None,
    load: Callable[[settings.Tls], Result[tls.ReloadingTls, tls.CertificateUnusable]],
) -> tls.ReloadingTls | None:
    if files is None:
        return None
    match load(files):
        case Result(tag="ok", ok=loaded):
            return loaded
        case Result(error=unusable):
            raise StartError(f"{unusable.path}: {unusable.reason}")


class DaemonService(aiomisc.Service):
    """Runs a `Daemon` as an aiomisc service."""

    config: settings.Settings
    finished: asyncio.Event
    failure: StartError | None = None

    async def start(self) -> None:
        """Starts the daemon.

        SIGTERM and SIGINT begin a graceful shutdown; SIGUSR1 logs the decision state.
        """
        # Certificates are loaded before anything listens.
        daemon = Daemon.from_config(self.config)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.start_drain)
        loop.add_signal_handler(signal.SIGUSR1, daemon.log_state)
        self.start_event.set()
        try:
            await daemon.run()
        except StartError as error:
            self.failure = error
        finally:
            self.finished.set()


async def _run(config: settings.Settings) -> None:
    finished = asyncio.Event()
    service = DaemonService(config=config, finished=finished)
    # Entered as an asynchronous context, so that aiomisc creates no thread pool.
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        await finished.wait()
    if service.failure is not None:
        raise service.failure


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
            try:
                with logs.handler().applicationbound():
                    uvloop.run(_run(config))
            except StartError as error:
                print(error, file=sys.stderr)
                return EXIT_BAD_SETTINGS
            return 0
        case Result(error=faults):
            for fault in faults:
                print(fault, file=sys.stderr)
            return EXIT_BAD_SETTINGS


def main() -> None:
    """Entry point of `sesameholdd`."""
    sys.exit(app())


if __name__ == "__main__":
    main()
