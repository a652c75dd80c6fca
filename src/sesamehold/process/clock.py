"""Clock interface with a system and a manually advanced implementation."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """Source of monotonic and wall-clock time."""

    def now_ms(self) -> int:
        """Returns monotonic time in milliseconds; it advances while the process is paused."""

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""


@attrs.frozen
class SystemClock:
    """Clock of the operating system."""

    def now_ms(self) -> int:
        """Returns monotonic time; CLOCK_BOOTTIME also counts while the machine is suspended."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Returns Unix time in milliseconds."""
        return time.time_ns() // _NS_PER_MS


@attrs.define
class ManualClock:
    """Clock that only advances on request, for tests and simulations.

    >>> clock = ManualClock()
    >>> clock.advance(5)
    >>> clock.now_ms()
    5
    """

    monotonic_ms: int = 0
    unix_ms: int = 1_700_000_000_000

    def now_ms(self) -> int:
        """Returns the simulated monotonic time."""
        return self.monotonic_ms

    def wall_ms(self) -> int:
        """Returns the simulated wall-clock time."""
        return self.unix_ms

    def advance(self, duration_ms: int) -> None:
        """Advances both clocks."""
        self.monotonic_ms += duration_ms
        self.unix_ms += duration_ms
