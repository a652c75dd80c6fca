"""Queue of stage jobs at the leader, with an index by service of the steps that await a call.

The time estimates and queued steps of a job are cached until the job changes. The scheduler plans
after every change, and at any time most jobs are waiting and only a few have changed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math

import attrs

from sesamehold.process.gateway import call_times
from sesamehold.process.gateway import stage_job
from sesamehold.version import routing

# Ranks of urgency that a step loses once it misses its latency goal. Less urgent requests may have
# longer deadlines; behind all of them, urgent requests would fail first.
LATE_URGENCY_LOSS = 1.5
# A late step that has to start within this time to meet its deadline regains its urgency. Without
# this, an urgent kind with a short deadline fails behind less urgent ones that may wait for longer.
LAST_CHANCE_MS = 1_000
# Ranks that a step loses at most if its account has had its turn: it stays ahead of less urgent
# ones.
LATER_ROUND_LOSS = 0.25
# Slack subtracted from the steps of a job that has been started, so that it is finished before its
# results expire or their memory is needed.
STARTED_SLACK_MS = 1_000
# A job with less time than this left until its deadline is given up, however short its stages are.
MIN_TIME_LEFT_MS = 30
# A memory-bound step starts once its own path is at most this much shorter than the critical path
# of the job. Results that are made earlier occupy memory while the request waits for other stages.
MAX_EARLY_MS = 150


@attrs.frozen(eq=False)
class QueuedStep:
    """A step that awaits a call.

    Attributes:
        step: Pieces that can be processed now.
        latest_start_ms: Monotonic time after which a start makes the job miss its latency goal.
        last_start_ms: Monotonic time after which a start makes the job miss its deadline.
        round: Round in which its account has its turn; 0 without a shortage.
    """

    step: stage_job.ReadyStep
    latest_start_ms: float
    last_start_ms: float
    round: int = 0

    def sort_key(self, now_ms: int, penalty_ms: float = 0.0) -> tuple[float, float, float]:
        """Returns the sort key: most urgent first, then least slack.

        A step that misses its latency goal is sorted as if it were less urgent. Of those, the one
        with the fewest stages left is first: haste gains them nothing, and it is soonest done with
        the memory that it occupies. Shortly before it would miss its deadline, it goes ahead of the
        steps of its urgency that are still on time.

        Args:
            now_ms: Monotonic time.
            penalty_ms: Slack added because the step suits a target less than others.
        """
        job = self.step.job
        at_ms = self.latest_start_ms + penalty_ms
        rank = job.request.urgency + LATER_ROUND_LOSS * self.round / (1 + self.round)
        if now_ms > self.latest_start_ms:
            if 0 <= self.last_start_ms - now_ms < LAST_CHANCE_MS:
                return rank, -math.inf, self.last_start_ms
            return rank + LATE_URGENCY_LOSS, job.open_count, at_ms
        return rank, at_ms - (STARTED_SLACK_MS if job.started else 0), 0.0


@attrs.frozen(eq=False)
class WaitingJob:
    """Work of a job that awaits calls, also that of stages whose inputs are not there yet.

    Attributes:
        job: The job.
        rank: Rank of its steps; lower ones are served first.
        order: Order among the jobs of a rank.
        paths: Service and piece count along each path of unfinished stages.
        piece_counts: Pieces by service that are neither done nor in flight.
    """

    job: stage_job.Job
    rank: float
    order: tuple[float, float]
    paths: tuple[tuple[tuple[str, int], ...], ...]
    piece_counts: Mapping[str, int]


@attrs.define
class _Entry:
    job: stage_job.Job
    steps: list[QueuedStep] = attrs.field(factory=list)
    infeasible_after_ms: float = 0.0
    needed_services: frozenset[str] = frozenset()
    # Monotonic time after which the job misses its latency goal.
    late_after_ms: float = 0.0
    paths: tuple[tuple[tuple[str, int], ...], ...] = ()
    waiting_counts: Mapping[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False)
class StageQueue:
    """Jobs by request identity.

    Attributes:
        pool_for: Returns the stage pool of a service, None if the service does not run stages.
        counts_others: Whether the time of a step contains the work of others in its calls, and a
            step that is about to miss its deadline goes first.
    """

    pool_for: Callable[[str], routing.StagePool | None]
    counts_others: bool = True
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _changed: dict[str, _Entry] = attrs.field(factory=dict)
    _steps: dict[str, dict[int, QueuedStep]] = attrs.field(factory=dict)
    _times: call_times.CallTimes = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._times = call_times.CallTimes(self.pool_for)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, job: stage_job.Job) -> None:
        """Adds a job."""
        request_id = job.request.request_id
        self._entries[request_id] = self._changed[request_id] = _Entry(job)

    def remove(self, request_id: str) -> stage_job.Job | None:
        """Removes a job; returns it, or None if the request has no job in the queue."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        self._changed.pop(request_id, None)
        self._remove_from_index(entry)
        return entry.job

    def jobs(self) -> list[stage_job.Job]:
        """Returns all jobs."""
        return [entry.job for entry in self._entries.values()]

    def contains(self, job: stage_job.Job) -> bool:
        """Returns whether this job object is queued; the request may have a newer job."""
        entry = self._entries.get(job.request.request_id)
        return entry is not None and entry.job is job

    def mark_changed(self, job: stage_job.Job) -> None:
        """Marks the cached steps and estimates of a job as outdated."""
        entry = self._entries.get(job.request.request_id)
        if entry is not None and entry.job is job:
            self._changed[job.request.request_id] = entry

    def record_call(self, service: str, piece_count: int) -> None:
        """Records the number of pieces of a call that starts."""
        self._times.record_call(service, piece_count)

    def services(self) -> list[str]:
        """Returns the services that have queued steps."""
        self._update_index()
        return [service for service, steps in self._steps.items() if steps]

    def queued_steps(self, service: str, now_ms: int) -> list[QueuedStep]:
        """Returns the steps queued for a service in scheduling order."""
        self._update_index()
        return sorted(self._steps.get(service, {}).values(), key=lambda item: item.sort_key(now_ms))

    def infeasible(self, now_ms: int) -> list[stage_job.Job]:
        """Returns the jobs that can no longer be finished before their deadline."""
        self._update_index()
        return [entry.job for entry in self._entries.values() if now_ms > entry.infeasible_after_ms]

    def needed_services(self) -> set[str]:
        """Returns the services that still have to receive calls."""
        self._update_index()
        return {name for entry in self._entries.values() for name in entry.needed_services}

    def jobs_that_need(self, services: set[str]) -> list[stage_job.Job]:
        """Returns the jobs that cannot be finished without calls to some of the services."""
        self._update_index()
        return [entry.job for entry in self._entries.values() if entry.needed_services & services]

    def waiting_jobs(self, now_ms: int) -> list[WaitingJob]:
        """Returns the unfinished jobs."""
        self._update_index()
        return [
            _waiting_job(entry, now_ms) for entry in self._entries.values() if not entry.job.done
        ]

    def as_waiting(self, job: stage_job.Job, now_ms: int) -> WaitingJob:
        """Returns a job that is not queued as if it were."""
        entry = _Entry(job)
        self._set_estimates(entry)
        return _waiting_job(entry, now_ms)

    def critical_path_ms(self, job: stage_job.Job) -> float:
        """Returns the minimum time for the remaining stages of a job and its request."""
        paths = [self._times.minimum_path_ms(path) for path in job.remaining_paths()]
        return job.request.request_ms + max(paths, default=0.0)

    # ---- index by service ----------------------------------------------------------------------

    def _update_index(self) -> None:
        for entry in self._changed.values():
            self._remove_from_index(entry)
            self._add_to_index(entry)
        self._changed.clear()

    def _remove_from_index(self, entry: _Entry) -> None:
        for item in entry.steps:
            self._steps[item.step.service].pop(id(item), None)
        entry.steps = []

    def _add_to_index(self, entry: _Entry) -> None:
        job = entry.job
        entry.needed_services = job.needed_services()
        if job.done:
            entry.infeasible_after_ms = float("inf")
            return
        critical_path_ms = self._set_estimates(entry)
        entry.steps = self._startable_steps(job, job.ready_steps(), critical_path_ms)
        for item in entry.steps:
            self._steps.setdefault(item.step.service, {})[id(item)] = item

    def _set_estimates(self, entry: _Entry) -> float:
        """Sets what follows from the unfinished stages of a job; returns its critical path."""
        job = entry.job
        entry.paths = tuple(map(tuple, job.remaining_paths()))
        critical_path_ms = self.critical_path_ms(job)
        entry.infeasible_after_ms = job.deadline_at_ms - max(critical_path_ms, MIN_TIME_LEFT_MS)
        entry.late_after_ms = job.latency_goal_at_ms - critical_path_ms
        entry.waiting_counts = job.waiting_pieces()
        return critical_path_ms

    def _startable_steps(
        self, job: stage_job.Job, steps: Iterable[stage_job.ReadyStep], critical_path_ms: float
    ) -> list[QueuedStep]:
        """Returns the ready steps that should start before other stages of the job have ended."""
        is_single = job.open_count < 2
        startable = []
        for step in steps:
            pool = self.pool_for(step.service)
            if pool is None:
                continue
            count = len(step.pieces)
            downstream = job.downstream_path(step.stage_index)
            path_ms = job.request.request_ms + self._times.minimum_path_ms(
                [(step.service, count), *downstream]
            )
            memory_bound = is_memory_bound(pool, job.result_size_bytes(step.stage_index))
            if is_single or not memory_bound or path_ms + MAX_EARLY_MS >= critical_path_ms:
                startable.append(self._queued_step(job, step, path_ms))
        return startable

    def _queued_step(
        self, job: stage_job.Job, step: stage_job.ReadyStep, path_ms: float
    ) -> QueuedStep:
        if not self.counts_others:
            return QueuedStep(step, job.latency_goal_at_ms - path_ms, math.inf)
        call_ms = self._times.call_ms(step.service, len(step.pieces))
        later_ms = self._times.path_ms(job.downstream_path(step.stage_index))
        needed_ms = job.request.request_ms + call_ms + later_ms
        return QueuedStep(step, job.latency_goal_at_ms - needed_ms, job.deadline_at_ms - needed_ms)


def _waiting_job(entry: _Entry, now_ms: int) -> WaitingJob:
    job = entry.job
    rank: float = job.request.urgency
    order = (entry.late_after_ms, 0.0)
    if now_ms > entry.late_after_ms:
        rank += LATE_URGENCY_LOSS
        order = (job.open_count, entry.late_after_ms)
    return WaitingJob(job, rank, order, entry.paths, entry.waiting_counts)


def is_memory_bound(pool: routing.StagePool, result_size_bytes: int) -> bool:
    """Returns whether the results of two full calls exceed the result memory of a target."""
    return 2 * pool.batch_size * result_size_bytes > pool.result_capacity_bytes
