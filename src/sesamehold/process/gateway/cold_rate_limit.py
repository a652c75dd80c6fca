"""Limits the rate at which this host sends requests to cold targets.

Rendezvous hashing over the known hosts selects the hosts that may send to a cold target, and each
of them has a fixed share of the target's rate. The hosts exchange no messages for this, so the
limit also holds while they cannot reach each other. A host that does not know all hosts may select
itself for more targets than it should, which `OVERLAP_MARGIN` allows for.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from sesamehold.process.gateway import sliding_window
from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous

# Most hosts that may send to one cold target; each needs a share of at least one request a second.
MAX_SENDERS = 8
# Safety factor on the rate of a target, for additional hosts that send to it because they do not
# know all hosts yet.
OVERLAP_MARGIN = 1.5
# Slightly longer than the second over which the rate of a target is measured, because requests
# arrive some time after they are sent.
WINDOW_MS = 1_100


@attrs.define
class ColdRateLimit:
    """Rate limit of this host for sends to cold targets.

    Attributes:
        host_address: Peer address of this host.
    """

    host_address: str
    _send_counters: dict[str, sliding_window.SlidingWindowCounter] = attrs.field(factory=dict)

    def try_acquire(
        self, target: targets.Target, rate_per_s: float, hosts: Sequence[str], now_ms: int
    ) -> bool:
        """Consumes one send of this host's share; returns False if none is left.

        Args:
            target: A cold target.
            rate_per_s: Requests per second that the target can take from all hosts together.
            hosts: Addresses of all known hosts, including this one.
            now_ms: Monotonic time.
        """
        sender_count = max(1, min(MAX_SENDERS, len(hosts), int(rate_per_s / OVERLAP_MARGIN)))
        senders = rendezvous.ranked(hosts, target.target_id)[:sender_count]
        if self.host_address not in senders:
            return False
        share = max(1, int(rate_per_s / (sender_count * OVERLAP_MARGIN)))
        counter = self._send_counters.setdefault(
            target.target_id, sliding_window.SlidingWindowCounter(WINDOW_MS)
        )
        if counter.total(now_ms) >= share:
            return False
        counter.add(now_ms)
        return True

    def forget(self, target_id: str) -> None:
        """Discards the counter of a target that was removed."""
        self._send_counters.pop(target_id, None)
