"""Tests how hosts learn of deletions from each other while the store is unreachable."""

from __future__ import annotations

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
