"""Queues of waiting attempts of one pool on this host."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process import admission
from sesamehold.request import ids

# Long attempts are served first while they use less than the minimum fraction of the capacity, so
# that bursts of short ones do not starve them. They start only while they use less than the
# maximum fraction, so that the rest is left to short ones.
LONG_MIN_FRACTION = 0.25
LONG_MAX_FRACTION = 0.75


@attrs.define
class PoolQueues:
    """Queues of one pool.

    Attributes:
        shares: Fair shares of the accounts, common to all queues of the pool.
        short: Attempts that are not long.
        long: Attempts that are expected to run much longer than the median of the pool.
        doubtful: Attempts that will probably miss their deadlines; served after all others.
        isolated: Suspects that wait for a reserved target, in order of arrival.
        long_running: Number of granted long attempts.
        capacity: Sum of the slot limits of the targets, refreshed periodically.
        capacity_ms: Time of the last refresh, None if a refresh is due.
    """

    shares: admission.FairShares = attrs.field(factory=admission.FairShares)
    short: admission.FairQueue = attrs.field(init=False)
    long: admission.FairQueue = attrs.field(init=False)
    doubtful: admission.FairQueue = attrs.field(init=False)
    isolated: dict[ids.AttemptId, admission.WaitingAttempt] = attrs.field(factory=dict)
    long_running: int = 0
    capacity: int = 0
    capacity_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        self.short = admission.FairQueue(self.shares)
        self.long = admission.FairQueue(self.shares)
        self.doubtful = admission.FairQueue(self.shares)

    def __len__(self) -> int:
        return len(self.short) + len(self.long) + len(self.doubtful) + len(self.isolated)

    def queue_for(self, waiting: admission.WaitingAttempt) -> admission.FairQueue:
        """Returns the queue that an attempt belongs to."""
        return self.long if waiting.long else self.short

    def may_start(self, waiting: admission.WaitingAttempt) -> bool:
        """Returns whether an attempt may start without being queued."""
        return not self.queue_for(waiting) and (not waiting.long or self._may_start_long())

    def next_candidates(self, now_ms: int) -> Iterator[admission.WaitingAttempt]:
        """Yields the first attempt of each queue, in the order in which to try them."""
        self._demote_doubtful(now_ms)
        long, short = self.long.peek(), self.short.peek()
        if long is not None and self.long_running < LONG_MIN_FRACTION * self.capacity:
            yield long
        if short is not None:
            yield short
        if long is not None and self._may_start_long():
            yield long
        doubtful = self.doubtful.peek()
        if doubtful is not None:
            yield doubtful

    def _demote_doubtful(self, now_ms: int) -> None:
        """Moves short attempts that will probably miss their deadlines behind all others.

        Under overload, the attempts with the earliest deadlines have waited so long that running
        them would mostly be wasted work.
        """
        while (
            waiting := self.short.peek()
        ) is not None and waiting.latest_likely_start_ms <= now_ms:
            self.short.withdraw(waiting.request.attempt)
            self.doubtful.push(waiting)

    def withdraw(self, attempt: ids.AttemptId) -> admission.WaitingAttempt | None:
        """Removes a waiting attempt; returns it if it was waiting."""
        waiting = self.isolated.pop(attempt, None)
        for queue in self._queues():
            waiting = waiting or queue.withdraw(attempt)
        return waiting

    def take_expired(self, now_ms: int) -> list[admission.WaitingAttempt]:
        """Removes and returns the attempts that can no longer meet their deadlines."""
        expired = [
            waiting for waiting in self.isolated.values() if waiting.latest_start_ms <= now_ms
        ]
        for waiting in expired:
            del self.isolated[waiting.request.attempt]
        for queue in self._queues():
            expired += queue.take_expired(now_ms)
        return expired

    def evict(self) -> admission.WaitingAttempt | None:
        """Removes and returns an attempt of the account with the largest backlog per weight."""
        queue = max(self._queues(), key=lambda item: item.largest_backlog()[1])
        return queue.evict(queue.largest_backlog()[0])

    def _queues(self) -> tuple[admission.FairQueue, ...]:
        # `max` in `evict` returns the first maximum, so a tie evicts a doubtful attempt.
        return (self.doubtful, self.short, self.long)

    def _may_start_long(self) -> bool:
        return self.long_running < max(1.0, LONG_MAX_FRACTION * self.capacity)
