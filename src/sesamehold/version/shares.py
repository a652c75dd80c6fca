"""Cold-start slots per target and host.

A target that bears `b` concurrent requests while it is cold hands out `b` slots over the fleet. The
slots follow from the roster alone, so hosts need no messages to agree on them.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from sesamehold.process import fleet_health
from sesamehold.version import manifest
from sesamehold.version import rendezvous

# A host that lost its quorum notices it within this time (design, section 6.3).
QUORUM_DETECTION_BOUND_MS = 10_000
# A cut that is shorter than the detection bound goes unnoticed, and the host that was cut off
# learns of the new roster up to this much later.
CONFIGURATION_SPREAD_MS = 5_000
HOLD_OFF_BASE_MS = QUORUM_DETECTION_BOUND_MS + CONFIGURATION_SPREAD_MS


def deal(host_ids: Sequence[str], target_id: str, capacity_cold: int) -> dict[str, int]:
    """Returns the slots of each host that holds any.

    The first `capacity_cold` hosts in rendezvous order hold one slot each; with fewer hosts, slots
    are dealt round after round.

    >>> sorted(deal(["a", "b"], "t", 3).values())
    [1, 2]
    """
    if not host_ids or capacity_cold <= 0:
        return {}
    order = rendezvous.ranked(host_ids, target_id)[:capacity_cold]
    rounds, rest = divmod(capacity_cold, len(order))
    return {host_id: rounds + (index < rest) for index, host_id in enumerate(order)}


@attrs.frozen
class _Roster:
    """What the slots of one version depend on; hosts are grouped by region."""

    hosts_by_region: dict[str, tuple[str, ...]]
    region_of_target: dict[str, str]
    capacity_of_target: dict[str, int]

    def slots(self, host_id: str, target_id: str) -> int:
        region = self.region_of_target.get(target_id, "")
        hosts = self.hosts_by_region.get(region, ())
        capacity = self.capacity_of_target.get(target_id, 0)
        return deal(hosts, target_id, capacity).get(host_id, 0)


_NO_ROSTER = _Roster({}, {}, {})


@attrs.define
class ColdShares:
    """Slots that this host may use now.

    Attributes:
        host_id: This host.
        quorum: Slots are unusable without it.
        pauses: Tells of pauses of the event loop.

    After a pause or a lost quorum, slots stay unusable for the quorum detection bound, because the
    roster may have changed meanwhile and the host needs some seconds to learn of it.
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
        """Takes over the roster of a version.

        A host that starts with a version other than the first one does not know the roster before
        it, so it waits for the hold-off on all its slots.
        """
        roster = _roster_of(version)
        self._max_service_ms = {
            target.id: pool.max_service_ms for pool in version.pools for target in pool.targets
        }
        if roster != self._roster:
            # Most versions change no host; dealing all slots anew for each of them took 130 ms at
            # 1,000 hosts and 12,000 targets.
            if self._roster is not _NO_ROSTER or version.version > 1:
                self._superseded.append((self._roster, now_ms))
            self._roster = roster
            self._cache.clear()
        longest_ms = max(self._max_service_ms.values(), default=0)
        oldest_ms = now_ms - HOLD_OFF_BASE_MS - longest_ms
        self._superseded = [item for item in self._superseded if item[1] > oldest_ms]

    def slots(self, target_id: str, now_ms: int) -> int:
        """Returns the concurrent requests that this host may have on the target while it is cold.

        A slot counts only if this host held it in every roster of the hold-off, which is the quorum
        detection bound plus the longest work on the target.
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
        """Checks pause and quorum; to be called regularly, so that no loss goes unseen."""
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
    everyone = tuple(host.id for host in version.hosts)
    regions = {region_of_zone.get(target.zone, "") for target, _ in targets}
    return _Roster(
        # A region without hosts is served by all hosts.
        hosts_by_region={region: tuple(hosts.get(region, everyone)) for region in regions},
        region_of_target={target.id: region_of_zone.get(target.zone, "") for target, _ in targets},
        capacity_of_target={target.id: pool.capacity_cold for target, pool in targets},
    )
