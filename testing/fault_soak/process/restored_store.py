"""Store that returns from an older copy of itself."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web
import attrs
import platform_stand_in


@attrs.frozen
class _Copy:
    taken_s: float
    revision: int
    items: dict[str, tuple[int, bytes | None]]


class RestoredStore(platform_stand_in.StoreStandIn):
    """Store that loses what was written since a copy each time that it returns from one."""

    def __init__(self) -> None:
        super().__init__()
        self.era = 1
        self._copies: list[_Copy] = []
        self._written: dict[str, bytes | None] = {}

    def leave(self) -> None:
        """Refuses all calls, also those that wait."""
        self.failing = 503
        self.changed.set()
        self.changed = asyncio.Event()

    def return_from_copy(self, age_s: float) -> None:
        """Goes back to the last copy that is at least so old, or else to the oldest one."""
        limit_s = time.monotonic() - age_s
        copy = next((item for item in reversed(self._copies) if item.taken_s < limit_s), None)
        copy = copy or self._copies[0]
        self._copies = [item for item in self._copies if item.revision <= copy.revision]
        self.items, self.revision = dict(copy.items), copy.revision
        self.era += 1
        self.failing = None

    def write_again(self) -> None:
        """Writes all that was lost, in the order of its keys."""
        for key, data in sorted(self._written.items()):
            if self.items.get(key, (0, None))[1] != data:
                self._set(key, data)

    def _set(self, key: str, data: bytes | None) -> None:
        super()._set(key, data)
        self._written[key] = data
        # Copies from before the first configuration would be those of an empty platform.
        if "op/config" in self.items:
            self._copies.append(_Copy(time.monotonic(), self.revision, dict(self.items)))

    async def _range(self, request: web.Request) -> web.Response:
        return self._with_era(await super()._range(request))

    async def _watch(self, request: web.Request) -> web.Response:
        if int(request.query["after"]) > self.revision:
            return self._with_era(web.Response(status=410))
        return self._with_era(await super()._watch(request))

    def _with_era(self, response: web.Response) -> web.Response:
        response.headers["Store-Era"] = str(self.era)
        return response
