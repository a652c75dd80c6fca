"""Control endpoint of a stand-in's faults, and silence on open connections."""

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
# Closed connections are forgotten when this many have been seen.
_SWEEP_SIZE = 1_024


@attrs.define(eq=False)
class FaultControl:
    """Applies the script of one stand-in to its connections."""

    state: faults.FaultState = attrs.field(factory=faults.FaultState)
    _seen: set[web_protocol.RequestHandler] = attrs.field(factory=set)
    _silent: set[web_protocol.RequestHandler] = attrs.field(factory=set)

    def install(self, application: web.Application) -> None:
        """Adds the control routes and the middleware."""
        application.middlewares.append(self._gate)
        application.router.add_put("/control/faults", self.configure)
        application.router.add_post("/control/silence", self.silence)
        application.router.add_get("/healthz", self.health)

    async def health(self, request: web.Request) -> web.Response:
        """Answers a probe."""
        del request
        return web.json_response({"ok": True})

    async def configure(self, request: web.Request) -> web.Response:
        """Puts a script in force."""
        try:
            script = faults.script_from_json(await request.json())
        except (cattrs.BaseValidationError, ValueError) as error:
            return web.json_response({"error": repr(error)}, status=400)
        self.state.configure(script)
        return web.json_response(faults.script_to_json(script))

    async def silence(self, request: web.Request) -> web.Response:
        """Makes all connections that are open now silent for good."""
        del request
        self._sweep()
        self._silent |= self._seen
        return web.json_response({"silent": len(self._silent)})

    async def passes(self, request: web.Request) -> None:
        """Returns at once on a working connection and never on a silent one."""
        if request.protocol in self._silent:
            await asyncio.Event().wait()

    def crash_if_marked(self, text: str) -> None:
        """Ends the process without clean-up if the text has the crash marker."""
        marker = self.state.script.crash_marker
        if marker and marker in text:
            os._exit(EXIT_CRASHED)

    @web.middleware
    async def _gate(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if not request.path.startswith(_CONTROL_PREFIXES):
            if len(self._seen) >= _SWEEP_SIZE:
                self._sweep()
            self._seen.add(request.protocol)
            await self.passes(request)
        response: web.StreamResponse = await handler(request)
        return response

    def _sweep(self) -> None:
        for protocols in (self._seen, self._silent):
            protocols.intersection_update({item for item in protocols if item.connected})


def cut(request: web.Request) -> None:
    """Cuts the connection of a request."""
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("cut by the fault script")
