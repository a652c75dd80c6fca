"""State of the stand-in engine: continuous batching, cold start, crashes."""

from __future__ import annotations

import asyncio
import uuid

import attrs

from sesamehold_bench.request import generation

_MS_PER_S = 1_000


@attrs.frozen
class EngineConfig:
    """Behaviour of a stand-in engine.

    Attributes:
        capacity_warm: Concurrent generations that a warm engine bears.
        capacity_cold: Concurrent generations that a cold engine bears.
        step_base_ms: Time of one decoding step with an empty batch.
        step_per_request_ms: Additional time of a step for each running generation.
        cold_ms: Time from start until the engine is warm.
        crash_marker: A prompt with this text ends the process; empty for never.
    """

    capacity_warm: int = 16
    capacity_cold: int = 2
    step_base_ms: float = 4.0
    step_per_request_ms: float = 0.2
    cold_ms: int = 0
    crash_marker: str = "<crash>"


@attrs.define(eq=False)
class Engine:
    """Counts running generations and paces their tokens."""

    config: EngineConfig
    started_s: float
    start_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    running: dict[str, generation.Generation] = attrs.field(factory=dict)
    waiting: int = 0
    total_units: int = 0
    overloads: int = 0
    _units_by_attempt: dict[str, int] = attrs.field(factory=dict)

    def cold(self, now_s: float) -> bool:
        """Returns whether the engine is still in cold start."""
        return (now_s - self.started_s) * _MS_PER_S < self.config.cold_ms

    def capacity(self, now_s: float) -> int:
        """Returns the number of concurrent generations that the engine bears now."""
        return self.config.capacity_cold if self.cold(now_s) else self.config.capacity_warm

    def admits(self, now_s: float) -> bool:
        """Returns whether one more generation can start."""
        if len(self.running) < self.capacity(now_s):
            return True
        self.overloads += 1
        return False

    def begin(self, item: generation.Generation) -> None:
        """Adds a generation to the batch."""
        self.running[item.attempt] = item

    def end(self, item: generation.Generation) -> None:
        """Removes a generation from the batch and accounts its tokens."""
        if self.running.pop(item.attempt, None) is not None:
            self.total_units += item.produced
            self._units_by_attempt[item.attempt] = item.produced

    def units_of(self, attempt: str) -> int:
        """Returns the tokens produced for an attempt."""
        item = self.running.get(attempt)
        return item.produced if item is not None else self._units_by_attempt.get(attempt, 0)

    async def step(self) -> None:
        """Waits for one decoding step of the current batch."""
        step_ms = self.config.step_base_ms + self.config.step_per_request_ms * len(self.running)
        await asyncio.sleep(step_ms / _MS_PER_S)
