"""Rosters (host lists of manifest versions) and the witnesses selected from them."""

from __future__ import annotations

from collections.abc import Iterable
import hashlib
import json

import attrs

from sesamehold.version import manifest
from sesamehold.version import rendezvous

MAX_WITNESSES = 9
# Retention periods for which claimants keep a superseded roster. Every key claimed under it must
# expire first: witnesses accept such claims for one period, the key is retained for another, and
# hosts may receive a new roster up to one period apart.
CLAIM_WINDOW_PERIODS = 3


def majority(size: int) -> int:
    """Returns the smallest subset size for which any two subsets intersect.

    >>> [majority(size) for size in (1, 2, 3, 9)]
    [1, 2, 2, 5]
    """
    return size // 2 + 1


@attrs.frozen
class Ranking:
    """Hosts of several rosters in rendezvous order for one key.

    Weights are computed once for all rosters of the overlap window, because in a large fleet the
    window holds many rosters that differ in few hosts.
    """

    _zones: tuple[tuple[manifest.Host, ...], ...]

    @classmethod
    def from_hosts(cls, hosts: Iterable[manifest.Host], key: str) -> Ranking:
        """Returns the ranking of the given hosts."""
        by_zone: dict[str, dict[str, manifest.Host]] = {}
        for host in hosts:
            by_zone.setdefault(host.zone, {}).setdefault(host.id, host)
        return cls(
            tuple(
                tuple(by_zone[zone][host_id] for host_id in rendezvous.ranked(by_zone[zone], key))
                for zone in rendezvous.ranked(by_zone, key)
            )
        )

    def witnesses(self, roster: Roster) -> tuple[manifest.Host, ...]:
        """Returns the witnesses among the hosts of a roster, balanced over availability zones.

        Selects round-robin over the zones in rendezvous order, taking the next host of each zone in
        rendezvous order, so that the loss of one zone removes as few witnesses as possible.
        """
        queues = [(host for host in zone if roster.contains(host)) for zone in self._zones]
        chosen: list[manifest.Host] = []
        while queues and len(chosen) < MAX_WITNESSES:
            taken = [(queue, next(queue, None)) for queue in queues]
            queues = [queue for queue, host in taken if host is not None]
            chosen += [host for _, host in taken if host is not None]
        return tuple(chosen[:MAX_WITNESSES])


def _hash_members(roster: Roster) -> bytes:
    text = json.dumps([[host.id, host.zone] for host in roster.hosts])
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@attrs.frozen
class Roster:
    """The host list of one manifest version, ordered by host id.

    Attributes:
        version: Manifest version that contains the list.
        hosts: Hosts in order of id.
        content_hash: Hash of host ids and zones, the only inputs of witness selection.
    """

    version: int
    hosts: tuple[manifest.Host, ...]
    content_hash: bytes = attrs.field(
        init=False, default=attrs.Factory(_hash_members, takes_self=True)
    )
    _by_id: dict[str, manifest.Host] = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(
            lambda roster: {host.id: host for host in roster.hosts}, takes_self=True
        ),
    )

    @classmethod
    def from_manifest(cls, version: manifest.Manifest) -> Roster:
        """Returns the host list of a manifest."""
        return cls.from_hosts(version.version, version.hosts)

    @classmethod
    def from_hosts(cls, version: int, hosts: Iterable[manifest.Host]) -> Roster:
        """Returns a host list in the order of host ids."""
        return cls(version, tuple(sorted(hosts, key=lambda host: host.id)))

    def host(self, host_id: str) -> manifest.Host | None:
        """Returns the host with this id."""
        return self._by_id.get(host_id)

    def contains(self, host: manifest.Host) -> bool:
        """Returns whether the roster lists the host in the same zone."""
        member = self._by_id.get(host.id)
        return member is not None and member.zone == host.zone

    def without(self, host_id: str) -> Roster:
        """Returns the roster without one host."""
        return Roster(self.version, tuple(host for host in self.hosts if host.id != host_id))

    def witnesses(self, key: str) -> tuple[manifest.Host, ...]:
        """Returns the witnesses of a key."""
        return Ranking.from_hosts(self.hosts, key).witnesses(self)


