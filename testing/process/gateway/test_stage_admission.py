"""Tests of admission and of the order of accounts at stages that are short of capacity."""

from __future__ import annotations

import random
from typing import Any

import attrs
import pytest

from sesamehold.process.gateway import stage_admission
from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# One full call of four pieces takes 240 ms.
POOL = routing.StagePool(1, 2, 4, 200.0, 10.0, 1_000_000, 4_000)
SERVICES = ("a", "b")
ONE = (("a", (), 4, 10),)
CHAIN = (("a", (), 4, 10), ("b", (0,), 4, 10))


def _scheduler() -> stage_scheduler.StageScheduler:
    by_service = {
        name: [targets.Target(f"{name}0", 1, name, f"10.0.0.{number}:1", "z1")]
        for number, name in enumerate(SERVICES)
    }
    by_id = {target.target_id: target for items in by_service.values() for target in items}
    return stage_scheduler.StageScheduler(
        lambda service: by_service.get(service, []),
        dict.fromkeys(SERVICES, POOL).get,
        by_id.get,
        lambda _: True,
        rng=random.Random(1),
    )


def _request(request_id: str, **changes: Any) -> ports.StageRequest:
    works = enumerate(changes.pop("stages", ONE))
    request = ports.StageRequest(
        request_id=request_id,
        piece_key="key",
        stages=tuple(ports.StageWork(index, *work) for index, work in works),
        urgency=0,
        latency_goal_ms=1_000,
        deadline_ms=6_000,
    )
    return attrs.evolve(request, **changes)


def _owners(call: stage_workers.Call) -> list[str]:
    return sorted({piece.job.request.account for piece in call.pieces})


@pytest.mark.parametrize(
    ("waiting", "new", "is_admitted"),
    [
        pytest.param({}, {"deadline_ms": 250}, True, id="nothing-waits"),
        pytest.param({}, {"deadline_ms": 230}, False, id="too-short-for-its-own-stage"),
        pytest.param({}, {"deadline_ms": 600, "request_ms": 400}, False, id="engine-too-slow"),
        pytest.param({}, {"deadline_ms": 1_000}, True, id="late-but-within-the-deadline"),
        pytest.param({"count": 20}, {"deadline_ms": 2_000}, False, id="queue-of-its-urgency"),
        pytest.param(
            {"count": 20, "urgency": 1}, {"deadline_ms": 2_000}, True, id="queue-is-less-urgent"
        ),
        pytest.param(
            {"count": 20, "stages": CHAIN},
            {"deadline_ms": 2_000, "stages": (("b", (), 4, 10),)},
            False,
            id="later-stages-of-waiting-jobs",
        ),
        pytest.param(
            {"count": 20, "account": "large"},
            {"deadline_ms": 2_000, "account": "small"},
            True,
            id="queue-is-of-another-account",
        ),
        pytest.param(
            {"count": 20, "account": "large"},
            {"deadline_ms": 2_000, "account": "large"},
            False,
            id="queue-is-of-the-same-account",
        ),
        pytest.param(
            {"count": 20, "latency_goal_ms": 0},
            {"deadline_ms": 2_000},
            True,
            id="queue-is-late-already",
        ),
    ],
)
def test_request_is_refused_only_if_it_cannot_end_in_time(
    waiting: dict[str, Any], new: dict[str, Any], is_admitted: bool
) -> None:
    """Guards against requests that wait in vain, and against refusals of what could be served."""
    scheduler = _scheduler()
    count = waiting.pop("count", 0)
    for number in range(count):
        assert scheduler.submit(_request(f"w{number}", deadline_ms=20_000, **waiting), 0) is None
    failure = scheduler.submit(_request("new", **new), 10)
    assert (failure is None) is is_admitted
    if failure is not None:
        assert failure.kind == "overloaded"


def test_retry_delays_are_spread_within_a_third_of_the_time_left() -> None:
    """Guards against callers that come back together, or after most of their time is over."""
    scheduler = _scheduler()
    for number in range(60):
        scheduler.submit(_request(f"w{number}", deadline_ms=30_000), 0)
    delays_ms = set()
    for number in range(20):
        failure = scheduler.submit(_request(f"new{number}", deadline_ms=3_000), 10)
        assert failure is not None
        delays_ms.add(failure.retry_after_ms)
    assert len(delays_ms) > 10
    assert max(delays_ms) <= 3_000 * stage_admission.MAX_RETRY_FRACTION
    assert min(delays_ms) > 0


