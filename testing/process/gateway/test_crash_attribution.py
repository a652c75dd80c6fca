"""Tests the attribution of crashes to requests and prompt parts, without a network."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import lossy_gossip
import pytest

from sesamehold.connection.gateway import gossip
from sesamehold.process.gateway import crash_attribution

HOST = "10.0.0.1:1"
FAR_LATER_MS = crash_attribution.RETENTION_MS + 100_000


def _traits(name: str, *parts: str) -> crash_attribution.RequestTraits:
    return crash_attribution.RequestTraits.of(name.encode(), parts)


def _crash(
    table: crash_attribution.CrashAttribution, request: str, parts: str, target: str, now_ms: int
) -> None:
    table.record_crash(_traits(request, *parts.split()), target, now_ms - 10, now_ms)


# Crashes as request, parts, target and time in ms.
THREE_CRASHES = (
    ("r1", "shared dead", "a", 10_000),
    ("r1", "shared dead", "b", 10_500),
    ("r2", "shared dead", "c", 11_000),
)
BYSTANDERS = (
    ("s1", "shared chapter", "a", 10_000),
    ("s2", "shared chapter", "b", 10_500),
)


@pytest.mark.parametrize(
    ("crashes", "completions", "parts", "is_blamed"),
    [
        pytest.param(THREE_CRASHES, (), "dead", True, id="part of all crashes"),
        pytest.param(THREE_CRASHES[:2], (), "dead", False, id="two crashes"),
        pytest.param(THREE_CRASHES, (), "other", False, id="part of no crash"),
        pytest.param(
            THREE_CRASHES + BYSTANDERS, (), "chapter", False, id="bystander of two crashes"
        ),
        pytest.param(
            (*THREE_CRASHES, *BYSTANDERS, ("r3", "x dead", "d", 12_000)),
            (),
            "shared",
            False,
            id="crashes that another part explains better",
        ),
        pytest.param(THREE_CRASHES, ((11_500, "x dead"),), "dead", False, id="completed later"),
        pytest.param(
            THREE_CRASHES, ((9_000, "x dead"),), "dead", False, id="completed shortly ago"
        ),
        pytest.param(THREE_CRASHES, ((1_000, "x dead"),), "dead", True, id="completed long ago"),
        pytest.param(
            tuple(("r1", "dead", target, 10_000) for target in "abcd"),
            (),
            "dead",
            False,
            id="repetitions of one request",
        ),
        pytest.param(
            tuple((f"r{index}", "dead", "a", 10_000 + 100 * index) for index in range(6)),
            (),
            "dead",
            False,
            id="one target that breaks connections again and again",
        ),
    ],
)
def test_prompt_part_is_blamed_only_on_conclusive_evidence(
    crashes: tuple[tuple[str, str, str, int], ...],
    completions: tuple[tuple[int, str], ...],
    parts: str,
    is_blamed: bool,
) -> None:
    """Guards against sound requests that are refused for crashes beside them."""
    table = crash_attribution.CrashAttribution(HOST)
    events = [(time_ms, (request, parts, target)) for request, parts, target, time_ms in crashes]
    done = [(time_ms, parts) for time_ms, parts in completions]
    for time_ms, event in sorted([*events, *done], key=lambda item: item[0]):
        if isinstance(event, str):
            table.record_completion(_traits("sound", *event.split()), time_ms)
        else:
            _crash(table, *event, time_ms)
    assert (table.blamed_trait(_traits("new", parts), 12_000) is not None) == is_blamed


@pytest.mark.parametrize("shared", ["chapter-1", "chapter-2", "chapter-3", "chapter-4"])
@pytest.mark.parametrize("requests", [("r1", "r2", "r3"), ("r1", "r1", "r2")])
def test_part_that_sound_requests_share_is_not_blamed_instead_of_a_later_one(
    shared: str, requests: tuple[str, ...]
) -> None:
    """Guards against refusing sound requests that share all parts but one with fatal ones."""
    table = crash_attribution.CrashAttribution(HOST)
    for index, request in enumerate(requests):
        _crash(table, request, f"{shared} dead", "abc"[index], 10_000 + 500 * index)
    fatal = _traits("new", shared, "dead")
    assert table.blamed_trait(fatal, 11_500) == fatal.parts[1]
    assert table.blamed_trait(_traits("new", shared), 11_500) is None


def test_request_that_crashes_three_targets_is_blamed_as_a_whole() -> None:
    """Guards against refusing all requests that share the prompt parts of a fatal request."""
    table = crash_attribution.CrashAttribution(HOST)
    for index, target in enumerate("abc"):
        _crash(table, "fatal", "shared", target, 10_000 + index)
    _crash(table, "bystander", "shared", "a", 10_000)
    assert table.blamed_trait(_traits("fatal", "shared"), 11_000) == _traits("fatal").request
    assert table.blamed_trait(_traits("bystander", "shared"), 11_000) is None


def test_blame_lapses_after_the_retention_period() -> None:
    """Guards against a part that is refused for ever."""
    table = crash_attribution.CrashAttribution(HOST)
    for crash in THREE_CRASHES:
        _crash(table, *crash)
    assert table.blamed_trait(_traits("new", "dead"), FAR_LATER_MS) is None
    assert table.reports(FAR_LATER_MS) == []


@pytest.mark.parametrize(
    ("hosts", "wait_ms", "may_probe"),
    [
        pytest.param([HOST], 4_900, False, id="too early"),
        pytest.param([HOST], 5_100, True, id="after the delay"),
        pytest.param(
            [HOST, *(f"10.0.0.{i}:1" for i in range(2, 60))], 5_100, False, id="other host"
        ),
    ],
)
def test_one_host_probes_a_blamed_part_after_a_delay(
    hosts: list[str], wait_ms: int, may_probe: bool
) -> None:
    """Guards against a part that was blamed wrongly and is never tried again."""
    table = crash_attribution.CrashAttribution(HOST)
    for crash in THREE_CRASHES:
        _crash(table, *crash)
    trait = table.blamed_trait(_traits("new", "dead"), 11_000)
    assert trait is not None
    now_ms = 11_000 + wait_ms
    assert table.try_probe(trait, hosts, now_ms) == may_probe
    assert not table.try_probe(trait, hosts, now_ms + 1)
    if may_probe:
        _crash(table, "probe", "dead", "d", now_ms)
        assert not table.try_probe(trait, hosts, now_ms + wait_ms)
        assert table.try_probe(trait, hosts, now_ms + 4 * wait_ms)


def test_crashes_seen_by_different_hosts_add_up_and_count_once() -> None:
    """Guards against hosts that each wait for three crashes of their own."""
    tables = [crash_attribution.CrashAttribution(f"10.0.0.{index}:1") for index in range(3)]
    for table, crash in zip(tables, THREE_CRASHES, strict=True):
        _crash(table, *crash)
        # Every host also sees the first crash, with another request.
        _crash(table, f"also-{table.host_address}", "shared dead", "a", 10_001)
    for table in tables:
        for other in tables:
            message = gossip.GossipMessage((), tuple(other.reports(11_000)))
            decoded = gossip.decode(gossip.encode(message))
            assert decoded is not None
            table.merge(decoded.crash_reports, 11_000)
    for table in tables:
        part = _traits("", "dead").parts[0]
        assert table.crash_count(part) == 3
        assert table.blamed_trait(_traits("new", "dead"), 11_000) == part


def test_completion_elsewhere_clears_a_part_on_all_hosts() -> None:
    """Guards against a popular part that stays refused on hosts that do not serve it."""
    blaming = crash_attribution.CrashAttribution("10.0.0.1:1")
    serving = crash_attribution.CrashAttribution("10.0.0.2:1")
    for crash in THREE_CRASHES:
        _crash(blaming, *crash)
    serving.record_completion(_traits("sound", "dead"), 10_900)
    serving.merge(blaming.reports(11_000), 11_000)
    assert serving.blamed_trait(_traits("new", "dead"), 11_000) is None
    blaming.merge(serving.reports(11_100), 11_100)
    assert blaming.blamed_trait(_traits("new", "dead"), 11_100) is None


_CRASHES = st.tuples(
    st.sampled_from(["r1", "r2", "r3"]),
    st.sampled_from(["shared", "shared dead", "dead", "shared chapter"]),
    st.sampled_from("abcde"),
    st.integers(10_000, 20_000),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(_CRASHES, max_size=12), st.randoms(use_true_random=False))
def test_order_and_repetition_of_reports_do_not_matter(
    crashes: list[tuple[str, str, str, int]], rng: random.Random
) -> None:
    """Guards against hosts that blame different parts after they exchanged the same evidence."""
    sources = []
    for index, crash in enumerate(crashes):
        table = crash_attribution.CrashAttribution(f"10.0.1.{index}:1")
        _crash(table, *crash)
        sources.append(table.reports(20_000))
    blamed = []
    for _ in range(2):
        table = crash_attribution.CrashAttribution(HOST)
        shuffled = [*sources, *rng.sample(sources, len(sources) // 2)]
        rng.shuffle(shuffled)
        for reports in shuffled:
            table.merge(reports, 20_000)
        blamed.append(
            {part: table.blamed_trait(_traits("new", part), 20_000) for part in ("shared", "dead")}
        )
    assert blamed[0] == blamed[1]


class SimulatedFleet:
    """Hosts that send requests to engines and exchange evidence in lossy datagrams."""

    def __init__(self, host_count: int, seed: int, fatal_prefix: str = "") -> None:
        # Part that the fatal requests share with one in twenty sound ones, before the fatal part.
        self.fatal_prefix = fatal_prefix.split()
        self.rng = random.Random(seed)
        self.tables = [
            crash_attribution.CrashAttribution(f"10.0.{index // 200}.{index % 200}:1")
            for index in range(host_count)
        ]
        self.incarnations = list(range(host_count))
        self.waiting: dict[int, list[tuple[int, crash_attribution.RequestTraits]]] = {}
        self.crash_times_ms: list[int] = []
        self.sent_fatal_ms: list[int] = []
        self.refused_sound = 0
        self.sent_sound = 0

    def play(self, duration_ms: int, fatal_share: float, requests_per_s: float) -> None:
        for now_ms in range(10_000, 10_000 + duration_ms, 100):
            for _ in range(int(requests_per_s / 10 + self.rng.random())):
                self._send(now_ms, is_fatal=self.rng.random() < fatal_share)
            if now_ms % 300 == 0:
                self._start_waiting_requests(now_ms)
            if now_ms % 400 == 0:
                lossy_gossip.exchange(self.tables, self.rng, now_ms)

    def _send(self, now_ms: int, *, is_fatal: bool) -> None:
        host = self.rng.randrange(len(self.tables))
        parts = [f"chapter{self.rng.randrange(20)}"]
        if is_fatal:
            parts = [*self.fatal_prefix, "dead"]
        name = f"{now_ms}-{self.rng.random()}"
        traits = _traits(name, "shared", *parts)
        if self.tables[host].blamed_trait(traits, now_ms) is not None:
            self.refused_sound += not is_fatal
            return
        self.sent_sound += not is_fatal
        if is_fatal:
            self.sent_fatal_ms.append(now_ms)
        engine = self.rng.randrange(len(self.incarnations))
        self.waiting.setdefault(engine, []).append((host, traits))

    def _start_waiting_requests(self, now_ms: int) -> None:
        dead = _traits("", "dead").parts[0]
        for engine, waiting in self.waiting.items():
            crashes = any(dead in traits.parts for _, traits in waiting)
            for host, traits in waiting:
                if crashes:
                    incarnation = f"{engine}@{self.incarnations[engine]}"
                    self.tables[host].record_crash(traits, incarnation, now_ms - 200, now_ms)
                else:
                    self.tables[host].record_completion(traits, now_ms)
            if crashes:
                self.crash_times_ms.append(now_ms)
                self.incarnations[engine] += len(self.tables)
        self.waiting.clear()


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("fatal_prefix", ["", "chapter1", "chapter2", "chapter3"])
@pytest.mark.parametrize(
    ("host_count", "fatal_share"),
    [(9, 0.05), (9, 0.15), (9, 0.5), (60, 0.05), (60, 0.3), (200, 0.1)],
)
def test_fleet_stops_sending_a_fatal_part_and_serves_the_others(
    host_count: int, fatal_share: float, fatal_prefix: str, seed: int
) -> None:
    """Guards against crashes that go on after the fifth, and against refused sound requests."""
    fleet = SimulatedFleet(host_count, seed, fatal_prefix)
    fleet.play(30_000, fatal_share, requests_per_s=host_count)
    fifth_ms = sorted(fleet.crash_times_ms)[:5][-1]
    late_sends = [time_ms for time_ms in fleet.sent_fatal_ms if time_ms > fifth_ms + 3_000]
    assert len(late_sends) <= 3
    assert fleet.refused_sound <= 0.02 * fleet.sent_sound


def test_changes_of_blame_are_reported_once() -> None:
    """Guards against refusals that no log line explains, and against a line for each request."""
    table = crash_attribution.CrashAttribution(HOST)
    for request, _, target, time_ms in THREE_CRASHES:
        _crash(table, request, "dead", target, time_ms)
    part = _traits("", "dead").parts[0]
    assert table.take_blame_changes(11_000) == ([part], [])
    assert table.take_blame_changes(11_000) == ([], [])
    table.record_completion(_traits("sound", "dead"), 11_500)
    assert table.take_blame_changes(11_500) == ([], [part])


def _blame_known_requests(
    tables: list[crash_attribution.CrashAttribution], count: int, rng: random.Random
) -> None:
    """Lets all hosts know three crashes of each of some requests, for some time."""
    for table in tables:
        for number in rng.sample(range(count), count):
            for crash in range(3):
                target = f"t{number}-{crash}"
                _crash(table, f"known{number}", "", target, 10_000 + number + 100 * crash)
    for now_ms in range(12_000, 20_000, 400):
        lossy_gossip.exchange(tables, rng, now_ms, has_replies=True)


def _are_blamed(
    tables: list[crash_attribution.CrashAttribution], names: list[str], now_ms: int
) -> bool:
    return all(table.blamed_trait(_traits(name), now_ms) for table in tables for name in names)


@pytest.mark.parametrize(
    ("new_count", "bystander_count"),
    [
        pytest.param(1, 5, id="one-beside-others"),
        pytest.param(4, 0, id="four-alone"),
        pytest.param(4, 5, id="four-beside-others"),
    ],
)
@pytest.mark.parametrize("known_count", [4, 40])
@pytest.mark.parametrize("host_count", [8, 60, 200])
def test_new_evidence_reaches_all_hosts_beside_evidence_that_all_know(
    host_count: int, known_count: int, new_count: int, bystander_count: int
) -> None:
    """Guards against known requests that fill the reports, so that each host learns alone.

    Nobody completes the other requests at the targets that crash.
    """
    rng = random.Random(1)
    tables = [
        crash_attribution.CrashAttribution(f"10.0.{index // 200}.{index % 200}:1")
        for index in range(host_count)
    ]
    _blame_known_requests(tables, known_count, rng)
    names = [f"new{number}" for number in range(new_count)]
    crash_times_ms = [20_000, 20_800, 21_200]
    bound_ms = crash_times_ms[-1] + 3_000
    for now_ms in range(20_000, bound_ms, 400):
        if now_ms in crash_times_ms:
            for name in names:
                target = f"target-{name}-{now_ms}"
                _crash(rng.choice(tables), name, "", target, now_ms)
                for number in range(bystander_count):
                    bystander = f"bystander-{number}-of-{target}"
                    _crash(rng.choice(tables), bystander, "", target, now_ms)
        lossy_gossip.exchange(tables, rng, now_ms, has_replies=True)
    assert _are_blamed(tables, names, bound_ms)


@pytest.mark.parametrize(("known_count", "bound_ms"), [(4, 3_000), (12, 3_000), (60, 20_000)])
def test_host_that_starts_learns_of_every_blamed_request(known_count: int, bound_ms: int) -> None:
    """Guards against evidence that is told only once, or only of the requests in most crashes."""
    rng = random.Random(1)
    tables = [crash_attribution.CrashAttribution(f"10.0.0.{index}:1") for index in range(8)]
    _blame_known_requests(tables, known_count, rng)
    tables.append(crash_attribution.CrashAttribution("10.0.0.8:1"))
    for now_ms in range(20_000, 20_000 + bound_ms, 400):
        lossy_gossip.exchange(tables, rng, now_ms, has_replies=True)
    names = [f"known{number}" for number in range(known_count)]
    assert _are_blamed(tables[-1:], names, 20_000 + bound_ms)
