"""Cost of all attempts by client account, partner, pipeline and stage."""

from __future__ import annotations

import attrs


@attrs.frozen
class CostEntry:
    """Cost of one finished attempt.

    Attributes:
        attempt: Encoded attempt id; an attempt is booked once.
        account: Client account that caused the work.
        pipeline: Pipeline of the request.
        stage: Stage name.
        pool: Pool of the target.
        units: Units that the target reported.
        cost: Units times the pool's price, in millionths of the venture's currency.
        wasted: True if nobody received the result of the attempt.
    """

    attempt: str
    account: str
    pipeline: str
    stage: str
    pool: str
    units: int
    cost: int
    wasted: bool


@attrs.frozen
class CostKey:
    """Cell of the cost table."""

    account: str
    pipeline: str
    stage: str
    pool: str


@attrs.define
class CostTotals:
    """Cumulative counters of one cell; they only grow."""

    attempts: int = 0
    units: int = 0
    cost: int = 0
    wasted_cost: int = 0


@attrs.define
class Ledger:
    """Cumulative cost counters of this process.

    >>> ledger = Ledger()
    >>> entry = CostEntry("r/0/1", "a", "p", "s", "pool", 3, 6, wasted=False)
    >>> ledger.book(entry), ledger.book(entry)
    (True, False)
    """

    totals: dict[CostKey, CostTotals] = attrs.field(factory=dict)
    _booked: dict[str, None] = attrs.field(factory=dict)
    _booked_limit: int = 100_000

    def book(self, entry: CostEntry) -> bool:
        """Adds one attempt; returns False if it was booked before."""
        if entry.attempt in self._booked:
            return False
        self._remember(entry.attempt)
        key = CostKey(entry.account, entry.pipeline, entry.stage, entry.pool)
        cell = self.totals.setdefault(key, CostTotals())
        cell.attempts += 1
        cell.units += entry.units
        cell.cost += entry.cost
        if entry.wasted:
            cell.wasted_cost += entry.cost
        return True

    def _remember(self, attempt: str) -> None:
        self._booked[attempt] = None
        if len(self._booked) > self._booked_limit:
            del self._booked[next(iter(self._booked))]
