"""CPU time of the stage scheduler under a steady load, with a simulated clock."""

from __future__ import annotations

import heapq
import itertools
import json
import random
import time
from typing import TypeAlias

import attrs
import cyclopts

from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# A chain of three services on 26 targets, and requests of three kinds.
POOLS = {
    "lookup": routing.StagePool(1, 2, 18, 200.0, 9.5, 40_000_000, 4_000),
    "rank": routing.StagePool(1, 2, 62, 200.0, 2.77, 8_270_000, 4_000),
    "render": routing.StagePool(1, 2, 92, 200.0, 1.9, 1_200_000, 4_000),
}
TARGET_COUNTS = {"lookup": 9, "rank": 8, "render": 9}

RATES_PER_S = (30.0, 100.0, 177.0, 350.0)
# Time that a target takes to fetch the inputs of a call, and an engine to read its inputs.
INPUT_READ_MS = 50.0
RESULT_READ_MS = 60.0
GATHER_MS = 4.0

_Event: TypeAlias = stage_workers.Call | str | None


@attrs.frozen
class SchedulerCost:
    """CPU cost and results of one simulation.

    Attributes:
        rate_per_s: Requests a second.
        done_count: Requests whose stages were all completed.
        failed_count: Requests that were rejected or abandoned.
        call_count: Calls to targets.
        processor_fraction: CPU time of the scheduler divided by simulated time.
        p95_ms: 95th percentile of the time for all stages of a request.
    """

    rate_per_s: float
    done_count: int
    failed_count: int
    call_count: int
    processor_fraction: float
    p95_ms: float


@attrs.define(eq=False)
class _Simulation:
    rng: random.Random
    duration_ms: float
    scheduler: stage_scheduler.StageScheduler
    events: list[tuple[float, int, str, _Event]] = attrs.field(factory=list)
    numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    submitted_ms: dict[str, float] = attrs.field(factory=dict)
    latencies_ms: list[float] = attrs.field(factory=list)
    failed_count: int = 0
    call_count: int = 0
    plan_scheduled: bool = False

    def schedule(self, time_ms: float, kind: str, subject: _Event = None) -> None:
        heapq.heappush(self.events, (time_ms, next(self.numbers), kind, subject))

    def run_events(self) -> None:
        while self.events:
            now_ms, number, kind, subject = heapq.heappop(self.events)
            if now_ms > self.duration_ms:
                return
            if kind == "request":
                self._submit(f"r{number}", now_ms)
            elif kind == "plan":
                self._plan(now_ms)
            elif isinstance(subject, str):
                self.scheduler.release(subject)
            elif subject is not None and kind == "read":
                self.scheduler.on_inputs_read(subject, int(now_ms))
            elif subject is not None:
                self._end(subject, now_ms)

    def _submit(self, request_id: str, now_ms: float) -> None:
        self.submitted_ms[request_id] = now_ms
        if self.scheduler.submit(_request(request_id, self.rng), int(now_ms)) is not None:
            self.failed_count += 1
        self._schedule_plan(now_ms + GATHER_MS)

    def _schedule_plan(self, time_ms: float) -> None:
        if not self.plan_scheduled:
            self.plan_scheduled = True
            self.schedule(time_ms, "plan")

    def _plan(self, now_ms: float) -> None:
        self.plan_scheduled = False
        calls, finished = self.scheduler.plan(int(now_ms))
        self.failed_count += len(finished)
        for call in calls:
            self.call_count += 1
            self.schedule(now_ms + INPUT_READ_MS, "read", call)
            self.schedule(now_ms + call.expected_ms, "end", call)
        for target, handles in self.scheduler.take_freed():
            self.scheduler.on_freed(target, handles)

    def _end(self, call: stage_workers.Call, now_ms: float) -> None:
        results = [ports.PieceResult(f"h{next(self.numbers)}") for _ in call.piece_calls]
        for finished in self.scheduler.on_results(call, results, int(now_ms)):
            request_id = finished.job.request.request_id
            self.latencies_ms.append(now_ms - self.submitted_ms[request_id])
            self.schedule(now_ms + RESULT_READ_MS, "release", request_id)
        self._schedule_plan(now_ms)


def _request(request_id: str, rng: random.Random) -> ports.StageRequest:
    work = ports.StageWork
    bulk = work(0, "lookup", (), rng.choice((0, 1, 2, 3, 4)), 1_500_000)
    chain = (
        work(1, "lookup", (), 1, 8_000),
        work(2, "rank", (1,), 4, 60_000),
        work(3, "render", (2,), 10, 6_000),
    )
    kind = rng.random()
    if kind < 0.35:
        return ports.StageRequest(request_id, "k", (bulk, *chain), 0, 1_000, 6_000, 100)
    if kind < 0.75:
        return ports.StageRequest(request_id, "k", chain, 1, 2_300, 6_000, 100)
    return ports.StageRequest(request_id, "k", (bulk,), 2, 2_500, 20_000, 100)


def measure(rate_per_s: float, duration_s: float, seed: int) -> SchedulerCost:
    """Simulates one load and measures the CPU time of the scheduler."""
    pools = {
        service: [
            targets.Target(f"{service}-{index}", 1, service, f"10.0.0.{index}:1", f"z{index % 4}")
            for index in range(count)
        ]
        for service, count in TARGET_COUNTS.items()
    }
    by_id = {target.target_id: target for pool in pools.values() for target in pool}
    scheduler = stage_scheduler.StageScheduler(
        lambda service: pools.get(service, []), POOLS.get, by_id.get
    )
    simulation = _Simulation(random.Random(seed), duration_s * 1_000, scheduler)
    at_ms = 0.0
    while at_ms < simulation.duration_ms:
        at_ms += simulation.rng.expovariate(rate_per_s / 1_000)
        simulation.schedule(at_ms, "request")
    started_s = time.process_time()
    simulation.run_events()
    spent_s = time.process_time() - started_s
    ordered = sorted(simulation.latencies_ms)
    return SchedulerCost(
        rate_per_s=rate_per_s,
        done_count=len(ordered),
        failed_count=simulation.failed_count,
        call_count=simulation.call_count,
        processor_fraction=spent_s / duration_s,
        p95_ms=ordered[int(len(ordered) * 0.95)] if ordered else 0.0,
    )


app = cyclopts.App(help="Measures the CPU time of the stage scheduler.")


@app.default
def main(duration_s: float = 10.0, seed: int = 1) -> None:
    """Prints one JSON document per line for each rate."""
    for rate_per_s in RATES_PER_S:
        print(json.dumps(attrs.asdict(measure(rate_per_s, duration_s, seed))))


if __name__ == "__main__":
    app()
