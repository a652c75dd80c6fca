"""Writes one response to a caller, complete or as server-sent events."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from collections.abc import Sequence
import json
from typing import Any

from aiohttp import web
import attrs

from sesamehold.connection import problem
from sesamehold.connection import problem_http
from sesamehold.connection import sse
from sesamehold.process import metrics
from sesamehold.request import calls
from sesamehold.request import errors

_MS_PER_S = 1_000


# Piece events are formatted without the general JSON encoder, which takes several times as long on
# the hottest path of a host.
_PIECE_EVENT = 'event: piece\ndata: {"index": %d, "token_count": %d, "text": %s}\n\n'
_quote = json.encoder.encode_basestring_ascii


@attrs.define(eq=False)
class HttpAnswerSink:
    """Writes the HTTP response of one request.

    A write waits while the connection's buffer is full. If that takes longer than the idle timeout,
    the connection is aborted, so that a slow reader occupies neither memory nor a target.
    """

    _request: web.Request
    _request_id: str
    _metrics: metrics.Metrics
    _stream: bool
    _idle_ms: int
    response: web.StreamResponse = attrs.field(factory=web.StreamResponse, init=False)
    _started: bool = attrs.field(default=False, init=False)
    _writing_since_s: float | None = attrs.field(default=None, init=False)
    _write_timer: asyncio.TimerHandle | None = attrs.field(default=None, init=False)

    async def pieces(self, pieces: Sequence[calls.Piece]) -> None:
        """Sends pieces of a stream; raises ConnectionError once the caller has disconnected."""
        if not self._stream:
            return
        await self._start_stream()
        chunk = "".join([_PIECE_EVENT % (p.index, p.token_count, _quote(p.text)) for p in pieces])
        await self._write_with_timeout(self.response.write(chunk.encode()))

    async def answer(self, answer: dict[str, Any]) -> None:
        """Sends a complete response as JSON."""
        await self.stored_answer(200, "application/json", json.dumps(answer).encode())

    async def stored_answer(self, status: int, content_type: str, body: bytes) -> None:
        """Sends a complete response that is already encoded."""
        if self._stream:
            await self._start_stream()
            await self._send_last_event(sse.encode(body, b"answer"))
        else:
            self.response = web.Response(
                status=status,
                body=body,
                content_type=content_type,
                headers={"Sesamehold-Request": self._request_id},
            )
            await self._write_with_timeout(self._send_complete())

    async def failure(self, failure: errors.Failure) -> None:
        """Sends a failure, as an event if the stream has started."""
        if self._started:
            body = json.dumps(problem.to_body(failure, self._request_id)).encode()
            await self._send_last_event(sse.encode(body, b"failure"))
            return
        self.response = problem_http.response(failure, self._request_id)
        await self._write_with_timeout(self._send_complete())

    async def _send_complete(self) -> None:
        await self.response.prepare(self._request)
        await self.response.write_eof()

    async def _send_last_event(self, event: bytes) -> None:
        await self._write_with_timeout(self.response.write(event))
        await self._write_with_timeout(self.response.write_eof())

    async def _start_stream(self) -> None:
        if self._started:
            return
        self._started = True
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "Sesamehold-Request": self._request_id,
            }
        )
        await self.response.prepare(self._request)

    def close(self) -> None:
        """Stops the timer for slow writes; called when the request has ended."""
        if self._write_timer is not None:
            self._write_timer.cancel()

    async def _write_with_timeout(self, write: Coroutine[Any, Any, None]) -> None:
        # One timer for each response instead of one for each write: a timeout for each piece of a
        # stream would take 5.6 us, which is 6 % of a core at 11,000 pieces per second.
        loop = asyncio.get_running_loop()
        self._writing_since_s = loop.time()
        if self._write_timer is None:
            self._write_timer = loop.call_later(
                self._idle_ms / _MS_PER_S, self._check_write_progress, loop
            )
        try:
            await write
        finally:
            self._writing_since_s = None

    def _check_write_progress(self, loop: asyncio.AbstractEventLoop) -> None:
        idle_s = self._idle_ms / _MS_PER_S
        since_s = loop.time() if self._writing_since_s is None else self._writing_since_s
        left_s = since_s + idle_s - loop.time()
        if left_s > 0:
            self._write_timer = loop.call_later(left_s, self._check_write_progress, loop)
            return
        self._metrics.count("callers.cut_slow")
        if self._request.transport is not None:
            # Closing would wait for the caller to read the buffer. Aborting makes the blocked write
            # raise ConnectionError.
            self._request.transport.abort()
