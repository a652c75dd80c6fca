"""Cost rows as JSON-compatible values."""

from __future__ import annotations

from collections.abc import Iterable
import operator
from typing import Any

import attrs
import cattrs

from sesamehold.process import ledger
from sesamehold.version import manifest


@attrs.frozen
class _Row:
    account: str
    partner: str
    pipeline: str
    stage: str
    pool: str
    attempts: int
    units: int
    cost: int
    wasted_cost: int


@attrs.frozen
class _HostRows:
    host_id: str
    incarnation: int
    rows: tuple[_Row, ...]


_ORDER = operator.attrgetter("account", "partner", "pipeline", "stage", "pool")
_CONVERTER = manifest.strict_converter()


def to_rows(rows: ledger.CostRows) -> list[dict[str, Any]]:
    """Returns cost rows, sorted by their keys."""
    ordered = sorted(rows, key=_ORDER)
    return [_row(key, rows[key]) for key in ordered]


def _row(key: ledger.CostKey, totals: ledger.CostTotals) -> dict[str, Any]:
    # Written out, because `attrs.asdict` takes several times as long for 30,000 rows.
    return {
        "account": key.account,
        "partner": key.partner,
        "pipeline": key.pipeline,
        "stage": key.stage,
        "pool": key.pool,
        "attempts": totals.attempts,
        "units": totals.units,
        "cost": totals.cost,
        "wasted_cost": totals.wasted_cost,
    }


def to_documents(ledgers: Iterable[ledger.HostLedger]) -> list[dict[str, Any]]:
    """Returns ledgers with their origins."""
    return [
        {
            "host_id": item.origin.host_id,
            "incarnation": item.origin.incarnation,
            "rows": to_rows(item.rows),
        }
        for item in ledgers
    ]


def from_documents(documents: Any) -> list[ledger.HostLedger]:
    """Parses the output of `to_documents`; raises ValueError for anything else."""
    try:
        parsed = _CONVERTER.structure(documents, tuple[_HostRows, ...])
    except cattrs.BaseValidationError as error:
        raise ValueError("; ".join(cattrs.transform_error(error)[:5])) from None
    return [
        ledger.HostLedger(
            ledger.Origin(item.host_id, item.incarnation),
            {_key(row): _totals(row) for row in item.rows},
        )
        for item in parsed
    ]


def _key(row: _Row) -> ledger.CostKey:
    return ledger.CostKey(row.account, row.partner, row.pipeline, row.stage, row.pool)


def _totals(row: _Row) -> ledger.CostTotals:
    return ledger.CostTotals(row.attempts, row.units, row.cost, row.wasted_cost)


def group(rows: Iterable[dict[str, Any]], by: Iterable[str]) -> list[dict[str, Any]]:
    """Groups rows by the given columns and adds up their counters.

    >>> row = {"account": "a", "stage": "s", "attempts": 1, "units": 2, "cost": 3, "wasted_cost": 0}
    >>> group([row, {**row, "stage": "t"}], ["account"])
    [{'account': 'a', 'attempts': 2, 'units': 4, 'cost': 6, 'wasted_cost': 0}]
    """
    columns = list(by)
    counters = [field.name for field in attrs.fields(ledger.CostTotals)]
    cells: dict[tuple[str, ...], dict[str, Any]] = {}
    for row in rows:
        key = tuple(row[name] for name in columns)
        cell = cells.setdefault(
            key, {**dict(zip(columns, key, strict=True)), **dict.fromkeys(counters, 0)}
        )
        for name in counters:
            cell[name] += row[name]
    return [cells[key] for key in sorted(cells)]
