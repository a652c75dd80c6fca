"""Share of this host in the fleet's budget of repeated sends.

The operator bounds the repeated sends to a service over all hosts within a sliding window: a
fraction of the requests for it, and a fixed number besides. Every host keeps to the fraction of its
own requests and to its part of the fixed number, so the sum holds in any partition.
"""

from __future__ import annotations

import attrs

from sesamehold.process.gateway import settings
from sesamehold.process.gateway import sliding_window

# Hosts count requests at arrival and targets count sends some time later, so a window of the
# targets can hold more repeats than one of a host. The rest is left for that.
USABLE_FRACTION = 0.8


@attrs.define
class RepeatBudget:
    """Repeated sends of this host by service."""

    _bounds: settings.FleetBounds
    _requests: dict[str, sliding_window.SlidingCount] = attrs.field(factory=dict)
    _repeats: dict[str, sliding_window.SlidingCount] = attrs.field(factory=dict)

    def reload(self, bounds: settings.FleetBounds) -> None:
        """Takes over changed bounds."""
        self._bounds = bounds

    def record_request(self, service: str, now_ms: int) -> None:
        """Notes a request for a service."""
        self._count(self._requests, service).add(now_ms)

    def try_spend(self, service: str, host_count: int, now_ms: int) -> bool:
        """Takes one repeated send out of the budget; returns False if it is used up.

        Args:
            service: Service that the request is sent to again.
            host_count: Largest number of hosts that may be running.
            now_ms: Monotonic time.
        """
        repeats = self._count(self._repeats, service)
        if repeats.total(now_ms) + 1 > self.allowance(service, host_count, now_ms):
            return False
        repeats.add(now_ms)
        return True

    def allowance(self, service: str, host_count: int, now_ms: int) -> float:
        """Returns the number of repeated sends that this host may make within the window."""
        requests = self._count(self._requests, service).total(now_ms)
        extra = self._bounds.retry_extra / max(1, host_count)
        return USABLE_FRACTION * (self._bounds.retry_ratio * requests + extra)

    def _count(
        self, counts: dict[str, sliding_window.SlidingCount], service: str
    ) -> sliding_window.SlidingCount:
        count = counts.get(service)
        if count is None:
            count = counts[service] = sliding_window.SlidingCount(self._bounds.retry_window_ms)
        return count
