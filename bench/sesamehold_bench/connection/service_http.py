"""HTTP interface of the stand-in for encoders, retrievers, rerankers and application services."""

from __future__ import annotations

import asyncio
import collections
import json
from typing import Any
import uuid

from aiohttp import web
import attrs

from sesamehold_bench.connection import fault_http
from sesamehold_bench.process import faults

_MS_PER_S = 1_000
_WRONG_ATTEMPT = "0" * 32 + "/0/1"


@attrs.frozen
class ServiceConfig:
    """Configuration of a stand-in service.

    Attributes:
        name: Name that the service includes in its output.
        capacity: Maximum number of concurrent calls; further calls are refused.
        service_ms: Duration of one call.
        reports_load: Whether answers carry a load report.
    """

    name: str
    capacity: int = 32
    service_ms: float = 5.0
    reports_load: bool = True


@attrs.define(eq=False)
class ServiceApi:
    """JSON API of one service; counts executions by idempotency key and by request."""

    config: ServiceConfig
    control: fault_http.FaultControl = attrs.field(factory=fault_http.FaultControl)
    start_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    running: int = 0
    total_units: int = 0
    executions: collections.Counter[str] = attrs.field(factory=collections.Counter)
    requests: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _outcomes: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=16 * 1_048_576)
        self.control.install(application)
        application.router.add_post("/v1/run", self.run)
        application.router.add_delete("/v1/attempts/{attempt:.+}", self.cancel)
        application.router.add_get("/v1/counters", self.counters)
        application.router.add_get("/v1/load", self.load)
        application.router.add_get("/v1/outcomes/{key:.+}", self.outcome)
        return application

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Executes one call."""
        attempt = request.headers.get("Sesamehold-Attempt", "")
        body = await request.json()
        self.control.exit_if_marked(_prompt_of(body))
        script = self.control.state.select_faults()
        headers = self._headers(attempt, script)
        if script.cut is faults.Cut.BEFORE_EXECUTION:
            fault_http.abort_connection(request)
        if script.fail_status is not None:
            return web.json_response(
                {"error": "failed"}, status=script.fail_status, headers=headers
            )
        if script.refuse or self.running >= self.config.capacity:
            headers["Sesamehold-Ran"] = "no"
            return web.json_response({"error": "refused"}, status=503, headers=headers)
        output = await self._execute(request, attempt, body)
        await asyncio.sleep(self.control.state.delay_s(script))
        await self.control.block_if_silenced(request)
        if script.cut is faults.Cut.AFTER_EXECUTION:
            fault_http.abort_connection(request)
        document = {
            "attempt": headers["Sesamehold-Attempt"],
            "output": output,
            "usage": {"units": 1},
        }
        if script.repeat_replies:
            return await _send_response_twice(request, document, headers)
        return web.json_response(document, headers=headers)

    async def _execute(
        self, request: web.Request, attempt: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        key = request.headers.get("Idempotency-Key")
        self.requests[attempt.partition("/")[0]] += 1
        if key is not None:
            self.executions[key] += 1
        self.running += 1
        self.total_units += 1
        output = {"text": f"{self.config.name}({_prompt_of(body)})"}
        if key is not None:
            self._outcomes[key] = output
        try:
            slow_factor = self.control.state.script.slow_factor
            await asyncio.sleep(self.config.service_ms * slow_factor / _MS_PER_S)
        finally:
            self.running -= 1
        return output

    async def load(self, request: web.Request) -> web.Response:
        """Returns the load report; this takes no service time."""
        del request
        return web.json_response(self._load_report())

    async def cancel(self, request: web.Request) -> web.Response:
        """Returns the units of work done for an attempt; a started call counts as one unit."""
        executed = self.requests[request.match_info["attempt"].partition("/")[0]]
        return web.json_response({"units": min(1, executed)})

    async def outcome(self, request: web.Request) -> web.Response:
        """Returns how often a key was executed, and the output of its last execution."""
        key = request.match_info["key"]
        return web.json_response(
            {
                "key": key,
                "executions": self.executions[key],
                "output": self._outcomes.get(key),
            }
        )

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the counters of the service, for comparison with booked costs."""
        del request
        return web.json_response(
            {
                "total_units": self.total_units,
                "executions": dict(self.executions),
                "requests": dict(self.requests),
            }
        )

    def _headers(self, attempt: str, script: faults.FaultScript) -> dict[str, str]:
        headers = {"Sesamehold-Attempt": _WRONG_ATTEMPT if script.wrong_attempt else attempt}
        if self.config.reports_load:
            headers["Sesamehold-Load"] = json.dumps(self._load_report())
        return headers

    def _load_report(self) -> dict[str, Any]:
        return {"running": self.running, "waiting": 0, "cold": False, "start_id": self.start_id}


async def _send_response_twice(
    request: web.Request, document: dict[str, Any], headers: dict[str, str]
) -> web.StreamResponse:
    response = web.json_response(document, headers=headers)
    await response.prepare(request)
    await response.write_eof()
    if request.transport is not None:
        body = json.dumps(document).encode()
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
        ]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        request.transport.write("\r\n".join([*lines, "", ""]).encode() + body)
    return response


def _prompt_of(body: dict[str, Any]) -> str:
    request_input = body.get("input")
    return str(request_input.get("prompt", "")) if isinstance(request_input, dict) else ""
