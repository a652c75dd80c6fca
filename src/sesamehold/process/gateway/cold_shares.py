"""Share of this host in the load that a cold target bears.

The hosts that may use a cold target follow from rendezvous hashing over the known hosts, and each
of them has a fixed share of the target's rate. No message is needed, so the sum holds while hosts
cannot reach each other; a host that knows fewer hosts than there are may use targets that it would
not use otherwise, which the margin covers.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from sesamehold.process.gateway import sliding_window
from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous

# Hosts that may use one cold target; each needs a share of at least one request a second.
MAX_SENDERS = 8
# Hosts beyond the senders that may use a target because they do not know all hosts yet.
MARGIN = 1.5
# Slightly more than the second over which targets are judged, because sends arrive later.
SPAN_MS = 1_100


@attrs.define
class ColdShares:
    """Sends of this host to cold targets."""

    host_address: str
    _sent: dict[str, sliding_window.SlidingCount] = attrs.field(factory=dict)

    def try_take(
        self, target: targets.Target, rate_per_s: float, hosts: Sequence[str], now_ms: int
    ) -> bool:
        """Takes one send out of this host's share; returns False if it is used up.

        Args:
            target: A cold target.
            rate_per_s: Requests a second that the target bears from all hosts.
            hosts: Addresses of all known hosts, this one included.
            now_ms: Monotonic time.
        """
        sender_count = max(1, min(MAX_SENDERS, len(hosts), int(rate_per_s / MARGIN)))
        senders = rendezvous.ranked(hosts, target.target_id)[:sender_count]
        if self.host_address not in senders:
            return False
        share = max(1, int(rate_per_s / (sender_count * MARGIN)))
        sent = self._sent.setdefault(target.target_id, sliding_window.SlidingCount(SPAN_MS))
        if sent.total(now_ms) >= share:
            return False
        sent.add(now_ms)
        return True

    def forget(self, target_id: str) -> None:
        """Drops the count of a target that is gone."""
        self._sent.pop(target_id, None)
