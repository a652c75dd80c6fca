"""Waiting and running attempts of one pool on this host."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from sesamehold.process import admission
from sesamehold.request import ids

# Long attempts keep at least the first part of a pool under bursts of short ones, and leave at
# least the rest of the second part to short ones.
LONG_MIN_FRACTION = 0.25
LONG_MAX_FRACTION = 0.75


@attrs.define
class PoolWork:
    """Queues of one pool.

    Attributes:
        shares: Fair shares of the pool, common to both lanes.
        short: Attempts of usual length.
        long: Attempts that run much longer than the pool's median.
        doubtful: Attempts that will probably miss their deadlines; served when no others wait.
        isolated: Suspects that wait for a target of their own, in order of arrival.
        long_running: Granted attempts of the long lane.
        capacity: Attempts that the targets of the pool may hold, refreshed from time to time.
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

    def lane(self, item: admission.WaitingAttempt) -> admission.FairQueue:
        """Returns the queue that an attempt belongs to."""
        return self.long if item.long else self.short

    def may_start(self, item: admission.WaitingAttempt) -> bool:
        """Returns whether an attempt may start at once, before any that waits."""
        return not self.lane(item) and (not item.long or self._long_may_start())

    def next_items(self, now_ms: int) -> Iterator[admission.WaitingAttempt]:
        """Yields the attempts whose turn it is, best first, one of each queue."""
        self._move_doubtful(now_ms)
        long, short = self.long.peek(), self.short.peek()
        if long is not None and self.long_running < LONG_MIN_FRACTION * self.capacity:
            yield long
        if short is not None:
            yield short
        if long is not None and self._long_may_start():
            yield long
        doubtful = self.doubtful.peek()
        if doubtful is not None:
            yield doubtful

    def _move_doubtful(self, now_ms: int) -> None:
        """Moves attempts that will probably miss their deadlines behind all others.

        In an overload, the earliest deadlines belong to attempts that have waited so long that
        their work would mostly be wasted.
        """
        while (item := self.short.peek()) is not None and item.likely_start_ms <= now_ms:
            self.short.withdraw(item.request.attempt)
            self.doubtful.push(item)

    def withdraw(self, attempt: ids.AttemptId) -> admission.WaitingAttempt | None:
        """Removes a waiting attempt; returns it if it was waiting."""
        item = self.isolated.pop(attempt, None)
        for lane in self._lanes():
            item = item or lane.withdraw(attempt)
        return item

    def take_expired(self, now_ms: int) -> list[admission.WaitingAttempt]:
        """Removes and returns the attempts that can no longer meet their deadlines."""
        late = [item for item in self.isolated.values() if item.latest_start_ms <= now_ms]
        for item in late:
            del self.isolated[item.request.attempt]
        for lane in self._lanes():
            late += lane.take_expired(now_ms)
        return late

    def evict(self) -> admission.WaitingAttempt | None:
        """Removes and returns one attempt of the account that waits most for its weight."""
        lane = max(self._lanes(), key=lambda queue: queue.heaviest()[1])
        return lane.evict(lane.heaviest()[0])

    def _lanes(self) -> tuple[admission.FairQueue, ...]:
        # Doubtful attempts are evicted first among equals.
        return (self.doubtful, self.short, self.long)

    def _long_may_start(self) -> bool:
        return self.long_running < max(1.0, LONG_MAX_FRACTION * self.capacity)
