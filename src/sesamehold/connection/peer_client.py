"""gRPC client for calls to other hosts."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import ssl
from typing import Any
from typing import TypeVar

import attrs
from expression import Error
from expression import Ok
from expression import Result
from grpclib import client as grpc_client
from grpclib.exceptions import GRPCError
from grpclib.exceptions import StreamTerminatedError

from sesamehold.connection import peer_codec
from sesamehold.connection import seal
from sesamehold.connection.wire import peer_grpc
from sesamehold.process import listening

_MS_PER_S = 1_000

_Reply = TypeVar("_Reply")


@attrs.frozen
class PeerUnavailable:
    """A call to a host failed.

    Attributes:
        address: Peer address of the host.
        reason: Type of the failure.
    """

    address: str
    reason: str


@attrs.define(eq=False)
class PeerClient:
    """Cached gRPC channels to other hosts, opened on first use."""

    _sealer: seal.Sealer
    _tls: ssl.SSLContext | None = None
    _channels: dict[str, grpc_client.Channel] = attrs.field(factory=dict)

    async def call(
        self,
        address: str,
        method: Callable[[peer_grpc.PeerStub], Callable[..., Awaitable[_Reply]]],
        request: Any,
        timeout_ms: int,
    ) -> Result[_Reply, PeerUnavailable]:
        """Calls one method of a host's peer service.

        Args:
            address: Peer address, `ip:port`.
            method: Selects the method of the stub, such as `lambda stub: stub.Claim`.
            request: Message to send.
            timeout_ms: Timeout of the whole call.
        """
        stub = peer_grpc.PeerStub(self._channel(address))
        try:
            return Ok(await method(stub)(request, timeout=timeout_ms / _MS_PER_S))
        except (GRPCError, StreamTerminatedError, OSError, TimeoutError) as error:
            return Error(PeerUnavailable(address, type(error).__name__))

    def close_channel(self, address: str) -> None:
        """Closes the channel to one host."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all channels."""
        for address in list(self._channels):
            self.close_channel(address)

    def _channel(self, address: str) -> grpc_client.Channel:
        channel = self._channels.get(address)
        if channel is None:
            parsed = listening.Address.parse(address)
            channel = grpc_client.Channel(
                parsed.ip, parsed.port, codec=peer_codec.SealedCodec(self._sealer), ssl=self._tls
            )
            self._channels[address] = channel
        return channel
