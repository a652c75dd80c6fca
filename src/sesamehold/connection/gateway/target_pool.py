"""Pool of keep-alive HTTP connections to targets.

Requests are written directly to aiohttp's response protocol instead of its client session. The
session retries GET and other idempotent methods on its own when a keep-alive connection turns out
to be closed, but whether a request may be retried is decided by the kind of its route.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import socket
from typing import Protocol

import aiohttp
from aiohttp import http_exceptions
from aiohttp import http_parser
from aiohttp import streams
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import answer_protocol
from sesamehold.connection import status_line
from sesamehold.connection.gateway import embedded_heads
from sesamehold.connection.gateway import framing_budget
from sesamehold.connection.gateway import target_protocol
from sesamehold.process import clock as clocks
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports

# TCP retransmits a lost SYN only after 1 s; another target is tried before that.
CONNECT_TIMEOUT_S = 0.35
# The kernel closes a connection whose sent bytes stay unacknowledged for this long (RFC 5482).
TCP_USER_TIMEOUT_MS = 1_500
# The same for a connection of a caller. The kernel also counts the time during which the caller
# has no room for more bytes, so this is longer than a sound caller pauses.
CALLER_USER_TIMEOUT_MS = 10_000
# TCP keepalive detects an unresponsive peer on an idle connection within about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A pooled connection is reused only within this fraction of the target's keep-alive timeout.
KEEP_ALIVE_FRACTION = 0.5
# Idle limit of connections whose target announces no keep-alive timeout.
DEFAULT_IDLE_MS = 1_000
# Upper bound of the idle limit, as middleboxes drop the state of idle connections silently.
MAX_IDLE_MS = 2_000
MAX_IDLE_PER_TARGET = 8
HEADER_LIMIT_BYTES = 65_536
# Responses to earlier requests that are skipped on one connection before it is closed, and the most
# bytes of their bodies.
MAX_STALE_RESPONSES = 4
MAX_STALE_BYTES = 1_048_576
_MS_PER_S = 1_000
# An answer to this method has no body, whatever its headers say (RFC 9110, 9.3.2).
_HEAD_METHOD = b"HEAD "

_CONNECTION_ERRORS = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    OSError,
)


def enable_dead_peer_detection(
    sock: socket.socket | None, *, user_timeout_ms: int = TCP_USER_TIMEOUT_MS
) -> None:
    """Sets the socket options that make the kernel close a connection to an unresponsive peer.

    Args:
        sock: Socket of the connection, None if it is closed.
        user_timeout_ms: Longest time for which sent bytes may stay unacknowledged or unsent.
    """
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout_ms)


@attrs.define(eq=False)
class _PooledConnection:
    protocol: target_protocol.TargetProtocol
    incarnation: str
    idle_since_ms: int = 0
    idle_limit_ms: int = DEFAULT_IDLE_MS

    def is_usable(self, incarnation: str, now_ms: int) -> bool:
        return (
            self.protocol.is_connected()
            and not self.protocol.should_close
            and self.incarnation == incarnation
            and now_ms - self.idle_since_ms <= self.idle_limit_ms
        )


@attrs.define(eq=False)
class PooledResponse:
    """Response of a target, read from a pooled connection.

    Attributes:
        head: Decoded head.
        transfer: How it is transferred.
    """

    _pool: TargetPool
    _target: targets.Target
    _connection: _PooledConnection
    _payload: streams.StreamReader
    head: messages.AnswerHead
    transfer: messages.Transfer
    _is_mixed: bool = False

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `BrokenAnswerError` if it is no whole body."""
        scanner = embedded_heads.EmbeddedHeadScanner(self._is_answer_head)
        try:
            while True:
                data = await self._payload.readany()
                if not data:
                    break
                self.transfer.body_bytes += len(data)
                if part := scanner.feed(data):
                    yield part
                if scanner.has_found_head:
                    break
        except (http_exceptions.HttpProcessingError, target_protocol.FramingTooLargeError) as error:
            raise ports.BrokenAnswerError(type(error).__name__) from error
        except _CONNECTION_ERRORS as error:
            raise ports.BrokenAnswerError(type(error).__name__, connection_broken=True) from error
        is_reset = self._connection.protocol.was_reset
        if is_reset and self.transfer.framing is messages.Framing.CLOSE:
            raise ports.BrokenAnswerError(
                "connection reset before the end of the response", connection_broken=True
            )
        has_cut_head = scanner.has_head_start and not self._is_end_certain
        # The rest of a status line is no response, so it shows where the line began.
        has_cut_version = scanner.has_version_start and self._connection.protocol.has_invalid_bytes
        if scanner.has_found_head or has_cut_head or has_cut_version:
            self._is_mixed = True
            self._pool.on_mixed_answer(self._target, self.head)
            raise ports.BrokenAnswerError("another answer begins in the body")
        if rest := scanner.finish():
            yield rest

    def release(self) -> None:
        """Returns the connection to the pool if the body was read to its end, else aborts it."""
        is_complete = self._payload.is_eof() and not self._is_mixed
        self._pool.return_connection(self._target, self._connection, complete=is_complete)

    @property
    def _is_end_certain(self) -> bool:
        """Returns whether the framing tells the end of the body, and nothing came behind it."""
        ends_with_connection = self.transfer.framing is messages.Framing.CLOSE
        return not ends_with_connection and not self._connection.protocol.has_extra_bytes

    def _is_answer_head(self, status: int, headers: messages.HeaderPairs) -> bool:
        return self._pool.is_answer_head(status, headers)


