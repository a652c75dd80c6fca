"""Tests of limits that hold over all hosts, of store replicas and of gossip membership."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesamehold.process.gateway import cold_rate_limit
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import retry_budget
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets

TARGET = targets.Target("i-1", 1, "s", "10.0.0.1:80", "z1")


@pytest.mark.parametrize("host_count", [1, 3, 8, 12, 77, 1_000])
@pytest.mark.parametrize("rate_per_s", [9.0, 22.0])
def test_cold_target_gets_no_more_than_its_rate(host_count: int, rate_per_s: float) -> None:
    """Guards against a cold target that is overloaded by one request from each host."""
    addresses = [f"10.1.{index // 250}.{index % 250}:7" for index in range(host_count)]
    shares = [cold_rate_limit.ColdRateLimit(address) for address in addresses]
    for start_ms in (0, 400):
        sent = sum(
            share.try_acquire(TARGET, rate_per_s, addresses, start_ms + step)
            for share in shares
            for step in range(0, 600, 50)
        )
        assert sent <= rate_per_s
    assert sent + 1 > 0


def test_some_host_may_use_a_cold_target() -> None:
    """Guards against a cold target that stays cold because no host may send to it."""
    addresses = [f"10.1.0.{index}:7" for index in range(40)]
    taken = [
        cold_rate_limit.ColdRateLimit(address).try_acquire(TARGET, 9.0, addresses, 0)
        for address in addresses
    ]
    assert any(taken)


@pytest.mark.parametrize(
    ("host_count", "requests"),
    [
        pytest.param(1, 0, id="alone"),
        pytest.param(8, 100, id="small-fleet"),
        pytest.param(77, 30, id="large-fleet"),
    ],
)
def test_retries_of_all_hosts_stay_within_the_budget(host_count: int, requests: int) -> None:
    """Guards against retries over the operator's limit from hosts that cannot communicate."""
    bounds = settings.FleetBounds(retry_ratio=0.2, retry_extra=56)
    spent = 0
    for _ in range(host_count):
        budget = retry_budget.RetryBudget(bounds, started_ms=-bounds.retry_window_ms)
        for index in range(requests):
            budget.record_request("s", index)
        spent += sum(budget.try_spend("s", host_count, 1_000) for _ in range(500))
    assert spent <= 0.2 * requests * host_count + 56


def test_retries_are_allowed_again_after_the_window() -> None:
    """Guards against a budget that is never replenished."""
    bounds = settings.FleetBounds(retry_ratio=0.0, retry_extra=2)
    budget = retry_budget.RetryBudget(bounds, started_ms=-bounds.retry_window_ms)
    assert [budget.try_spend("s", 1, 0) for _ in range(2)] == [True, False]
    assert budget.try_spend("s", 1, 10_001)


ITEMS = st.lists(
    st.builds(
        store_replica.StoreItem,
        key=st.sampled_from(["p/a", "p/b", "p/c"]),
        value=st.sampled_from([None, b"1", b"2"]),
        revision=st.integers(1, 30),
    ),
    max_size=30,
    unique_by=lambda item: item.revision,
)


@given(items=ITEMS, seed=st.integers(0, 1_000))
def test_replicas_converge_in_any_order(items: list[store_replica.StoreItem], seed: int) -> None:
    """Guards against an older copy of an item that replaces a newer one."""
    shuffled = list(items)
    random.Random(seed).shuffle(shuffled)
    first = store_replica.StoreReplica("p/")
    second = store_replica.StoreReplica("p/")
    first.merge_changes(items, 30, 0)
    for item in shuffled:
        second.merge_changes([item], item.revision, 0)
    second.merge_changes(shuffled, 30, 0)
    assert first.items() == second.items()


def test_listing_deletes_missing_items_unless_they_are_newer() -> None:
    """Guards against targets that stay after a lost deletion.

    An outdated listing must not remove targets that registered after it.
    """
    replica = store_replica.StoreReplica("p/")
    item = store_replica.StoreItem
    replica.merge_changes([item("p/old", b"1", 3), item("p/new", b"1", 9)], 9, 0)
    changed = replica.merge_listing(store_replica.StoreListing((), 5), 0)
    assert [(entry.key, entry.value) for entry in changed] == [("p/old", None)]


def test_deleted_key_is_not_restored_by_an_older_replica() -> None:
    """Guards against a removed target that returns from a host that still lists it."""
    replica = store_replica.StoreReplica("p/")
    item = store_replica.StoreItem
    replica.merge_changes([item("p/a", None, 8)], 8, 0)
    assert replica.merge_changes([item("p/a", b"1", 5)], 5, 1_000) == []


def _table(name: str, seeds: list[str]) -> hosts.HostTable:
    return hosts.HostTable.create(name, "z1", 100, seeds, random.Random(name))


def _candidates(table: hosts.HostTable, now_ms: int) -> list[str]:
    return [beat.address for beat in table.candidates(now_ms)]


