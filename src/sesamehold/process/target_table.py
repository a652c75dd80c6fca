"""The targets that this host uses, and how much work each of them may get now."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process import target_state
from sesamehold.version import manifest
from sesamehold.version import shares
from sesamehold.version import subset

# Ejecting most of a pool would only move its load to the rest.
MAX_EJECTED_FRACTION = 0.5
PROBE_INTERVAL_MS = 500
MAX_PROBES_PER_CALL = 8


@attrs.define
class TargetTable:
    """States of all targets in use, by id and by pool.

    Attributes:
        cold_shares: Slots of this host on targets that are not known to be warm.
        adaptive_limits: False to bound warm targets by `capacity_warm` alone.
        cold_slots: False to give cold targets as much work as warm ones.
        ejection: False to keep failing targets in use.
    """

    cold_shares: shares.ColdShares
    adaptive_limits: bool = True
    cold_slots: bool = True
    ejection: bool = True
    _subset: subset.SubsetIndex = attrs.field(factory=subset.SubsetIndex)
    _states: dict[str, target_state.TargetState] = attrs.field(factory=dict)
    _by_pool: dict[str, list[target_state.TargetState]] = attrs.field(factory=dict)
    _probed_ms: dict[str, int] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest, now_ms: int) -> None:
        """Takes over targets and zones; targets with open attempts keep their state."""
        self.cold_shares.configure(version, now_ms)
        self._subset.configure(version)
        used = self._subset.targets_of(self.cold_shares.host_id)
        zones_out = {zone.name for zone in version.zones if not zone.in_service}
        previous = self._states
        self._states = {key: state for key, state in previous.items() if state.outstanding}
        self._by_pool = {}
        for pool in version.pools:
            states = self._by_pool.setdefault(pool.name, [])
            for target in pool.targets:
                # A host that is not in the roster yet uses all targets.
                if used and target.id not in used:
                    continue
                in_service = target.zone not in zones_out
                state = previous.get(target.id)
                if state is None:
                    state = target_state.TargetState.from_config(
                        target, pool, zone_in_service=in_service
                    )
                else:
                    state.configure(target, pool, zone_in_service=in_service, now_ms=now_ms)
                self._states[target.id] = state
                states.append(state)
        self._probed_ms = {key: at for key, at in self._probed_ms.items() if key in self._states}

    def find(self, target_id: str) -> target_state.TargetState | None:
        """Returns the state of a target, None if this host does not use it."""
        return self._states.get(target_id)

    def of_pool(self, pool: str) -> list[target_state.TargetState]:
        """Returns the targets of a pool."""
        return self._by_pool.get(pool, [])

    def __iter__(self) -> Iterator[target_state.TargetState]:
        return iter(self._states.values())

    def room(self, state: target_state.TargetState, now_ms: int) -> int:
        """Returns how many attempts of this host the target may hold now."""
        if state.reserved_for is not None:
            return 0
        return self.unreserved_room(state, now_ms)

    def unreserved_room(self, state: target_state.TargetState, now_ms: int) -> int:
        """Returns the room of a target without regard to a reservation."""
        if not state.in_service() or state.ejected(now_ms):
            return 0
        if self.cold_slots and state.temperature is not target_state.Temperature.WARM:
            room = self.cold_shares.slots(state.target.id, now_ms)
        elif state.load(now_ms) >= state.pool.capacity_warm:
            return 0
        elif self.adaptive_limits:
            room = int(state.limit.limit)
        else:
            room = state.pool.capacity_warm
        # An ejected target returns with one attempt at a time.
        return min(room, 1) if state.probing() else room

    def capacity(self, pool: str, now_ms: int) -> int:
        """Returns the attempts that all targets of a pool may hold now."""
        return sum(self.room(state, now_ms) for state in self.of_pool(pool))

    def bound_ejections(self, state: target_state.TargetState, now_ms: int) -> None:
        """Takes back an ejection that would leave too few targets of the pool."""
        if not state.probing():
            return
        states = [item for item in self.of_pool(state.pool.name) if item.in_service()]
        ejected = sum(item.probing() for item in states)
        if not self.ejection or ejected > MAX_EJECTED_FRACTION * len(states):
            state.take_back_ejection()

    def to_probe(self, now_ms: int) -> list[manifest.Target]:
        """Returns targets whose load report should be read now, because they may be warm again.

        A host without a slot learns of a warm target in no other way. Reading the report is no work
        for the target.
        """
        due: list[manifest.Target] = []
        for state in self._states.values():
            target_id = state.target.id
            last_ms = self._probed_ms.get(target_id)
            if (
                state.in_service()
                and state.pool.reports_load
                and state.temperature is not target_state.Temperature.WARM
                and (last_ms is None or now_ms - last_ms >= PROBE_INTERVAL_MS)
            ):
                self._probed_ms[target_id] = now_ms
                due.append(state.target)
                if len(due) == MAX_PROBES_PER_CALL:
                    break
        return due
