"""Tests the execution of request stages while the leading host changes."""

from __future__ import annotations

import random
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result
import platform_stand_in as stand_in
import pytest

from sesamehold.connection.gateway import fleet
from sesamehold.connection.gateway import gossip
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import settings as gateway_settings
from sesamehold.process.gateway import state as states
from sesamehold.request.gateway import ports
from sesamehold.version import routing

REQUEST = ports.StageRequest("r1", "k", (), 0, 1_000, 5_000)
COMPLETED_PIECES = (ports.CompletedPiece(0, 0, "h", "t", 1),)
RESULTS = ports.StageResults(("h",))
HANDED_OVER = Error(ports.StageFailure(ports.HANDED_OVER, 0))
_Outcome = Result[ports.StageResults, ports.StageFailure]


@attrs.define(slots=False)
class _StageRunnerStub:
    """Stage runner stub that reports progress and returns the given outcomes in order."""

    outcomes: list[_Outcome]
    requests: list[ports.StageRequest] = attrs.field(factory=list)
    closed: bool = False

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> _Outcome:
        self.requests.append(request)
        if listener is not None:
            listener(COMPLETED_PIECES)
        return self.outcomes.pop(0)

    def release(self, request_id: str) -> None:
        pass


def _fleet(
    local: _StageRunnerStub, peers: dict[str, _StageRunnerStub], *, own_incarnation: int
) -> fleet.Fleet:
    address = listening.Address(stand_in.HOST, 1)
    config = gateway_settings.GatewaySettings(
        "host-1", "z1", address, address, address, address, address
    )
    state = states.GatewayState.from_config(config, clocks.SystemClock(), random.Random(1))
    state.hosts.local = attrs.evolve(state.hosts.local, incarnation=own_incarnation)
    beats = [
        hosts.HostBeat(name, start, 1, "z1", horizons=(1,))
        for start, name in enumerate(peers, start=1)
    ]
    state.hosts.merge(beats, state.clock.now_ms())
    replicas: Any = None
    instance = fleet.Fleet(state, local, replicas)  # type: ignore[arg-type]
    instance._links.update(peers)  # type: ignore[arg-type]
    return instance


HOST_LOST = Error(ports.StageFailure("stage-host-lost", 0))
LINK_RESET = Error(ports.StageFailure("stage-link-reset", 0))


@pytest.mark.parametrize(
    ("first", "own_incarnation"),
    [
        pytest.param(HOST_LOST, 9, id="leader-is-lost"),
        pytest.param(HANDED_OVER, 9, id="leader-hands-over"),
    ],
)
def test_next_host_continues_with_completed_pieces(first: _Outcome, own_incarnation: int) -> None:
    """Guards against a request that fails or restarts when the leading host is lost."""

    async def main() -> None:
        peers = {
            "10.0.0.1:1": _StageRunnerStub([first]),
            "10.0.0.2:1": _StageRunnerStub([Ok(RESULTS)]),
        }
        outcome = await _fleet(_StageRunnerStub([]), peers, own_incarnation=own_incarnation).run(
            REQUEST
        )
        assert outcome.ok == RESULTS
        assert [len(peer.requests) for peer in peers.values()] == [1, 1]
        assert peers["10.0.0.2:1"].requests[0].completed_pieces == COMPLETED_PIECES

    stand_in.run(main)


@pytest.mark.parametrize(
    ("outcomes", "run_counts"),
    [
        pytest.param([LINK_RESET, Ok(RESULTS)], [2, 0], id="once"),
        pytest.param([LINK_RESET, LINK_RESET], [2, 1], id="twice"),
        pytest.param([LINK_RESET, HOST_LOST], [2, 1], id="then-lost"),
    ],
)
def test_leader_whose_connection_was_reset_stays_the_leader(
    outcomes: list[_Outcome], run_counts: list[int]
) -> None:
    """Guards against hosts that turn to others, which hand the stages over until they are refused.

    Resets of many connections at once left every host with a leader of its own for two seconds.
    """

    async def main() -> None:
        peers = {
            "10.0.0.1:1": _StageRunnerStub(list(outcomes)),
            "10.0.0.2:1": _StageRunnerStub([Ok(RESULTS)]),
        }
        instance = _fleet(_StageRunnerStub([]), peers, own_incarnation=9)
        assert (await instance.run(REQUEST)).ok == RESULTS
        assert [len(peer.requests) for peer in peers.values()] == run_counts

    stand_in.run(main)


def test_stages_handed_over_by_this_host_continue_on_a_peer() -> None:
    """Guards against refusals by a host that was the leader only briefly."""

    async def main() -> None:
        peer = _StageRunnerStub([Ok(RESULTS)])
        local = _StageRunnerStub([HANDED_OVER])
        instance = _fleet(local, {"10.0.0.1:1": peer}, own_incarnation=0)
        run = local.run

        async def run_and_lose(
            request: ports.StageRequest, listener: ports.ProgressListener | None = None
        ) -> _Outcome:
            instance._state.hosts.local = attrs.evolve(instance._state.hosts.local, incarnation=9)
            return await run(request, listener)

        local.run = run_and_lose  # type: ignore[method-assign]
        outcome = await instance.run(REQUEST)
        assert outcome.ok == RESULTS
        assert peer.requests[0].completed_pieces == COMPLETED_PIECES

    stand_in.run(main)


@attrs.define
class _EndpointStub:
    """Gossip endpoint stub that records what is sent."""

    sent: list[tuple[list[str], gossip.GossipMessage]] = attrs.field(factory=list)

    def send(self, addresses: list[str], message: gossip.GossipMessage) -> None:
        self.sent.append((addresses, message))


@pytest.mark.parametrize(
    ("peer_count", "has_engines", "datagram_count"),
    [
        pytest.param(7, True, 0, id="a few hosts"),
        pytest.param(60, False, 0, id="no engines"),
        pytest.param(60, True, 1, id="many hosts"),
    ],
)
def test_load_reports_take_no_room_from_heartbeats(
    peer_count: int, has_engines: bool, datagram_count: int
) -> None:
    """Guards against live hosts that look dead because reports displace their heartbeats."""

    async def main() -> None:
        peers = {f"10.0.0.1:{port}": _StageRunnerStub([]) for port in range(1, peer_count + 1)}
        instance = _fleet(_StageRunnerStub([]), peers, own_incarnation=1)
        state = instance._state
        engine = routing.EnginePool(64, 400_000) if has_engines else None
        service = routing.Service("svc", 100, engine=engine)
        state.table = routing.RoutingTable.from_parts(1, (), (service,), {}, requires_key=False)
        now_ms = state.clock.now_ms()
        reports = [engine_load.HostLoad(address, 1, 1, 0, {}) for address in peers]
        state.engine_load.merge(reports, now_ms)
        heartbeat = instance._gossip_message(now_ms, wants_answer=True)
        assert not heartbeat.loads
        assert len(heartbeat.beats) == min(peer_count + 1, hosts.MAX_HOSTS_PER_DATAGRAM)
        endpoint = _EndpointStub()
        instance._endpoint = endpoint  # type: ignore[assignment]
        instance._share_load(now_ms)
        assert len(endpoint.sent) == datagram_count
        for addresses, message in endpoint.sent:
            assert len(addresses) == hosts.GOSSIP_FANOUT
            assert message.loads
            assert not message.beats
            assert not message.wants_answer

    stand_in.run(main)
