"""Replica of the configuration store, merged by revision from the store and from other hosts.

Every item carries the store revision of its last change, so replicas can be merged in any order:
the highest revision of a key wins, and an older copy never replaces a newer one.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

# Tombstones of deleted keys are kept this long, so that a replica of another host that still has
# the keys does not restore them. This is far longer than a deletion takes to reach all hosts.
TOMBSTONE_RETENTION_MS = 120_000


@attrs.frozen
class StoreItem:
    """One key of the store; `value` is None if it was deleted at `revision`."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class StoreListing:
    """Items below a prefix, read in one call.

    Attributes:
        items: All items of a listing, or the changed items of a watch.
        revision: Store revision after which changes may be missing.
        invalid_entries: Why entries could not be decoded.
    """

    items: tuple[StoreItem, ...]
    revision: int
    invalid_entries: tuple[str, ...] = ()


@attrs.frozen
class ReplicaUpdate:
    """What one host passes to another that is behind it.

    Attributes:
        items: Items that have changed, or all items.
        horizon: Store revision up to which the items are complete.
        is_listing: Whether these are all items, so that keys that are missing were deleted.
    """

    items: tuple[StoreItem, ...]
    horizon: int
    is_listing: bool = False


@attrs.define
class StoreReplica:
    """Replica of the items below one prefix.

    Attributes:
        prefix: Common prefix of the keys.
        horizon: Store revision up to which all changes are known; 0 if nothing is known.
    """

    prefix: str
    horizon: int = 0
    _items: dict[str, StoreItem] = attrs.field(factory=dict)
    _deleted_at_ms: dict[str, int] = attrs.field(factory=dict)
    # Store revision after which every deletion has a tombstone here. A listing does not tell which
    # keys were deleted before it.
    _deletions_known_since: int = 0

    def merge_listing(self, listing: StoreListing, now_ms: int) -> list[StoreItem]:
        """Merges a complete listing; returns the items that changed.

        Keys that are missing from the listing count as deleted unless they changed after it.
        """
        changed = self._merge(listing.items, now_ms)
        listed = {item.key for item in listing.items}
        missing = [
            StoreItem(key, None, listing.revision)
            for key, item in self._items.items()
            if item.value is not None and key not in listed and item.revision <= listing.revision
        ]
        changed += self._merge(missing, now_ms)
        self.horizon = max(self.horizon, listing.revision)
        self._deletions_known_since = max(self._deletions_known_since, listing.revision)
        return changed

    def merge_changes(
        self, items: Iterable[StoreItem], horizon: int, now_ms: int
    ) -> list[StoreItem]:
        """Merges all changes since the horizon; returns the items that changed here."""
        changed = self._merge(items, now_ms)
        self.horizon = max(self.horizon, horizon)
        return changed

    def update_since(self, revision: int) -> ReplicaUpdate:
        """Returns what a host needs that knows all changes up to a revision.

        It gets all items if the tombstones here may not cover every deletion since that revision.
        """
        if revision < self._deletions_known_since:
            items = tuple(item for item in self._items.values() if item.value is not None)
            return ReplicaUpdate(items, self.horizon, is_listing=True)
        items = tuple(item for item in self._items.values() if item.revision > revision)
        return ReplicaUpdate(items, self.horizon)

    def merge_update(self, update: ReplicaUpdate, now_ms: int) -> list[StoreItem]:
        """Merges what another host has passed on; returns the items that changed here."""
        if update.is_listing:
            return self.merge_listing(StoreListing(update.items, update.horizon), now_ms)
        return self.merge_changes(update.items, update.horizon, now_ms)

    def items(self) -> Mapping[str, StoreItem]:
        """Returns the items by key, including tombstones."""
        return self._items

    def _merge(self, items: Iterable[StoreItem], now_ms: int) -> list[StoreItem]:
        changed = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self._items[item.key] = item
            if item.value is None:
                self._deleted_at_ms[item.key] = now_ms
            else:
                self._deleted_at_ms.pop(item.key, None)
            changed.append(item)
        self._expire_tombstones(now_ms)
        return changed

    def _expire_tombstones(self, now_ms: int) -> None:
        limit_ms = now_ms - TOMBSTONE_RETENTION_MS
        expired = [key for key, deleted_ms in self._deleted_at_ms.items() if deleted_ms < limit_ms]
        for key in expired:
            del self._deleted_at_ms[key]
            revision = self._items.pop(key).revision
            self._deletions_known_since = max(self._deletions_known_since, revision)
