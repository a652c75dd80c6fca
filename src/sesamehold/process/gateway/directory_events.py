"""Decoded changes of the configuration store, published by the operator and the targets."""

from __future__ import annotations

from typing import Protocol
from typing import TypeAlias

import attrs
from expression import Result

from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets
from sesamehold.version import routing


@attrs.frozen
class ConfigurationPublished:
    """The operator published a configuration."""

    table: routing.RoutingTable


@attrs.frozen
class TargetPublished:
    """A target registered or changed its entry."""

    target: targets.Target


@attrs.frozen
class TargetWithdrawn:
    """The entry of a target was removed or no longer describes a target."""

    target_id: str


@attrs.frozen
class ZoneTakenOut:
    """The operator took an availability zone out of service for new work."""

    zone: str


@attrs.frozen
class ZoneBroughtBack:
    """The operator put an availability zone back into service."""

    zone: str


@attrs.frozen
class InvalidItem:
    """An item cannot be decoded; the previous value of its key is no longer valid."""

    key: str
    reason: str


DirectoryEvent: TypeAlias = (
    ConfigurationPublished
    | TargetPublished
    | TargetWithdrawn
    | ZoneTakenOut
    | ZoneBroughtBack
    | InvalidItem
)


@attrs.frozen
class StoreUnavailable:
    """The store returned an error or an invalid answer, or none."""

    reason: str


@attrs.frozen
class HistoryLost:
    """The store does not have the changes since the requested revision.

    Attributes:
        era: Era of the store that gave this answer.
    """

    era: int = 0


class DirectorySource(Protocol):
    """Reads the configuration store and decodes its items."""

    def prefixes(self) -> tuple[str, ...]:
        """Returns the prefixes of all keys that the gateway reads."""

    def decode(self, item: store_replica.StoreItem, now_ms: int) -> tuple[DirectoryEvent, ...]:
        """Returns the events that a changed item stands for."""

    async def list_items(self, prefix: str) -> Result[store_replica.StoreListing, StoreUnavailable]:
        """Reads all items below a prefix."""

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[store_replica.StoreListing, StoreUnavailable | HistoryLost]:
        """Waits for changes after a revision; returns them, or none after `wait_ms`."""

    def close_idle(self) -> None:
        """Makes the next call use a new connection, on which no late answer can come."""
