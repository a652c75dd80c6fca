"""Guards the forming of stage calls: packing, room, order, retries and the end of jobs."""

from __future__ import annotations

from typing import Any

import attrs
import pytest

from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

POOL = routing.StagePool(1, 2, 4, 200.0, 10.0, 1_000, 4_000)


def _target(target_id: str, service: str, zone: str = "z1") -> targets.Target:
    return targets.Target(target_id, 1, service, f"10.0.0.{len(target_id)}:80", zone)


class World:
    """Scheduler over two services of a chain."""

    def __init__(
        self, pools: dict[str, routing.StagePool] | None = None, per_service: int = 1
    ) -> None:
        self.pools = pools or {"a": POOL, "b": POOL}
        self.targets = {
            name: [_target(f"{name}{index}", name, f"z{index}") for index in range(per_service)]
            for name in self.pools
        }
        self.scheduler = stage_scheduler.StageScheduler(
            lambda service: self.targets.get(service, []), self.pools.get, self.find
        )

    def find(self, target_id: str) -> targets.Target | None:
        known = (target for items in self.targets.values() for target in items)
        return next((target for target in known if target.target_id == target_id), None)

    def submit(self, request_id: str, now_ms: int = 0, **changes: Any) -> object:
        return self.scheduler.submit(_request(request_id, **changes), now_ms)

    def plan(self, now_ms: int) -> list[stage_workers.Call]:
        calls, _ = self.scheduler.plan(now_ms)
        return calls

    def done(self, call: stage_workers.Call, now_ms: int) -> list[stage_scheduler.Finished]:
        results = [
            ports.PieceResult(
                f"{call.target.address}/{o.request_id}-{o.stage_index}-{o.piece_index}"
            )
            for o in call.orders
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
        aim_ms=1_000,
        deadline_ms=5_000,
    )
    return attrs.evolve(request, **changes)


def test_pieces_of_several_requests_share_a_call() -> None:
    """Guards against a call for each request, which a target with one slot cannot carry."""
    world = World()
    for name in ("r1", "r2", "r3"):
        assert world.submit(name) is None
    (call,) = world.plan(0)
    assert [order.request_id for order in call.orders] == ["r1", "r1", "r2", "r2"]
    assert world.plan(10) == []
    assert {finished.job.request.request_id for finished in world.done(call, 240)} == {"r1", "r2"}
    (rest,) = world.plan(240)
    assert [order.request_id for order in rest.orders] == ["r3", "r3"]


def test_later_stage_gets_all_handles_of_the_stages_it_needs() -> None:
    """Guards against pieces with inputs of another request, only some of them, or none."""
    world = World()
    world.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (first,) = world.plan(0)
    assert all(order.piece_key == "key" and order.inputs == () for order in first.orders)
    assert world.done(first, 220) == []
    (second,) = world.plan(220)
    (order,) = second.orders
    address = first.target.address
    assert order.piece_key is None
    assert order.inputs == (f"{address}/r1-0-0", f"{address}/r1-0-1")
    (finished,) = world.done(second, 440)
    assert finished.failure is None
    assert finished.job.results().handles == (f"{second.target.address}/r1-1-0",)


def test_stage_without_pieces_is_passed_through() -> None:
    """Guards against a chain that waits for pieces that the request does not have."""
    world = World()
    world.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 0, 10), ("a", (1,), 1, 10)])
    (first,) = world.plan(0)
    world.done(first, 210)
    (second,) = world.plan(210)
    assert second.orders[0].inputs == (f"{first.target.address}/r1-0-0",)


@pytest.mark.parametrize(
    ("size_bytes", "sizes"),
    [
        pytest.param(10, [4], id="room-for-all"),
        pytest.param(300, [2], id="room-for-one-step"),
        pytest.param(600, [], id="no-room"),
    ],
)
def test_call_fits_into_the_room_of_its_target(size_bytes: int, sizes: list[int]) -> None:
    """Guards against calls whose results the target has no room for."""
    world = World()
    for name in ("r1", "r2"):
        world.submit(name, stages=[("a", (), 2, size_bytes)])
    assert [len(call.orders) for call in world.plan(0)] == sizes


def test_room_counts_until_the_target_has_freed_it() -> None:
    """Guards against calls that are sent before the room of earlier results is free."""
    world = World()
    world.submit("r1", stages=[("a", (), 2, 400)])
    world.submit("r2", stages=[("a", (), 2, 400)])
    (first,) = world.plan(0)
    world.done(first, 220)
    assert world.plan(220) == []
    world.scheduler.release("r1")
    assert world.plan(230) == []
    assert len(world.confirm_freed()) == 2
    (second,) = world.plan(240)
    assert {order.request_id for order in second.orders} == {"r2"}


