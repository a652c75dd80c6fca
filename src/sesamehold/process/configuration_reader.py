"""Reads the configuration from the platform and from peers, and offers it to the decision state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import Any
from typing import Protocol

import attrs
from expression import Result

from sesamehold.process import configuration
from sesamehold.process import fleet_view
from sesamehold.process import messages

# With the margin of the HTTP client, a watch whose connection went silent is replaced after 6 s.
WATCH_MS = 4_000
PLATFORM_RETRY_S = 1.0
IDLE_S = 0.5
FETCH_TIMEOUT_MS = 2_000
# A value whose number was used again does not end a watch; a plain read finds it.
REREAD_MS = 60_000
ROSTER_GAP_PEERS = 3
_MS_PER_S = 1_000


@attrs.frozen
class Published:
    """A value of the platform."""

    version: int
    document: Any


class Platform(Protocol):
    """Access to the published manifest."""

    async def read(self) -> Result[Published | None, str]:
        """Returns the current value."""

    async def watch(self, after_version: int, wait_ms: int) -> Result[Published | None, str]:
        """Returns a value after `after_version`, None if there is none within `wait_ms`."""


class Peers(Protocol):
    """Access to the configuration of other hosts."""

    async def fetch(
        self, address: str, query: configuration.SectionsQuery, timeout_ms: int
    ) -> Result[configuration.SectionsAnswer, str]:
        """Asks one host."""


@attrs.define(eq=False)
class ConfigurationReader:
    """Tasks that keep the configuration of one host up to date."""

    _view: fleet_view.FleetView
    _platform: Platform
    _peers: Peers
    _seeds: tuple[str, ...]
    _rng: random.Random
    send: Callable[[list[messages.Outgoing]], None]
    _fetch_wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _seen_version: int = 0
    _last_read_ms: int | None = None

    def poke(self) -> None:
        """Starts a fetch if a peer has announced a newer version."""
        if self._view.fetch_source() is not None:
            self._fetch_wanted.set()

    async def start(self) -> None:
        """Asks the seeds for their version; ends once one has answered or all have failed."""
        seeds = list(self._seeds)
        self._rng.shuffle(seeds)
        for address in seeds:
            if self._view.version() is not None:
                return
            await self._fetch(address)

    async def watch(self) -> None:
        """Watches the platform for as long as this host is a reader."""
        while True:
            if not self._view.should_watch():
                await asyncio.sleep(IDLE_S)
                continue
            match await self._ask_platform():
                case Result(tag="ok", ok=Published() as published):
                    await self._offer(published)
                case Result(tag="ok"):
                    pass
                case _:
                    self._view.count("configuration.platform_errors", 1)
                    # Spreads the retries of hosts that lost the platform together.
                    await asyncio.sleep(PLATFORM_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def follow(self) -> None:
        """Fetches newer versions from peers."""
        while True:
            await self._fetch_wanted.wait()
            self._fetch_wanted.clear()
            address = self._view.fetch_source()
            if address is None:
                continue
            if not await self._fetch(address):
                self._view.follower.on_failure(address, self._view.clock.now_ms())
            self.poke()

    async def _ask_platform(self) -> Result[Published | None, str]:
        now_ms = self._view.clock.now_ms()
        self._view.count("configuration.platform_calls", 1)
        if self._last_read_ms is None or now_ms - self._last_read_ms >= REREAD_MS:
            self._last_read_ms = now_ms
            return await self._platform.read()
        after_version = max(self._seen_version, self._view.configuration_state.version)
        return await self._platform.watch(after_version, WATCH_MS)

    async def _offer(self, published: Published) -> None:
        # A refused version must not end the next watch at once.
        self._seen_version = max(self._seen_version, published.version)
        previous = self._view.configuration_state.version
        match self._view.offer_document(published.document):
            case Result(tag="ok", ok=outgoing):
                self.send(outgoing)
                if 0 < previous < self._view.configuration_state.version - 1:
                    await self._fill_roster_gap(previous)
            case _:
                pass

    async def _fill_roster_gap(self, known_version: int) -> None:
        # A reader that skipped versions may lack a roster of the overlap window.
        query = attrs.evolve(self._view.configuration_state.query(), known_version=known_version)
        for host_id in self._view.membership.sample(ROSTER_GAP_PEERS):
            address = self._view.address_of(host_id)
            if address is None:
                continue
            match await self._peers.fetch(address, query, FETCH_TIMEOUT_MS):
                case Result(tag="ok", ok=answer) if (
                    answer.version <= self._view.configuration_state.version
                ):
                    self._view.apply_answer(answer)
                case _:
                    pass

    async def _fetch(self, address: str) -> bool:
        query = self._view.configuration_state.query()
        for _ in range(2):
            match await self._peers.fetch(address, query, FETCH_TIMEOUT_MS):
                case Result(tag="ok", ok=answer):
                    self._view.count("configuration.fetches", 1)
                    match self._view.apply_answer(answer):
                        case Result(tag="ok", ok=outgoing):
                            self.send(outgoing)
                            return True
                        case Result(error=configuration.AskWithSections()):
                            query = self._view.configuration_state.query(all_sections=True)
                        case _:
                            return False
                case _:
                    self._view.count("configuration.fetch_errors", 1)
                    return False
        return False
