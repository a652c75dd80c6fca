"""Replica of the configuration store, merged by position from the store and from other hosts.

Every item carries the era and the revision of its last change, so replicas can be merged in any
order: the highest position of a key wins, and an older copy never replaces a newer one.

A store that returns from an older copy begins a new era. It gives revisions out again, and its
first listing may be older than what this host knows. Such an item is not applied at once: what is
in force stays until its key is written in the new era, or until the time in which lost changes are
written again is over.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Protocol

import attrs

# Tombstones of deleted keys are kept this long, so that a replica of another host that still has
# the keys does not restore them. This is far longer than a deletion takes to reach all hosts.
TOMBSTONE_RETENTION_MS = 120_000
# Entries that the store lost are written again within two seconds of its return.
REWRITE_TIME_MS = 2_200
# Nobody writes the entry of a target again that has left. If the copy has it, the store removes it
# after three of the target's heartbeat intervals, which are 1.2 s long.
DELETION_TIME_MS = 6_000

_REVISION_BITS = 44
_ERA_BITS = 20


@attrs.frozen(order=True)
class StorePosition:
    """Point in the history of the store.

    Attributes:
        era: Number of returns of the store from an older copy, as the store counts them. Revisions
            of different eras cannot be compared.
        revision: Revision of the store within the era; 0 if nothing is known.
    """

    era: int = attrs.field(
        default=0, validator=[attrs.validators.ge(0), attrs.validators.lt(1 << _ERA_BITS)]
    )
    revision: int = attrs.field(
        default=0, validator=[attrs.validators.ge(0), attrs.validators.lt(1 << _REVISION_BITS)]
    )

    @property
    def number(self) -> int:
        """Returns the position as one number of the same order, for messages between hosts."""
        return self.era << _REVISION_BITS | self.revision

    @classmethod
    def from_number(cls, number: int) -> StorePosition:
        """Returns the position that a number stands for."""
        return cls(number >> _REVISION_BITS, number & ((1 << _REVISION_BITS) - 1))


@attrs.frozen
class StoreItem:
    """One key of the store; `value` is None if it was deleted at `revision` of `era`."""

    key: str
    value: bytes | None
    revision: int
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Returns the position of the item's last change."""
        return StorePosition(self.era, self.revision)


@attrs.frozen
class StoreListing:
    """Items below a prefix, read in one call.

    Attributes:
        items: All items of a listing, or the changed items of a watch.
        revision: Store revision after which changes may be missing.
        era: Era of the store that answered.
        invalid_entries: Why entries could not be decoded.
    """

    items: tuple[StoreItem, ...]
    revision: int
    era: int = 0
    invalid_entries: tuple[str, ...] = ()


@attrs.frozen
class ReplicaUpdate:
    """What one host passes to another that is behind it.

    Attributes:
        items: Items that have changed, or all items. Those of an earlier era than the horizon are
            in force although the store may have older ones.
        horizon: Position up to which the items are complete.
        is_listing: Whether these are all items, so that keys that are missing were deleted.
    """

    items: tuple[StoreItem, ...]
    horizon: StorePosition
    is_listing: bool = False


class ItemAge(enum.Enum):
    """Age of one form of an item compared with another form."""

    OLDER = "older"
    NEWER = "newer"
    UNKNOWN = "unknown"


class ItemOrder(Protocol):
    """Compares forms of an item by their content, where their revisions do not tell."""

    def age(self, item: StoreItem, known: StoreItem) -> ItemAge:
        """Returns the age of an item compared with a known form of it; both have values."""


@attrs.frozen
class UnknownOrder:
    """Order for items whose content does not tell their age."""

    def age(self, item: StoreItem, known: StoreItem) -> ItemAge:
        """Returns that the age is unknown."""
        del item, known
        return ItemAge.UNKNOWN


@attrs.frozen
class _Deletion:
    """When a key was deleted, and its last form, if this host has seen it."""

    at_ms: int
    last: StoreItem | None


@attrs.frozen
class PendingItem:
    """What a new era says about a key whose known form of an earlier era is still in force.

    Attributes:
        item: The item, or a tombstone if the key is missing.
        until_ms: Time until which the known form stays in force; None if it stays until the key is
            written again, because the item is known to be older.
    """

    item: StoreItem
    until_ms: int | None


