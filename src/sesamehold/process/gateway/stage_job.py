"""Progress of the stages of one request: which pieces are done, ready or in flight."""

from __future__ import annotations

import collections

import attrs

from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

# Failed attempts of one piece before the request is refused.
MAX_PIECE_ATTEMPTS = 4
# Inputs below this size do not bind a step to a zone: their transfer between zones takes less than
# a millisecond.
MIN_ZONE_AFFINITY_BYTES = 200_000


@attrs.frozen
class StoredResult:
    """Result of one piece and the target that holds it."""

    handle: str
    target: targets.Target


@attrs.define
class _Stage:
    work: ports.StageWork
    # Nearest predecessors that have pieces: a stage without pieces is replaced by its predecessors.
    dependencies: tuple[int, ...]
    results: dict[int, StoredResult] = attrs.field(factory=dict)
    in_flight: collections.Counter[int] = attrs.field(factory=collections.Counter)
    attempts: collections.Counter[int] = attrs.field(factory=collections.Counter)

    @property
    def done(self) -> bool:
        return len(self.results) == self.work.piece_count

    @property
    def all_started(self) -> bool:
        """Returns whether every piece is done or in flight."""
        pieces = range(self.work.piece_count)
        return all(piece in self.results or self.in_flight[piece] for piece in pieces)

    @property
    def has_released_results(self) -> bool:
        """Returns whether results have been released, so that a retry has to produce them again."""
        return any(not result.handle for result in self.results.values())


@attrs.frozen
class ReadyStep:
    """Pieces of one stage of a job whose inputs are complete and that are not in flight.

    Attributes:
        job: Job that the pieces belong to.
        stage_index: Index of the stage in its route.
        service: Service that processes the pieces.
        pieces: Indexes of the pieces in the stage.
        input_zone: Availability zone that holds most of the inputs, empty if they are small.
        output_zone: Availability zone that reads the results, empty if they are small.
    """

    job: Job
    stage_index: int
    service: str
    pieces: tuple[int, ...]
    input_zone: str
    output_zone: str = ""

    @property
    def zone(self) -> str:
        """Returns the availability zone in which the step should run, empty for any."""
        return self.input_zone or self.output_zone