def test_hosts_discover_each_other_from_one_seed() -> None:
    """Guards against a fleet that stays partitioned."""
    names = [f"10.1.0.{index}:7" for index in range(30)]
    tables = {name: _table(name, [names[0]]) for name in names}
    for now_ms in range(0, 8_000, hosts.HEARTBEAT_INTERVAL_MS):
        for table in tables.values():
            for address in table.next_heartbeat((1, 1), now_ms):
                other = tables[address]
                other.merge(table.gossip_entries(now_ms), now_ms)
                table.merge(other.gossip_entries(now_ms), now_ms)
    assert all(len(table.alive(8_000)) == 29 for table in tables.values())


@pytest.mark.parametrize(
    ("beat", "expected"),
    [
        pytest.param(hosts.HostBeat("b", 1, 5, "z", horizons=(1, 1)), ["b", "a"], id="alive"),
        pytest.param(hosts.HostBeat("b", 1, 5, "z", True, (1, 1)), ["a"], id="leaving"),
        pytest.param(hosts.HostBeat("b", 1, 5, "z", horizons=(1, 0)), ["a"], id="prefix-not-read"),
    ],
)
def test_hosts_eligible_for_shared_work(beat: hosts.HostBeat, expected: list[str]) -> None:
    """Guards against stages sent to a host that is leaving or has no configuration."""
    table = _table("a", [])
    table.merge([beat], 0)
    assert _candidates(table, 0) == expected
    assert _candidates(table, hosts.LIVENESS_TIMEOUT_MS + 1) == ["a"]


def test_avoided_host_becomes_eligible_again() -> None:
    """Guards against a host that stays excluded after one failure."""
    table = _table("a", [])
    table.merge([hosts.HostBeat("b", 1, 5, "z", horizons=(1, 1))], 0)
    table.avoid("b", 500)
    assert _candidates(table, 100) == ["a"]
    assert _candidates(table, 600) == ["b", "a"]


def _beat(name: str, core_count: float) -> hosts.HostBeat:
    return hosts.HostBeat(name, 1, 5, "z", horizons=(1,), core_count=core_count)


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [
        pytest.param(0.5, {"b": 2.0, "c": 0.5, "d": 1.8}, ["b", "d"], id="large-hosts-only"),
        pytest.param(2.0, {"b": 0.5}, ["a"], id="this-host-is-the-largest"),
        pytest.param(0.5, {"b": 0.5, "c": 0.45}, ["b", "c", "a"], id="similar-sizes"),
    ],
)
def test_shared_work_goes_to_the_largest_hosts(
    own: float, others: dict[str, float], expected: list[str]
) -> None:
    """Guards against a leader with a fraction of a core that delays the whole fleet."""
    table = hosts.HostTable.create("a", "z1", 1, [], random.Random(1), core_count=own)
    table.merge([_beat(name, cores) for name, cores in others.items()], 0)
    assert _candidates(table, 0) == expected


@pytest.mark.parametrize(
    ("own_start", "others", "leader"),
    [
        pytest.param(5, {"b": 3, "c": 4}, "b", id="oldest-host"),
        pytest.param(2, {"b": 3}, "a", id="this-host"),
        pytest.param(3, {"b": 3}, "a", id="started-together"),
    ],
)
def test_longest_running_host_is_the_leader(
    own_start: int, others: dict[str, int], leader: str
) -> None:
    """Guards against a change of leader whenever a host restarts."""
    table = hosts.HostTable.create("a", "z1", own_start, [], random.Random(1))
    beats = [hosts.HostBeat(name, start, 1, "z", horizons=(1,)) for name, start in others.items()]
    table.merge(beats, 0)
    assert table.leader(0) == leader


def test_every_datagram_contains_the_largest_hosts() -> None:
    """Guards against hosts that disagree on which of the largest hosts are alive."""
    table = _table("a", [])
    large = [f"s{index}" for index in range(hosts.MAX_LARGEST_HOSTS)]
    table.merge([_beat(f"w{index}", 0.5) for index in range(60)], 0)
    table.merge([_beat(name, 2.0) for name in large], 0)
    for _ in range(10):
        entries = table.gossip_entries(0)
        assert len(entries) == hosts.MAX_HOSTS_PER_DATAGRAM
        assert {beat.address for beat in entries[1:]} >= set(large)


def test_host_that_has_just_started_sends_heartbeats_faster() -> None:
    """Guards against hosts that start together and all act as leader for seconds."""
    table = _table("a", [])
    intervals = []
    for now_ms in range(0, 3_000, 100):
        table.next_heartbeat((1,), now_ms)
        intervals.append(table.heartbeat_interval_ms)
    assert intervals[0] == hosts.STARTUP_HEARTBEAT_INTERVAL_MS
    assert intervals[-1] == hosts.HEARTBEAT_INTERVAL_MS
