"""Which hosts use which targets.

Every target is used by the first hosts in rendezvous order of each availability zone of its region,
so all targets have the same number of hosts, spread evenly over the zones. In addition every host
uses its own first targets of each pool, so no host lacks a pool. A fleet with few hosts in a region
uses all targets of the region.

A full ranking of 1,000 hosts for 12,000 targets takes seconds in Python, so the ranking is kept and
updated when a host or target joins or leaves.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

import attrs

from sesamehold.version import manifest
from sesamehold.version import rendezvous

# Enough hosts that a target's load stays even when some of them have little to do.
MIN_HOSTS_PER_TARGET = 12
# Enough targets that two random ones usually differ in load.
MIN_TARGETS_PER_HOST = 16
# Next hosts in order that are kept in reserve, so that most departures need no new ranking.
_SPARE = 4


@attrs.frozen
class _Member:
    """A target with the pool and region that it belongs to."""

    pool: str
    region: str


@attrs.define
class SubsetIndex:
    """Ranked hosts of every target, kept up to date with the roster."""

    _hosts: dict[str, str] = attrs.field(factory=dict)
    _region_of_zone: dict[str, str] = attrs.field(factory=dict)
    _hosts_by_zone: dict[str, set[str]] = attrs.field(factory=dict)
    _targets: dict[str, _Member] = attrs.field(factory=dict)
    _quota: dict[tuple[str, str], int] = attrs.field(factory=dict)
    # By zone of the hosts and by target: first hosts in rendezvous order, with the reserve.
    _ranked: dict[str, dict[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest) -> None:
        """Takes over a version; work is in proportion to what changed."""
        self._region_of_zone = {zone.name: zone.region for zone in version.zones}
        hosts = {host.id: host.zone for host in version.hosts}
        targets = {
            target.id: _Member(pool.name, self._region_of_zone.get(target.zone, ""))
            for pool in version.pools
            for target in pool.targets
        }
        self.update(hosts, targets)

    def update(self, hosts: dict[str, str], targets: dict[str, _Member]) -> None:
        """Takes over the zones of all hosts and the memberships of all targets."""
        quota = self._quota_of(hosts, targets)
        kept = {
            target_id
            for target_id, member in targets.items()
            if self._targets.get(target_id) == member
            and self._quota.get((member.pool, member.region)) == quota[member.pool, member.region]
        }
        for target_id in self._targets.keys() - kept:
            for ranked in self._ranked.values():
                ranked.pop(target_id, None)
        self._targets = {target_id: self._targets[target_id] for target_id in kept}
        self._quota = quota
        for host_id, zone in list(self._hosts.items()):
            if hosts.get(host_id) != zone:
                self._remove_host(host_id, zone)
        for host_id, zone in hosts.items():
            if host_id not in self._hosts:
                self._add_host(host_id, zone)
        for target_id in targets.keys() - kept:
            self._targets[target_id] = targets[target_id]
            self._rank_everywhere(target_id)

    def hosts_of(self, target_id: str) -> list[str]:
        """Returns the hosts whose first choice includes the target, zone by zone."""
        member = self._targets.get(target_id)
        if member is None:
            return []
        quota = self._quota[member.pool, member.region]
        return [
            host_id
            for zone, ranked in sorted(self._ranked.items())
            if self._region_of_zone.get(zone, "") == member.region
            for host_id in ranked.get(target_id, ())[:quota]
        ]

    def targets_of(self, host_id: str) -> set[str]:
        """Returns the targets that a host uses.

        A host of a region without targets of some pool uses that pool in all regions.
        """
        zone = self._hosts.get(host_id)
        if zone is None:
            return set()
        region = self._region_of_zone.get(zone, "")
        ranked = self._ranked.get(zone, {})
        chosen: set[str] = set()
        near: dict[str, list[str]] = {}
        far: dict[str, list[str]] = {}
        for target_id, member in self._targets.items():
            if member.region != region:
                far.setdefault(member.pool, []).append(target_id)
                continue
            near.setdefault(member.pool, []).append(target_id)
            if host_id in ranked[target_id][: self._quota[member.pool, region]]:
                chosen.add(target_id)
        for pool, members in {**far, **near}.items():
            if len(members) <= MIN_TARGETS_PER_HOST:
                chosen.update(members)
            elif pool not in near or sum(item in chosen for item in members) < MIN_TARGETS_PER_HOST:
                chosen.update(_first_targets(host_id, members))
        return chosen

    def _quota_of(
        self, hosts: dict[str, str], targets: dict[str, _Member]
    ) -> dict[tuple[str, str], int]:
        """Returns the hosts of each zone that use one target, by pool and region."""
        host_count: dict[str, int] = {}
        zones: dict[str, set[str]] = {}
        for zone in hosts.values():
            region = self._region_of_zone.get(zone, "")
            host_count[region] = host_count.get(region, 0) + 1
            zones.setdefault(region, set()).add(zone)
        target_count: dict[tuple[str, str], int] = {}
        for member in targets.values():
            key = (member.pool, member.region)
            target_count[key] = target_count.get(key, 0) + 1
        quota = {}
        for key, count in target_count.items():
            fair = -(-MIN_TARGETS_PER_HOST * host_count.get(key[1], 0) // count)
            quota[key] = -(-max(MIN_HOSTS_PER_TARGET, fair) // max(1, len(zones.get(key[1], ()))))
        return quota

    def _depth(self, member: _Member) -> int:
        return self._quota[member.pool, member.region] + _SPARE

    def _rank_everywhere(self, target_id: str) -> None:
        for zone in self._hosts_by_zone:
            self._rank(zone, target_id)

    def _rank(self, zone: str, target_id: str) -> None:
        member = self._targets[target_id]
        if self._region_of_zone.get(zone, "") != member.region:
            return
        first = heapq.nlargest(
            self._depth(member),
            (_weight(name, target_id) for name in self._hosts_by_zone[zone]),
        )
        self._ranked[zone][target_id] = tuple(name for _, name in first)

    def _add_host(self, host_id: str, zone: str) -> None:
        self._hosts[host_id] = zone
        others = self._hosts_by_zone.setdefault(zone, set())
        other_count = len(others)
        others.add(host_id)
        ranked = self._ranked.setdefault(zone, {})
        region = self._region_of_zone.get(zone, "")
        for target_id, member in self._targets.items():
            if member.region == region:
                names = ranked.get(target_id, ())
                ranked[target_id] = _insert(
                    names,
                    host_id,
                    target_id,
                    self._depth(member),
                    complete=len(names) == other_count,
                )

    def _remove_host(self, host_id: str, zone: str) -> None:
        del self._hosts[host_id]
        names_of_zone = self._hosts_by_zone[zone]
        names_of_zone.discard(host_id)
        for target_id, names in self._ranked[zone].items():
            if host_id not in names:
                continue
            rest = tuple(name for name in names if name != host_id)
            self._ranked[zone][target_id] = rest
            member = self._targets[target_id]
            if len(rest) < min(self._quota[member.pool, member.region], len(names_of_zone)):
                self._rank(zone, target_id)


def _insert(
    names: tuple[str, ...], host_id: str, target_id: str, depth: int, *, complete: bool
) -> tuple[str, ...]:
    """Inserts a host; an incomplete list does not know whether a last host belongs into it."""
    weight = _weight(host_id, target_id)
    position = len(names)
    while position and _weight(names[position - 1], target_id) < weight:
        position -= 1
    if position >= depth or (position == len(names) and not complete):
        return names
    return (*names[:position], host_id, *names[position:])[:depth]


def _weight(host_id: str, target_id: str) -> tuple[int, str]:
    return rendezvous.weight(host_id, target_id), host_id


def _first_targets(host_id: str, target_ids: Iterable[str]) -> list[str]:
    return heapq.nlargest(
        MIN_TARGETS_PER_HOST,
        target_ids,
        key=lambda target_id: (rendezvous.weight(host_id, target_id), target_id),
    )
