"""TCP proxy on loopback that delays, resets, silences or cuts connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct

import attrs


class Fault(enum.Enum):
    """What is done to connections."""

    NONE = "none"
    DELAY = "delay"
    # New connections are reset, and so were the old ones when the fault began.
    DOWN = "down"
    # Nothing passes in either direction until the fault ends.
    SILENT = "silent"
    # Answers do not pass until the fault ends.
    ONE_WAY = "one-way"


DELAY_S = 0.15
_CHUNK_BYTES = 65_536


@attrs.define(eq=False)
class _Link:
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    # Connections that were silenced for good never pass a byte again, while new ones work.
    silenced: bool = False

    def reset(self) -> None:
        for writer in self.writers:
            # Without this, an answer that ends with its connection would look complete.
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.transport.is_closing():
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


@attrs.define(eq=False)
class FaultProxy:
    """Forwards connections from one address to another one."""

    ip: str
    port: int
    upstream: tuple[str, int]
    fault: Fault = Fault.NONE
    _links: set[_Link] = attrs.field(factory=set)
    _healed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _server: asyncio.Server | None = None
    _pumps: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def start(self) -> None:
        self._healed.set()
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    def set(self, fault: Fault) -> None:
        self.fault = fault
        if fault is Fault.DOWN:
            self.reset()
        if fault in (Fault.NONE, Fault.DELAY):
            self._healed.set()
        else:
            self._healed.clear()

    def reset(self) -> None:
        for link in self._links:
            link.reset()

    def silence_open(self) -> None:
        for link in self._links:
            link.silenced = True

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        self.reset()
        for pump in self._pumps:
            pump.cancel()
        await asyncio.gather(*self._pumps, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is Fault.DOWN:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.upstream)
        except OSError:
            writer.transport.abort()
            return
        link = _Link((writer, up_writer))
        self._links.add(link)
        pumps = [
            asyncio.create_task(self._pump(link, reader, up_writer, answers=False)),
            asyncio.create_task(self._pump(link, up_reader, writer, answers=True)),
        ]
        self._pumps.update(pumps)
        await asyncio.wait(pumps)
        self._pumps.difference_update(pumps)
        self._links.discard(link)

    async def _pump(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        try:
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.fault is Fault.SILENT or (answers and self.fault is Fault.ONE_WAY):
                    await self._healed.wait()
                if link.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if not link.silenced:
                writer.close()
        except (ConnectionError, RuntimeError):
            # uvloop raises RuntimeError for a transport that was closed meanwhile.
            link.reset()
