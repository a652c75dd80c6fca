from __future__ import annotations

import dispatch_factories as make
import pytest

from sesamehold.process import dispatch
from sesamehold.process import policy_dispatcher
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.version import manifest

FAULT = events.AttemptFault


def _run(dispatcher: policy_dispatcher.PolicyDispatcher, count: int, duration_ms: int = 10) -> None:
    for number in range(1_000, 1_000 + count):
        request = make.attempt(number)
        assert make.granted(dispatcher.acquire(request, 0))
        dispatcher.release(request.attempt, make.report(duration_ms=duration_ms), 0)


# Guards against grants on targets that are leaving, out of service or full, which would interrupt
# or refuse the attempt.
@pytest.mark.parametrize(
    ("version", "allowed"),
    [
        pytest.param(make.version(), {"t0", "t1"}, id="all targets"),
        pytest.param(make.version(leaving=("t0",)), {"t1"}, id="leaving target"),
        pytest.param(make.version(zones_out=("z0",)), {"t1"}, id="zone out"),
    ],
)
def test_grants_go_to_targets_in_service(version: manifest.Manifest, allowed: set[str]) -> None:
    dispatcher = make.warm_dispatcher(version)
    targets = {make.granted(dispatcher.acquire(make.attempt(n), 0)) for n in range(20)}
    assert targets - {None} == allowed


@pytest.mark.parametrize(
    ("request_", "kind"),
    [
        pytest.param(make.attempt(1, deadline_ms=0), errors.DeadlineExceeded, id="deadline passed"),
        pytest.param(make.attempt(1, deadline_ms=50), errors.DeadlineUnreachable, id="too late"),
        pytest.param(
            make.attempt(1, deadline_ms=150, later_stages=(make.STAGE,)),
            errors.DeadlineUnreachable,
            id="too late for later stages",
        ),
        pytest.param(
            make.attempt(1, stage=manifest.Stage("x", manifest.StageKind.SERVICE, "none")),
            errors.NoTargetAvailable,
            id="unknown pool",
        ),
        pytest.param(make.attempt(1, account="limited"), errors.LimitExceeded, id="account limit"),
    ],
)
def test_denials(request_: dispatch.SlotRequest, kind: type[errors.Failure]) -> None:
    accounts = (make.account("limited", requests_per_s=0.001),)
    dispatcher = make.warm_dispatcher(make.version(accounts=accounts))
    _run(dispatcher, 20, duration_ms=100)
    dispatcher.acquire(make.attempt(2, account="limited"), 0)
    decision = dispatcher.acquire(request_, 1_000 if kind is errors.DeadlineExceeded else 0)
    assert isinstance(decision, dispatch.SlotDenied)
    assert isinstance(decision.failure, kind)
    assert decision.failure.ran is errors.RunStatus.NO


def test_attempt_is_denied_at_once_if_all_targets_are_out_of_service() -> None:
    dispatcher = make.warm_dispatcher(make.version(zones_out=("z0", "z1")))
    decision = dispatcher.acquire(make.attempt(1), 0)
    assert isinstance(decision, dispatch.SlotDenied)
    assert isinstance(decision.failure, errors.NoTargetAvailable)


def test_waiting_attempt_is_denied_when_it_can_no_longer_finish() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    _run(dispatcher, 20, duration_ms=100)
    for number in range(4):
        dispatcher.acquire(make.attempt(number), 0)
    assert dispatcher.acquire(make.attempt(9, deadline_ms=500), 0) == dispatch.SlotQueued(
        make.attempt(9).attempt
    )
    assert dispatcher.tick(390) == []
    [decision] = dispatcher.tick(410)
    assert isinstance(decision, dispatch.SlotDenied)
    assert isinstance(decision.failure, errors.DeadlineUnreachable)


def test_full_queue_evicts_from_the_account_with_the_largest_backlog() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    decisions = [dispatcher.acquire(make.attempt(n, account="flood"), 0) for n in range(1_004)]
    assert all(not isinstance(item, dispatch.SlotDenied) for item in decisions)
    assert isinstance(dispatcher.acquire(make.attempt(2_000, account="b"), 0), dispatch.SlotQueued)
    [denied] = dispatcher.tick(1)
    assert isinstance(denied, dispatch.SlotDenied)
    assert isinstance(denied.failure, errors.LimitExceeded)


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        pytest.param(None, 2, id="unknown target gets its slots"),
        pytest.param(make.COLD, 2, id="cold target gets its slots"),
        pytest.param(make.WARM, 4, id="warm target gets its limit"),
    ],
)
def test_slot_limit_depends_on_the_temperature(
    load: dispatch.LoadReport | None, expected: int
) -> None:
    dispatcher = make.dispatcher()
    dispatcher.configure(make.version(targets=1), 0)
    if load is not None:
        dispatcher.record_load_report("t0", load, 0, 0)
    decisions = [dispatcher.acquire(make.attempt(number), 0) for number in range(9)]
    assert sum(make.granted(item) is not None for item in decisions) == expected


def test_warm_report_serves_waiting_attempts() -> None:
    dispatcher = make.dispatcher()
    dispatcher.configure(make.version(targets=1, capacity_cold=0), 0)
    dispatcher.acquire(make.attempt(1), 0)
    assert [target.id for target in dispatcher.targets.take_due_probes(0)] == ["t0"]
    [decision] = dispatcher.record_load_report("t0", make.WARM, 1, 2)
    assert make.granted(decision) == "t0"


