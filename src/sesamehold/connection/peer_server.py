"""gRPC server for calls from other hosts."""

from __future__ import annotations

import ssl
from typing import Any
from typing import Protocol
from typing import TypeAlias

import attrs
from grpclib import server as grpc_server
from grpclib.const import Status
from grpclib.exceptions import GRPCError

from sesamehold.connection import peer_codec
from sesamehold.connection import seal
from sesamehold.connection.wire import peer_grpc
from sesamehold.connection.wire import peer_pb2

Stream: TypeAlias = grpc_server.Stream[Any, Any]


class ClaimHandler(Protocol):
    """Votes on claims as a witness and reports outcomes as an owner."""

    async def claim(self, request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:
        """Votes on a claim."""

    async def release(self, request: peer_pb2.ReleaseRequest) -> None:
        """Removes the record of a claim under which nothing was dispatched."""

    async def finish(self, request: peer_pb2.FinishRequest) -> None:
        """Records that a key is finished."""

    async def outcome(self, request: peer_pb2.OutcomeRequest) -> peer_pb2.OutcomeReply:
        """Returns the outcome of a key; waits for an execution that is still running."""

    async def handover(self, request: peer_pb2.HandoverRequest) -> peer_pb2.HandoverReply:
        """Imports the witness records of a host that is shutting down."""


class ConfigurationHandler(Protocol):
    """Serves the current configuration to other hosts."""

    async def fetch(self, request: peer_pb2.ConfigurationRequest) -> peer_pb2.ConfigurationReply:
        """Returns the sections that the requesting host lacks."""


class LedgerHandler(Protocol):
    """Stores replicas of other hosts' cost counters."""

    async def push(self, request: peer_pb2.LedgerPush) -> None:
        """Stores the cumulative counters of another host."""

    async def fetch(self, request: peer_pb2.LedgerRequest) -> peer_pb2.LedgerReply:
        """Returns this host's counters and the replicas that it stores."""


class ExplanationHandler(Protocol):
    """Serves traces of requests."""

    async def fetch(self, request: peer_pb2.ExplanationRequest) -> peer_pb2.ExplanationReply:
        """Returns the trace of a request."""


class UnavailableHandler:
    """Rejects calls that this host does not implement."""

    async def fetch(self, request: Any) -> Any:
        """Rejects the call."""
        raise GRPCError(Status.UNIMPLEMENTED)

    async def push(self, request: Any) -> None:
        """Rejects the call."""
        raise GRPCError(Status.UNIMPLEMENTED)


@attrs.define(eq=False)
class PeerService(peer_grpc.PeerBase):
    """Dispatches each call to its handler."""

    _claims: ClaimHandler
    _configuration: ConfigurationHandler
    _ledger: LedgerHandler
    _explanations: ExplanationHandler

    async def Claim(self, stream: Stream) -> None:  # noqa: N802
        """Votes on a claim."""
        await stream.send_message(await self._claims.claim(await _receive_request(stream)))

    async def ReleaseClaim(self, stream: Stream) -> None:  # noqa: N802
        """Removes the record of a claim."""
        await self._claims.release(await _receive_request(stream))
        await stream.send_message(peer_pb2.Empty())

    async def FinishClaim(self, stream: Stream) -> None:  # noqa: N802
        """Records that a key is finished."""
        await self._claims.finish(await _receive_request(stream))
        await stream.send_message(peer_pb2.Empty())

    async def FetchOutcome(self, stream: Stream) -> None:  # noqa: N802
        """Returns the outcome of a key."""
        await stream.send_message(await self._claims.outcome(await _receive_request(stream)))

    async def Handover(self, stream: Stream) -> None:  # noqa: N802
        """Imports the witness records of a host that is shutting down."""
        await stream.send_message(await self._claims.handover(await _receive_request(stream)))

    async def FetchConfiguration(self, stream: Stream) -> None:  # noqa: N802
        """Returns sections of the current configuration."""
        await stream.send_message(await self._configuration.fetch(await _receive_request(stream)))

    async def PushLedger(self, stream: Stream) -> None:  # noqa: N802
        """Stores the cost counters of another host."""
        await self._ledger.push(await _receive_request(stream))
        await stream.send_message(peer_pb2.Empty())

    async def FetchLedger(self, stream: Stream) -> None:  # noqa: N802
        """Returns cost counters."""
        await stream.send_message(await self._ledger.fetch(await _receive_request(stream)))

    async def FetchExplanation(self, stream: Stream) -> None:  # noqa: N802
        """Returns the trace of a request."""
        await stream.send_message(await self._explanations.fetch(await _receive_request(stream)))


@attrs.define(eq=False)
class PeerServer:
    """Listens for calls from other hosts."""

    _server: grpc_server.Server

    @classmethod
    def from_service(cls, service: PeerService, sealer: seal.Sealer) -> PeerServer:
        """Creates a server that is not listening yet."""
        return cls(grpc_server.Server([service], codec=peer_codec.SealedCodec(sealer)))

    async def start(self, ip: str, port: int, tls: ssl.SSLContext | None) -> None:
        """Starts listening on an address."""
        await self._server.start(ip, port, ssl=tls)

    async def close(self) -> None:
        """Stops listening and terminates open calls."""
        self._server.close()
        await self._server.wait_closed()


async def _receive_request(stream: Stream) -> Any:
    request = await stream.recv_message()
    if request is None:
        raise ValueError("call ended without a request message")
    return request
