"""One HTTP connection of a caller, which is closed only when it holds no request and no answer.

What a caller sends reaches the parser in parts of bounded size, and only while the requests before
it, and their bodies, have room. Bytes that the parser cannot take yet wait here, and the socket is
not read meanwhile. A connection that exceeds a limit is refused: nothing more of it is parsed.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import enum
from http import HTTPStatus
from typing import Any

from aiohttp import http_exceptions
from aiohttp import streams
from aiohttp import web
from aiohttp import web_protocol
import logbook

from sesamehold.connection import chunk_scanner
from sesamehold.connection import problem_http
from sesamehold.connection import request_meter
from sesamehold.connection.gateway import framing_budget
from sesamehold.process import listening
from sesamehold.process import receive_budget
from sesamehold.request import errors

# Largest number of bytes that the parser gets at once.
PART_BYTES = 16_384
# The same within a body of known length or a chunk, which have no framing.
BODY_PART_BYTES = 131_072
# The same within a body in chunks while the framing of others takes too much processor time. It is
# enough to see whether this body has much framing as well.
PROBE_PART_BYTES = 2_048
# A body that is not read yet waits in a buffer of twice this size.
READ_BUFFER_BYTES = 131_072
# Requests that wait for the one before them, after which the socket is not read.
MAX_WAITING_REQUESTS = 4
# Bytes that are read and dropped after a refusal, and the time for them. The kernel would reset a
# connection that is closed before, and its caller might lose the refusal.
LINGER_BYTES = 1_048_576
LINGER_S = 2.0
OVERLOADED_RETRY_MS = 1_000
# An answer of which a caller reads nothing, or too little, for this long is given up before others.
STALLED_S = 2.0
# An answer counts as unread while its writes wait. It is there twice, as the handler keeps it until
# it is written.
ANSWER_COPIES = 2
# Objects of one connection, without what it has received.
CONNECTION_BYTES = 8_192
# The parser holds each line of a head as bytes and as text, whose characters may take four bytes.
HEAD_COPIES = 5
# A request that is open keeps them, and its head once more as it is sent to a target.
OPEN_HEAD_COPIES = HEAD_COPIES + 1
# Memory for each part of a body that is buffered, and for each end of a chunk in it.
PIECE_BYTES = 48
# Framing that is read at once from all callers of a listener, and in a second after that, is this
# many times what the budget says.
FRAMING_BYTES_PER_CHARGE = 8
FRAMING_CHARGES_PER_S = 16_384
# A connection that would have to wait longer for its framing is refused.
MAX_FRAMING_PAUSE_MS = 1_000
_HEAD_END = b"\r\n\r\n"
_TOO_MANY_LINES = "Too many headers"
_MS_PER_S = 1_000
_LOG = logbook.Logger("http")


class ConnectionPhase(enum.Enum):
    """What a connection is used for."""

    IDLE = "idle"
    READING = "reading"
    HANDLING = "handling"
    FLUSHING = "flushing"


class ExcessError(web.RequestPayloadError):
    """The connection was refused before a request on it had been received.

    Attributes:
        excess: Why it was refused.
    """

    def __init__(self, excess: receive_budget.Excess) -> None:
        """Creates the error."""
        super().__init__(excess.value)
        self.excess = excess


class CallerConnection(web.RequestHandler):
    """Server side of one connection.

    Responds to malformed HTTP and programming errors with problem documents. A connection that
    drains ends after the answer to the last request that was received on it; `finish_if_last` adds
    `Connection: close` to that answer. `close` of the base class drops received bytes, so it is
    never used to end a connection early.
    """

    __slots__ = (
        "_body_left_bytes",
        "_budget",
        "_chunks",
        "_discarded_bytes",
        "_framing",
        "_head_begun_s",
        "_held_body_bytes",
        "_holding",
        "_is_admitted",
        "_is_draining",
        "_is_paced",
        "_is_refused",
        "_last_head_bytes",
        "_last_request_body",
        "_limits",
        "_linger",
        "_meter",
        "_socket",
        "_unparsed",
        "_unread_timer",
        "_unread_use",
        "_waiting_heads",
    )

    def __init__(
        self,
        manager: web.Server,
        limits: Callable[[], listening.ConnectionLimits],
        budget: receive_budget.ReceiveBudget,
        framing: framing_budget.FramingBudget,
        **options: Any,
    ) -> None:
        """Creates the connection.

        Args:
            manager: Server whose handler receives the requests.
            limits: Returns the limits that are in force now. Those on header lines apply as they
                are at the start of the connection, and the idle time is never shorter than then.
            budget: Memory for all connections of the process.
            framing: Processor time for the framing of bodies on all connections of the process.
            options: Further options of the base class.
        """
        super().__init__(manager, **_handler_options(limits()), **options)
        self._max_msg_queue_size = MAX_WAITING_REQUESTS
        self._msg_queue_resume_size = MAX_WAITING_REQUESTS // 2
        self._limits = limits
        self._budget = budget
        self._framing = framing
        self._holding = receive_budget.Holding(self._shed)
        self._meter = request_meter.RequestMeter()
        self._unparsed = b""
        self._unread_timer: asyncio.TimerHandle | None = None
        self._waiting_heads: collections.deque[int] = collections.deque()
        # The base class keeps the last request until the next one begins.
        self._last_head_bytes = 0
        self._is_admitted = False
        self._body_left_bytes: int | None = None
        self._chunks = chunk_scanner.ChunkScanner()
        self._held_body_bytes = 0
        self._is_draining = False
        self._is_refused = False
        self._is_paced = False
        self._unread_use: receive_budget.Use | None = None
        self._discarded_bytes = 0
        self._linger: asyncio.Future[None] | None = None
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
            is_reading = self._current_request is not None and self._is_in_body
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

    @property
    def _is_in_body(self) -> bool:
        return self._last_request_body is not None and not self._last_request_body.is_eof()

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
        if self._is_in_body and not self._messages:
            # What is left of the body is not read.
            self._stop_parsing()
        if self._is_draining and not self._messages:
            response.force_close()

    def refuse_unfinished_head(self) -> None:
        """Refuses a request of whose head only a part has arrived, because the process ends."""
        waiter = self._waiter
        if self._head_begun_s is None or waiter is None or waiter.done():
            return
        _LOG.info("head refused")
        self._stop_parsing()
        self._answer_error(HTTPStatus.SERVICE_UNAVAILABLE.value, TimeoutError())

    def hold_body(self, size_bytes: int) -> None:
        """Counts what has been read of a body of a request that is not admitted yet."""
        self._held_body_bytes = 0 if self._is_refused else size_bytes
        self._update_holding()

    def admit(self, size_bytes: int = 0) -> bool:
        """Lets the open request keep its head until its answer ends, if there is memory for it.

        Args:
            size_bytes: Memory that the request keeps besides its head.
        """
        if self._socket is None:
            # The handler has been cancelled, and nothing would end what is counted now.
            return True
        if not self._budget.admit(self._holding, self._last_head_bytes + size_bytes):
            self._budget.on_excess(receive_budget.Excess.MEMORY)
            return False
        self._is_admitted = True
        self._held_body_bytes = 0
        self._update_holding()
        return True

    # ---- receiving -----------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts to serve the connection."""
        super().connection_made(transport)
        self._socket = self.transport
        self._update_holding()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends the request in progress."""
        super().connection_lost(exc)
        self._socket = None
        self._cancel_unread_timer()
        self._unparsed = b""
        self._budget.end_admitted(self._holding)
        self._budget.update(self._holding, 0)

    def pause_writing(self) -> None:
        """Notes that the caller does not read as fast as its answer comes."""
        super().pause_writing()
        self._unread_timer = self._loop.call_later(STALLED_S, self._note_stalled_answer)
        self._unread_use = receive_budget.Use.UNREAD_ANSWER
        self._update_holding()

    def resume_writing(self) -> None:
        """Notes that the caller has read what waited."""
        super().resume_writing()
        self._cancel_unread_timer()
        self._update_holding()

    def _note_stalled_answer(self) -> None:
        self._unread_use = receive_budget.Use.STALLED_ANSWER
        self._update_holding()

    def _cancel_unread_timer(self) -> None:
        self._unread_use = None
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    @property
    def _unread_bytes(self) -> int:
        if self._socket is None or self._unread_use is None:
            return 0
        return ANSWER_COPIES * self._socket.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, or keeps them until the parser has room.

        The base class calls this without bytes when there is room again.
        """
        if self._force_close or self._close:
            return
        if self._is_refused:
            self._discard(len(data))
            return
        data = self._unparsed + data
        position = 0
        while not self._is_parser_full():
            part = data[position : self._part_end(data, position)]
            position += len(part)
            excess = self._parse(part)
            if excess is not None:
                self._refuse(excess)
                return
            if position == len(data):
                break
        self._unparsed = data[position:]
        self._update_holding()

    def _is_parser_full(self) -> bool:
        return (
            self._is_paced
            or self._reading_paused
            or len(self._messages) >= MAX_WAITING_REQUESTS
            or len(self._message_tail) >= READ_BUFFER_BYTES
        )

    def _part_end(self, data: bytes, begin: int) -> int:
        """Returns the end of the next part, which is no later than that of a head or a body.

        The parser returns no request from bytes in which it finds an error, so what may be an error
        must not come with a sound request before it.
        """
        if not self._is_in_body:
            # The end may have begun in the part before.
            found = data.find(_HEAD_END, max(begin - len(_HEAD_END) + 1, 0), begin + PART_BYTES)
            end = found + len(_HEAD_END)
            return end if found >= 0 and end > begin else begin + PART_BYTES
        if self._body_left_bytes is not None:
            return begin + min(BODY_PART_BYTES, max(self._body_left_bytes, 1))
        left_bytes = min(self._chunks.content_left_bytes, BODY_PART_BYTES)
        part_bytes = PROBE_PART_BYTES if self._framing.is_overdrawn else PART_BYTES
        end = min(begin + max(left_bytes, part_bytes), len(data))
        return self._chunks.next_end(data, begin, end)

    def _parse(self, part: bytes) -> receive_budget.Excess | None:
        """Gives bytes to the parser; returns why the connection must be refused after them."""
        known_count = self._request_count
        body = self._last_request_body if self._is_in_body else None
        body_bytes = 0 if body is None else body.total_bytes
        super().data_received(part)
        if self._request_count != known_count:
            self._waiting_heads.extend([0] * (self._request_count - known_count - 1))
            return self._on_message(len(part))
        limit_bytes = self._limits().head_size_bytes
        if body is not None:
            new_bytes = body.total_bytes - body_bytes
            if self._body_left_bytes is not None:
                self._body_left_bytes -= new_bytes
            excess = self._meter.on_body_part(len(part), new_bytes, limit_bytes)
            charge_bytes = self._meter.take_dense_framing() // FRAMING_BYTES_PER_CHARGE
            return excess or self._pace(charge_bytes)
        if self._upgraded:
            return None
        excess = self._meter.on_head_part(part, limit_bytes)
        if self._meter.head_bytes and self._head_begun_s is None:
            self._begin_head()
        return excess

    def _on_message(self, part_bytes: int) -> receive_budget.Excess | None:
        """Records a request, or returns why the parser made an error out of it."""
        message, body = self._messages[-1]
        if isinstance(message, web_protocol._ErrInfo):
            # Its traceback holds the part. An error while the handler waits is none of a request.
            self._messages.pop()
            return _excess_of(message)
        self._head_begun_s = None
        self._last_request_body = body
        length = message.headers.get("Content-Length")
        self._body_left_bytes = None if message.chunked or length is None else int(length)
        self._chunks = chunk_scanner.ChunkScanner()
        self._waiting_heads.append(self._meter.on_head_complete(part_bytes))
        return None

    def _pace(self, charge_bytes: int) -> receive_budget.Excess | None:
        """Stops to read for a time if the framing of bodies takes too much processor time."""
        pause_ms = self._framing.spend(charge_bytes) if charge_bytes else 0
        if pause_ms > MAX_FRAMING_PAUSE_MS:
            return receive_budget.Excess.FRAMING_RATE
        if pause_ms:
            self._is_paced = True
            self._pause_transport_reading()
            self._loop.call_later(pause_ms / _MS_PER_S, self._end_pace)
        return None

    def _end_pace(self) -> None:
        self._is_paced = False
        if self._socket is None:
            return
        self.data_received(b"")
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Reads the socket again, unless it must not be read for another reason."""
        if not self._is_paced:
            super()._resume_transport_reading()

    def _begin_head(self) -> None:
        self._head_begun_s = self._loop.time()
        self._schedule_time_limit(self._head_begun_s + self._limits().head_ms / _MS_PER_S)

    # ---- refusals ------------------------------------------------------------------------------

    def _refuse(self, excess: receive_budget.Excess) -> None:
        """Refuses the request that is being received, behind the answers to those before it."""
        self._budget.on_excess(excess)
        self._stop_parsing()
        if self._is_in_body:
            self._last_request_body.set_exception(ExcessError(excess))
        else:
            self._answer_error(failure_of(excess).status, ExcessError(excess))
        self._update_holding()

    def _shed(self) -> None:
        """Gives up what is held without an admitted request, as the process lacks memory."""
        if self._socket is None:
            return
        if self._unread_bytes:
            self._budget.on_excess(receive_budget.Excess.UNREAD_ANSWER)
            self._socket.abort()
            return
        if self._is_refused:
            return
        if self.phase is ConnectionPhase.IDLE:
            self._budget.on_excess(receive_budget.Excess.MEMORY)
            self.force_close()
            return
        if self._messages:
            # These have not run. The first of them is refused, and the connection ends then.
            self._messages.clear()
            self._waiting_heads.clear()
            self._last_request_body = None
        elif not self._is_in_body and not self._unparsed and self._head_begun_s is None:
            # The request has been admitted since this connection was last counted.
            self._update_holding()
            return
        self._refuse(receive_budget.Excess.MEMORY)

    def _stop_parsing(self) -> None:
        self._is_refused = self._is_draining = True
        self._unparsed = b""
        # The parser holds the part of a head that has arrived.
        self._parser = None
        self._meter = request_meter.RequestMeter()
        self._held_body_bytes = 0
        self._head_begun_s = None
        body = self._last_request_body
        if self._is_in_body and body._size > 1:
            # A handler that has been woken meets the error only when it reads again, and waits for
            # ever if nothing is left for it now.
            body.read_nowait(body._size - 1)

    def _answer_error(self, status: int, error: Exception) -> None:
        info = web_protocol._ErrInfo(status, error, "")
        self._request_count += 1
        self._messages.append((info, streams.EMPTY_PAYLOAD))
        self._waiting_heads.append(0)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > LINGER_BYTES:
            self._pause_transport_reading()
            if self._linger is not None and not self._linger.done():
                self._linger.set_result(None)

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Handles one request, or refuses it if there is no memory for its head."""
        if self._waiting_heads:
            head_bytes = OPEN_HEAD_COPIES * self._waiting_heads.popleft()
            self._last_head_bytes = max(head_bytes - CONNECTION_BYTES, 0)
        if request.content is streams.EMPTY_PAYLOAD and not self.admit():
            request_handler = self._refuse_for_memory
        return await super()._handle_request(request, start_time, request_handler)

    async def _refuse_for_memory(self, request: web.BaseRequest) -> web.StreamResponse:
        del request
        response = problem_http.response(memory_failure(), None)
        self.finish_if_last(response)
        return response

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Ends a response; after the last one of a refused connection, waits for its caller."""
        body = request.content
        if not body.is_eof():
            self._stop_parsing()
            resp.force_close()
        error = body.exception()
        if error is not None:
            # The traceback holds the frame of the handler, and with it what was read of the body.
            error.__traceback__ = None
        self._held_body_bytes = 0
        result = await super().finish_response(request, resp, start_time)
        if self._is_refused and not self._messages and not result[1]:
            await self._wait_for_end_of_caller()
        if not body.is_eof():
            # Otherwise the base class would read it.
            body.feed_eof()
        self._is_admitted = False
        self._budget.end_admitted(self._holding)
        self._update_holding()
        return result

    async def _wait_for_end_of_caller(self) -> None:
        transport = self.transport
        if transport is None or self._discarded_bytes > LINGER_BYTES:
            return
        if self._last_head_bytes > receive_budget.SMALL_BYTES:
            # The request keeps its head until it returns.
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._is_paced = False
        self._resume_transport_reading()
        self._linger = self._loop.create_future()
        try:
            async with asyncio.timeout(LINGER_S):
                await self._linger
        except TimeoutError:
            return

    def _update_holding(self) -> None:
        if self._socket is None:
            return
        head_bytes = self._meter.head_bytes + sum(self._waiting_heads)
        held_bytes = len(self._unparsed) + self._held_body_bytes
        if self._is_in_body:
            head_bytes += self._meter.framing_since_body_bytes
            held_bytes += _buffered_bytes(self._last_request_body)
        held_bytes += HEAD_COPIES * head_bytes
        if not (self._is_admitted or self._is_refused):
            held_bytes += self._last_head_bytes
        size_bytes = CONNECTION_BYTES + held_bytes + self._unread_bytes
        self._budget.update(self._holding, size_bytes, self._use(held_bytes))

    def _use(self, held_bytes: int) -> receive_budget.Use:
        if self._unread_bytes and self._unread_use is not None:
            return self._unread_use
        # The phase is that of the answer until the base class waits for the next request.
        is_between_requests = self._current_request is None and not self._messages
        is_received = held_bytes > 0 or is_between_requests
        if is_received and not self._is_refused:
            return receive_budget.Use.RECEIVED
        return receive_budget.Use.ADMITTED

    # ---- times ---------------------------------------------------------------------------------

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
        failure = (
            failure_of(exc.excess) if isinstance(exc, ExcessError) else _status_failure(status)
        )
        response = problem_http.response(failure, None)
        response.force_close()
        return response


def _buffered_bytes(body: streams.StreamReader) -> int:
    """Returns the memory for what has been received of a body and not been read."""
    splits = body._http_chunk_splits or ()
    return body._size + PIECE_BYTES * (len(body._buffer) + len(splits))


def finish_if_last(request: web.BaseRequest, response: web.StreamResponse) -> None:
    """Announces the end of the connection of a request if it ends after this response."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        connection.finish_if_last(response)


