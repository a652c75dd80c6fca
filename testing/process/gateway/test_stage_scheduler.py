"""Tests of the stage scheduler: batching, result memory, order, retries and handover of jobs."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.version import routing

POOL = routing.StagePool(1, 2, 4, 200.0, 10.0, 1_000, 4_000)


def _target(target_id: str, service: str, zone: str = "z1") -> targets.Target:
    return targets.Target(target_id, 1, service, f"10.0.0.{len(target_id)}:80", zone)


class Harness:
    """Scheduler with the targets of two services, by default one target for each service."""

    def __init__(
        self, pools: dict[str, routing.StagePool] | None = None, per_service: int = 1
    ) -> None:
        self.restricted: set[str] = set()
        self.pools = pools or {"a": POOL, "b": POOL}
        self.targets = {
            name: [_target(f"{name}{index}", name, f"z{index}") for index in range(per_service)]
            for name in self.pools
        }
        self.scheduler = stage_scheduler.StageScheduler(
            lambda service: self.targets.get(service, []), self.pools.get, self.find, self.may_call
        )

    def may_call(self, target: targets.Target) -> bool:
        return target.target_id not in self.restricted

    def find(self, target_id: str) -> targets.Target | None:
        known = (target for items in self.targets.values() for target in items)
        return next((target for target in known if target.target_id == target_id), None)

    def submit(self, request_id: str, now_ms: int = 0, **changes: Any) -> object:
        return self.scheduler.submit(_request(request_id, **changes), now_ms)

    def plan(self, now_ms: int) -> list[stage_workers.Call]:
        calls, _ = self.scheduler.plan(now_ms)
        return calls

    def complete(self, call: stage_workers.Call, now_ms: int) -> list[stage_scheduler.FinishedJob]:
        results = [
            ports.PieceResult(
                f"{call.target.address}/{piece_call.request_id}"
                f"-{piece_call.stage_index}-{piece_call.piece_index}"
            )
            for piece_call in call.piece_calls
        ]
        return self.scheduler.on_results(call, results, now_ms)

    def confirm_freed(self) -> list[str]:
        handles = []
        for target, freed in self.scheduler.take_freed():
            self.scheduler.on_freed(target, freed)
            handles += freed
        return handles


def _request(request_id: str, **changes: Any) -> ports.StageRequest:
    stages = changes.pop("stages", [("a", (), 2, 10)])
    request = ports.StageRequest(
        request_id=request_id,
        piece_key="key",
        stages=tuple(ports.StageWork(i, *stage) for i, stage in enumerate(stages)),
        urgency=0,
        latency_goal_ms=1_000,
        deadline_ms=5_000,
    )
    return attrs.evolve(request, **changes)


def test_pieces_of_several_requests_share_a_call() -> None:
    """Guards against one call per request, which a target with one slot cannot sustain."""
    harness = Harness()
    for name in ("r1", "r2", "r3"):
        assert harness.submit(name) is None
    (call,) = harness.plan(0)
    assert [piece_call.request_id for piece_call in call.piece_calls] == ["r1", "r1", "r2", "r2"]
    assert harness.plan(10) == []
    assert {finished.job.request.request_id for finished in harness.complete(call, 240)} == {
        "r1",
        "r2",
    }
    (rest,) = harness.plan(240)
    assert [piece_call.request_id for piece_call in rest.piece_calls] == ["r3", "r3"]


def test_stage_gets_all_result_handles_of_its_predecessors() -> None:
    """Guards against pieces with missing inputs or with inputs of another request."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    assert all(
        piece_call.piece_key == "key" and piece_call.inputs == ()
        for piece_call in first.piece_calls
    )
    assert harness.complete(first, 220) == []
    (second,) = harness.plan(220)
    (piece_call,) = second.piece_calls
    address = first.target.address
    assert piece_call.piece_key is None
    assert piece_call.inputs == (f"{address}/r1-0-0", f"{address}/r1-0-1")
    (finished,) = harness.complete(second, 440)
    assert finished.failure is None
    assert finished.job.results().handles == (f"{second.target.address}/r1-1-0",)