def test_target_that_turned_cold_is_reported_once() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    for number in (1, 2):
        dispatcher.acquire(make.attempt(number), 0)
    for number in (1, 2):
        report = make.report(FAULT.REFUSED_COLD, load=make.COLD)
        dispatcher.release(make.attempt(number).attempt, report, 5)
    assert dispatcher.take_newly_cold() == ["t0"]
    assert dispatcher.take_newly_cold() == []


def test_suspect_runs_alone_and_second_crash_refuses_it() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    bad, good = make.attempt(1, fingerprint=b"bad"), make.attempt(2, fingerprint=b"good")
    for request in (bad, good):
        dispatcher.acquire(request, 0)
    for request in (bad, good):
        dispatcher.release(request.attempt, make.report(FAULT.CONNECTION_LOST, load=None), 10)
    dispatcher.record_load_report("t0", make.WARM, 20, 20)

    assert make.granted(dispatcher.acquire(make.attempt(3, fingerprint=b"good"), 30)) == "t0"
    retry = make.attempt(1, fingerprint=b"bad", retry=2)
    other = make.attempt(4, fingerprint=b"other")
    for request in (retry, other):
        assert isinstance(dispatcher.acquire(request, 30), dispatch.SlotQueued)
    decisions = dispatcher.release(make.attempt(3).attempt, make.report(), 40)
    assert [item.attempt for item in decisions] == [retry.attempt]
    decisions = dispatcher.release(retry.attempt, make.report(FAULT.CONNECTION_LOST, load=None), 50)
    assert [item.attempt for item in decisions] == [other.attempt]

    again = dispatcher.acquire(make.attempt(5, fingerprint=b"bad"), 60)
    assert isinstance(again, dispatch.SlotDenied)
    assert isinstance(again.failure, errors.CrashSuspect)
    cleared = dispatcher.acquire(make.attempt(6, fingerprint=b"good"), 60)
    assert make.granted(cleared) == "t0"


def test_withdrawn_suspect_frees_its_reserved_target() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    dispatcher.suspects.record_crash(b"bad", "s", 0, 0)
    dispatcher.acquire(make.attempt(1), 0)
    suspect = make.attempt(2, fingerprint=b"bad")
    assert isinstance(dispatcher.acquire(suspect, 0), dispatch.SlotQueued)
    assert isinstance(dispatcher.acquire(make.attempt(3), 0), dispatch.SlotQueued)
    dispatcher.withdraw(suspect.attempt, 1)
    assert [make.granted(item) for item in dispatcher.tick(2)] == ["t0"]


def test_excluded_target_is_used_only_if_no_other_has_a_free_slot() -> None:
    dispatcher = make.warm_dispatcher()
    excluded = frozenset({"t0"})
    targets = [
        make.granted(dispatcher.acquire(make.attempt(n, excluded_targets=excluded), 0))
        for n in range(8)
    ]
    assert targets == ["t1"] * 4 + ["t0"] * 4


def test_bursts_of_short_and_long_attempts_leave_slots_for_each_other() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=2))
    long_stage = manifest.Stage("long", manifest.StageKind.SERVICE, "p")
    _run(dispatcher, 40, duration_ms=20)
    for number in range(9):
        request = make.attempt(number, stage=long_stage)
        dispatcher.acquire(request, 0)
        dispatcher.release(request.attempt, make.report(duration_ms=2_000), 0)
    dispatcher.tick(1_000)
    long = [make.attempt(n, stage=long_stage, deadline_ms=600_000) for n in range(100, 110)]
    started = [make.granted(dispatcher.acquire(request, 1_000)) for request in long]
    assert sum(item is not None for item in started) == 6
    assert make.granted(dispatcher.acquire(make.attempt(200), 1_000)) is not None


def test_grant_holds_the_figures_for_explain() -> None:
    decision = make.warm_dispatcher().acquire(make.attempt(1), 0)
    assert isinstance(decision, dispatch.SlotGranted)
    assert decision.rule == "power-of-two"
    assert {"alternatives", "load", "room", "waited_ms", "slack_ms"} <= decision.figures.keys()


def test_state_names_targets_and_queues_but_no_content() -> None:
    dispatcher = make.warm_dispatcher()
    dispatcher.acquire(make.attempt(1, fingerprint=b"secret"), 0)
    state = dispatcher.state(0)
    assert [row["target"] for row in state["targets"]] == ["t0", "t1"]
    assert "secret" not in str(state)


# Guards against wasted work under overload, when the attempts with the earliest deadlines have
# already waited so long that most of them would miss these deadlines.
def test_attempt_that_will_probably_be_late_is_served_last() -> None:
    dispatcher = make.warm_dispatcher(make.version(targets=1))
    for number in range(1_000, 1_040):
        request = make.attempt(number)
        dispatcher.acquire(request, 0)
        report = make.report(duration_ms=100 if number % 2 else 400)
        dispatcher.release(request.attempt, report, 0)
    for number in range(8):
        dispatcher.acquire(make.attempt(number), 500)
    late, soon = make.attempt(100, deadline_ms=1_000), make.attempt(101, deadline_ms=5_000)
    for request in (late, soon):
        assert isinstance(dispatcher.acquire(request, 500), dispatch.SlotQueued)
    order: list[dispatch.SlotDecision] = []
    for number in range(8):
        order += dispatcher.release(make.attempt(number).attempt, make.report(), 650)
    served = [item.attempt for item in order if make.granted(item)]
    assert served.index(soon.attempt) < served.index(late.attempt)
