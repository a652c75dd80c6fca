"""Other hosts of the fleet, learned by gossip from a few seeds.

Every host counts beats and passes the highest count that it knows of each host on. A host is alive
while its count grows; no roster is needed, so hosts may come and go without an operator.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import attrs

# Beats and their spread.
BEAT_MS = 400
# A host that has just started beats faster, so that hosts that start together agree soon on the one
# that is in charge.
FIRST_BEAT_MS = 100
FIRST_BEATS = 20
FANOUT = 3
# A host whose count has not grown for this long is not alive; about four beats and their spread.
SILENCE_MS = 2_000
# Hosts that have been silent for longer are no longer counted as possibly running.
FORGET_MS = 60_000
# Hosts in one datagram of at most 1,200 bytes.
MAX_ENTRIES = 22
# The strongest hosts are in every datagram, so that all hosts agree on which of them are alive.
MAX_STRONGEST = 8
# Shared work goes to hosts with at least this part of the processor time of the strongest one.
STRONG_FRACTION = 0.75


@attrs.frozen
class HostBeat:
    """What is passed on of one host.

    Attributes:
        address: Peer address, which is the host's identity.
        incarnation: Unix time of its start in milliseconds.
        beat: Number of beats since its start.
        zone: Availability zone.
        leaving: Whether it is in a graceful shutdown.
        horizons: Revision of the store up to which it knows all changes, by prefix.
        core_count: Processor time that it has, in cores.
    """

    address: str
    incarnation: int
    beat: int
    zone: str
    leaving: bool = False
    horizons: tuple[int, ...] = ()
    core_count: float = 1.0


@attrs.define
class _Known:
    beat: HostBeat
    heard_ms: int


@attrs.define(eq=False)
class HostTable:
    """Hosts that one host knows of.

    Attributes:
        own: What this host says of itself.
    """

    own: HostBeat
    _rng: random.Random
    _seeds: set[str]
    _known: dict[str, _Known] = attrs.field(factory=dict)
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
        """Returns the table of a host that knows only seeds."""
        own = HostBeat(address, incarnation, 0, zone, core_count=core_count)
        return cls(own, rng, set(seeds) - {address})

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Adds addresses to contact."""
        self._seeds |= set(seeds) - {self.own.address}

    def beat(self, horizons: tuple[int, ...], now_ms: int) -> list[str]:
        """Counts one beat; returns the addresses to gossip with."""
        self.own = attrs.evolve(self.own, beat=self.own.beat + 1, horizons=horizons)
        alive = self.alive(now_ms)
        chosen = self._rng.sample(alive, min(FANOUT, len(alive)))
        # A seed now and then joins parts of the fleet that have lost each other.
        others = sorted(self._seeds - set(alive))
        if others and (not alive or self.own.beat % 4 == 1):
            chosen += [self._rng.choice(others)] if alive else others
        return chosen

    @property
    def beat_interval_ms(self) -> int:
        """Returns the time until the next beat."""
        return FIRST_BEAT_MS if self.own.beat < FIRST_BEATS else BEAT_MS

    def leave(self) -> list[str]:
        """Announces a graceful shutdown; returns the addresses to tell."""
        self.own = attrs.evolve(self.own, leaving=True, beat=self.own.beat + 1)
        return list(self._known)

    def entries(self, now_ms: int) -> list[HostBeat]:
        """Returns what to pass on: this host, the strongest ones alive and a sample of the rest."""
        alive = [known.beat for known in self._known.values() if self._fresh(known, now_ms)]
        self._rng.shuffle(alive)
        alive.sort(key=lambda beat: -beat.core_count)
        strongest, rest = alive[:MAX_STRONGEST], alive[MAX_STRONGEST:]
        count = min(MAX_ENTRIES - 1 - len(strongest), len(rest))
        return [self.own, *strongest, *self._rng.sample(rest, count)]

    def merge(self, beats: Iterable[HostBeat], now_ms: int) -> list[str]:
        """Takes over what another host passed on; returns the addresses of new hosts."""
        appeared = []
        for beat in beats:
            if beat.address == self.own.address:
                continue
            known = self._known.get(beat.address)
            if known is None:
                self._known[beat.address] = _Known(beat, now_ms)
                appeared.append(beat.address)
            elif (beat.incarnation, beat.beat) > (known.beat.incarnation, known.beat.beat):
                known.beat = beat
                known.heard_ms = now_ms
        return appeared

    def on_pause(self, paused_ms: int) -> None:
        """Does not count a pause of this process against the others."""
        for known in self._known.values():
            known.heard_ms += paused_ms

    def alive(self, now_ms: int) -> list[str]:
        """Returns the addresses of the other hosts that are alive."""
        return [address for address, known in self._known.items() if self._fresh(known, now_ms)]

    def avoid(self, address: str, until_ms: int) -> None:
        """Does not choose a host for shared work until a time, after it failed."""
        self._avoided_until_ms[address] = until_ms

    def lead(self, now_ms: int) -> str:
        """Returns the host that is in charge of shared work.

        It is the one of the strongest hosts that has been running for longest, so that a host that
        starts again does not take the work from the one that has it.
        """
        candidates = self.candidates(now_ms)
        return min(candidates, key=lambda beat: (beat.incarnation, beat.address)).address

    def candidates(self, now_ms: int) -> list[HostBeat]:
        """Returns the strongest hosts, this one included if it belongs to them."""
        able = [
            known.beat
            for address, known in self._known.items()
            if self._fresh(known, now_ms)
            and known.beat.horizons
            and all(known.beat.horizons)
            and not known.beat.leaving
            and self._avoided_until_ms.get(address, 0) <= now_ms
        ]
        if not self.own.leaving or not able:
            able.append(self.own)
        least = STRONG_FRACTION * max(beat.core_count for beat in able)
        return [beat for beat in able if beat.core_count >= least]

    def known_addresses(self, now_ms: int) -> list[str]:
        """Returns all hosts that may be running, this one included."""
        for address, known in list(self._known.items()):
            if now_ms - known.heard_ms > FORGET_MS:
                del self._known[address]
        return sorted({self.own.address, *self._known, *self._seeds})

    def horizons(self, now_ms: int) -> dict[str, tuple[int, ...]]:
        """Returns how much of the store the other live hosts know, by address."""
        return {
            address: known.beat.horizons
            for address, known in self._known.items()
            if self._fresh(known, now_ms)
        }

    def _fresh(self, known: _Known, now_ms: int) -> bool:
        return now_ms - known.heard_ms <= SILENCE_MS
