"""Response protocol of all HTTP connections to other programs, and a connector that uses it."""

from __future__ import annotations

import asyncio
import functools
from typing import Any
import weakref

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import streams
import logbook

from sesamehold.connection import status_line

_LOG = logbook.Logger("answers")


class InvalidStatusError(http_exceptions.HttpProcessingError):
    """An answer came whose status is no status of an answer."""


class AnswerProtocol(client_proto.ResponseHandler):
    """Response protocol that passes on no answer with an invalid status.

    The parser of the base class refuses a status that is not three digits and accepts any other.
    """

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on a message whose head has been parsed; closes the connection if it is none."""
        if self.exception() is not None:
            return
        status = data[0].code
        if status_line.classify(status) is status_line.StatusKind.INVALID:
            if self.transport is not None:
                self.transport.close()
            self.set_exception(InvalidStatusError(message=f"invalid status {status:03}"))
            return
        super().feed_data(data, size)


class SessionProtocol(AnswerProtocol):
    """Response protocol of connections that a client session keeps.

    It closes a connection on which bytes arrive that are no part of the answer that is waited for:
    an answer is told from the next one by its order alone, which such bytes have broken.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the protocol of a connection that carries no request yet."""
        super().__init__(loop)
        self._is_answered = True
        self._answer_body: streams.StreamReader | None = None

    @property
    def is_idle(self) -> bool:
        """Returns whether the last answer has been received whole."""
        return self._is_answered and (self._answer_body is None or self._answer_body.is_eof())

    def set_response_params(self, **params: Any) -> None:
        """Prepares for the answer to the next request."""
        self._is_answered = False
        self._answer_body = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, unless no answer is waited for."""
        if data and self.is_idle:
            self._close_for_extra_bytes()
            return
        super().data_received(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on the message that is waited for; closes the connection for any other one."""
        message, body = data
        if self._is_answered:
            self._close_for_extra_bytes()
            return
        if status_line.classify(message.code) is status_line.StatusKind.FINAL:
            self._is_answered = True
            self._answer_body = body
        super().feed_data(data, size)

    def _close_for_extra_bytes(self) -> None:
        if self.transport is not None:
            _LOG.warning(
                "bytes behind an answer", extra={"peer": self.transport.get_extra_info("peername")}
            )
            # The answer that was received whole stays readable.
            self.force_close()
            self.transport.close()


class AnswerConnector(aiohttp.TCPConnector):
    """Connector of a client session whose connections use `SessionProtocol`."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector with the options of its base class; needs a running event loop."""
        super().__init__(**options)
        self._protocols: weakref.WeakSet[SessionProtocol] = weakref.WeakSet()
        self._factory = functools.partial(self._create, loop=asyncio.get_running_loop())

    def close_idle(self) -> None:
        """Closes the connections that wait for a request."""
        for protocol in list(self._protocols):
            if protocol.is_idle:
                protocol.close()

    def _create(self, loop: asyncio.AbstractEventLoop) -> client_proto.ResponseHandler:
        protocol = SessionProtocol(loop)
        self._protocols.add(protocol)
        return protocol
