"""What decisions of this host must know about itself and the fleet before they act.

`fleet_view.FleetView` and `pause.PauseDetector` are the real implementations.
"""

from __future__ import annotations

from typing import Protocol

import attrs


class Quorum(Protocol):
    """Whether this host may take part in decisions of the fleet."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether a majority of the roster is alive and agrees with this host's roster."""


class PauseDetector(Protocol):
    """Whether this process was stopped for a while."""

    def paused_since(self, since_ms: int) -> bool:
        """Returns whether the process was stopped at any moment after `since_ms`."""


@attrs.frozen
class SingleHostFleet:
    """Quorum and pause detector of a fleet with one host, which no other host can replace."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns True: the only host is its own majority."""
        return True

    def paused_since(self, since_ms: int) -> bool:
        """Returns False: no other host takes over anything during a pause."""
        return False


SINGLE_HOST_FLEET = SingleHostFleet()
