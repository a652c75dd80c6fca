"""Limits the processor time that the framing of bodies can take.

Parsing costs far more for each byte of framing, such as the sizes of chunks, than for each byte of
a body. A peer that sends little else would keep the event loop, which serves all requests, busy.
Nothing that HTTP allows is refused here: who spends is told to read more slowly.
"""

from __future__ import annotations

import attrs

from sesamehold.process import clock as clocks

# Framing that is read at once, and what is read in a second after that.
BURST_BYTES = 65_536
RATE_BYTES_PER_S = 65_536
# Framing beyond what is read in this time makes no pause longer.
MAX_DEBT_S = 4
_MS_PER_S = 1_000


@attrs.define
class FramingBudget:
    """Token bucket for the framing that several connections receive.

    Attributes:
        rate_bytes_per_s: Framing that is read in a second once the burst is used up.
    """

    _clock: clocks.Clock
    rate_bytes_per_s: int = attrs.field(default=RATE_BYTES_PER_S, kw_only=True)
    _available_bytes: float = BURST_BYTES
    _updated_ms: int = 0

    def spend(self, size_bytes: int) -> int:
        """Counts received framing.

        Args:
            size_bytes: Received bytes that belong to no body.

        Returns:
            Time in milliseconds for which the connection must not be read.
        """
        available_bytes = min(BURST_BYTES, self._refilled_bytes()) - size_bytes
        self._updated_ms = self._clock.now_ms()
        self._available_bytes = max(available_bytes, -MAX_DEBT_S * self.rate_bytes_per_s)
        if self._available_bytes >= 0:
            return 0
        return int(-self._available_bytes * _MS_PER_S / self.rate_bytes_per_s) + 1

    @property
    def is_full(self) -> bool:
        """Returns whether nothing is lost if this budget is replaced by a new one."""
        return self._refilled_bytes() >= BURST_BYTES

    @property
    def is_overdrawn(self) -> bool:
        """Returns whether more has been spent than there was."""
        return self._refilled_bytes() < 0

    def _refilled_bytes(self) -> float:
        """Returns what is available now, without the limit of a burst."""
        passed_ms = self._clock.now_ms() - self._updated_ms
        return self._available_bytes + passed_ms * self.rate_bytes_per_s / _MS_PER_S
