"""Tests cost accounting: no loss by rounding or killed hosts, and no double counting."""

from __future__ import annotations

import attrs
import factories
import pytest

from sesamehold.process import cost_table
from sesamehold.process import ledger
from sesamehold.process import ledger_copies
from sesamehold.process import ledger_replication
from sesamehold.version import manifest

VERSION: manifest.Manifest = manifest.from_json(factories.manifest_document()).ok


def _ledger(*costs: int, account: str = "owner", wasted: bool = False) -> ledger.Ledger:
    local_ledger = ledger.Ledger()
    local_ledger.configure(VERSION)
    for number, cost in enumerate(costs):
        _book(local_ledger, number, cost, account, wasted=wasted)
    return local_ledger


def _book(
    local_ledger: ledger.Ledger,
    number: int,
    cost: int,
    account: str = "owner",
    *,
    wasted: bool = False,
) -> None:
    local_ledger.book(
        ledger.CostEntry(f"r/0/{number}", account, "p", "s", "o", 1, cost, wasted=wasted)
    )


def _push(
    replication: ledger_replication.LedgerReplication, local_ledger: ledger.Ledger
) -> ledger_replication.Push | None:
    replication.begin_interval(local_ledger)
    return replication.next_push(VERSION.hosts, local_ledger)


def _host(local_ledger: ledger.Ledger, host_id: str, incarnation: int = 1) -> ledger.HostLedger:
    return ledger.HostLedger(ledger.Origin(host_id, incarnation), local_ledger.totals)


def _cost(rows: ledger.CostRows) -> int:
    return sum(totals.cost for totals in rows.values())


@pytest.mark.parametrize(
    ("costs", "shares"),
    [
        pytest.param([1] * 1_000, (0.5, 0.5), id="odd-millionths"),
        pytest.param([7, 1, 3] * 333, (1 / 3, 1 / 3, 1 / 3), id="thirds"),
        pytest.param([1] * 100, (0.999, 0.001), id="small-partner"),
        pytest.param([0, 5], (1.0,), id="one-partner"),
        pytest.param([1_000_000_007], (0.25, 0.75), id="large"),
    ],
)
def test_split_adds_up_without_bias(costs: list[int], shares: tuple[float, ...]) -> None:
    """Guards against rounding errors that lose cost or always fall on the same partner."""
    partners = tuple(manifest.PartnerShare(f"p{i}", part) for i, part in enumerate(shares))
    account = attrs.evolve(VERSION.accounts[0], partners=partners)
    local_ledger = ledger.Ledger()
    local_ledger.configure(attrs.evolve(VERSION, accounts=(account,)))
    for number, cost in enumerate(costs):
        _book(local_ledger, number, cost)
    assert _cost(local_ledger.totals) == sum(costs)
    for share in partners:
        booked = sum(t.cost for k, t in local_ledger.totals.items() if k.partner == share.partner)
        assert abs(booked - sum(costs) * share.fraction) <= len(shares)


def test_attempts_and_units_are_counted_once() -> None:
    local_ledger = _ledger(3, 4, wasted=True)
    totals = local_ledger.totals.values()
    assert sum(item.attempts for item in totals) == sum(item.units for item in totals) == 2
    assert sum(item.wasted_cost for item in totals) == 7


def test_fleet_work_is_charged_to_the_partners_of_the_pool_owner() -> None:
    local_ledger = _ledger()
    local_ledger.book_fleet_work("load/1", "load", VERSION.pools[0], 10)
    assert {key.account for key in local_ledger.totals} == {ledger.FLEET_ACCOUNT}
    assert {key.partner: totals.cost for key, totals in local_ledger.totals.items()} == {
        "": 0,
        "bars": 5,
        "tolls": 5,
    }


@pytest.mark.parametrize(
    ("ledgers", "cost"),
    [
        pytest.param([_host(_ledger(5), "a"), _host(_ledger(7), "b")], 12, id="two-hosts"),
        pytest.param([_host(_ledger(5, 5), "a"), _host(_ledger(5), "a")], 10, id="old-copy"),
        pytest.param([_host(_ledger(5), "a", 1), _host(_ledger(7), "a", 2)], 12, id="restart"),
        pytest.param([], 0, id="none"),
    ],
)
def test_merge_counts_each_process_once(ledgers: list[ledger.HostLedger], cost: int) -> None:
    """Guards against counting a copy in addition to the counters that it was made from."""
    assert _cost(ledger.merge(ledgers)) == cost
    assert _cost(ledger.merge([*ledgers, *ledgers])) == cost
    documents = cost_table.to_documents(ledgers)
    assert ledger.merge(cost_table.from_documents(documents)) == ledger.merge(ledgers)


def test_killed_host_loses_only_costs_after_its_last_push() -> None:
    """Guards the bound on the cost that a killed host loses, with one push per interval."""
    local_ledger, copies = _ledger(5), ledger_copies.LedgerCopies()
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    for number in (1, 2):
        push = _push(replication, local_ledger)
        assert push is not None
        copies.store(ledger.Origin("host-0", 1), push.rows)
        _book(local_ledger, number, 10 * number)
    assert _cost(ledger.merge(copies.held())) == 15
    assert _cost(local_ledger.totals) == 35


def test_push_holds_only_changed_rows_and_all_rows_after_a_failure() -> None:
    local_ledger = _ledger(5)
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    first = _push(replication, local_ledger)
    assert first is not None
    assert first.peer.zone == "zone-b"
    assert replication.next_push(VERSION.hosts, local_ledger) is None
    _book(local_ledger, 9, 2, "guest")
    second = _push(replication, local_ledger)
    assert second is not None
    assert {key.account for key in second.rows} == {"guest"}
    replication.fail(second)
    third = _push(replication, local_ledger)
    assert third is not None
    assert third.peer != second.peer
    assert third.rows.keys() == second.rows.keys()
    rest = replication.next_push(VERSION.hosts, local_ledger)
    assert rest is not None
    assert rest.peer == third.peer
    assert third.rows.keys() | rest.rows.keys() == local_ledger.totals.keys()
    _book(local_ledger, 10, 2, "guest")
    fourth = _push(replication, local_ledger)
    assert fourth is not None
    assert fourth.peer == third.peer


def test_copies_are_bounded() -> None:
    copies = ledger_copies.LedgerCopies(limit=3)
    for incarnation in range(10):
        copies.store(ledger.Origin("a", incarnation), _ledger(1).totals)
    assert [item.origin.incarnation for item in copies.held()] == [7, 8, 9]


def test_changed_rows_are_pushed_first_in_bounded_pushes() -> None:
    """Guards the bound on lost cost while a large ledger is sent to a new peer."""
    local_ledger = ledger.Ledger()
    limit = ledger_replication.MAX_ROWS
    for number in range(3 * limit):
        local_ledger.totals[ledger.CostKey("owner", "", "p", f"stage-{number}", "o")] = (
            ledger.CostTotals()
        )
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    _book(local_ledger, 1, 5)
    sizes = []
    for _ in range(4):
        replication.begin_interval(local_ledger)
        while push := replication.next_push(VERSION.hosts, local_ledger):
            sizes.append(len(push.rows))
    assert sizes == [1, limit, limit, limit]
