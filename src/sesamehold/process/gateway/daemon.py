"""Composition of one gateway process: connects its state to sockets, timers and signals."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import functools
import random
import signal
from typing import Any

from aiohttp import web
import aiomisc
import attrs
from expression import Result

from sesamehold.connection import caller_connection
from sesamehold.connection import http_listener
from sesamehold.connection.gateway import fleet
from sesamehold.connection.gateway import ingress
from sesamehold.connection.gateway import target_pool
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process import pause
from sesamehold.process import signals
from sesamehold.process.gateway import background
from sesamehold.process.gateway import decision_log
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import settings as gateway_settings
from sesamehold.process.gateway import stage_runner
from sesamehold.process.gateway import state as states
from sesamehold.request.gateway import ports
from sesamehold.request.gateway import relay

TICK_INTERVAL_S = 0.1
DRAIN_POLL_S = 0.05
# The load balancer checks readiness once a second and removes a host after two failed checks. Until
# this time after a shutdown has begun, it may still send new connections.
BALANCER_REMOVAL_MS = 2_600
# Time before SIGKILL at which requests that are still open get their final answers.
ANSWER_RESERVE_MS = 800
# Time before SIGKILL that is reserved for closing connections.
CLOSE_RESERVE_MS = 400
CLOSE_TIMEOUT_S = 0.25
# Requests that have arrived when the listening sockets are closed are read within this time.
LAST_REQUESTS_MS = 50
# Idle connections and unfinished heads are kept this much longer than the limits of callers.
IDLE_MARGIN_MS = 2_000
# Parsers accept header lines up to this size, as the limit may grow while a connection is open. The
# limit in force is checked for each request.
HEADER_CEILING_BYTES = 65_536
# A connection that has just been opened or answered is about to carry a request.
MIN_IDLE_S = 0.5
_MS_PER_S = 1_000

ReloadResult = Result[gateway_settings.GatewaySettings, gateway_settings.SettingsFault]


@attrs.frozen
class Adapter:
    """Platform-specific parts of a gateway.

    Attributes:
        source: Reads and decodes the configuration store.
        requests: Encodes and decodes the headers of requests and answers.
        stages: Encodes and decodes the calls to stage targets.
        reload: Reads the settings file again.
        close: Closes the connections of the adapter.
    """

    source: directory_events.DirectorySource
    requests: ports.RequestCodec
    stages: ports.StageCodec
    reload: Callable[[], ReloadResult]
    close: Callable[[], Coroutine[Any, Any, None]]


@attrs.define(eq=False)
class GatewayDaemon:
    """Runs one gateway process until it has drained."""

    state: states.GatewayState
    _adapter: Adapter
    _output: decision_log.BoundedOutput
    _client: target_pool.TargetPool
    _stages: stage_runner.LocalStageRunner
    _fleet: fleet.Fleet
    _watcher: directory_watcher.DirectoryWatcher
    _pause: pause.PauseDetector
    _stopped: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)
    _listeners: list[http_listener.HttpListener] = attrs.field(factory=list)
    _callers: ingress.Ingress = attrs.field(init=False)

    @classmethod
    def from_config(
        cls,
        config: gateway_settings.GatewaySettings,
        adapter: Adapter,
        output: decision_log.BoundedOutput,
    ) -> GatewayDaemon:
        """Builds all components; must be called with a running event loop."""
        clock = clocks.SystemClock()
        rng = random.Random(f"{config.peer_address}:{clock.wall_ms()}")
        state = states.GatewayState.from_config(config, clock, rng)
        client = target_pool.TargetPool(adapter.requests, clock, state)
        stages = stage_runner.LocalStageRunner(state, client, adapter.stages)
        watcher = directory_watcher.DirectoryWatcher(state, adapter.source)
        return cls(
            state=state,
            adapter=adapter,
            output=output,
            client=client,
            stages=stages,
            fleet=fleet.Fleet(state, stages, watcher),
            watcher=watcher,
            pause=pause.PauseDetector(clock),
        )

    def __attrs_post_init__(self) -> None:
        services = relay.RelayServices(
            self.state, self._adapter.requests, self._client, self._fleet
        )
        self._callers = ingress.Ingress(services)

    async def run(self) -> None:
        """Serves until a graceful shutdown is complete."""
        await self._fleet.start()
        await self._listen()
        for prefix in self._adapter.source.prefixes():
            self._start_task("watch", functools.partial(self._watcher.watch_prefix, prefix))
        self._start_task("tick", self._tick)
        self._start_task("heartbeats", self._fleet.run_heartbeats)
        self._start_task("replica-sync", self._fleet.run_replica_sync)
        config = self.state.config
        self.state.log.write("process.started", host=config.host_id, zone=config.zone)
        await self._stopped.wait()
        await self._close()

    def start_drain(self) -> None:
        """Starts a graceful shutdown: leaves the load balancer and finishes open requests."""
        if self.state.stopping:
            return
        self.state.stopping = True
        grace_end_ms = self.state.clock.now_ms() + self.state.config.bounds.grace_ms
        self.state.final_answers_at_ms = grace_end_ms - ANSWER_RESERVE_MS
        self.state.log.write("process.draining", open_requests=self.state.open_requests)
        self._fleet.leave()
        for listener in self._listeners:
            listener.start_drain()
        self._tasks.append(asyncio.create_task(self._drain(grace_end_ms)))

    def reload(self) -> None:
        """Reads the settings again; keeps the current ones if the new ones are invalid."""
        match self._adapter.reload():
            case Result(tag="ok", ok=config):
                self.state.reload(config)
                self.state.log.write("process.reloaded", seeds=len(config.seeds))
            case Result(error=fault):
                self.state.log.write("process.reload-failed", fault=str(fault))

    # ---- tasks ---------------------------------------------------------------------------------

    def _start_task(self, name: str, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        task = background.keep_running(name, self.state, work)
        self._tasks.append(asyncio.create_task(task))

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            paused_ms = self._pause.tick()
            if paused_ms:
                self.state.hosts.on_pause(paused_ms)
                self.state.log.write("process.paused", paused_ms=paused_ms)
            self._client.close_idle()
            self.state.metrics.dropped_log_lines.set(self._output.dropped_count)

    async def _drain(self, grace_end_ms: int) -> None:
        await asyncio.sleep(BALANCER_REMOVAL_MS / _MS_PER_S)
        # Requests that arrive after this point could not be finished before the process ends.
        self.state.closed = True
        await self._wait_until_idle(grace_end_ms - ANSWER_RESERVE_MS)
        for listener in self._listeners:
            listener.stop_accepting()
        self.state.log.write("process.ending", **self._open_counts())
        self._callers.stop()
        for listener in self._listeners:
            listener.refuse_unfinished_heads()
        await asyncio.sleep(LAST_REQUESTS_MS / _MS_PER_S)
        await self._wait_until_idle(grace_end_ms - CLOSE_RESERVE_MS)
        self._stopped.set()

    async def _wait_until_idle(self, end_ms: int) -> None:
        """Closes idle connections until none is left, or a time has come.

        One that has not been idle for long is about to carry a request, which must be answered.
        """
        while self.state.clock.now_ms() < end_ms:
            for listener in self._listeners:
                listener.close_idle(MIN_IDLE_S)
            if not any(listener.phases() for listener in self._listeners) and not len(self._stages):
                return
            await asyncio.sleep(DRAIN_POLL_S)

    def _open_counts(self) -> dict[str, Any]:
        return {
            "open_requests": self.state.open_requests,
            "stages": len(self._stages),
            "connections": self._busy_connections(),
        }

    def _busy_connections(self) -> dict[str, int]:
        """Returns the number of connections that are not idle, by phase."""
        phases = sum((listener.phases() for listener in self._listeners), collections.Counter())
        del phases[caller_connection.ConnectionPhase.IDLE]
        return {phase.value: count for phase, count in phases.items()}

    # ---- listeners -----------------------------------------------------------------------------

    async def _listen(self) -> None:
        config = self.state.config

        def limits() -> listening.ConnectionLimits:
            widest = self._callers.limits
            whole_head = listening.ConnectionLimits(header_size_bytes=widest.header_size_bytes)
            return listening.ConnectionLimits(
                header_size_bytes=max(HEADER_CEILING_BYTES, widest.header_size_bytes),
                idle_ms=widest.idle_ms + IDLE_MARGIN_MS,
                head_ms=widest.header_ms + IDLE_MARGIN_MS,
                head_size_bytes=whole_head.head_size_bytes,
            )

        serve = http_listener.HttpListener.serve
        budget, clock = self.state.receive_budget, self.state.clock
        # Readiness is served first, so that the load balancer learns early that this host is not
        # ready.
        readiness = web.Server(self._readiness)
        metrics = web.Server(self._metrics)
        self._listeners = [
            await serve(
                readiness, config.readiness_address, listening.ConnectionLimits, budget, clock
            ),
            await serve(self._callers.server(), config.ingress_address, limits, budget, clock),
            await serve(metrics, config.metrics_address, listening.ConnectionLimits, budget, clock),
        ]
        if self.state.stopping:
            for listener in self._listeners:
                listener.start_drain()

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        del request
        return web.Response(status=200 if self.state.is_ready() else 503)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        del request
        self.state.measure_engine_load()
        return web.Response(body=self.state.metrics.exposition(), content_type="text/plain")

    async def _close(self) -> None:
        for listener in self._listeners:
            listener.stop_accepting()
        for task in self._tasks:
            task.cancel()
        self._client.close()
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*self._tasks, return_exceptions=True)
                await self._fleet.close()
                await self._stages.close()
                await self._adapter.close()
        except TimeoutError:
            # The kernel closes the remaining connections when the process exits.
            self.state.log.write("process.close-timeout")
        self.state.log.write("process.stopped", **self._open_counts())
        self._output.flush()


class GatewayService(aiomisc.Service):
    """Runs a `GatewayDaemon` as an aiomisc service."""

    config: gateway_settings.GatewaySettings
    make_adapter: Callable[[], Adapter]
    output: decision_log.BoundedOutput
    finished: asyncio.Event

    async def start(self) -> None:
        """Serves; SIGTERM and SIGINT start a graceful shutdown, SIGHUP reloads the settings."""
        daemon = GatewayDaemon.from_config(self.config, self.make_adapter(), self.output)
        handlers = {
            signal.SIGTERM: daemon.start_drain,
            signal.SIGINT: daemon.start_drain,
            signal.SIGHUP: daemon.reload,
        }
        try:
            with signals.handled(handlers):
                self.start_event.set()
                await daemon.run()
        finally:
            self.finished.set()


async def run(
    config: gateway_settings.GatewaySettings,
    make_adapter: Callable[[], Adapter],
    output: decision_log.BoundedOutput,
) -> None:
    """Runs one gateway process until it has drained."""
    finished = asyncio.Event()
    service = GatewayService(
        config=config, make_adapter=make_adapter, output=output, finished=finished
    )
    # Entered as an asynchronous context, so that aiomisc creates no thread pool.
    async with aiomisc.entrypoint(service, log_config=False, catch_signals=()):
        await finished.wait()
