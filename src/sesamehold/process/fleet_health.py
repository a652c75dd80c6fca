"""Beliefs of a host that a dispatch under a claim depends on."""

from __future__ import annotations

from typing import Protocol

import attrs

from sesamehold.process import clock as clocks

PAUSE_THRESHOLD_MS = 1_000


class Quorum(Protocol):
    """Whether this host may take part in decisions of the fleet."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether a majority of the roster is believed alive."""


class PauseDetector(Protocol):
    """Whether this process was stopped for a while."""

    def paused_since(self, since_ms: int) -> bool:
        """Returns whether a pause ended after a moment or is not yet over."""


@attrs.frozen
class SoleHostQuorum:
    """Quorum of a fleet without failure detection; a lone host is its own majority."""

    def has_quorum(self, now_ms: int) -> bool:
        """Returns True."""
        return True


@attrs.define
class TickPauseDetector:
    """Detects a pause by the gap between regular ticks.

    The gap is also looked at when the detector is asked, because after a pause a dispatch can run
    before the next tick.
    """

    _clock: clocks.Clock
    _threshold_ms: int = PAUSE_THRESHOLD_MS
    _last_tick_ms: int | None = None
    _last_pause_end_ms: int | None = None

    def tick(self) -> None:
        """Notes that the event loop runs."""
        now_ms = self._clock.now_ms()
        last_ms = now_ms if self._last_tick_ms is None else self._last_tick_ms
        if now_ms - last_ms > self._threshold_ms:
            self._last_pause_end_ms = now_ms
        self._last_tick_ms = now_ms

    def paused_since(self, since_ms: int) -> bool:
        """Returns whether a pause ended at or after the given moment."""
        self.tick()
        return self._last_pause_end_ms is not None and self._last_pause_end_ms >= since_ms
