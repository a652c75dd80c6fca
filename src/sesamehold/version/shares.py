"""Cold-start slots per target and host.

A target that can handle `b` concurrent requests while it is cold has `b` slots, distributed over
the fleet. The distribution depends on the roster alone, so hosts agree on it without messages.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from sesamehold.process import fleet_health
from sesamehold.version import manifest
from sesamehold.version import rendezvous

# Upper bound on the time until a host detects the loss of its quorum (design, section 6.3).
QUORUM_DETECTION_BOUND_MS = 10_000
# A network partition shorter than the detection bound goes undetected, and the partitioned host may
# receive the new roster up to this much later.
CONFIGURATION_PROPAGATION_MS = 5_000
HOLD_OFF_BASE_MS = QUORUM_DETECTION_BOUND_MS + CONFIGURATION_PROPAGATION_MS


def distribute_slots(host_ids: Sequence[str], target_id: str, capacity_cold: int) -> dict[str, int]:
    """Returns the number of slots of each host that has any.

    The first `capacity_cold` hosts in rendezvous order get one slot each; with fewer hosts, slots
    are distributed round-robin.

    >>> sorted(distribute_slots(["a", "b"], "t", 3).values())
    [1, 2]
    """
    if not host_ids or capacity_cold <= 0:
        return {}
    order = rendezvous.ranked(host_ids, target_id)[:capacity_cold]
    slots_per_host, remainder = divmod(capacity_cold, len(order))
    return {host_id: slots_per_host + (index < remainder) for index, host_id in enumerate(order)}


@attrs.frozen
class _Roster:
    """Inputs of the slot distribution of one version; hosts are grouped by region."""

    hosts_by_region: dict[str, tuple[str, ...]]
    region_of_target: dict[str, str]
    capacity_of_target: dict[str, int]

    def slots(self, host_id: str, target_id: str) -> int:
        region = self.region_of_target.get(target_id, "")
        hosts = self.hosts_by_region.get(region, ())
        capacity = self.capacity_of_target.get(target_id, 0)
        return distribute_slots(hosts, target_id, capacity).get(host_id, 0)


_NO_ROSTER = _Roster({}, {}, {})


@attrs.define
class ColdShares:
    """Cold-start slots that this host may currently use.

    Attributes:
        host_id: This host.
        quorum: Quorum state; without a quorum, slots are unusable.
        pauses: Detects pauses of the event loop.

    After a pause or the loss of the quorum, slots stay unusable for the quorum detection bound: the
    roster may have changed meanwhile, and the host needs some seconds to receive the new one.
    """

    host_id: str
    quorum: fleet_health.Quorum = fleet_health.SINGLE_HOST_FLEET
    pauses: fleet_health.PauseDetector = fleet_health.SINGLE_HOST_FLEET
    _roster: _Roster = _NO_ROSTER
    _superseded: list[tuple[_Roster, int]] = attrs.field(factory=list)
    _max_service_ms: dict[str, int] = attrs.field(factory=dict)
    _cache: dict[tuple[int, str], int] = attrs.field(factory=dict)
    _checked_ms: int | None = None
    _suspended_until_ms: int = 0

    def configure(self, version: manifest.Manifest, now_ms: int) -> None:
        """Applies the roster of a version.

        A host that starts with a version other than the first does not know the previous roster,
        so all its slots stay unusable until the hold-off ends.
        """
        roster = _roster_of(version)
        self._max_service_ms = {
            target.id: pool.max_service_ms for pool in version.pools for target in pool.targets
        }
        if roster != self._roster:
            # Most versions leave the hosts unchanged, and recomputing all slots for each version
            # took 130 ms at 1,000 hosts and 12,000 targets.
            if self._roster is not _NO_ROSTER or version.version > 1:
                self._superseded.append((self._roster, now_ms))
            self._roster = roster
            self._cache.clear()
        longest_ms = max(self._max_service_ms.values(), default=0)
        oldest_ms = now_ms - HOLD_OFF_BASE_MS - longest_ms
        self._superseded = [item for item in self._superseded if item[1] > oldest_ms]

    def slots(self, target_id: str, now_ms: int) -> int:
        """Returns this host's limit on concurrent requests to a cold target.

        A slot counts only if this host held it in every roster within the hold-off: the quorum
        detection bound, the configuration propagation time and the target's `max_service_ms`.
        """
        self.observe(now_ms)
        if now_ms < self._suspended_until_ms:
            return 0
        slots = self._slots_in(self._roster, target_id)
        hold_off_ms = HOLD_OFF_BASE_MS + self._max_service_ms.get(target_id, 0)
        for roster, superseded_ms in self._superseded:
            if slots and now_ms - superseded_ms < hold_off_ms:
                slots = min(slots, self._slots_in(roster, target_id))
        return slots

    def observe(self, now_ms: int) -> None:
        """Checks for a pause or lost quorum; must be called regularly to detect every loss."""
        checked_ms, self._checked_ms = self._checked_ms, now_ms
        paused = checked_ms is not None and self.pauses.paused_since(checked_ms)
        if paused or not self.quorum.has_quorum(now_ms):
            self._suspended_until_ms = now_ms + QUORUM_DETECTION_BOUND_MS

    def _slots_in(self, roster: _Roster, target_id: str) -> int:
        key = (id(roster), target_id)
        slots = self._cache.get(key)
        if slots is None:
            slots = self._cache[key] = roster.slots(self.host_id, target_id)
        return slots


def _roster_of(version: manifest.Manifest) -> _Roster:
    region_of_zone = {zone.name: zone.region for zone in version.zones}
    hosts: dict[str, list[str]] = {}
    for host in version.hosts:
        hosts.setdefault(region_of_zone.get(host.zone, ""), []).append(host.id)
    targets = [(target, pool) for pool in version.pools for target in pool.targets]
    all_hosts = tuple(host.id for host in version.hosts)
    regions = {region_of_zone.get(target.zone, "") for target, _ in targets}
    return _Roster(
        # A region without hosts is served by all hosts.
        hosts_by_region={region: tuple(hosts.get(region, all_hosts)) for region in regions},
        region_of_target={target.id: region_of_zone.get(target.zone, "") for target, _ in targets},
        capacity_of_target={target.id: pool.capacity_cold for target, pool in targets},
    )
