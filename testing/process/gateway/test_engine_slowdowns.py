"""Tests how hosts measure together which engines are slow, without a network."""

from __future__ import annotations

import random

import lossy_gossip
import pytest

from sesamehold.process.gateway import engine_slowdowns

ENGINES = range(45)
SLOW = frozenset(range(0, 45, 3))
HEARTBEAT_MS = 400


def _measure(
    hosts: list[engine_slowdowns.EngineSlowdowns],
    rng: random.Random,
    duration_ms: int,
    slow: frozenset[int] = SLOW,
    start_ms: int = 0,
    answers_per_s: float = 130.0,
) -> int:
    """Lets hosts get answers and mix their averages; returns the time of the end."""
    now_ms = start_ms
    while now_ms < start_ms + duration_ms:
        for _ in range(int(answers_per_s * HEARTBEAT_MS / 1_000)):
            key = rng.choice(ENGINES)
            usual = 0.8 if slow else 1.0
            ratio = (1.9 if key in slow else usual) * rng.uniform(0.5, 1.5)
            rng.choice(hosts).record(key, ratio)
        for host in hosts:
            host.update(ENGINES, len(hosts), now_ms)
            others = [other for other in hosts if other is not host]
            for other in rng.sample(others, min(lossy_gossip.FANOUT, len(others))):
                if rng.random() >= lossy_gossip.LOSS:
                    other.merge(host.reports())
        now_ms += HEARTBEAT_MS
    return now_ms


def _slow_engines(host: engine_slowdowns.EngineSlowdowns) -> set[int]:
    return {key for key in ENGINES if host.is_slow(key)}


@pytest.mark.parametrize("host_count", [16, 62, 300])
def test_hosts_agree_on_slow_engines_that_each_of_them_seldom_uses(host_count: int) -> None:
    """Guards against hosts that learn the speed of an engine only from their own few answers."""
    hosts = [engine_slowdowns.EngineSlowdowns() for _ in range(host_count)]
    _measure(hosts, random.Random(1), 8_000)
    wrong = sum(len(_slow_engines(host) ^ SLOW) for host in hosts)
    assert wrong <= 0.03 * host_count * len(ENGINES)


def test_engine_that_is_fast_again_is_usual_again() -> None:
    """Guards against an engine that is left alone for ever after it was slow once."""
    rng = random.Random(2)
    hosts = [engine_slowdowns.EngineSlowdowns() for _ in range(30)]
    now_ms = _measure(hosts, rng, 8_000)
    _measure(hosts, rng, 40_000, frozenset(), now_ms)
    assert not any(_slow_engines(host) for host in hosts)


def test_engine_without_answers_is_usual_again() -> None:
    """Guards against an engine that gets no requests because it got none."""
    host = engine_slowdowns.EngineSlowdowns()
    for key in ENGINES:
        for _ in range(10):
            host.record(key, 2.0 if key in SLOW else 1.0)
    host.update(ENGINES, 1, 0)
    assert _slow_engines(host) == SLOW
    host.update(ENGINES, 1, 60_000)
    assert not _slow_engines(host)


def test_host_that_is_cut_off_decides_by_its_own_answers() -> None:
    """Guards against an average that only other hosts could correct."""
    rng = random.Random(3)
    hosts = [engine_slowdowns.EngineSlowdowns() for _ in range(30)]
    now_ms = _measure(hosts, rng, 8_000)
    alone = hosts[0]
    for at_ms in range(now_ms, now_ms + 40_000, HEARTBEAT_MS):
        for key in ENGINES:
            alone.record(key, 2.0 if key == 1 else 1.0)
        alone.update(ENGINES, 1, at_ms)
    assert _slow_engines(alone) == {1}


@pytest.mark.parametrize(
    ("ratios", "expected"),
    [
        pytest.param((1.6,), [True], id="slow"),
        pytest.param((1.4,), [False], id="not-slow-enough"),
        pytest.param((1.6, 1.35), [True, True], id="stays-slow"),
        pytest.param((1.6, 1.1), [True, False], id="usual-again"),
    ],
)
def test_engine_does_not_change_its_class_with_each_answer(
    ratios: tuple[float, ...], expected: list[bool]
) -> None:
    """Guards against homes of prompts that move with each small change of an average."""
    host = engine_slowdowns.EngineSlowdowns()
    seen = []
    for step, ratio in enumerate(ratios):
        host.update((1, 2, 3), 1, step * 20_000)
        for _ in range(200):
            host.record(1, ratio)
            host.record(2, 1.0)
            host.record(3, 1.0)
        host.update((1, 2, 3), 1, step * 20_000)
        seen.append(host.is_slow(1))
    assert seen == expected


@pytest.mark.parametrize("host_count", [16, 60, 90])
def test_one_answer_does_not_make_an_engine_slow(host_count: int) -> None:
    """Guards against an observation that counts once more at each host that has none."""
    rng = random.Random(4)
    hosts = [engine_slowdowns.EngineSlowdowns() for _ in range(host_count)]
    now_ms = _measure(hosts, rng, 6_000, frozenset())
    keys = [*ENGINES, 100]
    for host in hosts:
        host.update(keys, host_count, now_ms)
    hosts[0].record(100, engine_slowdowns.MAX_RATIO)
    for _ in range(12):
        now_ms += HEARTBEAT_MS
        for host in hosts:
            host.update(keys, host_count, now_ms)
            for other in rng.sample(hosts, lossy_gossip.FANOUT):
                other.merge(host.reports())
    assert sum(host.is_slow(100) for host in hosts) <= 0.1 * host_count


def test_averages_of_engines_that_are_gone_are_dropped() -> None:
    """Guards against memory that grows with every engine that ever started."""
    host = engine_slowdowns.EngineSlowdowns()
    for key in range(1_000):
        host.record(key, 1.0)
    host.update(range(1_000), 1, 0)
    assert len(host.reports()) == engine_slowdowns.MAX_REPORTED
    host.update((1,), 1, 400)
    host.merge([engine_slowdowns.SlowdownReport(2, 1.0, 1.0)])
    assert [report.key for report in host.reports()] == [1]


def test_weight_of_an_average_is_bounded() -> None:
    """Guards against averages of a long time that other hosts refuse or cannot outweigh."""
    host = engine_slowdowns.EngineSlowdowns()
    for _ in range(5_000):
        host.record(1, 2.0)
    host.update((1,), 1, 0)
    (report,) = host.reports()
    assert report == engine_slowdowns.SlowdownReport(1, 2.0, engine_slowdowns.MAX_WEIGHT)
