from __future__ import annotations

import dispatch_factories as make
import pytest

from sesamehold.process import dispatch
from sesamehold.process import target_state
from sesamehold.request import events

UNKNOWN = target_state.Temperature.UNKNOWN
REFUSED_COLD = make.report(events.AttemptFault.REFUSED_COLD, load=None)
LOST = make.report(events.AttemptFault.CONNECTION_LOST, load=None)
GONE = make.report(events.AttemptFault.NO_CONNECTION, load=None)
ERROR = make.report(events.AttemptFault.ERROR_ANSWER)
COLD = target_state.Temperature.COLD
WARM = target_state.Temperature.WARM
FAULT = events.AttemptFault


def _state(*, reports_load: bool = True) -> target_state.TargetState:
    pool = make.version(reports_load=reports_load).pools[0]
    return target_state.TargetState.from_config(pool.targets[0], pool, zone_in_service=True)


def _run(
    state: target_state.TargetState, reports: list[dispatch.AttemptReport], now_ms: int = 0
) -> int:
    for number, report in enumerate(reports):
        request = make.attempt(number)
        state.begin(request.attempt, now_ms)
        now_ms += 10
        state.end(request.attempt, report, now_ms)
    return now_ms


# Guards against overload of a cold target that is wrongly considered warm.
@pytest.mark.parametrize(
    ("reports", "expected"),
    [
        pytest.param([], UNKNOWN, id="nothing known"),
        pytest.param([make.report()], WARM, id="reports warm"),
        pytest.param([make.report(load=make.COLD)], COLD, id="reports cold"),
        pytest.param([make.report(), make.report(load=make.COLD)], COLD, id="turns cold"),
        pytest.param([make.report(load=make.COLD), make.report()], WARM, id="warms up"),
        pytest.param([make.report(), REFUSED_COLD], COLD, id="refuses"),
        pytest.param([make.report(), make.report(load=make.RESTARTED)], COLD, id="new start id"),
        pytest.param([make.report(), LOST], UNKNOWN, id="lost"),
        pytest.param([make.report(), GONE], UNKNOWN, id="gone"),
    ],
)
def test_temperature(
    reports: list[dispatch.AttemptReport], expected: target_state.Temperature
) -> None:
    state = _state()
    _run(state, reports)
    assert state.temperature is expected


def test_answer_to_a_call_before_the_cold_signal_does_not_mark_warm() -> None:
    state = _state()
    early, late = make.attempt(1).attempt, make.attempt(2).attempt
    state.begin(early, 0)
    state.mark_cold(5)
    state.end(early, make.report(), 10)
    assert state.temperature is COLD
    state.begin(late, 20)
    state.end(late, make.report(), 30)
    assert state.temperature is WARM


def test_target_is_cold_when_its_zone_returns_to_service() -> None:
    state = _state()
    _run(state, [make.report()])
    state.configure(state.target, state.pool, zone_in_service=False, now_ms=50)
    assert not state.in_service()
    state.configure(state.target, state.pool, zone_in_service=True, now_ms=60)
    assert state.in_service()
    assert state.temperature is COLD


@pytest.mark.parametrize(
    ("now_ms", "expected"),
    [pytest.param(29_999, COLD, id="held"), pytest.param(30_000, WARM, id="ended")],
)
def test_cold_state_without_load_reports_expires(
    now_ms: int, expected: target_state.Temperature
) -> None:
    state = _state(reports_load=False)
    state.mark_cold(0)
    state.advance(now_ms)
    assert state.temperature is expected


# Guards against failing targets that stay in use, and against ejections for refusals or for short
# deadlines of callers.
@pytest.mark.parametrize(
    ("reports", "ejected"),
    [
        pytest.param([ERROR] * 2, False, id="two failures"),
        pytest.param([ERROR] * 3, True, id="three failures"),
        pytest.param(
            [ERROR] * 2 + [make.report()] + [ERROR] * 2,
            False,
            id="success in between",
        ),
        pytest.param([make.report(FAULT.REFUSED)] * 9, False, id="refusals are no failures"),
        pytest.param([make.report(FAULT.TIMEOUT)] * 9, False, id="short"),
        pytest.param([make.report(FAULT.TIMEOUT, duration_ms=2_000)] * 3, True, id="long"),
    ],
)
def test_ejection(reports: list[dispatch.AttemptReport], ejected: bool) -> None:
    state = _state()
    now_ms = _run(state, reports)
    assert state.ejected(now_ms) == ejected
    if ejected:
        assert not state.ejected(now_ms + 2_000)
        assert state.probing()
        _run(state, [make.report()], now_ms + 2_000)
        assert not state.probing()


def test_reported_load_of_other_hosts_decays() -> None:
    state = _state()
    state.record_load_report(dispatch.LoadReport(9, 2, cold=False, start_id="1"), 0, 0)
    assert [state.load(now_ms) for now_ms in (0, 500, 1_000, 5_000)] == [10, 5, 0, 0]
