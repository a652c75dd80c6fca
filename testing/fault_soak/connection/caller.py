"""Callers that keep using a connection until its host closes it."""

from __future__ import annotations

import asyncio
import itertools
import random
import time

import attrs
import platform_stand_in

from fault_soak.request import promises

ANSWER_TIMEOUT_S = 6.0
PAUSE_S = 0.05
_ROUTES = ("order", "read", "chat")


@attrs.define(eq=False)
class Caller:
    """Sends one request after the other to one host."""

    name: str
    host: int
    address: tuple[str, int]
    record: promises.Record
    rng: random.Random
    keys: list[str]
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            self.record.outcomes.append(await self._send_one())
            await asyncio.sleep(PAUSE_S * (0.5 + self.rng.random()))
        self._drop()

    async def _send_one(self) -> promises.Outcome:
        request_id = f"{self.name}-{next(self._numbers)}"
        route, key = self.rng.choice(_ROUTES), self.rng.choice(self.keys)
        outcome = promises.Outcome(
            request_id, route, self.host, key, time.monotonic(), time.monotonic()
        )
        extra = {"Pieces": "2,2", "Piece_Key": "p"} if route == "chat" else {}
        if route == "chat":
            extra |= {"Model": "m", "Token_Counts": "10,5", "Prompt_Prefix": f"a:5,{request_id}:5"}
        data = platform_stand_in.request(f"/{route}/x", request_id, key=key, **extra)
        data = data.replace(b"Connection: close\r\n", b"")
        parts = _Parts()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = self._streams or await asyncio.open_connection(*self.address)
                self._streams = (reader, writer)
                writer.write(data)
                await parts.read(reader)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError, OSError):
            self._drop()
        except ValueError as error:
            # Bytes that are no answer; the promises compare the body with the expected one.
            parts.body += f" {error}".encode()
            self._drop()
        if parts.closes:
            self._drop()
        return attrs.evolve(
            outcome,
            ended_s=time.monotonic(),
            status=parts.status,
            body=bytes(parts.body),
            whole=parts.whole,
        )

    def _drop(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


@attrs.define
class _Parts:
    status: int | None = None
    body: bytearray = attrs.field(factory=bytearray)
    whole: bool = False
    closes: bool = False

    async def read(self, reader: asyncio.StreamReader) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        self.status = int(head.split(b" ", 2)[1])
        self.closes = b"connection: close" in head
        if b"transfer-encoding: chunked" in head:
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                self.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            self.body += await reader.readexactly(length)
        self.whole = True