@attrs.define(eq=False)
class Job:
    """Stages of one request.

    Attributes:
        request: Request that the job serves.
        latency_goal_at_ms: Monotonic time by which the results are wanted.
        deadline_at_ms: Monotonic time after which the results are useless.
        submitted_at_ms: Monotonic time at which this host got the job.
    """

    request: ports.StageRequest
    latency_goal_at_ms: int
    deadline_at_ms: int
    _stages: dict[int, _Stage]
    _dependents: dict[int, list[int]]
    submitted_at_ms: int = 0

    @classmethod
    def from_request(cls, request: ports.StageRequest, now_ms: int) -> Job:
        """Returns a job without any results."""
        works = {work.index: work for work in request.stages}
        stages = {
            index: _Stage(work, _dependencies(works, work))
            for index, work in works.items()
            if work.piece_count > 0
        }
        dependents: dict[int, list[int]] = {index: [] for index in stages}
        for index, stage in stages.items():
            for dependency in stage.dependencies:
                dependents[dependency].append(index)
        return cls(
            request,
            now_ms + request.latency_goal_ms,
            now_ms + request.deadline_ms,
            stages,
            dependents,
            now_ms,
        )

    def adopt_result(self, piece: ports.CompletedPiece, target: targets.Target) -> None:
        """Adds a result of a call that another host sent."""
        stage = self._stages.get(piece.stage_index)
        if stage is not None and 0 <= piece.piece_index < stage.work.piece_count:
            stage.results[piece.piece_index] = StoredResult(piece.handle, target)

    def discard_unneeded(self) -> list[StoredResult]:
        """Discards results that no stage needs any more; returns them.

        The results of a stage are unneeded if all stages that depend on it are done. Such a stage
        counts as done even if some of its results are missing, so it does not run again. Partial
        results of all other stages are kept.
        """
        dropped: list[StoredResult] = []
        for index, stage in self._stages.items():
            dependents = [self._stages[item] for item in self._dependents[index]]
            if dependents and all(item.done for item in dependents):
                dropped += [result for result in stage.results.values() if result.handle]
                dependent = next(iter(dependents[0].results.values()))
                stage.results = {
                    piece: StoredResult("", dependent.target)
                    for piece in range(stage.work.piece_count)
                }
        return dropped

    def completed_pieces(self) -> tuple[ports.CompletedPiece, ...]:
        """Returns the results held by targets, so that another host can continue the job."""
        return tuple(
            ports.CompletedPiece(
                index, piece, result.handle, result.target.target_id, result.target.born_ms
            )
            for index, stage in self._stages.items()
            for piece, result in stage.results.items()
            if result.handle
        )

    @property
    def started(self) -> bool:
        """Returns whether any piece of the job is done or in a call."""
        return self.in_flight or any(stage.results for stage in self._stages.values())

    @property
    def in_flight(self) -> bool:
        """Returns whether any piece of the job is in a call."""
        return any(count for stage in self._stages.values() for count in stage.in_flight.values())

    @property
    def done(self) -> bool:
        """Returns whether all stages are done."""
        return all(stage.done for stage in self._stages.values())

    def needed_services(self) -> frozenset[str]:
        """Returns the services that still have to receive calls for this job."""
        return frozenset(
            stage.work.service for stage in self._stages.values() if not stage.all_started
        )

    def ready_steps(self) -> list[ReadyStep]:
        """Returns the pieces that can be processed now and are not in flight, by stage."""
        steps = []
        for index, stage in self._stages.items():
            if stage.done or not all(
                self._stages[dependency].done for dependency in stage.dependencies
            ):
                continue
            pieces = tuple(
                piece
                for piece in range(stage.work.piece_count)
                if piece not in stage.results and not stage.in_flight[piece]
            )
            if pieces:
                input_zone = self._input_zone(stage.dependencies, len(pieces))
                output_zone = self._output_zone(index)
                steps.append(
                    ReadyStep(self, index, stage.work.service, pieces, input_zone, output_zone)
                )
        return steps

    @property
    def open_count(self) -> int:
        """Returns the number of stages that are not done."""
        return sum(not stage.done for stage in self._stages.values())

    def remaining_paths(self) -> list[list[tuple[str, int]]]:
        """Returns service and piece count along each path that begins at a ready stage.

        Stages with pieces in flight are included.
        """
        return [
            [(stage.work.service, stage.work.piece_count), *self.downstream_path(index)]
            for index, stage in self._stages.items()
            if not stage.done
            and all(self._stages[dependency].done for dependency in stage.dependencies)
        ]

    def waiting_pieces(self) -> collections.Counter[str]:
        """Returns the pieces by service that are neither done nor in flight, of all stages."""
        counts: collections.Counter[str] = collections.Counter()
        for stage in self._stages.values():
            counts[stage.work.service] += sum(
                piece not in stage.results and not stage.in_flight[piece]
                for piece in range(stage.work.piece_count)
            )
        return +counts

    def result_size_bytes(self, stage_index: int) -> int:
        """Returns the approximate size of the result of one piece."""
        return self._stages[stage_index].work.result_size_bytes

    def downstream_path(self, stage_index: int) -> list[tuple[str, int]]:
        """Returns service and piece count along the path with the most stages after this one."""
        paths = [
            [
                (self._stages[index].work.service, self._stages[index].work.piece_count),
                *self.downstream_path(index),
            ]
            for index in self._dependents[stage_index]
        ]
        return max(paths, key=len, default=[])

    def piece_request(self, stage_index: int, piece: int, remaining_ms: int) -> ports.PieceCall:
        """Returns the request for one piece, with the handles of its inputs."""
        stage = self._stages[stage_index]
        if not stage.dependencies:
            return ports.PieceCall(
                self.request.request_id,
                stage_index,
                piece,
                remaining_ms,
                piece_key=self.request.piece_key,
            )
        inputs = tuple(
            self._stages[dependency].results[index].handle
            for dependency in stage.dependencies
            for index in range(self._stages[dependency].work.piece_count)
        )
        return ports.PieceCall(
            self.request.request_id, stage_index, piece, remaining_ms, inputs=inputs
        )

    def record_start(self, stage_index: int, piece: int) -> None:
        """Records that a piece is in flight."""
        self._stages[stage_index].in_flight[piece] += 1

    def allow_retry(self, stage_index: int, piece: int) -> None:
        """Makes a piece ready again while a call with it is still in flight."""
        stage = self._stages[stage_index]
        stage.in_flight[piece] = 0
        if piece not in stage.results:
            self._rerun_released_inputs(stage_index)

    def record_result(self, stage_index: int, piece: int, result: StoredResult) -> bool:
        """Stores a result; returns False if the piece already has one."""
        stage = self._stages[stage_index]
        stage.in_flight[piece] = max(0, stage.in_flight[piece] - 1)
        if piece in stage.results:
            return False
        stage.results[piece] = result
        return True

    def record_failure(self, stage_index: int, piece: int, *, is_attempt: bool) -> bool:
        """Records that a call gave no result for a piece; returns whether it may be retried.

        Args:
            stage_index: Stage of the piece.
            piece: The piece.
            is_attempt: Whether the target may have run the piece.
        """
        stage = self._stages[stage_index]
        stage.in_flight[piece] = max(0, stage.in_flight[piece] - 1)
        stage.attempts[piece] += is_attempt
        if piece in stage.results:
            return True
        self._rerun_released_inputs(stage_index)
        return stage.attempts[piece] < MAX_PIECE_ATTEMPTS

    def discard_inputs(self, stage_index: int) -> list[StoredResult]:
        """Discards all inputs of a stage because a target has lost one of them; returns them.

        A stage that is done needs none, so a late call without them costs nothing.
        """
        dropped: list[StoredResult] = []
        if self._stages[stage_index].done:
            return dropped
        for dependency in self._stages[stage_index].dependencies:
            stage = self._stages[dependency]
            dropped += stage.results.values()
            stage.results.clear()
            self._rerun_released_inputs(dependency)
        return dropped

    def release_consumed_results(self) -> list[StoredResult]:
        """Releases the results that no further call will fetch; returns them.

        A target fetches the inputs of a call at its start, so results are no longer needed if all
        pieces that depend on them are done or in flight. Call this only after the targets have
        started the calls in flight.
        """
        released: list[StoredResult] = []
        for index, stage in self._stages.items():
            dependents = [self._stages[item] for item in self._dependents[index]]
            if dependents and stage.done and all(item.all_started for item in dependents):
                released += [result for result in stage.results.values() if result.handle]
                stage.results = {
                    piece: StoredResult("", result.target)
                    for piece, result in stage.results.items()
                }
        return released

    def _rerun_released_inputs(self, stage_index: int) -> None:
        for dependency in self._stages[stage_index].dependencies:
            stage = self._stages[dependency]
            if stage.has_released_results:
                stage.results.clear()
                self._rerun_released_inputs(dependency)

    def held_results(self) -> list[StoredResult]:
        """Returns all results that have not been released."""
        return [
            result
            for stage in self._stages.values()
            for result in stage.results.values()
            if result.handle
        ]

    def results(self) -> ports.StageResults:
        """Returns the results of the stages on which no other stage depends."""
        final = [
            stage.results[piece]
            for index, stage in sorted(self._stages.items())
            if not self._dependents[index]
            for piece in range(stage.work.piece_count)
        ]
        zones = collections.Counter(result.target.zone for result in final)
        zone = zones.most_common(1)[0][0] if zones else ""
        return ports.StageResults(tuple(result.handle for result in final), zone)

    def _input_zone(self, indexes: tuple[int, ...], piece_count: int) -> str:
        """Returns the zone that holds most of the inputs, empty if the inputs are small."""
        zones: collections.Counter[str] = collections.Counter()
        for index in indexes:
            stage = self._stages[index]
            for result in stage.results.values():
                zones[result.target.zone] += stage.work.result_size_bytes
        # Every piece fetches all inputs.
        if zones.total() * piece_count < MIN_ZONE_AFFINITY_BYTES:
            return ""
        return zones.most_common(1)[0][0]

    def _output_zone(self, index: int) -> str:
        """Returns the preferred zone of the request if it reads large results of this stage."""
        work = self._stages[index].work
        if self._dependents[index]:
            return ""
        if work.piece_count * work.result_size_bytes < MIN_ZONE_AFFINITY_BYTES:
            return ""
        return self.request.preferred_zone


def _dependencies(works: dict[int, ports.StageWork], work: ports.StageWork) -> tuple[int, ...]:
    dependencies: list[int] = []
    for index in work.after:
        dependency = works[index]
        dependencies += [index] if dependency.piece_count > 0 else _dependencies(works, dependency)
    return tuple(sorted(set(dependencies)))
