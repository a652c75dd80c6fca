"""Guards the stages of requests while the host in charge of them changes."""

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
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import settings as gateway_settings
from sesamehold.process.gateway import state as states
from sesamehold.request.gateway import ports

REQUEST = ports.StageRequest("r1", "k", (), 0, 1_000, 5_000)
MADE = (ports.MadePiece(0, 0, "h", "t", 1),)
RESULTS = ports.StageResults(("h",))
HANDED_OVER = Error(ports.StageFailure(ports.HANDED_OVER, 0))
_Outcome = Result[ports.StageResults, ports.StageFailure]


@attrs.define(slots=False)
class _Runner:
    """Stages at one host: reports progress and gives the outcomes one after the other."""

    outcomes: list[_Outcome]
    requests: list[ports.StageRequest] = attrs.field(factory=list)
    closed: bool = False

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> _Outcome:
        self.requests.append(request)
        if listener is not None:
            listener(MADE)
        return self.outcomes.pop(0)

    def release(self, request_id: str) -> None:
        pass


def _fleet(local: _Runner, peers: dict[str, _Runner], *, own_start: int) -> fleet.Fleet:
    address = listening.Address(stand_in.HOST, 1)
    config = gateway_settings.GatewaySettings(
        "host-1", "z1", address, address, address, address, address
    )
    state = states.GatewayState.from_config(config, clocks.SystemClock(), random.Random(1))
    state.hosts.own = attrs.evolve(state.hosts.own, incarnation=own_start)
    beats = [
        hosts.HostBeat(name, start, 1, "z1", horizons=(1,))
        for start, name in enumerate(peers, start=1)
    ]
    state.hosts.merge(beats, state.clock.now_ms())
    replicas: Any = None
    made = fleet.Fleet(state, local, replicas)  # type: ignore[arg-type]
    made._links.update(peers)  # type: ignore[arg-type]
    return made


LOST = Error(ports.StageFailure("stage-host-lost", 0))


@pytest.mark.parametrize(
    ("first", "own_start"),
    [
        pytest.param(LOST, 9, id="host-in-charge-is-lost"),
        pytest.param(HANDED_OVER, 9, id="host-in-charge-hands-over"),
    ],
)
def test_next_host_goes_on_with_what_was_made(first: _Outcome, own_start: int) -> None:
    """Guards against a request that fails, or starts anew, with the host in charge."""

    async def main() -> None:
        peers = {"10.0.0.1:1": _Runner([first]), "10.0.0.2:1": _Runner([Ok(RESULTS)])}
        outcome = await _fleet(_Runner([]), peers, own_start=own_start).run(REQUEST)
        assert outcome.ok == RESULTS
        assert [len(peer.requests) for peer in peers.values()] == [1, 1]
        assert peers["10.0.0.2:1"].requests[0].made == MADE

    stand_in.run(main)


def test_stages_that_this_host_hands_over_go_on_elsewhere() -> None:
    """Guards against refusals by a host that believed for a moment to be in charge."""

    async def main() -> None:
        peer = _Runner([Ok(RESULTS)])
        local = _Runner([HANDED_OVER])
        made = _fleet(local, {"10.0.0.1:1": peer}, own_start=0)
        run = local.run

        async def run_and_lose(
            request: ports.StageRequest, listener: ports.ProgressListener | None = None
        ) -> _Outcome:
            made._state.hosts.own = attrs.evolve(made._state.hosts.own, incarnation=9)
            return await run(request, listener)

        local.run = run_and_lose  # type: ignore[method-assign]
        outcome = await made.run(REQUEST)
        assert outcome.ok == RESULTS
        assert peer.requests[0].made == MADE

    stand_in.run(main)
