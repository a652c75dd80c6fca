"""Batches the pieces of many requests into calls to stage targets.

A call has a large fixed cost, so the pieces of all requests wait in one queue, and a call is formed
when a target becomes free. The pieces with the least slack are batched first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import random

import attrs

from sesamehold.process.gateway import account_shares
from sesamehold.process.gateway import stage_admission
from sesamehold.process.gateway import stage_batching
from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import target_load
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Backoff after a target rejected a call because it was full or lacked memory. The backoff for a
# target that did not respond is longer.
REJECTION_BACKOFF_MS = 60
UNREACHABLE_BACKOFF_MS = 700
RETRY_AFTER_MS = 500
# Time for which jobs wait for a service without a usable target: one that restarts is usually back
# sooner, and the directory of a host that has just started is complete sooner.
NO_TARGET_GRACE_MS = 500
# Calls of the previous leader may remain queued at targets for this long.
TAKEOVER_CONTENTION_MS = 1_500


@attrs.frozen
class FinishedJob:
    """A job that has ended, with the failure if it has no results."""

    job: stage_job.Job
    failure: ports.StageFailure | None = None


@attrs.frozen
class CallFault:
    """A call that returned no results.

    Attributes:
        kind: What went wrong, for logs and refusals.
        may_have_run: Whether the target may have run the pieces.
        reachable: Whether the target responded.
    """

    kind: str
    may_have_run: bool
    reachable: bool


@attrs.define(eq=False)
class StageScheduler:
    """Schedules the stages of all jobs on the stage targets.

    Attributes:
        usable_targets: Returns the targets of a service that may receive new work.
        pool_for: Returns the stage pool of a service, None if the service does not run stages.
        find_target: Returns a target by its identity, None if it is not known.
        may_call: Returns whether a target's own restrictions allow a call to it now.
        load: Load that targets state; empty if they state none.
        rng: Source of the spread of retry delays.
        is_large_fleet: Returns whether the order of steps counts the work of others, and accounts
            take turns. With the few targets of a small fleet both cost more than they gain.
    """

    usable_targets: Callable[[str], list[targets.Target]]
    pool_for: Callable[[str], routing.StagePool | None]
    find_target: Callable[[str], targets.Target | None]
    may_call: Callable[[targets.Target], bool]
    load: target_load.TargetLoad = attrs.field(factory=target_load.TargetLoad)
    rng: random.Random = attrs.field(factory=random.Random)
    is_large_fleet: Callable[[], bool] = lambda: True
    _queue: stage_queue.StageQueue = attrs.field(init=False)
    _admission: stage_admission.StageAdmission = attrs.field(init=False)
    _workers: stage_workers.WorkerTable = attrs.field(factory=stage_workers.WorkerTable)
    _freed: dict[str, tuple[targets.Target, list[str]]] = attrs.field(factory=dict)
    _without_target_since_ms: dict[str, int] = attrs.field(factory=dict)
    _shares: account_shares.ShareTable = attrs.field(factory=account_shares.ShareTable)
    _last_submit_ms: int | None = None
    _contended_until_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self._queue = stage_queue.StageQueue(self.pool_for)
        self._admission = stage_admission.StageAdmission(
            self.pool_for, lambda service: len(self.usable_targets(service)), self.rng
        )

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def open_count(self) -> int:
        """Returns the number of jobs with unfinished stages."""
        return sum(not job.done for job in self._queue.jobs())

    # ---- events --------------------------------------------------------------------------------

    def submit(self, request: ports.StageRequest, now_ms: int) -> ports.StageFailure | None:
        """Queues the stages of a request; returns a failure if they cannot end in time."""
        job = stage_job.Job.from_request(request, now_ms)
        for work in request.stages:
            if work.piece_count and self.pool_for(work.service) is None:
                return ports.StageFailure("unknown-stage-service", RETRY_AFTER_MS)
        self._adopt_results(job, now_ms)
        self._update_admission(now_ms)
        failure = self._admission.admit(self._queue.as_waiting(job, now_ms), now_ms)
        if failure is not None:
            self._schedule_free(job.held_results())
            return failure
        if self._last_submit_ms is None or now_ms - self._last_submit_ms > TAKEOVER_CONTENTION_MS:
            # Another host may have been the leader until now, and its calls may still run.
            self._contended_until_ms = now_ms + TAKEOVER_CONTENTION_MS
        self._last_submit_ms = now_ms
        self._queue.add(job)
        return None

    def release(self, request_id: str) -> None:
        """Removes a job and queues its results to be freed."""
        job = self._queue.remove(request_id)
        if job is not None:
            self._schedule_free(job.held_results())

    def hand_over(self, now_ms: int) -> list[FinishedJob]:
        """Removes the open jobs without a call in flight, so that the next leader continues them.

        Their results stay at the targets. Call this again whenever calls have ended or become
        overdue, until no open job is left.
        """
        self._release_overdue_pieces(now_ms)
        idle = [job for job in self._queue.jobs() if not job.done and not job.in_flight]
        for job in idle:
            self._queue.remove(job.request.request_id)
        return [FinishedJob(job, ports.StageFailure(ports.HANDED_OVER, 0)) for job in idle]

    def plan(self, now_ms: int) -> tuple[list[stage_workers.Call], list[FinishedJob]]:
        """Returns the calls to start now and the jobs that cannot be finished.

        These are the jobs that can no longer meet their deadline, and those that need a service
        which has no usable target.
        """
        self._release_overdue_pieces(now_ms)
        self._queue.counts_others = self.is_large_fleet()
        finished: list[FinishedJob] = []
        for job in self._queue.infeasible(now_ms):
            finished += self._fail(job, "too-late", now_ms)
        if self._shares.is_any_short:
            for job in self._unservable_jobs(now_ms):
                finished += self._fail(job, "no-room-in-time", now_ms)
        for job in self._queue.jobs_that_need(self._services_without_target(now_ms)):
            finished += self._fail(job, "no-stage-target")
        calls: list[stage_workers.Call] = []
        services = self._queue.services()
        self._shares.end_idle(services)
        for service in services:
            calls += self._plan_service(service, now_ms)
        return calls, finished

    def take_shortage_changes(self) -> list[account_shares.ShortageChange]:
        """Returns the services that have become short of capacity, or are no longer, once each."""
        return self._shares.take_changes()

    def next_timeout_ms(self) -> float | None:
        """Returns the earliest time at which a call becomes overdue or times out, None if idle."""
        return self._workers.next_timeout_ms()

    def on_results(
        self, call: stage_workers.Call, results: list[ports.PieceResult], now_ms: int
    ) -> list[FinishedJob]:
        """Processes the results of a call; returns the jobs that it finished."""
        worker = self._workers.remove_call(call)
        worker.record_call_end(call, now_ms)
        finished = []
        unfinished = {id(piece.job): piece.job for piece in call.pieces if not piece.job.done}
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle is not None:
                self._accept_result(call.target, piece, result.handle, now_ms)
            else:
                finished += self._handle_missing_result(worker, piece, result.reason, now_ms)
        for job in unfinished.values():
            if self._queue.contains(job) and job.done:
                self._schedule_free(job.release_consumed_results())
                finished.append(FinishedJob(job))
        return finished

    def on_fault(
        self, call: stage_workers.Call, fault: CallFault, now_ms: int
    ) -> list[FinishedJob]:
        """Processes a call without results; returns the jobs that failed because of it."""
        worker = self._workers.remove_call(call)
        backoff_ms = REJECTION_BACKOFF_MS if fault.reachable else UNREACHABLE_BACKOFF_MS
        worker.backoff_until_ms = now_ms + backoff_ms
        if fault.reachable and not fault.may_have_run:
            self._contended_until_ms = now_ms + TAKEOVER_CONTENTION_MS
        finished = []
        for piece in call.pieces:
            can_retry = piece.job.record_failure(
                piece.stage_index, piece.piece, is_attempt=fault.may_have_run
            )
            self._queue.mark_changed(piece.job)
            if not can_retry and self._queue.contains(piece.job):
                finished += self._fail(piece.job, f"stage-{fault.kind}")
        return finished

    def on_inputs_read(self, call: stage_workers.Call, now_ms: int) -> None:
        """Frees the inputs of a call once its target has had the time to fetch them.

        While calls of another host may be queued ahead of it at the target, the inputs are kept
        until the call ends.
        """
        if now_ms < self._contended_until_ms:
            return
        if call in self._workers.get(call.target).calls and not call.overdue:
            for job in {id(piece.job): piece.job for piece in call.pieces}.values():
                if self._queue.contains(job):
                    self._schedule_free(job.release_consumed_results())

    def take_freed(self) -> list[tuple[targets.Target, list[str]]]:
        """Returns the handles to free at each target and clears the list."""
        freed, self._freed = self._freed, {}
        return list(freed.values())

    def on_freed(self, target: targets.Target, handles: Iterable[str]) -> None:
        """Records that a target has freed results, so that their memory is available again."""
        worker = self._workers.get(target)
        for handle in handles:
            worker.remove_result(handle)

    # ---- planning ------------------------------------------------------------------------------

    def _services_without_target(self, now_ms: int) -> set[str]:
        """Returns the services that have had no usable target for the grace time.

        A service is remembered until it has one again, so that later requests do not wait.
        """
        known = self._without_target_since_ms
        self._without_target_since_ms = {
            service: known.get(service, now_ms)
            for service in known.keys() | self._queue.needed_services()
            if not self.usable_targets(service)
        }
        return {
            service
            for service, since_ms in self._without_target_since_ms.items()
            if now_ms - since_ms >= NO_TARGET_GRACE_MS
        }

    def _plan_service(self, service: str, now_ms: int) -> list[stage_workers.Call]:
        pool = self.pool_for(service)
        if pool is None:
            return []
        workers = [(target, self._workers.get(target)) for target in self.usable_targets(service)]
        idle = [
            stage_batching.IdleTarget(
                target,
                worker.slowdown,
                pool.result_capacity_bytes - worker.held_bytes(now_ms),
                self.load.slowdown(target, now_ms),
            )
            for target, worker in workers
            if len(worker.calls) < pool.slots
            and worker.backoff_until_ms <= now_ms
            and self.may_call(target)
        ]
        if not idle:
            return []
        soon_idle_zones = frozenset(
            target.zone
            for target, worker in workers
            if worker.is_free_within(stage_batching.MAX_ZONE_WAIT_MS, now_ms)
        )
        queue = self._queue.queued_steps(service, now_ms)
        if self._queue.counts_others:
            queue = self._shares.order(service, pool, len(workers), queue, now_ms)
        batches = stage_batching.form_batches(queue, idle, soon_idle_zones, pool, now_ms)
        return [
            self._create_call(batch.target, batch.pieces, pool, len(queue), now_ms)
            for batch in batches
        ]

    def _update_admission(self, now_ms: int) -> None:
        if self._admission.is_outdated(now_ms):
            self._admission.update(self._queue.waiting_jobs(now_ms), now_ms)

    def _unservable_jobs(self, now_ms: int) -> list[stage_job.Job]:
        """Returns the jobs without results that cannot end in time behind what is ahead of them."""
        self._update_admission(now_ms)
        return [
            job
            for job in self._admission.take_unservable()
            if self._queue.contains(job) and not job.started
        ]

    def _create_call(
        self,
        target: targets.Target,
        batch: Sequence[stage_workers.PieceRef],
        pool: routing.StagePool,
        waiting_count: int,
        now_ms: int,
    ) -> stage_workers.Call:
        piece_calls = []
        for piece in batch:
            owner = piece.job.request
            self._shares.record(target.service, owner.urgency, owner.account, pool.work_time_ms(1))
            remaining_ms = max(1, piece.job.deadline_at_ms - now_ms)
            piece_calls.append(
                piece.job.piece_request(piece.stage_index, piece.piece, remaining_ms)
            )
            piece.job.record_start(piece.stage_index, piece.piece)
            self._queue.mark_changed(piece.job)
        worker = self._workers.get(target)
        stated = self.load.slowdown(target, now_ms)
        call = stage_workers.Call(
            target,
            tuple(batch),
            tuple(piece_calls),
            now_ms,
            pool.call_time_ms(len(batch)) * worker.present_slowdown(stated),
            stated,
            waiting_count,
            worker.held_bytes(now_ms),
        )
        worker.calls.append(call)
        self._queue.record_call(target.service, len(batch))
        return call

    # ---- results -------------------------------------------------------------------------------

    def _adopt_results(self, job: stage_job.Job, now_ms: int) -> None:
        """Adopts the results that the previous leader obtained for a job."""
        for piece in job.request.completed_pieces:
            target = self.find_target(piece.target_id)
            if target is None or target.born_ms != piece.born_ms:
                continue
            job.adopt_result(piece, target)
            self._record_held_result(
                target, piece.handle, job.result_size_bytes(piece.stage_index), now_ms
            )
        self._schedule_free(job.discard_unneeded())

    def _record_held_result(
        self, target: targets.Target, handle: str, size_bytes: int, now_ms: int
    ) -> None:
        pool = self.pool_for(target.service)
        retention_ms = pool.retention_ms if pool is not None else 0
        self._workers.get(target).add_result(handle, size_bytes, now_ms + retention_ms)

    def _accept_result(
        self,
        target: targets.Target,
        piece: stage_workers.PieceRef,
        handle: str,
        now_ms: int,
    ) -> None:
        stored = stage_job.StoredResult(handle, target)
        self._record_held_result(
            target, handle, piece.job.result_size_bytes(piece.stage_index), now_ms
        )
        is_new = piece.job.record_result(piece.stage_index, piece.piece, stored)
        self._schedule_free(piece.job.discard_unneeded())
        self._queue.mark_changed(piece.job)
        if not is_new or not self._queue.contains(piece.job):
            self._schedule_free([stored])

    def _handle_missing_result(
        self,
        worker: stage_workers.Worker,
        piece: stage_workers.PieceRef,
        reason: str,
        now_ms: int,
    ) -> list[FinishedJob]:
        job = piece.job
        can_retry = job.record_failure(piece.stage_index, piece.piece, is_attempt=reason != "room")
        self._queue.mark_changed(job)
        if not self._queue.contains(job):
            return []
        if reason == "room":
            worker.record_memory_shortage(job.result_size_bytes(piece.stage_index), now_ms)
        elif reason == "gone":
            self._contended_until_ms = now_ms + TAKEOVER_CONTENTION_MS
            self._schedule_free(job.discard_inputs(piece.stage_index))
        elif reason == "late":
            return self._fail(job, "stage-late")
        return [] if can_retry else self._fail(job, f"stage-{reason or 'error'}")

    def _fail(self, job: stage_job.Job, kind: str, now_ms: int | None = None) -> list[FinishedJob]:
        """Ends a job; with the time, its caller is told when there will be room."""
        self._queue.remove(job.request.request_id)
        self._schedule_free(job.held_results())
        retry_after_ms = RETRY_AFTER_MS
        if now_ms is not None:
            retry_after_ms = self._admission.retry_after_ms(job, now_ms)
        return [FinishedJob(job, ports.StageFailure(kind, retry_after_ms))]

    def _schedule_free(self, results: Iterable[stage_job.StoredResult]) -> None:
        for result in results:
            entry = self._freed.setdefault(result.target.target_id, (result.target, []))
            entry[1].append(result.handle)

    def _release_overdue_pieces(self, now_ms: int) -> None:
        """Makes the pieces of overdue calls ready for a call to another target."""
        for call in self._workers.calls():
            if not call.overdue and now_ms >= call.overdue_at_ms:
                call.overdue = True
                for piece in call.pieces:
                    piece.job.allow_retry(piece.stage_index, piece.piece)
                    self._queue.mark_changed(piece.job)
