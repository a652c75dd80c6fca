"""Gossip membership: the other hosts of the fleet, discovered from a few seeds.

Every host increments a heartbeat counter and gossips the highest counter that it knows of each
host. A host counts as alive while its counter grows. No roster is needed, so hosts may join and
leave without an operator.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import attrs

# Interval between heartbeats before jitter.
HEARTBEAT_INTERVAL_MS = 400
# A host that has just started sends heartbeats faster, so that hosts that start together soon agree
# on the leader.
STARTUP_HEARTBEAT_INTERVAL_MS = 100
STARTUP_HEARTBEAT_COUNT = 20
# Hosts that receive each heartbeat.
GOSSIP_FANOUT = 3
# A host whose counter has not grown for this long is not alive: about four heartbeats with jitter.
LIVENESS_TIMEOUT_MS = 2_000
# A host that has not been heard of for this long no longer counts as possibly running.
EXPIRY_MS = 60_000
# Hosts that fit into one datagram of at most 1,200 bytes.
MAX_HOSTS_PER_DATAGRAM = 22
# The hosts with the most cores are in every datagram, so that all hosts agree on which of them are
# alive.
MAX_LARGEST_HOSTS = 8
# Only hosts with at least this fraction of the largest core count are eligible for shared work.
MIN_CORE_FRACTION = 0.75


@attrs.frozen
class HostBeat:
    """Gossiped state of one host.

    Attributes:
        address: Peer address, which is the host's identity.
        incarnation: Unix time of its start in milliseconds.
        beat: Heartbeat counter since its start.
        zone: Availability zone.
        leaving: Whether the host is in a graceful shutdown.
        horizons: Position in the store's history up to which the host knows all changes, as a
            number, one for each prefix; 0 if nothing is known.
        core_count: Processor capacity in cores.
    """

    address: str
    incarnation: int
    beat: int
    zone: str
    leaving: bool = False
    horizons: tuple[int, ...] = ()
    core_count: float = 1.0


@attrs.define
class _KnownHost:
    beat: HostBeat
    last_heard_ms: int


@attrs.define(eq=False)
class HostTable:
    """Membership view of one host.

    Attributes:
        local: State that this host gossips about itself.
    """

    local: HostBeat
    _rng: random.Random
    _seeds: set[str]
    _known: dict[str, _KnownHost] = attrs.field(factory=dict)
    _avoided_until_ms: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def create(
        cls,
        address: str,
        zone: str,
        incarnation: int,
        seeds: Iterable[str],
        rng: random.Random,
        *,
        core_count: float = 1.0,
    ) -> HostTable:
        """Returns the table of a host that knows only its seeds."""
        own = HostBeat(address, incarnation, 0, zone, core_count=core_count)
        return cls(own, rng, set(seeds) - {address})

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Adds seed addresses."""
        self._seeds |= set(seeds) - {self.local.address}

    def next_heartbeat(self, horizons: tuple[int, ...], now_ms: int) -> list[str]:
        """Increments the heartbeat counter; returns the addresses to gossip with."""
        self.local = attrs.evolve(self.local, beat=self.local.beat + 1, horizons=horizons)
        alive = self.alive(now_ms)
        chosen = self._rng.sample(alive, min(GOSSIP_FANOUT, len(alive)))
        # Contacting a seed at every fourth heartbeat merges partitions that have lost each other.
        others = sorted(self._seeds - set(alive))
        if others and (not alive or self.local.beat % 4 == 1):
            chosen += [self._rng.choice(others)] if alive else others
        return chosen

    @property
    def heartbeat_interval_ms(self) -> int:
        """Returns the time until the next heartbeat before jitter."""
        return (
            STARTUP_HEARTBEAT_INTERVAL_MS
            if self.local.beat < STARTUP_HEARTBEAT_COUNT
            else HEARTBEAT_INTERVAL_MS
        )

    def leave(self) -> list[str]:
        """Marks this host as leaving; returns the addresses to notify."""
        self.local = attrs.evolve(self.local, leaving=True, beat=self.local.beat + 1)
        return list(self._known)

    def gossip_entries(self, now_ms: int) -> list[HostBeat]:
        """Returns the entries to gossip: this host, the largest live ones, a sample of the rest."""
        alive = [known.beat for known in self._known.values() if self._is_alive(known, now_ms)]
        self._rng.shuffle(alive)
        alive.sort(key=lambda beat: -beat.core_count)
        largest, rest = alive[:MAX_LARGEST_HOSTS], alive[MAX_LARGEST_HOSTS:]
        count = min(MAX_HOSTS_PER_DATAGRAM - 1 - len(largest), len(rest))
        return [self.local, *largest, *self._rng.sample(rest, count)]

    def merge(self, beats: Iterable[HostBeat], now_ms: int) -> list[str]:
        """Merges the state gossiped by another host; returns the addresses of new hosts."""
        appeared = []
        for beat in beats:
            if beat.address == self.local.address:
                continue
            known = self._known.get(beat.address)
            if known is None:
                self._known[beat.address] = _KnownHost(beat, now_ms)
                appeared.append(beat.address)
            elif (beat.incarnation, beat.beat) > (known.beat.incarnation, known.beat.beat):
                known.beat = beat
                known.last_heard_ms = now_ms
        return appeared

    def on_pause(self, paused_ms: int) -> None:
        """Extends the liveness timeout of all hosts by a pause of this process."""
        for known in self._known.values():
            known.last_heard_ms += paused_ms

    def alive(self, now_ms: int) -> list[str]:
        """Returns the addresses of the other live hosts."""
        return [address for address, known in self._known.items() if self._is_alive(known, now_ms)]

    def avoid(self, address: str, until_ms: int) -> None:
        """Excludes a host from shared work until a monotonic time, after it failed."""
        self._avoided_until_ms[address] = until_ms

    def leader(self, now_ms: int) -> str:
        """Returns the address of the leader, which runs shared work.

        It is the longest-running candidate, so that a host that restarts does not take the work
        from the current leader.
        """
        candidates = self.candidates(now_ms)
        return min(candidates, key=lambda beat: (beat.incarnation, beat.address)).address

    def candidates(self, now_ms: int) -> list[HostBeat]:
        """Returns the hosts that may lead: the eligible ones with the most cores.

        A live host is eligible if it has read every prefix of the store and is neither leaving nor
        avoided. This host is eligible unless it is leaving while another host is eligible.
        """
        eligible = [
            known.beat
            for address, known in self._known.items()
            if self._is_alive(known, now_ms)
            and known.beat.horizons
            and all(known.beat.horizons)
            and not known.beat.leaving
            and self._avoided_until_ms.get(address, 0) <= now_ms
        ]
        if not self.local.leaving or not eligible:
            eligible.append(self.local)
        min_core_count = MIN_CORE_FRACTION * max(beat.core_count for beat in eligible)
        return [beat for beat in eligible if beat.core_count >= min_core_count]

    def known_addresses(self, now_ms: int) -> list[str]:
        """Returns the addresses of all hosts that may be running, including this one."""
        for address, known in list(self._known.items()):
            if now_ms - known.last_heard_ms > EXPIRY_MS:
                del self._known[address]
        return sorted({self.local.address, *self._known, *self._seeds})

    def horizons(self, now_ms: int) -> dict[str, tuple[int, ...]]:
        """Returns the horizons of the other live hosts, by address."""
        return {
            address: known.beat.horizons
            for address, known in self._known.items()
            if self._is_alive(known, now_ms)
        }

    def _is_alive(self, known: _KnownHost, now_ms: int) -> bool:
        return now_ms - known.last_heard_ms <= LIVENESS_TIMEOUT_MS
