"""Forms calls to the targets of stages from the pieces of many requests.

A call has a large fixed time, so pieces of all requests wait in one queue, and a call is formed
when a target is free. The pieces with the least slack come first.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
import itertools

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Largest wait for a target in the zone of the inputs while one elsewhere is free.
ZONE_WAIT_MS = 120
# Requests of a less urgent rank count as if they had this much more time.
RANK_SLACK_MS = 400
# A call that takes longer than expected by this factor and time is given to another target, too.
OVERDUE_FACTOR = 1.5
OVERDUE_EXTRA_MS = 150
# An overdue call is given up after this many expected times.
ABANDON_FACTOR = 6.0
# A target that is full or has no room is left alone for this long; one that cannot be reached for
# longer.
FULL_MS = 60
UNREACHABLE_MS = 700
# Weight of the newest call in the average of actual to expected time.
PACE_WEIGHT = 0.3
RETRY_AFTER_MS = 500
MIN_WORTHWHILE_MS = 30
# A target that had less room than expected holds results that another host ordered; most of them
# are freed within this time.
FOREIGN_MS = 500
# Results that nothing but the request itself needs are not made earlier than this before the
# other stages are expected to end, because they would take up room.
EARLY_MS = 150
# Calls of a host that was in charge before may wait at targets for this long.
CONTENTION_MS = 1_500


@attrs.frozen
class PieceId:
    """One piece of one stage of a job."""

    job: stage_job.Job
    stage_index: int
    piece: int


@attrs.define(eq=False)
class Call:
    """One call to a target.

    Attributes:
        target: Where it goes.
        pieces: What is to be done.
        orders: The same, as sent.
        started_ms: Start of the call.
        expected_ms: Expected time of the call.
        waiting_count: Steps of the service that wait while the call is formed.
        held_bytes: Size of the results that lie at the target at its start.
        overdue: Whether its pieces were given to another target, too.
    """

    target: targets.Target
    pieces: tuple[PieceId, ...]
    orders: tuple[ports.PieceOrder, ...]
    started_ms: int
    expected_ms: float
    waiting_count: int = 0
    held_bytes: int = 0
    overdue: bool = False

    @property
    def overdue_at_ms(self) -> float:
        """Returns when the call counts as overdue."""
        return self.started_ms + self.expected_ms * OVERDUE_FACTOR + OVERDUE_EXTRA_MS

    @property
    def abandon_at_ms(self) -> float:
        """Returns when the call is given up."""
        return self.started_ms + self.expected_ms * ABANDON_FACTOR


@attrs.frozen
class Finished:
    """A job that has ended."""

    job: stage_job.Job
    failure: ports.StageFailure | None = None


@attrs.frozen
class CallFault:
    """A call without results.

    Attributes:
        kind: What went wrong.
        worked: Whether the target may have worked on the pieces.
        reachable: Whether the target answered.
    """

    kind: str
    worked: bool
    reachable: bool


@attrs.define
class _Worker:
    """What is known of one start of a target."""

    incarnation: str
    calls: list[Call] = attrs.field(factory=list)
    pace: float = 1.0
    avoid_until_ms: int = 0
    # Sizes of results that lie at the target, by handle, with the time at which they are dropped.
    held: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    # Room that others' results must take up, because the target had less than is known of.
    foreign_bytes: int = 0
    foreign_until_ms: int = 0

    def held_bytes(self, now_ms: int) -> int:
        for handle in [h for h, (_, until_ms) in self.held.items() if until_ms <= now_ms]:
            del self.held[handle]
        foreign = self.foreign_bytes if now_ms < self.foreign_until_ms else 0
        return foreign + sum(size for size, _ in self.held.values())


@attrs.define(eq=False)
class StageScheduler:
    """Jobs and the targets that do their pieces.

    Attributes:
        usable: Returns the targets of a service that may get new work.
        pool_of: Returns how the targets of a service work, None if it does no stages.
    """

    usable: Callable[[str], list[targets.Target]]
    pool_of: Callable[[str], routing.StagePool | None]
    _jobs: dict[str, stage_job.Job] = attrs.field(factory=dict)
    _workers: dict[str, _Worker] = attrs.field(factory=dict)
    _freed: dict[str, tuple[targets.Target, list[str]]] = attrs.field(factory=dict)
    _submitted_ms: int | None = None
    _contended_until_ms: int = 0

    def __len__(self) -> int:
        return len(self._jobs)

    # ---- events --------------------------------------------------------------------------------

    def submit(self, request: ports.StageRequest, now_ms: int) -> ports.StageFailure | None:
        """Adds the stages of a request; returns a failure if they cannot be done in time."""
        job = stage_job.Job.from_request(request, now_ms)
        for work in request.stages:
            if work.piece_count and self.pool_of(work.service) is None:
                return ports.StageFailure("unknown-stage-service", RETRY_AFTER_MS)
        wait_ms = self._chain_wait_ms(job)
        if now_ms + wait_ms + self._path_ms(job) > job.deadline_at_ms:
            return ports.StageFailure("overloaded", max(RETRY_AFTER_MS, int(wait_ms)))
        if self._submitted_ms is None or now_ms - self._submitted_ms > CONTENTION_MS:
            # Another host may have been in charge until now, and its calls may still run.
            self._contended_until_ms = now_ms + CONTENTION_MS
        self._submitted_ms = now_ms
        self._jobs[request.request_id] = job
        return None

    def release(self, request_id: str) -> None:
        """Drops a job and frees its results."""
        job = self._jobs.pop(request_id, None)
        if job is not None:
            self._free(job.all_results())

    def plan(self, now_ms: int) -> tuple[list[Call], list[Finished]]:
        """Returns the calls to start now, and the jobs that can no longer be finished in time."""
        self._retry_overdue(now_ms)
        finished = self._drop_hopeless(now_ms)
        by_service: dict[str, list[stage_job.Step]] = collections.defaultdict(list)
        for job in self._jobs.values():
            for step in self._due_steps(job):
                by_service[step.service].append(step)
        calls = []
        for service, steps in by_service.items():
            calls += self._plan_service(service, steps, now_ms)
        return calls, finished

    def next_wake_ms(self) -> float | None:
        """Returns when an overdue call needs attention, None if no call runs."""
        times = [
            call.abandon_at_ms if call.overdue else call.overdue_at_ms
            for worker in self._workers.values()
            for call in worker.calls
        ]
        return min(times, default=None)

    def on_results(
        self, call: Call, results: list[ports.PieceResult], now_ms: int
    ) -> list[Finished]:
        """Takes over the results of a call; returns the jobs that ended with it."""
        worker = self._end_call(call)
        if now_ms >= worker.foreign_until_ms:
            worker.foreign_bytes = 0
        actual_ms = now_ms - call.started_ms
        worker.pace += PACE_WEIGHT * (actual_ms / max(1.0, call.expected_ms) - worker.pace)
        finished = []
        unfinished = {id(piece.job): piece.job for piece in call.pieces if not piece.job.done}
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle is not None:
                self._take_result(call.target, worker, piece, result.handle, now_ms)
            else:
                finished += self._take_reason(worker, piece, result.reason, now_ms)
        for job in unfinished.values():
            if self._is_open(job) and job.done:
                self._free(job.spent_results())
                finished.append(Finished(job))
        return finished

    def on_fault(self, call: Call, fault: CallFault, now_ms: int) -> list[Finished]:
        """Takes over that a call gave no results; returns the jobs that failed with it."""
        worker = self._end_call(call)
        avoid_ms = FULL_MS if fault.reachable else UNREACHABLE_MS
        worker.avoid_until_ms = now_ms + avoid_ms
        if fault.reachable and not fault.worked:
            self._contended_until_ms = now_ms + CONTENTION_MS
        finished = []
        for piece in call.pieces:
            again = piece.job.fail(piece.stage_index, piece.piece, counts=fault.worked)
            if not again and self._is_open(piece.job):
                finished += self._fail(piece.job, f"stage-{fault.kind}")
        return finished

    def on_inputs_read(self, call: Call, now_ms: int) -> None:
        """Frees the inputs of a call that its target has had the time to fetch.

        While calls of other hosts may be ahead of it at the target, they are kept until its end.
        """
        if now_ms < self._contended_until_ms:
            return
        if call in self._worker(call.target).calls and not call.overdue:
            for job in {id(piece.job): piece.job for piece in call.pieces}.values():
                if self._is_open(job):
                    self._free(job.spent_results())

    def take_freed(self) -> list[tuple[targets.Target, list[str]]]:
        """Returns and forgets the handles to free at each target."""
        freed, self._freed = self._freed, {}
        return list(freed.values())

    def on_freed(self, target: targets.Target, handles: Iterable[str]) -> None:
        """Notes that a target has freed results, so that their room can be used again."""
        worker = self._worker(target)
        for handle in handles:
            worker.held.pop(handle, None)

    # ---- planning ------------------------------------------------------------------------------

    def _plan_service(self, service: str, steps: list[stage_job.Step], now_ms: int) -> list[Call]:
        pool = self.pool_of(service)
        if pool is None:
            return []
        queue = sorted(steps, key=lambda step: self._order(step, pool, now_ms))
        workers = [(target, self._worker(target)) for target in self.usable(service)]
        idle = {
            target.target_id: target
            for target, worker in workers
            if len(worker.calls) < pool.slots and worker.avoid_until_ms <= now_ms
        }
        calls = []
        taken: set[int] = set()
        for step in queue:
            if not idle:
                break
            if id(step) in taken:
                continue
            target = self._pick_worker(step, idle, workers, now_ms)
            if target is None:
                continue
            batch = self._batch(step, queue, taken, target, pool, now_ms)
            # A target without room for anything that waits is asked again when results are freed.
            del idle[target.target_id]
            if batch:
                calls.append(self._start(target, batch, pool, len(queue), now_ms))
        return calls

    def _slack_ms(self, step: stage_job.Step, pool: routing.StagePool, now_ms: int) -> float:
        """Returns how long a step may wait without missing the aim of its job."""
        need_ms = self._step_ms(step, pool) + self._following_ms(step)
        return step.job.aim_at_ms - need_ms - now_ms

    def _order(
        self, step: stage_job.Step, pool: routing.StagePool, now_ms: int
    ) -> tuple[bool, float]:
        slack_ms = self._slack_ms(step, pool, now_ms)
        late = slack_ms < 0
        if late:
            # Nothing is gained by haste; the ones whose deadline is near come first.
            slack_ms += step.job.deadline_at_ms - step.job.aim_at_ms
        return late, slack_ms + step.job.request.urgency * RANK_SLACK_MS

    def _pick_worker(
        self,
        step: stage_job.Step,
        idle: dict[str, targets.Target],
        workers: list[tuple[targets.Target, _Worker]],
        now_ms: int,
    ) -> targets.Target | None:
        zone = step.input_zone or step.job.request.preferred_zone
        ordered = sorted(idle.values(), key=lambda target: self._worker(target).pace)
        for target in ordered:
            if target.zone == zone or not zone:
                return target
        if step.input_zone and any(
            target.zone == zone and self._frees_soon(worker, now_ms) for target, worker in workers
        ):
            return None
        return ordered[0]

    def _frees_soon(self, worker: _Worker, now_ms: int) -> bool:
        if worker.avoid_until_ms > now_ms or not worker.calls:
            return False
        call = worker.calls[0]
        return not call.overdue and call.started_ms + call.expected_ms - now_ms <= ZONE_WAIT_MS

    def _batch(
        self,
        first: stage_job.Step,
        queue: list[stage_job.Step],
        taken: set[int],
        target: targets.Target,
        pool: routing.StagePool,
        now_ms: int,
    ) -> list[PieceId]:
        room = pool.room_bytes - self._worker(target).held_bytes(now_ms)
        chosen: list[stage_job.Step] = []
        size_count = 0
        for step in itertools.chain((first,), queue):
            if id(step) in taken or size_count >= pool.batch_size:
                continue
            if step is first and chosen:
                continue
            if step is not first and step.input_zone not in ("", target.zone):
                continue
            size = step.job.result_size_bytes(step.stage_index)
            # Steps are not split: parts of many steps would take up the room in which one whole
            # step could be done.
            count = min(len(step.pieces), pool.batch_size)
            if size_count + count > pool.batch_size:
                continue
            if size * count > room:
                continue
            room -= size * count
            chosen.append(step)
            size_count += count
        taken.update(id(step) for step in chosen)
        return [
            PieceId(step.job, step.stage_index, piece)
            for step in chosen
            for piece in step.pieces[: pool.batch_size]
        ]

    def _start(
        self,
        target: targets.Target,
        batch: list[PieceId],
        pool: routing.StagePool,
        waiting_count: int,
        now_ms: int,
    ) -> Call:
        orders = []
        for piece in batch:
            remaining_ms = max(1, piece.job.deadline_at_ms - now_ms)
            orders.append(piece.job.order(piece.stage_index, piece.piece, remaining_ms))
            piece.job.start(piece.stage_index, piece.piece)
        worker = self._worker(target)
        expected_ms = pool.call_time_ms(len(batch)) * max(1.0, worker.pace)
        held_bytes = worker.held_bytes(now_ms)
        call = Call(
            target, tuple(batch), tuple(orders), now_ms, expected_ms, waiting_count, held_bytes
        )
        worker.calls.append(call)
        return call

    # ---- estimates -----------------------------------------------------------------------------

    def _step_ms(self, step: stage_job.Step, pool: routing.StagePool) -> float:
        return pool.call_time_ms(min(len(step.pieces), pool.batch_size))

    def _following_ms(self, step: stage_job.Step) -> float:
        total = float(step.job.request.request_ms)
        for service, count in step.job.following_path(step.stage_index):
            pool = self.pool_of(service)
            if pool is not None:
                total += pool.call_time_ms(min(count, pool.batch_size))
        return total

    def _path_ms(self, job: stage_job.Job) -> float:
        """Returns the least time that the open stages of a job and the request itself need."""
        longest = 0.0
        for path in job.open_paths():
            total = float(job.request.request_ms)
            for service, count in path:
                pool = self.pool_of(service)
                if pool is not None:
                    total += pool.call_time_ms(min(count, pool.batch_size))
            longest = max(longest, total)
        return longest

    def _due_steps(self, job: stage_job.Job) -> list[stage_job.Step]:
        """Returns the steps that should not wait for other stages of the job."""
        steps = job.ready_steps()
        if job.open_count < 2:
            return steps
        path_ms = self._path_ms(job)
        due = []
        for step in steps:
            pool = self.pool_of(step.service)
            if pool is None:
                continue
            own_ms = self._step_ms(step, pool) + self._following_ms(step)
            bulky = _is_bulky(pool, job.result_size_bytes(step.stage_index))
            if not bulky or own_ms + EARLY_MS >= path_ms:
                due.append(step)
        return due

    def _chain_wait_ms(self, job: stage_job.Job) -> float:
        """Returns the expected wait of a new job behind all pieces that wait now."""
        waits = {
            service: self._wait_ms(service) for path in job.open_paths() for service, _ in path
        }
        return max(
            (sum(waits[service] for service, _ in path) for path in job.open_paths()),
            default=0.0,
        )

    def _wait_ms(self, service: str) -> float:
        pool = self.pool_of(service)
        if pool is None:
            return 0.0
        waiting = sum(
            len(step.pieces)
            for job in self._jobs.values()
            for step in job.ready_steps()
            if step.service == service
        )
        calls = waiting / pool.batch_size
        work_ms = calls * pool.call_time_ms(pool.batch_size)
        return work_ms / max(1, len(self.usable(service)))

    # ---- results -------------------------------------------------------------------------------

    def _take_result(
        self,
        target: targets.Target,
        worker: _Worker,
        piece: PieceId,
        handle: str,
        now_ms: int,
    ) -> None:
        made = stage_job.Made(handle, target)
        pool = self.pool_of(target.service)
        retention_ms = pool.retention_ms if pool is not None else 0
        size = piece.job.result_size_bytes(piece.stage_index)
        worker.held[handle] = (size, now_ms + retention_ms)
        is_new = piece.job.finish(piece.stage_index, piece.piece, made)
        if not is_new or not self._is_open(piece.job):
            self._free([made])

    def _take_reason(
        self, worker: _Worker, piece: PieceId, reason: str, now_ms: int
    ) -> list[Finished]:
        job = piece.job
        again = job.fail(piece.stage_index, piece.piece, counts=reason != "room")
        if not self._is_open(job):
            return []
        if reason == "room":
            worker.foreign_until_ms = now_ms + FOREIGN_MS
            worker.foreign_bytes += job.result_size_bytes(piece.stage_index)
        elif reason == "gone":
            self._contended_until_ms = now_ms + CONTENTION_MS
            self._free(job.redo_inputs(piece.stage_index))
        elif reason == "late":
            return self._fail(job, "stage-late")
        return [] if again else self._fail(job, f"stage-{reason or 'error'}")

    def _fail(self, job: stage_job.Job, kind: str) -> list[Finished]:
        self._jobs.pop(job.request.request_id, None)
        self._free(job.all_results())
        return [Finished(job, ports.StageFailure(kind, RETRY_AFTER_MS))]

    def _free(self, results: Iterable[stage_job.Made]) -> None:
        for made in results:
            entry = self._freed.setdefault(made.target.target_id, (made.target, []))
            entry[1].append(made.handle)

    # ---- upkeep --------------------------------------------------------------------------------

    def _retry_overdue(self, now_ms: int) -> None:
        for worker in self._workers.values():
            for call in worker.calls:
                if not call.overdue and now_ms >= call.overdue_at_ms:
                    call.overdue = True
                    for piece in call.pieces:
                        piece.job.release_piece(piece.stage_index, piece.piece)

    def _drop_hopeless(self, now_ms: int) -> list[Finished]:
        finished = []
        for job in list(self._jobs.values()):
            if job.done:
                continue
            need_ms = max(self._path_ms(job), MIN_WORTHWHILE_MS)
            if now_ms + need_ms > job.deadline_at_ms:
                finished += self._fail(job, "too-late")
        return finished

    def _end_call(self, call: Call) -> _Worker:
        worker = self._worker(call.target)
        if call in worker.calls:
            worker.calls.remove(call)
        return worker

    def _is_open(self, job: stage_job.Job) -> bool:
        return self._jobs.get(job.request.request_id) is job

    def _worker(self, target: targets.Target) -> _Worker:
        worker = self._workers.get(target.target_id)
        if worker is None or worker.incarnation != target.incarnation:
            worker = self._workers[target.target_id] = _Worker(target.incarnation)
        return worker


def _is_bulky(pool: routing.StagePool, result_size_bytes: int) -> bool:
    """Returns whether two calls with such results need more room than a target has."""
    return 2 * pool.batch_size * result_size_bytes > pool.room_bytes
