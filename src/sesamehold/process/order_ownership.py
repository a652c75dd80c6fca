"""Which host may send orders to the targets of a pool, and when.

The owner of a pool is the first host in rendezvous order over the roster, reachable or not. A
change of the roster is the only way in which ownership moves, so engines that ignore fencing
numbers are safe too; the price is that the targets of a dead owner get no orders until the roster
drops it.
"""

from __future__ import annotations

import enum

import attrs

from sesamehold.process import fleet_health
from sesamehold.version import manifest
from sesamehold.version import rendezvous
from sesamehold.version import shares

ORDER_TIMEOUT_MS = 60_000


class OrderPermission(enum.Enum):
    """Answer to the question whether an order may be sent now."""

    ALLOWED = "allowed"
    NOT_OWNER = "not-owner"
    HOLD_OFF = "hold-off"
    NO_QUORUM = "no-quorum"


@attrs.define
class OrderOwnership:
    """Ownership of pools as one host sees it.

    Attributes:
        host_id: This host.
        clock_skew_ms: Largest difference between the wall clocks of two hosts.
    """

    host_id: str
    clock_skew_ms: int = 2_000
    _owners: dict[str, str] = attrs.field(factory=dict)
    _owned_since_ms: dict[str, int] = attrs.field(factory=dict)

    @property
    def hold_off_ms(self) -> int:
        """Returns how long a new owner waits.

        The previous owner may act until it notices that it lost its quorum or learns of the roster,
        and an order that it sent just before may take effect until the order times out. The skew
        keeps fencing numbers
        growing.
        """
        return shares.HOLD_OFF_BASE_MS + ORDER_TIMEOUT_MS + self.clock_skew_ms

    def configure(self, version: manifest.Manifest, now_ms: int) -> None:
        """Takes over the roster and the pools of a configuration version."""
        self.clock_skew_ms = version.policy.clock_skew_ms
        names = [host.id for host in version.hosts]
        owners = {
            pool.name: rendezvous.owner(names, f"orders/{pool.name}") for pool in version.pools
        }
        self._owners = {pool: owner for pool, owner in owners.items() if owner is not None}
        owned = {pool for pool, owner in self._owners.items() if owner == self.host_id}
        kept = {pool: since for pool, since in self._owned_since_ms.items() if pool in owned}
        self._owned_since_ms = {pool: kept.get(pool, now_ms) for pool in owned}

    def owner(self, pool: str) -> str | None:
        """Returns the owner of a pool."""
        return self._owners.get(pool)

    def permission(self, pool: str, quorum: fleet_health.Quorum, now_ms: int) -> OrderPermission:
        """Returns whether an order to a target of the pool may be sent now.

        Asked right before the order is sent, so that a paused host does not act on an old answer.
        """
        since_ms = self._owned_since_ms.get(pool)
        if since_ms is None:
            return OrderPermission.NOT_OWNER
        if now_ms - since_ms < self.hold_off_ms:
            return OrderPermission.HOLD_OFF
        if not quorum.has_quorum(now_ms):
            # A majority without this roster may exist, and its owner may be active.
            return OrderPermission.NO_QUORUM
        return OrderPermission.ALLOWED
