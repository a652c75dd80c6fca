"""Gossip broadcast of urgent notices: each host forwards a notice once (infect-and-die)."""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from sesamehold.process import messages

FANOUT = 4
# Number of notice keys kept to drop duplicates; the oldest are evicted first.
MAX_REMEMBERED = 4_096
# Stops a notice that would otherwise circulate forever once its key has been evicted.
MAX_HOPS = 24


@attrs.define
class Notices:
    """Deduplicates the notices that this host publishes and receives."""

    host_id: str
    limit: int = MAX_REMEMBERED
    _seen: dict[Hashable, None] = attrs.field(factory=dict)
    _next_id: int = 0

    def publish(self, body: messages.NoticeBody) -> messages.Notice | None:
        """Returns the notice to send to `FANOUT` hosts, None if its content was seen before."""
        if not self._add_if_new(body):
            return None
        self._next_id += 1
        return messages.Notice(self._next_id, self.host_id, 0, body)

    def receive(self, notice: messages.Notice) -> messages.Notice | None:
        """Returns the notice to forward, None for a duplicate."""
        if not self._add_if_new(notice.body) or notice.hop_count >= MAX_HOPS:
            return None
        return attrs.evolve(notice, hop_count=notice.hop_count + 1)

    def has_seen(self, body: messages.NoticeBody) -> bool:
        """Returns whether a notice with this content was seen before."""
        return _key(body) in self._seen

    def __len__(self) -> int:
        return len(self._seen)

    def _add_if_new(self, body: messages.NoticeBody) -> bool:
        key = _key(body)
        if key in self._seen:
            return False
        if len(self._seen) >= self.limit:
            del self._seen[next(iter(self._seen))]
        self._seen[key] = None
        return True


def _key(body: messages.NoticeBody) -> Hashable:
    # Several hosts may publish the same fact, so a notice is identified by its content. The key of
    # a crash suspicion leaves out its age, which differs between hosts.
    match body:
        case messages.CrashSuspicionNotice():
            return (type(body), body.fingerprint, body.stage, body.crash_count)
        case _:
            return body
