"""Host lists of manifest versions and the witnesses that follow from them."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import json

import attrs

from sesamehold.version import manifest
from sesamehold.version import rendezvous

MAX_WITNESSES = 9
# A key that was claimed under a superseded roster must have expired before claimants drop that
# roster. Witnesses accept such claims for one retention period, the key lives for another one, and
# hosts may learn of a roster one retention period apart.
CLAIM_WINDOW_PERIODS = 3


def majority(size: int) -> int:
    """Returns the smallest number of members of which any two choices intersect.

    >>> [majority(size) for size in (1, 2, 3, 9)]
    [1, 2, 2, 5]
    """
    return size // 2 + 1


@attrs.frozen
class Roster:
    """The host list of one manifest version, ordered by host id.

    Attributes:
        version: Manifest version in which the list was read.
        hosts: Hosts in order of id.
    """

    version: int
    hosts: tuple[manifest.Host, ...]

    @classmethod
    def from_manifest(cls, version: manifest.Manifest) -> Roster:
        """Returns the host list of a manifest."""
        return cls(version.version, tuple(sorted(version.hosts, key=lambda host: host.id)))

    @property
    def content_hash(self) -> bytes:
        """Returns a hash over ids and zones, on which alone the witness sets depend."""
        text = json.dumps([[host.id, host.zone] for host in self.hosts])
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def host(self, host_id: str) -> manifest.Host | None:
        """Returns the host with this id."""
        return next((host for host in self.hosts if host.id == host_id), None)

    def without(self, host_id: str) -> Roster:
        """Returns the list that remains when a host leaves."""
        return attrs.evolve(self, hosts=tuple(host for host in self.hosts if host.id != host_id))

    def witnesses(self, key: str) -> tuple[manifest.Host, ...]:
        """Returns the witnesses of a key, balanced over availability zones.

        Zones are taken in rendezvous order, round after round, and from each zone its next host in
        rendezvous order, so that the loss of one zone takes as few witnesses as possible.
        """
        by_id = {host.id: host for host in self.hosts}
        zones = rendezvous.ranked({host.zone for host in self.hosts}, key)
        queues = [
            rendezvous.ranked((host.id for host in self.hosts if host.zone == zone), key)
            for zone in zones
        ]
        rounds = max((len(queue) for queue in queues), default=0)
        order = [queue[turn] for turn in range(rounds) for queue in queues if turn < len(queue)]
        return tuple(by_id[host_id] for host_id in order[:MAX_WITNESSES])


@attrs.frozen
class _Superseded:
    roster: Roster
    superseded_ms: int


@attrs.frozen
class RosterWindow:
    """The roster in force and the predecessors whose claims may still matter.

    Attributes:
        retention_ms: How long a superseded roster stays in the window.
    """

    retention_ms: int
    _current: Roster | None = None
    _predecessors: tuple[_Superseded, ...] = ()

    @property
    def current(self) -> Roster | None:
        """Returns the roster in force."""
        return self._current

    def accept(self, roster: Roster, retention_ms: int, now_ms: int) -> RosterWindow:
        """Returns the window after a newer version came into force."""
        kept = tuple(
            item
            for item in self._predecessors
            if now_ms - item.superseded_ms < CLAIM_WINDOW_PERIODS * retention_ms
        )
        changed = self._current is not None and self._current.content_hash != roster.content_hash
        if changed and self._current is not None:
            kept = (_Superseded(self._current, now_ms), *kept)
        return RosterWindow(retention_ms, roster, kept)

    def rosters(self, now_ms: int) -> tuple[Roster, ...]:
        """Returns the rosters that a claimant needs a majority of, newest first."""
        return self._within(CLAIM_WINDOW_PERIODS * self.retention_ms, now_ms)

    def knows(self, content_hash: bytes, now_ms: int) -> bool:
        """Returns whether a witness accepts claims whose newest roster is this one."""
        accepted = self._within(self.retention_ms, now_ms)
        return any(item.content_hash == content_hash for item in accepted)

    def _within(self, period_ms: int, now_ms: int) -> tuple[Roster, ...]:
        if self._current is None:
            return ()
        recent = (item for item in self._predecessors if now_ms - item.superseded_ms < period_ms)
        return (self._current, *(item.roster for item in recent))

    def witness_sets(self, key: str, now_ms: int) -> tuple[tuple[manifest.Host, ...], ...]:
        """Returns the distinct witness sets of a key, newest first."""
        return distinct(roster.witnesses(key) for roster in self.rosters(now_ms))


def distinct(
    sets: Iterable[tuple[manifest.Host, ...]],
) -> tuple[tuple[manifest.Host, ...], ...]:
    """Returns each set of host ids once, in order of first appearance."""
    found: dict[frozenset[str], tuple[manifest.Host, ...]] = {}
    for hosts in sets:
        found.setdefault(frozenset(host.id for host in hosts), hosts)
    return tuple(found.values())
