"""Response protocol for connections to targets, which may send anything."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import http_exceptions
from aiohttp import streams

from sesamehold.connection import answer_protocol
from sesamehold.connection import status_line
from sesamehold.connection.gateway import framing_budget

# Received bytes, such as empty lines or chunk extensions, that may pass without a head or a byte of
# the body.
MAX_FRAMING_BYTES = 131_072
# Received bytes that are parsed before the framing budget is checked again.
SLICE_BYTES = 8_192
_MS_PER_S = 1_000


class FramingTooLargeError(aiohttp.ClientPayloadError):
    """More than `MAX_FRAMING_BYTES` arrived without a byte of the body."""


_INVALID_BYTES_ERRORS = (http_exceptions.HttpProcessingError, FramingTooLargeError)


class TargetProtocol(answer_protocol.AnswerProtocol):
    """Response protocol that is stricter than its base class with a misbehaving target.

    It distinguishes a reset from an orderly close, which the base class accepts alike as the end of
    a body without a length. It closes a connection on which bytes arrive while no request waits, or
    that delivers neither head nor body, it fails the body when the framing is invalid, and it reads
    no faster than the framing budget of the target allows.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        budget: framing_budget.FramingBudget,
        on_idle_bytes: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates the protocol; `on_idle_bytes` is called if bytes arrive while it is idle."""
        super().__init__(loop)
        self._on_idle_bytes = on_idle_bytes
        self.was_reset = False
        self.is_idle = False
        self.body: streams.StreamReader | None = None
        self._budget = budget
        self._framing_bytes = 0
        # Received bytes that are parsed later, because the budget or the reader of the body is
        # behind.
        self._unparsed = b""
        self._budget_timer: asyncio.TimerHandle | None = None
        self._is_reader_behind = False

    @property
    def has_unparsed(self) -> bool:
        """Returns whether received bytes wait to be parsed."""
        return bool(self._unparsed)

    @property
    def has_extra_bytes(self) -> bool:
        """Returns whether bytes have arrived behind the response that was read."""
        return self.has_unparsed or bool(self._buffer or self._tail) or self.has_invalid_bytes

    @property
    def has_invalid_bytes(self) -> bool:
        """Returns whether bytes have arrived that are no part of a response."""
        return isinstance(self.exception(), _INVALID_BYTES_ERRORS)

    def begin_request(self) -> None:
        """Prepares for the response to the next request on this connection."""
        self.is_idle = False
        self.body = None
        self._framing_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; closes the connection if they belong to no response."""
        if self.is_idle:
            self._on_idle_bytes()
            self.abort()
            return
        if not data:
            # The base class asks for what its parser has kept while the reader was behind.
            self._parse_slice(data)
            return
        if self._is_held or self._unparsed:
            self._unparsed += data
            return
        self._parse(data)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Passes on a message whose head has been parsed."""
        message, payload = data
        if status_line.classify(message.code) is status_line.StatusKind.FINAL:
            self.body = payload
            self._framing_bytes = 0
        super().feed_data(data, size)

    def pause_reading(self) -> None:
        """Stops to read until the reader of the body has caught up."""
        self._is_reader_behind = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Goes on to read after `pause_reading`, as far as the framing budget allows."""
        self._is_reader_behind = False
        super().resume_reading(resume_parser)
        if self._is_held and self.transport is not None:
            self.transport.pause_reading()
            return
        self._parse_held()

    def set_exception(self, exc: BaseException, *cause: Any) -> None:
        """Fails the pending read of the head and of the body."""
        super().set_exception(exc, *cause)
        if self.body is not None and not self.body.is_eof():
            self.body.set_exception(exc)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the connection was reset, or lost before all of it was parsed."""
        if self._budget_timer is not None:
            self._budget_timer.cancel()
            self._budget_timer = None
        self.was_reset = exc is not None or self.has_unparsed
        self._unparsed = b""
        super().connection_lost(exc)

    @property
    def _is_held(self) -> bool:
        return self._budget_timer is not None or self._is_reader_behind

    def _parse_held(self) -> None:
        held, self._unparsed = self._unparsed, b""
        if held:
            self._parse(held)

    def _parse(self, data: bytes) -> None:
        """Parses bytes until the framing budget is used up or the reader of the body is behind."""
        for start in range(0, len(data), SLICE_BYTES):
            delay_ms = self._parse_slice(data[start : start + SLICE_BYTES])
            if self.transport is None:
                return
            if delay_ms:
                self._wait_for_budget(delay_ms)
            if self._is_held:
                self._unparsed = data[start + SLICE_BYTES :] + self._unparsed
                return

    def _parse_slice(self, data: bytes) -> int:
        """Parses some bytes; returns for how many milliseconds the connection must not be read."""
        known_body, known_bytes = self.body, self.body.total_bytes if self.body is not None else 0
        super().data_received(data)
        body = self.body
        if body is not None and body is not known_body:
            known_bytes = 0
        body_bytes = 0 if body is None else body.total_bytes - known_bytes
        if body_bytes:
            self._framing_bytes = 0
        else:
            self._framing_bytes += len(data)
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self.set_exception(FramingTooLargeError("neither head nor body in the received bytes"))
            self.abort()
            return 0
        return self._budget.spend(len(data) - body_bytes)

    def _wait_for_budget(self, delay_ms: int) -> None:
        if self._budget_timer is None and self.transport is not None:
            self.transport.pause_reading()
            self._budget_timer = self._loop.call_later(delay_ms / _MS_PER_S, self._on_budget)

    def _on_budget(self) -> None:
        self._budget_timer = None
        if self._is_reader_behind:
            return
        self._parse_held()
        if not self._is_held and self.transport is not None:
            self.transport.resume_reading()
