"""Codec of gRPC messages between hosts: protobuf inside an authenticated envelope."""

from __future__ import annotations

from typing import Any

import attrs
from expression import Result
from grpclib.const import Status
from grpclib.encoding import base
from grpclib.exceptions import GRPCError

from sesamehold.connection import seal


@attrs.frozen
class SealedCodec(base.CodecBase):
    """Seals each message; a message that is not authentic ends its call."""

    _sealer: seal.Sealer

    @property
    def __content_subtype__(self) -> str:
        """Names the encoding in the `content-type` header."""
        return "sealed"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Returns the sealed message."""
        name: str = message_type.DESCRIPTOR.full_name
        return self._sealer.seal(name, message.SerializeToString())

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Returns the message.

        Raises:
            GRPCError: UNAUTHENTICATED if the message was not sealed with a known key.
        """
        match self._sealer.open(message_type.DESCRIPTOR.full_name, data):
            case Result(tag="ok", ok=payload):
                return message_type.FromString(payload)
            case Result(error=error):
                raise GRPCError(Status.UNAUTHENTICATED, error.reason)
