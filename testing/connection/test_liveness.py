"""Tests that silent connections are distinguished from slow ones, with a manual clock."""

from __future__ import annotations

import pytest

from sesamehold.connection import liveness
from sesamehold.process import clock as clocks

Verdict = liveness.Verdict
BOUND_MS = 2_000


def _state(clock: clocks.ManualClock) -> liveness.ConnectionLiveness:
    return liveness.ConnectionLiveness(first_byte_bound_ms=BOUND_MS, since_ms=clock.now_ms())


def _time_until_probe(
    state: liveness.ConnectionLiveness, clock: clocks.ManualClock, progress: int
) -> int:
    """Returns the time until a probe is requested without further progress."""
    started_ms = clock.now_ms()
    while (step := state.observe(progress, clock.now_ms())).verdict is Verdict.WAIT:
        assert 0 < step.wait_ms <= liveness.RECHECK_MS
        clock.advance(step.wait_ms)
    assert step.verdict is Verdict.PROBE
    return clock.now_ms() - started_ms


@pytest.mark.parametrize(
    ("progress", "expected_ms"),
    [
        pytest.param(0, BOUND_MS, id="before-the-first-byte"),
        pytest.param(3, liveness.STREAM_BOUND_MS, id="within-a-stream"),
    ],
)
def test_probe_is_asked_for_after_the_bound(progress: int, expected_ms: int) -> None:
    """Guards against detecting a silent connection late and closing a slow one."""
    clock = clocks.ManualClock()
    assert _time_until_probe(_state(clock), clock, progress) == expected_ms


@pytest.mark.parametrize(
    ("probes", "progress", "expected"),
    [
        pytest.param([True], 0, Verdict.SILENT, id="working-probe"),
        pytest.param([True], 1, Verdict.WAIT, id="progress-during-the-probe"),
        pytest.param([False], 0, Verdict.WAIT, id="failed-probe"),
        pytest.param([False, False, True], 0, Verdict.SILENT, id="probe-works-again"),
        pytest.param([False, False, False], 0, Verdict.UNREACHABLE, id="three-failed-probes"),
        pytest.param([False, False, False], 1, Verdict.WAIT, id="progress-despite-failed-probes"),
    ],
)
def test_verdict_after_probes(probes: list[bool], progress: int, expected: Verdict) -> None:
    """Guards against closing a connection that makes progress or without a successful probe."""
    clock = clocks.ManualClock()
    state = _state(clock)
    _time_until_probe(state, clock, 0)
    for succeeded in probes:
        step = state.evaluate_probe(succeeded=succeeded, progress=progress, now_ms=clock.now_ms())
        clock.advance(step.wait_ms)
    assert step.verdict is expected


def test_pause_of_this_process_is_not_silence() -> None:
    """Guards against closing live connections after a pause of this process."""
    clock = clocks.ManualClock()
    state = _state(clock)
    state.observe(1, clock.now_ms())
    clock.advance(60_000)
    assert state.observe(1, clock.now_ms()).verdict is Verdict.PROBE
    step = state.evaluate_probe(succeeded=True, progress=2, now_ms=clock.now_ms())
    assert step.verdict is Verdict.WAIT


@pytest.mark.parametrize(
    ("repeatable", "remaining_ms", "expected_ms"),
    [
        pytest.param(True, 500, liveness.MIN_FIRST_BYTE_BOUND_MS, id="short-deadline"),
        pytest.param(True, 3_000, 1_500, id="half-of-the-remaining-time"),
        pytest.param(True, 600_000, 5_000, id="bounded-by-the-pool"),
        pytest.param(False, 500, 5_000, id="non-repeatable-waits-for-the-pools-longest-time"),
    ],
)
def test_bound_before_the_first_byte(repeatable: bool, remaining_ms: int, expected_ms: int) -> None:
    """Guards against an early close that leaves the outcome of a non-repeatable call unknown."""
    bound_ms = liveness.first_byte_bound_ms(
        repeatable=repeatable, remaining_ms=remaining_ms, max_service_ms=5_000
    )
    assert bound_ms == expected_ms
