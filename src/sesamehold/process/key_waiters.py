"""Waiting on the event loop for executions of this host to end."""

from __future__ import annotations

import asyncio

import attrs

_MS_PER_S = 1_000


@attrs.define
class KeyWaiters:
    """Futures of the tasks that wait for the execution of a key to end."""

    _waiters: dict[str, set[asyncio.Future[None]]] = attrs.field(factory=dict)

    async def wait(self, key: str, wait_ms: int) -> None:
        """Returns when the execution of the key ends on this host or the wait times out."""
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
        """Wakes all tasks that wait for a key."""
        for future in self._waiters.pop(key, set()):
            if not future.done():
                future.set_result(None)
