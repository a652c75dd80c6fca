"""Connects the fleet view of this host to its sockets and background tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
from expression import Error
from expression import Ok
from expression import Result
import logbook

from sesamehold.connection import configuration_exchange
from sesamehold.connection import datagram
from sesamehold.connection import peer_client
from sesamehold.connection import platform_http
from sesamehold.connection import seal
from sesamehold.process import configuration_reader
from sesamehold.process import listening
from sesamehold.process import messages
from sesamehold.process import node as nodes

TICK_S = 0.1
GAUGE_PERIOD_MS = 1_000
MANIFEST_VALUE = "manifest"

_LOG = logbook.Logger("fleet")


@attrs.frozen(eq=False)
class PublishedManifest:
    """Reads the published manifest; implements `configuration_reader.Platform`."""

    _client: platform_http.PlatformClient

    async def read(self) -> Result[configuration_reader.PublishedConfiguration | None, str]:
        """Returns the current manifest."""
        return _published(await self._client.read(MANIFEST_VALUE))

    async def watch(
        self, after_version: int, wait_ms: int
    ) -> Result[configuration_reader.PublishedConfiguration | None, str]:
        """Returns a version newer than `after_version`, or None after `wait_ms`."""
        return _published(await self._client.watch(MANIFEST_VALUE, after_version, wait_ms))


def _published(
    result: Result[
        platform_http.PublishedValue | platform_http.Unchanged, platform_http.PlatformUnavailable
    ],
) -> Result[configuration_reader.PublishedConfiguration | None, str]:
    match result:
        case Result(tag="ok", ok=platform_http.PublishedValue() as value):
            return Ok(configuration_reader.PublishedConfiguration(value.version, value.document))
        case Result(tag="ok"):
            return Ok(None)
        case Result(error=error):
            return Error(error.reason)


def _report_failure(task: asyncio.Task[None]) -> None:
    # Only a programming error makes one of these tasks raise; it must not go unnoticed.
    if not task.cancelled() and task.exception() is not None:
        _LOG.error("task failed", extra={"task": task.get_name(), "error": repr(task.exception())})


def _discard(*values: object) -> None:
    del values


@attrs.define(eq=False)
class FleetService:
    """Runs membership, notices and configuration of this host over UDP and HTTP."""

    _node: nodes.Node
    _reader: configuration_reader.ConfigurationReader
    _endpoint: datagram.DatagramEndpoint
    _on_notices: Callable[[list[messages.NoticeBody]], None]
    _tasks: list[asyncio.Task[None]] = attrs.field(factory=list)

    @classmethod
    def from_config(
        cls,
        node: nodes.Node,
        platform: platform_http.PlatformClient,
        make_client: Callable[[], peer_client.PeerClient],
        sealer: seal.Sealer,
        on_notices: Callable[[list[messages.NoticeBody]], None],
    ) -> FleetService:
        """Creates a service that is not listening yet.

        Args:
            node: State of this host's decision logic.
            platform: Client of the configuration service.
            make_client: Creates a client for one-off calls to hosts.
            sealer: Authenticates the datagrams.
            on_notices: Called with notices of other hosts.
        """
        config = node.config
        endpoint = datagram.DatagramEndpoint(sealer, on_envelope=_discard, count=node.metrics.count)
        reader = configuration_reader.ConfigurationReader(
            view=node.fleet,
            platform=PublishedManifest(platform),
            peers=configuration_exchange.ConfigurationPeers(make_client),
            seeds=tuple(seed for seed in config.seeds if seed != config.peer_address),
            rng=node.rng,
            send=_discard,
        )
        result = cls(node, reader, endpoint, on_notices)
        endpoint.on_envelope = result.receive
        reader.send = result.apply
        return result

    async def start(self) -> None:
        """Listens on the peer address and starts reading the configuration."""
        address = listening.Address.parse(self._node.config.peer_address)
        await self._endpoint.start(address)
        self._tasks = [
            asyncio.create_task(work)
            for work in (
                self._tick(),
                self._reader.start(),
                self._reader.watch(),
                self._reader.follow(),
            )
        ]
        for task in self._tasks:
            task.add_done_callback(_report_failure)

    def receive(self, envelope: messages.Envelope, source: str) -> None:
        """Passes a received envelope to the fleet view and applies the result."""
        self.apply(self._node.fleet.receive(envelope, source))

    def apply(self, outgoing: list[messages.Outgoing]) -> None:
        """Sends datagrams and propagates changes of the fleet view to the node and callbacks."""
        for item in outgoing:
            self._endpoint.send(item)
        view = self._node.fleet
        version = view.version()
        if version is not None and version is not self._node.version:
            self._node.configure(version)
        for change in view.changes:
            _LOG.info(change.event, extra=change.fields)
        view.changes.clear()
        if view.received_notices:
            received, view.received_notices = view.received_notices, []
            self._on_notices(received)
        self._reader.request_fetch()

    def publish(self, body: messages.NoticeBody) -> None:
        """Publishes an urgent notice to the other hosts."""
        self.apply(self._node.fleet.publish(body))

    def leave(self) -> None:
        """Announces the graceful shutdown of this host."""
        self.apply(self._node.fleet.announce_leaving())

    async def close(self) -> None:
        """Cancels the tasks, announces that this host has left, and closes the socket."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.apply(self._node.fleet.announce_left())
        self._endpoint.close()

    async def _tick(self) -> None:
        view = self._node.fleet
        next_gauges_ms = 0
        while True:
            self.apply(view.tick())
            if view.clock.now_ms() >= next_gauges_ms:
                next_gauges_ms = view.clock.now_ms() + GAUGE_PERIOD_MS
                for name, value in view.gauges().items():
                    self._node.metrics.gauge(name, value)
            await asyncio.sleep(TICK_S)
