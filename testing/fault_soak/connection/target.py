"""Targets of the soak: a plain service, engines and stages, on scripted HTTP connections."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import Any

import attrs
import platform_stand_in

from fault_soak.request import promises

CALL_S = 0.06
WORK_S = 0.03
# Some requests take long, so that planned stops meet them at work.
LONG_WORK_S, LONG_SHARE = 1.5, 0.05
EVENT_S = 0.04
CLOSE_SHARE = 0.3
# Answers that are followed by a second one, and those of them that break off before it.
SECOND_SHARE = 0.06
BREAK_SHARE = 0.3
SECOND_DELAYS_S = (0.0, 0.01, 0.2)


@attrs.define(eq=False)
class SoakTarget:
    """One start of a target.

    Attributes:
        speaks: Cleared while the target is silent.
        full: Whether it refuses requests.
    """

    target_id: str
    service: str
    zone: str
    number: int
    record: promises.Record
    rng: random.Random
    handle_address: str = ""
    speaks: asyncio.Event = attrs.field(factory=asyncio.Event)
    full: bool = False
    stand_in: platform_stand_in.WorkerStandIn = attrs.field(init=False)
    _server: asyncio.Server | None = None
    _made: set[str] = attrs.field(factory=set)
    # Request that a connection is at work on.
    _current: dict[asyncio.StreamWriter, str] = attrs.field(factory=dict)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        self.stand_in = platform_stand_in.WorkerStandIn(self._answer)

    async def start(self) -> None:
        self.speaks.set()
        self._server = await self.stand_in.start()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _answer(self, exchange: platform_stand_in.Exchange) -> None:
        if exchange.headers.get("expect-instance", self.target_id) != self.target_id:
            exchange.send(421, Not_Run="1")
        elif self.full and exchange.target != "/-/stage-free":
            exchange.send(503, Not_Run="1")
        elif exchange.target == "/-/stage-run":
            await self._run_stage(exchange)
        elif exchange.target == "/-/stage-free":
            self._made -= set(json.loads(exchange.body)["handles"])
            exchange.send(200, b"{}")
        else:
            self._current[exchange.writer] = exchange.request_id
            try:
                await self._run_request(exchange)
            except asyncio.CancelledError:
                self.record.cut_s.setdefault(exchange.request_id, time.monotonic())
                raise
            finally:
                del self._current[exchange.writer]

    async def _run_stage(self, exchange: platform_stand_in.Exchange) -> None:
        results: list[dict[str, Any]] = []
        await asyncio.sleep(CALL_S)
        await self.speaks.wait()
        for item in json.loads(exchange.body)["items"]:
            gone = [name for name in item.get("inputs", ()) if name not in self.record.made]
            if gone:
                results.append({"reason": "gone"})
                continue
            self._count += 1
            handle = f"{self.handle_address}/{self.target_id}-{self._count}"
            self._made.add(handle)
            self.record.made[handle] = (item["id"], item["stage"], item["piece"])
            results.append({"handle": handle})
        if not exchange.writer.is_closing():
            exchange.send(200, json.dumps({"items": results}).encode())

    async def _run_request(self, exchange: platform_stand_in.Exchange) -> None:
        headers = exchange.headers
        route = exchange.target.split("/")[1]
        after = int(headers.get("last-event-id", "0"))
        self.record.runs.append(
            promises.Run(
                request_id=exchange.request_id,
                route=route,
                target_id=self.target_id,
                account=headers.get("tenant", ""),
                leaked_key="authorization" in headers,
                after_event=after,
                inputs=tuple(filter(None, headers.get("inputs", "").split(","))),
                at_s=time.monotonic(),
            )
        )
        if route in ("chat", "talk"):
            await self._send_events(exchange, after)
            return
        is_long = self.rng.random() < LONG_SHARE
        await asyncio.sleep(LONG_WORK_S if is_long else WORK_S)
        await self.speaks.wait()
        if exchange.writer.is_closing():
            return
        body = promises.expected_body(exchange.request_id, route)
        closes = self._write_head(exchange, {"Content-Length": str(len(body))})
        is_second = self.rng.random() < SECOND_SHARE
        size_bytes = len(body)
        if is_second and self.rng.random() < BREAK_SHARE:
            size_bytes = self.rng.randrange(size_bytes)
        if is_second and (closes or size_bytes < len(body)):
            self.record.mixed.add(exchange.request_id)
        for part in (body[: min(50, size_bytes)], body[50:size_bytes]):
            await self.speaks.wait()
            if exchange.writer.is_closing():
                return
            exchange.writer.write(part)
            await asyncio.sleep(0)
        if is_second:
            await self._answer_again(exchange, body, waits=closes or size_bytes < len(body))
        if closes:
            exchange.writer.close()

    async def _answer_again(
        self, exchange: platform_stand_in.Exchange, body: bytes, *, waits: bool
    ) -> None:
        """Sends a whole second answer, maybe while the connection is at work on another request."""
        delay_s = self.rng.choice(SECOND_DELAYS_S)
        if waits:
            await asyncio.sleep(delay_s)
            self._write_second(exchange, body)
        else:
            loop = asyncio.get_running_loop()
            loop.call_later(delay_s, self._write_second, exchange, body)

    def _write_second(self, exchange: platform_stand_in.Exchange, body: bytes) -> None:
        if exchange.writer.is_closing():
            return
        at_work = self._current.get(exchange.writer)
        if at_work is not None:
            self.record.mixed.add(at_work)
        exchange.send(200, body)

    async def _send_events(self, exchange: platform_stand_in.Exchange, after: int) -> None:
        await self.speaks.wait()
        fields = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        closes = self._write_head(exchange, fields)
        for index in range(after + 1, promises.EVENT_COUNT + 1):
            await self.speaks.wait()
            if exchange.writer.is_closing():
                return
            data = promises.event(exchange.request_id, index)
            exchange.writer.write(
                data if closes else f"{len(data):x}\r\n".encode() + data + b"\r\n"
            )
            await asyncio.sleep(EVENT_S)
        if closes:
            exchange.writer.close()
        elif not exchange.writer.is_closing():
            exchange.writer.write(b"0\r\n\r\n")

    def _write_head(self, exchange: platform_stand_in.Exchange, fields: dict[str, str]) -> bool:
        """Writes a head; returns whether the answer ends with its connection instead."""
        closes = self.rng.random() < CLOSE_SHARE
        if closes:
            framing = ("Content-Length", "Transfer-Encoding")
            fields = {name: value for name, value in fields.items() if name not in framing}
            fields["Connection"] = "close"
        exchange.write_head(
            200, {"Request-Id": exchange.request_id, "Server-Seal": "seal", **fields}
        )
        return closes
