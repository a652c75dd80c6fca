"""Urgent notices, forwarded to a few hosts on first receipt (infect and die)."""

from __future__ import annotations

from collections.abc import Hashable

import attrs

from sesamehold.process import messages

FANOUT = 4
# Keys of notices that are remembered to drop duplicates; the oldest are evicted.
MAX_REMEMBERED = 4_096
# A duplicate whose key was evicted cannot circulate for ever.
MAX_HOPS = 24


@attrs.define
class Notices:
    """Remembers the notices that this host has seen."""

    host_id: str
    limit: int = MAX_REMEMBERED
    _seen: dict[Hashable, None] = attrs.field(factory=dict)
    _next_id: int = 0

    def publish(self, body: messages.NoticeBody) -> messages.Notice | None:
        """Returns the notice to send to `FANOUT` hosts, None if the content is known already."""
        if not self._remember(body):
            return None
        self._next_id += 1
        return messages.Notice(self._next_id, self.host_id, 0, body)

    def receive(self, notice: messages.Notice) -> messages.Notice | None:
        """Returns the notice to forward, None for a duplicate."""
        if not self._remember(notice.body) or notice.hop_count >= MAX_HOPS:
            return None
        return attrs.evolve(notice, hop_count=notice.hop_count + 1)

    def knows(self, body: messages.NoticeBody) -> bool:
        """Returns whether the content is known already."""
        return _key(body) in self._seen

    def __len__(self) -> int:
        return len(self._seen)

    def _remember(self, body: messages.NoticeBody) -> bool:
        key = _key(body)
        if key in self._seen:
            return False
        if len(self._seen) >= self.limit:
            del self._seen[next(iter(self._seen))]
        self._seen[key] = None
        return True


def _key(body: messages.NoticeBody) -> Hashable:
    # Several hosts may notice the same fact, so that its content identifies a notice.
    match body:
        case messages.CrashSuspicionNotice():
            return (type(body), body.fingerprint, body.stage, body.crash_count)
        case _:
            return body
