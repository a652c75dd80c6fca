"""Counts of events within the last span of time."""

from __future__ import annotations

import collections

import attrs


@attrs.define
class SlidingCount:
    """Number of events in the last `span_ms`.

    >>> count = SlidingCount(1_000)
    >>> count.add(0), count.add(500), count.total(1_200)
    (None, None, 1)
    """

    span_ms: int
    _times_ms: collections.deque[int] = attrs.field(factory=collections.deque)

    def add(self, now_ms: int) -> None:
        """Counts one event."""
        self._times_ms.append(now_ms)
        self._expire(now_ms)

    def total(self, now_ms: int) -> int:
        """Returns the number of events in the span that ends now."""
        self._expire(now_ms)
        return len(self._times_ms)

    def _expire(self, now_ms: int) -> None:
        limit_ms = now_ms - self.span_ms
        while self._times_ms and self._times_ms[0] <= limit_ms:
            self._times_ms.popleft()