def test_stage_without_pieces_is_skipped() -> None:
    """Guards against a stage that waits for a predecessor without pieces."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 0, 10), ("a", (1,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (second,) = harness.plan(210)
    assert second.piece_calls[0].inputs == (f"{first.target.address}/r1-0-0",)


@pytest.mark.parametrize(
    ("size_bytes", "sizes"),
    [
        pytest.param(10, [4], id="memory-for-all"),
        pytest.param(300, [2], id="memory-for-one-step"),
        pytest.param(600, [], id="no-memory"),
    ],
)
def test_call_fits_into_the_result_memory_of_its_target(size_bytes: int, sizes: list[int]) -> None:
    """Guards against calls whose results exceed the memory of the target."""
    harness = Harness()
    for name in ("r1", "r2"):
        harness.submit(name, stages=[("a", (), 2, size_bytes)])
    assert [len(call.piece_calls) for call in harness.plan(0)] == sizes


def test_result_memory_is_used_until_the_target_has_freed_it() -> None:
    """Guards against calls that are sent before the memory of earlier results has been freed."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 2, 400)])
    harness.submit("r2", stages=[("a", (), 2, 400)])
    (first,) = harness.plan(0)
    harness.complete(first, 220)
    assert harness.plan(220) == []
    harness.scheduler.release("r1")
    assert harness.plan(230) == []
    assert len(harness.confirm_freed()) == 2
    (second,) = harness.plan(240)
    assert {piece_call.request_id for piece_call in second.piece_calls} == {"r2"}


