"""Tests when the queue of stages takes the work of other requests into account."""

from __future__ import annotations

import pytest

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.request.gateway import ports
from sesamehold.version import routing

POOL = routing.StagePool(1, 2, 10, 200.0, 20.0, 1_000_000, 4_000)
GOAL_MS = 2_000
DEADLINE_MS = 6_000
STAGES = (ports.StageWork(0, "svc", (), 1, 10), ports.StageWork(1, "svc", (0,), 1, 10))


@pytest.mark.parametrize(
    ("counts_others", "call_sizes", "needed_ms", "has_last_chance"),
    [
        pytest.param(False, [10] * 200, 220 + 220, False, id="small-fleet"),
        pytest.param(True, [], 220 + 1.5 * 220, True, id="large-fleet-without-calls"),
        pytest.param(True, [10] * 200, 400 + 1.5 * 400, True, id="large-fleet-with-full-calls"),
    ],
)
def test_slack_counts_the_work_of_others_in_large_fleets_only(
    counts_others: bool, call_sizes: list[int], needed_ms: float, has_last_chance: bool
) -> None:
    """Guards against an order in small fleets that throws away more stage work than it serves."""
    queue = stage_queue.StageQueue({"svc": POOL}.get)
    queue.counts_others = counts_others
    for size in call_sizes:
        queue.record_call("svc", size)
    request = ports.StageRequest("r", "k", STAGES, 0, GOAL_MS, DEADLINE_MS)
    queue.add(stage_job.Job.from_request(request, 0))
    (step,) = queue.queued_steps("svc", 0)
    assert step.latest_start_ms == pytest.approx(GOAL_MS - needed_ms, abs=1)
    late_ms = DEADLINE_MS - int(needed_ms) - 500
    assert (step.sort_key(late_ms)[0] == 0) is has_last_chance
