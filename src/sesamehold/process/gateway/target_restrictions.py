"""Restrictions that targets state about themselves in their answers, by incarnation.

A target in need states the rate of requests that it takes from all hosts together.
"""

from __future__ import annotations

import attrs

from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages

# A statement that no answer has repeated for this long no longer holds.
STATEMENT_TTL_MS = 10_000


@attrs.frozen
class RateStatement:
    """Rate that a target takes from all hosts together.

    Attributes:
        max_rate_per_s: Requests per second, None if the target states no limit any more.
        stated_ms: Monotonic time of the answer.
    """

    max_rate_per_s: float | None
    stated_ms: int


@attrs.define
class _Restrictions:
    incarnation: str
    rate: RateStatement | None = None


@attrs.define
class TargetRestrictions:
    """What targets said about themselves; a new incarnation of a target has said nothing."""

    _by_id: dict[str, _Restrictions] = attrs.field(factory=dict)

    def record_answer(
        self, target: targets.Target, head: messages.AnswerHead, sent_ms: int, now_ms: int
    ) -> bool:
        """Records what a target says in the head of an answer.

        Args:
            target: Target that the request was sent to.
            head: Head of its answer.
            sent_ms: Monotonic time at which the request was sent.
            now_ms: Monotonic time.

        Returns:
            Whether a restriction began, changed or ended.
        """
        if head.wrong_target:
            # Another target has taken over the address.
            return False
        stated = head.statement.max_rate_per_s
        known = self._for(target)
        previous = known.rate.max_rate_per_s if known.rate is not None else None
        if stated is None:
            # The answer to a request that was sent before the limit was stated may be older than
            # the statement, and an error may come from a part of the target that states nothing.
            is_newer = known.rate is not None and sent_ms > known.rate.stated_ms
            if not is_newer or not head.succeeded:
                return False
        known.rate = RateStatement(stated, now_ms)
        return stated != previous

    def max_rate_per_s(self, target: targets.Target, now_ms: int) -> float | None:
        """Returns the rate that a target takes from all hosts together, None without a limit."""
        known = self._by_id.get(target.target_id)
        if known is None or known.incarnation != target.incarnation or known.rate is None:
            return None
        if now_ms - known.rate.stated_ms >= STATEMENT_TTL_MS:
            return None
        return known.rate.max_rate_per_s

    def forget(self, target_id: str) -> None:
        """Discards what a target said that was removed."""
        self._by_id.pop(target_id, None)

    def _for(self, target: targets.Target) -> _Restrictions:
        known = self._by_id.get(target.target_id)
        if known is None or known.incarnation != target.incarnation:
            known = self._by_id[target.target_id] = _Restrictions(target.incarnation)
        return known
