"""HTTP interface of the stand-in engine."""

from __future__ import annotations

import asyncio
import json
import os

from aiohttp import web
import attrs

from sesamehold_bench.process import engine as engines
from sesamehold_bench.request import generation

EXIT_CRASHED = 70


@attrs.define
class EngineApi:
    """Completions protocol of one engine."""

    engine: engines.Engine

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=16 * 1_048_576)
        application.router.add_post("/v1/completions", self.complete)
        application.router.add_delete("/v1/attempts/{attempt:.+}", self.cancel)
        application.router.add_get("/v1/counters", self.counters)
        application.router.add_get("/v1/load", self.load)
        return application

    async def counters(self, request: web.Request) -> web.Response:
        """Answers what the engine has counted, for comparison with booked costs."""
        del request
        return web.json_response(
            {
                "total_units": self.engine.total_units,
                "running": len(self.engine.running),
                "overloads": self.engine.overloads,
            }
        )

    async def load(self, request: web.Request) -> web.Response:
        """Answers the load report without any work."""
        del request
        return web.json_response(self._load())

    async def cancel(self, request: web.Request) -> web.Response:
        """Stops an attempt and answers the work done for it."""
        attempt = request.match_info["attempt"]
        item = self.engine.running.get(attempt)
        if item is not None:
            self.engine.end(item)
        return web.json_response({"units": self.engine.units_of(attempt)})

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Streams one generation."""
        attempt = request.headers.get("Sesamehold-Attempt", "")
        body = await request.json()
        if self.engine.config.crash_marker and self.engine.config.crash_marker in body["prompt"]:
            os._exit(EXIT_CRASHED)
        headers = {"Sesamehold-Attempt": attempt, "Sesamehold-Load": json.dumps(self._load())}
        if not self.engine.admits(_now_s()):
            headers["Sesamehold-Ran"] = "no"
            return web.json_response({"error": "at capacity"}, status=503, headers=headers)
        item = generation.Generation(
            attempt=attempt,
            prompt=body["prompt"],
            max_tokens=body["max_tokens"],
            priority=body.get("priority", 0),
            next_index=body.get("resume_index", 0),
        )
        self.engine.begin(item)
        try:
            return await self._stream(request, item, headers)
        finally:
            self.engine.end(item)

    async def _stream(
        self, request: web.Request, item: generation.Generation, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream", **headers})
        await response.prepare(request)
        while not item.finished:
            await self.engine.step()
            if item.attempt not in self.engine.running:
                raise ConnectionResetError("cancelled")
            index = item.next_index
            event = {
                "attempt": item.attempt,
                "index": index,
                "token_count": 1,
                "choices": [{"index": 0, "text": item.next_token()}],
            }
            await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")
        final = {
            "attempt": item.attempt,
            "choices": [{"index": 0, "text": "", "finish_reason": "stop"}],
            "usage": {"units": item.produced, "cached_units": 0},
            "load": self._load(),
        }
        await response.write(b"data: " + json.dumps(final).encode() + b"\n\ndata: [DONE]\n\n")
        await response.write_eof()
        return response

    def _load(self) -> dict[str, object]:
        return {
            "running": len(self.engine.running),
            "waiting": self.engine.waiting,
            "cold": self.engine.cold(_now_s()),
            "start_id": self.engine.start_id,
        }


def _now_s() -> float:
    return asyncio.get_running_loop().time()
