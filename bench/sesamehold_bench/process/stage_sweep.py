"""CPU time of the stage scheduler under a steady load, with a simulated clock."""

from __future__ import annotations

import json
import time

import attrs
import cyclopts

from sesamehold.version import routing
from sesamehold_bench.process import stage_load

# A chain of three services on 26 targets, and requests of three kinds.
POOLS = {
    "lookup": routing.StagePool(1, 2, 18, 200.0, 9.5, 40_000_000, 4_000),
    "rank": routing.StagePool(1, 2, 62, 200.0, 2.77, 8_270_000, 4_000),
    "render": routing.StagePool(1, 2, 92, 200.0, 1.9, 1_200_000, 4_000),
}
TARGET_COUNTS = {"lookup": 9, "rank": 8, "render": 9}
ZONE_COUNT = 4

RATES_PER_S = (30.0, 100.0, 177.0, 350.0)


def _bulk(piece_counts: tuple[int, ...]) -> stage_load.StageShape:
    return stage_load.StageShape("lookup", (), piece_counts, 1_500_000)


def _chain(first: int) -> tuple[stage_load.StageShape, ...]:
    return (
        stage_load.StageShape("lookup", (), (1,), 8_000),
        stage_load.StageShape("rank", (first,), (4,), 60_000),
        stage_load.StageShape("render", (first + 1,), (10,), 6_000),
    )


def _load(rate_per_s: float) -> stage_load.StageLoad:
    shape = stage_load.RequestShape
    stages = (_bulk((0, 1, 2, 3, 4)), *_chain(1))
    return stage_load.StageLoad(
        pools=POOLS,
        zones={
            service: tuple(f"z{index % ZONE_COUNT}" for index in range(count))
            for service, count in TARGET_COUNTS.items()
        },
        shapes=(
            shape("both", 0.35 * rate_per_s, stages, 1_000, 6_000, urgency=0, engine_ms=100),
            shape("chain", 0.4 * rate_per_s, _chain(0), 2_300, 6_000, urgency=1, engine_ms=100),
            shape("bulk", 0.25 * rate_per_s, stages[:1], 2_500, 20_000, urgency=2, engine_ms=100),
        ),
    )


@attrs.frozen
class SchedulerCost:
    """CPU cost and results of one simulation.

    Attributes:
        rate_per_s: Requests a second.
        done_count: Requests whose stages were all completed.
        failed_count: Requests that were refused or abandoned, also after they came back.
        call_count: Calls to targets.
        processor_fraction: CPU time of the scheduler and the simulation divided by simulated time.
        p95_ms: 95th percentile of the time for all stages of a request.
    """

    rate_per_s: float
    done_count: int
    failed_count: int
    call_count: int
    processor_fraction: float
    p95_ms: float


def measure(rate_per_s: float, duration_s: float, seed: int) -> SchedulerCost:
    """Simulates one load and measures the CPU time of the scheduler."""
    started_s = time.process_time()
    report = stage_load.simulate(_load(rate_per_s), duration_s=duration_s, seed=seed)
    spent_s = time.process_time() - started_s
    ordered = sorted(report.latencies_ms)
    return SchedulerCost(
        rate_per_s=rate_per_s,
        done_count=len(ordered),
        failed_count=sum(kind.refused for kind in report.kinds.values()),
        call_count=report.call_count,
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
