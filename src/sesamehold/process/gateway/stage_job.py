"""Progress of the stages of one request: which pieces are done, wanted or in a call."""

from __future__ import annotations

import collections

import attrs

from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

# Tries of one piece before the request is refused.
MAX_TRIES = 4
# Smaller inputs may cross zones: their transfer takes less than a millisecond.
MIN_ZONE_INPUT_BYTES = 200_000


@attrs.frozen
class Made:
    """Result of one piece and the target that holds it."""

    handle: str
    target: targets.Target


@attrs.define
class _Stage:
    work: ports.StageWork
    # Direct predecessors that have pieces; stages without pieces are passed through.
    needs: tuple[int, ...]
    made: dict[int, Made] = attrs.field(factory=dict)
    in_call: collections.Counter[int] = attrs.field(factory=collections.Counter)
    tries: collections.Counter[int] = attrs.field(factory=collections.Counter)

    @property
    def done(self) -> bool:
        return len(self.made) == self.work.piece_count

    @property
    def started(self) -> bool:
        """Returns whether every piece is done or in a call."""
        pieces = range(self.work.piece_count)
        return all(piece in self.made or self.in_call[piece] for piece in pieces)

    @property
    def spent(self) -> bool:
        """Returns whether results were given up, so that they would have to be made again."""
        return any(not made.handle for made in self.made.values())


@attrs.frozen
class Step:
    """Pieces of one stage of one job that can be done now."""

    job: Job
    stage_index: int
    service: str
    pieces: tuple[int, ...]
    input_zone: str


