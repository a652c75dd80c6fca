"""Tests the state machine of a request without sockets and with a manual clock."""

from __future__ import annotations

import factories
import pytest

from sesamehold.process import clock as clocks
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import execution
from sesamehold.request import ids

REPEATABLE = (factories.stage("encode"), factories.stage("rank"), factories.stage("generate"))
ORDER = (
    factories.stage("encode"),
    factories.stage("rank"),
    factories.stage("order", repeatable=False),
)
CALLER_KEY = ids.ExecutionKey.from_caller("account", "order-17")
HOST_KEY = ids.ExecutionKey.from_host("account", factories.REQUEST_ID)


def _success(attempt: ids.AttemptId, text: str = "t") -> events.AttemptSucceeded:
    return events.AttemptSucceeded(attempt, {"text": text}, events.Usage(1))


def _attempt(actions: list[events.Action]) -> ids.AttemptId:
    return next(a.attempt for a in actions if isinstance(a, events.StartAttempt))


def _kinds(actions: list[events.Action]) -> list[str]:
    return [type(action).__name__ for action in actions]


def test_request_runs_to_completion_without_sockets() -> None:
    """Guards against decisions that depend on a transport."""
    clock = clocks.ManualClock()
    machine = execution.RequestExecution(factories.request(*REPEATABLE), factories.budget())
    actions = machine.start(clock.now_ms())
    for _ in range(2):
        clock.advance(10)
        actions = machine.handle(_success(_attempt(actions)), clock.now_ms())
    attempt = _attempt(actions)
    delivered = [
        machine.handle(events.PieceReceived(attempt, index, 1, text), clock.now_ms())
        for index, text in enumerate("ab")
    ]
    assert [_kinds(item) for item in delivered] == [["DeliverPiece"], ["DeliverPiece"]]
    final = machine.handle(_success(attempt, "ab"), clock.now_ms())
    assert _kinds(final) == ["BookCost", "DeliverAnswer"]
    assert isinstance(final[-1], events.DeliverAnswer)
    assert final[-1].answer["outputs"]["generate"] == {"text": "ab"}


def _run_to_order(
    key: ids.ExecutionKey, *, first_submission: bool = False
) -> tuple[execution.RequestExecution, list[events.Action]]:
    request = factories.request(*ORDER, key=key, first_submission=first_submission)
    machine = execution.RequestExecution(request, factories.budget())
    actions = machine.start(0)
    for _ in range(2):
        actions = machine.handle(_success(_attempt(actions)), 0)
    return machine, actions


def _dispatched(key: ids.ExecutionKey) -> tuple[execution.RequestExecution, ids.AttemptId]:
    machine, _ = _run_to_order(key)
    attempt = _attempt(machine.handle(events.ClaimGranted(), 0))
    machine.mark_dispatched(attempt)
    return machine, attempt


def test_key_is_claimed_right_before_the_first_non_repeatable_stage() -> None:
    """Guards against holding a claim while earlier repeatable stages can still fail."""
    _, actions = _run_to_order(HOST_KEY)
    assert _kinds(actions) == ["BookCost", "ClaimKey"]


@pytest.mark.parametrize(
    ("key", "first_submission", "expected"),
    [
        pytest.param(HOST_KEY, False, errors.RunStatus.NO, id="host-made-key"),
        pytest.param(CALLER_KEY, True, errors.RunStatus.NO, id="declared-first-submission"),
        pytest.param(CALLER_KEY, False, errors.RunStatus.UNKNOWN, id="possible-repeat"),
    ],
)
def test_refusal_before_the_claim_states_truthfully_whether_it_ran(
    key: ids.ExecutionKey, first_submission: bool, expected: errors.RunStatus
) -> None:
    """Guards against reporting "not run" for a key that an earlier submission may have run."""
    machine, _ = _run_to_order(key, first_submission=first_submission)
    actions = machine.handle(events.DeadlinePassed(), 3_000)
    assert _kinds(actions) == ["ReleaseClaim", "DeliverFailure"]
    assert isinstance(actions[-1], events.DeliverFailure)
    assert actions[-1].failure.ran is expected


