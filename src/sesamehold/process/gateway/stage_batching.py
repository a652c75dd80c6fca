"""Decides which queued steps form the next calls to the idle targets of one stage service.

This answers loads at which a service has about as much work as its targets can do: calls should be
full, because each has a large fixed cost, and large results should not cross availability zones.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.version import routing

# Longest wait for a busy target in the zone of the inputs while a target in another zone is idle,
# and longest additional time of a call for which it stays in that zone.
MAX_ZONE_WAIT_MS = 120
# A step whose results or inputs would cross zones at a target yields to steps that have up to this
# much more slack.
ZONE_MISMATCH_MS = 400
# A step with less slack than this may run in any zone.
MIN_ZONE_SLACK_MS = 300


@attrs.frozen(eq=False)
class IdleTarget:
    """A target that can receive a call now.

    Attributes:
        target: The target.
        slowdown: Ratio of actual to expected time of its past calls.
        available_bytes: Free memory for results.
        stated_slowdown: Slowdown that it states now, 1.0 if nothing is known.
    """

    target: targets.Target
    slowdown: float
    available_bytes: int
    stated_slowdown: float = 1.0

    @property
    def time_factor(self) -> float:
        """Returns the expected time of a call relative to other idle targets."""
        return self.slowdown * self.stated_slowdown


@attrs.frozen(eq=False)
class Batch:
    """Pieces for one call to a target."""

    target: targets.Target
    pieces: tuple[stage_workers.PieceRef, ...]


@attrs.define(eq=False)
class _Planner:
    pool: routing.StagePool
    idle: list[IdleTarget]
    # Zones in which a busy target is expected to become idle soon.
    soon_idle_zones: frozenset[str]
    now_ms: int
    batched: set[int] = attrs.field(factory=set)

    def next_batch(self, queue: Sequence[stage_queue.QueuedStep]) -> Batch | None:
        """Returns the batch of the most urgent step that should not wait; None if there is none."""
        choices: list[
            tuple[tuple[float, float, float], int, stage_queue.QueuedStep, IdleTarget]
        ] = []
        for item in queue:
            if id(item.step) in self.batched:
                continue
            idle = self._preferred_target(item)
            if idle is not None:
                choices.append((self._sort_key(item, idle.target), len(choices), item, idle))
        if not choices:
            return None
        _, _, first, idle = min(choices)
        self.idle.remove(idle)
        pieces = self._fill(first, queue, idle)
        return Batch(idle.target, tuple(pieces))

    def _preferred_target(self, item: stage_queue.QueuedStep) -> IdleTarget | None:
        zone = item.step.zone
        for idle in self.idle:
            is_fast_enough = self._stated_delay_ms(idle) <= MAX_ZONE_WAIT_MS
            if zone in ("", idle.target.zone) and is_fast_enough:
                return idle
        if item.step.input_zone and zone in self.soon_idle_zones:
            return None
        return self.idle[0] if self.idle else None

    def _stated_delay_ms(self, idle: IdleTarget) -> float:
        """Returns how much longer a full call takes than at the idle target that is used first."""
        slowdown = idle.stated_slowdown - self.idle[0].stated_slowdown
        return slowdown * self.pool.call_time_ms(self.pool.batch_size)

    def _sort_key(
        self, item: stage_queue.QueuedStep, target: targets.Target
    ) -> tuple[float, float, float]:
        suits = item.step.zone in ("", target.zone)
        return item.sort_key(self.now_ms, 0.0 if suits else ZONE_MISMATCH_MS)

    def _fill(
        self,
        first: stage_queue.QueuedStep,
        queue: Sequence[stage_queue.QueuedStep],
        idle: IdleTarget,
    ) -> list[stage_workers.PieceRef]:
        target = idle.target
        others = [
            item
            for item in queue
            if item is not first
            and id(item.step) not in self.batched
            and self._may_run_in(target.zone, item)
        ]
        others.sort(key=lambda item: self._sort_key(item, target))
        available_bytes = idle.available_bytes
        free_pieces = self.pool.batch_size
        pieces: list[stage_workers.PieceRef] = []
        left: list[stage_job.ReadyStep] = []
        for item in (first, *others):
            step = item.step
            count = min(len(step.pieces), self.pool.batch_size)
            size_bytes = step.job.result_size_bytes(step.stage_index) * count
            # Parts of many steps would occupy the memory in which one whole step could complete.
            if count > free_pieces or size_bytes > available_bytes:
                left.append(step)
                continue
            free_pieces -= count
            available_bytes -= size_bytes
            self.batched.add(id(step))
            pieces += _references(step, count)
        if pieces and not self.idle:
            pieces += self._part_of_step(left, free_pieces, available_bytes)
        return pieces

    def _may_run_in(self, zone: str, item: stage_queue.QueuedStep) -> bool:
        """Returns whether a step may fill up a call in a zone that may not hold its inputs."""
        if item.step.input_zone in ("", zone):
            return True
        if item.step.input_zone in self.soon_idle_zones:
            return False
        return item.latest_start_ms - self.now_ms < MIN_ZONE_SLACK_MS

    def _part_of_step(
        self, steps: Iterable[stage_job.ReadyStep], free_pieces: int, available_bytes: int
    ) -> list[stage_workers.PieceRef]:
        """Returns pieces of the first step that only fits in part; empty if none should be split.

        All targets are busy then, so a call that is not full wastes its fixed cost.
        """
        for step in steps:
            size_bytes = step.job.result_size_bytes(step.stage_index)
            if stage_queue.is_memory_bound(self.pool, size_bytes):
                continue
            count = min(free_pieces, available_bytes // max(1, size_bytes))
            if 0 < count < len(step.pieces):
                self.batched.add(id(step))
                return _references(step, count)
        return []


def form_batches(
    queue: Sequence[stage_queue.QueuedStep],
    idle: Iterable[IdleTarget],
    soon_idle_zones: frozenset[str],
    pool: routing.StagePool,
    now_ms: int,
) -> list[Batch]:
    """Returns the calls to start now.

    Args:
        queue: Queued steps of the service in scheduling order.
        idle: Targets that can receive a call.
        soon_idle_zones: Zones in which a busy target becomes idle within `MAX_ZONE_WAIT_MS`.
        pool: Capacity and timing of each target.
        now_ms: Monotonic time.
    """
    planner = _Planner(
        pool, sorted(idle, key=lambda item: item.time_factor), soon_idle_zones, now_ms
    )
    batches = []
    while planner.idle:
        batch = planner.next_batch(queue)
        if batch is None:
            break
        if batch.pieces:
            batches.append(batch)
    return batches


def _references(step: stage_job.ReadyStep, count: int) -> list[stage_workers.PieceRef]:
    return [
        stage_workers.PieceRef(step.job, step.stage_index, piece) for piece in step.pieces[:count]
    ]