class AnswerObserver(Protocol):
    """Is told what targets send."""

    def on_answer(self, target: targets.Target, head: messages.AnswerHead, sent_ms: int) -> None:
        """Handles the head of the answer to a request that was sent at a monotonic time."""

    def on_extra_bytes(
        self, target: targets.Target, where: messages.ExtraBytes, request_id: str | None = None
    ) -> None:
        """Handles bytes that belong to no answer, with the request that they name, if any."""


@attrs.define(eq=False)
class TargetPool:
    """Idle keep-alive connections by target address."""

    _codec: ports.RequestCodec
    _clock: clocks.Clock
    _observer: AnswerObserver
    opened_count: int = 0
    _idle: dict[str, list[_PooledConnection]] = attrs.field(factory=dict)
    _framing_budgets: dict[str, framing_budget.FramingBudget] = attrs.field(factory=dict)

    async def send(
        self,
        target: targets.Target,
        head: bytes,
        request_id: str | None,
        *,
        body: bytes | bytearray = b"",
        reuse: bool,
    ) -> Result[ports.TargetAnswer, ports.ExchangeFault]:
        """Sends one request and waits for the response headers; see `ports.TargetClient`."""
        connection = self._acquire(target) if reuse else None
        is_reused = connection is not None
        if connection is None:
            try:
                connection = await self._open(target)
            except TimeoutError:
                return Error(ports.ExchangeFault("connect-timeout", sent=False))
            except OSError as error:
                return Error(ports.ExchangeFault(f"connect-{type(error).__name__}", sent=False))
        protocol = connection.protocol
        transport = protocol.transport
        if transport is None or transport.is_closing():
            return Error(ports.ExchangeFault("closed-before-send", sent=False))
        protocol.begin_request()
        has_body = not head.startswith(_HEAD_METHOD)
        protocol.set_response_params(
            skip_payload=not has_body,
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        sent_ms = self._clock.now_ms()
        # Written apart, as joining them would copy the body.
        transport.write(head)
        transport.write(body)
        try:
            return await self._read_head(
                target, connection, request_id, sent_ms, is_reused=is_reused, has_body=has_body
            )
        except BaseException:
            protocol.abort()
            raise

    def return_connection(
        self, target: targets.Target, connection: _PooledConnection, *, complete: bool
    ) -> None:
        """Keeps a connection whose response was read completely; aborts any other one."""
        protocol = connection.protocol
        idle = self._idle.setdefault(target.address, [])
        if complete and protocol.has_extra_bytes:
            self._observer.on_extra_bytes(target, messages.ExtraBytes.BEHIND_ANSWER)
        if (
            not complete
            or protocol.should_close
            or protocol.has_unparsed
            or not protocol.is_connected()
            or len(idle) >= MAX_IDLE_PER_TARGET
        ):
            # An orderly close would keep the target at work until it has read the unsent bytes.
            protocol.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        protocol.is_idle = True
        idle.append(connection)

    def is_answer_head(self, status: int, headers: messages.HeaderPairs) -> bool:
        """Returns whether a status and headers can be those of a target's answer."""
        head = self._codec.decode_answer_head(status, headers)
        is_marked = head.request_id is not None or head.sealed
        # Refusals and answers to stage calls may name no request.
        return is_marked or head.not_run or head.states_load

    def on_mixed_answer(self, target: targets.Target, head: messages.AnswerHead) -> None:
        """Reports an answer whose body holds another answer."""
        self._observer.on_extra_bytes(target, messages.ExtraBytes.IN_ANSWER, head.request_id)

    def close_idle_to(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.protocol.close()

    def close_idle(self) -> None:
        """Closes connections that have exceeded their idle limit; forgets unused budgets."""
        for address in [key for key, item in self._framing_budgets.items() if item.is_full]:
            del self._framing_budgets[address]
        now_ms = self._clock.now_ms()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if connection.is_usable(connection.incarnation, now_ms):
                    kept.append(connection)
                else:
                    connection.protocol.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle):
            self.close_idle_to(address)

    def _acquire(self, target: targets.Target) -> _PooledConnection | None:
        idle = self._idle.get(target.address, [])
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            if connection.is_usable(target.incarnation, now_ms):
                return connection
            connection.protocol.close()
        return None

    async def _open(self, target: targets.Target) -> _PooledConnection:
        loop = asyncio.get_running_loop()
        ip, _, port = target.address.rpartition(":")
        budget = self._framing_budgets.setdefault(
            target.address, framing_budget.FramingBudget(self._clock)
        )
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, protocol = await loop.create_connection(
                lambda: target_protocol.TargetProtocol(
                    loop,
                    budget,
                    lambda: self._observer.on_extra_bytes(target, messages.ExtraBytes.WHILE_IDLE),
                ),
                ip,
                int(port),
            )
        self.opened_count += 1
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        return _PooledConnection(protocol, target.incarnation)

    async def _read_head(
        self,
        target: targets.Target,
        connection: _PooledConnection,
        request_id: str | None,
        sent_ms: int,
        *,
        is_reused: bool,
        has_body: bool,
    ) -> Result[ports.TargetAnswer, ports.ExchangeFault]:
        protocol = connection.protocol
        stale_count = stale_bytes = 0
        while stale_count < MAX_STALE_RESPONSES:
            try:
                message, payload = await protocol.read()
                if status_line.classify(message.code) is status_line.StatusKind.INTERIM:
                    # Their number is limited by `target_protocol.MAX_FRAMING_BYTES`.
                    continue
                if embedded_heads.is_joined_head(message.reason, tuple(message.raw_headers)):
                    protocol.abort()
                    return Error(ports.ExchangeFault("joined-heads", sent=True))
                head = self._codec.decode_answer_head(message.code, tuple(message.raw_headers))
                if _is_answer_to(request_id, head, is_reused=is_reused):
                    self._observer.on_answer(target, head, sent_ms)
                    connection.idle_limit_ms = _idle_limit_ms(head.idle_ms)
                    framing = messages.Framing.NO_BODY
                    if has_body:
                        framing = _framing(message, head)
                    else:
                        head = _with_length(head)
                    transfer = messages.Transfer(framing, is_reused)
                    return Ok(PooledResponse(self, target, connection, payload, head, transfer))
                # A late response to an earlier request; the response to this one follows it.
                stale_count += 1
                self._observer.on_extra_bytes(
                    target, messages.ExtraBytes.OTHER_ANSWER, head.request_id
                )
                scanner = embedded_heads.EmbeddedHeadScanner(self.is_answer_head)
                while stale_bytes <= MAX_STALE_BYTES and (data := await payload.readany()):
                    stale_bytes += len(data)
                    scanner.feed(data)
                    if scanner.has_found_head:
                        break
                # A late response that has no end takes in the response to this request.
                if stale_bytes > MAX_STALE_BYTES or scanner.has_found_head:
                    break
            except (http_exceptions.HttpProcessingError, streams.EofStream) as error:
                # A protocol that closes its connection because of a limit forgets its error.
                protocol.abort()
                return Error(ports.ExchangeFault(_fault_kind(error), sent=True))
            except _CONNECTION_ERRORS as error:
                protocol.abort()
                return Error(
                    ports.ExchangeFault(type(error).__name__, sent=True, connection_broken=True)
                )
        protocol.abort()
        return Error(ports.ExchangeFault("only-late-answers", sent=True))


def _fault_kind(error: Exception) -> str:
    """Returns the name of the reason for which received bytes are no answer."""
    is_status = isinstance(error, answer_protocol.InvalidStatusError) or isinstance(
        error.__cause__, http_exceptions.BadStatusLine
    )
    return "invalid-status" if is_status else "not-http"


def _is_answer_to(request_id: str | None, head: messages.AnswerHead, *, is_reused: bool) -> bool:
    """Returns whether a response belongs to a request.

    A response without an id may belong to an earlier request if the connection had one.
    """
    if request_id is None:
        return True
    if head.request_id is None:
        return not is_reused
    return head.request_id == request_id


def _framing(
    message: http_parser.RawResponseMessage, head: messages.AnswerHead
) -> messages.Framing:
    if message.chunked:
        return messages.Framing.CHUNKS
    if head.content_length is not None:
        return messages.Framing.LENGTH
    return messages.Framing.CLOSE


def _with_length(head: messages.AnswerHead) -> messages.AnswerHead:
    """Adds the length to the headers to forward: without a body it is no framing."""
    if head.content_length is None:
        return head
    length = (b"Content-Length", b"%d" % head.content_length)
    return attrs.evolve(head, headers=(*head.headers, length))


def _idle_limit_ms(keep_alive_timeout_ms: int | None) -> int:
    if keep_alive_timeout_ms is None:
        return DEFAULT_IDLE_MS
    return min(MAX_IDLE_MS, int(keep_alive_timeout_ms * KEEP_ALIVE_FRACTION))
