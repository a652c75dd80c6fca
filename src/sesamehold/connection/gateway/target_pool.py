"""HTTP connections to targets.

The exchange is driven directly on aiohttp's response protocol instead of its client session: the
session repeats GET and other methods by itself when a kept connection turns out to be closed, and
only the kind of a route may decide about that.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import socket

import aiohttp
from aiohttp import client_proto
from aiohttp import http_exceptions
from aiohttp import streams
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import clock as clocks
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports

# A lost first packet is sent again only after a second; another target is asked before that.
CONNECT_TIMEOUT_S = 0.35
# Sent bytes that stay unacknowledged for this long break the connection (RFC 5482).
UNACKNOWLEDGED_LIMIT_MS = 1_500
# Probes on quiet connections, so that a silent peer is found within about three seconds.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Part of the idle time of a target after which a kept connection is no longer used.
IDLE_FRACTION = 0.5
# Idle time that is assumed if the target does not state it.
DEFAULT_IDLE_MS = 1_000
# Longest idle time of a reused connection; paths forget idle connections without a word.
MAX_IDLE_MS = 2_000
MAX_IDLE_PER_TARGET = 8
HEADER_LIMIT_BYTES = 65_536
# Late answers to earlier requests that are skipped on one connection.
MAX_STALE_ANSWERS = 4
_MS_PER_S = 1_000

_BROKEN = (
    aiohttp.ClientError,
    http_exceptions.HttpProcessingError,
    ConnectionError,
    OSError,
)


def watch_peer(sock: socket.socket | None) -> None:
    """Makes the kernel break a connection whose peer has gone silent."""
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)


class TargetProtocol(client_proto.ResponseHandler):
    """Response protocol that tells a reset from an orderly end.

    The base class takes either for the end of an answer whose length is not stated.
    """

    was_reset: bool = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes how the connection ended."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


@attrs.define(eq=False)
class _Connection:
    protocol: TargetProtocol
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
class PooledAnswer:
    """A target's answer on a connection of the pool."""

    _pool: TargetPool
    _address: str
    _connection: _Connection
    _payload: streams.StreamReader
    _ends_with_connection: bool
    head: messages.AnswerHead

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives."""
        try:
            while True:
                data = await self._payload.readany()
                if not data:
                    break
                yield data
        except _BROKEN as error:
            raise ports.BrokenAnswerError(type(error).__name__) from error
        if self._ends_with_connection and self._connection.protocol.was_reset:
            raise ports.BrokenAnswerError("reset before the end of the answer")

    def release(self) -> None:
        """Gives the connection back if the answer was read to its end, else closes it."""
        self._pool.give_back(self._address, self._connection, whole=self._payload.is_eof())


@attrs.define(eq=False)
class TargetPool:
    """Kept connections by address."""

    _codec: ports.RequestCodec
    _clock: clocks.Clock
    opened_count: int = 0
    _idle: dict[str, list[_Connection]] = attrs.field(factory=dict)

    async def send(
        self,
        target: targets.Target,
        request: bytes,
        request_id: str | None,
        *,
        reuse: bool,
    ) -> Result[ports.TargetAnswer, ports.ExchangeFault]:
        """Sends one request and waits for the head of its answer; see `ports.TargetClient`."""
        connection = self._take(target) if reuse else None
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
        protocol.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            max_line_size=HEADER_LIMIT_BYTES,
            max_field_size=HEADER_LIMIT_BYTES,
        )
        transport.write(request)
        try:
            return await self._read_head(target, connection, request_id)
        except BaseException:
            protocol.abort()
            raise

    def give_back(self, address: str, connection: _Connection, *, whole: bool) -> None:
        """Keeps a connection whose answer was read to its end, closes any other one."""
        protocol = connection.protocol
        idle = self._idle.setdefault(address, [])
        if (
            not whole
            or protocol.should_close
            or not protocol.is_connected()
            or len(idle) >= MAX_IDLE_PER_TARGET
        ):
            # Closing could leave the target at work until it has read what is still to be sent.
            protocol.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        idle.append(connection)

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.protocol.close()

    def close_idle(self) -> None:
        """Closes connections that have been idle for too long."""
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
            self.forget(address)

    def _take(self, target: targets.Target) -> _Connection | None:
        idle = self._idle.get(target.address, [])
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            if connection.is_usable(target.incarnation, now_ms):
                return connection
            connection.protocol.close()
        return None

    async def _open(self, target: targets.Target) -> _Connection:
        loop = asyncio.get_running_loop()
        ip, _, port = target.address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            transport, protocol = await loop.create_connection(
                lambda: TargetProtocol(loop), ip, int(port)
            )
        self.opened_count += 1
        watch_peer(transport.get_extra_info("socket"))
        return _Connection(protocol, target.incarnation)

    async def _read_head(
        self, target: targets.Target, connection: _Connection, request_id: str | None
    ) -> Result[ports.TargetAnswer, ports.ExchangeFault]:
        protocol = connection.protocol
        for _ in range(MAX_STALE_ANSWERS):
            try:
                message, payload = await protocol.read()
                if message.code < 200:
                    continue
                head = self._codec.answer_head(message.code, tuple(message.raw_headers))
                if head.request_id is None or request_id is None or head.request_id == request_id:
                    connection.idle_limit_ms = _idle_limit_ms(head.idle_ms)
                    unframed = head.content_length is None and not message.chunked
                    return Ok(
                        PooledAnswer(self, target.address, connection, payload, unframed, head)
                    )
                # A late answer to an earlier request; the answer to this one follows it.
                while await payload.readany():
                    pass
            except http_exceptions.HttpProcessingError:
                protocol.abort()
                return Error(ports.ExchangeFault("not-http", sent=True))
            except _BROKEN as error:
                protocol.abort()
                return Error(ports.ExchangeFault(type(error).__name__, sent=True, broken=True))
        protocol.abort()
        return Error(ports.ExchangeFault("only-late-answers", sent=True))


def _idle_limit_ms(stated_ms: int | None) -> int:
    if stated_ms is None:
        return DEFAULT_IDLE_MS
    return min(MAX_IDLE_MS, int(stated_ms * IDLE_FRACTION))
