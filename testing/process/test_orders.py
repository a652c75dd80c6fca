"""Tests the invariants of the specification for order ownership and fencing numbers."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from sesamehold.process import fencing
from sesamehold.process import order_ownership
from sesamehold.version import manifest


@attrs.define
class _Quorum:
    holds: bool = True

    def has_quorum(self, now_ms: int) -> bool:
        return self.holds


def _version(*host_ids: str) -> manifest.Manifest:
    pool = manifest.Pool("pool", manifest.PoolKind.ENGINE, "owner", (), 8, 1)
    hosts = tuple(manifest.Host(name, "zone", "127.0.0.1:1", "127.0.0.1:2") for name in host_ids)
    return manifest.Manifest(1, (), hosts, (), (), (pool,), ())


def _ownership(host_id: str, *host_ids: str) -> order_ownership.OrderOwnership:
    ownership = order_ownership.OrderOwnership(host_id)
    ownership.configure(_version(*host_ids), 0)
    return ownership


@pytest.mark.parametrize(
    ("now_ms", "quorum", "expected"),
    [
        pytest.param(0, True, order_ownership.OrderPermission.HOLD_OFF, id="new-owner-waits"),
        pytest.param(76_999, True, order_ownership.OrderPermission.HOLD_OFF, id="hold-off-end"),
        pytest.param(77_000, True, order_ownership.OrderPermission.ALLOWED, id="after-hold-off"),
        pytest.param(77_000, False, order_ownership.OrderPermission.NO_QUORUM, id="no-quorum"),
    ],
)
def test_owner_orders_only_after_hold_off_and_with_quorum(
    now_ms: int, quorum: bool, expected: order_ownership.OrderPermission
) -> None:
    """Guards against orders of two hosts to one target during a roster change."""
    ownership = _ownership("a", "a")
    assert ownership.permission("pool", _Quorum(quorum), now_ms) is expected


def test_exactly_one_host_of_a_roster_owns_a_pool() -> None:
    """Guards against a roster under which a pool has no owner or two."""
    names = [f"host-{index}" for index in range(9)]
    now_ms = 1_000_000
    owners = [
        name
        for name in names
        if _ownership(name, *names).permission("pool", _Quorum(), now_ms)
        is order_ownership.OrderPermission.ALLOWED
    ]
    assert len(owners) == 1


def test_changes_of_other_hosts_start_no_new_hold_off() -> None:
    """Guards against a fleet that replaces a host every minute and so never ends a hold-off."""
    names = [f"host-{index}" for index in range(9)]
    owner = _ownership("host-0", *names).owner("pool")
    assert owner is not None
    ownership = _ownership(owner, *names)
    remaining = [name for name in names if name == owner or name != names[-1]]
    ownership.configure(_version(*remaining), 76_000)
    allowed = order_ownership.OrderPermission.ALLOWED
    assert ownership.permission("pool", _Quorum(), 77_000) is allowed


@settings(max_examples=200, derandomize=True, deadline=None)
@given(
    skew_ms=strategies.integers(-2_000, 2_000),
    orders=strategies.lists(strategies.integers(0, 500), min_size=1, max_size=20),
    old_rank=strategies.integers(0, 999),
    new_rank=strategies.integers(0, 999),
)
def test_numbers_of_a_new_owner_exceed_those_of_the_old_one(
    skew_ms: int, orders: list[int], old_rank: int, new_rank: int
) -> None:
    """Guards against engines that refuse the orders of a new owner because of clock skew."""
    old, new = fencing.FencingTokenIssuer(old_rank), fencing.FencingTokenIssuer(new_rank)
    wall_ms = 1_700_000_000_000
    last = [old.issue(wall_ms + skew_ms + sum(orders[:index])) for index in range(len(orders))]
    assert last == sorted(set(last))
    takeover_ms = wall_ms + sum(orders) + order_ownership.OrderOwnership("b").hold_off_ms
    assert new.issue(takeover_ms) > last[-1]
