"""Forms calls to the targets of stages from the pieces of many requests.

A call has a large fixed time, so pieces of all requests wait in one queue, and a call is formed
when a target is free. The pieces with the least slack come first.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import itertools

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Largest wait for a target in the zone of the inputs while one elsewhere is free.
ZONE_WAIT_MS = 120
# A target that is full or has no room is left alone for this long; one that cannot be reached for
# longer.
FULL_MS = 60
UNREACHABLE_MS = 700
RETRY_AFTER_MS = 500
# Calls of a host that was in charge before may wait at targets for this long.
CONTENTION_MS = 1_500


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


@attrs.define(eq=False)
class StageScheduler:
    """Jobs and the targets that do their pieces.

    Attributes:
        usable: Returns the targets of a service that may get new work.
        pool_of: Returns how the targets of a service work, None if it does no stages.
        find: Returns a target by its identity, None if it is not known.
    """

    usable: Callable[[str], list[targets.Target]]
    pool_of: Callable[[str], routing.StagePool | None]
    find: Callable[[str], targets.Target | None]
    _queue: stage_queue.StageQueue = attrs.field(init=False)
    _workers: stage_workers.WorkerTable = attrs.field(factory=stage_workers.WorkerTable)
    _freed: dict[str, tuple[targets.Target, list[str]]] = attrs.field(factory=dict)
    _submitted_ms: int | None = None
    _contended_until_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self._queue = stage_queue.StageQueue(self.pool_of)

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def open_count(self) -> int:
        """Returns the number of jobs whose stages are not all done."""
        return sum(not job.done for job in self._queue.jobs())

    # ---- events --------------------------------------------------------------------------------

    def submit(self, request: ports.StageRequest, now_ms: int) -> ports.StageFailure | None:
        """Adds the stages of a request; returns a failure if they cannot be done in time."""
        job = stage_job.Job.from_request(request, now_ms)
        for work in request.stages:
            if work.piece_count and self.pool_of(work.service) is None:
                return ports.StageFailure("unknown-stage-service", RETRY_AFTER_MS)
        wait_ms = self._chain_wait_ms(job)
        if now_ms + wait_ms + self._queue.path_ms(job) > job.deadline_at_ms:
            return ports.StageFailure("overloaded", max(RETRY_AFTER_MS, int(wait_ms)))
        if self._submitted_ms is None or now_ms - self._submitted_ms > CONTENTION_MS:
            # Another host may have been in charge until now, and its calls may still run.
            self._contended_until_ms = now_ms + CONTENTION_MS
        self._submitted_ms = now_ms
        self._take_over(job, now_ms)
        self._queue.add(job)
        return None

    def release(self, request_id: str) -> None:
        """Drops a job and frees its results."""
        job = self._queue.remove(request_id)
        if job is not None:
            self._free(job.all_results())

    def hand_over(self, now_ms: int) -> list[Finished]:
        """Gives up the open jobs without a running call, so that another host goes on with them.

        Their results stay at the targets. Call it again when calls have ended or are overdue.
        """
        self._retry_overdue(now_ms)
        idle = [job for job in self._queue.jobs() if not job.done and not job.in_call]
        for job in idle:
            self._queue.remove(job.request.request_id)
        return [Finished(job, ports.StageFailure(ports.HANDED_OVER, 0)) for job in idle]

    def plan(self, now_ms: int) -> tuple[list[stage_workers.Call], list[Finished]]:
        """Returns the calls to start now, and the jobs that can no longer be finished in time."""
        self._retry_overdue(now_ms)
        finished: list[Finished] = []
        for job in self._queue.hopeless(now_ms):
            finished += self._fail(job, "too-late")
        calls: list[stage_workers.Call] = []
        for service in self._queue.services():
            calls += self._plan_service(service, now_ms)
        return calls, finished

    def next_wake_ms(self) -> float | None:
        """Returns when an overdue call needs attention, None if no call runs."""
        return self._workers.next_wake_ms()

    def on_results(
        self, call: stage_workers.Call, results: list[ports.PieceResult], now_ms: int
    ) -> list[Finished]:
        """Takes over the results of a call; returns the jobs that ended with it."""
        worker = self._workers.remove_call(call)
        worker.end_call(call, now_ms)
        finished = []
        unfinished = {id(piece.job): piece.job for piece in call.pieces if not piece.job.done}
        for piece, result in zip(call.pieces, results, strict=True):
            if result.handle is not None:
                self._take_result(call.target, piece, result.handle, now_ms)
            else:
                finished += self._take_reason(worker, piece, result.reason, now_ms)
        for job in unfinished.values():
            if self._queue.contains(job) and job.done:
                self._free(job.spent_results())
                finished.append(Finished(job))
        return finished

    def on_fault(self, call: stage_workers.Call, fault: CallFault, now_ms: int) -> list[Finished]:
        """Takes over that a call gave no results; returns the jobs that failed with it."""
        worker = self._workers.remove_call(call)
        avoid_ms = FULL_MS if fault.reachable else UNREACHABLE_MS
        worker.avoid_until_ms = now_ms + avoid_ms
        if fault.reachable and not fault.worked:
            self._contended_until_ms = now_ms + CONTENTION_MS
        finished = []
        for piece in call.pieces:
            again = piece.job.fail(piece.stage_index, piece.piece, counts=fault.worked)
            self._queue.touch(piece.job)
            if not again and self._queue.contains(piece.job):
                finished += self._fail(piece.job, f"stage-{fault.kind}")
        return finished

    def on_inputs_read(self, call: stage_workers.Call, now_ms: int) -> None:
        """Frees the inputs of a call that its target has had the time to fetch.

        While calls of other hosts may be ahead of it at the target, they are kept until its end.
        """
        if now_ms < self._contended_until_ms:
            return
        if call in self._workers.get(call.target).calls and not call.overdue:
            for job in {id(piece.job): piece.job for piece in call.pieces}.values():
                if self._queue.contains(job):
                    self._free(job.spent_results())

    def take_freed(self) -> list[tuple[targets.Target, list[str]]]:
        """Returns and forgets the handles to free at each target."""
        freed, self._freed = self._freed, {}
        return list(freed.values())

    def on_freed(self, target: targets.Target, handles: Iterable[str]) -> None:
        """Notes that a target has freed results, so that their room can be used again."""
        worker = self._workers.get(target)
        for handle in handles:
            worker.drop(handle)

    # ---- planning ------------------------------------------------------------------------------

    def _plan_service(self, service: str, now_ms: int) -> list[stage_workers.Call]:
        pool = self.pool_of(service)
        if pool is None:
            return []
        workers = [(target, self._workers.get(target)) for target in self.usable(service)]
        idle = {
            target.target_id: target
            for target, worker in workers
            if len(worker.calls) < pool.slots and worker.avoid_until_ms <= now_ms
        }
        if not idle:
            return []
        queue = [item.step for item in self._queue.due_steps(service, now_ms)]
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

    def _pick_worker(
        self,
        step: stage_job.Step,
        idle: dict[str, targets.Target],
        workers: list[tuple[targets.Target, stage_workers.Worker]],
        now_ms: int,
    ) -> targets.Target | None:
        zone = step.input_zone or step.job.request.preferred_zone
        ordered = sorted(idle.values(), key=lambda target: self._workers.get(target).pace)
        for target in ordered:
            if target.zone == zone or not zone:
                return target
        if step.input_zone and any(
            target.zone == zone and worker.frees_within(ZONE_WAIT_MS, now_ms)
            for target, worker in workers
        ):
            return None
        return ordered[0]

    def _batch(
        self,
        first: stage_job.Step,
        queue: list[stage_job.Step],
        taken: set[int],
        target: targets.Target,
        pool: routing.StagePool,
        now_ms: int,
    ) -> list[stage_workers.PieceId]:
        room = pool.room_bytes - self._workers.get(target).held_bytes(now_ms)
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
            stage_workers.PieceId(step.job, step.stage_index, piece)
            for step in chosen
            for piece in step.pieces[: pool.batch_size]
        ]

    def _start(
        self,
        target: targets.Target,
        batch: list[stage_workers.PieceId],
        pool: routing.StagePool,
        waiting_count: int,
        now_ms: int,
    ) -> stage_workers.Call:
        orders = []
        for piece in batch:
            remaining_ms = max(1, piece.job.deadline_at_ms - now_ms)
            orders.append(piece.job.order(piece.stage_index, piece.piece, remaining_ms))
            piece.job.start(piece.stage_index, piece.piece)
            self._queue.touch(piece.job)
        worker = self._workers.get(target)
        expected_ms = pool.call_time_ms(len(batch)) * max(1.0, worker.pace)
        held_bytes = worker.held_bytes(now_ms)
        call = stage_workers.Call(
            target, tuple(batch), tuple(orders), now_ms, expected_ms, waiting_count, held_bytes
        )
        worker.calls.append(call)
        return call

    def _chain_wait_ms(self, job: stage_job.Job) -> float:
        """Returns the expected wait of a new job behind all pieces that wait now."""
        paths = job.open_paths()
        waits = {service: self._wait_ms(service) for path in paths for service, _ in path}
        return max((sum(waits[service] for service, _ in path) for path in paths), default=0.0)

    def _wait_ms(self, service: str) -> float:
        pool = self.pool_of(service)
        if pool is None:
            return 0.0
        calls = self._queue.waiting_pieces(service) / pool.batch_size
        work_ms = calls * pool.call_time_ms(pool.batch_size)
        return work_ms / max(1, len(self.usable(service)))

    # ---- results -------------------------------------------------------------------------------

    def _take_over(self, job: stage_job.Job, now_ms: int) -> None:
        """Takes over the results that another host has had made for a job."""
        for piece in job.request.made:
            target = self.find(piece.target_id)
            if target is None or target.born_ms != piece.born_ms:
                continue
            job.take_over(piece, target)
            self._hold(target, piece.handle, job.result_size_bytes(piece.stage_index), now_ms)
        self._free(job.drop_useless())

    def _hold(self, target: targets.Target, handle: str, size_bytes: int, now_ms: int) -> None:
        pool = self.pool_of(target.service)
        retention_ms = pool.retention_ms if pool is not None else 0
        self._workers.get(target).hold(handle, size_bytes, now_ms + retention_ms)

    def _take_result(
        self,
        target: targets.Target,
        piece: stage_workers.PieceId,
        handle: str,
        now_ms: int,
    ) -> None:
        made = stage_job.Made(handle, target)
        self._hold(target, handle, piece.job.result_size_bytes(piece.stage_index), now_ms)
        is_new = piece.job.finish(piece.stage_index, piece.piece, made)
        self._queue.touch(piece.job)
        if not is_new or not self._queue.contains(piece.job):
            self._free([made])

    def _take_reason(
        self,
        worker: stage_workers.Worker,
        piece: stage_workers.PieceId,
        reason: str,
        now_ms: int,
    ) -> list[Finished]:
        job = piece.job
        again = job.fail(piece.stage_index, piece.piece, counts=reason != "room")
        self._queue.touch(job)
        if not self._queue.contains(job):
            return []
        if reason == "room":
            worker.note_missing_room(job.result_size_bytes(piece.stage_index), now_ms)
        elif reason == "gone":
            self._contended_until_ms = now_ms + CONTENTION_MS
            self._free(job.redo_inputs(piece.stage_index))
        elif reason == "late":
            return self._fail(job, "stage-late")
        return [] if again else self._fail(job, f"stage-{reason or 'error'}")

    def _fail(self, job: stage_job.Job, kind: str) -> list[Finished]:
        self._queue.remove(job.request.request_id)
        self._free(job.all_results())
        return [Finished(job, ports.StageFailure(kind, RETRY_AFTER_MS))]

    def _free(self, results: Iterable[stage_job.Made]) -> None:
        for made in results:
            entry = self._freed.setdefault(made.target.target_id, (made.target, []))
            entry[1].append(made.handle)

    def _retry_overdue(self, now_ms: int) -> None:
        for call in self._workers.calls():
            if not call.overdue and now_ms >= call.overdue_at_ms:
                call.overdue = True
                for piece in call.pieces:
                    piece.job.release_piece(piece.stage_index, piece.piece)
                    self._queue.touch(piece.job)
