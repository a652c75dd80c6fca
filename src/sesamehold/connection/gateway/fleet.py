"""Cooperation between the hosts of a fleet: gossip, stage execution and store replicas."""

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
from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import stage_runner
from sesamehold.process.gateway import state as states
from sesamehold.request.gateway import ports

# A host that was lost, or that cannot run stages yet, is not selected again for this long.
FAILED_HOST_BACKOFF_MS = 2_000
# Number of times that the stages of one request are given to a host before it is refused.
MAX_STAGE_RUNS = 5
# A gossip reply is reused for other requesters within a quarter of a heartbeat interval.
REPLY_REUSE_MS = hosts.HEARTBEAT_INTERVAL_MS // 4
# A host hands its stages over once another host has been the leader for this long. Gossip about a
# host that started or left takes about one heartbeat interval to reach all hosts.
HANDOVER_DELAY_MS = 500
FETCH_INTERVAL_S = 0.25
FETCH_TIMEOUT_S = 1.0
_MS_PER_S = 1_000


@attrs.define(eq=False)
class Fleet:
    """Connects this host with the other hosts of the fleet."""

    _state: states.GatewayState
    _stages: stage_runner.LocalStageRunner
    _watcher: directory_watcher.DirectoryWatcher
    _endpoint: gossip.GossipEndpoint = attrs.field(init=False)
    _server: grpc_server.Server = attrs.field(init=False)
    _links: dict[str, stage_link.StageLink] = attrs.field(factory=dict)
    _owners: dict[str, str] = attrs.field(factory=dict)
    _other_leader_since_ms: int | None = None
    _last_reply: tuple[int, gossip.GossipMessage] | None = None

    def __attrs_post_init__(self) -> None:
        self._endpoint = gossip.GossipEndpoint(self._on_message, self._on_malformed)
        service = peer_service.GatewayPeerService(self._stages, self._watcher)
        self._server = grpc_server.Server([service])

    async def start(self) -> None:
        """Starts to listen for gossip and calls of other hosts."""
        address = self._state.config.peer_address
        await self._endpoint.start(address)
        await self._server.start(address.ip, address.port)

    async def close(self) -> None:
        """Stops listening and closes all connections to other hosts."""
        self._endpoint.close()
        for link in list(self._links.values()):
            await link.close()
        self._server.close()
        await self._server.wait_closed()

    # ---- gossip --------------------------------------------------------------------------------

    async def run_heartbeats(self) -> None:
        """Sends heartbeats to sampled hosts until cancelled."""
        while True:
            now_ms = self._state.clock.now_ms()
            chosen = self._state.hosts.next_heartbeat(self._watcher.horizons(), now_ms)
            self._endpoint.send(chosen, self._gossip_message(now_ms, wants_answer=True))
            self._share_load(now_ms)
            self._check_leader(now_ms)
            self._announce_blame(now_ms)
            spread = 0.75 + 0.5 * self._state.rng.random()
            await asyncio.sleep(self._state.hosts.heartbeat_interval_ms * spread / _MS_PER_S)

    def _share_load(self, now_ms: int) -> None:
        """Sends reports on work and slowdowns of engines to a few hosts.

        They have datagrams of their own, so that they take no room from heartbeats.
        """
        slowdowns = self._state.engine_slowdowns
        slowdowns.update(self._state.engine_keys(), self._state.host_count(), now_ms)
        if not self._state.shares_load():
            return
        alive = self._state.hosts.alive(now_ms)
        chosen = self._state.rng.sample(alive, min(hosts.GOSSIP_FANOUT, len(alive)))
        loads = tuple(self._state.engine_load.reports(now_ms))
        message = gossip.GossipMessage((), loads=loads, slowdowns=slowdowns.reports())
        self._endpoint.send(chosen, message)

    def leave(self) -> None:
        """Announces the graceful shutdown of this host and hands its stages over."""
        now_ms = self._state.clock.now_ms()
        chosen = self._state.hosts.leave()
        self._endpoint.send(chosen, self._gossip_message(now_ms))
        self._stages.set_leader(self._state.hosts.leader(now_ms) == self._state.hosts.local.address)

    def _check_leader(self, now_ms: int) -> None:
        leader = self._state.hosts.leader(now_ms)
        if leader == self._state.hosts.local.address:
            self._other_leader_since_ms = None
            self._stages.set_leader(True)
            return
        if self._other_leader_since_ms is None:
            self._other_leader_since_ms = now_ms
        if now_ms - self._other_leader_since_ms >= HANDOVER_DELAY_MS and self._stages.open_count:
            self._state.log.write("stages.handed-over", peer=leader, jobs=self._stages.open_count)
            self._stages.set_leader(False)

    def _announce_blame(self, now_ms: int) -> None:
        """Writes a line when requests with a trait begin, or cease, to be refused on this host."""
        state = self._state
        blamed, cleared = state.crashes.take_blame_changes(now_ms)
        for trait in blamed:
            state.log.write("trait.blamed", **_trait_fields(trait, state.crashes))
        for trait in cleared:
            state.log.write("trait.cleared", **_trait_fields(trait, state.crashes))
        state.metrics.blamed_traits.inc(len(blamed) - len(cleared))

    def _reply(self, now_ms: int) -> gossip.GossipMessage:
        """Returns the reply to a gossip message; it is cached, as many hosts may ask at once."""
        created_ms, message = self._last_reply or (0, None)
        if message is None or now_ms - created_ms > REPLY_REUSE_MS:
            message = self._gossip_message(now_ms)
            self._last_reply = (now_ms, message)
        return message

    def _gossip_message(self, now_ms: int, *, wants_answer: bool = False) -> gossip.GossipMessage:
        beats = tuple(self._state.hosts.gossip_entries(now_ms))
        reports = tuple(self._state.crashes.reports(now_ms))
        statements = tuple(self._state.restrictions.reports(now_ms))
        return gossip.GossipMessage(beats, reports, statements, wants_answer)

    def _on_message(self, message: gossip.GossipMessage, source: str) -> None:
        now_ms = self._state.clock.now_ms()
        for address in self._state.hosts.merge(message.beats, now_ms):
            self._state.log.write("host.appeared", peer=address)
        self._state.crashes.merge(message.crash_reports, now_ms)
        self._state.restrictions.merge(message.statements, now_ms)
        if message.loads:
            self._state.engine_load.merge(message.loads, now_ms)
        self._state.engine_slowdowns.merge(message.slowdowns)
        if message.wants_answer:
            self._endpoint.send([source], self._reply(now_ms))

    def _on_malformed(self, entry_count: int | None, source: str) -> None:
        self._state.metrics.malformed_gossip.inc(entry_count or 1)
        self._state.log.write("gossip.malformed", source=source, entries=entry_count)

    # ---- stages --------------------------------------------------------------------------------

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> Result[ports.StageResults, ports.StageFailure]:
        """Runs the stages of a request on the leader; tries another host if it fails.

        A host whose connection was reset gets them once more: it may still be the leader, and
        another one would hand them over again.
        """
        started_ms = self._state.clock.now_ms()
        own = self._state.hosts.local.address
        made = request.completed_pieces
        reset_by: set[str] = set()

        def on_progress(known: tuple[ports.CompletedPiece, ...]) -> None:
            nonlocal made
            made = known
            if listener is not None:
                listener(known)

        outcome: Result[ports.StageResults, ports.StageFailure]
        outcome = Error(ports.StageFailure(stage_link.STAGE_HOST_LOST, _MS_PER_S))
        for _ in range(MAX_STAGE_RUNS):
            now_ms = self._state.clock.now_ms()
            spent_ms = now_ms - started_ms
            left = attrs.evolve(
                request,
                latency_goal_ms=request.latency_goal_ms - spent_ms,
                deadline_ms=request.deadline_ms - spent_ms,
                completed_pieces=made,
            )
            owner = self._state.hosts.leader(now_ms)
            if owner == own:
                self._owners.pop(request.request_id, None)
                outcome = await self._stages.run(left, on_progress)
            else:
                self._owners[request.request_id] = owner
                outcome = await self._link(owner).run(left, on_progress)
            if outcome.is_ok() or outcome.error.kind not in _FAILOVER_KINDS:
                return outcome
            if owner == own and outcome.error.kind != ports.HANDED_OVER:
                return outcome
            now_ms = self._state.clock.now_ms()
            if outcome.error.kind == stage_link.STAGE_LINK_RESET and owner not in reset_by:
                reset_by.add(owner)
            else:
                self._state.hosts.avoid(owner, now_ms + FAILED_HOST_BACKOFF_MS)
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
        """Frees the results of a request, or cancels its work."""
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

    # ---- store replicas ------------------------------------------------------------------------

    async def run_replica_sync(self) -> None:
        """Fetches changes from other hosts while the store is unreachable, until cancelled."""
        while True:
            await asyncio.sleep(FETCH_INTERVAL_S)
            source = self._peer_with_newer_data()
            if source is not None:
                await self._fetch(source)

    def _peer_with_newer_data(self) -> str | None:
        """Returns a host with newer data of a prefix whose watch is disconnected from the store."""
        own = self._watcher.horizons()
        lost = [self._watcher.is_disconnected(prefix) for prefix in self._watcher.replicas]
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
        for prefix, replica in self._watcher.replicas.items():
            request.parts.add(prefix=prefix, horizon=replica.horizon.number)
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
        count = peer_service.apply_reply(self._watcher, reply)
        self._state.log.write("replica.fetched", peer=address, items=count)


def _trait_fields(
    trait: crash_attribution.Trait, crashes: crash_attribution.CrashAttribution
) -> dict[str, object]:
    return {
        "kind": trait.kind.name.lower(),
        "digest": trait.digest.hex(),
        "crashes": crashes.crash_count(trait),
    }


# Failures after which the stages are tried on another host.
_FAILOVER_KINDS = frozenset(
    {
        stage_link.STAGE_HOST_LOST,
        stage_link.STAGE_LINK_RESET,
        "unknown-stage-service",
        ports.HANDED_OVER,
    }
)
