"""Interfaces through which decisions check the quorum and process pauses.

`fleet_view.FleetView` and `pause.PauseDetector` are the production implementations.
"""

from __future__ import annotations

from typing import Protocol

import attrs


class Quorum(Protocol):
    """Tells whether this host is in the majority and may take part in fleet-wide decisions."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether a majority of the roster is alive and agrees with this host's roster."""


class PauseDetector(Protocol):
    """Tells whether this process was paused, for example stopped or suspended."""

    def paused_since(self, since_ms: int) -> bool:
        """Returns whether the process was paused at any time after `since_ms`."""


@attrs.frozen
class SingleHostFleet:
    """Quorum and pause detector for a single-host fleet, where no host can take over."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns True: a single host is its own majority."""
        return True

    def paused_since(self, since_ms: int) -> bool:
        """Returns False: no other host can take over work during a pause."""
        return False


SINGLE_HOST_FLEET = SingleHostFleet()
