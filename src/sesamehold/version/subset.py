"""Deterministic subsetting: selects the targets that each host uses.

A target is used by the highest-ranked hosts, in rendezvous order, of each availability zone of its
region, so all targets have the same number of hosts, spread evenly over the zones. In addition,
every host uses its own highest-ranked targets of each pool, so no host is without targets of a
pool. If a region has few hosts, each of them uses all targets of the region.

A full ranking of 1,000 hosts for 12,000 targets takes seconds in Python, so the ranking is cached
and updated incrementally when a host or target is added or removed.
"""

from __future__ import annotations

from collections.abc import Iterable
import heapq

import attrs

from sesamehold.version import manifest
from sesamehold.version import rendezvous

# Enough hosts to keep the load of a target even when some of them receive little traffic.
MIN_HOSTS_PER_TARGET = 12
# Enough targets for two random choices to usually differ in load.
MIN_TARGETS_PER_HOST = 16
# Further hosts cached per ranking, so that most host removals need no new ranking.
_RESERVE_HOSTS = 4


@attrs.frozen
class _TargetPlacement:
    """Pool and region of a target."""

    pool: str
    region: str


@attrs.define
class SubsetIndex:
    """Ranked hosts of every target, updated incrementally with the roster."""

    _hosts: dict[str, str] = attrs.field(factory=dict)
    _region_of_zone: dict[str, str] = attrs.field(factory=dict)
    _hosts_by_zone: dict[str, set[str]] = attrs.field(factory=dict)
    _targets: dict[str, _TargetPlacement] = attrs.field(factory=dict)
    _quota: dict[tuple[str, str], int] = attrs.field(factory=dict)
    # By host zone and target: highest-ranked hosts, including the reserve.
    _ranked: dict[str, dict[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest) -> None:
        """Applies a version; the cost is proportional to the size of the change."""
        self._region_of_zone = {zone.name: zone.region for zone in version.zones}
        hosts = {host.id: host.zone for host in version.hosts}
        targets = {
            target.id: _TargetPlacement(pool.name, self._region_of_zone.get(target.zone, ""))
            for pool in version.pools
            for target in pool.targets
        }
        self.update(hosts, targets)

    def update(self, hosts: dict[str, str], targets: dict[str, _TargetPlacement]) -> None:
        """Applies the zones of all hosts and the placements of all targets."""
        quota = self._compute_quotas(hosts, targets)
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
            self._rank_in_all_zones(target_id)

    def hosts_of(self, target_id: str) -> list[str]:
        """Returns the hosts selected by the ranking of the target, grouped by zone."""
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

        If a pool has no targets in the region of the host, its targets in other regions are
        candidates.
        """
        zone = self._hosts.get(host_id)
        if zone is None:
            return set()
        region = self._region_of_zone.get(zone, "")
        ranked = self._ranked.get(zone, {})
        chosen: set[str] = set()
        in_region: dict[str, list[str]] = {}
        out_of_region: dict[str, list[str]] = {}
        for target_id, member in self._targets.items():
            if member.region != region:
                out_of_region.setdefault(member.pool, []).append(target_id)
                continue
            in_region.setdefault(member.pool, []).append(target_id)
            if host_id in ranked[target_id][: self._quota[member.pool, region]]:
                chosen.add(target_id)
        for pool, members in {**out_of_region, **in_region}.items():
            if len(members) <= MIN_TARGETS_PER_HOST:
                chosen.update(members)
            elif (
                pool not in in_region
                or sum(item in chosen for item in members) < MIN_TARGETS_PER_HOST
            ):
                chosen.update(_highest_ranked_targets(host_id, members))
        return chosen

    def _compute_quotas(
        self, hosts: dict[str, str], targets: dict[str, _TargetPlacement]
    ) -> dict[tuple[str, str], int]:
        """Returns the number of hosts per zone that use one target, by pool and region."""
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
            needed = -(-MIN_TARGETS_PER_HOST * host_count.get(key[1], 0) // count)
            quota[key] = -(-max(MIN_HOSTS_PER_TARGET, needed) // max(1, len(zones.get(key[1], ()))))
        return quota

    def _ranking_depth(self, member: _TargetPlacement) -> int:
        return self._quota[member.pool, member.region] + _RESERVE_HOSTS

    def _rank_in_all_zones(self, target_id: str) -> None:
        for zone in self._hosts_by_zone:
            self._rank_in_zone(zone, target_id)

    def _rank_in_zone(self, zone: str, target_id: str) -> None:
        member = self._targets[target_id]
        if self._region_of_zone.get(zone, "") != member.region:
            return
        first = heapq.nlargest(
            self._ranking_depth(member),
            (_rank_key(name, target_id) for name in self._hosts_by_zone[zone]),
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
                ranked[target_id] = _insert_ranked(
                    names,
                    host_id,
                    target_id,
                    self._ranking_depth(member),
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
                self._rank_in_zone(zone, target_id)


def _insert_ranked(
    names: tuple[str, ...], host_id: str, target_id: str, depth: int, *, complete: bool
) -> tuple[str, ...]:
    """Inserts a host by rank.

    An incomplete list cannot tell whether a host that would come last belongs in it, so it is
    returned unchanged in that case.
    """
    weight = _rank_key(host_id, target_id)
    position = len(names)
    while position and _rank_key(names[position - 1], target_id) < weight:
        position -= 1
    if position >= depth or (position == len(names) and not complete):
        return names
    return (*names[:position], host_id, *names[position:])[:depth]


def _rank_key(host_id: str, target_id: str) -> tuple[int, str]:
    return rendezvous.weight(host_id, target_id), host_id


def _highest_ranked_targets(host_id: str, target_ids: Iterable[str]) -> list[str]:
    return heapq.nlargest(
        MIN_TARGETS_PER_HOST,
        target_ids,
        key=lambda target_id: (rendezvous.weight(host_id, target_id), target_id),
    )