@pytest.mark.parametrize(
    ("ran", "kinds"),
    [
        pytest.param(
            errors.RunStatus.NO, ["StartAttempt"], id="refused-before-execution-is-sent-again"
        ),
        pytest.param(
            errors.RunStatus.UNKNOWN, ["FinishClaim", "DeliverFailure"], id="possibly-run-is-not"
        ),
    ],
)
def test_non_repeatable_call_is_sent_again_only_if_it_was_not_run(
    ran: errors.RunStatus, kinds: list[str]
) -> None:
    """Guards against a second execution of a call that may have reached a target."""
    machine, attempt = _dispatched(HOST_KEY)
    failed = events.AttemptFailed(attempt, events.AttemptFault.CONNECTION_LOST, ran)
    assert _kinds(machine.handle(failed, 0)) == kinds


def test_cancel_after_dispatch_lets_the_non_repeatable_call_finish() -> None:
    """Guards against losing the outcome of a dispatched call when its caller cancels."""
    machine, attempt = _dispatched(HOST_KEY)
    assert machine.handle(events.CancelRequested(), 0) == []
    assert _kinds(machine.handle(_success(attempt), 0))[-2:] == ["FinishClaim", "DeliverAnswer"]


@pytest.mark.parametrize(
    "event",
    [
        pytest.param(lambda old: _success(old, "late"), id="late-success"),
        pytest.param(
            lambda old: events.AttemptFailed(
                old, events.AttemptFault.TIMEOUT, errors.RunStatus.UNKNOWN, events.Usage(2)
            ),
            id="late-failure",
        ),
        pytest.param(lambda old: events.PieceReceived(old, 0, 1, "late"), id="late-piece"),
    ],
)
def test_late_event_of_an_earlier_attempt_only_books_its_cost(event: object) -> None:
    """Guards against delivering the answer of an earlier attempt instead of the current one."""
    machine = execution.RequestExecution(factories.request(*REPEATABLE), factories.budget())
    first = _attempt(machine.start(0))
    machine.handle(
        events.AttemptFailed(first, events.AttemptFault.SILENT, errors.RunStatus.UNKNOWN), 0
    )
    actions = machine.handle(event(first), 0)  # type: ignore[operator]
    assert all(isinstance(a, events.BookCost) and a.wasted for a in actions)
    assert machine.outputs == {}


def test_resumed_stream_continues_from_the_delivered_position() -> None:
    """Guards against missing and repeated pieces when a stream resumes at another target."""
    stages = (*REPEATABLE[:2], factories.stage("generate"))
    machine = execution.RequestExecution(factories.request(*stages), factories.budget())
    actions = machine.start(0)
    for _ in range(2):
        actions = machine.handle(_success(_attempt(actions)), 0)
    first = _attempt(actions)
    machine.handle(events.PieceReceived(first, 0, 1, "a"), 0)
    lost = events.AttemptFailed(
        first, events.AttemptFault.CONNECTION_LOST, errors.RunStatus.UNKNOWN, target_id="t1"
    )
    resumed = machine.handle(lost, 0)[-1]
    assert isinstance(resumed, events.StartAttempt)
    assert (resumed.resume_index, resumed.resume_text) == (1, "a")
    assert resumed.excluded_targets == {"t1"}
    repeated = events.PieceReceived(resumed.attempt, 0, 1, "a")
    assert machine.handle(repeated, 0) == []


@pytest.mark.parametrize(
    ("burst", "expected"),
    [
        pytest.param(0.0, 1, id="no-budget"),
        pytest.param(2.0, 3, id="budget-of-two"),
        pytest.param(100.0, execution.MAX_ATTEMPTS_PER_STAGE, id="attempt-limit"),
    ],
)
def test_retries_stop_at_the_budget(burst: float, expected: int) -> None:
    """Guards against a retry storm when every attempt of a stage fails."""
    machine = execution.RequestExecution(factories.request(*REPEATABLE), factories.budget(burst))
    actions = machine.start(0)
    attempts = 0
    while any(isinstance(action, events.StartAttempt) for action in actions):
        attempts += 1
        failed = events.AttemptFailed(
            _attempt(actions), events.AttemptFault.ERROR_ANSWER, errors.RunStatus.UNKNOWN
        )
        actions = machine.handle(failed, 0)
    assert attempts == expected
