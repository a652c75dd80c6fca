"""Targets that this host uses, and their current limits on outstanding attempts."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process import target_state
from sesamehold.version import manifest
from sesamehold.version import shares
from sesamehold.version import subset

# Ejecting more of a pool would only move its load to the remaining targets.
MAX_EJECTED_FRACTION = 0.5
PROBE_INTERVAL_MS = 500
MAX_PROBES_PER_CALL = 8


@attrs.define
class TargetTable:
    """States of all targets in use, by id and by pool.

    Attributes:
        cold_shares: Slots of this host on targets that are not known to be warm.
        adaptive_limits: False to limit warm targets by `capacity_warm` alone.
        cold_slots: False to apply the limits of warm targets to cold ones.
        ejection: False to keep failing targets in use.
    """

    cold_shares: shares.ColdShares
    adaptive_limits: bool = True
    cold_slots: bool = True
    ejection: bool = True
    _subset: subset.SubsetIndex = attrs.field(factory=subset.SubsetIndex)
    _states: dict[str, target_state.TargetState] = attrs.field(factory=dict)
    _by_pool: dict[str, list[target_state.TargetState]] = attrs.field(factory=dict)
    _last_probe_ms: dict[str, int] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest, now_ms: int) -> None:
        """Applies targets and zones; targets with outstanding attempts keep their state."""
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
                # A host that is not yet in the roster has no subset and uses all targets.
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
        self._last_probe_ms = {
            key: at for key, at in self._last_probe_ms.items() if key in self._states
        }

    def find(self, target_id: str) -> target_state.TargetState | None:
        """Returns the state of a target, None if this host does not use it."""
        return self._states.get(target_id)

    def of_pool(self, pool: str) -> list[target_state.TargetState]:
        """Returns the targets of a pool."""
        return self._by_pool.get(pool, [])

    def __iter__(self) -> Iterator[target_state.TargetState]:
        return iter(self._states.values())

    def slot_limit(self, state: target_state.TargetState, now_ms: int) -> int:
        """Returns the current limit on outstanding attempts of this host on the target."""
        if state.reserved_for is not None:
            return 0
        return self.unreserved_slot_limit(state, now_ms)

    def unreserved_slot_limit(self, state: target_state.TargetState, now_ms: int) -> int:
        """Returns the slot limit of a target, ignoring a reservation."""
        if not state.in_service() or state.ejected(now_ms):
            return 0
        if self.cold_slots and state.temperature is not target_state.Temperature.WARM:
            slot_limit = self.cold_shares.slots(state.target.id, now_ms)
        elif state.load(now_ms) >= state.pool.capacity_warm:
            return 0
        elif self.adaptive_limits:
            slot_limit = int(state.limit.limit)
        else:
            slot_limit = state.pool.capacity_warm
        # After an ejection, a target is probed with one attempt at a time until one succeeds.
        return min(slot_limit, 1) if state.probing() else slot_limit

    def capacity(self, pool: str, now_ms: int) -> int:
        """Returns the sum of the slot limits of all targets of a pool."""
        return sum(self.slot_limit(state, now_ms) for state in self.of_pool(pool))

    def limit_ejections(self, state: target_state.TargetState, now_ms: int) -> None:
        """Cancels an ejection that would exceed `MAX_EJECTED_FRACTION` of the pool."""
        if not state.probing():
            return
        states = [item for item in self.of_pool(state.pool.name) if item.in_service()]
        ejected = sum(item.probing() for item in states)
        if not self.ejection or ejected > MAX_EJECTED_FRACTION * len(states):
            state.cancel_ejection()

    def take_due_probes(self, now_ms: int) -> list[manifest.Target]:
        """Returns targets whose load report is due, because they may have become warm.

        A host without a slot on a cold target has no other way to find out that it is warm.
        Fetching the report causes no work on the target.
        """
        due: list[manifest.Target] = []
        for state in self._states.values():
            target_id = state.target.id
            last_ms = self._last_probe_ms.get(target_id)
            if (
                state.in_service()
                and state.pool.reports_load
                and state.temperature is not target_state.Temperature.WARM
                and (last_ms is None or now_ms - last_ms >= PROBE_INTERVAL_MS)
            ):
                self._last_probe_ms[target_id] = now_ms
                due.append(state.target)
                if len(due) == MAX_PROBES_PER_CALL:
                    break
        return due
