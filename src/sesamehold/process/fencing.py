"""Fencing numbers that increase across owners, restarts and versions without persistent storage."""

from __future__ import annotations

import attrs

RANK_BITS = 10
MAX_RANK = (1 << RANK_BITS) - 1


@attrs.define
class FencingTokenIssuer:
    """Issues the fencing numbers of one owner.

    The high bits of a number are the owner's wall clock in milliseconds, the low bits its rank in
    the roster. Before its first order, a new owner waits longer than the maximum difference between
    two wall clocks, so its numbers exceed those of its predecessor.

    >>> numbers = FencingTokenIssuer(rank=3)
    >>> first, second = numbers.issue(1_000), numbers.issue(1_000)
    >>> first < second
    True
    """

    rank: int
    _last: int = 0

    def issue(self, wall_ms: int) -> int:
        """Returns a number larger than all numbers issued or observed before."""
        self._last = max(self._last + 1, wall_ms << RANK_BITS | self.rank & MAX_RANK)
        return self._last

    def observe(self, highest: int) -> bool:
        """Records the largest number that a target has seen.

        Returns:
            True if it exceeds all numbers issued or observed here, which means that another owner
            was active or that a wall clock was ahead.
        """
        exceeded = highest > self._last
        self._last = max(self._last, highest)
        return exceeded
