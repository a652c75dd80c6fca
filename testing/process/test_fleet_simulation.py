"""Seeded simulations of several fleet views over a faulty network."""

from __future__ import annotations

import random

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from sesamehold_bench.process import view_network
from sesamehold_bench.version import sized_fleet

from sesamehold.process import messages
from sesamehold.version import manifest
from sesamehold.version import sections

LOSSY = view_network.Faults(loss=0.1, duplication=0.1, delay_ms=(1, 250))
CALM = view_network.Faults()
_State = messages.MemberState


def _network(host_count: int, seed: int, faults: view_network.Faults) -> view_network.ViewNetwork:
    network = view_network.ViewNetwork(random.Random(seed), faults)
    network.start_warm(sections.split(sized_fleet.build(host_count)).ok)
    network.run(3_000)
    return network


def _assert_never_reverted(network: view_network.ViewNetwork) -> None:
    for host in network.hosts.values():
        versions = [version for _, version in host.versions]
        assert versions == sorted(set(versions)), host.view.host_id


def _in_force(network: view_network.ViewNetwork) -> set[tuple[int, bytes]]:
    states = [host.view.configuration_state.in_force for host in network.running()]
    return {(state.version, state.content_hash) if state else (0, b"") for state in states}


@pytest.mark.parametrize("host_count", [3, 9, 30], ids="hosts-{}".format)
@pytest.mark.parametrize("faults", [CALM, LOSSY], ids=["calm", "lossy"])
def test_new_version_is_in_force_everywhere_within_5_s(
    host_count: int, faults: view_network.Faults
) -> None:
    """Guards against hosts that stay on an old version after a lost notice."""
    network = _network(host_count, 1, faults)
    network.publish(sized_fleet.build(host_count, 2, account_count=6))
    network.run(5_000)
    assert {version for version, _ in _in_force(network)} == {2}


@pytest.mark.parametrize("seed", range(4), ids="seed-{}".format)
def test_versions_out_of_order_end_in_the_newest(seed: int) -> None:
    """Guards against going back to an older version on stale reads and restarts of hosts."""
    network = _network(9, seed, LOSSY)
    rng = random.Random(seed)
    history = [sized_fleet.build(9, 1)]
    network.manifest_for_host = lambda host_id: rng.choice(history[-3:])
    for version in (2, 4, 3, 6, 5, 7):
        history.append(sized_fleet.build(9, version, account_count=version))
        network.publish(history[-1])
        if version == 4:
            network.crash("host-3")
            network.start("host-3", sized_fleet.address(3))
        network.run(rng.randrange(50, 1_500))
    network.manifest_for_host = None
    network.run(10_000)
    _assert_never_reverted(network)
    assert len(_in_force(network)) == 1
    assert {version for version, _ in _in_force(network)} == {7}


def _refusing(version: manifest.Manifest) -> tuple[manifest.ManifestFault, ...]:
    if len(version.accounts) == 6:
        return (manifest.ManifestFault("accounts", "six accounts are refused in this test"),)
    return ()


def test_refused_version_is_in_force_nowhere_and_a_later_one_everywhere() -> None:
    """Guards against hosts that apply a refused version or never get past it."""
    network = _network(9, 1, LOSSY)
    for host in network.running():
        host.view.configuration_state.validate = _refusing
    network.publish(sized_fleet.build(9, 2, account_count=6))
    network.run(5_000)
    assert {version for version, _ in _in_force(network)} == {1}
    network.publish(sized_fleet.build(9, 3, account_count=7))
    network.run(8_000)
    assert {version for version, _ in _in_force(network)} == {3}


def test_hosts_start_without_platform_from_peers_and_keep_the_version() -> None:
    """Guards against hosts that cannot start while the configuration service is down."""
    network = _network(9, 1, CALM)
    network.platform_down = True
    network.crash("host-1")
    network.start("host-1", sized_fleet.address(1))
    network.run(4_000)
    assert network.hosts["host-1"].view.is_ready()
    assert {version for version, _ in _in_force(network)} == {1}


def test_first_host_takes_traffic_without_peers_after_5_s() -> None:
    """Guards against a first host that waits forever for a majority to respond."""
    network = view_network.ViewNetwork(random.Random(1))
    network.published = sized_fleet.build(9)
    host = network.start("host-0", sized_fleet.address(0))
    network.run(4_500)
    assert not host.view.is_ready()
    network.run(1_000)
    assert host.view.is_ready()


