"""gRPC codec for calls between hosts: compressed protobuf in an authenticated envelope."""

from __future__ import annotations

from typing import Any
import zlib

import attrs
from expression import Result
from google.protobuf.message import DecodeError
from grpclib.const import Status
from grpclib.encoding import base
from grpclib.exceptions import GRPCError

from sesamehold.connection import seal

_PLAIN = b"\0"
_DEFLATED = b"\1"
# Compression gains nothing for shorter messages.
MIN_DEFLATED_BYTES = 512
MAX_MESSAGE_BYTES = 64 * 1_048_576
# Level 1 compresses the cost rows of 4 s of one host's peak traffic from 92 KB to 7 KB in 0.2 ms.
# The default level takes six times as long for 3 % less output.
_COMPRESSION_LEVEL = 1


def pack(payload: bytes) -> bytes:
    """Prefixes a payload with an encoding byte and compresses it if it is long.

    >>> unpack(pack(b"x" * 1_000)) == b"x" * 1_000, len(pack(b"x" * 1_000)) < 50
    (True, True)
    """
    if len(payload) < MIN_DEFLATED_BYTES:
        return _PLAIN + payload
    return _DEFLATED + zlib.compress(payload, _COMPRESSION_LEVEL)


def unpack(packed: bytes) -> bytes:
    """Reverses `pack`; raises ValueError if the data is malformed or too long."""
    if packed[:1] == _PLAIN:
        return packed[1:]
    if packed[:1] != _DEFLATED:
        raise ValueError("unknown encoding")
    decompressor = zlib.decompressobj()
    try:
        payload = decompressor.decompress(packed[1:], MAX_MESSAGE_BYTES)
    except zlib.error as error:
        raise ValueError("malformed compression") from error
    if not decompressor.eof:
        raise ValueError("message too long or cut")
    return payload


@attrs.frozen
class SealedCodec(base.CodecBase):
    """Authenticates each message; a message that fails authentication ends its call."""

    _sealer: seal.Sealer

    @property
    def __content_subtype__(self) -> str:
        """Returns the subtype for the `content-type` header."""
        return "sealed"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Serializes and seals a message."""
        name: str = message_type.DESCRIPTOR.full_name
        return self._sealer.seal(name, pack(message.SerializeToString()))

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Opens and parses a sealed message.

        Raises:
            GRPCError: UNAUTHENTICATED if the message was not sealed with a known key,
                INVALID_ARGUMENT if it is authentic but malformed.
        """
        match self._sealer.open(message_type.DESCRIPTOR.full_name, data):
            case Result(tag="ok", ok=packed):
                try:
                    return message_type.FromString(unpack(packed))
                except (ValueError, DecodeError) as error:
                    raise GRPCError(Status.INVALID_ARGUMENT, str(error)) from error
            case Result(error=error):
                raise GRPCError(Status.UNAUTHENTICATED, error.reason)