def test_result_memory_is_available_after_the_retention_time() -> None:
    """Guards against a target that gets no more calls after a request to free results was lost."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 2, 400)])
    (first,) = harness.plan(0)
    harness.complete(first, 220)
    harness.scheduler.release("r1")
    harness.scheduler.take_freed()
    harness.submit("r2", 300, stages=[("a", (), 2, 400)])
    assert harness.plan(300) == []
    harness.submit("r3", 4_300, stages=[("a", (), 2, 400)])
    assert len(harness.plan(4_300)) == 1


def test_inputs_are_freed_once_their_call_has_begun() -> None:
    """Guards against inputs that occupy memory after they were fetched.

    If the call then fails, the stage that produced its inputs has to run again.
    """
    harness = Harness()
    harness.scheduler._last_submit_ms = 0
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (second,) = harness.plan(210)
    harness.scheduler.on_inputs_read(second, 260)
    assert harness.confirm_freed() == [f"{first.target.address}/r1-0-0"]
    fault = stage_scheduler.CallFault("broken-answer", may_have_run=True, reachable=True)
    assert harness.scheduler.on_fault(second, fault, 400) == []
    (retry,) = harness.plan(500)
    assert retry.target.service == "a"


def test_inputs_are_kept_while_another_host_may_be_the_leader() -> None:
    """Guards against inputs that are freed while the call waits at the target.

    The calls of a previous leader may be queued ahead of it, so the target has not fetched them.
    """
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (second,) = harness.plan(210)
    harness.scheduler.on_inputs_read(second, 260)
    assert harness.confirm_freed() == []


def test_least_slack_runs_first_and_late_jobs_run_last() -> None:
    """Guards against requests that miss their goal behind ones with more slack or late ones."""
    harness = Harness()
    harness.submit("late", latency_goal_ms=50, stages=[("a", (), 4, 10)])
    harness.submit("calm", latency_goal_ms=2_000, stages=[("a", (), 4, 10)])
    harness.submit("tight", latency_goal_ms=400, stages=[("a", (), 4, 10)])
    order = []
    for now_ms in range(3):
        (call,) = harness.plan(now_ms)
        order.append(call.piece_calls[0].request_id)
        harness.complete(call, now_ms + 1)
    assert order == ["tight", "calm", "late"]


def test_pieces_of_an_overdue_call_are_sent_to_another_target() -> None:
    """Guards against requests that wait for a slow or unresponsive target until their deadline."""
    harness = Harness(per_service=2)
    harness.submit("r1", stages=[("a", (), 1, 10)])
    (first,) = harness.plan(0)
    assert harness.plan(300) == []
    timeout_ms = harness.scheduler.next_timeout_ms()
    assert timeout_ms is not None
    (second,) = harness.plan(int(timeout_ms) + 1)
    assert second.target is not first.target
    (finished,) = harness.complete(second, 900)
    assert finished.failure is None
    assert harness.complete(first, 1_000) == []
    # The second result of the same piece is not used, and its memory is freed.
    assert harness.confirm_freed() == [f"{first.target.address}/r1-0-0"]


@pytest.mark.parametrize(
    ("slowdown", "born_ms", "now_ms", "target_id", "expected_ms"),
    [
        pytest.param(None, 1, 0, "a0", 220, id="nothing-stated"),
        pytest.param(3.0, 1, 0, "a1", 220, id="slow"),
        pytest.param(0.5, 1, 0, "a0", 220, id="fast-target-is-not-held-to-it"),
        pytest.param(3.0, 2, 0, "a0", 220, id="restarted-while-slow"),
        pytest.param(3.0, 1, 1_000, "a0", 220, id="later-report-lost"),
    ],
)
def test_call_at_a_target_that_states_its_slowdown(
    slowdown: float | None, born_ms: int, now_ms: int, target_id: str, expected_ms: float
) -> None:
    """Guards against batches for slow targets, and against targets that count as slow for ever."""
    harness = Harness(per_service=2)
    first = harness.targets["a"][0]
    harness.scheduler.load.observe(first, messages.LoadSample(0, 0, 1, slowdown), 0)
    harness.targets["a"][0] = attrs.evolve(first, born_ms=born_ms)
    harness.submit("r1", now_ms)
    (call,) = harness.plan(now_ms)
    assert (call.target.target_id, call.expected_ms) == (target_id, expected_ms)


def test_call_at_a_slow_target_has_the_time_that_it_needs() -> None:
    """Guards against pieces that are made twice because the only idle target is slow."""
    harness = Harness()
    (target,) = harness.targets["a"]
    harness.scheduler.load.observe(target, messages.LoadSample(0, 0, 1, 3.0), 0)
    harness.submit("r1")
    (call,) = harness.plan(0)
    assert (call.expected_ms, call.overdue_at_ms) == (660, 1_140)
    harness.complete(call, 660)
    # The stated slowdown explains the time of the call, so the target counts as fast after it.
    harness.scheduler.load.observe(target, messages.LoadSample(0, 0, 1, 1.0), 2_000)
    harness.submit("r2", 2_000)
    (later,) = harness.plan(2_000)
    assert later.expected_ms == pytest.approx(220)


def test_late_result_of_an_overdue_call_ends_its_job() -> None:
    """Guards against a job that waits for inputs to be made again for a result that it has.

    The inputs were freed when the call began, so its retry at another target needs them again.
    """
    harness = Harness(per_service=2)
    harness.scheduler._last_submit_ms = 0
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (slow,) = harness.plan(210)
    harness.scheduler.on_inputs_read(slow, 260)
    harness.confirm_freed()
    (repeat,) = harness.plan(700)
    assert repeat.target.service == "a"
    (finished,) = harness.complete(slow, 800)
    assert finished.failure is None
    assert harness.complete(repeat, 910) == []
    assert harness.confirm_freed() == [f"{repeat.target.address}/r1-0-0"]


@pytest.mark.parametrize("reason", [None, "gone"], ids=["overdue", "input-gone"])
def test_second_call_for_a_finished_job_runs_no_stage_again(reason: str | None) -> None:
    """Guards against stages that run again for a request whose stages are done.

    The inputs of its last stage are freed by then, and a second call with that stage is overdue, or
    finds them gone.
    """
    harness = Harness(per_service=2)
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (slow,) = harness.plan(210)
    (repeat,) = harness.plan(700)
    assert repeat.target.service == "b"
    assert len(harness.complete(slow, 800)) == 1
    if reason is not None:
        assert harness.scheduler.on_results(repeat, [ports.PieceResult(None, reason)], 900) == []
    assert harness.plan(2_000) == []


@pytest.mark.parametrize(
    ("reason", "attempts", "failure"),
    [
        pytest.param("error", 4, "stage-error", id="error-is-retried"),
        pytest.param("late", 1, "stage-late", id="late-fails-the-job"),
    ],
)
def test_piece_without_result(reason: str, attempts: int, failure: str) -> None:
    """Guards against unlimited retries and against failure at the first error."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 1, 10)])
    finished: list[stage_scheduler.FinishedJob] = []
    count = 0
    now_ms = 0
    while not finished and count < 10:
        (call,) = harness.plan(now_ms)
        count += 1
        now_ms += 210
        finished = harness.scheduler.on_results(call, [ports.PieceResult(None, reason)], now_ms)
    assert count == attempts
    assert finished[0].failure is not None
    assert finished[0].failure.kind == failure