def test_room_of_results_that_were_never_freed_comes_back() -> None:
    """Guards against a target that is left out for good after a lost call."""
    world = World()
    world.submit("r1", stages=[("a", (), 2, 400)])
    (first,) = world.plan(0)
    world.done(first, 220)
    world.scheduler.release("r1")
    world.scheduler.take_freed()
    world.submit("r2", 300, stages=[("a", (), 2, 400)])
    assert world.plan(300) == []
    world.submit("r3", 4_300, stages=[("a", (), 2, 400)])
    assert len(world.plan(4_300)) == 1


def test_inputs_are_freed_once_their_call_has_begun() -> None:
    """Guards the room of a chain, and that a failed call has its inputs made again."""
    world = World()
    world.scheduler._submitted_ms = 0
    world.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = world.plan(0)
    world.done(first, 210)
    (second,) = world.plan(210)
    world.scheduler.on_inputs_read(second, 260)
    assert world.confirm_freed() == [f"{first.target.address}/r1-0-0"]
    fault = stage_scheduler.CallFault("broken-answer", worked=True, reachable=True)
    assert world.scheduler.on_fault(second, fault, 400) == []
    (again,) = world.plan(500)
    assert again.target.service == "a"


def test_inputs_are_kept_while_another_host_may_be_in_charge() -> None:
    """Guards against inputs that are gone when the call's turn comes behind another host's."""
    world = World()
    world.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = world.plan(0)
    world.done(first, 210)
    (second,) = world.plan(210)
    world.scheduler.on_inputs_read(second, 260)
    assert world.confirm_freed() == []


def test_least_slack_comes_first_and_late_ones_last() -> None:
    """Guards against requests that miss their aim behind ones that have time, or missed theirs."""
    world = World()
    world.submit("late", aim_ms=50, stages=[("a", (), 4, 10)])
    world.submit("calm", aim_ms=2_000, stages=[("a", (), 4, 10)])
    world.submit("tight", aim_ms=400, stages=[("a", (), 4, 10)])
    order = []
    for now_ms in range(3):
        (call,) = world.plan(now_ms)
        order.append(call.orders[0].request_id)
        world.done(call, now_ms + 1)
    assert order == ["tight", "calm", "late"]


def test_overdue_call_is_given_to_another_target() -> None:
    """Guards against requests that wait for a slow or silent target until their deadline."""
    world = World(per_service=2)
    world.submit("r1", stages=[("a", (), 1, 10)])
    (first,) = world.plan(0)
    assert world.plan(300) == []
    wake_ms = world.scheduler.next_wake_ms()
    assert wake_ms is not None
    (second,) = world.plan(int(wake_ms) + 1)
    assert second.target is not first.target
    (finished,) = world.done(second, 900)
    assert finished.failure is None
    assert world.done(first, 1_000) == []
    # The second result of the same piece is not used, and its room is given back.
    assert world.confirm_freed() == [f"{first.target.address}/r1-0-0"]


@pytest.mark.parametrize(
    ("reason", "tries", "failure"),
    [
        pytest.param("error", 4, "stage-error", id="error-is-tried-again"),
        pytest.param("late", 1, "stage-late", id="late-ends-the-job"),
    ],
)
def test_piece_without_result(reason: str, tries: int, failure: str) -> None:
    """Guards against endless tries and against giving up at the first error."""
    world = World()
    world.submit("r1", stages=[("a", (), 1, 10)])
    finished: list[stage_scheduler.Finished] = []
    count = 0
    now_ms = 0
    while not finished and count < 10:
        (call,) = world.plan(now_ms)
        count += 1
        now_ms += 210
        finished = world.scheduler.on_results(call, [ports.PieceResult(None, reason)], now_ms)
    assert count == tries
    assert finished[0].failure is not None
    assert finished[0].failure.kind == failure


def test_gone_input_is_made_again() -> None:
    """Guards against a request that fails because a target lost a result."""
    world = World()
    world.submit("r1", stages=[("a", (), 1, 10), ("b", (0,), 1, 10)])
    (first,) = world.plan(0)
    world.done(first, 210)
    (second,) = world.plan(210)
    assert world.scheduler.on_results(second, [ports.PieceResult(None, "gone")], 400) == []
    (again,) = world.plan(400)
    assert again.target.service == "a"


