"""Estimates the 80th percentile of the time that targets take to answer requests, by route."""

from __future__ import annotations

import attrs

# Weights of observations above and below the estimate. Their ratio of 80 to 20 keeps the estimate
# near the 80th percentile.
RISE_WEIGHT = 0.16
FALL_WEIGHT = 0.04
INITIAL_ESTIMATE_MS = 200.0


@attrs.define
class RouteLatency:
    """Latency estimates by route.

    >>> pace = RouteLatency()
    >>> pace.record("r", 1_200)
    >>> pace.expected_ms("r")
    360
    """

    _estimates_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, duration_ms: float) -> None:
        """Records the time from a send to the answer or the first event."""
        estimate_ms = self._estimates_ms.get(route, INITIAL_ESTIMATE_MS)
        weight = RISE_WEIGHT if duration_ms > estimate_ms else FALL_WEIGHT
        self._estimates_ms[route] = estimate_ms + weight * (duration_ms - estimate_ms)

    def expected_ms(self, route: str) -> int:
        """Returns the estimated time for one request of a route."""
        return int(self._estimates_ms.get(route, INITIAL_ESTIMATE_MS))
