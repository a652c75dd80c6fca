"""Tests by whose load a host chooses engines, without a network."""

from __future__ import annotations

import asyncio
import random

import pytest

from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import engine_choice
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import target_search
from sesamehold.version import rendezvous
from sesamehold.version import routing

ENGINES = [targets.Target(f"i-{index}", 1, "svc", "10.1.0.1:80", "z1") for index in range(6)]
RANKED = rendezvous.ranked([engine.target_id for engine in ENGINES], "p")
PROMPT = messages.Prompt(
    "m", 9_000, 100, (messages.PromptPart("p", 6_000), messages.PromptPart("q", 3_000))
)
HEAD = messages.RequestHead("r", "POST", "/", b"/", "h", (), prompt=PROMPT)
ROUTE = routing.Route(
    "r", "h", "/", routing.RequestKind.STREAMING, 9_000, 1_000, 1, (routing.ServiceShare("svc"),)
)
POOL = routing.EnginePool(64, 400_000)
MANY = engine_choice.MIN_HOSTS
HEARD = engine_choice.MIN_REPORTS
LIFETIME_MS = engine_load.REPORT_LIFETIME_MS


def _state(
    host_count: int, clock: clocks.ManualClock, pool: routing.EnginePool | None
) -> states.GatewayState:
    address = listening.Address("127.0.0.1", 1)
    config = settings.GatewaySettings("h", "z1", address, address, address, address, address)
    state = states.GatewayState.from_config(config, clock, random.Random(1))
    service = routing.Service("svc", 100, engine=pool)
    state.table = routing.RoutingTable.from_parts(1, (ROUTE,), (service,), {}, requires_key=False)
    for engine in ENGINES:
        state.directory.put(engine)
    _hear_hosts(state, host_count, 1)
    return state


def _hear_hosts(state: states.GatewayState, host_count: int, beat: int) -> None:
    beats = [hosts.HostBeat(f"10.2.0.1:{port}", 1, beat, "z1") for port in range(1, host_count)]
    state.hosts.merge(beats, state.clock.now_ms())


def _find(state: states.GatewayState) -> str:
    search = target_search.TargetSearch(state, ROUTE, "svc", HEAD)
    found = asyncio.run(search.find(None))
    assert found is not None
    search.start(found).end()
    return found.target_id


@pytest.mark.parametrize(
    ("host_count", "pool", "report_count", "age_ms", "is_shared"),
    [
        pytest.param(1, POOL, HEARD, 0, False, id="a single host"),
        pytest.param(MANY - 1, POOL, HEARD, 0, False, id="a few hosts"),
        pytest.param(MANY, None, HEARD, 0, False, id="engines without published capacity"),
        pytest.param(MANY, POOL, 0, 0, False, id="no report heard"),
        pytest.param(MANY, POOL, HEARD - 1, 0, False, id="too few reports heard"),
        pytest.param(MANY, POOL, HEARD, LIFETIME_MS, False, id="reports lapsed"),
        pytest.param(MANY, POOL, HEARD, 0, True, id="many hosts"),
    ],
)
def test_load_of_others_counts_only_where_it_is_shared(
    host_count: int,
    pool: routing.EnginePool | None,
    report_count: int,
    age_ms: int,
    is_shared: bool,
) -> None:
    """Guards against other decisions in small fleets, and against a host that is cut off."""
    clock = clocks.ManualClock()
    state = _state(host_count, clock, pool)
    work = {
        engine_load.engine_key(engine): engine_load.EngineWork(2, 9_000)
        for engine in ENGINES
        if engine.target_id == RANKED[0]
    }
    reports = [
        engine_load.HostLoad(f"10.2.0.1:{port}", 1, 1, 0, work)
        for port in range(1, report_count + 1)
    ]
    state.engine_load.merge(reports, clock.now_ms())
    clock.advance(age_ms)
    _hear_hosts(state, host_count, 2)
    assert _find(state) == RANKED[1 if is_shared else 0]
    choices = state.metrics.exposition().decode()
    assert ('choice="further-home",service="svc"} 1.0' in choices) == is_shared


def test_work_of_an_attempt_is_reported_until_it_ends() -> None:
    """Guards against work that other hosts do not hear of, or hear of for ever."""
    state = _state(MANY, clocks.ManualClock(), POOL)
    search = target_search.TargetSearch(state, ROUTE, "svc", HEAD)
    target = next(engine for engine in ENGINES if engine.target_id == RANKED[0])
    attempt = search.start(target)
    assert list(state.engine_load.report().work.values()) == [engine_load.EngineWork(1, 3_000)]
    attempt.on_answer(100, 100)
    assert list(state.engine_load.report().work.values()) == [engine_load.EngineWork(1, 0)]
    attempt.end()
    assert not state.engine_load.report().work
