r"""Splits a stream of server-sent events into complete events (WHATWG HTML, section 9.2).

The relay forwards only complete events, with their bytes unchanged, so that another target can
resume the stream after the last event that the caller received.
"""

from __future__ import annotations

import re

import attrs

# A stream with a longer event is treated as malformed.
MAX_EVENT_BYTES = 1_048_576

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID_FIELD = re.compile(rb"(?:^|\r\n|\n|\r)id:[ ]?(\d+)[ ]*(?=\r|\n)")


class EventTooLargeError(ValueError):
    """An event exceeds `MAX_EVENT_BYTES`."""


@attrs.define
class EventSplitter:
    r"""Incremental parser of one event stream.

    Attributes:
        last_id: Id of the last complete event that has one, None before the first of them.
        event_count: Number of complete events so far.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.has_partial_event
    (1, True)
    """

    last_id: int | None = None
    event_count: int = 0
    _partial: bytes = b""

    @property
    def has_partial_event(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the events that they complete.

        Raises:
            EventTooLargeError: An event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = self._partial + data if self._partial else data
        end = 0
        for match in _EVENT_END.finditer(buffer):
            end = match.end()
            self.event_count += 1
        complete, self._partial = buffer[:end], buffer[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        for match in _ID_FIELD.finditer(complete):
            self.last_id = int(match.group(1))
        return complete

    def discard_partial_event(self) -> None:
        """Discards a buffered incomplete event, such as that of an aborted attempt."""
        self._partial = b""
