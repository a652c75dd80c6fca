"""Structured log of decisions and state changes, one JSON object per line.

Lines pass through a bounded buffer to standard output, and the process never blocks on the reader.
If the reader is slow or gone, lines are dropped and counted.
"""

from __future__ import annotations

import asyncio
import collections
import json
import os
import sys
from typing import Any

import attrs
import logbook

from sesamehold.process import clock as clocks

# Limit on the lines of each event name in one second. In a burst of similar events, further lines
# are counted instead of written.
MAX_LINES_PER_EVENT_PER_S = 100
MAX_BUFFER_BYTES = 262_144
FLUSH_INTERVAL_S = 0.05
_MS_PER_S = 1_000


@attrs.define(eq=False)
class BoundedOutput:
    """Bounded buffer in front of a non-blocking file descriptor.

    Attributes:
        file_descriptor: Descriptor that receives the lines.
        dropped_count: Number of lines dropped because the buffer was full.
    """

    file_descriptor: int = 1
    dropped_count: int = 0
    _lines: collections.deque[bytes] = attrs.field(factory=collections.deque)
    _size_bytes: int = 0
    _timer: asyncio.TimerHandle | None = None

    def add(self, line: bytes) -> None:
        """Buffers a line, or drops it if the buffer is full."""
        if self._size_bytes + len(line) > MAX_BUFFER_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(line)
        self._size_bytes += len(line)
        if self._timer is None:
            self._schedule()

    def flush(self) -> None:
        """Writes as much as the file descriptor accepts without blocking."""
        self._timer = None
        while self._lines:
            data = b"".join(self._lines)
            try:
                written = os.write(self.file_descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone; later lines are dropped once the buffer is full.
                return
            self._lines.clear()
            rest = data[written:]
            self._size_bytes = len(rest)
            if rest:
                self._lines.append(rest)
                self._schedule()
                return

    def _schedule(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)


class JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Logbook handler that writes records as JSON lines to a bounded output."""

    def __init__(self, output: BoundedOutput) -> None:
        """Creates a handler for records of level INFO and above."""
        super().__init__(level=logbook.INFO)
        self._output = output

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes one record, without extra fields that are None."""
        line = {
            "time": record.time.isoformat(),
            "level": record.level_name.lower(),
            "event": record.message,
            **{name: value for name, value in record.extra.items() if value is not None},
        }
        text = json.dumps(line, default=str, separators=(",", ":"))
        self._output.add(text.encode("utf-8", "backslashreplace") + b"\n")


def install(output: BoundedOutput) -> JsonHandler:
    """Makes the output non-blocking and returns the log handler for the process."""
    os.set_blocking(output.file_descriptor, False)
    sys.stdout.flush()
    return JsonHandler(output)


@attrs.define
class DecisionLog:
    """Writes events with a rate limit for each event name."""

    _clock: clocks.Clock
    _logger: logbook.Logger = attrs.field(factory=lambda: logbook.Logger("gateway"))
    _second: int = 0
    _written: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _suppressed: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def write(self, event: str, **fields: Any) -> None:
        """Writes one event, or only counts it if its name has reached the limit of this second."""
        second = self._clock.now_ms() // _MS_PER_S
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report_suppressed()
        self._written[event] += 1
        if self._written[event] > MAX_LINES_PER_EVENT_PER_S:
            self._suppressed[event] += 1
            return
        self._logger.info(event, extra=fields)

    def _report_suppressed(self) -> None:
        if self._suppressed:
            suppressed = dict(self._suppressed)
            self._suppressed.clear()
            self._logger.info("log.suppressed", extra={"lines": suppressed})
