"""One HTTP connection of a caller, which is closed only when it holds no request and no answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import enum
from http import HTTPStatus
from typing import Any

from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
import logbook

from sesamehold.connection import problem_http
from sesamehold.process import listening
from sesamehold.request import errors

_MS_PER_S = 1_000
_LOG = logbook.Logger("http")


class ConnectionPhase(enum.Enum):
    """What a connection is used for."""

    IDLE = "idle"
    READING = "reading"
    HANDLING = "handling"
    FLUSHING = "flushing"


class CallerConnection(web.RequestHandler):
    """Server side of one connection.

    Responds to malformed HTTP and programming errors with problem documents. A connection that
    drains ends after the answer to the last request that was received on it; `finish_if_last` adds
    `Connection: close` to that answer. `close` of the base class drops received bytes, so it is
    never used to end a connection early.
    """

    __slots__ = (
        "_head_begun_s",
        "_is_draining",
        "_last_request_body",
        "_limits",
        "_socket",
    )

    def __init__(
        self,
        manager: web.Server,
        limits: Callable[[], listening.ConnectionLimits],
        **options: Any,
    ) -> None:
        """Creates the connection.

        Args:
            manager: Server whose handler receives the requests.
            limits: Returns the limits that are in force now. Those on headers apply as they are at
                the start of the connection, and the idle time is never shorter than at its start.
            options: Further options of the base class.
        """
        super().__init__(manager, **_handler_options(limits()), **options)
        self._limits = limits
        self._is_draining = False
        self._head_begun_s: float | None = None
        self._last_request_body: Any = None
        self._socket: asyncio.Transport | None = None

    @property
    def phase(self) -> ConnectionPhase:
        """Returns what the connection is used for now."""
        if self._socket is None or self._socket.is_closing():
            return ConnectionPhase.FLUSHING
        if self._messages or (self._waiter is not None and self._waiter.done()):
            return ConnectionPhase.HANDLING
        if self._waiter is None and self._request_count:
            is_reading = self._current_request is not None and not self._last_request_body.is_eof()
            return ConnectionPhase.READING if is_reading else ConnectionPhase.HANDLING
        if self._head_begun_s is not None:
            return ConnectionPhase.READING
        if self._socket.get_write_buffer_size():
            return ConnectionPhase.FLUSHING
        return ConnectionPhase.IDLE

    @property
    def idle_since_s(self) -> float:
        """Returns when the connection began or had its last answer, in the time of the loop."""
        return self._next_keepalive_close_time - self._keepalive_timeout

    def start_drain(self) -> None:
        """Makes the connection end after the requests that have been received on it."""
        self._is_draining = True

    def close_if_idle(self, min_idle_s: float) -> None:
        """Closes the connection if it has been idle for a time."""
        idle_s = self._loop.time() - self.idle_since_s
        if self.phase is ConnectionPhase.IDLE and idle_s >= min_idle_s:
            self.force_close()

    def finish_if_last(self, response: web.StreamResponse) -> None:
        """Announces the end of the connection if it drains and no further request has arrived."""
        if self._is_draining and not self._messages:
            response.force_close()

    def refuse_unfinished_head(self) -> None:
        """Refuses a request of whose head only a part has arrived, because the process ends."""
        waiter = self._waiter
        if self._head_begun_s is None or waiter is None or waiter.done():
            return
        _LOG.info("head refused")
        self._head_begun_s = None
        status = HTTPStatus.SERVICE_UNAVAILABLE
        error = web_protocol._ErrInfo(status.value, TimeoutError(), status.phrase)
        self._messages.append((error, streams.EMPTY_PAYLOAD))
        waiter.set_result(None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve the connection."""
        super().connection_made(transport)
        self._socket = self.transport

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request in progress."""
        super().connection_lost(exc)
        self._socket = None

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        known_count = self._request_count
        is_in_body = self._last_request_body is not None and not self._last_request_body.is_eof()
        super().data_received(data)
        if self._request_count != known_count:
            self._head_begun_s = None
            if self._messages:
                self._last_request_body = self._messages[-1][1]
        # Empty lines between requests begin no head.
        elif not is_in_body and self._head_begun_s is None and data.strip(b"\r\n"):
            self._head_begun_s = self._loop.time()
            self._schedule_time_limit(self._head_begun_s + self._limits().head_ms / _MS_PER_S)

    def _schedule_time_limit(self, at_s: float) -> None:
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
        self._keepalive_handle = self._loop.call_at(at_s, self._process_keepalive)

    def _process_keepalive(self) -> None:
        """Ends the connection if it has been idle, or a head has been incomplete, for too long."""
        self._keepalive_handle = None
        if self._force_close or not self._keepalive:
            return
        if self._waiter is None or self._waiter.done():
            return
        limits = self._limits()
        if self._head_begun_s is not None:
            end_s = self._head_begun_s + limits.head_ms / _MS_PER_S
        else:
            idle_s = max(self._keepalive_timeout, limits.idle_ms / _MS_PER_S)
            end_s = self.idle_since_s + idle_s
        if self._loop.time() < end_s:
            self._schedule_time_limit(end_s)
        else:
            self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns a problem document."""
        if status == 500:
            # Log only the type: an exception message may contain request content.
            _LOG.error("request handler failed", extra={"error": type(exc).__name__})
        if request.writer.output_size > 0:
            raise ConnectionError("response already started; it cannot be replaced by a failure")
        response = problem_http.response(_status_failure(status), None)
        response.force_close()
        return response


def finish_if_last(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Announces the end of the connection of a request if it ends after this response."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        connection.finish_if_last(response)


def _status_failure(status: int) -> errors.Failure:
    if status == HTTPStatus.INTERNAL_SERVER_ERROR:
        return errors.InternalError(
            detail="The host failed to handle the request.", ran=errors.RunStatus.UNKNOWN
        )
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return errors.Draining(detail="The host is shutting down.")
    return errors.BadRequest(detail="The request is not well-formed HTTP.", field="request")


def _handler_options(limits: listening.ConnectionLimits) -> dict[str, Any]:
    return {
        "access_log": None,
        "keepalive_timeout": limits.idle_ms / _MS_PER_S,
        "lingering_time": min(limits.idle_ms / _MS_PER_S, 2.0),
        "max_line_size": limits.header_size_bytes,
        "max_field_size": limits.header_size_bytes,
        "max_headers": limits.header_count,
        # A compressed body can expand far beyond the limit, so compressed bodies are rejected.
        "auto_decompress": False,
    }