def test_refused_requests_are_admitted_once_the_queue_is_gone() -> None:
    """Guards against room that is left idle because of an old estimate."""
    scheduler = _scheduler()
    for number in range(60):
        scheduler.submit(_request(f"w{number}", deadline_ms=30_000), 0)
    assert scheduler.submit(_request("new", deadline_ms=3_000), 10) is not None
    for number in range(60):
        scheduler.release(f"w{number}")
    now_ms = 10 + stage_admission.MAX_ESTIMATE_AGE_MS
    assert scheduler.submit(_request("new-again", deadline_ms=2_900), now_ms) is None


def test_job_that_cannot_end_behind_the_queue_is_given_up_early_and_not_run() -> None:
    """Guards against callers that are held until their deadline though their end is known."""
    scheduler = _scheduler()
    again = (("a", (), 4, 10), ("a", (0,), 4, 10))
    scheduler.submit(_request("started", urgency=1, stages=again, deadline_ms=3_000), 0)
    (call,) = scheduler.plan(0)[0]
    scheduler.submit(_request("waits", urgency=1, deadline_ms=3_000), 10)
    for number in range(30):
        scheduler.submit(_request(f"w{number}", latency_goal_ms=20_000, deadline_ms=30_000), 20)
    results = [ports.PieceResult(f"a0/{index}") for index in range(len(call.pieces))]
    assert scheduler.on_results(call, results, 240) == []
    scheduler.plan(240)
    _, finished = scheduler.plan(350)
    # Results of the started one would be wasted.
    (given_up,) = finished
    assert given_up.job.request.request_id == "waits"
    assert given_up.failure is not None
    assert given_up.failure.kind == "no-room-in-time"
    assert not given_up.job.started


@pytest.mark.parametrize(
    ("accounts", "large_count", "small_is_next"),
    [
        pytest.param(("large", "small"), 20, True, id="shortage"),
        pytest.param(("large", "small"), 1, False, id="no-shortage"),
        pytest.param(("large", "large"), 20, False, id="one-account"),
        pytest.param(("", ""), 20, False, id="anonymous"),
    ],
)
def test_small_account_has_its_turn_in_a_shortage(
    accounts: tuple[str, str], large_count: int, small_is_next: bool
) -> None:
    """Guards against a small account behind a burst, and against changes where none is needed."""
    scheduler = _scheduler()
    large, small = accounts
    for number in range(large_count + 1):
        scheduler.submit(_request(f"w{number}", account=large, deadline_ms=20_000), 0)
    (call,) = scheduler.plan(0)[0]
    scheduler.submit(_request("small", account=small, latency_goal_ms=1_500), 10)
    results = [ports.PieceResult(f"a0/{index}") for index in range(len(call.pieces))]
    scheduler.on_results(call, results, 240)
    (call,) = scheduler.plan(240)[0]
    is_next = {piece.job.request.request_id for piece in call.pieces} == {"small"}
    assert is_next is small_is_next
    changes = scheduler.take_shortage_changes()
    assert [change.is_short for change in changes] == ([True] if large_count > 1 else [])


def test_shortage_ends_when_nothing_waits() -> None:
    """Guards against counts of an old shortage that decide about a later one."""
    scheduler = _scheduler()
    for number in range(20):
        scheduler.submit(_request(f"w{number}", account="large", deadline_ms=20_000), 0)
    scheduler.plan(0)
    for number in range(20):
        scheduler.release(f"w{number}")
    scheduler.plan(50)
    changes = scheduler.take_shortage_changes()
    assert [(change.service, change.is_short) for change in changes] == [("a", True), ("a", False)]


def test_request_that_has_results_is_not_refused_by_the_next_leader() -> None:
    """Guards against refusals, after a change of leader, of requests that are nearly done."""
    scheduler = _scheduler()
    for number in range(60):
        scheduler.submit(_request(f"w{number}", deadline_ms=30_000), 0)
    changes: dict[str, Any] = {"stages": CHAIN, "deadline_ms": 2_000}
    assert scheduler.submit(_request("new", **changes), 10) is not None
    pieces = tuple(ports.CompletedPiece(0, piece, f"a0/{piece}", "a0", 1) for piece in range(4))
    assert scheduler.submit(_request("begun", completed_pieces=pieces, **changes), 10) is None


def test_new_leader_starts_with_equal_shares() -> None:
    """Guards against a change of leader in a burst after which one account is shut out."""
    scheduler = _scheduler()
    for name in ("large", "small"):
        for number in range(10):
            scheduler.submit(_request(f"{name}{number}", account=name, deadline_ms=20_000), 0)
    owners = []
    now_ms = 0
    for _ in range(6):
        (call,) = scheduler.plan(now_ms)[0]
        owners += _owners(call)
        results = [ports.PieceResult(f"a0/{now_ms}-{index}") for index in range(len(call.pieces))]
        now_ms += 240
        scheduler.on_results(call, results, now_ms)
    assert owners.count("large") == owners.count("small") == 3
