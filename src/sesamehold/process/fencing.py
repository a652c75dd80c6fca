"""Fencing numbers that grow over owners, restarts and versions without a store."""

from __future__ import annotations

import attrs

RANK_BITS = 10
MAX_RANK = (1 << RANK_BITS) - 1


@attrs.define
class FencingNumbers:
    """Issues fencing numbers of one order owner.

    A number is the owner's wall clock in milliseconds followed by its rank in the roster. A new
    owner waits longer than the largest difference between two wall clocks before its first order,
    so its numbers exceed those of its predecessor.

    >>> numbers = FencingNumbers(rank=3)
    >>> first, second = numbers.issue(1_000), numbers.issue(1_000)
    >>> first < second
    True
    """

    rank: int
    _last: int = 0

    def issue(self, wall_ms: int) -> int:
        """Returns a number larger than all numbers issued before."""
        self._last = max(self._last + 1, wall_ms << RANK_BITS | self.rank & MAX_RANK)
        return self._last

    def observe(self, highest: int) -> bool:
        """Notes the largest number that a target has seen.

        Returns:
            True if it exceeds all numbers issued here, so another owner was active or a wall clock
            ran ahead.
        """
        exceeded = highest > self._last
        self._last = max(self._last, highest)
        return exceeded
