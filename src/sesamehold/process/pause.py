"""Detects process pauses from gaps between ticks of the event loop."""

from __future__ import annotations

import attrs

from sesamehold.process import clock as clocks

# Longer gaps count as a pause. Garbage collection and applying the largest configuration block the
# event loop for about 200 ms.
PAUSE_MS = 500


@attrs.define
class PauseDetector:
    """Tracks pauses of the process and whether its view of the fleet is stale after one.

    >>> clock = clocks.ManualClock()
    >>> detector = PauseDetector(clock)
    >>> clock.advance(2_000)
    >>> detector.paused_since(1_000), detector.is_stale()
    (True, True)
    >>> detector.on_probe_acknowledged(2_000)
    >>> detector.paused_since(2_000), detector.is_stale()
    (False, False)
    """

    _clock: clocks.Clock
    pause_count: int = 0
    last_paused_ms: int = 0
    _last_tick_ms: int = attrs.field(init=False)
    _pause_ended_ms: int | None = None
    _stale: bool = False
    _unreported_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self._last_tick_ms = self._clock.now_ms()

    def tick(self) -> int:
        """Records a tick of the event loop; returns the total pause since the last tick."""
        self._observe()
        paused_ms, self._unreported_ms = self._unreported_ms, 0
        return paused_ms

    def paused_since(self, time_ms: int) -> bool:
        """Returns whether the process was paused at any time after `time_ms`."""
        self._observe_if_late()
        return self._pause_ended_ms is not None and self._pause_ended_ms > time_ms

    def is_stale(self) -> bool:
        """Returns whether no probe has been acknowledged since the last pause."""
        self._observe_if_late()
        return self._stale

    def on_probe_acknowledged(self, sent_ms: int) -> None:
        """Clears the stale state if the probe was sent after the last pause."""
        if self._pause_ended_ms is None or sent_ms >= self._pause_ended_ms:
            self._stale = False

    def _observe_if_late(self) -> None:
        # After a pause, other tasks may run before the next tick does.
        if self._clock.now_ms() - self._last_tick_ms > PAUSE_MS:
            self._observe()

    def _observe(self) -> None:
        now_ms = self._clock.now_ms()
        gap_ms = now_ms - self._last_tick_ms
        self._last_tick_ms = now_ms
        if gap_ms <= PAUSE_MS:
            return
        self.pause_count += 1
        self.last_paused_ms = gap_ms
        self._pause_ended_ms = now_ms
        self._stale = True
        self._unreported_ms += gap_ms
