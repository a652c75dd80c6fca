"""Several hosts with the real share and dispatch code, and a manually advanced clock."""

from __future__ import annotations

import attrs
import dispatch_factories as make
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from sesamehold.process import dispatch
from sesamehold.process import policy_dispatcher
from sesamehold.process import target_state
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import shares

HOSTS = ("h0", "h1", "h2")
TARGETS = ("t0", "t1")
CAPACITY_COLD = 1
MAX_SERVICE_MS = 30_000
# A running host with contact to the others receives a new version within this time.
PROPAGATION_MS = 5_000

hosts = strategies.sampled_from(HOSTS)
targets = strategies.sampled_from(TARGETS)


@attrs.define
class FakeFleetHealth:
    """Fake quorum check and pause detector; a partition is detected after the detection bound."""

    partitioned_ms: int | None = None
    paused_ms: int = -1

    def has_quorum(self, now_ms: int) -> bool:
        return (
            self.partitioned_ms is None
            or now_ms - self.partitioned_ms < shares.QUORUM_DETECTION_BOUND_MS
        )

    def paused_since(self, time_ms: int) -> bool:
        return self.paused_ms >= time_ms


@attrs.define
class Grant:
    host: str
    target: str
    granted_ms: int
    known_warm: bool


@attrs.define
class Host:
    dispatcher: policy_dispatcher.PolicyDispatcher
    health: FakeFleetHealth
    version: manifest.Manifest
    paused: bool = False


