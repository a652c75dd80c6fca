"""Tests of the load model of targets, and of the decisions on single targets that use it."""

from __future__ import annotations

import random
from typing import Any

import attrs
import pytest

from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import target_load
from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages

TARGET = targets.Target("i-1", 5, "s", "10.0.0.1:80", "z1", slots=4)
RESTARTED = attrs.evolve(TARGET, born_ms=6)
EARLIER = attrs.evolve(TARGET, born_ms=4)


def _sample(slowdown: float | None, running: int = 1, waiting: int = 0) -> messages.LoadSample:
    return messages.LoadSample(running, waiting, 4, slowdown)


def _observed(*samples: tuple[int, float | None]) -> target_load.TargetLoad:
    model = target_load.TargetLoad()
    for at_ms, slowdown in samples:
        model.observe(TARGET, _sample(slowdown), at_ms)
    return model


NOISE = tuple((at_ms, 2.6 if at_ms // 20 % 2 else 3.4) for at_ms in range(0, 400, 20))


@pytest.mark.parametrize(
    ("samples", "now_ms", "least", "most"),
    [
        pytest.param([], 0, 1.0, 1.0, id="nothing-known"),
        pytest.param([(0, None)], 0, 1.0, 1.0, id="no-slowdown-stated"),
        pytest.param([(0, 3.0)], 0, 3.0, 3.0, id="first-sample"),
        pytest.param([(0, 0.5)], 0, 0.5, 0.5, id="faster-than-usual"),
        pytest.param([(0, 100.0)], 0, 10.0, 10.0, id="bounded-above"),
        pytest.param([(0, 0.01)], 0, 0.1, 0.1, id="bounded-below"),
        pytest.param([(0, 1.0), (200, 3.0)], 200, 2.9, 3.0, id="change-after-a-pause"),
        pytest.param([(0, 1.0), *((t, 3.0) for t in (5, 60, 100))], 100, 2.5, 3.0, id="change"),
        pytest.param([(0, 1.0), (5, 3.0)], 5, 1.2, 1.6, id="single-outlier"),
        pytest.param([(0, 1.0), *[(0, 3.0)] * 9], 0, 2.5, 3.0, id="many-at-once"),
        pytest.param(NOISE, 380, 2.8, 3.2, id="noise"),
        pytest.param([(0, 3.0)], 250, 2.0, 2.0, id="half-life"),
        pytest.param([(0, 3.0)], 999, 1.05, 1.2, id="old"),
        pytest.param([(0, 3.0)], 1_000, 1.0, 1.0, id="too-old"),
        pytest.param([(0, 3.0), (2_000, 1.0)], 2_000, 1.0, 1.0, id="new-after-too-old"),
        pytest.param([(50, 3.0), (40, 1.0)], 50, 3.0, 3.0, id="late-sample"),
        pytest.param([(50, 3.0), (60, None)], 60, 2.9, 3.0, id="report-without-a-slowdown"),
    ],
)
def test_slowdown(
    samples: list[tuple[int, float | None]], now_ms: int, least: float, most: float
) -> None:
    """Guards against an estimate that lags behind, follows single samples, or never expires."""
    assert least <= round(_observed(*samples).slowdown(TARGET, now_ms), 9) <= most


@pytest.mark.parametrize(
    ("running", "waiting", "slowdown", "age_ms", "expected_ms"),
    [
        pytest.param(3, 0, 3.0, 0, 0.0, id="free-slot"),
        pytest.param(4, 0, 1.0, 0, 12.5, id="all-slots-taken"),
        pytest.param(4, 2, 1.0, 0, 62.5, id="queue"),
        pytest.param(4, 2, 3.0, 0, 187.5, id="queue-at-a-slow-target"),
        pytest.param(4, 2, 1.0, 250, 31.25, id="old-queue"),
        pytest.param(4, 2, 1.0, 1_000, 0.0, id="too-old-queue"),
        pytest.param(4, 2, None, 0, 0.0, id="no-slowdown-stated"),
    ],
)
def test_expected_start(
    running: int, waiting: int, slowdown: float | None, age_ms: int, expected_ms: float
) -> None:
    """Guards against requests that are sent behind a queue, or kept from one that is long gone."""
    model = target_load.TargetLoad()
    model.observe(TARGET, _sample(slowdown, running, waiting), 0)
    assert model.expected_start_ms(TARGET, 100.0, age_ms) == pytest.approx(expected_ms)


def test_target_that_restarts_while_slow_counts_as_usual() -> None:
    """Guards against a fresh start that is judged by statements of the one before."""
    model = _observed((0, 3.0))
    assert model.slowdown(RESTARTED, 0) == 1.0
    model.observe(RESTARTED, _sample(1.5), 10)
    # An answer of the earlier start is read late.
    model.observe(EARLIER, _sample(9.0), 20)
    model.observe(TARGET, _sample(9.0), 20)
    assert model.slowdown(RESTARTED, 10) == 1.5
    assert model.slowdown(TARGET, 20) == 1.0
    model.forget(TARGET.target_id)
    assert len(model) == 0


@pytest.mark.parametrize(
    ("head", "is_known", "slowdown", "malformed"),
    [
        pytest.param({"load": _sample(3.0)}, True, 3.0, 0, id="answer"),
        pytest.param({"load": _sample(3.0), "status": 503}, True, 3.0, 0, id="rejection"),
        pytest.param({"load": _sample(None)}, True, 1.0, 0, id="no-slowdown-stated"),
        pytest.param({"malformed_load": "many"}, True, 1.0, 1, id="malformed"),
        pytest.param({"load": _sample(3.0), "wrong_target": True}, True, 1.0, 0, id="of-another"),
        pytest.param({"load": _sample(3.0)}, False, 1.0, 0, id="removed-target"),
    ],
)
def test_state_feeds_the_model_from_answers(
    head: dict[str, Any], is_known: bool, slowdown: float, malformed: int
) -> None:
    """Guards against samples that are lost, belong to another target, or are kept for ever."""
    address = listening.Address("127.0.0.1", 1)
    config = settings.GatewaySettings("host-1", "z1", address, address, address, address, address)
    state = states.GatewayState.from_config(config, clocks.ManualClock(), random.Random(1))
    if is_known:
        state.directory.put(TARGET)
    state.on_answer(TARGET, messages.AnswerHead(**{"status": 200, "headers": (), **head}), 0)
    count = state.metrics.registry.get_sample_value(
        "sesamehold_malformed_loads_total", {"service": "s"}
    )
    assert (count or 0) == malformed
    assert len(state.target_load) == (slowdown != 1.0)
    assert state.target_load.slowdown(TARGET, state.clock.now_ms()) == slowdown


OTHER = targets.Target("i-2", 5, "s", "10.0.0.2:80", "z1", slots=4)


def _ranking(model: target_load.TargetLoad) -> target_ranking.TargetRanking:
    return target_ranking.TargetRanking(
        "z1", engine_load.EngineLoad("127.0.0.1:9", 1), engine_slowdowns.EngineSlowdowns(), model
    )


@pytest.mark.parametrize(
    ("sample", "first"),
    [
        pytest.param(None, "i-1", id="nothing-stated"),
        pytest.param(messages.LoadSample(9, 9, 4), "i-1", id="no-slowdown-stated"),
        pytest.param(_sample(1.0), "i-1", id="usual-speed"),
        pytest.param(_sample(3.0), "i-2", id="slow"),
        pytest.param(_sample(1.0, 4, 8), "i-2", id="queue"),
    ],
)
def test_ranking_uses_what_targets_state(sample: messages.LoadSample | None, first: str) -> None:
    """Guards against requests that go to a slow or full target while another one is free."""
    model = target_load.TargetLoad()
    ranking = _ranking(model)
    ranking.record_latency(OTHER, 60.0, 0)
    if sample is not None:
        model.observe(TARGET, sample, 0)
    assert ranking.rank_plain([TARGET, OTHER], 0)[0].target_id == first


def test_slowdown_is_not_counted_twice() -> None:
    """Guards against a slow target whose cost holds both its slow answers and its slowdown."""
    model = target_load.TargetLoad()
    ranking = _ranking(model)
    for now_ms in range(0, 10_000, 100):
        model.observe(TARGET, _sample(3.0), now_ms)
        ranking.record_latency(TARGET, 150.0, now_ms)
        ranking.record_latency(OTHER, 200.0, now_ms)
    assert ranking.rank_plain([OTHER, TARGET], 9_900)[0] is TARGET
