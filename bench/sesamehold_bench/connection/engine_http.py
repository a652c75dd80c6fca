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

_WRONG_ATTEMPT = "0" * 32 + "/0/1"


@attrs.define(eq=False)
class EngineApi:
    """Completions API of one engine.

    Attributes:
        engine: Engine that runs the generations.
        control: Fault script of the engine.
    """

    engine: engines.Engine
    control: fault_http.FaultControl

    @classmethod
    def from_config(cls, config: engines.EngineConfig) -> EngineApi:
        """Creates the API of a new engine; must be called with a running event loop."""
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
        """Returns the counters of the engine, for comparison with booked costs."""
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
        """Returns the load report, which lags behind the state of the engine."""
        del request
        return web.json_response(self.engine.load(_now_s()))

    async def turn_cold(self, request: web.Request) -> web.Response:
        """Starts a cold phase without notifying the hosts."""
        del request
        self.engine.turn_cold(_now_s())
        return web.json_response({"cold": True})

    async def order(self, request: web.Request) -> web.Response:
        """Accepts an order to load a model or to change role, unless its fencing number is old."""
        if self.engine.accept_order(await request.json(), _now_s()):
            return web.json_response({"accepted": True})
        return web.json_response({"error": "old fencing number"}, status=409)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels an attempt and returns the units of work done for it."""
        return web.json_response({"units": self.engine.cancel(request.match_info["attempt"])})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Runs one generation and streams its tokens."""
        body = await request.json()
        self.control.exit_if_marked(body["prompt"])
        script = self.control.state.select_faults()
        attempt = request.headers.get("Sesamehold-Attempt", "")
        reported_attempt = _WRONG_ATTEMPT if script.wrong_attempt else attempt
        load = json.dumps(self.engine.load(_now_s()))
        headers = {"Sesamehold-Attempt": reported_attempt, "Sesamehold-Load": load}
        if script.cut is faults.Cut.BEFORE_EXECUTION:
            fault_http.abort_connection(request)
        if script.fail_status is not None:
            return web.json_response(
                {"error": "failed"}, status=script.fail_status, headers=headers
            )
        item = _decode_generation(body, attempt)
        admission = (
            engines.Admission.REFUSED if script.refuse else self.engine.submit(item, _now_s())
        )
        if admission is engines.Admission.REFUSED:
            headers["Sesamehold-Ran"] = "no"
            return web.json_response({"error": "refused"}, status=503, headers=headers)
        if admission is engines.Admission.BROKEN:
            fault_http.abort_connection(request)
        try:
            return await self._stream(request, item, headers, script)
        finally:
            self.engine.remove(item)

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
        writer = _StreamWriter(response, script, headers["Sesamehold-Attempt"])
        while tokens := await item.read_tokens():
            await self.control.block_if_silenced(request)
            await writer.write(tokens)
        await self.control.block_if_silenced(request)
        if item.end is not generation.End.FINISHED or script.cut is not faults.Cut.NONE:
            fault_http.abort_connection(request)
        await writer.finish(item, self.engine.load(_now_s()))
        return response


@attrs.define(eq=False)
class _StreamWriter:
    """Writes the events of one stream and applies the repeat and shuffle faults of its script."""

    response: web.StreamResponse
    script: faults.FaultScript
    attempt: str
    _delayed_event: bytes = b""

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
        """Writes the final event and the end marker."""
        final = {
            "attempt": self.attempt,
            "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
            "usage": {"units": item.produced, "cached_units": item.cached_units},
            "load": load,
        }
        await self.response.write(self._delayed_event + _encode_event(final) + b"data: [DONE]\n\n")
        await self.response.write_eof()

    async def _write_event(self, document: dict[str, Any]) -> None:
        event = _encode_event(document) * (2 if self.script.repeat_replies else 1)
        if not self.script.shuffle_pieces:
            await self.response.write(event)
        elif self._delayed_event:
            delayed, self._delayed_event = self._delayed_event, b""
            await self.response.write(event + delayed)
        else:
            self._delayed_event = event


def _encode_event(document: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def _decode_generation(body: dict[str, Any], attempt: str) -> generation.Generation:
    return generation.Generation(
        attempt=attempt,
        prompt=body["prompt"],
        max_tokens=body["max_tokens"],
        priority=body.get("priority", 0),
        next_index=body.get("resume_index", 0),
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
