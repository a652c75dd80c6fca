"""Compares forms of a store item by what they say, where their revisions cannot be compared."""

from __future__ import annotations

import attrs

from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets

_Key = tuple[int, bool]


@attrs.frozen
class DirectoryItemOrder:
    """Order of configurations by version, and of targets by start and shutdown.

    Attributes:
        source: Decodes the items.
    """

    source: directory_events.DirectorySource

    def age(
        self, item: store_replica.StoreItem, known: store_replica.StoreItem
    ) -> store_replica.ItemAge:
        """Returns the age of an item compared with a known form of it."""
        item_event, known_event = self._decode(item), self._decode(known)
        match item_event, known_event:
            case (
                directory_events.ConfigurationPublished(table=table),
                directory_events.ConfigurationPublished(table=known_table),
            ):
                return _compare((table.version, False), (known_table.version, False))
            case (
                directory_events.TargetPublished(target=target),
                directory_events.TargetPublished(target=known_target),
            ) if target.born_ms and known_target.born_ms:
                return _compare(_target_key(target), _target_key(known_target))
        return store_replica.ItemAge.UNKNOWN

    def _decode(self, item: store_replica.StoreItem) -> directory_events.DirectoryEvent | None:
        events = self.source.decode(item, now_ms=0)
        return events[0] if events else None


def _target_key(target: targets.Target) -> _Key:
    # A target that drains does not take work again before its next start.
    return target.born_ms, target.draining


def _compare(key: _Key, known: _Key) -> store_replica.ItemAge:
    if key == known:
        return store_replica.ItemAge.UNKNOWN
    return store_replica.ItemAge.NEWER if key > known else store_replica.ItemAge.OLDER