class Fleet(stateful.RuleBasedStateMachine):
    """Guards against overloaded cold targets, lost attempts and use of targets out of service."""

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.number = 0
        self.version = make.version(hosts=HOSTS, targets=len(TARGETS), capacity_cold=CAPACITY_COLD)
        self.fleet = {name: self._start(name) for name in HOSTS}
        self.grants: dict[ids.AttemptId, Grant] = {}
        self.waiting: dict[ids.AttemptId, str] = {}

    def _start(self, name: str) -> Host:
        health = FakeFleetHealth()
        dispatcher = make.dispatcher(name, quorum=health, pauses=health)
        dispatcher.configure(self.version, self.now_ms)
        return Host(dispatcher, health, self.version)

    def _apply(self, name: str, decisions: list[dispatch.SlotDecision]) -> None:
        host = self.fleet[name]
        zones_out = {zone.name for zone in host.version.zones if not zone.in_service}
        for decision in decisions:
            self.waiting.pop(decision.attempt, None)
            match decision:
                case dispatch.SlotGranted(attempt=attempt, target=target):
                    assert not target.leaving
                    assert target.zone not in zones_out
                    state = host.dispatcher.targets.find(target.id)
                    assert state is not None
                    warm = state.temperature is target_state.Temperature.WARM
                    self.grants[attempt] = Grant(name, target.id, self.now_ms, warm)
                case dispatch.SlotQueued(attempt=attempt):
                    self.waiting[attempt] = name
                case dispatch.SlotDenied(failure=failure):
                    assert failure.kind != "failure"

    def _end(self, attempt: ids.AttemptId, report: dispatch.AttemptReport) -> None:
        name = self.grants.pop(attempt).host
        decisions = self.fleet[name].dispatcher.release(attempt, report, self.now_ms)
        self._apply(name, decisions)

    def _reachable(self, name: str) -> bool:
        host = self.fleet[name]
        return host.health.partitioned_ms is None and not host.paused

    def _configure(self, name: str) -> None:
        host = self.fleet[name]
        if host.version.version < self.version.version:
            host.version = self.version
            self._apply(name, host.dispatcher.configure(self.version, self.now_ms))

    def _publish(self, version: manifest.Manifest) -> None:
        self.version = attrs.evolve(version, version=self.version.version + 1)
        for name in HOSTS:
            if self._reachable(name):
                self._configure(name)

    @stateful.rule(budget_ms=strategies.integers(1, 20_000), count=strategies.integers(1, 6))
    def acquire(self, budget_ms: int, count: int) -> None:
        for name in HOSTS * count:
            if self.fleet[name].paused:
                continue
            self.number += 1
            request = make.attempt(
                self.number,
                deadline_ms=self.now_ms + budget_ms,
                fingerprint=(self.number // 5).to_bytes(4, "big"),
            )
            self._apply(name, [self.fleet[name].dispatcher.acquire(request, self.now_ms)])

    @stateful.precondition(lambda self: self.grants)
    @stateful.rule(
        data=strategies.data(),
        warm=strategies.integers(0, 3),
        fault=strategies.sampled_from([None] * 9 + list(events.AttemptFault)),
    )
    def finish(
        self, data: strategies.DataObject, warm: int, fault: events.AttemptFault | None
    ) -> None:
        attempt = data.draw(strategies.sampled_from(sorted(self.grants, key=str)))
        if self.fleet[self.grants[attempt].host].paused:
            return
        # A target with attempts of other hosts that consider it cold has not become warm.
        others = self._cold_attempts(self.grants[attempt].target) > 1
        load = make.COLD if warm or others else make.WARM
        self._end(attempt, make.report(fault, load=load))

    @stateful.rule(target_id=targets)
    def restart_target(self, target_id: str) -> None:
        """Restarts a target: it is cold, its attempts fail and reachable hosts get a notice."""
        for name in HOSTS:
            if self._reachable(name):
                self.fleet[name].dispatcher.mark_cold(target_id, self.now_ms)
        lost = make.report(events.AttemptFault.CONNECTION_LOST, load=None)
        for attempt in [key for key, grant in self.grants.items() if grant.target == target_id]:
            if not self.fleet[self.grants[attempt].host].paused:
                self._end(attempt, lost)

    @stateful.rule(members=strategies.sets(hosts, min_size=1))
    def change_roster(self, members: set[str]) -> None:
        # Hosts of the old roster that continue need a majority that knows the new one.
        if all(self._reachable(name) for name in members):
            roster = tuple(host for host in make.version(hosts=tuple(sorted(members))).hosts)
            self._publish(attrs.evolve(self.version, hosts=roster))

    @stateful.rule(item=strategies.sampled_from(["z0", "z1", *TARGETS]))
    def toggle(self, item: str) -> None:
        """Takes a zone or target out of service, or returns it to service."""
        zones = tuple(
            attrs.evolve(zone, in_service=zone.in_service != (zone.name == item))
            for zone in self.version.zones
        )
        [pool] = self.version.pools
        changed = tuple(
            attrs.evolve(target, leaving=target.leaving != (target.id == item))
            for target in pool.targets
        )
        pools = (attrs.evolve(pool, targets=changed),)
        self._publish(attrs.evolve(self.version, zones=zones, pools=pools))

    @stateful.rule(
        name=hosts,
        paused=strategies.booleans(),
        replaced=strategies.booleans(),
        wait_ms=strategies.sampled_from([0, 45_000]),
    )
    def isolate(self, name: str, paused: bool, replaced: bool, wait_ms: int) -> None:
        """Partitions or pauses a host; operators may replace it in the meantime."""
        host = self.fleet[name]
        if paused:
            host.paused = True
        elif host.health.partitioned_ms is None:
            host.health.partitioned_ms = self.now_ms
        if replaced:
            self.change_roster({other for other in HOSTS if other != name})
        self.advance(wait_ms)

    @stateful.rule(name=hosts, learns=strategies.booleans())
    def recover(self, name: str, learns: bool) -> None:
        """Resumes a paused host with its outdated state; it may also reconnect to the others."""
        host = self.fleet[name]
        if host.paused:
            host.paused = False
            host.health.paused_ms = self.now_ms
            self._finish_overdue()
        if learns:
            host.health.partitioned_ms = None
            self._configure(name)

    @stateful.rule(name=hosts)
    def restart_host(self, name: str) -> None:
        self.grants = {key: item for key, item in self.grants.items() if item.host != name}
        self.waiting = {key: item for key, item in self.waiting.items() if item != name}
        self.fleet[name] = self._start(name)

    @stateful.rule(step_ms=strategies.sampled_from([10, 500, 5_000, 11_000, 45_000]))
    def advance(self, step_ms: int) -> None:
        end_ms = self.now_ms + step_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + 1_000)
            self._finish_overdue()
            for name, host in self.fleet.items():
                if not host.paused:
                    self._apply(name, host.dispatcher.tick(self.now_ms))
                if self._reachable(name) and self.now_ms - host.health.paused_ms >= PROPAGATION_MS:
                    self._configure(name)
        self.acquire(5_000, 2)

    def _finish_overdue(self) -> None:
        for attempt, grant in list(self.grants.items()):
            if self.now_ms - grant.granted_ms >= MAX_SERVICE_MS:
                if self.fleet[grant.host].paused:
                    # The target has ended the attempt; the host processes that when it resumes.
                    self.grants[attempt] = attrs.evolve(grant, known_warm=True)
                else:
                    self._end(attempt, make.report(events.AttemptFault.TIMEOUT, load=make.COLD))

    def _cold_attempts(self, target: str) -> int:
        return sum(
            grant.target == target and not grant.known_warm for grant in self.grants.values()
        )

    @stateful.invariant()
    def cold_targets_stay_within_capacity(self) -> None:
        for target in TARGETS:
            assert self._cold_attempts(target) <= CAPACITY_COLD

    def teardown(self) -> None:
        for name in HOSTS:
            self.fleet[name].paused = False
        self.advance(45_000)
        for name, host in self.fleet.items():
            self._apply(name, host.dispatcher.tick(self.now_ms + 5_000))
        assert not self.waiting


