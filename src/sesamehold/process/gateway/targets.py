"""Targets that the gateway may use, and the availability zones that operators have taken out."""

from __future__ import annotations

from collections.abc import Iterator

import attrs


@attrs.frozen
class Target:
    """One running target.

    Attributes:
        target_id: Identity; together with `born_ms` that of one start of the target.
        born_ms: Unix time of its start; 0 if it is not known.
        service: Service that it belongs to.
        address: `ip:port`.
        zone: Availability zone.
        slots: Requests that it runs at the same time.
        draining: Whether it is about to leave.
        cold_until_ms: Monotonic time until which it bears only little load.
    """

    target_id: str
    born_ms: int
    service: str
    address: str
    zone: str
    slots: int = 1
    draining: bool = False
    cold_until_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Returns the identity of this start of the target."""
        return f"{self.target_id}@{self.born_ms}"


@attrs.define
class TargetDirectory:
    """Registered targets by service.

    Attributes:
        zones_out: Availability zones that must get no new work.
    """

    zones_out: set[str] = attrs.field(factory=set)
    _by_id: dict[str, Target] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, Target]] = attrs.field(factory=dict)

    def put(self, target: Target) -> bool:
        """Adds or replaces a target; returns whether anything but its coldness changed."""
        known = self._by_id.get(target.target_id)
        if known is not None and known.service != target.service:
            self.remove(target.target_id)
        self._by_id[target.target_id] = target
        self._by_service.setdefault(target.service, {})[target.target_id] = target
        return known is None or attrs.evolve(known, cold_until_ms=0) != attrs.evolve(
            target, cold_until_ms=0
        )

    def remove(self, target_id: str) -> Target | None:
        """Removes a target; returns it if it was known."""
        target = self._by_id.pop(target_id, None)
        if target is not None:
            del self._by_service[target.service][target_id]
        return target

    def find(self, target_id: str) -> Target | None:
        """Returns a target, also one that must get no new work."""
        return self._by_id.get(target_id)

    def may_use(self, target_id: str, born_ms: int) -> bool:
        """Returns whether this start of a target may get new work now."""
        target = self._by_id.get(target_id)
        return target is not None and target.born_ms == born_ms and self._is_usable(target)

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may get new work."""
        targets = self._by_service.get(service)
        if not targets:
            return []
        return [target for target in targets.values() if self._is_usable(target)]

    def _is_usable(self, target: Target) -> bool:
        return not target.draining and target.zone not in self.zones_out

    def __iter__(self) -> Iterator[Target]:
        return iter(self._by_id.values())

    def __len__(self) -> int:
        return len(self._by_id)