@attrs.define(eq=False)
class Job:
    """Stages of one request.

    Attributes:
        request: What is to be done.
        aim_at_ms: Monotonic time at which the results are wanted.
        deadline_at_ms: Monotonic time at which they are of no use any more.
        failed: Whether the job cannot be finished.
    """

    request: ports.StageRequest
    aim_at_ms: int
    deadline_at_ms: int
    _stages: dict[int, _Stage]
    _followers: dict[int, list[int]]

    @classmethod
    def from_request(cls, request: ports.StageRequest, now_ms: int) -> Job:
        """Returns a job of which nothing is done."""
        works = {work.index: work for work in request.stages}
        stages = {
            index: _Stage(work, _needs(works, work))
            for index, work in works.items()
            if work.piece_count > 0
        }
        followers: dict[int, list[int]] = {index: [] for index in stages}
        for index, stage in stages.items():
            for needed in stage.needs:
                followers[needed].append(index)
        return cls(
            request, now_ms + request.aim_ms, now_ms + request.deadline_ms, stages, followers
        )

    def take_over(self, piece: ports.MadePiece, target: targets.Target) -> None:
        """Takes over a result that another host has had made."""
        stage = self._stages.get(piece.stage_index)
        if stage is not None and 0 <= piece.piece_index < stage.work.piece_count:
            stage.made[piece.piece_index] = Made(piece.handle, target)

    def drop_useless(self) -> list[Made]:
        """Gives up results that were taken over and are not needed; returns them.

        A stage of which a part is missing is kept; one whose followers are all done is not needed.
        """
        dropped: list[Made] = []
        for index, stage in self._stages.items():
            followers = [self._stages[item] for item in self._followers[index]]
            if followers and all(item.done for item in followers):
                dropped += [made for made in stage.made.values() if made.handle]
                follower = next(iter(followers[0].made.values()))
                stage.made = {
                    piece: Made("", follower.target) for piece in range(stage.work.piece_count)
                }
        return dropped

    def made_pieces(self) -> tuple[ports.MadePiece, ...]:
        """Returns the results that exist, for another host that may have to go on with them."""
        return tuple(
            ports.MadePiece(index, piece, made.handle, made.target.target_id, made.target.born_ms)
            for index, stage in self._stages.items()
            for piece, made in stage.made.items()
            if made.handle
        )

    @property
    def in_call(self) -> bool:
        """Returns whether a call with a piece of the job has not ended."""
        return any(count for stage in self._stages.values() for count in stage.in_call.values())

    @property
    def done(self) -> bool:
        """Returns whether all stages are done."""
        return all(stage.done for stage in self._stages.values())

    def ready_steps(self) -> list[Step]:
        """Returns the pieces that can be done now and are in no call."""
        steps = []
        for index, stage in self._stages.items():
            if stage.done or not all(self._stages[needed].done for needed in stage.needs):
                continue
            pieces = tuple(
                piece
                for piece in range(stage.work.piece_count)
                if piece not in stage.made and not stage.in_call[piece]
            )
            if pieces:
                zone = self._zone_of(stage.needs, len(pieces))
                steps.append(Step(self, index, stage.work.service, pieces, zone))
        return steps

    @property
    def open_count(self) -> int:
        """Returns the number of stages that are not done."""
        return sum(not stage.done for stage in self._stages.values())

    def open_paths(self) -> list[list[tuple[str, int]]]:
        """Returns service and piece count along each chain from a stage that can be done now.

        Stages whose pieces are in a call are included.
        """
        return [
            [(stage.work.service, stage.work.piece_count), *self.following_path(index)]
            for index, stage in self._stages.items()
            if not stage.done and all(self._stages[needed].done for needed in stage.needs)
        ]

    def result_size_bytes(self, stage_index: int) -> int:
        """Returns the size of the result of one piece."""
        return self._stages[stage_index].work.result_size_bytes

    def following_path(self, stage_index: int) -> list[tuple[str, int]]:
        """Returns service and piece count of the longest chain of stages after one."""
        paths = [
            [
                (self._stages[index].work.service, self._stages[index].work.piece_count),
                *self.following_path(index),
            ]
            for index in self._followers[stage_index]
        ]
        return max(paths, key=len, default=[])

    def order(self, stage_index: int, piece: int, remaining_ms: int) -> ports.PieceOrder:
        """Returns the order for one piece."""
        stage = self._stages[stage_index]
        if not stage.needs:
            return ports.PieceOrder(
                self.request.request_id,
                stage_index,
                piece,
                remaining_ms,
                piece_key=self.request.piece_key,
            )
        inputs = tuple(
            self._stages[needed].made[index].handle
            for needed in stage.needs
            for index in range(self._stages[needed].work.piece_count)
        )
        return ports.PieceOrder(
            self.request.request_id, stage_index, piece, remaining_ms, inputs=inputs
        )

    def start(self, stage_index: int, piece: int) -> None:
        """Notes that a piece is in a call."""
        self._stages[stage_index].in_call[piece] += 1

    def release_piece(self, stage_index: int, piece: int) -> None:
        """Lets a piece be done again although a call with it has not ended."""
        self._stages[stage_index].in_call[piece] = 0
        self._remake_spent_inputs(stage_index)

    def finish(self, stage_index: int, piece: int, made: Made) -> bool:
        """Takes over a result; returns False if the piece was done already."""
        stage = self._stages[stage_index]
        stage.in_call[piece] = max(0, stage.in_call[piece] - 1)
        if piece in stage.made:
            return False
        stage.made[piece] = made
        return True

    def fail(self, stage_index: int, piece: int, *, counts: bool) -> bool:
        """Notes a call without a result; returns whether the piece may be tried again.

        Args:
            stage_index: Stage of the piece.
            piece: The piece.
            counts: Whether the target worked on the piece.
        """
        stage = self._stages[stage_index]
        stage.in_call[piece] = max(0, stage.in_call[piece] - 1)
        stage.tries[piece] += counts
        if piece in stage.made:
            return True
        self._remake_spent_inputs(stage_index)
        return stage.tries[piece] < MAX_TRIES

    def redo_inputs(self, stage_index: int) -> list[Made]:
        """Forgets the results that a stage needs, because one is gone; returns them."""
        dropped: list[Made] = []
        for needed in self._stages[stage_index].needs:
            stage = self._stages[needed]
            dropped += stage.made.values()
            stage.made.clear()
        return dropped

    def spent_results(self) -> list[Made]:
        """Returns and gives up results that no piece will need any more.

        A target fetches the inputs of a call at its start, so the results that only finished
        pieces and pieces in a call need are spent. Call this once the running calls have begun.
        """
        spent: list[Made] = []
        for index, stage in self._stages.items():
            followers = [self._stages[item] for item in self._followers[index]]
            if followers and stage.done and all(item.started for item in followers):
                spent += [made for made in stage.made.values() if made.handle]
                stage.made = {piece: Made("", made.target) for piece, made in stage.made.items()}
        return spent

    def _remake_spent_inputs(self, stage_index: int) -> None:
        for needed in self._stages[stage_index].needs:
            stage = self._stages[needed]
            if stage.spent:
                stage.made.clear()
                self._remake_spent_inputs(needed)

    def all_results(self) -> list[Made]:
        """Returns all results that were not spent."""
        return [
            made for stage in self._stages.values() for made in stage.made.values() if made.handle
        ]

    def results(self) -> ports.StageResults:
        """Returns the results that the request itself needs."""
        final = [
            stage.made[piece]
            for index, stage in sorted(self._stages.items())
            if not self._followers[index]
            for piece in range(stage.work.piece_count)
        ]
        zones = collections.Counter(made.target.zone for made in final)
        zone = zones.most_common(1)[0][0] if zones else ""
        return ports.StageResults(tuple(made.handle for made in final), zone)

    def _zone_of(self, indexes: tuple[int, ...], piece_count: int) -> str:
        """Returns the zone where most of the inputs of some pieces lie, empty if they are small."""
        zones: collections.Counter[str] = collections.Counter()
        for index in indexes:
            stage = self._stages[index]
            for made in stage.made.values():
                zones[made.target.zone] += stage.work.result_size_bytes
        # Every piece fetches all inputs.
        if zones.total() * piece_count < MIN_ZONE_INPUT_BYTES:
            return ""
        return zones.most_common(1)[0][0]


def _needs(works: dict[int, ports.StageWork], work: ports.StageWork) -> tuple[int, ...]:
    needs: list[int] = []
    for index in work.after:
        needed = works[index]
        needs += [index] if needed.piece_count > 0 else _needs(works, needed)
    return tuple(sorted(set(needs)))
