r"""Cuts a stream of server-sent events into whole events (WHATWG HTML, section 9.2).

A relay passes on only whole events, byte for byte, so that a stream can go on at another target
after the last one that the caller has.
"""

from __future__ import annotations

import re

import attrs

# An event longer than this is not a piece of a stream; the stream counts as malformed.
MAX_EVENT_BYTES = 1_048_576

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|\r\n|\n|\r)id:[ ]?(\d+)[ ]*(?=\r|\n)")


class EventTooLargeError(ValueError):
    """An event exceeds `MAX_EVENT_BYTES`."""


@attrs.define
class EventSplitter:
    r"""Position in one stream.

    Attributes:
        last_id: Id of the last whole event, None before the first one with an id.

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    b'id: 1\ndata: a\n\n'
    >>> splitter.last_id, splitter.has_rest
    (1, True)
    """

    last_id: int | None = None
    event_count: int = 0
    _rest: bytes = b""

    @property
    def has_rest(self) -> bool:
        """Returns whether a part of an event is left."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Takes received bytes; returns the whole events among all bytes so far.

        Raises:
            EventTooLargeError: An event exceeds `MAX_EVENT_BYTES`.
        """
        buffer = self._rest + data if self._rest else data
        end = 0
        for match in _END.finditer(buffer):
            end = match.end()
            self.event_count += 1
        whole, self._rest = buffer[:end], buffer[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        for match in _ID.finditer(whole):
            self.last_id = int(match.group(1))
        return whole

    def drop_rest(self) -> None:
        """Forgets a part of an event whose end will not come."""
        self._rest = b""
