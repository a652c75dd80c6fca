"""Simulated statsd daemon that counts datagrams and samples by metric name."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import AsyncIterator

from aiohttp import web
import attrs

from sesamehold.process import listening


@attrs.define(eq=False)
class StatsdSink(asyncio.DatagramProtocol):
    """Counts the lines of received datagrams by metric name."""

    datagrams: int = 0
    lines: collections.Counter[str] = attrs.field(factory=collections.Counter)
    malformed: int = 0

    def datagram_received(self, data: bytes, address: object) -> None:
        """Counts one datagram."""
        self.datagrams += 1
        for line in data.decode(errors="replace").splitlines():
            name, separator, value = line.rpartition(":")
            if separator and "|" in value:
                self.lines[name] += 1
            else:
                self.malformed += 1

    def application(self, address_text: str) -> web.Application:
        """Returns the application that receives samples over UDP and serves counts over HTTP."""
        application = web.Application()
        application.router.add_get("/v1/counters", self.counters)
        address = listening.Address.parse(address_text)

        async def listen(application: web.Application) -> AsyncIterator[None]:
            del application
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self, local_addr=(address.ip, address.port)
            )
            yield
            transport.close()

        application.cleanup_ctx.append(listen)
        return application

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the counts as JSON."""
        del request
        return web.json_response(
            {"datagrams": self.datagrams, "malformed": self.malformed, "lines": dict(self.lines)}
        )
