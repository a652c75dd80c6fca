"""Tests what hosts know of each other's work at engines, without a network."""

from __future__ import annotations

import random
import statistics

import attrs
import lossy_gossip
import pytest

from sesamehold.connection.gateway import gossip
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import targets

HEARTBEAT_MS = 400
LIFETIME_MS = engine_load.REPORT_LIFETIME_MS
ENGINES = [targets.Target(f"i-{index}", 1, "svc", "10.1.0.1:80", "z1") for index in range(45)]
ENGINE = ENGINES[0]
KEY = engine_load.engine_key(ENGINE)


def _report(
    requests: int, incarnation: int, sequence: int, age_ms: int = 0
) -> engine_load.HostLoad:
    work = {KEY: engine_load.EngineWork(requests, 100 * requests)} if requests else {}
    return engine_load.HostLoad("10.2.0.2:1", incarnation, sequence, age_ms, work)


@pytest.mark.parametrize(
    ("reports", "now_ms", "requests"),
    [
        pytest.param([], 0, 0, id="nothing heard"),
        pytest.param([_report(3, 1, 5)], 100, 3, id="heard"),
        pytest.param([_report(3, 1, 5), _report(1, 1, 6)], 100, 1, id="newer"),
        pytest.param([_report(3, 1, 5), _report(1, 1, 4, 100)], 100, 3, id="late"),
        pytest.param([_report(3, 1, 5), _report(3, 1, 5)], 100, 3, id="twice"),
        pytest.param([_report(3, 1, 5), _report(0, 1, 6)], 100, 0, id="work has ended"),
        pytest.param([_report(3, 1, 5), _report(1, 2, 0)], 100, 1, id="restarted with sequence 0"),
        pytest.param([_report(1, 2, 0), _report(3, 1, 9)], 100, 1, id="late, of the start before"),
        pytest.param([_report(3, 1, 5)], LIFETIME_MS, 0, id="host died"),
        pytest.param([_report(3, 1, 5, LIFETIME_MS)], 0, 0, id="too old when heard"),
        pytest.param([_report(3, 1, 5, 1_500)], 500, 0, id="age counts on"),
    ],
)
def test_newest_report_counts_for_its_lifetime(
    reports: list[engine_load.HostLoad], now_ms: int, requests: int
) -> None:
    """Guards against work that is counted twice, for a host that is gone, or by an older report."""
    load = engine_load.EngineLoad("10.2.0.1:1", 1)
    for report in reports:
        load.merge([report], 0)
    others = load.others(ENGINE, 2, now_ms)
    assert (others.requests, others.tokens) == pytest.approx((requests, 100 * requests))
    assert len(load.report_ages_ms(now_ms)) <= 1


def test_own_work_is_counted_until_it_ends() -> None:
    """Guards against tokens of a prompt that was read, and against work that is never removed."""
    load = engine_load.EngineLoad("10.2.0.1:1", 1)
    first, second = load.start(ENGINE, 900), load.start(ENGINE, 100)
    assert load.own(ENGINE) == engine_load.EngineWork(2, 1_000)
    first.on_first_event()
    assert load.own(ENGINE) == engine_load.EngineWork(2, 100)
    for _ in range(2):
        first.end()
    assert load.own(ENGINE) == engine_load.EngineWork(1, 100)
    second.end()
    second.on_first_event()
    assert load.report().work == {}
    load.merge([attrs.evolve(load.report(), work={KEY: engine_load.EngineWork(9, 9)})], 0)
    assert load.total(ENGINE, 2, 0) == engine_load.EngineWork()


def test_report_is_bounded() -> None:
    """Guards against reports that other hosts reject or that fill a datagram alone."""
    load = engine_load.EngineLoad("10.2.0.1:1", 1)
    for index, engine in enumerate(ENGINES):
        load.start(engine, index)
    assert len(load.report().work) == engine_load.MAX_ENGINES_PER_REPORT
    assert engine_load.engine_key(ENGINES[-1]) in load.report().work
    for index in range(3 * engine_load.MAX_KNOWN_HOSTS):
        load.merge([attrs.evolve(_report(1, 1, 1), address=f"10.3.0.1:{index + 1}")], 0)
    assert len(load.report_ages_ms(0)) == engine_load.MAX_KNOWN_HOSTS


def _fleet(host_count: int, rng: random.Random) -> list[engine_load.EngineLoad]:
    loads = [
        engine_load.EngineLoad(f"10.2.{index // 200}.{index % 200 + 1}:7000", 1_700_000_000_000)
        for index in range(host_count)
    ]
    for load in loads:
        for engine in rng.choices(ENGINES, [2] * 15 + [1] * 30, k=rng.randrange(4)):
            load.start(engine, 3_000)
    return loads


@pytest.mark.parametrize(("host_count", "min_heard"), [(8, 7), (60, 40), (300, 80)])
def test_estimate_holds_at_constant_bytes(host_count: int, min_heard: int) -> None:
    """Guards against reports that grow with the fleet, and estimates of a few hosts only."""
    rng = random.Random(1)
    loads = _fleet(host_count, rng)
    now_ms = 0
    for _ in range(20):
        now_ms += HEARTBEAT_MS
        lossy_gossip.exchange(loads, rng, now_ms)
    sizes = []
    for load in loads:
        reports = tuple(load.reports(now_ms))
        encoded = gossip.encode(gossip.GossipMessage((), loads=reports))
        sizes.append(len(encoded))
        decoded = gossip.decode(encoded)
        assert decoded is not None
        assert decoded.loads == reports
    ages_ms = [load.report_ages_ms(now_ms) for load in loads]
    heard = statistics.mean(map(len, ages_ms))
    bytes_per_s = lossy_gossip.FANOUT * statistics.mean(sizes) * 1_000 / HEARTBEAT_MS
    print(f"{host_count} hosts: {bytes_per_s:.0f} B/s sent, {heard:.0f} hosts heard")
    assert max(sizes) <= gossip.MAX_SIZE_BYTES
    assert heard >= min_heard
    actual = sum(load.own(engine).requests for load in loads for engine in ENGINES)
    estimates = [sum(load.total(e, host_count, now_ms).requests for e in ENGINES) for load in loads]
    assert statistics.mean(estimates) == pytest.approx(actual, rel=0.25)


def test_cut_off_host_falls_back_to_its_own_work() -> None:
    """Guards against a host that goes on by reports from before it was cut off, and others by its.

    All reports lapse on both sides, and count again once the host is back.
    """
    rng = random.Random(1)
    loads = _fleet(20, rng)
    lone, rest = loads[0], loads[1:]
    lone.start(ENGINE, 500)
    for now_ms in range(0, 2_000, HEARTBEAT_MS):
        lossy_gossip.exchange(loads, rng, now_ms)
    assert lone.report_ages_ms(now_ms)
    for now_ms in range(2_000, 2_000 + 2 * LIFETIME_MS, HEARTBEAT_MS):
        lossy_gossip.exchange(rest, rng, now_ms)
    assert not lone.report_ages_ms(now_ms)
    assert lone.total(ENGINE, 1, now_ms) == lone.own(ENGINE)
    assert all(report.address != lone.report().address for report in rest[0].reports(now_ms))
    lossy_gossip.exchange(loads, rng, now_ms)
    assert lone.report_ages_ms(now_ms)