def test_lost_input_is_produced_again() -> None:
    """Guards against a request that fails because a target has lost a result."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    (second,) = harness.plan(210)
    assert harness.scheduler.on_results(second, [ports.PieceResult(None, "gone")], 400) == []
    (retry,) = harness.plan(400)
    assert retry.target.service == "a"


def test_pieces_go_to_another_target_after_a_rejection() -> None:
    """Guards against repeated calls to a target that rejects them."""
    harness = Harness(per_service=2)
    harness.submit("r1", stages=[("a", (), 1, 10)])
    (first,) = harness.plan(0)
    fault = stage_scheduler.CallFault("rejected-503", may_have_run=False, reachable=True)
    harness.scheduler.on_fault(first, fault, 5)
    (second,) = harness.plan(5)
    assert second.target is not first.target


@pytest.mark.parametrize(
    ("deadline_ms", "waiting", "refused"),
    [
        pytest.param(5_000, 0, False, id="in-time"),
        pytest.param(150, 0, True, id="too-short"),
        pytest.param(1_000, 20, True, id="behind-a-long-queue"),
    ],
)
def test_work_that_cannot_be_done_in_time_is_refused_early(
    deadline_ms: int, waiting: int, refused: bool
) -> None:
    """Guards against work on requests that cannot be answered before their deadline."""
    harness = Harness()
    for index in range(waiting):
        harness.submit(f"w{index}", stages=[("a", (), 4, 10)], deadline_ms=60_000)
    failure = harness.submit("r1", deadline_ms=deadline_ms)
    assert (failure is not None) is refused


def test_job_whose_deadline_is_too_near_is_dropped() -> None:
    """Guards against calls for a request that can no longer be answered in time."""
    harness = Harness()
    harness.submit("r1", deadline_ms=400)
    calls, finished = harness.scheduler.plan(300)
    assert calls == []
    assert finished[0].failure is not None
    assert finished[0].failure.kind == "too-late"


def test_results_of_a_dropped_request_are_freed() -> None:
    """Guards against results that stay at targets after their caller has left."""
    harness = Harness()
    harness.submit("r1")
    (call,) = harness.plan(0)
    harness.scheduler.release("r1")
    assert harness.complete(call, 220) == []
    assert len(harness.confirm_freed()) == 2


def test_unknown_service_is_refused() -> None:
    """Guards against requests that wait at a host without the current configuration.

    The caller of the scheduler can retry the failure at another host.
    """
    harness = Harness()
    failure = harness.scheduler.submit(_request("r1", stages=[("x", (), 1, 1)]), 0)
    assert failure is not None
    assert failure.kind == "unknown-stage-service"


@pytest.mark.parametrize(
    ("gone", "back_at_ms", "refused_at_ms"),
    [
        pytest.param("a", None, 500, id="first-stage"),
        pytest.param("b", None, 500, id="later-stage"),
        pytest.param("a", 400, None, id="target-that-restarts"),
    ],
)
def test_stages_without_a_usable_target_are_refused(
    gone: str, back_at_ms: int | None, refused_at_ms: int | None
) -> None:
    """Guards against requests that wait until their deadline although nothing can serve them."""
    harness = Harness()
    removed = harness.targets.pop(gone)
    stages = [("a", (), 1, 10), ("b", (0,), 1, 10)]
    assert harness.submit("waiting", stages=stages) is None
    ends = {}
    for now_ms in range(0, 1_000, 50):
        if now_ms == back_at_ms:
            harness.targets[gone] = removed
        _, finished = harness.scheduler.plan(now_ms)
        for item in finished:
            ends[item.job.request.request_id] = (now_ms, item.failure)
    failure = ports.StageFailure("no-stage-target", stage_scheduler.RETRY_AFTER_MS)
    assert ends == ({} if refused_at_ms is None else {"waiting": (refused_at_ms, failure)})
    harness.submit("later", 1_000, stages=stages)
    _, finished = harness.scheduler.plan(1_004)
    assert [item.failure for item in finished] == ([] if refused_at_ms is None else [failure])


def _hand_over_to_other_host(harness: Harness, first: stage_workers.Call) -> Harness:
    """Hands the job of `first` over; returns the scheduler of the host that continues it."""
    other = Harness()
    made = first.pieces[0].job.completed_pieces()
    assert harness.scheduler.hand_over(300)[0].failure == ports.StageFailure(ports.HANDED_OVER, 0)
    assert len(harness.scheduler) == 0
    assert harness.scheduler.take_freed() == []
    assert (
        other.submit(
            "r1", 300, stages=[("a", (), 2, 10), ("b", (0,), 1, 10)], completed_pieces=made
        )
        is None
    )
    return other


def test_next_leader_continues_with_the_existing_results() -> None:
    """Guards against stages that run again because the leader stops."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 220)
    other = _hand_over_to_other_host(harness, first)
    (second,) = other.plan(300)
    (piece_call,) = second.piece_calls
    assert second.target.service == "b"
    assert piece_call.inputs == tuple(f"{first.target.address}/r1-0-{piece}" for piece in range(2))
    (finished,) = other.complete(second, 520)
    assert finished.failure is None
    assert len(other.confirm_freed()) == 2


