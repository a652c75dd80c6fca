"""Forwards the event stream of a target; has another target take over a stream that stalls.

A target that is silent may only be slow. Its stream stays open until another target has accepted to
go on with it, so that the caller loses nothing if no other target does.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

import attrs

from sesamehold.process import clock as clocks
from sesamehold.request.gateway import event_stream
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import open_answer
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# A stream has stalled after a pause of this many times the wanted gap between events, but not
# before the minimum below.
STALL_GAP_FACTOR = 3
MIN_STALL_MS = 800
_MS_PER_S = 1_000


class StreamedRequest(Protocol):
    """The request that a stream answers."""

    @property
    def answer_started(self) -> bool:
        """Returns whether the caller has received the head of the answer."""

    async def forward_events(self, opened: open_answer.OpenAnswer, events: bytes) -> None:
        """Sends complete events to the caller, after the head if they are the first ones."""

    def on_first_event(self, opened: open_answer.OpenAnswer) -> None:
        """Called when a target has sent its first event."""

    def on_broken(self, opened: open_answer.OpenAnswer, error: ports.BrokenAnswerError) -> None:
        """Called when the stream of a target broke off."""

    def may_replace(self, stalled: open_answer.OpenAnswer) -> bool:
        """Returns whether another target could go on with the stream now."""

    async def open_replacement(self, stalled: open_answer.OpenAnswer) -> open_answer.OpenResult:
        """Sends the request to other targets until one accepts it; see `may_replace`."""


@attrs.define(eq=False)
class StreamForwarder:
    """Forwards the streams of all attempts of one request.

    Attributes:
        splitter: Parser of the stream; knows the last event that the caller received.
    """

    _request: StreamedRequest
    _route: routing.Route
    _clock: clocks.Clock
    splitter: event_stream.EventSplitter = attrs.field(factory=event_stream.EventSplitter)

    async def forward(self, opened: open_answer.OpenAnswer) -> open_answer.OpenAnswer | None:
        """Forwards a stream to its end, or until another target has taken it over.

        Returns:
            None if the stream is complete, else the answer of the target that goes on with it.

        Raises:
            BrokenAnswerError: The stream broke off, and no other target has accepted to go on.
        """
        self.splitter.start_attempt(is_resumed=self._request.answer_started)
        reader = open_answer.ChunkReader(opened.answer.chunks())
        replacement = _Replacement(self._request, opened)
        try:
            return await self._forward(opened, reader, replacement)
        except ports.BrokenAnswerError as error:
            if not replacement.is_running:
                raise
            self._request.on_broken(opened, error)
            reader.cancel()
            opened.release()
            outcome = await replacement.finish()
            if outcome.is_error():
                # The search left out the targets that the request was sent to before.
                raise
            return outcome.ok
        finally:
            reader.cancel()
            await replacement.cancel()

    async def _forward(
        self,
        opened: open_answer.OpenAnswer,
        reader: open_answer.ChunkReader,
        replacement: _Replacement,
    ) -> open_answer.OpenAnswer | None:
        waiting_since_ms = self._clock.now_ms()
        is_first = True
        while True:
            stall_at_ms = waiting_since_ms + self._stall_limit_ms(is_first=is_first)
            await self._wait(reader, replacement, stall_at_ms)
            if replacement.is_done:
                outcome = await replacement.finish()
                if outcome.is_ok():
                    return outcome.ok
                waiting_since_ms = self._clock.now_ms()
            if not reader.pending().done():
                if not replacement.is_running and self._clock.now_ms() >= stall_at_ms:
                    waiting_since_ms = self._clock.now_ms()
                    if self._request.may_replace(opened):
                        replacement.start()
                continue
            chunk = reader.take()
            if chunk is None:
                self._check_end(opened, is_first=is_first)
                return None
            known_id = self.splitter.last_id
            events = self._feed(chunk)
            has_new_event = self.splitter.last_id != known_id
            if has_new_event:
                # The other target would repeat this event.
                await replacement.cancel()
            if events:
                if is_first:
                    is_first = False
                    self._request.on_first_event(opened)
                await self._request.forward_events(opened, events)
            if has_new_event:
                # Not earlier: a caller that reads slowly must not make its target look silent.
                waiting_since_ms = self._clock.now_ms()

    async def _wait(
        self, reader: open_answer.ChunkReader, replacement: _Replacement, stall_at_ms: int
    ) -> None:
        """Waits for bytes, for another target or, if none is asked, until the stream stalls."""
        tasks: list[asyncio.Task[object]] = [reader.pending(), *replacement.tasks()]
        timeout_s = None
        if not replacement.is_running:
            timeout_s = max(0, stall_at_ms - self._clock.now_ms()) / _MS_PER_S
        await asyncio.wait(tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    def _feed(self, chunk: bytes) -> bytes:
        try:
            return self.splitter.feed(chunk)
        except event_stream.MalformedStreamError as error:
            raise ports.BrokenAnswerError(str(error)) from error

    def _check_end(self, opened: open_answer.OpenAnswer, *, is_first: bool) -> None:
        if self.splitter.has_partial_event or not self._request.answer_started:
            raise ports.BrokenAnswerError(
                "the stream ended within an event",
                connection_broken=_ends_with_connection(opened),
            )
        if is_first and _ends_with_connection(opened):
            raise ports.BrokenAnswerError("the resumed stream ended without an event")

    def _stall_limit_ms(self, *, is_first: bool) -> int:
        """Returns the time without an event that has a new id after which a stream has stalled.

        Other bytes, such as comments or parts of an event, are no progress.
        """
        limit_ms = max(MIN_STALL_MS, self._route.event_gap_goal_ms * STALL_GAP_FACTOR)
        return max(limit_ms, self._route.latency_goal_ms) if is_first else limit_ms


def _ends_with_connection(opened: open_answer.OpenAnswer) -> bool:
    return opened.answer.transfer.framing is messages.Framing.CLOSE


@attrs.define(eq=False)
class _Replacement:
    """Search for a target that goes on with a stalled stream."""

    _request: StreamedRequest
    _stalled: open_answer.OpenAnswer
    _task: asyncio.Task[open_answer.OpenResult] | None = None

    @property
    def is_running(self) -> bool:
        return self._task is not None

    @property
    def is_done(self) -> bool:
        return self._task is not None and self._task.done()

    def start(self) -> None:
        self._task = asyncio.create_task(self._request.open_replacement(self._stalled))

    def tasks(self) -> list[asyncio.Task[open_answer.OpenResult]]:
        return [] if self._task is None else [self._task]

    async def finish(self) -> open_answer.OpenResult:
        """Returns the outcome as soon as it is known."""
        if self._task is None:
            raise RuntimeError("no replacement was started")
        outcome = await self._task
        self._task = None
        return outcome

    async def cancel(self) -> None:
        """Ends the search; closes the connection of an answer that was not taken."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        (outcome,) = await asyncio.gather(task, return_exceptions=True)
        if isinstance(outcome, Exception):
            raise outcome
        if not isinstance(outcome, BaseException) and outcome.is_ok():
            outcome.ok.release()
