"""Guards cost accounting: nothing lost by rounding, by a killed host or by double counting."""

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
    book = ledger.Ledger()
    book.configure(VERSION)
    for number, cost in enumerate(costs):
        _book(book, number, cost, account, wasted=wasted)
    return book


def _book(
    book: ledger.Ledger, number: int, cost: int, account: str = "owner", *, wasted: bool = False
) -> None:
    book.book(ledger.CostEntry(f"r/0/{number}", account, "p", "s", "o", 1, cost, wasted=wasted))


def _push(
    replication: ledger_replication.LedgerReplication, book: ledger.Ledger
) -> ledger_replication.Push | None:
    replication.begin_interval(book)
    return replication.next_push(VERSION.hosts, book)


def _host(book: ledger.Ledger, host_id: str, incarnation: int = 1) -> ledger.HostLedger:
    return ledger.HostLedger(ledger.Origin(host_id, incarnation), book.totals)


def _cost(rows: ledger.Rows) -> int:
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
    """Guards against millionths that are lost or always land on the same partner."""
    partners = tuple(manifest.PartnerShare(f"p{i}", part) for i, part in enumerate(shares))
    account = attrs.evolve(VERSION.accounts[0], partners=partners)
    book = ledger.Ledger()
    book.configure(attrs.evolve(VERSION, accounts=(account,)))
    for number, cost in enumerate(costs):
        _book(book, number, cost)
    assert _cost(book.totals) == sum(costs)
    for share in partners:
        booked = sum(t.cost for k, t in book.totals.items() if k.partner == share.partner)
        assert abs(booked - sum(costs) * share.fraction) <= len(shares)


def test_attempts_and_units_are_counted_once() -> None:
    book = _ledger(3, 4, wasted=True)
    totals = book.totals.values()
    assert sum(item.attempts for item in totals) == sum(item.units for item in totals) == 2
    assert sum(item.wasted_cost for item in totals) == 7


def test_fleet_work_is_carried_by_partners_of_the_pool_owner() -> None:
    book = _ledger()
    book.book_fleet_work("load/1", "load", VERSION.pools[0], 10)
    assert {key.account for key in book.totals} == {ledger.FLEET_ACCOUNT}
    assert {key.partner: totals.cost for key, totals in book.totals.items()} == {
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
    """Guards against a copy that is added to the counters it was copied from."""
    assert _cost(ledger.merge(ledgers)) == cost
    assert _cost(ledger.merge([*ledgers, *ledgers])) == cost
    documents = cost_table.to_documents(ledgers)
    assert ledger.merge(cost_table.from_documents(documents)) == ledger.merge(ledgers)


def test_killed_host_loses_only_what_followed_its_last_push() -> None:
    """Guards the bound on lost cost; one push is made each interval."""
    book, copies = _ledger(5), ledger_copies.LedgerCopies()
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    for number in (1, 2):
        push = _push(replication, book)
        assert push is not None
        copies.store(ledger.Origin("host-0", 1), push.rows)
        _book(book, number, 10 * number)
    assert _cost(ledger.merge(copies.held())) == 15
    assert _cost(book.totals) == 35


def test_changed_rows_only_and_whole_after_failure() -> None:
    book = _ledger(5)
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    first = _push(replication, book)
    assert first is not None
    assert first.peer.zone == "zone-b"
    assert replication.next_push(VERSION.hosts, book) is None
    _book(book, 9, 2, "guest")
    second = _push(replication, book)
    assert second is not None
    assert {key.account for key in second.rows} == {"guest"}
    replication.fail(second)
    third = _push(replication, book)
    assert third is not None
    assert third.peer != second.peer
    assert third.rows.keys() == second.rows.keys()
    rest = replication.next_push(VERSION.hosts, book)
    assert rest is not None
    assert rest.peer == third.peer
    assert third.rows.keys() | rest.rows.keys() == book.totals.keys()
    _book(book, 10, 2, "guest")
    fourth = _push(replication, book)
    assert fourth is not None
    assert fourth.peer == third.peer


def test_copies_are_bounded() -> None:
    copies = ledger_copies.LedgerCopies(limit=3)
    for incarnation in range(10):
        copies.store(ledger.Origin("a", incarnation), _ledger(1).totals)
    assert [item.origin.incarnation for item in copies.held()] == [7, 8, 9]


def test_changed_rows_go_before_the_rest_in_bounded_pushes() -> None:
    """Guards the bound on lost cost while a new peer receives a large ledger."""
    book = ledger.Ledger()
    limit = ledger_replication.MAX_ROWS
    for number in range(3 * limit):
        book.totals[ledger.CostKey("owner", "", "p", f"stage-{number}", "o")] = ledger.CostTotals()
    replication = ledger_replication.LedgerReplication("host-0", "zone-a")
    _book(book, 1, 5)
    sizes = []
    for _ in range(4):
        replication.begin_interval(book)
        while push := replication.next_push(VERSION.hosts, book):
            sizes.append(len(push.rows))
    assert sizes == [1, limit, limit, limit]
