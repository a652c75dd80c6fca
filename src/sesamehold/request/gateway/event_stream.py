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


class MalformedStreamError(ValueError):
    """A stream cannot be forwarded."""


class EventTooLargeError(MalformedStreamError):
    """An event exceeds `MAX_EVENT_BYTES`."""


class NotAContinuationError(MalformedStreamError):
    """A resumed stream does not go on after the last event that was forwarded."""


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
    _is_resumed: bool = False

    @property
    def has_partial_event(self) -> bool:
        """Returns whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the events that they complete.

        Raises:
            EventTooLargeError: An event exceeds `MAX_EVENT_BYTES`.
            NotAContinuationError: In a resumed stream, an event has no id or not a higher one than
                the event before it.
        """
        buffer = self._partial + data if self._partial else data
        end = 0
        last_id = self.last_id
        for match in _EVENT_END.finditer(buffer):
            if self._is_resumed:
                last_id = _continued_id(buffer[end : match.end()], last_id)
            end = match.end()
            self.event_count += 1
        complete, self._partial = buffer[:end], buffer[end:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        for match in _ID_FIELD.finditer(complete):
            self.last_id = int(match.group(1))
        return complete

    def start_attempt(self, *, is_resumed: bool) -> None:
        """Prepares for the stream of another target; discards an incomplete event.

        Args:
            is_resumed: Whether the stream goes on after events that were forwarded before.
        """
        self._partial = b""
        self._is_resumed = is_resumed


def _continued_id(event: bytes, last_id: int | None) -> int | None:
    """Returns the id of an event of a resumed stream; a comment leaves the last id as it is."""
    match = _ID_FIELD.search(event)
    if match is None:
        if all(line.startswith(b":") for line in event.splitlines() if line):
            return last_id
        raise NotAContinuationError("an event of a resumed stream has no id")
    event_id = int(match.group(1))
    if last_id is not None and event_id <= last_id:
        raise NotAContinuationError(f"a resumed stream has event {event_id} after {last_id}")
    return event_id
