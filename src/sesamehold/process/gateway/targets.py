"""Directory of the registered targets and of the availability zones taken out of service."""

from __future__ import annotations

from collections.abc import Iterator

import attrs


@attrs.frozen
class Target:
    """One running target.

    Attributes:
        target_id: Identity of the target across restarts.
        born_ms: Unix time of its start; 0 if it is not known.
        service: Service that it belongs to.
        address: Network address as `ip:port`.
        zone: Availability zone.
        slots: Number of requests that it runs concurrently.
        draining: Whether it is shutting down and must not receive new work.
        cold_until_ms: Monotonic time until which it is cold and can take only a low rate.
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
        """Returns the identity of this start of the target, from `target_id` and `born_ms`."""
        return incarnation_of(self.target_id, self.born_ms)


def incarnation_of(target_id: str, born_ms: int) -> str:
    """Returns the identity of one start of a target."""
    return f"{target_id}@{born_ms}"


@attrs.define
class TargetDirectory:
    """Registered targets by service.

    Attributes:
        zones_out: Availability zones that must not receive new work.
    """

    zones_out: set[str] = attrs.field(factory=set)
    _by_id: dict[str, Target] = attrs.field(factory=dict)
    _by_service: dict[str, dict[str, Target]] = attrs.field(factory=dict)

    def put(self, target: Target) -> bool:
        """Adds or replaces a target; returns whether anything but `cold_until_ms` changed."""
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
        """Returns a target by its identity, even if it must not receive new work."""
        return self._by_id.get(target_id)

    def may_use(self, target_id: str, born_ms: int) -> bool:
        """Returns whether this incarnation of a target may receive new work now."""
        target = self._by_id.get(target_id)
        return target is not None and target.born_ms == born_ms and self._is_usable(target)

    def usable(self, service: str) -> list[Target]:
        """Returns the targets of a service that may receive new work."""
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