TestFleet = Fleet.TestCase
TestFleet.settings = settings(max_examples=100, stateful_step_count=40, deadline=None)


# The random state machine rarely generates these sequences. Each of them exceeds a cold-start share
# if the rule for it is missing.
@pytest.mark.parametrize("name", HOSTS)
@pytest.mark.parametrize("paused", [True, False], ids=["paused host", "cut host"])
@pytest.mark.parametrize("wait_ms", [5_000, 45_000], ids=["within hold-off", "after hold-off"])
def test_replaced_host_uses_no_slots(name: str, paused: bool, wait_ms: int) -> None:
    fleet = Fleet()
    fleet.isolate(name=name, paused=paused, replaced=True, wait_ms=wait_ms)
    if paused:
        fleet.recover(name=name, learns=False)
    fleet.acquire(budget_ms=1_000, count=6)
    fleet.cold_targets_stay_within_capacity()
    fleet.teardown()


# Guards against a flood of one account that uses the shares of the others.
@pytest.mark.parametrize(
    ("weights", "low", "high"),
    [
        pytest.param((1.0, 1.0), 45, 55, id="equal weights"),
        pytest.param((4.0, 1.0), 15, 25, id="flood has the larger weight"),
        pytest.param((1.0, 4.0), 75, 85, id="flood has the smaller weight"),
    ],
)
def test_flood_leaves_other_accounts_their_share(
    weights: tuple[float, float], low: int, high: int
) -> None:
    accounts = tuple(
        make.account(name, weight=weight)
        for name, weight in zip(("flood", "other"), weights, strict=True)
    )
    dispatcher = make.warm_dispatcher(make.version(accounts=accounts))
    queue = [make.attempt(n, account="flood", deadline_ms=60_000) for n in range(400)]
    queue += [make.attempt(n, account="other", deadline_ms=60_000) for n in range(400, 600)]
    decisions = [dispatcher.acquire(request, 0) for request in queue]
    running = [item.attempt for item in decisions if isinstance(item, dispatch.SlotGranted)]
    account_of = {request.attempt: request.account for request in queue}
    served = []
    for now_ms in range(100):
        for item in dispatcher.release(running.pop(0), make.report(), now_ms):
            running.append(item.attempt)
            served.append(account_of[item.attempt])
    assert low <= 100 * served.count("other") / len(served) <= high
