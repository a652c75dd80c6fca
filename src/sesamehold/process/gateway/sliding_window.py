"""Counter of the events within a sliding time window."""

from __future__ import annotations

import collections

import attrs


@attrs.define
class SlidingWindowCounter:
    """Counts the events of the last `window_ms` milliseconds.

    >>> count = SlidingWindowCounter(1_000)
    >>> count.add(0), count.add(500), count.total(1_200)
    (None, None, 1)
    """

    window_ms: int
    _event_times_ms: collections.deque[int] = attrs.field(factory=collections.deque)

    def add(self, now_ms: int) -> None:
        """Counts one event."""
        self._event_times_ms.append(now_ms)
        self._expire(now_ms)

    def total(self, now_ms: int) -> int:
        """Returns the number of events in the window that ends now."""
        self._expire(now_ms)
        return len(self._event_times_ms)

    def _expire(self, now_ms: int) -> None:
        window_start_ms = now_ms - self.window_ms
        while self._event_times_ms and self._event_times_ms[0] <= window_start_ms:
            self._event_times_ms.popleft()
