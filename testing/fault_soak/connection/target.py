"""Targets of the soak: a plain service, engines and stages, on scripted HTTP connections."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any

import attrs
import platform_stand_in

from fault_soak.request import promises

CALL_S = 0.06
WORK_S = 0.03
EVENT_S = 0.04


@attrs.define(eq=False)
class SoakTarget:
    """One start of a target."""

    target_id: str
    service: str
    record: promises.Record
    handle_address: str = ""
    stand_in: platform_stand_in.WorkerStandIn = attrs.field(init=False)
    _server: asyncio.Server | None = None
    _made: set[str] = attrs.field(factory=set)
    _count: int = 0

    def __attrs_post_init__(self) -> None:
        self.stand_in = platform_stand_in.WorkerStandIn(self._answer)

    async def start(self) -> None:
        self._server = await self.stand_in.start()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _answer(self, exchange: platform_stand_in.Exchange) -> None:
        if exchange.headers.get("expect-instance", self.target_id) != self.target_id:
            exchange.send(421, Not_Run="1")
        elif exchange.target == "/-/stage-run":
            await self._run_stage(exchange)
        elif exchange.target == "/-/stage-free":
            self._made -= set(json.loads(exchange.body)["handles"])
            exchange.send(200, b"{}")
        else:
            await self._run_request(exchange)

    async def _run_stage(self, exchange: platform_stand_in.Exchange) -> None:
        results: list[dict[str, Any]] = []
        await asyncio.sleep(CALL_S)
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
        if route != "chat":
            await asyncio.sleep(WORK_S)
            exchange.send(200, promises.expected_body(exchange.request_id, route))
            return
        fields = {
            "Request-Id": exchange.request_id,
            "Server-Seal": "seal",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        exchange.write_head(200, fields)
        for index in range(after + 1, promises.EVENT_COUNT + 1):
            if exchange.writer.is_closing():
                return
            data = promises.event(exchange.request_id, index)
            exchange.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await asyncio.sleep(EVENT_S)
        if not exchange.writer.is_closing():
            exchange.writer.write(b"0\r\n\r\n")
