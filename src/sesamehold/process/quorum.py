"""Liveness evidence for the members of the roster, and the quorum check.

For each member of the roster, a host keeps the latest time of its own clock at which the member is
known to have been running. Hosts exchange these times as ages. An age is used only if the delay of
the datagram is bounded by a time of the receiver's own clock: the ages in an acknowledgement are
relative to the time at which the probe was sent, those in a confirmation to the time at which the
acknowledgement was sent. A datagram that is delayed, or read late by a paused process, therefore
never makes evidence appear more recent than it is.

Membership updates alone are not sufficient: when a fleet of 1,000 hosts is partitioned, several
hundred updates would have to reach every host within 10 s at 2 KB/s.
"""

from __future__ import annotations

from collections.abc import Iterable
import hashlib

import attrs

# Ages are rounded up at each hop, so the unit must be small compared to the detection bound.
AGE_UNIT_MS = 600
_UNKNOWN_AGE = 15
# Encoded ages are reused for this time, for example when many hosts start at once and request them.
# They are computed for the end of this time, so that no age is understated.
CACHE_MS = 40
# Maximum age of evidence. The loss of the quorum is detected at most this long after a partition;
# the design allows 10 s.
EVIDENCE_MS = (_UNKNOWN_AGE - 1) * AGE_UNIT_MS
_NEVER_MS = -(1 << 60)


@attrs.define
class LivenessEvidence:
    """Latest known times of this host's clock at which the members of the roster were running.

    >>> evidence = LivenessEvidence("a")
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
        """Applies a roster; evidence of members that remain is kept."""
        known = dict(zip(self._ids, self._seen_ms, strict=True))
        self._ids = sorted(set(host_ids))
        self._index = {host_id: index for index, host_id in enumerate(self._ids)}
        self._seen_ms = [known.get(host_id, _NEVER_MS) for host_id in self._ids]
        digest = hashlib.blake2b("\0".join(self._ids).encode(), digest_size=4).digest()
        self._cached_until_ms = _NEVER_MS
        self.roster_key = int.from_bytes(digest, "big")

    def observe(self, host_id: str, ran_ms: int) -> None:
        """Records that a member was running at a time of this host's clock."""
        index = self._index.get(host_id)
        if index is not None and ran_ms > self._seen_ms[index]:
            self._seen_ms[index] = ran_ms

    def seen_ms(self, host_id: str) -> int:
        """Returns the latest known time at which a member was running, `_NEVER_MS` if unknown."""
        index = self._index.get(host_id)
        return _NEVER_MS if index is None else self._seen_ms[index]

    def ages(self, now_ms: int) -> bytes:
        """Returns the encoded ages, two members per byte, each rounded up to `AGE_UNIT_MS`."""
        if now_ms <= self._cached_until_ms:
            return self._cached
        self.observe(self.host_id, now_ms)
        self._cached_until_ms = now_ms + CACHE_MS
        computed_for_ms = self._cached_until_ms + AGE_UNIT_MS - 1
        units = [min((computed_for_ms - seen_ms) // AGE_UNIT_MS, 15) for seen_ms in self._seen_ms]
        if len(units) % 2:
            units.append(_UNKNOWN_AGE)
        self._cached = bytes(
            low | high << 4 for low, high in zip(units[::2], units[1::2], strict=True)
        )
        return self._cached

    def merge(self, roster_key: int, ages: bytes, sent_after_ms: int) -> None:
        """Merges ages from a datagram that was sent after a given time of this host's clock."""
        if roster_key != self.roster_key or len(ages) != (len(self._ids) + 1) // 2:
            return
        ran_ms = [sent_after_ms - age * AGE_UNIT_MS for age in range(_UNKNOWN_AGE)]
        ran_ms.append(_NEVER_MS)
        received = [ran_ms[age] for byte in ages for age in (byte & 15, byte >> 4)]
        self._seen_ms = [
            max(pair) for pair in zip(self._seen_ms, received[: len(self._ids)], strict=True)
        ]

    def alive_count(self, now_ms: int) -> int:
        """Returns the number of members seen within `EVIDENCE_MS`, including this host."""
        self.observe(self.host_id, now_ms)
        since_ms = now_ms - EVIDENCE_MS
        return sum(seen_ms >= since_ms for seen_ms in self._seen_ms)

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether more than half of the roster is alive."""
        return 2 * self.alive_count(now_ms) > len(self._ids)
