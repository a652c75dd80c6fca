"""HTTP listener with limits on the resources of each connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import ssl
from typing import Any

from aiohttp import web
import attrs
import logbook

from sesamehold.connection import problem_http
from sesamehold.process import listening
from sesamehold.request import errors

_MS_PER_S = 1_000
_LOG = logbook.Logger("http")


class _ProblemHandler(web.RequestHandler):
    """Responds to malformed HTTP and programming errors with problem documents."""

    __slots__ = ()

    def close(self) -> None:
        """Closes the connection, after the current request if one is in progress."""
        is_idle = self._waiter is not None
        super().close()
        # The base class only ends the task that waits for a request, not the connection.
        if is_idle and self.transport is not None:
            self.transport.close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status == 500:
            # Log only the type: an exception message may contain request content.
            _LOG.error("request handler failed", extra={"error": type(exc).__name__})
        if request.writer.output_size > 0:
            raise ConnectionError("response already started; it cannot be replaced by a failure")
        response = problem_http.response(_status_failure(status), None)
        response.force_close()
        return response


def _status_failure(status: int) -> errors.Failure:
    if status == 500:
        return errors.InternalError(
            detail="The host failed to handle the request.", ran=errors.RunStatus.UNKNOWN
        )
    return errors.BadRequest(detail="The request is not well-formed HTTP.", field="request")


@attrs.define(eq=False)
class HttpListener:
    """HTTP server on one address."""

    _runner: web.BaseRunner
    _server: asyncio.Server

    @classmethod
    async def start(
        cls,
        application: web.Application,
        address_text: str,
        limits: listening.CallerLimits,
        tls: ssl.SSLContext | None,
    ) -> HttpListener:
        """Listens on an address; idle connections are closed after the idle timeout."""
        runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
        address = listening.Address.parse(address_text)
        return await cls._listen(runner, address, lambda: limits, tls)

    @classmethod
    async def serve(
        cls,
        server: web.Server,
        address: listening.Address,
        limits: Callable[[], listening.CallerLimits],
    ) -> HttpListener:
        """Listens on an address with a low-level server that has no routes.

        Args:
            server: Server whose handler receives all requests.
            address: Address to listen on.
            limits: Returns the limits for a new connection.
        """
        return await cls._listen(web.ServerRunner(server), address, limits, None)

    @classmethod
    async def _listen(
        cls,
        runner: web.BaseRunner,
        address: listening.Address,
        limits: Callable[[], listening.CallerLimits],
        tls: ssl.SSLContext | None,
    ) -> HttpListener:
        await runner.setup()
        manager = runner.server
        if manager is None:
            raise RuntimeError("runner has no server after setup")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _ProblemHandler(manager, loop=loop, **_handler_options(limits())),
            address.ip,
            address.port,
            ssl=tls,
            reuse_address=True,
        )
        return cls(runner, server)

    @property
    def port(self) -> int:
        """Returns the bound port; needed if the configured port is 0."""
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop_accepting(self) -> None:
        """Closes the listening socket; open connections are kept."""
        self._server.close()

    def close_idle(self) -> None:
        """Closes idle connections now, and the others after their current request."""
        if self._runner.server is not None:
            for connection in list(self._runner.server.connections):
                connection.close()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.close()
        await self._runner.cleanup()


def _handler_options(limits: listening.CallerLimits) -> dict[str, Any]:
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
