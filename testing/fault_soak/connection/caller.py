"""Callers that keep using a connection until its host closes it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import itertools
import random
import time

import attrs
import platform_stand_in

from fault_soak.request import promises

ANSWER_TIMEOUT_S = 6.0
PAUSE_S = 0.05
# Bodies that are sent slowly come in parts with these pauses between them.
SLOW_SHARE, SLOW_PARTS, SLOW_PAUSE_S = 0.15, 4, (0.05, 0.5)


@attrs.define(eq=False)
class Caller:
    """Sends one request after the other to one host."""

    name: str
    host: int
    address: tuple[str, int]
    record: promises.Record
    rng: random.Random
    # Keys and routes to choose from, and the number of the start of the host's process.
    keys: Callable[[], list[str]]
    routes: Callable[[], list[str]]
    life: Callable[[], int]
    _numbers: itertools.count[int] = attrs.field(factory=itertools.count)
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            self.record.outcomes.append(await self._send_one())
            await asyncio.sleep(PAUSE_S * (0.5 + self.rng.random()))
        self._drop()

    async def _send_one(self) -> promises.Outcome:
        request_id = f"{self.name}-{next(self._numbers)}"
        route, key = self.rng.choice(self.routes()), self.rng.choice(self.keys())
        sent_s = time.monotonic()
        outcome = promises.Outcome(
            request_id, route, self.host, key, sent_s, sent_s, life=self.life()
        )
        extra = {"Deadline_Remaining": str(int(promises.DEADLINE_S * 1_000))}
        if route == "chat":
            extra |= {"Pieces": "2,2", "Piece_Key": "p"}
            extra |= {"Model": "m", "Token_Counts": "10,5", "Prompt_Prefix": f"a:5,{request_id}:5"}
        body = b"body" * 100
        data = platform_stand_in.request(f"/{route}/x", request_id, key=key, body=body, **extra)
        data = data.replace(b"Connection: close\r\n", b"")
        parts = _Parts()
        all_sent_s = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = self._streams or await asyncio.open_connection(*self.address)
                self._streams = (reader, writer)
                await self._write(writer, data, len(body))
                all_sent_s = time.monotonic()
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
            all_sent_s=all_sent_s,
        )

    async def _write(self, writer: asyncio.StreamWriter, data: bytes, body_bytes: int) -> None:
        if self.rng.random() < SLOW_SHARE:
            size = body_bytes // SLOW_PARTS
            for _ in range(SLOW_PARTS - 1):
                part, data = data[:-body_bytes], data[-body_bytes:]
                writer.write(part)
                body_bytes -= size
                await asyncio.sleep(self.rng.uniform(*SLOW_PAUSE_S))
                if writer.is_closing():
                    raise ConnectionResetError
        writer.write(data)
        await writer.drain()

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
        elif b"content-length: " not in head:
            self.closes = True
            while data := await reader.read(65_536):
                self.body += data
        else:
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            self.body += await reader.readexactly(length)
        self.whole = True
