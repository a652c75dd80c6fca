"""Chooses what a host reports to others when not everything fits into one datagram.

What all hosts know already must not keep new entries out, and what was told once must be told again
to hosts that start later or that missed it. So entries that changed go first, a few times each, and
part of every report is left for the others, of which those reported longest ago go first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Generic
from typing import TypeVar

import attrs

# Reports that contain an entry after it has changed, before it waits for its turn.
REPORTS_OF_CHANGE = 4
# Ranks that a change loses with each report, so that it cannot keep out newer ones of a lower rank.
RANKS_PER_REPORT = 2
# Part of a report that changed entries may use while others wait.
CHANGES_FRACTION = 0.75

KeyT = TypeVar("KeyT")


@attrs.define
class ReportRotation(Generic[KeyT]):
    """Order in which the entries of one table are reported."""

    # Reports that are still to contain a changed entry.
    _pending: dict[KeyT, int] = attrs.field(factory=dict)
    _reported: dict[KeyT, int] = attrs.field(factory=dict)
    _report_count: int = 0

    def note_change(self, key: KeyT) -> None:
        """Records that an entry is new or has changed."""
        self._pending[key] = REPORTS_OF_CHANGE

    def choose(
        self,
        keys: Iterable[KeyT],
        capacity: int,
        *,
        size: Callable[[KeyT], int] | None = None,
        rank: Callable[[KeyT], int] | None = None,
    ) -> list[KeyT]:
        """Returns the entries of the next report.

        Args:
            keys: All entries of the table; what is known of others is discarded.
            capacity: Limit on the sum of the sizes.
            size: Size of an entry; without it, the capacity is a number of entries.
            rank: Rank of a changed entry; those with a high rank go first, but each report of a
                change lowers its place by `RANKS_PER_REPORT`.
        """
        present = list(keys)
        self._pending = {key: self._pending[key] for key in present if key in self._pending}
        self._reported = {key: self._reported.get(key, 0) for key in present}
        changed = sorted(
            self._pending,
            key=lambda key: RANKS_PER_REPORT * self._pending[key] + (rank(key) if rank else 0),
            reverse=True,
        )
        others = [key for key in present if key not in self._pending]
        others.sort(key=self._reported.__getitem__)
        selection: _Selection[KeyT] = _Selection(size)
        selection.take(changed, int(capacity * CHANGES_FRACTION) if others else capacity)
        changed = changed[len(selection.keys) :]
        selection.take(others, capacity)
        selection.take(changed, capacity)
        self._note_reported(selection.keys)
        return selection.keys

    def _note_reported(self, keys: Iterable[KeyT]) -> None:
        self._report_count += 1
        for key in keys:
            self._reported[key] = self._report_count
            pending_count = self._pending.pop(key, 0)
            if pending_count > 1:
                self._pending[key] = pending_count - 1


@attrs.define
class _Selection(Generic[KeyT]):
    """Entries that were chosen for one report, and the sum of their sizes."""

    _size: Callable[[KeyT], int] | None
    keys: list[KeyT] = attrs.field(factory=list)
    _total: int = 0

    def take(self, keys: Iterable[KeyT], capacity: int) -> None:
        """Adds entries in their order until the next one would exceed the capacity."""
        for key in keys:
            total = self._total + (1 if self._size is None else self._size(key))
            if total > capacity:
                return
            self._total = total
            self.keys.append(key)
