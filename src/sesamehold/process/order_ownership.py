"""Ownership of pools: which host may send orders to the targets of a pool, and when.

The owner of a pool is the first host of the roster in rendezvous order, whether it is reachable or
not. Ownership changes only with the roster, so engines that ignore fencing numbers are safe too.
The drawback is that the targets of a failed owner get no orders until it is removed from the
roster.
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
    """Whether an order may be sent now, and the reason if not."""

    ALLOWED = "allowed"
    NOT_OWNER = "not-owner"
    HOLD_OFF = "hold-off"
    NO_QUORUM = "no-quorum"


@attrs.define
class OrderOwnership:
    """Ownership of pools as one host sees it.

    Attributes:
        host_id: Id of this host.
        clock_skew_ms: Maximum difference between the wall clocks of two hosts.
    """

    host_id: str
    clock_skew_ms: int = 2_000
    _owners: dict[str, str] = attrs.field(factory=dict)
    _owned_since_ms: dict[str, int] = attrs.field(factory=dict)

    @property
    def hold_off_ms(self) -> int:
        """Returns how long a new owner waits before its first order.

        The previous owner may send orders until it detects the loss of its quorum or learns of the
        new roster, and its last order may take effect until that order times out. The clock skew is
        added so that the fencing numbers of the new owner exceed those of the previous one.
        """
        return shares.HOLD_OFF_BASE_MS + ORDER_TIMEOUT_MS + self.clock_skew_ms

    def configure(self, version: manifest.Manifest, now_ms: int) -> None:
        """Applies the roster and the pools of a configuration version."""
        self.clock_skew_ms = version.policy.clock_skew_ms
        host_ids = [host.id for host in version.hosts]
        owners = {
            pool.name: rendezvous.owner(host_ids, f"orders/{pool.name}") for pool in version.pools
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

        Call it right before sending, so that a paused host does not act on an outdated result.
        """
        owned_since_ms = self._owned_since_ms.get(pool)
        if owned_since_ms is None:
            return OrderPermission.NOT_OWNER
        if now_ms - owned_since_ms < self.hold_off_ms:
            return OrderPermission.HOLD_OFF
        if not quorum.has_quorum(now_ms):
            # A majority may use another roster, under which another owner may be active.
            return OrderPermission.NO_QUORUM
        return OrderPermission.ALLOWED
