"""Response protocol of all HTTP connections to other programs, and a connector that uses it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import functools
from typing import Any

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions

from sesamehold.connection import status_line


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


class AnswerConnector(aiohttp.TCPConnector):
    """Connector of a client session whose connections use `AnswerProtocol`."""

    def __init__(self, **options: Any) -> None:
        """Creates a connector with the options of its base class; needs a running event loop."""
        super().__init__(**options)
        create: Callable[..., client_proto.ResponseHandler] = AnswerProtocol
        self._factory = functools.partial(create, loop=asyncio.get_running_loop())