@attrs.frozen
class _Superseded:
    roster: Roster
    superseded_ms: int


@attrs.frozen
class RosterWindow:
    """The roster in force and superseded rosters under which claims may still be valid.

    Attributes:
        retention_ms: Retention period of keys; superseded rosters stay for three periods.
    """

    retention_ms: int
    _current: Roster | None = None
    _predecessors: tuple[_Superseded, ...] = ()
    _hosts: tuple[manifest.Host, ...] = ()

    @property
    def current(self) -> Roster | None:
        """Returns the roster in force."""
        return self._current

    def accept(self, roster: Roster, retention_ms: int, now_ms: int) -> RosterWindow:
        """Returns the window after a newer version has come into force."""
        kept = tuple(
            item
            for item in self._predecessors
            if now_ms - item.superseded_ms < CLAIM_WINDOW_PERIODS * retention_ms
        )
        changed = self._current is not None and self._current.content_hash != roster.content_hash
        if changed and self._current is not None:
            kept = (_Superseded(self._current, now_ms), *kept)
        return _build_window(retention_ms, roster, kept)

    def add_superseded(self, past: Iterable[tuple[Roster, int]]) -> RosterWindow:
        """Returns the window extended by superseded rosters reported by other hosts.

        A host that has just started or skipped a version has no record of them.

        Args:
            past: Rosters, each with the time at which it was superseded.
        """
        if self._current is None:
            return self
        known = {
            self._current.content_hash,
            *(item.roster.content_hash for item in self._predecessors),
        }
        learned = tuple(
            _Superseded(roster, superseded_ms)
            for roster, superseded_ms in past
            if roster.content_hash not in known
        )
        return _build_window(self.retention_ms, self._current, (*self._predecessors, *learned))

    def rosters(self, now_ms: int) -> tuple[Roster, ...]:
        """Returns the rosters in each of which a claimant needs a majority, newest first."""
        return self._rosters_within(CLAIM_WINDOW_PERIODS * self.retention_ms, now_ms)

    def accepts_claims_under(self, content_hash: bytes, now_ms: int) -> bool:
        """Returns whether a witness accepts claims whose newest roster has this hash."""
        accepted = self._rosters_within(self.retention_ms, now_ms)
        return any(item.content_hash == content_hash for item in accepted)

    def _rosters_within(self, period_ms: int, now_ms: int) -> tuple[Roster, ...]:
        if self._current is None:
            return ()
        recent = (item for item in self._predecessors if now_ms - item.superseded_ms < period_ms)
        return (self._current, *(item.roster for item in recent))

    def witness_sets(self, key: str, now_ms: int) -> tuple[tuple[manifest.Host, ...], ...]:
        """Returns the distinct witness sets of a key, newest first."""
        ranking = Ranking.from_hosts(self._hosts, key)
        return distinct(ranking.witnesses(item) for item in self.rosters(now_ms))


def _build_window(
    retention_ms: int, current: Roster, predecessors: tuple[_Superseded, ...]
) -> RosterWindow:
    hosts = {
        (host.id, host.zone): host
        for item in (current, *(predecessor.roster for predecessor in predecessors))
        for host in item.hosts
    }
    return RosterWindow(retention_ms, current, predecessors, tuple(hosts.values()))


def distinct(
    sets: Iterable[tuple[manifest.Host, ...]],
) -> tuple[tuple[manifest.Host, ...], ...]:
    """Removes duplicate host sets, keeping the order of first occurrence."""
    found: dict[frozenset[str], tuple[manifest.Host, ...]] = {}
    for hosts in sets:
        found.setdefault(frozenset(host.id for host in hosts), hosts)
    return tuple(found.values())
