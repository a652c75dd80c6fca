"""Queue of membership updates that are piggybacked on datagrams."""

from __future__ import annotations

import math

import attrs

from sesamehold.process import messages

# Each update is sent SEND_FACTOR * log2(N) times, which reaches every host with high probability
# (Das, Gupta and Motivala, SWIM, 2002).
SEND_FACTOR = 3
# Keeps datagrams below 1,200 bytes at 1,000 hosts, where the evidence takes 500 bytes.
UPDATES_SIZE_BYTES = 400
_UPDATE_OVERHEAD_BYTES = 14


@attrs.define
class Dissemination:
    """Queue with at most one update per host; updates that were sent least often go first."""

    _updates: dict[str, messages.MemberUpdate] = attrs.field(factory=dict)
    _send_counts: dict[str, int] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, update: messages.MemberUpdate) -> None:
        """Queues an update, replacing any queued update about the same host."""
        self._updates[update.host_id] = update
        self._send_counts[update.host_id] = 0

    def discard(self, host_id: str) -> None:
        """Removes the queued update about a host, if any."""
        self._updates.pop(host_id, None)
        self._send_counts.pop(host_id, None)

    def take(
        self, member_count: int, first: messages.MemberUpdate | None
    ) -> tuple[messages.MemberUpdate, ...]:
        """Returns the updates for one datagram.

        Args:
            member_count: Number of members, which determines how often an update is sent.
            first: Update that this receiver must get, if any; it comes first.
        """
        if not self._updates:
            return () if first is None else (first,)
        limit = math.ceil(SEND_FACTOR * math.log2(member_count + 1))
        chosen = [] if first is None else [first]
        size_bytes = sum(_size_bytes(update) for update in chosen)
        for host_id in sorted(self._updates, key=self._send_counts.__getitem__):
            update = self._updates[host_id]
            size_bytes += _size_bytes(update)
            if size_bytes > UPDATES_SIZE_BYTES:
                break
            chosen.append(update)
            self._send_counts[host_id] += 1
            if self._send_counts[host_id] >= limit:
                self.discard(host_id)
        return tuple(chosen)


def _size_bytes(update: messages.MemberUpdate) -> int:
    return len(update.host_id) + _UPDATE_OVERHEAD_BYTES
