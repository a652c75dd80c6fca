from __future__ import annotations

import attrs
import dispatch_factories
import pytest

from sesamehold.version import shares

HOSTS = tuple(f"h{index}" for index in range(5))
HOLD_OFF_MS = shares.HOLD_OFF_BASE_MS + 30_000


@attrs.define
class FleetHealthStub:
    """Quorum and pause detector with settable state."""

    quorum: bool = True
    paused: bool = False

    def has_quorum(self, now_ms: int) -> bool:
        return self.quorum

    def paused_since(self, time_ms: int) -> bool:
        return self.paused


# More slots than the target can handle would overload it during cold start.
@pytest.mark.parametrize(
    ("hosts", "capacity", "expected"),
    [
        pytest.param(5, 2, [0, 0, 0, 1, 1], id="fewer slots than hosts"),
        pytest.param(2, 5, [2, 3], id="round robin"),
        pytest.param(3, 3, [1, 1, 1], id="one each"),
        pytest.param(3, 0, [0, 0, 0], id="no capacity"),
    ],
)
def test_slot_distribution(hosts: int, capacity: int, expected: list[int]) -> None:
    slots_by_host = shares.distribute_slots(HOSTS[:hosts], "t", capacity)
    assert sorted(slots_by_host.get(host, 0) for host in HOSTS[:hosts]) == expected


def _slots_by_host(table: dict[str, shares.ColdShares], now_ms: int) -> dict[str, int]:
    return {host: item.slots("t0", now_ms) for host, item in table.items()}


@pytest.mark.parametrize(
    ("now_ms", "gained"),
    [
        pytest.param(1_000, 0, id="at the change"),
        pytest.param(1_000 + HOLD_OFF_MS - 1, 0, id="before the hold-off ends"),
        pytest.param(1_000 + HOLD_OFF_MS, 1, id="after the hold-off"),
    ],
)
def test_gained_slot_is_unusable_until_the_hold_off_ends(now_ms: int, gained: int) -> None:
    table = {host: shares.ColdShares(host) for host in HOSTS}
    for item in table.values():
        item.configure(dispatch_factories.version(1, hosts=HOSTS), 0)
    holders = [host for host, slots in _slots_by_host(table, 0).items() if slots]
    rest = tuple(host for host in HOSTS if host != holders[0])
    for host in rest:
        table[host].configure(dispatch_factories.version(2, hosts=rest), 1_000)
    after = _slots_by_host({host: table[host] for host in rest}, now_ms)
    assert after.pop(holders[1]) == 1
    assert sum(after.values()) == gained


def test_starting_host_waits_unless_the_version_is_the_first() -> None:
    first, later = shares.ColdShares("h0"), shares.ColdShares("h0")
    first.configure(dispatch_factories.version(1), 0)
    later.configure(dispatch_factories.version(2), 0)
    assert (first.slots("t0", 0), later.slots("t0", 0)) == (2, 0)
    assert later.slots("t0", HOLD_OFF_MS) == 2


@pytest.mark.parametrize(
    ("contact", "later_ms", "expected"),
    [
        pytest.param(FleetHealthStub(), 10, 2, id="healthy"),
        pytest.param(FleetHealthStub(quorum=False), 10, 0, id="no quorum"),
        pytest.param(FleetHealthStub(paused=True), 10, 0, id="paused"),
    ],
)
def test_slots_require_quorum_and_no_pause(
    contact: FleetHealthStub, later_ms: int, expected: int
) -> None:
    item = shares.ColdShares("h0", quorum=contact, pauses=contact)
    item.configure(dispatch_factories.version(), 0)
    item.slots("t0", 0)
    assert item.slots("t0", later_ms) == expected


@pytest.mark.parametrize(
    "contact",
    [
        pytest.param(FleetHealthStub(paused=True), id="pause"),
        pytest.param(FleetHealthStub(quorum=False), id="lost quorum"),
    ],
)
def test_slots_stay_unusable_for_the_quorum_detection_bound(contact: FleetHealthStub) -> None:
    item = shares.ColdShares("h0", quorum=contact, pauses=contact)
    item.configure(dispatch_factories.version(), 0)
    item.slots("t0", 0)
    assert item.slots("t0", 5) == 0
    contact.paused, contact.quorum = False, True
    assert item.slots("t0", 5 + shares.QUORUM_DETECTION_BOUND_MS - 1) == 0
    assert item.slots("t0", 5 + shares.QUORUM_DETECTION_BOUND_MS) == 2
