"""Simulated network of the fleet views of several hosts, in one process with a manual clock.

The decision state and the encoding of datagrams are those of the daemon. Only the sockets are
replaced: datagrams can be lost, duplicated, delayed, reordered and blocked by a partition.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import functools
import heapq
import random
import time

import attrs
from expression import Result

from sesamehold.connection import configuration_exchange
from sesamehold.connection import datagram
from sesamehold.connection import seal
from sesamehold.process import clock as clocks
from sesamehold.process import configuration
from sesamehold.process import configuration_reader
from sesamehold.process import fleet_view
from sesamehold.process import messages
from sesamehold.version import manifest
from sesamehold.version import sections

TICK_MS = 100
_PLATFORM_RETRY_MS = 1_000
_SEALER = seal.Sealer.from_keys(("key-of-the-simulated-network",))


@attrs.frozen
class Faults:
    """Faults of the simulated network.

    Attributes:
        loss: Fraction of datagrams and calls that are lost.
        duplication: Fraction of datagrams that arrive twice.
        delay_ms: Minimum and maximum delay of a datagram.
    """

    loss: float = 0.0
    duplication: float = 0.0
    delay_ms: tuple[int, int] = (1, 3)


@attrs.define(eq=False)
class SimulatedHost:
    """One simulated host; a paused host keeps its state and queues datagrams in its inbox."""

    view: fleet_view.FleetView
    address: str
    running: bool = True
    paused: bool = False
    inbox: list[tuple[bytes, str]] = attrs.field(factory=list)
    fetching: bool = False
    polling: bool = False
    seen_version: int = 0
    started_ms: int = 0
    versions: list[tuple[int, int]] = attrs.field(factory=list)


@attrs.define(eq=False)
class ViewNetwork:
    """Simulates the clock, datagrams, fetches and platform watches of all views."""

    rng: random.Random
    faults: Faults = attrs.field(factory=Faults)
    clock: clocks.ManualClock = attrs.field(factory=clocks.ManualClock)
    hosts: dict[str, SimulatedHost] = attrs.field(factory=dict)
    published: manifest.Manifest | None = None
    platform_down: bool = False
    platform_calls: int = 0
    sent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    sent_bytes: collections.Counter[str] = attrs.field(factory=collections.Counter)
    cpu_ns: int = 0
    manifest_for_host: Callable[[str], manifest.Manifest | None] | None = None
    _groups: dict[str, int] = attrs.field(factory=dict)
    _by_address: dict[str, str] = attrs.field(factory=dict)
    _events: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: int = 0

    # ---- hosts ---------------------------------------------------------------------------------

    def start(self, host_id: str, address: str) -> SimulatedHost:
        """Starts a host, or restarts it without its previous state."""
        view = fleet_view.FleetView.create(host_id, self.clock, random.Random(self.rng.random()))
        host = SimulatedHost(view, address, started_ms=self.clock.now_ms())
        self.hosts[host_id] = host
        self._by_address[address] = host_id
        self._after(self.rng.randrange(TICK_MS), lambda: self._tick(host))
        self._after(1, lambda: self._query_seeds(host))
        return host

    def start_warm(self, candidate: sections.SectionSet) -> None:
        """Starts all hosts of a version as ready, with that version already applied."""
        self.published = candidate.manifest
        for item in candidate.manifest.hosts:
            host = self.start(item.id, item.peer_address)
            host.view.startup.ready = True
            self.run_action(host, functools.partial(self._offer_sections, host, candidate))

    def crash(self, host_id: str) -> None:
        """Ends a host without announcing it to its peers."""
        self.hosts[host_id].running = False

    def pause(self, host_id: str) -> None:
        """Suspends a host's process."""
        self.hosts[host_id].paused = True

    def resume(self, host_id: str) -> None:
        """Resumes a suspended process, which first receives its queued datagrams."""
        host = self.hosts[host_id]
        host.paused = False
        inbox, host.inbox = host.inbox, []
        for data, source in inbox:
            self._deliver(host, data, source)

    def partition(self, *groups: set[str]) -> None:
        """Partitions the network into groups; without arguments, ends the partition."""
        self._groups = {host_id: number for number, group in enumerate(groups) for host_id in group}

    def running(self) -> list[SimulatedHost]:
        """Returns the hosts that have not crashed."""
        return [host for host in self.hosts.values() if host.running]

    def publish(self, version: manifest.Manifest) -> None:
        """Publishes a manifest on the platform."""
        self.published = version
        for host in self.running():
            if host.polling:
                self._after(self._delay_ms(), functools.partial(self._answer_poll, host))

    def run(self, duration_ms: int) -> None:
        """Advances the clock and runs all events that become due."""
        end_ms = self.clock.now_ms() + duration_ms
        while self._events and self._events[0][0] <= end_ms:
            at_ms, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0, at_ms - self.clock.now_ms()))
            action()
        self.clock.advance(end_ms - self.clock.now_ms())

    # ---- events --------------------------------------------------------------------------------

    def _after(self, delay_ms: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (self.clock.now_ms() + delay_ms, self._sequence, action))

    def _delay_ms(self) -> int:
        return self.rng.randint(*self.faults.delay_ms)

    def _is_current(self, host: SimulatedHost) -> bool:
        return host.running and self.hosts[host.view.host_id] is host

    def _tick(self, host: SimulatedHost) -> None:
        if not self._is_current(host):
            return
        if not host.paused:
            self.run_action(host, host.view.tick)
            self._poll(host)
        self._after(TICK_MS, lambda: self._tick(host))

    def run_action(
        self, host: SimulatedHost, action: Callable[[], list[messages.Outgoing]]
    ) -> None:
        """Runs an action of a host and sends the messages that it returns."""
        started_ns = time.thread_time_ns()
        outgoing = action()
        encoded = [(item, datagram.encode(item.envelope, _SEALER)) for item in outgoing]
        self.cpu_ns += time.thread_time_ns() - started_ns
        for item, data in encoded:
            self._send(host, item, data)
        host.view.changes.clear()
        host.view.received_notices.clear()
        version = host.view.configuration_state.version
        if version and (not host.versions or host.versions[-1][1] != version):
            host.versions.append((self.clock.now_ms(), version))
        self._fetch(host)

    def _send(self, host: SimulatedHost, item: messages.Outgoing, data: bytes) -> None:
        kind = type(item.envelope.body).__name__
        self.sent[kind] += 1
        self.sent_bytes[kind] += len(data)
        receiver_id = self._by_address.get(item.address)
        copies = 2 if self.rng.random() < self.faults.duplication else 1
        for _ in range(copies):
            if receiver_id is not None and self._is_delivered(host.view.host_id, receiver_id):
                self._after(
                    self._delay_ms(),
                    lambda: self._deliver(self.hosts[receiver_id], data, host.address),
                )

    def _is_delivered(self, sender: str, receiver: str) -> bool:
        if self._groups.get(sender) != self._groups.get(receiver):
            return False
        return self.rng.random() >= self.faults.loss

    def _deliver(self, host: SimulatedHost, data: bytes, source: str) -> None:
        if not host.running:
            return
        if host.paused:
            host.inbox.append((data, source))
            return
        self.run_action(host, lambda: self._receive(host, data, source))

    def _receive(self, host: SimulatedHost, data: bytes, source: str) -> list[messages.Outgoing]:
        match datagram.decode(data, _SEALER):
            case Result(tag="ok", ok=envelope):
                return host.view.receive(envelope, source)
            case _:
                raise AssertionError("a datagram of the simulated network could not be decoded")

    # ---- configuration -------------------------------------------------------------------------

    def _query_seeds(self, host: SimulatedHost) -> None:
        seeds = [item.address for item in self.running() if item is not host]
        for address in self.rng.sample(seeds, min(3, len(seeds))):
            self._send_query(
                host, address, host.view.configuration_state.query(), retry_in_full=False
            )

    def _fetch(self, host: SimulatedHost) -> None:
        address = host.view.fetch_source()
        if address is None or host.fetching:
            return
        host.fetching = True
        self._send_query(host, address, host.view.configuration_state.query(), retry_in_full=True)

    def _send_query(
        self,
        host: SimulatedHost,
        address: str,
        query: configuration.SectionsQuery,
        *,
        retry_in_full: bool,
    ) -> None:
        peer_id = self._by_address.get(address)
        local_id = host.view.host_id
        if peer_id is None or not self._is_delivered(local_id, peer_id):
            self._after(
                configuration_reader.FETCH_TIMEOUT_MS, lambda: self._fail_fetch(host, address)
            )
            return
        self._after(
            self._delay_ms(),
            lambda: self._answer_query(host, address, query, retry_in_full=retry_in_full),
        )

    def _answer_query(
        self,
        host: SimulatedHost,
        address: str,
        query: configuration.SectionsQuery,
        *,
        retry_in_full: bool,
    ) -> None:
        peer = self.hosts[self._by_address[address]]
        if not peer.running or peer.paused:
            self._after(
                configuration_reader.FETCH_TIMEOUT_MS, lambda: self._fail_fetch(host, address)
            )
            return
        started_ns = time.thread_time_ns()
        answer = peer.view.configuration_state.answer(query, self.clock.now_ms())
        data = configuration_exchange.reply_to_wire(answer).SerializeToString()
        self.cpu_ns += time.thread_time_ns() - started_ns
        self.sent["ConfigurationReply"] += 1
        self.sent_bytes["ConfigurationReply"] += len(data)
        self._after(
            self._delay_ms(),
            lambda: self._apply(host, address, answer, retry_in_full=retry_in_full),
        )

    def _apply(
        self,
        host: SimulatedHost,
        address: str,
        answer: configuration.SectionsAnswer,
        *,
        retry_in_full: bool,
    ) -> None:
        if not self._is_current(host) or host.paused:
            host.fetching = False
            return
        outgoing: list[messages.Outgoing] = []
        started_ns = time.thread_time_ns()
        result = host.view.apply_answer(answer)
        self.cpu_ns += time.thread_time_ns() - started_ns
        match result:
            case Result(tag="ok", ok=accepted):
                outgoing = accepted
            case Result(error=configuration.SectionHashesRequired()) if retry_in_full:
                query = host.view.configuration_state.query(all_sections=True)
                self._send_query(host, address, query, retry_in_full=False)
                return
            case _:
                host.view.follower.on_fetch_failure(address, self.clock.now_ms())
        host.fetching = False
        self.run_action(host, lambda: outgoing)

    def _fail_fetch(self, host: SimulatedHost, address: str) -> None:
        host.fetching = False
        host.view.follower.on_fetch_failure(address, self.clock.now_ms())

    def _poll(self, host: SimulatedHost) -> None:
        if host.polling or not host.view.should_watch_platform():
            return
        host.polling = True
        self.platform_calls += 1
        if self.platform_down:
            self._after(_PLATFORM_RETRY_MS, lambda: self._end_poll(host))
            return
        self._after(self._delay_ms(), lambda: self._answer_poll(host))
        self._after(configuration_reader.WATCH_MS, lambda: self._end_poll(host))

    def _end_poll(self, host: SimulatedHost) -> None:
        host.polling = False

    def _answer_poll(self, host: SimulatedHost) -> None:
        value = (
            self.manifest_for_host(host.view.host_id) if self.manifest_for_host else self.published
        )
        if not self._is_current(host) or host.paused or self.platform_down or value is None:
            return
        known = max(host.seen_version, host.view.configuration_state.version)
        if not host.polling or value.version <= known:
            return
        host.polling = False
        host.seen_version = value.version
        self.run_action(host, lambda: self._offer_manifest(host, value))

    def _offer_sections(
        self, host: SimulatedHost, candidate: sections.SectionSet
    ) -> list[messages.Outgoing]:
        match host.view.offer(candidate):
            case Result(tag="ok", ok=outgoing):
                return outgoing
            case _:
                raise AssertionError("a new host rejected its first version")

    def _offer_manifest(
        self, host: SimulatedHost, value: manifest.Manifest
    ) -> list[messages.Outgoing]:
        match host.view.offer_document(manifest.to_json(value)):
            case Result(tag="ok", ok=outgoing):
                return outgoing
            case _:
                return []
