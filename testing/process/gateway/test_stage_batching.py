"""Tests which steps share a call, at which target, and in which order they are served."""

from __future__ import annotations

import attrs
import pytest

from sesamehold.process.gateway import stage_batching
from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_queue
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

POOL = routing.StagePool(1, 2, 4, 200.0, 10.0, 1_000, 4_000)
NOW_MS = 1_000


@attrs.frozen
class Step:
    """A queued step with a name, its pieces and its zones.

    Slack, and the time until the last start that meets the deadline, count from `NOW_MS`.
    """

    name: str
    pieces: int = 1
    slack_ms: int = 1_000
    input_zone: str = ""
    output_zone: str = ""
    urgency: int = 0
    size_bytes: int = 10
    started: bool = False
    open_stages: int = 1
    last_start_in_ms: int = 15_000


def _queued(step: Step) -> stage_queue.QueuedStep:
    works = [ports.StageWork(0, "svc", (), step.pieces, step.size_bytes)]
    works += [
        ports.StageWork(index, "svc", (index - 1,), 1, step.size_bytes)
        for index in range(1, step.open_stages)
    ]
    request = ports.StageRequest(step.name, "key", tuple(works), step.urgency, 10_000, 20_000)
    job = stage_job.Job.from_request(request, NOW_MS)
    if step.started:
        job.record_start(0, 0)
    ready = stage_job.ReadyStep(
        job, 0, "svc", tuple(range(step.pieces)), step.input_zone, step.output_zone
    )
    return stage_queue.QueuedStep(ready, NOW_MS + step.slack_ms, NOW_MS + step.last_start_in_ms)


def _idle(zone: str, available_bytes: int = 1_000) -> stage_batching.IdleTarget:
    target = targets.Target(f"t-{zone}", 1, "svc", "10.0.0.1:80", zone)
    return stage_batching.IdleTarget(target, 1.0, available_bytes)


def _batches(
    steps: list[Step], zones: list[str], soon_idle: tuple[str, ...] = (), available: int = 1_000
) -> dict[str, list[str]]:
    queue = sorted((_queued(step) for step in steps), key=lambda item: item.sort_key(NOW_MS))
    idle = [_idle(zone, available) for zone in zones]
    batches = stage_batching.form_batches(queue, idle, frozenset(soon_idle), POOL, NOW_MS)
    return {
        batch.target.zone: [piece.job.request.request_id for piece in batch.pieces]
        for batch in batches
    }


@pytest.mark.parametrize(
    ("steps", "zones", "soon_idle", "expected"),
    [
        pytest.param(
            [Step("far", 3, 900, output_zone="z2"), Step("near", 3, 1_000, output_zone="z1")],
            ["z1"],
            (),
            {"z1": ["near"] * 3 + ["far"]},
            id="step-of-the-zone-first",
        ),
        pytest.param(
            [Step("far", 3, 100, output_zone="z2"), Step("near", 3, 1_000, output_zone="z1")],
            ["z1"],
            (),
            {"z1": ["far"] * 3 + ["near"]},
            id="little-slack-beats-the-zone",
        ),
        pytest.param(
            [Step("a", 4, 900, input_zone="z2"), Step("b", 4, 1_000, input_zone="z1")],
            ["z1", "z2"],
            (),
            {"z1": ["b"] * 4, "z2": ["a"] * 4},
            id="each-step-in-its-zone",
        ),
        pytest.param(
            [Step("a", 4, 900, input_zone="z2")], ["z1"], ("z2",), {}, id="waits-for-its-zone"
        ),
        pytest.param(
            [Step("a", 4, 900, input_zone="z2")],
            ["z1"],
            (),
            {"z1": ["a"] * 4},
            id="no-wait-for-a-busy-zone",
        ),
        pytest.param(
            [Step("a", 2, 900, input_zone="z1"), Step("b", 2, 950, input_zone="z2")],
            ["z1"],
            (),
            {"z1": ["a", "a"]},
            id="step-with-slack-stays-in-its-zone",
        ),
        pytest.param(
            [Step("a", 2, 200, input_zone="z1"), Step("b", 2, 250, input_zone="z2")],
            ["z1"],
            (),
            {"z1": ["a", "a", "b", "b"]},
            id="step-without-slack-fills-up-any-call",
        ),
        pytest.param(
            [Step("a", 3), Step("b", 3, 1_100)],
            ["z1"],
            (),
            {"z1": ["a", "a", "a", "b"]},
            id="part-of-a-step-fills-up-the-last-call",
        ),
        pytest.param(
            [Step("a", 3), Step("b", 3, 1_100)],
            ["z1", "z2"],
            (),
            {"z1": ["a"] * 3, "z2": ["b"] * 3},
            id="whole-step-while-a-target-is-idle",
        ),
        pytest.param(
            [Step("a", 3, size_bytes=200), Step("b", 3, 1_100, size_bytes=200)],
            ["z1"],
            (),
            {"z1": ["a"] * 3},
            id="large-results-are-not-split",
        ),
    ],
)
def test_calls_are_full_and_stay_in_their_zone(
    steps: list[Step], zones: list[str], soon_idle: tuple[str, ...], expected: dict[str, list[str]]
) -> None:
    """Guards against half-empty calls and large results that cross zones without need."""
    assert _batches(steps, zones, soon_idle) == expected


