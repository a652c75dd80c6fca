"""Deadline of a request."""

from __future__ import annotations

import attrs


@attrs.frozen
class Deadline:
    """Absolute time on the monotonic clock of the host.

    >>> Deadline.from_budget(1_000, 300).remaining_ms(1_100)
    200
    """

    at_ms: int

    @classmethod
    def from_budget(cls, now_ms: int, budget_ms: int) -> Deadline:
        """Returns the deadline `budget_ms` milliseconds after `now_ms`."""
        return cls(now_ms + budget_ms)

    def remaining_ms(self, now_ms: int) -> int:
        """Returns the time left in milliseconds, 0 after the deadline."""
        return max(0, self.at_ms - now_ms)

    def passed(self, now_ms: int) -> bool:
        """Returns whether the deadline has passed."""
        return now_ms >= self.at_ms
