"""Copies of other hosts' cost counters."""

from __future__ import annotations

import collections

import attrs

from sesamehold.process import ledger

# Each live host replicates to one peer, so a host has few copies of live processes; the others are
# copies of processes that have ended.
MAX_COPIES = 64


@attrs.define
class LedgerCopies:
    """Copies by process; the least recently updated copy is evicted first."""

    limit: int = MAX_COPIES
    _copies: collections.OrderedDict[ledger.Origin, dict[ledger.CostKey, ledger.CostTotals]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def store(self, origin: ledger.Origin, rows: ledger.CostRows) -> None:
        """Merges rows of another process; late or repeated messages have no effect."""
        copy = self._copies.setdefault(origin, {})
        self._copies.move_to_end(origin)
        for key, totals in rows.items():
            copy.setdefault(key, ledger.CostTotals()).update_to_max(totals)
        if len(self._copies) > self.limit:
            self._copies.popitem(last=False)

    def held(self) -> list[ledger.HostLedger]:
        """Returns all copies."""
        return [ledger.HostLedger(origin, rows) for origin, rows in self._copies.items()]

    def __len__(self) -> int:
        return len(self._copies)
