"""HTTP sessions to targets: a connection pool for each target, and single-use connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
import contextlib

import aiohttp
import attrs

from sesamehold.connection import answer_protocol
from sesamehold.connection import liveness

CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1_000


@attrs.define(eq=False)
class _PooledSession:
    session: aiohttp.ClientSession
    open_calls: int = 0
    retired: bool = False


@attrs.define(eq=False)
class TargetSessions:
    """HTTP sessions by target address.

    Each target has its own session, so that all its idle connections can be discarded at once when
    one of its connections turns out to be silent.
    """

    _connections_per_target: int
    _trace: aiohttp.TraceConfig
    _fresh: aiohttp.ClientSession
    _pooled: dict[str, _PooledSession] = attrs.field(factory=dict)
    _probes: dict[str, asyncio.Task[bool]] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, connections_per_target: int, trace: aiohttp.TraceConfig) -> TargetSessions:
        """Creates the sessions; must be called with a running event loop."""
        connector = answer_protocol.AnswerConnector(limit=0, force_close=True)
        return cls(connections_per_target, trace, _session(connector, trace))

    async def close(self) -> None:
        """Closes all connections."""
        for probe in self._probes.values():
            probe.cancel()
        await self._fresh.close()
        for pooled in self._pooled.values():
            await pooled.session.close()
        self._pooled.clear()

    @property
    def fresh(self) -> aiohttp.ClientSession:
        """Returns the session that opens a new connection for each call."""
        return self._fresh

    @contextlib.asynccontextmanager
    async def pooled(self, address: str) -> AsyncIterator[aiohttp.ClientSession]:
        """Provides the session with keep-alive connections to a target."""
        entry = self._pooled.get(address)
        if entry is None:
            connector = answer_protocol.AnswerConnector(
                limit=0, limit_per_host=self._connections_per_target
            )
            entry = _PooledSession(_session(connector, self._trace))
            self._pooled[address] = entry
        entry.open_calls += 1
        try:
            yield entry.session
        finally:
            entry.open_calls -= 1
            if entry.retired and not entry.open_calls:
                await entry.session.close()

    async def retire(self, address: str) -> None:
        """Discards the keep-alive connections to a target; calls in progress continue."""
        entry = self._pooled.pop(address, None)
        if entry is None:
            return
        entry.retired = True
        if not entry.open_calls:
            await entry.session.close()

    async def probe(self, address: str) -> bool:
        """Returns whether the target responds on a new connection.

        Concurrent probes of the same target share one request.
        """
        probe = self._probes.get(address)
        if probe is None:
            probe = asyncio.create_task(self._probe(address))
            self._probes[address] = probe
            probe.add_done_callback(lambda _: self._probes.pop(address, None))
        return await asyncio.shield(probe)

    async def _probe(self, address: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=liveness.PROBE_TIMEOUT_MS / _MS_PER_S)
        try:
            async with self._fresh.get(f"http://{address}/healthz", timeout=timeout):
                # Any response shows that new connections work.
                return True
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            return False


def _session(connector: aiohttp.TCPConnector, trace: aiohttp.TraceConfig) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        trace_configs=[trace],
        cookie_jar=aiohttp.DummyCookieJar(),
        raise_for_status=False,
    )
