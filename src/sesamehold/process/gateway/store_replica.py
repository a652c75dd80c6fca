"""Copy of the configuration store's items, merged by revision from the store and from other hosts.

Every item carries the store's revision of its last change, so copies can be merged in any order:
the higher revision of a key wins, and an older copy never takes a newer one back.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

# Deleted keys are remembered this long, so that a copy from another host that still has them does
# not bring them back; far longer than hosts take to learn of a deletion.
TOMBSTONE_RETENTION_MS = 120_000


@attrs.frozen
class StoreItem:
    """One key of the store; `value` is None if it was deleted at `revision`."""

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class StoreListing:
    """All items below a prefix.

    Attributes:
        items: The items.
        revision: Revision of the store from which on changes may be missing.
    """

    items: tuple[StoreItem, ...]
    revision: int


@attrs.define
class StoreReplica:
    """Items below one prefix.

    Attributes:
        prefix: Beginning of all keys.
        horizon: Revision up to which all changes are known; 0 if nothing is known.
    """

    prefix: str
    horizon: int = 0
    _items: dict[str, StoreItem] = attrs.field(factory=dict)
    _deleted_ms: dict[str, int] = attrs.field(factory=dict)

    def merge_listing(self, listing: StoreListing, now_ms: int) -> list[StoreItem]:
        """Takes over a complete listing; returns the items that changed.

        Keys that are missing from the listing and were last changed before it are deleted.
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
        return changed

    def merge_changes(
        self, items: Iterable[StoreItem], horizon: int, now_ms: int
    ) -> list[StoreItem]:
        """Takes over all changes since the horizon; returns the items that changed."""
        changed = self._merge(items, now_ms)
        self.horizon = max(self.horizon, horizon)
        return changed

    def changes_since(self, revision: int) -> list[StoreItem]:
        """Returns all items, also deleted ones, that changed after a revision."""
        return [item for item in self._items.values() if item.revision > revision]

    def items(self) -> Mapping[str, StoreItem]:
        """Returns the items by key, also deleted ones."""
        return self._items

    def _merge(self, items: Iterable[StoreItem], now_ms: int) -> list[StoreItem]:
        changed = []
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            self._items[item.key] = item
            if item.value is None:
                self._deleted_ms[item.key] = now_ms
            else:
                self._deleted_ms.pop(item.key, None)
            changed.append(item)
        self._forget_deleted(now_ms)
        return changed

    def _forget_deleted(self, now_ms: int) -> None:
        limit_ms = now_ms - TOMBSTONE_RETENTION_MS
        old = [key for key, deleted_ms in self._deleted_ms.items() if deleted_ms < limit_ms]
        for key in old:
            del self._deleted_ms[key]
            del self._items[key]
