"""Stand-in for the platform's configuration service, with read and watch; counts its calls."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
import attrs

_MS_PER_S = 1_000


@attrs.define
class PublishedValue:
    """A published value and its version."""

    version: int
    value: Any


@attrs.define(eq=False)
class PlatformApi:
    """Serves published values. A long-polling watch counts as one call.

    Attributes:
        values: Every published version of each value, oldest first.
        calls: Number of read and watch calls.
        down: Whether every read and watch call fails.
        stale_version: Newest version that is served; None serves the newest published one.
    """

    values: dict[str, list[PublishedValue]] = attrs.field(factory=dict)
    calls: int = 0
    down: bool = False
    stale_version: int | None = None
    _state_changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=16 * 1_048_576)
        application.router.add_get("/v1/values/{name}", self.read)
        application.router.add_put("/control/values/{name}", self.publish)
        application.router.add_put("/control/down", self.set_down)
        application.router.add_put("/control/stale", self.set_stale)
        application.router.add_get("/control/counters", self.counters)
        return application

    async def publish(self, request: web.Request) -> web.Response:
        """Publishes a value. Called only by tests and the demo."""
        document = await request.json()
        async with self._state_changed:
            name = request.match_info["name"]
            published = PublishedValue(int(document["version"]), document["value"])
            self.values.setdefault(name, []).append(published)
            self._state_changed.notify_all()
        return web.json_response({"published": True})

    async def set_down(self, request: web.Request) -> web.Response:
        """Makes the service unavailable or available again."""
        self.down = bool((await request.json())["down"])
        async with self._state_changed:
            self._state_changed.notify_all()
        return web.json_response({"down": self.down})

    async def set_stale(self, request: web.Request) -> web.Response:
        """Limits the served versions to those up to `version`; null removes the limit."""
        version = (await request.json())["version"]
        self.stale_version = None if version is None else int(version)
        async with self._state_changed:
            self._state_changed.notify_all()
        return web.json_response({"stale_version": self.stale_version})

    async def counters(self, request: web.Request) -> web.Response:
        """Returns the number of calls."""
        del request
        return web.json_response({"calls": self.calls})

    async def read(self, request: web.Request) -> web.Response:
        """Returns a value, after waiting up to `wait_ms` for a version above `after_version`."""
        self.calls += 1
        name = request.match_info["name"]
        after_version = int(request.query.get("after_version", "-1"))
        wait_s = int(request.query.get("wait_ms", "0")) / _MS_PER_S
        try:
            async with asyncio.timeout(wait_s), self._state_changed:
                await self._state_changed.wait_for(lambda: self._may_answer(name, after_version))
        except TimeoutError:
            pass
        if self.down:
            return web.json_response({"error": "unavailable"}, status=503)
        value = self._served_value(name)
        if value is None:
            return web.json_response({"error": "no such value"}, status=404)
        if value.version <= after_version:
            return web.Response(status=304)
        return web.json_response({"version": value.version, "value": value.value})

    def _may_answer(self, name: str, after_version: int) -> bool:
        value = self._served_value(name)
        return self.down or (value is not None and value.version > after_version)

    def _served_value(self, name: str) -> PublishedValue | None:
        limit = self.stale_version
        published = self.values.get(name, [])
        allowed = [item for item in published if limit is None or item.version <= limit]
        return allowed[-1] if allowed else None
