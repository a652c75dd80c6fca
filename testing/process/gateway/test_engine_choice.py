"""Tests the placement of requests on engines by many hosts under load, without a network."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs
import lossy_gossip
import pytest

from sesamehold.process.gateway import engine_choice
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous
from sesamehold.version import routing

POOL = routing.EnginePool(slots=64, cache_tokens=400_000)
HEARTBEAT_MS = 400
BASE_MS = 100.0
MS_PER_TOKEN = 1 / 60
ANSWER_MS = 600
SHARED_TOKENS = 6_300
OWN_TOKENS = 2_900


@attrs.define(eq=False)
class Engine:
    """Engine that reads prompts one after the other and keeps the shared parts that it read."""

    target: targets.Target
    speed: float
    free_ms: float = 0.0
    busy_ms: float = 0.0
    cached: set[str] = attrs.field(factory=set)

    def read(self, part: str, now_ms: float) -> float:
        """Returns the time until the first event of a request that arrives now."""
        tokens = OWN_TOKENS + (0 if part in self.cached else SHARED_TOKENS)
        self.cached.add(part)
        reading_ms = tokens * MS_PER_TOKEN / self.speed
        self.busy_ms += reading_ms
        self.free_ms = max(now_ms, self.free_ms) + reading_ms
        return self.free_ms - now_ms + BASE_MS / self.speed


@attrs.define(eq=False)
class Host:
    """Host that places requests by its own observations and by the reports of others."""

    ranking: target_ranking.TargetRanking
    load: engine_load.EngineLoad
    slowdowns: engine_slowdowns.EngineSlowdowns

    def reports(self, now_ms: int) -> list[engine_load.HostLoad]:
        return self.load.reports(now_ms)

    def merge(self, reports: list[engine_load.HostLoad], now_ms: int) -> None:
        self.load.merge(reports, now_ms)


@attrs.define
class Placement:
    """What requests met.

    Attributes:
        busiest: Reading time of the busiest engine as a multiple of the mean.
        mean_ms: Mean time to the first event.
        late_share: Share of requests that waited for more than a second.
        reread_share: Share of requests whose shared parts an engine read again.
    """

    busiest: float
    mean_ms: float
    late_share: float
    reread_share: float


def place(
    host_count: int,
    speeds: tuple[float, ...],
    rate_per_s: float,
    *,
    parts: int,
    is_shared: bool,
    interval_ms: int = HEARTBEAT_MS,
    duration_ms: int = 6_000,
    seed: int = 1,
) -> Placement:
    """Plays hosts that place requests which arrive at random times."""
    rng = random.Random(seed)
    names = [f"i-{index}" for index in range(len(speeds))]
    engines = {
        name: Engine(targets.Target(name, 1, "svc", "10.1.0.1:80", "z1"), speed)
        for name, speed in zip(names, speeds, strict=True)
    }
    candidates = [engine.target for engine in engines.values()]
    hosts = []
    for index in range(host_count):
        load = engine_load.EngineLoad(f"10.2.0.1:{index + 1}", 1)
        slowdowns = engine_slowdowns.EngineSlowdowns()
        ranking = target_ranking.TargetRanking("z1", load, slowdowns)
        hosts.append(Host(ranking, load, slowdowns))
    waits: list[float] = []
    rereads = 0
    due: list[tuple[float, int, object]] = []
    order = itertools.count()
    now_ms, gossip_ms = 0.0, 0
    while now_ms < duration_ms:
        now_ms += rng.expovariate(rate_per_s / 1_000)
        while gossip_ms <= now_ms:
            if is_shared:
                lossy_gossip.exchange(hosts, rng, gossip_ms)
                _mix_slowdowns(hosts, candidates, rng, gossip_ms)
            gossip_ms += interval_ms
        while due and due[0][0] <= now_ms:
            heapq.heappop(due)[2]()  # type: ignore[operator]
        host = rng.choice(hosts)
        part = f"p-{rng.randrange(parts)}"
        preferences = engine_choice.EnginePreferences(
            part, SHARED_TOKENS, "", 0, str(len(waits)), SHARED_TOKENS + OWN_TOKENS
        )
        report_count = len(host.load.report_ages_ms(int(now_ms)))
        if is_shared and report_count >= engine_choice.MIN_REPORTS:
            ranked = host.ranking.order_engines(
                candidates, preferences, POOL, host_count, int(now_ms)
            ).engines
        else:
            ranked = host.ranking.rank_engines(candidates, preferences, int(now_ms))
        target = ranked[0]
        home = host.ranking.preferred_engine(candidates, part)
        is_home = target.target_id == home
        attempt = host.ranking.start(target, preferences.unread_tokens(is_home=is_home))
        rereads += part not in engines[target.target_id].cached
        wait_ms = engines[target.target_id].read(part, now_ms)
        waits.append(wait_ms)
        heapq.heappush(
            due,
            (now_ms + wait_ms, next(order), lambda a=attempt, w=wait_ms: a.on_answer(w, int(w))),
        )
        heapq.heappush(due, (now_ms + wait_ms + ANSWER_MS, next(order), attempt.end))
    busy_ms = [engine.busy_ms for engine in engines.values()]
    return Placement(
        max(busy_ms) * len(busy_ms) / sum(busy_ms),
        sum(waits) / len(waits),
        sum(wait > 1_000 for wait in waits) / len(waits),
        rereads / len(waits),
    )


def _mix_slowdowns(
    hosts: list[Host], engines: list[targets.Target], rng: random.Random, now_ms: int
) -> None:
    keys = [engine_load.engine_key(engine) for engine in engines]
    for host in hosts:
        host.slowdowns.update(keys, len(hosts), now_ms)
        for other in rng.sample(hosts, 3):
            if rng.random() >= lossy_gossip.LOSS:
                other.slowdowns.merge(host.slowdowns.reports())


UNEVEN_SPEEDS = (0.7, 0.7, 1.7) * 15


@pytest.mark.parametrize(
    ("host_count", "speeds", "rate_per_s", "parts", "interval_ms", "mean_ratio"),
    [
        pytest.param(62, UNEVEN_SPEEDS, 140, 150, HEARTBEAT_MS, 1.1, id="calm"),
        pytest.param(
            62, UNEVEN_SPEEDS, 350, 150, HEARTBEAT_MS, 0.8, id="uneven engines under load"
        ),
        pytest.param(
            62, UNEVEN_SPEEDS, 500, 150, HEARTBEAT_MS, 0.6, id="uneven engines overloaded"
        ),
        pytest.param(62, (1.0,) * 45, 350, 150, HEARTBEAT_MS, 1.1, id="even engines"),
        pytest.param(62, UNEVEN_SPEEDS, 300, 8, HEARTBEAT_MS, 0.5, id="few popular parts"),
        pytest.param(300, UNEVEN_SPEEDS, 350, 150, HEARTBEAT_MS, 0.8, id="300 hosts"),
        pytest.param(62, UNEVEN_SPEEDS, 350, 150, 4 * HEARTBEAT_MS, 0.8, id="late reports"),
    ],
)
def test_load_of_all_hosts_shortens_waits(
    host_count: int,
    speeds: tuple[float, ...],
    rate_per_s: float,
    parts: int,
    interval_ms: int,
    mean_ratio: float,
) -> None:
    """Guards against hosts that place as if each were alone, or that all take the same engine."""
    alone = place(host_count, speeds, rate_per_s, parts=parts, is_shared=False)
    shared = place(
        host_count, speeds, rate_per_s, parts=parts, is_shared=True, interval_ms=interval_ms
    )
    print(alone, shared)
    assert shared.mean_ms <= mean_ratio * alone.mean_ms
    assert shared.late_share <= alone.late_share + 0.01
    assert shared.reread_share <= alone.reread_share + 0.1
    assert shared.busiest <= alone.busiest * 1.15


def _engines(
    tokens: dict[str, float], **changes: dict[str, object]
) -> list[engine_choice.EngineState]:
    engines = []
    for name, count in tokens.items():
        target = targets.Target(name, 1, "svc", "10.1.0.1:80", "z1")
        work = engine_load.EngineWork(1, count)
        state = engine_choice.EngineState(target, work, 1.0, False, 1.0, 0.0, is_backing_off=False)
        engines.append(attrs.evolve(state, **changes.get(name, {})))
    return engines


NAMES = [f"i-{index}" for index in range(12)]
RANKED = rendezvous.ranked(NAMES, "p")
LONG = engine_choice.EnginePreferences("p", 6_300, "", 0, "r", 9_200)
SHORT = engine_choice.EnginePreferences("p", 60, "", 0, "r", 600)
FULL = engine_load.EngineWork(64, 0)
NO_MEMORY = engine_load.EngineWork(63, 0)
FAILING: dict[str, object] = {"penalty": 5.0}
OTHER_ZONE: dict[str, object] = {
    "target": targets.Target(RANKED[5], 1, "svc", "10.1.0.1:80", "z2"),
    "extra_ms": -1_000.0,
}
NEAR_INPUTS = attrs.evolve(LONG, input_zone="z2")


@pytest.mark.parametrize(
    ("tokens", "changes", "preferences", "expected"),
    [
        pytest.param({}, {}, LONG, 0, id="idle"),
        pytest.param({0: 15_000}, {}, LONG, 0, id="shorter than reading again"),
        pytest.param({0: 15_000}, {}, SHORT, 1, id="longer than reading a short part again"),
        pytest.param({0: 30_000}, {}, LONG, 1, id="longer than reading again"),
        pytest.param({0: 90_000, 1: 90_000}, {}, LONG, 2, id="two homes have no room"),
        pytest.param(dict.fromkeys(range(12), 90_000), {}, LONG, 0, id="none has room"),
        pytest.param({}, {0: {"work": FULL}}, LONG, 1, id="no slot"),
        pytest.param({}, {0: {"work": NO_MEMORY}}, LONG, 1, id="no memory"),
        pytest.param({}, {0: {"is_backing_off": True}}, LONG, 1, id="backs off"),
        pytest.param({}, {0: {"slowdown": 4.0}}, SHORT, 1, id="slow"),
        pytest.param({}, {0: {"penalty": 5.0}}, LONG, 1, id="fails"),
        pytest.param({}, {0: FAILING, 1: FAILING}, LONG, 2, id="two homes fail"),
        pytest.param({}, {5: OTHER_ZONE}, NEAR_INPUTS, 5, id="stage results in another zone"),
    ],
)
def test_home_is_left_only_for_what_is_gained(
    tokens: dict[int, float],
    changes: dict[int, dict[str, object]],
    preferences: engine_choice.EnginePreferences,
    expected: int,
) -> None:
    """Guards against prompts that are read again for nothing, and against waits at a full home.

    Engines are named by their rank among the homes of the part.
    """
    pool = routing.EnginePool(slots=64, cache_tokens=130_000)
    engines = _engines(
        {name: tokens.get(rank, 0) for rank, name in enumerate(RANKED)},
        **{RANKED[rank]: change for rank, change in changes.items()},
    )
    order = engine_choice.order_engines(engines, preferences, pool, engine_choice.ReadingPace())
    assert RANKED.index(order.engines[0].target_id) == expected


def test_part_loses_homes_when_its_demand_falls() -> None:
    """Guards against a part that stays spread over many engines once few ask for it."""
    pace = engine_choice.ReadingPace()
    counts = []
    for busy in (0, 1, 2, 5, 2, 0):
        load = {name: 200_000 if rank < busy else 0 for rank, name in enumerate(RANKED)}
        order = engine_choice.order_engines(_engines(load), LONG, POOL, pace)
        assert order.homes == RANKED[: len(order.homes)]
        counts.append(len(order.homes))
    assert counts == [2, 2, 3, 6, 3, 2]


def test_requests_without_shared_parts_are_spread() -> None:
    """Guards against hosts that all send such requests to the engine that looks idle."""
    engines = _engines(dict.fromkeys(NAMES, 3_000) | {"i-0": 0})
    chosen = set()
    for index in range(50):
        preferences = engine_choice.EnginePreferences(None, request_id=f"r-{index}")
        order = engine_choice.order_engines(engines, preferences, POOL, engine_choice.ReadingPace())
        assert order.engines[0].target_id in engine_choice.draw(NAMES, f"r-{index}")
        chosen.add(order.engines[0].target_id)
    assert len(chosen) > len(NAMES) / 2
