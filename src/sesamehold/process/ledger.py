"""Cost accounting of attempts by client account, partner, pipeline, stage and pool."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from sesamehold.process import partner_split
from sesamehold.version import manifest

# Account of work that was not caused by a request.
FLEET_ACCOUNT = "fleet"
# Rows without a partner count attempts and units, which are not split, and the cost of accounts
# that are not in the current configuration version.
NO_PARTNER = ""


@attrs.frozen
class CostEntry:
    """Cost of one finished attempt.

    Attributes:
        attempt: Encoded attempt id; an attempt is booked only once.
        account: Client account that caused the work.
        pipeline: Pipeline of the request.
        stage: Stage name.
        pool: Pool of the target.
        units: Units that the target reported.
        cost: Units times the pool's price, in millionths of the venture's currency.
        wasted: True if the result of the attempt was not delivered.
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
    """Key of a row of the cost table."""

    account: str
    partner: str
    pipeline: str
    stage: str
    pool: str


@attrs.define
class CostTotals:
    """Cumulative counters of one row; they never decrease."""

    attempts: int = 0
    units: int = 0
    cost: int = 0
    wasted_cost: int = 0

    def update_to_max(self, other: CostTotals) -> None:
        """Raises each counter to the value of another copy of the row if that is larger."""
        self.attempts = max(self.attempts, other.attempts)
        self.units = max(self.units, other.units)
        self.cost = max(self.cost, other.cost)
        self.wasted_cost = max(self.wasted_cost, other.wasted_cost)

    def add(self, other: CostTotals) -> None:
        """Adds the counters of another row."""
        self.attempts += other.attempts
        self.units += other.units
        self.cost += other.cost
        self.wasted_cost += other.wasted_cost


CostRows = Mapping[CostKey, CostTotals]


@attrs.frozen
class Origin:
    """Process that booked a row; the incarnation changes when a host restarts."""

    host_id: str
    incarnation: int


@attrs.frozen
class HostLedger:
    """Rows of one process, either its own counters or a copy of them."""

    origin: Origin
    rows: CostRows


@attrs.define
class Ledger:
    """Cumulative cost counters of this process.

    >>> ledger = Ledger()
    >>> entry = CostEntry("r/0/1", "a", "p", "s", "pool", 3, 6, wasted=False)
    >>> ledger.book(entry), ledger.book(entry)
    (True, False)
    """

    totals: dict[CostKey, CostTotals] = attrs.field(factory=dict)
    _shares: dict[str, tuple[manifest.PartnerShare, ...]] = attrs.field(factory=dict)
    _splits: dict[CostKey, partner_split.PartnerSplit] = attrs.field(factory=dict)
    _changed: dict[CostKey, None] = attrs.field(factory=dict)
    _booked: dict[str, None] = attrs.field(factory=dict)
    _booked_limit: int = 100_000

    def configure(self, version: manifest.Manifest) -> None:
        """Applies the partner shares of a configuration version to cost booked from now on."""
        self._shares = {account.name: account.partners for account in version.accounts}

    def book(self, entry: CostEntry) -> bool:
        """Books one attempt; returns False if it has already been booked."""
        return self._book(entry, entry.account)

    def book_fleet_work(self, work_id: str, kind: str, pool: manifest.Pool, units: int) -> bool:
        """Books work that was not caused by a request, charged to the partners of the pool's owner.

        Args:
            work_id: Unique id of the order or probe.
            kind: Kind of work, such as `load`; recorded as the stage.
            pool: Pool of the target.
            units: Units that the target reported.
        """
        entry = CostEntry(
            attempt=work_id,
            account=FLEET_ACCOUNT,
            pipeline="",
            stage=kind,
            pool=pool.name,
            units=units,
            cost=units * pool.cost_per_unit,
            wasted=False,
        )
        return self._book(entry, pool.owner)

    def take_changed(self) -> list[CostKey]:
        """Returns the rows that changed since the last call."""
        changed = list(self._changed)
        self._changed.clear()
        return changed

    def _book(self, entry: CostEntry, payer: str) -> bool:
        if entry.attempt in self._booked:
            return False
        self._mark_booked(entry.attempt)
        unsplit_key = CostKey(entry.account, NO_PARTNER, entry.pipeline, entry.stage, entry.pool)
        shares = self._shares.get(payer, ())
        self._add(unsplit_key, CostTotals(attempts=1, units=entry.units))
        if not shares:
            self._add(unsplit_key, _cost_of(entry.cost, wasted=entry.wasted))
            return True
        split = self._splits.setdefault(unsplit_key, partner_split.PartnerSplit())
        for partner, cost in split.split(entry.cost, shares).items():
            self._add(
                attrs.evolve(unsplit_key, partner=partner), _cost_of(cost, wasted=entry.wasted)
            )
        return True

    def _add(self, key: CostKey, totals: CostTotals) -> None:
        self.totals.setdefault(key, CostTotals()).add(totals)
        self._changed[key] = None

    def _mark_booked(self, attempt: str) -> None:
        self._booked[attempt] = None
        if len(self._booked) > self._booked_limit:
            del self._booked[next(iter(self._booked))]


def _cost_of(cost: int, *, wasted: bool) -> CostTotals:
    return CostTotals(cost=cost, wasted_cost=cost if wasted else 0)


def merge(ledgers: Iterable[HostLedger]) -> dict[CostKey, CostTotals]:
    """Adds up the ledgers of several processes without double counting copies.

    Counters never decrease, so the largest value among the copies of a process is the latest one.
    """
    by_origin: dict[Origin, dict[CostKey, CostTotals]] = {}
    for host_ledger in ledgers:
        rows = by_origin.setdefault(host_ledger.origin, {})
        for key, totals in host_ledger.rows.items():
            rows.setdefault(key, CostTotals()).update_to_max(totals)
    merged: dict[CostKey, CostTotals] = {}
    for rows in by_origin.values():
        for key, totals in rows.items():
            merged.setdefault(key, CostTotals()).add(totals)
    return merged
