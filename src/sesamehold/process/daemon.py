"""`sesameholdd`: the daemon of an entry host."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import ssl
import sys
from typing import Annotated

from aiohttp import web
import aiomisc
import attrs
import cyclopts
from expression import Result
import logbook
import uvloop

from sesamehold.connection import caller_connection
from sesamehold.connection import http_listener
from sesamehold.connection import peer_server
from sesamehold.process import allocator
from sesamehold.process import components
from sesamehold.process import dump
from sesamehold.process import listening
from sesamehold.process import logs
from sesamehold.process import node as nodes
from sesamehold.process import receive_budget
from sesamehold.process import settings
from sesamehold.process import signals
from sesamehold.version import manifest

EXIT_BAD_SETTINGS = 2
SLOT_TICK_S = 0.05
METRICS_TICK_S = 1.0
DRAIN_POLL_S = 0.05
# A connection that has just been opened or answered is about to carry a request.
MIN_IDLE_S = 0.5
_MS_PER_S = 1_000
LOAD_POLL_S = 0.1

_LOG = logbook.Logger("daemon")
_EXCESSES = tuple(receive_budget.Excess)


@attrs.define(eq=False)
class Daemon:
    """Runs the components of one host until a graceful shutdown has completed."""

    _components: components.Components
    _peer_server: peer_server.PeerServer
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    _listeners: list[http_listener.HttpListener] = attrs.field(factory=list)
    _logged_refusals: dict[str, int] = attrs.field(
        factory=lambda: dict.fromkeys((excess.value for excess in _EXCESSES), 0)
    )

    @classmethod
    def from_config(cls, config: settings.Settings) -> Daemon:
        """Returns a daemon; requires a running event loop."""
        host_components = components.Components.from_config(config)
        return cls(host_components, host_components.peer_server())

    @property
    def node(self) -> nodes.Node:
        """Returns the decision state of this host."""
        return self._components.node

    async def run(self) -> None:
        """Serves until a graceful shutdown has completed, then closes all resources."""
        host_components = self._components
        await self._listen()
        await host_components.fleet.start()
        self.node.slots.on_released = self._publish_notices
        self._tasks += [
            asyncio.create_task(work)
            for work in (self._tick(), self._poll_loads(), host_components.ledger_pusher.run())
        ]
        _LOG.info("started", extra={"host_id": self.node.config.host_id})
        await self._stopped.wait()
        await self._hand_over()
        await self._close()

    def start_drain(self) -> None:
        """Begins a graceful shutdown.

        The host reports that it is not ready, serves what the balancer still sends, finishes open
        requests and stops.
        """
        if self.node.requests.draining:
            return
        self.node.requests.draining = True
        _LOG.info("draining", extra={"open_requests": len(self.node.requests)})
        self._components.fleet.leave()
        for listener in self._listeners:
            listener.start_drain()
        self._tasks.append(asyncio.create_task(self._drain()))

    def log_state(self) -> None:
        """Writes the decision state as one log line."""
        log_state(self.node)

    async def _drain(self) -> None:
        config = self.node.config
        # The balancer sends requests until its next health check has failed.
        await asyncio.sleep(config.balancer_grace_ms / _MS_PER_S)
        self.node.requests.closed = True
        deadline_ms = self.node.clock.now_ms() + config.drain_ms
        while self.node.clock.now_ms() < deadline_ms:
            for listener in self._listeners:
                listener.close_idle(MIN_IDLE_S)
            if not len(self.node.requests) and not self._has_busy_connections():
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._stopped.set()

    def _has_busy_connections(self) -> bool:
        idle = caller_connection.ConnectionPhase.IDLE
        return any(listener.phases().keys() - {idle} for listener in self._listeners)

    async def _listen(self) -> None:
        config = self.node.config
        certificates = self._components.certificates
        peer_address = listening.Address.parse(config.peer_address)
        peer_tls = certificates.peer_server
        await self._peer_server.start(
            peer_address.ip, peer_address.port, peer_tls.context if peer_tls is not None else None
        )
        caller_tls = certificates.caller
        await self._listen_http(
            self._components.caller_api().application(),
            config.caller_address,
            caller_tls.context if caller_tls is not None else None,
        )
        operators = self._components.operator_api(self.start_drain).application()
        await self._listen_http(operators, config.operator_address, None)

    async def _listen_http(
        self, application: web.Application, address: str, context: ssl.SSLContext | None
    ) -> None:
        limits = self.node.config.limits
        try:
            listener = await http_listener.HttpListener.start(
                application, address, limits, self.node.receive_budget, self.node.clock, context
            )
        except OSError as error:
            await self._close()
            raise StartError(f"{address}: cannot listen: {error.strerror}") from error
        self._listeners.append(listener)

    async def _tick(self) -> None:
        last_flush_ms = self.node.clock.now_ms()
        while True:
            await asyncio.sleep(SLOT_TICK_S)
            self.node.slots.tick()
            now_ms = self.node.clock.now_ms()
            self._publish_notices()
            if now_ms - last_flush_ms >= METRICS_TICK_S * _MS_PER_S:
                last_flush_ms = now_ms
                self._log_refused_callers()
                self.node.metrics.gauge("requests.open", len(self.node.requests))
                alive = self.node.fleet.alive_count()
                self._components.dispatcher.account_limits.set_live_hosts(alive)
                self.node.metrics.flush()
                self._components.certificates.reload_if_changed()

    def _log_refused_callers(self) -> None:
        counters = self.node.metrics.counters
        refused = {
            excess.value: counters[f"callers.refused.{excess.value}"] for excess in _EXCESSES
        }
        if refused != self._logged_refusals:
            _LOG.info("callers refused", extra={"connections_since_start": refused})
            self._logged_refusals = refused

    def _publish_notices(self) -> None:
        for notice in self._components.notices.take_notices(self.node.clock.now_ms()):
            self._components.fleet.publish(notice)

    async def _poll_loads(self) -> None:
        """Periodically reads the load of targets that are not known to be warm."""
        while True:
            targets = self._components.dispatcher.targets.take_due_probes(self.node.clock.now_ms())
            await asyncio.gather(*(self._poll_load(target) for target in targets))
            await asyncio.sleep(LOAD_POLL_S)

    async def _poll_load(self, target: manifest.Target) -> None:
        requested_ms = self.node.clock.now_ms()
        load = await self._components.targets.load(target)
        if load is not None:
            self.node.slots.record_load_report(target.id, load, requested_ms)

    async def _hand_over(self) -> None:
        await self._components.ledger_pusher.hand_over()
        claims = self._components.claims.client
        await claims.close()
        accepted = await claims.hand_over()
        _LOG.info("handed over", extra={"accepted_records": accepted})

    async def _close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for listener in self._listeners:
            await listener.close()
        await self._components.fleet.close()
        await self._peer_server.close()
        self._components.peers.close()
        await self._components.targets.close()
        await self._components.platform.close()
        self.node.metrics.flush()
        _LOG.info("stopped", extra={"host_id": self.node.config.host_id})


def log_state(node: nodes.Node) -> None:
    """Writes the decision state of a node as one log line."""
    _LOG.info("state", extra={"state": dump.state(node)})


class StartError(Exception):
    """The daemon cannot listen on an address of the settings."""


class DaemonService(aiomisc.Service):
    """Runs a `Daemon` as an aiomisc service."""

    config: settings.Settings
    finished: asyncio.Event
    failure: StartError | None = None

    async def start(self) -> None:
        """Starts the daemon.

        SIGTERM and SIGINT begin a graceful shutdown; SIGUSR1 logs the decision state.
        """
        # Loads the certificates, so that a faulty one ends the start before any socket listens.
        daemon = Daemon.from_config(self.config)
        handlers = {
            signal.SIGTERM: daemon.start_drain,
            signal.SIGINT: daemon.start_drain,
            signal.SIGUSR1: daemon.log_state,
        }
        try:
            with signals.handled(handlers):
                self.start_event.set()
                await daemon.run()
        except StartError as error:
            self.failure = error
        finally:
            self.finished.set()


async def _run(config: settings.Settings) -> None:
    finished = asyncio.Event()
    service = DaemonService(config=config, finished=finished)
    # Used as an asynchronous context manager, because then aiomisc creates no thread pool.
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        await finished.wait()
    if service.failure is not None:
        raise service.failure


app = cyclopts.App(
    name="sesameholdd", help="Entry host of sesamehold.", result_action="return_value"
)


@app.default
def serve(*, settings_file: Annotated[pathlib.Path, cyclopts.Parameter(name="--settings")]) -> int:
    """Runs an entry host until a graceful shutdown has completed.

    Args:
        settings_file: Settings in JSON with comments.
    """
    allocator.return_large_blocks()
    match settings.from_file(settings_file):
        case Result(tag="ok", ok=config):
            try:
                with logs.handler().applicationbound():
                    uvloop.run(_run(config))
            except (StartError, components.CertificateError) as error:
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