def test_results_of_a_restarted_target_are_not_adopted() -> None:
    """Guards against inputs that a target has lost by restarting."""
    harness = Harness()
    made = (ports.CompletedPiece(0, 0, "h", "a0", 0), ports.CompletedPiece(0, 1, "i", "unknown", 1))
    harness.submit("r1", completed_pieces=made)
    (call,) = harness.plan(0)
    assert len(call.piece_calls) == 2


def test_results_whose_dependents_are_done_are_freed() -> None:
    """Guards against unneeded results at targets and repeated stages after a change of leader."""
    harness = Harness()
    made = (ports.CompletedPiece(0, 0, "h", "a0", 1), ports.CompletedPiece(1, 0, "i", "b0", 1))
    stages = [("a", (), 1, 10), ("b", (0,), 1, 10), ("a", (1,), 1, 10)]
    harness.submit("r1", stages=stages, completed_pieces=made)
    assert harness.confirm_freed() == ["h"]
    (call,) = harness.plan(0)
    assert [(piece_call.stage_index, piece_call.inputs) for piece_call in call.piece_calls] == [
        (2, ("i",))
    ]


def test_job_in_a_call_is_handed_over_when_the_call_has_ended() -> None:
    """Guards against a piece that runs for two hosts at the same time."""
    harness = Harness()
    harness.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (call,) = harness.plan(0)
    assert harness.scheduler.hand_over(10) == []
    harness.complete(call, 220)
    (finished,) = harness.scheduler.hand_over(220)
    assert len(finished.job.completed_pieces()) == 2


def test_results_of_a_finished_job_are_freed_by_the_previous_leader() -> None:
    """Guards against results that stay at targets after a change of leader.

    An engine may still be reading the results when the leader changes.
    """
    harness = Harness()
    harness.submit("r1")
    (call,) = harness.plan(0)
    harness.complete(call, 220)
    assert harness.scheduler.hand_over(230) == []
    assert harness.scheduler.open_count == 0
    harness.scheduler.release("r1")
    assert len(harness.confirm_freed()) == 2


def test_lost_input_is_made_again_from_inputs_that_still_exist() -> None:
    """Guards against a piece that is sent without its inputs.

    The results of the first stage have been freed when the target of the last stage finds that the
    results of the second are gone; the second stage must not run before the first has run again.
    """
    harness = Harness({"a": POOL, "b": POOL, "c": POOL})
    harness.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10), ("c", (1,), 1, 10)])
    (first,) = harness.plan(0)
    harness.complete(first, 210)
    started_ms = stage_scheduler.TAKEOVER_CONTENTION_MS
    (second,) = harness.plan(started_ms)
    harness.scheduler.on_inputs_read(second, started_ms + 50)
    harness.complete(second, started_ms + 210)
    assert harness.confirm_freed()
    (third,) = harness.plan(started_ms + 210)
    gone = [ports.PieceResult(None, "gone")]
    assert harness.scheduler.on_results(third, gone, started_ms + 420) == []
    (repeated,) = harness.plan(started_ms + 420)
    assert repeated.target.service == "a"
    harness.complete(repeated, started_ms + 630)
    (again,) = harness.plan(started_ms + 630)
    assert again.target.service == "b"
    assert all(handle for piece_call in again.piece_calls for handle in piece_call.inputs)
