"""HTTP interface of the stand-in for encoders, retrievers, rerankers and plain services."""

from __future__ import annotations

import asyncio
import collections
import json
import uuid

from aiohttp import web
import attrs

_MS_PER_S = 1_000


@attrs.frozen
class ServiceConfig:
    """Behaviour of a stand-in service.

    Attributes:
        name: Name that the service puts into its output.
        capacity: Concurrent calls that it bears.
        service_ms: Time that one call takes.
    """

    name: str
    capacity: int = 32
    service_ms: float = 5.0


@attrs.define
class ServiceApi:
    """JSON protocol of one service; counts executions by idempotency key."""

    config: ServiceConfig
    start_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    running: int = 0
    total_units: int = 0
    executions: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=16 * 1_048_576)
        application.router.add_post("/v1/run", self.run)
        application.router.add_delete("/v1/attempts/{attempt:.+}", self.cancel)
        application.router.add_get("/v1/counters", self.counters)
        application.router.add_get("/v1/load", self.load)
        application.router.add_get("/v1/outcomes/{key:.+}", self.outcome)
        return application

    async def run(self, request: web.Request) -> web.Response:
        """Executes one call."""
        attempt = request.headers.get("Sesamehold-Attempt", "")
        headers = {"Sesamehold-Attempt": attempt, "Sesamehold-Load": json.dumps(self._load())}
        if self.running >= self.config.capacity:
            headers["Sesamehold-Ran"] = "no"
            return web.json_response({"error": "at capacity"}, status=503, headers=headers)
        body = await request.json()
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            self.executions[key] += 1
        self.running += 1
        self.total_units += 1
        try:
            await asyncio.sleep(self.config.service_ms / _MS_PER_S)
        finally:
            self.running -= 1
        document = {
            "attempt": attempt,
            "output": {"text": self._text_of(body)},
            "usage": {"units": 1},
        }
        return web.json_response(document, headers=headers)

    async def load(self, request: web.Request) -> web.Response:
        """Answers the load report without any work."""
        del request
        return web.json_response(self._load())

    async def cancel(self, request: web.Request) -> web.Response:
        """Answers the work done for an attempt; a call is one unit from its start on."""
        del request
        return web.json_response({"units": 1})

    async def outcome(self, request: web.Request) -> web.Response:
        """Answers how often a key was executed."""
        key = request.match_info["key"]
        return web.json_response({"key": key, "executions": self.executions[key]})

    async def counters(self, request: web.Request) -> web.Response:
        """Answers what the service has counted, for comparison with booked costs."""
        del request
        return web.json_response(
            {"total_units": self.total_units, "executions": dict(self.executions)}
        )

    def _text_of(self, body: dict[str, object]) -> str:
        request_input = body.get("input")
        prompt = request_input.get("prompt", "") if isinstance(request_input, dict) else ""
        return f"{self.config.name}({prompt})"

    def _load(self) -> dict[str, object]:
        return {"running": self.running, "waiting": 0, "cold": False, "start_id": self.start_id}
