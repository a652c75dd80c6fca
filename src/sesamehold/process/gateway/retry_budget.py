"""Share of this host in the fleet-wide retry budget.

The operator limits the retries to a service from all hosts within a sliding window to a fraction of
the requests for it plus a fixed number. Every host keeps to that fraction of its own requests and
to its part of the fixed number, so the total limit holds in any network partition.

Nobody remembers what a process that was killed had spent, which may be its whole share just before
its end. For the length of one window a process therefore uses a small part of its share only, and
that part grows with its age, so that many restarts within a window add up to no more than one.
"""

from __future__ import annotations

import attrs

from sesamehold.process.gateway import settings
from sesamehold.process.gateway import sliding_window

# Fraction of the budget that may be used. Hosts count requests at arrival and targets count sends
# some time later, so a window at the targets can contain more retries than a window at a host.
USABLE_FRACTION = 0.8
# Fraction of its share that a process uses in its first window. Together with the usable share of
# its predecessor it has to stay below the limit.
STARTING_FRACTION = 0.2


@attrs.define
class RetryBudget:
    """Retry budget of this host by service.

    Attributes:
        started_ms: Monotonic time at which the process started.
    """

    _bounds: settings.FleetBounds
    started_ms: int
    _requests: dict[str, sliding_window.SlidingWindowCounter] = attrs.field(factory=dict)
    _retries: dict[str, sliding_window.SlidingWindowCounter] = attrs.field(factory=dict)

    def reload(self, bounds: settings.FleetBounds) -> None:
        """Applies changed limits."""
        self._bounds = bounds

    def record_request(self, service: str, now_ms: int) -> None:
        """Counts a request for a service."""
        self._counter(self._requests, service).add(now_ms)

    def try_spend(self, service: str, host_count: int, now_ms: int) -> bool:
        """Consumes one retry of the budget; returns False if it is used up.

        Args:
            service: Service that receives the retry.
            host_count: Upper bound of the number of running hosts.
            now_ms: Monotonic time.
        """
        if not self.has_left(service, host_count, now_ms):
            return False
        self._counter(self._retries, service).add(now_ms)
        return True

    def has_left(self, service: str, host_count: int, now_ms: int) -> bool:
        """Returns whether a retry is left; takes the same arguments as `try_spend`."""
        spent = self._counter(self._retries, service).total(now_ms)
        return spent + 1 <= self.allowance(service, host_count, now_ms)

    def allowance(self, service: str, host_count: int, now_ms: int) -> float:
        """Returns the number of retries that this host may send within one window."""
        requests = self._counter(self._requests, service).total(now_ms)
        extra = self._bounds.retry_extra / max(1, host_count)
        usable = USABLE_FRACTION
        age_ms = now_ms - self.started_ms
        if age_ms < self._bounds.retry_window_ms:
            usable *= STARTING_FRACTION
            extra *= age_ms / self._bounds.retry_window_ms
        return usable * (self._bounds.retry_ratio * requests + extra)

    def _counter(
        self, counters: dict[str, sliding_window.SlidingWindowCounter], service: str
    ) -> sliding_window.SlidingWindowCounter:
        counter = counters.get(service)
        if counter is None:
            counter = counters[service] = sliding_window.SlidingWindowCounter(
                self._bounds.retry_window_ms
            )
        return counter