@pytest.mark.parametrize(
    ("zone", "speeds", "expected"),
    [
        pytest.param("", {"z1": (1.0, 1.0), "z2": (1.0, 0.9)}, "z2", id="fastest-first"),
        pytest.param("", {"z1": (1.0, 3.0), "z2": (2.0, 1.0)}, "z2", id="both-count"),
        pytest.param("z1", {"z1": (1.0, 3.0), "z2": (1.0, 1.0)}, "z2", id="too-slow-for-its-zone"),
        pytest.param("z1", {"z1": (1.0, 1.3), "z2": (1.0, 1.0)}, "z1", id="slightly-slow"),
        pytest.param("z1", {"z1": (1.0, 3.0), "z2": (1.0, 3.0)}, "z1", id="all-slow"),
        pytest.param("z1", {"z1": (3.0, 1.0), "z2": (1.0, 1.0)}, "z1", id="only-calls-were-slow"),
    ],
)
def test_idle_target_by_its_speed(
    zone: str, speeds: dict[str, tuple[float, float]], expected: str
) -> None:
    """Guards against a call at a target that states to be slow while a faster one is idle."""
    idle = [
        attrs.evolve(_idle(name), slowdown=slowdown, stated_slowdown=stated)
        for name, (slowdown, stated) in speeds.items()
    ]
    queue = [_queued(Step("a", 4, 900, output_zone=zone))]
    (batch,) = stage_batching.form_batches(queue, idle, frozenset(), POOL, NOW_MS)
    assert batch.target.zone == expected


def test_target_without_memory_gets_the_step_that_fits() -> None:
    """Guards against an idle target that waits for memory although another step would fit."""
    steps = [Step("large", 1, 500, size_bytes=900), Step("small", 1, 1_000)]
    assert _batches(steps, ["z1"], available=100) == {"z1": ["small"]}


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param(Step("a", slack_ms=100), Step("b", slack_ms=200), id="least-slack"),
        pytest.param(
            Step("a", slack_ms=5_000), Step("b", slack_ms=100, urgency=1), id="more-urgent"
        ),
        pytest.param(
            Step("a", slack_ms=-50),
            Step("b", slack_ms=100, urgency=2),
            id="late-but-two-ranks-more-urgent",
        ),
        pytest.param(
            Step("a", slack_ms=900, urgency=1),
            Step("b", slack_ms=-50),
            id="on-time-before-late-of-the-next-rank",
        ),
        pytest.param(
            Step("a", 2, slack_ms=900, started=True), Step("b", slack_ms=500), id="started"
        ),
        pytest.param(
            Step("a", slack_ms=-50, open_stages=1),
            Step("b", slack_ms=-900, open_stages=3),
            id="late-with-the-fewest-stages-left",
        ),
        pytest.param(
            Step("a", slack_ms=-900, last_start_in_ms=900),
            Step("b", slack_ms=100),
            id="late-and-about-to-fail",
        ),
        pytest.param(
            Step("a", slack_ms=-900, last_start_in_ms=300),
            Step("b", slack_ms=-900, last_start_in_ms=600),
            id="first-to-fail",
        ),
        pytest.param(
            Step("a", slack_ms=100),
            Step("b", slack_ms=-900, urgency=1, last_start_in_ms=300),
            id="more-urgent-before-less-urgent-about-to-fail",
        ),
    ],
)
def test_first_step_is_served_before_the_second(first: Step, second: Step) -> None:
    """Guards against urgent requests that fail behind less urgent ones with longer deadlines."""
    assert _queued(first).sort_key(NOW_MS) < _queued(second).sort_key(NOW_MS)
