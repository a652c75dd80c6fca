"""Work that the hosts of a fleet share: gossip, stages and copies of the store."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error
from expression import Result
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions
from grpclib import server as grpc_server

from sesamehold.connection.gateway import gossip
from sesamehold.connection.gateway import peer_service
from sesamehold.connection.gateway import stage_link
from sesamehold.connection.wire import gateway_grpc
from sesamehold.connection.wire import gateway_pb2
from sesamehold.process import listening
from sesamehold.process.gateway import directory_follower
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import stage_pool
from sesamehold.process.gateway import state as states
from sesamehold.request.gateway import ports

# A host that was lost, or that cannot do stages yet, is not asked again for this long.
AVOID_MS = 2_000
# Hosts that are asked for one request before it is refused.
MAX_STAGE_HOSTS = 4
# An answer to a rumour is sent again to others that ask within a quarter of a beat.
ANSWER_REUSE_MS = hosts.BEAT_MS // 4
# A host that another one has led for this long hands its stages over; news of a host that started
# or left takes about a beat to reach all.
LED_MS = 500
FETCH_INTERVAL_S = 0.25
FETCH_TIMEOUT_S = 1.0
_MS_PER_S = 1_000


@attrs.define(eq=False)
class Fleet:
    """This host's part in the fleet."""

    _state: states.GatewayState
    _stages: stage_pool.StagePool
    _follower: directory_follower.DirectoryFollower
    _endpoint: gossip.GossipEndpoint = attrs.field(init=False)
    _server: grpc_server.Server = attrs.field(init=False)
    _links: dict[str, stage_link.StageLink] = attrs.field(factory=dict)
    _owners: dict[str, str] = attrs.field(factory=dict)
    _led_since_ms: int | None = None
    _last_answer: tuple[int, gossip.Rumour] | None = None

    def __attrs_post_init__(self) -> None:
        self._endpoint = gossip.GossipEndpoint(self._on_rumour)
        service = peer_service.GatewayPeerService(self._stages, self._follower)
        self._server = grpc_server.Server([service])

    async def start(self) -> None:
        """Listens for other hosts."""
        address = self._state.config.peer_address
        await self._endpoint.start(address)
        await self._server.start(address.ip, address.port)

    async def close(self) -> None:
        """Closes all connections to other hosts."""
        self._endpoint.close()
        for link in list(self._links.values()):
            await link.close()
        self._server.close()
        await self._server.wait_closed()

    # ---- gossip --------------------------------------------------------------------------------

    async def beat(self) -> None:
        """Gossips until cancelled."""
        while True:
            now_ms = self._state.clock.now_ms()
            chosen = self._state.hosts.beat(self._follower.horizons(), now_ms)
            self._endpoint.send(chosen, self._rumour(now_ms, wants_answer=True))
            self._check_lead(now_ms)
            spread = 0.75 + 0.5 * self._state.rng.random()
            await asyncio.sleep(self._state.hosts.beat_interval_ms * spread / _MS_PER_S)

    def leave(self) -> None:
        """Tells the other hosts that this one begins its graceful shutdown; hands stages over."""
        now_ms = self._state.clock.now_ms()
        chosen = self._state.hosts.leave()
        self._endpoint.send(chosen, self._rumour(now_ms))
        self._stages.set_in_charge(self._state.hosts.lead(now_ms) == self._state.hosts.own.address)

    def _check_lead(self, now_ms: int) -> None:
        lead = self._state.hosts.lead(now_ms)
        if lead == self._state.hosts.own.address:
            self._led_since_ms = None
            self._stages.set_in_charge(True)
            return
        if self._led_since_ms is None:
            self._led_since_ms = now_ms
        if now_ms - self._led_since_ms >= LED_MS and self._stages.open_count:
            self._state.log.write("stages.handed-over", peer=lead, jobs=self._stages.open_count)
            self._stages.set_in_charge(False)

    def _answer(self, now_ms: int) -> gossip.Rumour:
        """Returns the answer to a rumour; many may be asked for at the same time."""
        made_ms, rumour = self._last_answer or (0, None)
        if rumour is None or now_ms - made_ms > ANSWER_REUSE_MS:
            rumour = self._rumour(now_ms)
            self._last_answer = (now_ms, rumour)
        return rumour

    def _rumour(self, now_ms: int, *, wants_answer: bool = False) -> gossip.Rumour:
        beats = tuple(self._state.hosts.entries(now_ms))
        found = tuple(self._state.suspects.export(now_ms)[-gossip.MAX_SUSPICIONS :])
        return gossip.Rumour(beats, found, wants_answer)

    def _on_rumour(self, rumour: gossip.Rumour, source: str) -> None:
        now_ms = self._state.clock.now_ms()
        for address in self._state.hosts.merge(rumour.beats, now_ms):
            self._state.log.write("host.appeared", peer=address)
        self._state.suspects.merge(rumour.suspicions, now_ms)
        if rumour.wants_answer:
            self._endpoint.send([source], self._answer(now_ms))

    # ---- stages --------------------------------------------------------------------------------

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> Result[ports.StageResults, ports.StageFailure]:
        """Has the stages of a request done by the host that owns them now."""
        started_ms = self._state.clock.now_ms()
        own = self._state.hosts.own.address
        made = request.made

        def on_progress(known: tuple[ports.MadePiece, ...]) -> None:
            nonlocal made
            made = known
            if listener is not None:
                listener(known)

        outcome: Result[ports.StageResults, ports.StageFailure]
        outcome = Error(ports.StageFailure(stage_link.LOST, _MS_PER_S))
        for _ in range(MAX_STAGE_HOSTS):
            now_ms = self._state.clock.now_ms()
            spent_ms = now_ms - started_ms
            left = attrs.evolve(
                request,
                aim_ms=request.aim_ms - spent_ms,
                deadline_ms=request.deadline_ms - spent_ms,
                made=made,
            )
            owner = self._state.hosts.lead(now_ms)
            if owner == own:
                self._owners.pop(request.request_id, None)
                outcome = await self._stages.run(left, on_progress)
            else:
                self._owners[request.request_id] = owner
                outcome = await self._link(owner).run(left, on_progress)
            if outcome.is_ok() or outcome.error.kind not in _OTHER_HOST:
                return outcome
            if owner == own and outcome.error.kind != ports.HANDED_OVER:
                return outcome
            now_ms = self._state.clock.now_ms()
            self._state.hosts.avoid(owner, now_ms + AVOID_MS)
            self._state.log.write(
                "stages.moved",
                request=request.request_id,
                peer=owner,
                reason=outcome.error.kind,
                made=len(made),
                spent_ms=now_ms - started_ms,
            )
        return outcome

    def release(self, request_id: str) -> None:
        """Frees the results of a request, or drops its work."""
        owner = self._owners.pop(request_id, None)
        if owner is None:
            self._stages.release(request_id)
        elif owner in self._links:
            self._links[owner].release(request_id)

    def _link(self, address: str) -> stage_link.StageLink:
        link = self._links.get(address)
        if link is None or link.closed:
            link = self._links[address] = stage_link.StageLink(address)
        return link

    # ---- copies of the store -------------------------------------------------------------------

    async def catch_up(self) -> None:
        """Fetches from other hosts what the store does not tell, until cancelled."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S)
            source = self._better_informed()
            if source is not None:
                await self._fetch(source)

    def _better_informed(self) -> str | None:
        """Returns a host that knows more of a prefix whose watch is out of contact."""
        own = self._follower.horizons()
        lost = [self._follower.lost_contact(prefix) for prefix in self._follower.replicas]
        candidates = [
            address
            for address, horizons in self._state.hosts.horizons(self._state.clock.now_ms()).items()
            if any(
                is_lost and theirs > known
                for is_lost, theirs, known in zip(lost, horizons, own, strict=False)
            )
        ]
        return self._state.rng.choice(candidates) if candidates else None

    async def _fetch(self, address: str) -> None:
        parsed = listening.Address.parse(address)
        channel = grpc_client.Channel(parsed.ip, parsed.port)
        request = gateway_pb2.ReplicaRequest()
        for prefix, replica in self._follower.replicas.items():
            request.parts.add(prefix=prefix, horizon=replica.horizon)
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                reply = await gateway_grpc.GatewayStub(channel).FetchReplica(request)
        except (
            grpc_exceptions.GRPCError,
            grpc_exceptions.StreamTerminatedError,
            OSError,
            TimeoutError,
        ) as error:
            self._state.log.write("replica.fetch-failed", peer=address, error=type(error).__name__)
            return
        finally:
            channel.close()
        count = peer_service.apply_reply(self._follower, reply)
        self._state.log.write("replica.fetched", peer=address, items=count)


_OTHER_HOST = frozenset({stage_link.LOST, "unknown-stage-service", ports.HANDED_OVER})
