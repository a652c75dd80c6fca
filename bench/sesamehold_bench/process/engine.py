"""State of the simulated engine: continuous batching, prefix cache, cold start, orders."""

from __future__ import annotations

import asyncio
import collections
import enum
from typing import Any
import uuid

import attrs

from sesamehold_bench.process import faults
from sesamehold_bench.process import prefix_cache
from sesamehold_bench.request import generation

_MS_PER_S = 1_000
# Number of ended attempts whose units are kept to answer late cancellations.
_MAX_ENDED_ATTEMPTS = 100_000


class Admission(enum.Enum):
    """Decision of an engine about a new generation."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    BROKEN = "broken"


@attrs.frozen
class EngineConfig:
    """Behaviour of a simulated engine.

    Attributes:
        capacity_warm: Maximum number of concurrent generations in the batch.
        capacity_cold: Maximum number of generations that a cold engine accepts.
        waiting_limit: Maximum number of queued generations.
        step_base_ms: Time of one decoding step with an empty batch.
        step_per_request_ms: Additional time of a step for each running generation.
        prefill_per_unit_ms: Time to process one uncached unit of the prompt.
        cache_units: Size of the prefix cache.
        cold_ms: Duration of a cold phase.
        starts_cold: Whether the engine is cold when it starts.
        load_lag_ms: Maximum age of a load report.
        checks_fencing: Whether orders with an old fencing number are refused.
    """

    capacity_warm: int = 16
    capacity_cold: int = 2
    waiting_limit: int = 8
    step_base_ms: float = 4.0
    step_per_request_ms: float = 0.2
    prefill_per_unit_ms: float = 0.05
    cache_units: int = 4_096
    cold_ms: int = 2_000
    starts_cold: bool = False
    load_lag_ms: int = 100
    checks_fencing: bool = False


@attrs.define(eq=False)
class Engine:
    """Runs generations in one batch; a single task produces their tokens step by step."""

    config: EngineConfig
    faults: faults.FaultState
    start_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    running: dict[str, generation.Generation] = attrs.field(factory=dict)
    waiting: list[generation.Generation] = attrs.field(factory=list)
    counters: collections.Counter[str] = attrs.field(factory=collections.Counter)
    orders: list[dict[str, Any]] = attrs.field(factory=list)
    fence: int = -1
    _cache: prefix_cache.PrefixCache = attrs.field(init=False)
    _warm_s: float = 0.0
    _units_by_ended_attempt: dict[str, int] = attrs.field(factory=dict)
    _report: dict[str, Any] = attrs.field(factory=dict)
    _report_s: float = -1e9
    _work: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._cache = prefix_cache.PrefixCache(self.config.cache_units)
        if self.config.starts_cold:
            self.turn_cold(_now_s())

    def cold(self, now_s: float) -> bool:
        """Returns whether the engine is in a cold phase."""
        return now_s < self._warm_s

    def turn_cold(self, now_s: float) -> None:
        """Starts a cold phase and clears the prefix cache."""
        self._warm_s = now_s + self.config.cold_ms / _MS_PER_S
        self._cache.clear()

    def submit(self, item: generation.Generation, now_s: float) -> Admission:
        """Puts a generation into the batch or the queue.

        A cold engine that receives more than `capacity_cold` generations aborts all of them and
        restarts its cold phase.
        """
        if self.cold(now_s):
            if len(self.running) + len(self.waiting) >= self.config.capacity_cold:
                self._abort_all(now_s)
                return Admission.BROKEN
        elif (
            len(self.running) >= self.config.capacity_warm
            and len(self.waiting) >= self.config.waiting_limit
        ):
            self.counters["refused"] += 1
            return Admission.REFUSED
        self.counters["accepted"] += 1
        self.waiting.append(item)
        # The sort is stable: equal priorities keep their order of arrival.
        self.waiting.sort(key=lambda waiting: -waiting.priority)
        self._work.set()
        return Admission.ACCEPTED

    def remove(self, item: generation.Generation) -> None:
        """Removes a generation and records its units."""
        was_running = self.running.pop(item.attempt, None) is not None
        if not was_running and item not in self.waiting:
            return
        if item in self.waiting:
            self.waiting.remove(item)
        self.counters["units"] += item.produced
        self._units_by_ended_attempt[item.attempt] = item.produced
        if len(self._units_by_ended_attempt) > _MAX_ENDED_ATTEMPTS:
            del self._units_by_ended_attempt[next(iter(self._units_by_ended_attempt))]

    def cancel(self, attempt: str) -> int:
        """Stops an attempt; returns the units produced for it."""
        for item in [*self.running.values(), *self.waiting]:
            if item.attempt == attempt:
                item.stop(generation.End.CANCELLED)
                self.remove(item)
        return self._units_by_ended_attempt.get(attempt, 0)

    def accept_order(self, document: dict[str, Any], now_s: float) -> bool:
        """Accepts an order; returns False if fencing is checked and its fencing number is stale."""
        fence = int(document.get("fence", -1))
        if self.config.checks_fencing and fence < self.fence:
            return False
        self.fence = max(self.fence, fence)
        self.orders.append(document)
        if document.get("order") == "load-model":
            self.turn_cold(now_s)
        return True

    def load(self, now_s: float) -> dict[str, Any]:
        """Returns the load report, which may be up to `load_lag_ms` old."""
        if (now_s - self._report_s) * _MS_PER_S >= self.config.load_lag_ms:
            self._report_s = now_s
            self._report = {
                "running": len(self.running),
                "waiting": len(self.waiting),
                "cold": self.cold(now_s),
                "start_id": self.start_id,
            }
        return self._report

    async def run(self) -> None:
        """Produces tokens until it is cancelled."""
        while True:
            self._fill_batch(_now_s())
            if not self.running:
                self._work.clear()
                await self._work.wait()
                continue
            await asyncio.sleep(self._step_ms() / _MS_PER_S)
            self._step(_now_s())

    def _step_ms(self) -> float:
        step_ms = self.config.step_base_ms + self.config.step_per_request_ms * len(self.running)
        return step_ms * self.faults.script.slow_factor

    def _step(self, now_s: float) -> None:
        for item in list(self.running.values()):
            if item.ready_s <= now_s:
                item.produce()
                self.counters["tokens"] += 1
                if item.end is not None:
                    self.remove(item)

    def _fill_batch(self, now_s: float) -> None:
        while self.waiting and len(self.running) < self.config.capacity_warm:
            item = self.waiting.pop(0)
            item.cached_units = self._cache.lookup(item.prompt)
            uncached = prefix_cache.block_count(item.prompt) - item.cached_units
            prefill_ms = uncached * self.config.prefill_per_unit_ms
            item.ready_s = now_s + prefill_ms * self.faults.script.slow_factor / _MS_PER_S
            self.running[item.attempt] = item
            self.counters["largest_batch"] = max(self.counters["largest_batch"], len(self.running))

    def _abort_all(self, now_s: float) -> None:
        self.counters["overloads"] += 1
        for item in [*self.running.values(), *self.waiting]:
            item.stop(generation.End.BROKEN)
            self.remove(item)
        self.turn_cold(now_s)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
