"""Restrictions that targets state about themselves in their answers, by incarnation.

A target that is leaving gets nothing more from this host, and one that turns a request away for a
time gets nothing until then. A target in need states the rate of requests that it takes from all
hosts together. A few hosts get an equal share of it each. If there are more, all of them may send,
but each only with a probability that follows from its own demand: a host that would send n requests
within a time sends the share for one host. The sum over all hosts thus stays below the rate at any
distribution of the demand.

Hosts tell each other what rates targets stated, so that those which get no answers any more learn
of the end of a limit, and a host that starts need not be told by each target.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
import random

import attrs

from sesamehold.process.gateway import report_rotation
from sesamehold.process.gateway import sliding_window
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages

# A statement that no answer has repeated for this long no longer holds.
STATEMENT_TTL_MS = 10_000
# A target that leaves has ended by then. Its entry in the directory may come and go before, so the
# statement does not end with it.
LEAVING_RETENTION_MS = 3_600_000
# Hosts that have a fixed share of the rate of a target, beside one for each request per second.
# Each of them may send one request without a wait.
MIN_SHARES = 2
# Time over which a host measures its demand for a target.
DEMAND_WINDOW_MS = 8_000
# Fraction of the rate that is used if there are more hosts than shares, as the number of requests
# that several hosts send at random varies.
USABLE_FRACTION = 0.85
# Delay until a host that has decided not to send to a target considers it again.
DECLINED_DELAY_MS = 500
# Statements in the report to another host, which has to fit into a datagram beside other data.
MAX_REPORTED_STATEMENTS = 6
_MS_PER_S = 1_000


class Restriction(enum.Enum):
    """Why a target must not be sent a request now."""

    LEAVING = "leaving"
    WAITING = "waiting"
    RATE = "rate"


@attrs.frozen
class StatementReport:
    """What a target stated about its rate, as hosts exchange it.

    Attributes:
        target_id: Identity of the target.
        born_ms: Start time of the target, in Unix milliseconds.
        max_rate_per_s: Rate that it takes from all hosts together, None if it is not limited.
        age_ms: Time since the statement.
    """

    target_id: str
    born_ms: int
    max_rate_per_s: float | None
    age_ms: int


@attrs.define
class _Statements:
    """Latest statements of one incarnation of a target."""

    target_id: str
    born_ms: int
    max_rate_per_s: float | None = None
    stated_ms: int | None = None
    next_send_ms: int = 0
    leaving_since_ms: int | None = None
    waits_until_ms: int = 0
    # Requests that were sent, or that a decision about the stated rate held back.
    demand: sliding_window.SlidingWindowCounter = attrs.field(
        factory=lambda: sliding_window.SlidingWindowCounter(DEMAND_WINDOW_MS)
    )

    def is_current(self, now_ms: int) -> bool:
        return self.stated_ms is not None and now_ms - self.stated_ms < STATEMENT_TTL_MS

    def report(self, now_ms: int) -> StatementReport:
        """Returns the report of a current statement."""
        age_ms = now_ms - (self.stated_ms or 0)
        return StatementReport(self.target_id, self.born_ms, self.max_rate_per_s, age_ms)

    def is_leaving(self, now_ms: int) -> bool:
        return (
            self.leaving_since_ms is not None
            and now_ms - self.leaving_since_ms < LEAVING_RETENTION_MS
        )

    def is_idle(self, now_ms: int) -> bool:
        """Returns whether nothing is lost if these statements are discarded."""
        return (
            not self.is_current(now_ms)
            and not self.is_leaving(now_ms)
            and self.waits_until_ms <= now_ms
            and self.demand.total(now_ms) == 0
        )


@attrs.define
class TargetRestrictions:
    """What targets said about themselves; a new incarnation of a target has said nothing."""

    _rng: random.Random
    _by_incarnation: dict[str, _Statements] = attrs.field(factory=dict)
    _rotation: report_rotation.ReportRotation[str] = attrs.field(
        factory=report_rotation.ReportRotation
    )

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
        known = self._for(target)
        changes = [
            self._record_rate(target, head, sent_ms, now_ms),
            _record_leaving(known, head.statement.leaving, sent_ms, now_ms),
        ]
        if head.statement.wait_ms is not None:
            changes.append(known.waits_until_ms <= now_ms)
            known.waits_until_ms = max(known.waits_until_ms, now_ms + head.statement.wait_ms)
        return any(changes)

    def _record_rate(
        self, target: targets.Target, head: messages.AnswerHead, sent_ms: int, now_ms: int
    ) -> bool:
        rate = head.statement.max_rate_per_s
        known = self._for(target)
        previous = self.max_rate_per_s(target, now_ms)
        if rate is None:
            # The answer to a request that was sent before the limit was stated may be older than
            # the statement, and an error may come from a part of the target that states nothing.
            is_newer = known.stated_ms is not None and sent_ms > known.stated_ms
            if not is_newer or not head.succeeded:
                return False
        known.max_rate_per_s = rate
        known.stated_ms = now_ms
        if rate != previous:
            self._rotation.note_change(target.incarnation)
        return rate != previous

    def max_rate_per_s(self, target: targets.Target, now_ms: int) -> float | None:
        """Returns the rate that a target takes from all hosts together, None without a limit."""
        known = self._by_incarnation.get(target.incarnation)
        if known is None or not known.is_current(now_ms):
            return None
        return known.max_rate_per_s

    def next_send_ms(self, target: targets.Target, now_ms: int) -> int | None:
        """Returns the monotonic time from which this host may send to a target, None for never."""
        known = self._for(target)
        if known.is_leaving(now_ms):
            return None
        earliest_ms = max(now_ms, known.waits_until_ms)
        rate = self.max_rate_per_s(target, now_ms)
        if rate is None:
            return earliest_ms
        return None if rate <= 0 else max(earliest_ms, known.next_send_ms)

    def restriction(self, target: targets.Target, now_ms: int) -> Restriction | None:
        """Returns why a target must not be sent a request now, None if it may be."""
        known = self._for(target)
        if known.is_leaving(now_ms):
            return Restriction.LEAVING
        if known.waits_until_ms > now_ms:
            return Restriction.WAITING
        return Restriction.RATE if self.next_send_ms(target, now_ms) != now_ms else None

    def try_acquire(self, target: targets.Target, host_count: int, now_ms: int) -> bool:
        """Consumes one request of this host's share; returns False if it must not be sent now.

        Args:
            target: Target to send to.
            host_count: Upper bound of the number of hosts that send to it.
            now_ms: Monotonic time.
        """
        if self.next_send_ms(target, now_ms) != now_ms:
            return False
        known = self._for(target)
        known.demand.add(now_ms)
        rate = self.max_rate_per_s(target, now_ms)
        if rate is None:
            return True
        share_count = MIN_SHARES + int(rate)
        if host_count > share_count:
            usable = USABLE_FRACTION * rate * DEMAND_WINDOW_MS / _MS_PER_S
            probability = usable / (host_count * known.demand.total(now_ms))
            if self._rng.random() >= probability:
                known.next_send_ms = now_ms + DECLINED_DELAY_MS
                return False
        known.next_send_ms = now_ms + int(min(host_count, share_count) * _MS_PER_S / rate)
        return True

    def merge(self, reports: Iterable[StatementReport], now_ms: int) -> None:
        """Merges what targets stated to other hosts; the latest statement holds."""
        for report in reports:
            known = self._statements(report.target_id, report.born_ms)
            stated_ms = now_ms - report.age_ms
            if known.stated_ms is None or known.stated_ms < stated_ms:
                if known.max_rate_per_s != report.max_rate_per_s:
                    self._rotation.note_change(
                        targets.incarnation_of(report.target_id, report.born_ms)
                    )
                known.max_rate_per_s = report.max_rate_per_s
                known.stated_ms = stated_ms

    def reports(self, now_ms: int) -> list[StatementReport]:
        """Returns the statements of the next report to other hosts."""
        idle = [key for key, item in self._by_incarnation.items() if item.is_idle(now_ms)]
        for incarnation in idle:
            del self._by_incarnation[incarnation]
        current = [key for key, item in self._by_incarnation.items() if item.is_current(now_ms)]
        chosen = self._rotation.choose(current, MAX_REPORTED_STATEMENTS)
        return [self._by_incarnation[key].report(now_ms) for key in chosen]

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def _for(self, target: targets.Target) -> _Statements:
        return self._statements(target.target_id, target.born_ms)

    def _statements(self, target_id: str, born_ms: int) -> _Statements:
        key = targets.incarnation_of(target_id, born_ms)
        known = self._by_incarnation.get(key)
        if known is None:
            known = self._by_incarnation[key] = _Statements(target_id, born_ms)
        return known


def _record_leaving(known: _Statements, is_leaving: bool | None, sent_ms: int, now_ms: int) -> bool:
    """Records whether a target leaves; only a later statement, not a missing one, revokes it."""
    if is_leaving:
        changed = known.leaving_since_ms is None
        known.leaving_since_ms = now_ms if changed else known.leaving_since_ms
        return changed
    if is_leaving is None or known.leaving_since_ms is None or sent_ms <= known.leaving_since_ms:
        return False
    known.leaving_since_ms = None
    return True
