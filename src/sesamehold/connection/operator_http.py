"""HTTP interface for operators; it listens on an address of its own."""

from __future__ import annotations

from collections.abc import Callable
import hmac
from typing import Any

from aiohttp import web
import attrs

from sesamehold.connection import caller_http
from sesamehold.process import dump
from sesamehold.process import node as nodes
from sesamehold.request import errors


@attrs.define
class OperatorApi:
    """Handlers of the operators' HTTP interface."""

    node: nodes.Node
    start_drain: Callable[[], None]

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(middlewares=[self._authenticate])
        application.router.add_get("/v1/status", self.status)
        application.router.add_get("/v1/dump", self.dump)
        application.router.add_get("/v1/costs", self.costs)
        application.router.add_get("/v1/requests/{request_id}/explanation", self.explanation)
        application.router.add_post("/v1/drain", self.drain)
        return application

    @web.middleware
    async def _authenticate(self, request: web.Request, handler: Any) -> web.StreamResponse:
        given = request.headers.get("Authorization", "")
        expected = f"Bearer {self.node.config.operator_credential}"
        if not hmac.compare_digest(given.encode(), expected.encode()):
            failure = errors.Unauthenticated(detail="Send the operator credential.")
            return caller_http.problem_response(failure, None)
        response: web.StreamResponse = await handler(request)
        return response

    async def status(self, request: web.Request) -> web.Response:
        """Answers a short summary of this host."""
        del request
        return web.json_response(dump.status(self.node))

    async def dump(self, request: web.Request) -> web.Response:
        """Answers the whole decision state."""
        del request
        return web.json_response(dump.state(self.node))

    async def costs(self, request: web.Request) -> web.Response:
        """Answers the cost table of this host."""
        del request
        return web.json_response({"rows": dump.cost_rows(self.node)})

    async def explanation(self, request: web.Request) -> web.Response:
        """Answers what this host did with one request."""
        trace = self.node.explanations.find(request.match_info["request_id"])
        if trace is None:
            failure = errors.NotFound(detail="This host has no trace of the request.")
            return caller_http.problem_response(failure, None)
        return web.json_response(attrs.asdict(trace))

    async def drain(self, request: web.Request) -> web.Response:
        """Starts a graceful shutdown."""
        del request
        self.start_drain()
        return web.json_response({"draining": True}, status=202)
