"""Tests how replicas learn of changes from the store and from each other.

Covered are deletions that a host missed, and a store that returns from an older copy.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs
from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesamehold.connection.gateway import peer_service
from sesamehold.process.gateway import store_replica

KEYS = ("p/a", "p/b", "p/c")


def _item(key: str, revision: int, *, deleted: bool = False) -> store_replica.StoreItem:
    return store_replica.StoreItem(key, None if deleted else b"v", revision)


def _replica(*items: store_replica.StoreItem, horizon: int) -> store_replica.StoreReplica:
    replica = store_replica.StoreReplica("p/")
    replica.merge_changes(items, horizon, 0)
    return replica


def _listed(*items: store_replica.StoreItem, revision: int) -> store_replica.StoreReplica:
    """Returns the replica of a host that has started after some keys were deleted."""
    replica = store_replica.StoreReplica("p/")
    replica.merge_listing(store_replica.StoreListing(items, revision), 0)
    return replica


def _fetch(
    source: store_replica.StoreReplica, replica: store_replica.StoreReplica, now_ms: int = 0
) -> list[store_replica.StoreItem]:
    """Returns what a fetch from another host changed, over the messages between hosts."""
    part = peer_service.update_to_wire("p/", source.update_since(replica.horizon))
    return replica.merge_update(peer_service.update_from_wire(part), now_ms)


@pytest.mark.parametrize(
    ("source", "deleted"),
    [
        pytest.param(_listed(_item("p/b", 9), revision=10), ["p/a"], id="source-has-restarted"),
        pytest.param(
            _replica(_item("p/a", 8, deleted=True), _item("p/b", 9), horizon=10),
            ["p/a"],
            id="source-saw-the-deletion",
        ),
        pytest.param(_listed(_item("p/a", 3), revision=10), [], id="nothing-was-deleted"),
        pytest.param(_listed(revision=2), [], id="source-is-older"),
    ],
)
def test_deletion_reaches_a_host_that_fetches_from_another(
    source: store_replica.StoreReplica, deleted: list[str]
) -> None:
    """Guards against a removed target or zone mark that a host uses until it restarts.

    A host that has just started has listed the store and never saw the deleted key. If it passes on
    only the items that it has, together with its horizon, the other host skips the deletion.
    """
    replica = _replica(_item("p/a", 3), horizon=5)
    changed = _fetch(source, replica)
    assert [item.key for item in changed if item.value is None] == deleted


def test_deletion_reaches_a_host_after_the_tombstone_has_expired() -> None:
    """Guards against a deletion that is skipped because its tombstone is kept only for a while."""
    source = _replica(_item("p/a", 8, deleted=True), horizon=10)
    later_ms = store_replica.TOMBSTONE_RETENTION_MS + 1
    source.merge_changes([_item("p/b", 11)], 11, later_ms)
    assert "p/a" not in source.items()
    replica = _replica(_item("p/a", 3), horizon=5)
    assert [item.key for item in _fetch(source, replica, later_ms) if item.value is None] == ["p/a"]


def test_fetch_does_not_delete_what_the_source_cannot_know_yet() -> None:
    """Guards against a target that registered last and is removed because a source lags."""
    replica = _replica(_item("p/a", 12), horizon=9)
    assert _fetch(_listed(revision=10), replica) == []


@given(
    changes=st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=12),
    listed_at=st.integers(0, 12),
    behind_at=st.integers(0, 12),
)
def test_any_host_ends_with_the_items_of_the_store(
    changes: list[tuple[str, bool]], listed_at: int, behind_at: int
) -> None:
    """Guards against any order of writes, restarts and fetches that leaves a deleted key."""
    history = [
        _item(key, revision, deleted=deleted)
        for revision, (key, deleted) in enumerate(changes, start=1)
    ]
    start = min(listed_at, len(history))
    live = _live(history[:start])
    source = _listed(*live.values(), revision=start)
    source.merge_changes(history[start:], len(history), 0)
    behind = _replica(*history[:behind_at], horizon=min(behind_at, len(history)))
    _fetch(source, behind)
    held = {key: item for key, item in behind.items().items() if item.value is not None}
    assert held == _live(history)


def _live(history: list[store_replica.StoreItem]) -> dict[str, store_replica.StoreItem]:
    items = {item.key: item for item in history}
    return {key: item for key, item in items.items() if item.value is not None}


# ---- a store that returns from an older copy ---------------------------------------------------

REWRITE_MS = store_replica.REWRITE_TIME_MS
DELETION_MS = store_replica.DELETION_TIME_MS


class _VersionOrder:
    """Knows the age of values that are numbers."""

    def age(
        self, item: store_replica.StoreItem, known: store_replica.StoreItem
    ) -> store_replica.ItemAge:
        ours, theirs = item.value or b"", known.value or b""
        if not (ours.isdigit() and theirs.isdigit()) or ours == theirs:
            return store_replica.ItemAge.UNKNOWN
        is_newer = int(ours) > int(theirs)
        return store_replica.ItemAge.NEWER if is_newer else store_replica.ItemAge.OLDER


def _form(value: bytes | None, revision: int, era: int = 1) -> store_replica.StoreItem:
    return store_replica.StoreItem("p/a", value, revision, era)


def _known(*items: store_replica.StoreItem, revision: int = 20) -> store_replica.StoreReplica:
    """Returns the replica of a host that has seen forms of an item in era 1, the last in force."""
    replica = store_replica.StoreReplica("p/", _VersionOrder())
    replica.merge_listing(store_replica.StoreListing((), 0, 1), 0)
    for item in items:
        replica.merge_changes([item], revision, 0, era=1)
    return replica


def _in_force(replica: store_replica.StoreReplica) -> dict[str, bytes]:
    return {key: item.value for key, item in replica.items().items() if item.value is not None}


@attrs.frozen
class _Case:
    """First listing of era 2, read at 100 ms.

    Attributes:
        known: Forms of the item that the host has seen in era 1.
        listed: The item in the listing, None if it is missing.
        in_force: Value in force after the listing.
        pending_ms: Time for which another form in the listing is not applied; 0 if none is pending,
            None if it stays so until the item is written again.
    """

    known: tuple[store_replica.StoreItem, ...]
    listed: store_replica.StoreItem | None
    in_force: bytes | None
    pending_ms: int | None = 0


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(_Case((), _form(b"x", 3, 2), b"x"), id="unknown"),
        pytest.param(_Case((_form(b"x", 5),), _form(b"x", 3, 2), b"x"), id="unchanged"),
        pytest.param(_Case((_form(b"x", 5),), _form(b"y", 7, 2), b"y"), id="later"),
        pytest.param(_Case((_form(b"x", 5),), _form(b"y", 5, 2), b"y"), id="same-revision"),
        pytest.param(
            _Case((_form(b"x", 5),), _form(b"y", 3, 2), b"x", REWRITE_MS), id="perhaps-older"
        ),
        pytest.param(_Case((_form(b"1", 5),), _form(b"2", 3, 2), b"2"), id="newer-by-content"),
        pytest.param(
            _Case((_form(b"2", 5),), _form(b"1", 3, 2), b"2", None), id="older-by-content"
        ),
        pytest.param(_Case((_form(b"x", 5),), None, b"x", REWRITE_MS), id="missing"),
        pytest.param(_Case((_form(b"x", 3), _form(None, 5)), None, None), id="deleted-and-missing"),
        pytest.param(
            _Case((_form(b"x", 3), _form(None, 5)), _form(b"x", 3, 2), None, DELETION_MS),
            id="deleted-and-listed-as-before",
        ),
        pytest.param(
            _Case((_form(b"x", 3), _form(None, 5)), _form(b"x", 4, 2), None, REWRITE_MS),
            id="deleted-and-perhaps-written-again",
        ),
        pytest.param(
            _Case((_form(b"1", 3), _form(None, 5)), _form(b"2", 4, 2), b"2"),
            id="deleted-and-newer-by-content",
        ),
    ],
)
def test_older_copy_does_not_undo_what_is_in_force(case: _Case) -> None:
    """Guards against a listing after the return of the store that brings back an older form."""
    replica = _known(*case.known)
    items = () if case.listed is None else (case.listed,)
    before = _in_force(replica)
    changed = replica.merge_listing(store_replica.StoreListing(items, 9, 2), 100)
    assert _in_force(replica).get("p/a") == case.in_force
    assert bool(changed) == (_in_force(replica) != before)
    assert replica.horizon == store_replica.StorePosition(2, 9)
    pending = replica.pending().get("p/a")
    expected = None if case.pending_ms is None else case.pending_ms + 100
    assert (pending.until_ms if pending else 100) == expected


@pytest.mark.parametrize(
    ("known_at_ms", "settled"),
    [
        pytest.param(100 + REWRITE_MS - 1, [], id="too-early"),
        pytest.param(100 + REWRITE_MS, [b"y"], id="due"),
    ],
)
def test_pending_item_is_in_force_once_the_time_to_write_again_is_over(
    known_at_ms: int, settled: list[bytes]
) -> None:
    """Guards against what nobody writes again, and against a paused host that settles too early.

    A host that was paused reads answers long after they were sent; they tell nothing of the time
    since.
    """
    replica = _known(_form(b"x", 5))
    replica.merge_listing(store_replica.StoreListing((_form(b"y", 3, 2),), 9, 2), 100)
    assert replica.next_settle_ms() == 100 + REWRITE_MS
    changed = replica.settle(known_at_ms, now_ms=60_000)
    assert [item.value for item in changed] == settled
    assert (replica.next_settle_ms() is None) == bool(settled)


@pytest.mark.parametrize(
    ("written", "changed"),
    [
        pytest.param(_form(b"z", 10, 2), [b"z"], id="another-form"),
        pytest.param(_form(None, 10, 2), [None], id="deleted"),
        pytest.param(_form(b"x", 10, 2), [], id="the-form-in-force"),
    ],
)
def test_item_that_is_written_in_the_new_era_is_in_force_at_once(
    written: store_replica.StoreItem, changed: list[bytes | None]
) -> None:
    """Guards against a change that is skipped because its revision was given out before."""
    replica = _known(_form(b"x", 15))
    replica.merge_listing(store_replica.StoreListing((_form(b"y", 3, 2),), 9, 2), 100)
    merged = replica.merge_changes([written], 10, 200, era=2)
    assert [item.value for item in merged] == changed
    assert _in_force(replica).get("p/a") == written.value
    assert not replica.pending()


@pytest.mark.parametrize(
    ("listed", "in_force"),
    [
        pytest.param((_form(b"y", 3, 2),), {"p/a": b"x"}, id="as-before"),
        pytest.param((_form(b"z", 12, 2),), {"p/a": b"z"}, id="written-since"),
        pytest.param((), {}, id="deleted-since"),
    ],
)
def test_second_listing_of_an_era_applies_only_what_was_written_in_it(
    listed: tuple[store_replica.StoreItem, ...], in_force: dict[str, bytes]
) -> None:
    """Guards against an older form that is applied because the same listing is read again."""
    replica = _known(_form(b"x", 5))
    replica.merge_listing(store_replica.StoreListing((_form(b"y", 3, 2),), 9, 2), 100)
    replica.merge_listing(store_replica.StoreListing(listed, 12, 2), 200)
    assert _in_force(replica) == in_force


def test_second_listing_of_an_era_keeps_what_the_first_one_lacked() -> None:
    """Guards against a target that is removed before it had the time to register again."""
    replica = _known(_form(b"x", 5))
    for revision in (9, 12):
        replica.merge_listing(store_replica.StoreListing((), revision, 2), 100)
    assert _in_force(replica) == {"p/a": b"x"}


def test_deleted_item_that_is_older_in_the_copy_outlasts_its_tombstone() -> None:
    """Guards against an older form that comes into force with the end of the tombstone."""
    replica = _known(_form(b"2", 3), _form(None, 5))
    older = _form(b"1", 2, 2)
    replica.merge_listing(store_replica.StoreListing((older,), 9, 2), 100)
    later_ms = store_replica.TOMBSTONE_RETENTION_MS + 1
    replica.merge_listing(store_replica.StoreListing((older,), 9, 2), later_ms)
    assert replica.items()["p/a"].value is None


OTHER = store_replica.StoreItem("p/b", b"y", 30, 1)
LATE = [
    pytest.param(
        lambda replica: replica.merge_listing(store_replica.StoreListing((OTHER,), 30, 1), 0),
        id="listing",
    ),
    pytest.param(lambda replica: replica.merge_changes([OTHER], 30, 0, era=1), id="watch"),
    pytest.param(lambda replica: _fetch(_known(OTHER, revision=30), replica), id="host"),
]


@pytest.mark.parametrize("merge", LATE)
def test_answer_of_an_earlier_era_changes_nothing(
    merge: Callable[[store_replica.StoreReplica], list[store_replica.StoreItem]],
) -> None:
    """Guards against the old numbering that a late answer, or a host that was cut off, hands on."""
    replica = _known(_form(b"x", 5))
    replica.merge_listing(store_replica.StoreListing((_form(b"x", 3, 2),), 9, 2), 100)
    assert merge(replica) == []
    assert replica.horizon == store_replica.StorePosition(2, 9)
    assert _in_force(replica) == {"p/a": b"x"}


@pytest.mark.parametrize(
    "behind",
    [
        pytest.param(_known(_form(b"2", 5)), id="of-the-era-before"),
        pytest.param(store_replica.StoreReplica("p/", _VersionOrder()), id="just-started"),
    ],
)
def test_host_passes_on_what_the_store_has_lost(behind: store_replica.StoreReplica) -> None:
    """Guards against a host that learns of the new era from another one and goes back by it."""
    source = _known(_form(b"2", 5))
    source.merge_listing(store_replica.StoreListing((_form(b"1", 3, 2),), 9, 2), 100)
    _fetch(source, behind)
    assert behind.horizon == store_replica.StorePosition(2, 9)
    assert _in_force(behind) == {"p/a": b"2"}
    behind.merge_changes([_form(b"2", 10, 2)], 10, 200, era=2)
    assert not behind.pending()


@pytest.mark.parametrize(
    "behind",
    [
        pytest.param(_known(_form(b"1", 5)), id="of-the-era-before"),
        pytest.param(store_replica.StoreReplica("p/", _VersionOrder()), id="just-started"),
    ],
)
def test_host_passes_on_what_was_deleted_in_a_new_era(behind: store_replica.StoreReplica) -> None:
    """Guards against a host that keeps a deleted item because it did not see the new era begin."""
    source = _known(_form(b"1", 5))
    source.merge_listing(store_replica.StoreListing((_form(b"1", 5, 2),), 9, 2), 100)
    source.merge_changes([_form(None, 10, 2)], 10, 200, era=2)
    _fetch(source, behind)
    assert behind.horizon == store_replica.StorePosition(2, 10)
    assert _in_force(behind) == {}
    assert not behind.pending()


@given(
    first=st.tuples(st.integers(0, 2**20 - 1), st.integers(0, 2**44 - 1)),
    second=st.tuples(st.integers(0, 2**20 - 1), st.integers(0, 2**44 - 1)),
)
def test_number_of_a_position_keeps_its_order(
    first: tuple[int, int], second: tuple[int, int]
) -> None:
    """Guards against a host that counts as behind, or as ahead, because of the encoding."""
    positions = [store_replica.StorePosition(*pair) for pair in (first, second)]
    numbers = [position.number for position in positions]
    assert [store_replica.StorePosition.from_number(number) for number in numbers] == positions
    assert (numbers[0] < numbers[1]) == (first < second)


@attrs.define
class _Store:
    """Store that keeps its whole history and can return from a copy of it."""

    era: int = 1
    history: list[tuple[str, bytes | None]] = attrs.field(factory=lambda: [("p/-", b"x")])

    def write(self, key: str, value: bytes | None) -> None:
        self.history.append((key, value))

    def restore(self, lost: int) -> None:
        self.era += 1
        del self.history[max(1, len(self.history) - lost) :]

    def changes(self, after: int) -> dict[str, store_replica.StoreItem]:
        return {
            key: store_replica.StoreItem(key, value, revision, self.era)
            for revision, (key, value) in enumerate(self.history, start=1)
            if revision > after
        }

    def items(self) -> dict[str, bytes]:
        changes = self.changes(0).items()
        return {key: item.value for key, item in changes if item.value is not None}

    def answer(self, replica: store_replica.StoreReplica, now_ms: int) -> None:
        """Answers what a host asks, which lists the items of an era that it does not know."""
        after = replica.horizon.revision
        revision = len(self.history)
        if replica.horizon.era == self.era:
            changes = self.changes(after).values()
            replica.merge_changes(changes, revision, now_ms, era=self.era)
        else:
            live = [item for item in self.changes(0).values() if item.value is not None]
            listing = store_replica.StoreListing(tuple(live), revision, self.era)
            replica.merge_listing(listing, now_ms)
        replica.settle(now_ms, now_ms)


HOSTS = 3
STEPS = st.one_of(
    st.tuples(st.just("write"), st.sampled_from(KEYS), st.sampled_from([b"x", b"y", None])),
    st.tuples(st.just("configure")),
    st.tuples(st.just("return"), st.integers(0, 4)),
    st.tuples(st.just("ask"), st.integers(0, HOSTS - 1)),
    st.tuples(st.just("fetch"), st.integers(0, HOSTS - 1), st.integers(0, HOSTS - 1)),
    st.tuples(st.just("start"), st.integers(0, HOSTS - 1)),
    st.tuples(st.just("wait"), st.sampled_from([10, REWRITE_MS])),
)


@given(steps=st.lists(STEPS, max_size=40))
def test_hosts_agree_with_the_store_after_any_order_of_returns(steps: list[tuple]) -> None:  # type: ignore[type-arg]
    """Guards against any order of writes, returns, answers, fetches and starts that loses a change.

    The version in force on a host that keeps running never goes back. In the end the operator
    writes the last version again, and all hosts have what the store has.
    """
    store = _Store()
    replicas = [store_replica.StoreReplica("p/", _VersionOrder()) for _ in range(HOSTS)]
    version, now_ms = 0, 0
    for step in steps:
        versions = [_version(replica) for replica in replicas]
        match step:
            case ("write", key, value):
                store.write(key, value)
            case ("configure",):
                version += 1
                store.write("p/version", str(version).encode())
            case ("return", lost):
                store.restore(lost)
            case ("ask", index):
                store.answer(replicas[index], now_ms)
            case ("fetch", index, source):
                if replicas[source].horizon > replicas[index].horizon:
                    _fetch(replicas[source], replicas[index], now_ms)
            case ("start", index):
                replicas[index] = store_replica.StoreReplica("p/", _VersionOrder())
                versions[index] = 0
            case ("wait", duration_ms):
                now_ms += duration_ms
        assert all(old <= _version(new) for old, new in zip(versions, replicas, strict=True))
    store.write("p/version", str(version).encode())
    for _ in range(2):
        for replica in replicas:
            store.answer(replica, now_ms)
        now_ms += DELETION_MS
    for replica in replicas:
        store.answer(replica, now_ms)
        assert _in_force(replica) == store.items()


def _version(replica: store_replica.StoreReplica) -> int:
    return int(_in_force(replica).get("p/version", b"0"))
