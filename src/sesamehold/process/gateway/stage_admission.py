"""Estimates when the stages of a request can end, behind the work that waits at each of them.

This answers loads at which stages have more work than their targets can do for some seconds. A
request is refused only if it cannot end before its deadline even if nothing more arrives: a late
answer is worth more to its caller than a refusal.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random

import attrs

from sesamehold.process.gateway import account_shares
from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Longest time for which an estimate of what waits is used for further requests.
MAX_ESTIMATE_AGE_MS = 100
# Callers wait for at most this fraction of the time that they have left. The host of the caller
# lengthens the delay by up to half.
MAX_RETRY_FRACTION = 1 / 3 / 1.5
# Shortest fraction of the expected time until there is room that a caller is asked to wait; drawn
# at random up to the whole, so that callers that were refused together come back apart.
MIN_RETRY_SPREAD = 0.5
MIN_RETRY_MS = 100
# Part of the time for what is ahead of a job that it waits at least: some of it is withdrawn, or
# takes less than a usual piece.
MIN_WAIT_FRACTION = 0.7


@attrs.define(eq=False)
class _Backlog:
    """Time that the targets of one service need for the work that waits, by rank and account."""

    totals_ms: collections.defaultdict[float, float] = attrs.field(
        factory=lambda: collections.defaultdict(float)
    )
    by_account_ms: dict[float, collections.defaultdict[str, float]] = attrs.field(factory=dict)

    def add(self, rank: float, account: str, time_ms: float) -> None:
        """Adds work of a job."""
        self.totals_ms[rank] += time_ms
        at_rank = self.by_account_ms.setdefault(rank, collections.defaultdict(float))
        at_rank[account] += time_ms

    def ahead_ms(self, rank: float, account: str, own_ms: float) -> float:
        """Returns the time for what is served before new work of an account at a rank.

        Of the same rank, other accounts are served before it only until they have got as much as
        its own account.
        """
        ahead_ms = sum(time_ms for other, time_ms in self.totals_ms.items() if other < rank)
        at_rank: Mapping[str, float] = self.by_account_ms.get(rank, {})
        share_ms = at_rank.get(account, 0.0) + own_ms
        return ahead_ms + sum(
            time_ms if other == account else min(time_ms, share_ms)
            for other, time_ms in at_rank.items()
        )

    @property
    def total_ms(self) -> float:
        """Returns the time for all that waits."""
        return sum(self.totals_ms.values())


@attrs.define(eq=False)
class StageAdmission:
    """Decides which requests can still be finished; the leader asks it for all hosts.

    Attributes:
        pool_for: Returns the stage pool of a service, None if the service does not run stages.
        target_count: Returns the number of targets of a service that may receive calls now.
        rng: Source of the spread of retry delays.
    """

    pool_for: Callable[[str], routing.StagePool | None]
    target_count: Callable[[str], int]
    rng: random.Random
    _backlogs: collections.defaultdict[str, _Backlog] = attrs.field(
        factory=lambda: collections.defaultdict(_Backlog)
    )
    _estimated_at_ms: int | None = None
    _counts: dict[str, int] = attrs.field(factory=dict)
    _unservable: list[stage_job.Job] = attrs.field(factory=list)

    def is_outdated(self, now_ms: int) -> bool:
        """Returns whether `update` is due."""
        at_ms = self._estimated_at_ms
        return at_ms is None or now_ms - at_ms >= MAX_ESTIMATE_AGE_MS

    def update(self, waiting: Iterable[stage_queue.WaitingJob], now_ms: int) -> None:
        """Estimates the end of all jobs that wait.

        Work of a job that has not been started and cannot end before its deadline delays no other
        one. Later arrivals only delay it further.
        """
        self._estimated_at_ms = now_ms
        self._backlogs.clear()
        self._unservable.clear()
        self._counts.clear()
        drained_ms: collections.defaultdict[str, float] = collections.defaultdict(float)
        for item in self._in_expected_order(waiting):
            job = item.job
            if not job.started and now_ms + self._end_ms(item, drained_ms) > job.deadline_at_ms:
                self._unservable.append(job)
                continue
            for service, pieces in item.piece_counts.items():
                time_ms = self._time_ms(service, pieces)
                drained_ms[service] += time_ms
                self._backlogs[service].add(item.rank, job.request.account, time_ms)

    def take_unservable(self) -> list[stage_job.Job]:
        """Returns the jobs that the last update found unable to end in time, and clears them.

        A job that has been started is never among them, as its results would be wasted. The caller
        checks that nothing has changed since.
        """
        unservable, self._unservable = self._unservable, []
        return unservable

    def admit(self, item: stage_queue.WaitingJob, now_ms: int) -> ports.StageFailure | None:
        """Counts the work of a new job; returns a failure if it cannot end before its deadline.

        One that has results of a previous leader is refused only if its own stages take too long.
        """
        self._counts.clear()
        job = item.job
        account = job.request.account
        times_ms = {
            service: self._time_ms(service, pieces) for service, pieces in item.piece_counts.items()
        }
        ahead_ms = {
            service: self._backlogs[service].ahead_ms(item.rank, account, time_ms)
            for service, time_ms in times_ms.items()
            if not job.started
        }
        if now_ms + self._end_ms(item, ahead_ms) > job.deadline_at_ms:
            return ports.StageFailure("overloaded", self.retry_after_ms(job, now_ms))
        for service, time_ms in times_ms.items():
            self._backlogs[service].add(item.rank, account, time_ms)
        return None

    def retry_after_ms(self, job: stage_job.Job, now_ms: int) -> int:
        """Returns the delay until there is room for a job, spread at random."""
        drain_ms = max(
            (self._backlogs[service].total_ms for service in job.needed_services()), default=0.0
        )
        left_ms = max(0, job.deadline_at_ms - now_ms)
        delay_ms = min(max(drain_ms, MIN_RETRY_MS), left_ms * MAX_RETRY_FRACTION)
        return int(delay_ms * self.rng.uniform(MIN_RETRY_SPREAD, 1.0))

    def _in_expected_order(
        self, waiting: Iterable[stage_queue.WaitingJob]
    ) -> list[stage_queue.WaitingJob]:
        """Returns the jobs by rank; of one rank, accounts by turns."""
        by_rank: dict[float, list[stage_queue.WaitingJob]] = {}
        for item in sorted(waiting, key=lambda item: (item.rank, item.order)):
            by_rank.setdefault(item.rank, []).append(item)
        ordered = []
        for _, items in sorted(by_rank.items()):
            if len({item.job.request.account for item in items}) > 1:
                ordered += self._by_turns(items)
            else:
                ordered += items
        return ordered

    def _by_turns(self, items: Sequence[stage_queue.WaitingJob]) -> list[stage_queue.WaitingJob]:
        works = [
            (
                item.job.request.account,
                sum(self._time_ms(service, count) for service, count in item.piece_counts.items()),
            )
            for item in items
        ]
        longest_ms = max(1.0, max(work_ms for _, work_ms in works))
        rounds = account_shares.AccountShares(longest_ms).rounds(works)
        order = sorted(range(len(items)), key=lambda index: rounds[index])
        return [items[index] for index in order]

    def _end_ms(self, item: stage_queue.WaitingJob, ahead_ms: Mapping[str, float]) -> float:
        """Returns the time until the end of a job and its request, at least.

        While a job waits at one stage, the targets of the next ones go on with what is ahead of it.
        """
        ends_ms = [0.0]
        for path in item.paths:
            at_ms = 0.0
            for service, count in path:
                pool = self.pool_for(service)
                if pool is not None:
                    at_ms = max(at_ms, MIN_WAIT_FRACTION * ahead_ms.get(service, 0.0))
                    at_ms += pool.call_time_ms(min(count, pool.batch_size))
            ends_ms.append(at_ms)
        return max(ends_ms) + item.job.request.request_ms

    def _count_of(self, service: str) -> int:
        """Returns the number of usable targets, which costs too much to count for each job."""
        if service not in self._counts:
            self._counts[service] = self.target_count(service)
        return self._counts[service]

    def _time_ms(self, service: str, piece_count: int) -> float:
        pool = self.pool_for(service)
        if pool is None:
            return 0.0
        return pool.work_time_ms(piece_count) / max(1, self._count_of(service))
