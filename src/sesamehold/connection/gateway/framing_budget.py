"""Limits the processor time that the framing of one target's answers can take.

Parsing costs far more for each byte of framing, such as the sizes of chunks, than for each byte of
a body. A target that sends little else would keep the event loop, which serves all requests, busy.
Nothing that HTTP allows is refused for it: the answer is only read more slowly.
"""

from __future__ import annotations

import attrs

from sesamehold.process import clock as clocks

# Framing of one target that is read at once, and what is read of it in a second after that.
BURST_BYTES = 65_536
RATE_BYTES_PER_S = 65_536
# Framing beyond this makes no pause longer.
MAX_DEBT_BYTES = 4 * RATE_BYTES_PER_S
_MS_PER_S = 1_000


@attrs.define
class FramingBudget:
    """Token bucket for the framing that all connections to one target receive."""

    _clock: clocks.Clock
    _available_bytes: float = BURST_BYTES
    _updated_ms: int = 0

    def spend(self, size_bytes: int) -> int:
        """Counts received framing.

        Args:
            size_bytes: Received bytes that belong to no body.

        Returns:
            Time in milliseconds for which the connection must not be read.
        """
        now_ms = self._clock.now_ms()
        gained_bytes = (now_ms - self._updated_ms) * RATE_BYTES_PER_S / _MS_PER_S
        self._updated_ms = now_ms
        available_bytes = min(BURST_BYTES, self._available_bytes + gained_bytes) - size_bytes
        self._available_bytes = max(available_bytes, -MAX_DEBT_BYTES)
        if self._available_bytes >= 0:
            return 0
        return int(-self._available_bytes * _MS_PER_S / RATE_BYTES_PER_S) + 1

    @property
    def is_full(self) -> bool:
        """Returns whether nothing is lost if this budget is replaced by a new one."""
        gained_bytes = (self._clock.now_ms() - self._updated_ms) * RATE_BYTES_PER_S / _MS_PER_S
        return self._available_bytes + gained_bytes >= BURST_BYTES