def hold_body(request: web.BaseRequest, size_bytes: int) -> None:
    """Counts what has been read of the body of a request that is not admitted yet."""
    connection = request.protocol
    if isinstance(connection, CallerConnection):
        connection.hold_body(size_bytes)


def admit(request: web.BaseRequest, size_bytes: int = 0) -> bool:
    """Returns whether there is memory for what a request keeps until its answer ends.

    Args:
        request: Request whose body has been read.
        size_bytes: Memory that it keeps besides its head.
    """
    connection = request.protocol
    return not isinstance(connection, CallerConnection) or connection.admit(size_bytes)


def failure_of(excess: receive_budget.Excess) -> errors.Failure:
    """Returns the failure that the caller of a refused connection receives."""
    match excess:
        case receive_budget.Excess.HEAD:
            return errors.HeadTooLarge(detail="The head of the request exceeds its limit.")
        case receive_budget.Excess.FRAMING:
            return errors.TooLarge(detail="The chunks of the body exceed their limit.")
        case receive_budget.Excess.MEMORY | receive_budget.Excess.FRAMING_RATE:
            return memory_failure()
    return _status_failure(HTTPStatus.BAD_REQUEST)


def memory_failure() -> errors.Failure:
    """Returns the failure that a caller receives while there is no memory for its request."""
    return errors.Overloaded(
        detail="The host cannot receive this request now; send it again later.",
        retry_after_ms=OVERLOADED_RETRY_MS,
    )


def _excess_of(error: web_protocol._ErrInfo) -> receive_budget.Excess:
    is_too_long = isinstance(error.exc, http_exceptions.LineTooLong)
    if is_too_long or error.message.startswith(_TOO_MANY_LINES):
        return receive_budget.Excess.HEAD
    return receive_budget.Excess.MALFORMED


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
        "max_line_size": limits.header_size_bytes,
        "max_field_size": limits.header_size_bytes,
        "max_headers": limits.header_count,
        "read_bufsize": READ_BUFFER_BYTES,
        # A compressed body can expand far beyond the limit, so compressed bodies are rejected.
        "auto_decompress": False,
    }