@pytest.mark.parametrize(
    ("host_count", "minority"), [(3, 1), (9, 4), (30, 12)], ids=["1-of-3", "4-of-9", "12-of-30"]
)
@pytest.mark.parametrize("faults", [CALM, LOSSY], ids=["calm", "lossy"])
def test_partitioned_minority_loses_quorum_within_10_s(
    host_count: int, minority: int, faults: view_network.Faults
) -> None:
    """Guards against claims on both sides of a partition."""
    network = _network(host_count, 2, faults)
    ids = list(network.hosts)
    network.partition(set(ids[:minority]), set(ids[minority:]))
    network.run(10_000)
    now_ms = network.clock.now_ms()
    held = {host_id: network.hosts[host_id].view.has_quorum(now_ms) for host_id in ids}
    assert not any(held[host_id] for host_id in ids[:minority])
    assert all(held[host_id] for host_id in ids[minority:])
    network.partition()
    network.run(40_000)
    now_ms = network.clock.now_ms()
    assert all(network.hosts[host_id].view.has_quorum(now_ms) for host_id in ids)


def test_refuted_suspicion_recovers() -> None:
    """Guards against a host that stays suspected after a short interruption."""
    network = _network(9, 3, CALM)
    network.pause("host-4")
    network.run(4_000)
    states = {
        host.view.membership.members["host-4"].state
        for host_id, host in network.hosts.items()
        if host_id != "host-4"
    }
    assert _State.SUSPECT in states
    network.resume("host-4")
    network.run(10_000)
    for host_id, host in network.hosts.items():
        if host_id != "host-4":
            assert host.view.membership.is_alive("host-4")


def test_paused_host_is_not_trusted_until_a_new_probe_is_answered() -> None:
    """Guards against a resumed host that acts on its view from before the pause."""
    network = _network(9, 4, CALM)
    host = network.hosts["host-2"]
    before_ms = network.clock.now_ms()
    network.pause("host-2")
    network.run(12_000)
    # The host first reads datagrams from before and during the pause; none is recent evidence.
    network.resume("host-2")
    assert host.view.pause.paused_since(before_ms)
    assert host.view.is_stale()
    assert not host.view.has_quorum(network.clock.now_ms())
    network.run(4_000)
    assert not host.view.is_stale()
    assert host.view.has_quorum(network.clock.now_ms())


def test_leaving_host_is_known_everywhere_within_3_s() -> None:
    """Guards against hosts that miss the announcement of a shutdown and send new work there."""
    network = _network(30, 5, LOSSY)
    leaving = network.hosts["host-7"]
    network.run_action(leaving, leaving.view.announce_leaving)
    network.run(3_000)
    for host_id, host in network.hosts.items():
        assert not host.view.membership.is_alive("host-7"), host_id


class FleetMachine(stateful.RuleBasedStateMachine):
    """Runs publications, restarts, partitions and pauses in any order."""

    @stateful.initialize(seed=strategies.integers(0, 1_000))
    def start(self, seed: int) -> None:
        self.network = _network(5, seed, LOSSY)
        self.ids = list(self.network.hosts)
        self.newest = 1

    @stateful.rule(step=strategies.integers(-1, 2))
    def publish(self, step: int) -> None:
        version = max(1, self.newest + step)
        if version == self.newest:
            return
        self.network.publish(sized_fleet.build(5, version, account_count=version))
        self.newest = max(self.newest, version)

    @stateful.rule(index=strategies.integers(0, 4))
    def restart(self, index: int) -> None:
        self.network.crash(self.ids[index])
        self.network.start(self.ids[index], sized_fleet.address(index))

    @stateful.rule(size=strategies.integers(0, 2))
    def partition(self, size: int) -> None:
        self.network.partition(set(self.ids[:size]), set(self.ids[size:]))

    @stateful.rule(index=strategies.integers(0, 4))
    def pause_and_resume(self, index: int) -> None:
        self.network.pause(self.ids[index])
        self.network.run(2_000)
        self.network.resume(self.ids[index])

    @stateful.rule(duration_ms=strategies.integers(1, 4_000))
    def wait(self, duration_ms: int) -> None:
        self.network.run(duration_ms)

    @stateful.invariant()
    def never_reverts(self) -> None:
        if hasattr(self, "network"):
            _assert_never_reverted(self.network)

    def teardown(self) -> None:
        if not hasattr(self, "network"):
            return
        self.network.partition()
        self.newest += 1
        self.network.publish(sized_fleet.build(5, self.newest, account_count=self.newest))
        self.network.run(12_000)
        assert len(_in_force(self.network)) == 1
        assert {version for version, _ in _in_force(self.network)} == {self.newest}


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    max_examples=15,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
