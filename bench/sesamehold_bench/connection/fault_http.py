"""Control endpoint for the faults of a stand-in, and silencing of open connections."""

from __future__ import annotations

import asyncio
import os
from typing import Any

from aiohttp import web
from aiohttp import web_protocol
import attrs
import cattrs

from sesamehold_bench.process import faults

EXIT_CRASHED = 70
_CONTROL_PREFIXES = ("/control/", "/v1/counters")
# Closed connections are removed from the sets once this many are tracked.
_CLEANUP_THRESHOLD = 1_024


@attrs.define(eq=False)
class FaultControl:
    """Applies the fault script of one stand-in to its connections."""

    state: faults.FaultState = attrs.field(factory=faults.FaultState)
    _connections: set[web_protocol.RequestHandler] = attrs.field(factory=set)
    _silenced: set[web_protocol.RequestHandler] = attrs.field(factory=set)

    def install(self, application: web.Application) -> None:
        """Adds the control routes and the middleware."""
        application.middlewares.append(self._block_silenced)
        application.router.add_put("/control/faults", self.configure)
        application.router.add_post("/control/silence", self.silence)
        application.router.add_get("/healthz", self.health)

    async def health(self, request: web.Request) -> web.Response:
        """Answers a health probe."""
        del request
        return web.json_response({"ok": True})

    async def configure(self, request: web.Request) -> web.Response:
        """Replaces the fault script."""
        try:
            script = faults.script_from_json(await request.json())
        except (cattrs.BaseValidationError, ValueError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        self.state.configure(script)
        return web.json_response(faults.script_to_json(script))

    async def silence(self, request: web.Request) -> web.Response:
        """Permanently stops replies on all connections that are open now."""
        del request
        self._remove_closed()
        self._silenced |= self._connections
        return web.json_response({"silent": len(self._silenced)})

    async def block_if_silenced(self, request: web.Request) -> None:
        """Returns immediately unless the connection is silenced; never returns if it is."""
        if request.protocol in self._silenced:
            await asyncio.Event().wait()

    def exit_if_marked(self, text: str) -> None:
        """Exits the process without cleanup if the text contains the crash marker."""
        marker = self.state.script.crash_marker
        if marker and marker in text:
            os._exit(EXIT_CRASHED)

    @web.middleware
    async def _block_silenced(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if not request.path.startswith(_CONTROL_PREFIXES):
            if len(self._connections) >= _CLEANUP_THRESHOLD:
                self._remove_closed()
            self._connections.add(request.protocol)
            await self.block_if_silenced(request)
        response: web.StreamResponse = await handler(request)
        return response

    def _remove_closed(self) -> None:
        for protocols in (self._connections, self._silenced):
            protocols.intersection_update({item for item in protocols if item.connected})


def abort_connection(request: web.Request) -> None:
    """Aborts the connection of a request and raises ConnectionResetError."""
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("connection aborted by the fault script")
