"""Jobs of the host in charge of stages, and their steps that wait for a call, by service.

Estimates and waiting steps of a job are kept until the job changes: many jobs wait while few
change, and a plan is made for every change.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.version import routing

# Requests of a less urgent rank count as if they had this much more time.
RANK_SLACK_MS = 2_000
MIN_WORTHWHILE_MS = 30
# Results that nothing but the request itself needs are not made earlier than this before the
# other stages are expected to end, because they would take up room.
EARLY_MS = 150


@attrs.frozen(eq=False)
class WaitingStep:
    """A step that waits for a call.

    Attributes:
        step: The step.
        latest_start_ms: Monotonic time after which its job misses its aim.
    """

    step: stage_job.Step
    latest_start_ms: float

    def order(self, now_ms: int) -> tuple[bool, float]:
        """Returns the place in the queue: the least slack first, late ones last."""
        job = self.step.job
        late = now_ms > self.latest_start_ms
        at_ms = self.latest_start_ms + job.request.urgency * RANK_SLACK_MS
        if late:
            # Nothing is gained by haste; the ones whose deadline is near come first.
            at_ms += job.deadline_at_ms - job.aim_at_ms
        return late, at_ms


@attrs.define
class _Entry:
    job: stage_job.Job
    due: list[WaitingStep] = attrs.field(factory=list)
    pieces: collections.Counter[str] = attrs.field(factory=collections.Counter)
    hopeless_after_ms: float = 0.0


@attrs.define(eq=False)
class StageQueue:
    """Jobs by request.

    Attributes:
        pool_of: Returns how the targets of a service work, None if it does no stages.
    """

    pool_of: Callable[[str], routing.StagePool | None]
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _changed: dict[str, _Entry] = attrs.field(factory=dict)
    _due: dict[str, dict[int, WaitingStep]] = attrs.field(factory=dict)
    _pieces: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, job: stage_job.Job) -> None:
        """Adds a job."""
        request_id = job.request.request_id
        self._entries[request_id] = self._changed[request_id] = _Entry(job)

    def remove(self, request_id: str) -> stage_job.Job | None:
        """Removes a job; returns it if it was there."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return None
        self._changed.pop(request_id, None)
        self._take_out(entry)
        return entry.job

    def jobs(self) -> list[stage_job.Job]:
        """Returns all jobs."""
        return [entry.job for entry in self._entries.values()]

    def contains(self, job: stage_job.Job) -> bool:
        """Returns whether this very job is in the queue; its request may have another one."""
        entry = self._entries.get(job.request.request_id)
        return entry is not None and entry.job is job

    def touch(self, job: stage_job.Job) -> None:
        """Notes that the progress of a job has changed."""
        entry = self._entries.get(job.request.request_id)
        if entry is not None and entry.job is job:
            self._changed[job.request.request_id] = entry

    def services(self) -> list[str]:
        """Returns the services that steps wait for."""
        self._refresh()
        return [service for service, due in self._due.items() if due]

    def due_steps(self, service: str, now_ms: int) -> list[WaitingStep]:
        """Returns the steps that wait for a service, in the order in which they are taken."""
        self._refresh()
        return sorted(self._due.get(service, {}).values(), key=lambda item: item.order(now_ms))

    def hopeless(self, now_ms: int) -> list[stage_job.Job]:
        """Returns the jobs that cannot be finished in time any more."""
        self._refresh()
        return [entry.job for entry in self._entries.values() if now_ms > entry.hopeless_after_ms]

    def waiting_pieces(self, service: str) -> int:
        """Returns how many pieces could be done by a service now and are in no call."""
        self._refresh()
        return self._pieces[service]

    def path_ms(self, job: stage_job.Job) -> float:
        """Returns the least time that the open stages of a job and the request itself need."""
        paths = [self._chain_ms(path) for path in job.open_paths()]
        return job.request.request_ms + max(paths, default=0.0)

    # ---- upkeep --------------------------------------------------------------------------------

    def _refresh(self) -> None:
        for entry in self._changed.values():
            self._take_out(entry)
            self._put_in(entry)
        self._changed.clear()

    def _take_out(self, entry: _Entry) -> None:
        for item in entry.due:
            self._due[item.step.service].pop(id(item), None)
        self._pieces.subtract(entry.pieces)
        entry.due = []
        entry.pieces = collections.Counter()

    def _put_in(self, entry: _Entry) -> None:
        job = entry.job
        if job.done:
            entry.hopeless_after_ms = float("inf")
            return
        path_ms = self.path_ms(job)
        entry.hopeless_after_ms = job.deadline_at_ms - max(path_ms, MIN_WORTHWHILE_MS)
        steps = job.ready_steps()
        for step in steps:
            entry.pieces[step.service] += len(step.pieces)
        entry.due = self._due_steps(job, steps, path_ms)
        for item in entry.due:
            self._due.setdefault(item.step.service, {})[id(item)] = item
        self._pieces.update(entry.pieces)

    def _due_steps(
        self, job: stage_job.Job, steps: Iterable[stage_job.Step], path_ms: float
    ) -> list[WaitingStep]:
        """Returns the steps that should not wait for other stages of the job."""
        is_single = job.open_count < 2
        due = []
        for step in steps:
            pool = self.pool_of(step.service)
            if pool is None:
                continue
            own_ms = pool.call_time_ms(min(len(step.pieces), pool.batch_size))
            own_ms += job.request.request_ms + self._chain_ms(job.following_path(step.stage_index))
            bulky = _is_bulky(pool, job.result_size_bytes(step.stage_index))
            if is_single or not bulky or own_ms + EARLY_MS >= path_ms:
                due.append(WaitingStep(step, job.aim_at_ms - own_ms))
        return due

    def _chain_ms(self, path: Iterable[tuple[str, int]]) -> float:
        total_ms = 0.0
        for service, count in path:
            pool = self.pool_of(service)
            if pool is not None:
                total_ms += pool.call_time_ms(min(count, pool.batch_size))
        return total_ms


def _is_bulky(pool: routing.StagePool, result_size_bytes: int) -> bool:
    """Returns whether two calls with such results need more room than a target has."""
    return 2 * pool.batch_size * result_size_bytes > pool.room_bytes