def test_full_target_is_left_alone_and_the_pieces_go_elsewhere() -> None:
    """Guards against a loop of rejected calls."""
    world = World(per_service=2)
    world.submit("r1", stages=[("a", (), 1, 10)])
    (first,) = world.plan(0)
    fault = stage_scheduler.CallFault("rejected-503", worked=False, reachable=True)
    world.scheduler.on_fault(first, fault, 5)
    (second,) = world.plan(5)
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
    """Guards against work for requests whose callers have left when it is done."""
    world = World()
    for index in range(waiting):
        world.submit(f"w{index}", stages=[("a", (), 4, 10)], deadline_ms=60_000)
    failure = world.submit("r1", deadline_ms=deadline_ms)
    assert (failure is not None) is refused


def test_job_whose_deadline_is_too_near_is_dropped() -> None:
    """Guards against pieces for a request that can no longer be answered."""
    world = World()
    world.submit("r1", deadline_ms=400)
    calls, finished = world.scheduler.plan(300)
    assert calls == []
    assert finished[0].failure is not None
    assert finished[0].failure.kind == "too-late"


def test_results_of_a_dropped_request_are_freed() -> None:
    """Guards the room of targets against callers that leave."""
    world = World()
    world.submit("r1")
    (call,) = world.plan(0)
    world.scheduler.release("r1")
    assert world.done(call, 220) == []
    assert len(world.confirm_freed()) == 2


def test_unknown_service_is_a_failure_that_another_host_may_not_have() -> None:
    """Guards against a host without the configuration that holds requests."""
    world = World()
    failure = world.scheduler.submit(_request("r1", stages=[("x", (), 1, 1)]), 0)
    assert failure is not None
    assert failure.kind == "unknown-stage-service"


def _taken_over(world: World, first: stage_workers.Call) -> World:
    """Returns the world of another host that goes on with what `first` has made."""
    other = World()
    made = first.pieces[0].job.made_pieces()
    assert world.scheduler.hand_over(300)[0].failure == ports.StageFailure(ports.HANDED_OVER, 0)
    assert len(world.scheduler) == 0
    assert world.scheduler.take_freed() == []
    assert other.submit("r1", 300, stages=[("a", (), 2, 10), ("b", (0,), 1, 10)], made=made) is None
    return other


def test_another_host_goes_on_with_what_was_made() -> None:
    """Guards against stages that start anew when the host in charge stops."""
    world = World()
    world.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (first,) = world.plan(0)
    world.done(first, 220)
    other = _taken_over(world, first)
    (second,) = other.plan(300)
    (order,) = second.orders
    assert second.target.service == "b"
    assert order.inputs == tuple(f"{first.target.address}/r1-0-{piece}" for piece in range(2))
    (finished,) = other.done(second, 520)
    assert finished.failure is None
    assert len(other.confirm_freed()) == 2


def test_results_of_a_target_that_started_again_are_not_taken_over() -> None:
    """Guards against inputs that a target has lost."""
    world = World()
    made = (ports.MadePiece(0, 0, "h", "a0", 0), ports.MadePiece(0, 1, "i", "unknown", 1))
    world.submit("r1", made=made)
    (call,) = world.plan(0)
    assert len(call.orders) == 2


def test_results_whose_followers_are_done_are_freed() -> None:
    """Guards the room of targets, and against stages done twice, after a change of hosts."""
    world = World()
    made = (ports.MadePiece(0, 0, "h", "a0", 1), ports.MadePiece(1, 0, "i", "b0", 1))
    stages = [("a", (), 1, 10), ("b", (0,), 1, 10), ("a", (1,), 1, 10)]
    world.submit("r1", stages=stages, made=made)
    assert world.confirm_freed() == ["h"]
    (call,) = world.plan(0)
    assert [(order.stage_index, order.inputs) for order in call.orders] == [(2, ("i",))]


def test_job_in_a_call_is_handed_over_when_the_call_has_ended() -> None:
    """Guards against a piece that two hosts have made at the same time."""
    world = World()
    world.submit("r1", stages=[("a", (), 2, 10), ("b", (0,), 1, 10)])
    (call,) = world.plan(0)
    assert world.scheduler.hand_over(10) == []
    world.done(call, 220)
    (finished,) = world.scheduler.hand_over(220)
    assert len(finished.job.made_pieces()) == 2


def test_results_of_a_finished_job_are_freed_by_the_host_that_had_them_made() -> None:
    """Guards the room of targets against a change of hosts while an engine reads its inputs."""
    world = World()
    world.submit("r1")
    (call,) = world.plan(0)
    world.done(call, 220)
    assert world.scheduler.hand_over(230) == []
    assert world.scheduler.open_count == 0
    world.scheduler.release("r1")
    assert len(world.confirm_freed()) == 2
