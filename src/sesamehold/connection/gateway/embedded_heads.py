"""Finds the head of another answer within an answer.

A target that answers twice, or that answers again after it broke off, sends a head where the body
of the answer before is due. The framing does not show that if the body ends with the connection, or
if the bytes behind an answer that broke off make up its length.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import re
from typing import TypeAlias

import attrs

from sesamehold.request.gateway import messages

# Limits what is held back of a body until it is known whether a head begins in it.
MAX_HEAD_BYTES = 8_192

HeadFilter: TypeAlias = Callable[[int, messages.HeaderPairs], bool]

_VERSION = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?")
_STATUS_LINE_START = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[0-9]{0,2}|[0-9]{3}(?: [A-Za-z' -]*)?))?)?\r?"
)
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
_FIELD = re.compile(rb"(" + _TOKEN + rb"+):[ \t]*([^\r\n]*)\r?")
_FIELD_START = re.compile(_TOKEN + rb"*(?::[^\r\n]*)?\r?")


class _Extent(enum.Enum):
    """How much of a head there is, if it is not a whole one."""

    NOTHING = enum.auto()
    START = enum.auto()


_Head: TypeAlias = tuple[int, messages.HeaderPairs]


@attrs.define
class EmbeddedHeadScanner:
    r"""Passes a body on up to the head of another answer.

    Attributes:
        has_found_head: Whether the body holds the whole head of another answer.

    >>> scanner = EmbeddedHeadScanner(lambda status, headers: True)
    >>> scanner.feed(b"abHTT"), scanner.feed(b"P/1.1 200 OK\r\nX: y\r\n\r\nab")
    (b'ab', b'')
    >>> scanner.has_found_head
    True
    """

    _is_answer_head: HeadFilter
    has_found_head: bool = False
    _held: bytes = b""

    @property
    def has_head_start(self) -> bool:
        """Returns whether the body so far ends within something that may be a head."""
        return self._held.startswith(_VERSION)

    def feed(self, data: bytes) -> bytes:
        """Adds a part of the body; returns what is certain to lie before any other head."""
        data = self._held + data if self._held else data
        self._held = b""
        position = data.find(_VERSION)
        while position >= 0:
            head = _read_head(data[position : position + MAX_HEAD_BYTES])
            if head is _Extent.START and len(data) - position < MAX_HEAD_BYTES:
                self._held = data[position:]
                return data[:position]
            if not isinstance(head, _Extent) and self._is_answer_head(*head):
                self.has_found_head = True
                return data[:position]
            position = data.find(_VERSION, position + len(_VERSION))
        held_bytes = _overlap_bytes(data)
        if held_bytes:
            self._held = data[-held_bytes:]
            return data[:-held_bytes]
        return data

    def finish(self) -> bytes:
        """Returns the rest of a body that has ended without another head."""
        held, self._held = self._held, b""
        return held


def is_joined_head(reason: str, headers: messages.HeaderPairs) -> bool:
    """Returns whether a head has a status line behind its own, as if another head broke off in it.

    >>> is_joined_head("OK", ((b"X-Note", b"abHTTP/1.1 404 Not Found"),))
    True
    """
    values = b"\n".join([reason.encode("utf-8", "surrogateescape"), *(v for _, v in headers)])
    return _STATUS_LINE.search(values) is not None


def _read_head(data: bytes) -> _Head | _Extent:
    """Reads a head from the start of some bytes."""
    status_line, *lines = data.split(b"\n")
    if not lines:
        is_start = _STATUS_LINE_START.fullmatch(status_line)
        return _Extent.START if is_start else _Extent.NOTHING
    status = _STATUS_LINE.fullmatch(status_line)
    if status is None:
        return _Extent.NOTHING
    headers: list[tuple[bytes, bytes]] = []
    for line in lines[:-1]:
        if line in {b"", b"\r"}:
            return int(status.group(1)), tuple(headers)
        field = _FIELD.fullmatch(line)
        if field is None:
            return _Extent.NOTHING
        headers.append((field.group(1), field.group(2).strip()))
    return _Extent.START if _FIELD_START.fullmatch(lines[-1]) else _Extent.NOTHING


def _overlap_bytes(data: bytes) -> int:
    """Returns how many of the last bytes may be the start of a version."""
    for size_bytes in range(len(_VERSION) - 1, 0, -1):
        if data.endswith(_VERSION[:size_bytes]):
            return size_bytes
    return 0
