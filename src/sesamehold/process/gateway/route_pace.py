"""Time that targets take to answer the requests of a route, as a moving high estimate."""

from __future__ import annotations

import attrs

# An observation above the estimate moves it by more than one below, so that it stays near the
# 80th percentile: the weights are in the ratio of 80 to 20.
RISE_WEIGHT = 0.16
FALL_WEIGHT = 0.04
INITIAL_MS = 200.0


@attrs.define
class RoutePace:
    """Estimates by route.

    >>> pace = RoutePace()
    >>> pace.record("r", 1_200)
    >>> pace.expected_ms("r")
    360
    """

    _estimates_ms: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, duration_ms: float) -> None:
        """Notes the time from a send to the answer or the first event."""
        estimate_ms = self._estimates_ms.get(route, INITIAL_MS)
        weight = RISE_WEIGHT if duration_ms > estimate_ms else FALL_WEIGHT
        self._estimates_ms[route] = estimate_ms + weight * (duration_ms - estimate_ms)

    def expected_ms(self, route: str) -> int:
        """Returns the estimate for one request."""
        return int(self._estimates_ms.get(route, INITIAL_MS))
