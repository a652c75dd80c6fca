"""Evidence that members of the roster run, and the quorum check.

Each host keeps, for each member of the roster, a time of its own clock at which the member
certainly ran. Hosts exchange these times as ages. An age is only used when the delay of the
datagram is bounded by a time of the receiver's own clock: the ages of an acknowledgement count
from the time at which the probe was sent, those of a confirmation from the time at which the
acknowledgement was sent. A datagram that was delayed, or read late by a paused process,
therefore never makes evidence look younger.

Membership updates alone cannot carry this: when a fleet of 1,000 hosts splits, several hundred
updates would have to reach every host within 10 s at 2 KB/s.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

import attrs

# Ages are rounded up at each hop, so the unit has to be small against the detection bound.
AGE_UNIT_MS = 600
_UNKNOWN_AGE = 15
# Encoded ages are sent again for this long, as when many hosts start at once and ask for them. They
# are computed for the end of this time, so that no age is too young.
CACHE_MS = 40
# The oldest evidence that counts. Lost quorum is noticed this long after a partition at the latest;
# the design allows 10 s.
EVIDENCE_MS = (_UNKNOWN_AGE - 1) * AGE_UNIT_MS
_NEVER_MS = -(1 << 60)


@attrs.define
class Evidence:
    """Times at which the members of the roster certainly ran, by this host's clock.

    >>> evidence = Evidence("a")
    >>> evidence.configure(["a", "b", "c"])
    >>> evidence.has_quorum(0)
    False
    >>> evidence.observe("b", 0)
    >>> evidence.has_quorum(EVIDENCE_MS), evidence.has_quorum(EVIDENCE_MS + 1)
    (True, False)
    """

    host_id: str
    roster_key: int = 0
    _ids: list[str] = attrs.field(factory=list)
    _index: dict[str, int] = attrs.field(factory=dict)
    _seen_ms: list[int] = attrs.field(factory=list)
    _cached: bytes = b""
    _cached_until_ms: int = _NEVER_MS

    def configure(self, host_ids: Iterable[str]) -> None:
        """Takes over a roster; evidence of members that stay is kept."""
        known = dict(zip(self._ids, self._seen_ms, strict=True))
        self._ids = sorted(set(host_ids))
        self._index = {host_id: index for index, host_id in enumerate(self._ids)}
        self._seen_ms = [known.get(host_id, _NEVER_MS) for host_id in self._ids]
        digest = hashlib.blake2b("\0".join(self._ids).encode(), digest_size=4).digest()
        self._cached_until_ms = _NEVER_MS
        self.roster_key = int.from_bytes(digest, "big")

    def observe(self, host_id: str, ran_ms: int) -> None:
        """Notes that a member certainly ran at a time of this host's clock."""
        index = self._index.get(host_id)
        if index is not None and ran_ms > self._seen_ms[index]:
            self._seen_ms[index] = ran_ms

    def seen_ms(self, host_id: str) -> int:
        """Returns when a member certainly ran last; far in the past if that is unknown."""
        index = self._index.get(host_id)
        return _NEVER_MS if index is None else self._seen_ms[index]

    def ages(self, now_ms: int) -> bytes:
        """Returns the ages to send, two members in a byte, each rounded up to `AGE_UNIT_MS`."""
        if now_ms <= self._cached_until_ms:
            return self._cached
        self.observe(self.host_id, now_ms)
        self._cached_until_ms = now_ms + CACHE_MS
        late_ms = self._cached_until_ms + AGE_UNIT_MS - 1
        units = [min((late_ms - seen_ms) // AGE_UNIT_MS, 15) for seen_ms in self._seen_ms]
        if len(units) % 2:
            units.append(_UNKNOWN_AGE)
        self._cached = bytes(
            low | high << 4 for low, high in zip(units[::2], units[1::2], strict=True)
        )
        return self._cached

    def merge(self, roster_key: int, ages: bytes, sent_after_ms: int) -> None:
        """Takes over ages from a datagram that was sent after a time of this host's clock."""
        if roster_key != self.roster_key or len(ages) != (len(self._ids) + 1) // 2:
            return
        ran_ms = [sent_after_ms - age * AGE_UNIT_MS for age in range(_UNKNOWN_AGE)]
        ran_ms.append(_NEVER_MS)
        received = [ran_ms[age] for byte in ages for age in (byte & 15, byte >> 4)]
        self._seen_ms = [
            max(pair) for pair in zip(self._seen_ms, received[: len(self._ids)], strict=True)
        ]

    def alive_count(self, now_ms: int) -> int:
        """Returns how many members ran within `EVIDENCE_MS`, this host included."""
        self.observe(self.host_id, now_ms)
        since_ms = now_ms - EVIDENCE_MS
        return sum(seen_ms >= since_ms for seen_ms in self._seen_ms)

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether more than half of the roster is alive."""
        return 2 * self.alive_count(now_ms) > len(self._ids)
