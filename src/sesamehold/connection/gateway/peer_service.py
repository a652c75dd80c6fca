"""gRPC service for calls from other gateway hosts."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TypeAlias

import attrs
from grpclib import exceptions as grpc_exceptions
from grpclib import server as grpc_server

from sesamehold.connection.gateway import stage_codec
from sesamehold.connection.gateway import stage_link
from sesamehold.connection.wire import gateway_grpc
from sesamehold.connection.wire import gateway_pb2
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import store_replica
from sesamehold.request.gateway import ports

_Stream: TypeAlias = grpc_server.Stream[Any, Any]


@attrs.define(eq=False)
class GatewayPeerService(gateway_grpc.GatewayBase):
    """Runs stages for other hosts and serves them replicated store items."""

    _stages: ports.StageRunner
    _watcher: directory_watcher.DirectoryWatcher

    async def RunStages(self, stream: _Stream) -> None:  # noqa: N802
        """Runs the orders of one host and reports outcomes until that host closes the stream."""
        session = _StageSession(self._stages, stream)
        reporter = asyncio.create_task(session.report())
        try:
            while (order := await stream.recv_message()) is not None:
                session.handle_order(order)
        finally:
            reporter.cancel()
            session.close()

    async def FetchReplica(self, stream: _Stream) -> None:  # noqa: N802
        """Returns the store items that the requesting host lacks."""
        request = await stream.recv_message()
        parts = request.parts if request is not None else ()
        await stream.send_message(replica_reply(self._watcher, parts))


@attrs.define(eq=False)
class _StageSession:
    """Orders received on one stream from another host, and their pending reports."""

    _stages: ports.StageRunner
    _stream: _Stream
    _tasks: dict[str, asyncio.Task[None]] = attrs.field(factory=dict)
    _request_ids: set[str] = attrs.field(factory=set)
    _outcomes: list[gateway_pb2.StageOutcome] = attrs.field(factory=list)
    _progress: dict[str, gateway_pb2.StageProgress] = attrs.field(factory=dict)
    _report_due: asyncio.Event = attrs.field(factory=asyncio.Event)

    def handle_order(self, order: gateway_pb2.StageOrder) -> None:
        """Starts the stages of a request, or cancels them and frees its results."""
        match order.WhichOneof("body"):
            case "run":
                request = stage_codec.request_from_wire(order.run)
                self._request_ids.add(request.request_id)
                self._tasks[request.request_id] = asyncio.create_task(self._run(request))
                self._report_due.set()
            case "release":
                self._release(order.release)

    async def report(self) -> None:
        """Sends outcomes and progress immediately, and empty keep-alive reports while work runs."""
        while True:
            try:
                async with asyncio.timeout(stage_link.REPORT_INTERVAL_S):
                    await self._report_due.wait()
            except TimeoutError:
                if not self._tasks:
                    continue
            self._report_due.clear()
            outcomes, self._outcomes = self._outcomes, []
            progress, self._progress = self._progress, {}
            report = gateway_pb2.StageReport(outcomes=outcomes, progress=progress.values())
            try:
                await self._stream.send_message(report)
            except (grpc_exceptions.StreamTerminatedError, OSError):
                # The other host is gone; `RunStages` cancels its work when the order stream ends.
                return

    def close(self) -> None:
        """Cancels all work and frees all results of the other host."""
        for request_id in list(self._request_ids):
            self._release(request_id)

    async def _run(self, request: ports.StageRequest) -> None:
        request_id = request.request_id

        def on_progress(made: tuple[ports.CompletedPiece, ...]) -> None:
            self._progress[request_id] = stage_codec.progress_to_wire(request_id, made)
            self._report_due.set()

        outcome = await self._stages.run(request, on_progress)
        self._tasks.pop(request_id, None)
        self._outcomes.append(stage_codec.outcome_to_wire(request.request_id, outcome))
        self._report_due.set()

    def _release(self, request_id: str) -> None:
        self._request_ids.discard(request_id)
        task = self._tasks.pop(request_id, None)
        # A task that is cancelled releases the request itself.
        if task is None or not task.cancel():
            self._stages.release(request_id)


def replica_reply(
    watcher: directory_watcher.DirectoryWatcher, known: Any
) -> gateway_pb2.ReplicaReply:
    """Returns the items that changed after the positions that the requesting host has.

    Args:
        watcher: Store replicas of this host.
        known: Prefixes of the requesting host, each with its horizon: the position in the store's
            history up to which that host has all changes.
    """
    reply = gateway_pb2.ReplicaReply()
    for part in known:
        replica = watcher.replicas.get(part.prefix)
        horizon = store_replica.StorePosition.from_number(part.horizon)
        if replica is not None and replica.horizon > horizon:
            reply.parts.append(update_to_wire(part.prefix, replica.update_since(horizon)))
    return reply


def update_to_wire(prefix: str, update: store_replica.ReplicaUpdate) -> gateway_pb2.ReplicaPart:
    """Encodes an update of one prefix."""
    wire = gateway_pb2.ReplicaPart(
        prefix=prefix, horizon=update.horizon.number, is_listing=update.is_listing
    )
    for item in update.items:
        wire.items.add(
            key=item.key,
            value=item.value or b"",
            deleted=item.value is None,
            revision=item.position.number,
        )
    return wire


def update_from_wire(part: gateway_pb2.ReplicaPart) -> store_replica.ReplicaUpdate:
    """Decodes an update of one prefix."""
    horizon = store_replica.StorePosition.from_number(part.horizon)
    items = tuple(_item_from_wire(item) for item in part.items)
    return store_replica.ReplicaUpdate(items, horizon, part.is_listing)


def _item_from_wire(item: gateway_pb2.ReplicaItem) -> store_replica.StoreItem:
    position = store_replica.StorePosition.from_number(item.revision)
    value = None if item.deleted else item.value
    return store_replica.StoreItem(item.key, value, position.revision, position.era)


def apply_reply(
    watcher: directory_watcher.DirectoryWatcher, reply: gateway_pb2.ReplicaReply
) -> int:
    """Merges the items of a reply into the local replicas; returns their number."""
    count = 0
    for part in reply.parts:
        update = update_from_wire(part)
        count += len(update.items)
        watcher.merge_from_peer(part.prefix, update)
    return count