@attrs.define
class StoreReplica:
    """Replica of the items below one prefix.

    Attributes:
        prefix: Common prefix of the keys.
        horizon: Position up to which all changes are known.
    """

    prefix: str
    _order: ItemOrder = UnknownOrder()
    horizon: StorePosition = StorePosition()
    _items: dict[str, StoreItem] = attrs.field(factory=dict)
    _deletions: dict[str, _Deletion] = attrs.field(factory=dict)
    _pending: dict[str, PendingItem] = attrs.field(factory=dict)
    # Position after which every deletion has a tombstone here. A listing does not tell which keys
    # were deleted before it.
    _deletions_known_since: StorePosition = StorePosition()

    def merge_listing(self, listing: StoreListing, now_ms: int) -> list[StoreItem]:
        """Merges a complete listing; returns the items that changed.

        Keys that are missing from the listing count as deleted unless they changed after it. A
        listing of an earlier era changes nothing.
        """
        if listing.era < self.horizon.era:
            return []
        if listing.era > self.horizon.era:
            return self._begin_era(listing, now_ms)
        changed = self._merge(listing.items, now_ms)
        listed = {item.key for item in listing.items}
        end = StorePosition(listing.era, listing.revision)
        missing = [
            _tombstone(key, listing)
            for key, item in self._items.items()
            if item.value is not None
            and key not in listed
            and item.position <= end
            and not self._is_pending_deletion(key)
        ]
        changed += self._merge(missing, now_ms)
        self.horizon = max(self.horizon, end)
        self._deletions_known_since = max(self._deletions_known_since, end)
        return changed

    def merge_changes(
        self, items: Iterable[StoreItem], horizon: int, now_ms: int, *, era: int = 0
    ) -> list[StoreItem]:
        """Merges all changes since the horizon; returns the items that changed here.

        Changes of another era than the horizon's change nothing: those of an earlier era are
        outdated, and those of a later one are incomplete without a listing.
        """
        if era != self.horizon.era:
            return []
        changed = self._merge(items, now_ms)
        self.horizon = max(self.horizon, StorePosition(era, horizon))
        return changed

    def settle(self, known_at_ms: int, now_ms: int) -> list[StoreItem]:
        """Applies pending items whose time is over; returns the items that changed.

        Args:
            known_at_ms: Time at which all changes up to the horizon were known to be complete. What
                was written since is still unknown, however late it is.
            now_ms: Current monotonic time.
        """
        due = [
            pending.item
            for pending in self._pending.values()
            if pending.until_ms is not None and pending.until_ms <= known_at_ms
        ]
        for item in due:
            self._put(item, now_ms)
        return due

    def next_settle_ms(self) -> int | None:
        """Returns when the next pending item is due, None if none is."""
        return min(
            (item.until_ms for item in self._pending.values() if item.until_ms is not None),
            default=None,
        )

    def update_since(self, position: StorePosition) -> ReplicaUpdate:
        """Returns what a host needs that knows all changes up to a position.

        It gets all items if the tombstones here may not cover every deletion since that position.
        """
        if position < self._deletions_known_since:
            return ReplicaUpdate(tuple(self._all_items()), self.horizon, is_listing=True)
        items = tuple(item for item in self._items.values() if item.position > position)
        return ReplicaUpdate(items, self.horizon)

    def merge_update(self, update: ReplicaUpdate, now_ms: int) -> list[StoreItem]:
        """Merges what another host has passed on; returns the items that changed here."""
        era = update.horizon.era
        if not update.is_listing:
            return self.merge_changes(update.items, update.horizon.revision, now_ms, era=era)
        changed = []
        if era > self.horizon.era:
            earlier = [item for item in update.items if item.era < era]
            changed = self._merge(earlier, now_ms)
        current = [item for item in update.items if item.era == era]
        existing = tuple(item for item in current if item.value is not None)
        listing = StoreListing(existing, update.horizon.revision, era)
        changed += self.merge_listing(listing, now_ms)
        deletions = [item for item in current if item.value is None]
        for item in deletions:
            # It is missing because it was deleted in the era, not because the store has lost it.
            if self._is_pending_deletion(item.key):
                self._put(item, now_ms)
                changed.append(item)
        return changed + self._merge(deletions, now_ms)

    def items(self) -> Mapping[str, StoreItem]:
        """Returns the items in force by key, including tombstones."""
        return self._items

    def pending(self) -> Mapping[str, PendingItem]:
        """Returns the items of the current era that are not in force yet, by key."""
        return self._pending

    def _begin_era(self, listing: StoreListing, now_ms: int) -> list[StoreItem]:
        """Begins a new era with its first listing; returns the items that changed."""
        self._pending.clear()
        self.horizon = StorePosition(listing.era, listing.revision)
        self._deletions_known_since = self.horizon
        listed = {item.key for item in listing.items}
        missing = [_tombstone(key, listing) for key in self._items if key not in listed]
        changed = []
        for item in (*listing.items, *missing):
            known = self._items.get(item.key)
            if known is not None and known.value == item.value:
                # Not a change; the position still has to be one of the new era.
                self._items[item.key] = item
                continue
            age = ItemAge.NEWER if known is None else self._age(item, known)
            if age is ItemAge.NEWER:
                self._put(item, now_ms)
                changed.append(item)
            else:
                until_ms = None if age is ItemAge.OLDER else now_ms + self._wait_ms(item)
                self._pending[item.key] = PendingItem(item, until_ms)
        self._expire_tombstones(now_ms)
        return changed

    def _age(self, item: StoreItem, known: StoreItem) -> ItemAge:
        """Returns the age of an item of a new era compared with a known form of an earlier era."""
        if item.value is None:
            return ItemAge.UNKNOWN
        if item.revision >= known.revision:
            # Either from the history that both eras share, and later there, or written since.
            return ItemAge.NEWER
        last = known
        if known.value is None:
            deletion = self._deletions.get(item.key)
            if deletion is None or deletion.last is None:
                return ItemAge.UNKNOWN
            last = deletion.last
        return self._order.age(item, last)

    def _wait_ms(self, item: StoreItem) -> int:
        deletion = self._deletions.get(item.key)
        if deletion is None:
            return REWRITE_TIME_MS
        last = deletion.last
        is_last_form = last is None or (last.revision, last.value) == (item.revision, item.value)
        return DELETION_TIME_MS if is_last_form else REWRITE_TIME_MS

    def _all_items(self) -> Iterable[StoreItem]:
        for key, item in self._items.items():
            pending = self._pending.get(key)
            is_deletion = item.value is None and item.era == self.horizon.era
            if item.value is not None or pending is not None or is_deletion:
                yield item
            if pending is not None and pending.item.value is not None:
                yield pending.item

    def _is_pending_deletion(self, key: str) -> bool:
        pending = self._pending.get(key)
        return pending is not None and pending.item.value is None

    def _merge(self, items: Iterable[StoreItem], now_ms: int) -> list[StoreItem]:
        changed = []
        for item in items:
            known = self._items.get(item.key)
            pending = self._pending.get(item.key)
            latest = known if pending is None else pending.item
            if latest is not None and latest.position >= item.position:
                continue
            self._put(item, now_ms)
            # An item that is written again as it was in an earlier era is no change.
            if known is None or known.era == item.era or known.value != item.value:
                changed.append(item)
        self._expire_tombstones(now_ms)
        return changed

    def _put(self, item: StoreItem, now_ms: int) -> None:
        known = self._items.get(item.key)
        self._items[item.key] = item
        self._pending.pop(item.key, None)
        if item.value is not None:
            self._deletions.pop(item.key, None)
        elif known is None or known.value is not None:
            self._deletions[item.key] = _Deletion(now_ms, known)

    def _expire_tombstones(self, now_ms: int) -> None:
        limit_ms = now_ms - TOMBSTONE_RETENTION_MS
        expired = [
            key
            for key, deletion in self._deletions.items()
            if deletion.at_ms < limit_ms and key not in self._pending
        ]
        for key in expired:
            del self._deletions[key]
            position = self._items.pop(key).position
            self._deletions_known_since = max(self._deletions_known_since, position)


def _tombstone(key: str, listing: StoreListing) -> StoreItem:
    return StoreItem(key, None, listing.revision, listing.era)
