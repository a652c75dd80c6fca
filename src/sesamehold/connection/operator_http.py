"""HTTP API for operators, served on a separate address."""

from __future__ import annotations

from collections.abc import Callable
import hmac
from typing import Any

from aiohttp import web
import attrs

from sesamehold.connection import explanation_peer
from sesamehold.connection import ledger_peer
from sesamehold.connection import peer_client
from sesamehold.connection import problem_http
from sesamehold.process import cost_table
from sesamehold.process import dump
from sesamehold.process import ledger
from sesamehold.process import node as nodes
from sesamehold.request import errors


@attrs.define
class OperatorApi:
    """Request handlers of the operator API.

    Attributes:
        node: State of this host's decision logic.
        start_drain: Begins a graceful shutdown.
        peers: Client for other hosts; None if only local data is served.
    """

    node: nodes.Node
    start_drain: Callable[[], None]
    peers: peer_client.PeerClient | None = None

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(middlewares=[problem_http.middleware, self._authenticate])
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
        # Header values may contain bytes that are not valid UTF-8.
        if not hmac.compare_digest(given.encode(errors="surrogateescape"), expected.encode()):
            failure = errors.Unauthenticated(detail="Send the operator credential.")
            return problem_http.response(failure, None)
        response: web.StreamResponse = await handler(request)
        return response

    async def status(self, request: web.Request) -> web.Response:
        """Returns a summary of this host's status."""
        del request
        return web.json_response(dump.status(self.node))

    async def dump(self, request: web.Request) -> web.Response:
        """Returns the complete decision state."""
        del request
        return web.json_response(dump.state(self.node))

    async def costs(self, request: web.Request) -> web.Response:
        """Returns cost rows and replicas of this host; `?scope=fleet` merges all hosts."""
        if request.query.get("scope") == "fleet" and self.peers is not None:
            collected = await ledger_peer.collect(self.node, self.peers)
            rows = cost_table.to_rows(ledger.merge(collected.ledgers))
            return web.json_response({"rows": rows, "unreachable": collected.unreachable})
        return web.json_response(
            {
                "rows": cost_table.to_rows(self.node.ledger.totals),
                "ledgers": cost_table.to_documents(self.node.host_ledgers()),
            }
        )

    async def explanation(self, request: web.Request) -> web.Response:
        """Returns the explanation of one request."""
        finder = explanation_peer.ExplanationFinder(self.node, self.peers)
        document = await finder.find(request.match_info["request_id"], None)
        if document is None:
            failure = errors.NotFound(detail="No host that answered has a trace of the request.")
            return problem_http.response(failure, None)
        return web.json_response(document)

    async def drain(self, request: web.Request) -> web.Response:
        """Starts a graceful shutdown."""
        del request
        self.start_drain()
        return web.json_response({"draining": True}, status=202)
