"""Waiting on the event loop for keys that this host runs."""

from __future__ import annotations

import asyncio

import attrs

_MS_PER_S = 1_000


@attrs.define
class KeyWaiters:
    """Wakes those who wait for the end of an execution."""

    _waiters: dict[str, set[asyncio.Future[None]]] = attrs.field(factory=dict)

    async def wait(self, key: str, wait_ms: int) -> None:
        """Returns when the key ends here or the time is over."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiting = self._waiters.setdefault(key, set())
        waiting.add(future)
        try:
            await asyncio.wait_for(future, wait_ms / _MS_PER_S)
        except TimeoutError:
            return
        finally:
            waiting.discard(future)
            if not waiting and self._waiters.get(key) is waiting:
                del self._waiters[key]

    def wake(self, key: str) -> None:
        """Wakes all that wait for a key."""
        for future in self._waiters.pop(key, set()):
            if not future.done():
                future.set_result(None)
