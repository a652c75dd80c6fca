"""HTTP listener with limits on the resources of each connection."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import ssl

from aiohttp import web
import attrs

from sesamehold.connection import caller_connection
from sesamehold.connection.gateway import framing_budget
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process import receive_budget


@attrs.define(eq=False)
class HttpListener:
    """HTTP server on one address."""

    _runner: web.BaseRunner
    _server: asyncio.Server
    _is_draining: bool = False

    @classmethod
    async def start(
        cls,
        application: web.Application,
        address_text: str,
        limits: listening.CallerLimits,
        budget: receive_budget.ReceiveBudget,
        clock: clocks.Clock,
        tls: ssl.SSLContext | None,
    ) -> HttpListener:
        """Listens on an address; idle connections are closed after the idle timeout."""
        application.on_response_prepare.append(_finish_if_last)
        runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
        address = listening.Address.parse(address_text)
        return await cls._listen(runner, address, limits.for_connection, budget, clock, tls)

    @classmethod
    async def serve(
        cls,
        server: web.Server,
        address: listening.Address,
        limits: Callable[[], listening.ConnectionLimits],
        budget: receive_budget.ReceiveBudget,
        clock: clocks.Clock,
    ) -> HttpListener:
        """Listens on an address with a low-level server that has no routes.

        Args:
            server: Server whose handler receives all requests.
            address: Address to listen on.
            limits: Returns the limits that are in force now.
            budget: Memory for all connections of the process.
            clock: Source of time.
        """
        return await cls._listen(web.ServerRunner(server), address, limits, budget, clock, None)

    @classmethod
    async def _listen(
        cls,
        runner: web.BaseRunner,
        address: listening.Address,
        limits: Callable[[], listening.ConnectionLimits],
        budget: receive_budget.ReceiveBudget,
        clock: clocks.Clock,
        tls: ssl.SSLContext | None,
    ) -> HttpListener:
        await runner.setup()
        manager = runner.server
        if manager is None:
            raise RuntimeError("runner has no server after setup")
        loop = asyncio.get_running_loop()
        listener: HttpListener | None = None
        framing = framing_budget.FramingBudget(
            clock, rate_bytes_per_s=caller_connection.FRAMING_CHARGES_PER_S
        )

        def create_connection() -> caller_connection.CallerConnection:
            connection = caller_connection.CallerConnection(
                manager, limits, budget, framing, loop=loop
            )
            if listener is not None and listener._is_draining:
                connection.start_drain()
            return connection

        server = await loop.create_server(
            create_connection, address.ip, address.port, ssl=tls, reuse_address=True
        )
        listener = cls(runner, server)
        return listener

    @property
    def port(self) -> int:
        """Returns the bound port; needed if the configured port is 0."""
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are kept."""
        self._server.close()

    def start_drain(self) -> None:
        """Makes each connection end after the requests that have been received on it."""
        self._is_draining = True
        for connection in self._connections():
            connection.start_drain()

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Closes connections that have been idle for a time."""
        for connection in self._connections():
            connection.close_if_idle(min_idle_s)

    def refuse_unfinished_heads(self) -> None:
        """Refuses requests of whose head only a part has arrived."""
        for connection in self._connections():
            connection.refuse_unfinished_head()

    def phases(self) -> collections.Counter[caller_connection.ConnectionPhase]:
        """Returns the number of connections in each phase."""
        return collections.Counter(connection.phase for connection in self._connections())

    def _connections(self) -> list[caller_connection.CallerConnection]:
        server = self._runner.server
        if server is None:
            return []
        return [
            connection
            for connection in server.connections
            if isinstance(connection, caller_connection.CallerConnection)
        ]

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        await self._runner.cleanup()


async def _finish_if_last(request: web.Request, response: web.StreamResponse) -> None:
    caller_connection.finish_if_last(request, response)
    # The headers have been completed before this signal.
    if not response.keep_alive:
        response.headers["Connection"] = "close"
