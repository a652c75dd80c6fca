"""Reads the configuration from the platform and from peers, and passes it to the fleet view."""

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

# With the margin of the HTTP client, a watch on an unresponsive connection is replaced after 6 s.
WATCH_MS = 4_000
PLATFORM_RETRY_S = 1.0
ROLE_POLL_S = 0.5
FETCH_TIMEOUT_MS = 2_000
# Period of plain reads. A changed value that reuses a version number does not end a watch; only a
# plain read finds it.
READ_PERIOD_MS = 60_000
# Number of peers that are asked for rosters of skipped versions.
ROSTER_GAP_PEERS = 3
_MS_PER_S = 1_000


@attrs.frozen
class PublishedConfiguration:
    """A manifest as published on the platform, not yet validated."""

    version: int
    document: Any


class Platform(Protocol):
    """Client of the platform's configuration service."""

    async def read(self) -> Result[PublishedConfiguration | None, str]:
        """Returns the current value, None if nothing is published."""

    async def watch(
        self, after_version: int, wait_ms: int
    ) -> Result[PublishedConfiguration | None, str]:
        """Returns a value after `after_version`, None if there is none within `wait_ms`."""


class Peers(Protocol):
    """Client for the configuration of other hosts."""

    async def fetch(
        self, address: str, query: configuration.SectionsQuery, timeout_ms: int
    ) -> Result[configuration.SectionsAnswer, str]:
        """Queries the host at a peer address."""


@attrs.define(eq=False)
class ConfigurationReader:
    """Background tasks that keep the configuration of one host up to date."""

    _view: fleet_view.FleetView
    _platform: Platform
    _peers: Peers
    _seeds: tuple[str, ...]
    _rng: random.Random
    send: Callable[[list[messages.Outgoing]], None]
    _fetch_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _seen_version: int = 0
    _last_read_ms: int | None = None

    def request_fetch(self) -> None:
        """Starts a fetch if a peer has announced a newer version."""
        if self._view.fetch_source() is not None:
            self._fetch_requested.set()

    async def start(self) -> None:
        """Fetches from the seeds in random order until a version is in force or all have failed."""
        seeds = list(self._seeds)
        self._rng.shuffle(seeds)
        for address in seeds:
            if self._view.version() is not None:
                return
            await self._fetch(address)

    async def watch(self) -> None:
        """Watches the platform whenever the fleet view selects this host for it."""
        while True:
            if not self._view.should_watch_platform():
                await asyncio.sleep(ROLE_POLL_S)
                continue
            match await self._query_platform():
                case Result(tag="ok", ok=PublishedConfiguration() as published):
                    await self._offer(published)
                case Result(tag="ok"):
                    pass
                case _:
                    self._view.count("configuration.platform_errors", 1)
                    # Random jitter, as all hosts lose the platform at the same time.
                    await asyncio.sleep(PLATFORM_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def follow(self) -> None:
        """Fetches the newer versions that peers announce."""
        while True:
            await self._fetch_requested.wait()
            self._fetch_requested.clear()
            address = self._view.fetch_source()
            if address is None:
                continue
            if not await self._fetch(address):
                self._view.follower.on_fetch_failure(address, self._view.clock.now_ms())
            self.request_fetch()

    async def _query_platform(self) -> Result[PublishedConfiguration | None, str]:
        now_ms = self._view.clock.now_ms()
        self._view.count("configuration.platform_calls", 1)
        if self._last_read_ms is None or now_ms - self._last_read_ms >= READ_PERIOD_MS:
            self._last_read_ms = now_ms
            return await self._platform.read()
        after_version = max(self._seen_version, self._view.configuration_state.version)
        return await self._platform.watch(after_version, WATCH_MS)

    async def _offer(self, published: PublishedConfiguration) -> None:
        # Also advances for a refused version, which would otherwise end every watch immediately.
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
        # A reader that skipped versions may lack rosters of the overlap window.
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
                        case Result(error=configuration.SectionHashesRequired()):
                            query = self._view.configuration_state.query(all_sections=True)
                        case _:
                            return False
                case _:
                    self._view.count("configuration.fetch_errors", 1)
                    return False
        return False
