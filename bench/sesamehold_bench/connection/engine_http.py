"""HTTP interface of the stand-in engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json
from typing import Any

from aiohttp import web
import attrs

from sesamehold_bench.connection import fault_http
from sesamehold_bench.process import engine as engines
from sesamehold_bench.process import faults
from sesamehold_bench.request import generation

_OTHER_ATTEMPT = "0" * 32 + "/0/1"


@attrs.define(eq=False)
class EngineApi:
    """Completions protocol of one engine."""

    engine: engines.Engine
    control: fault_http.FaultControl

    @classmethod
    def from_config(cls, config: engines.EngineConfig) -> EngineApi:
        """Returns an engine; must be called with a running event loop."""
        control = fault_http.FaultControl()
        return cls(engines.Engine(config, control.state), control)

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=16 * 1_048_576)
        self.control.install(application)
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_delete("/v1/attempts/{attempt:.+}", self.cancel)
        application.router.add_post("/v1/orders", self.order)
        application.router.add_get("/v1/load", self.load)
        application.router.add_get("/v1/counters", self.counters)
        application.router.add_post("/control/cold", self.turn_cold)
        application.cleanup_ctx.append(self._run_engine)
        return application

    async def _run_engine(self, application: web.Application) -> AsyncIterator[None]:
        del application
        task = asyncio.create_task(self.engine.run())
        yield
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def counters(self, request: web.Request) -> web.Response:
        """Answers what the engine has counted, for comparison with booked costs."""
        del request
        counters = self.engine.counters
        return web.json_response(
            {
                **counters,
                "total_units": counters["units"],
                "running": len(self.engine.running),
                "overloads": counters["overloads"],
                "accepted": counters["accepted"],
                "tokens": counters["tokens"],
                "orders": self.engine.orders,
            }
        )

    async def load(self, request: web.Request) -> web.Response:
        """Answers the lagging load report."""
        del request
        return web.json_response(self.engine.load(_now_s()))

    async def turn_cold(self, request: web.Request) -> web.Response:
        """Starts a cold phase without notice."""
        del request
        self.engine.turn_cold(_now_s())
        return web.json_response({"cold": True})

    async def order(self, request: web.Request) -> web.Response:
        """Takes an order to load a model or to change role."""
        if self.engine.order(await request.json(), _now_s()):
            return web.json_response({"accepted": True})
        return web.json_response({"error": "old fencing number"}, status=409)

    async def cancel(self, request: web.Request) -> web.Response:
        """Stops an attempt and answers the work done for it."""
        return web.json_response({"units": self.engine.cancel(request.match_info["attempt"])})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Streams one generation."""
        body = await request.json()
        self.control.crash_if_marked(body["prompt"])
        script = self.control.state.draw()
        attempt = request.headers.get("Sesamehold-Attempt", "")
        shown_attempt = _OTHER_ATTEMPT if script.wrong_attempt else attempt
        load = json.dumps(self.engine.load(_now_s()))
        headers = {"Sesamehold-Attempt": shown_attempt, "Sesamehold-Load": load}
        if script.cut is faults.Cut.BEFORE_EXECUTION:
            fault_http.cut(request)
        if script.fail_status is not None:
            return web.json_response(
                {"error": "failed"}, status=script.fail_status, headers=headers
            )
        item = _generation_of(body, attempt)
        admission = (
            engines.Admission.REFUSED if script.refuse else self.engine.submit(item, _now_s())
        )
        if admission is engines.Admission.REFUSED:
            headers["Sesamehold-Ran"] = "no"
            return web.json_response({"error": "refused"}, status=503, headers=headers)
        if admission is engines.Admission.BROKEN:
            fault_http.cut(request)
        try:
            return await self._stream(request, item, headers, script)
        finally:
            self.engine.end(item)

    async def _stream(
        self,
        request: web.Request,
        item: generation.Generation,
        headers: dict[str, str],
        script: faults.FaultScript,
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream", **headers})
        await asyncio.sleep(self.control.state.delay_s(script))
        await response.prepare(request)
        writer = _PieceWriter(response, script, headers["Sesamehold-Attempt"])
        while tokens := await item.take():
            await self.control.passes(request)
            await writer.write(tokens)
        await self.control.passes(request)
        if item.end is not generation.End.FINISHED or script.cut is not faults.Cut.NONE:
            fault_http.cut(request)
        await writer.finish(item, self.engine.load(_now_s()))
        return response


@attrs.define(eq=False)
class _PieceWriter:
    """Writes the events of one stream, with the faults of its script."""

    response: web.StreamResponse
    script: faults.FaultScript
    attempt: str
    _held: bytes = b""

    async def write(self, tokens: list[tuple[int, str]]) -> None:
        """Writes one event for each token."""
        for index, text in tokens:
            await self._write_event(
                {
                    "attempt": self.attempt,
                    "index": index,
                    "token_count": 1,
                    "choices": [{"index": 0, "text": text}],
                }
            )

    async def finish(self, item: generation.Generation, load: dict[str, Any]) -> None:
        """Writes the last events."""
        final = {
            "attempt": self.attempt,
            "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
            "usage": {"units": item.produced, "cached_units": item.cached_units},
            "load": load,
        }
        await self.response.write(self._held + _event(final) + b"data: [DONE]\n\n")
        await self.response.write_eof()

    async def _write_event(self, document: dict[str, Any]) -> None:
        event = _event(document) * (2 if self.script.repeat_replies else 1)
        if not self.script.shuffle_pieces:
            await self.response.write(event)
        elif self._held:
            held, self._held = self._held, b""
            await self.response.write(event + held)
        else:
            self._held = event


def _event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _generation_of(body: dict[str, Any], attempt: str) -> generation.Generation:
    return generation.Generation(
        attempt=attempt,
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        priority=body.get("priority", 0),
        next_index=body.get("resume_index", 0),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
