"""Finds the head of another answer within an answer.

A target that answers twice, or that answers again after it broke off, sends a head where the body
of the answer before is due. The framing does not show that if the body ends with the connection, or
if the bytes behind an answer that broke off make up its length.
"""

from __future__ import annotations

from collections.abc import Callable
import re
from typing import TypeAlias

import attrs

from sesamehold.request.gateway import messages

# Limits what is held back of a body until it is known whether a head begins in it.
MAX_HEAD_BYTES = 8_192

HeadFilter: TypeAlias = Callable[[int, messages.HeaderPairs], bool]

_VERSION = b"HTTP/1."
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([0-9]{3})(?: [^\r\n]*)?\r?")
_STATUS_LINE_START = re.compile(rb"HTTP/1\.(?:[01](?: (?:[0-9]{0,2}|[0-9]{3}(?: [^\r\n]*)?))?)?\r?")
# A body that ends within such a line is more likely to be cut off than to quote a status line.
_PLAIN_STATUS_LINE_START = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[0-9]{0,2}|[0-9]{3}(?: [A-Za-z' -]*)?))?)?\r?"
)
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
_FIELD = re.compile(rb"(" + _TOKEN + rb"+):[ \t]*([^\r\n]*)\r?")
_FIELD_START = re.compile(_TOKEN + rb"*(?::[^\r\n]*)?\r?")


@attrs.define
class EmbeddedHeadScanner:
    r"""Passes a body on up to the head of another answer.

    A head counts as found with the first header that the filter accepts. Its blank line may be
    missing: it can be taken for the end of a chunk that broke off.

    Attributes:
        has_found_head: Whether the body holds the head of another answer.

    >>> scanner = EmbeddedHeadScanner(lambda status, headers: True)
    >>> scanner.feed(b"abHTT"), scanner.feed(b"P/1.1 200 OK\r\nX: y\r\n\r\nab")
    (b'ab', b'')
    >>> scanner.has_found_head
    True
    """

    _is_answer_head: HeadFilter
    has_found_head: bool = False
    _held: bytes = b""
    # Lines of the held bytes that were read, and the status in the first of them.
    _read_bytes: int = 0
    _status: int | None = None

    @property
    def has_head_start(self) -> bool:
        """Returns whether the body so far ends within something that may be a head."""
        if self._status is not None:
            return True
        return _PLAIN_STATUS_LINE_START.fullmatch(self._held) is not None

    @property
    def has_version_start(self) -> bool:
        """Returns whether the body so far ends as a head may begin, if only with one byte."""
        return self._status is not None or bool(self._held)

    def feed(self, data: bytes) -> bytes:
        """Adds a part of the body; returns what is certain to lie before any other head."""
        data = self._held + data if self._held else data
        head_start, position = 0, self._read_bytes
        while True:
            if self._status is None:
                head_start = data.find(_VERSION, position)
                if head_start < 0:
                    return self._hold(data, len(data) - _overlap_bytes(data))
                line_end = data.find(b"\n", head_start, head_start + MAX_HEAD_BYTES)
                if line_end < 0 and _may_be_start(_STATUS_LINE_START, data, head_start):
                    return self._hold(data, head_start)
                status = _STATUS_LINE.fullmatch(data, head_start, max(line_end, head_start))
                if status is None:
                    position = head_start + len(_VERSION)
                    continue
                self._status = int(status.group(1))
                position = line_end + 1
            line_end = data.find(b"\n", position)
            if line_end < 0 and _may_be_start(_FIELD_START, data, position):
                if len(data) - head_start >= MAX_HEAD_BYTES:
                    head_start = position
                return self._hold(data, head_start, position - head_start)
            field = _FIELD.fullmatch(data, position, max(line_end, position))
            if field is None:
                self._status = None
                continue
            if self._is_answer_head(self._status, ((field.group(1), field.group(2).strip()),)):
                self.has_found_head = True
                return data[:head_start]
            position = line_end + 1

    def finish(self) -> bytes:
        """Returns the rest of a body that has ended without another head."""
        held, self._held = self._held, b""
        return held

    def _hold(self, data: bytes, start: int, read_bytes: int = 0) -> bytes:
        """Holds bytes back from a position on; returns those before it."""
        self._held = data[start:]
        self._read_bytes = read_bytes
        return data[:start]


def is_joined_head(reason: str, headers: messages.HeaderPairs) -> bool:
    """Returns whether a head has a status line behind its own, as if another head broke off in it.

    >>> is_joined_head("OK", ((b"X-Note", b"abHTTP/1.1 404 Not Found"),))
    True
    """
    values = b"\n".join([reason.encode("utf-8", "surrogateescape"), *(v for _, v in headers)])
    return _STATUS_LINE.search(values) is not None


def _may_be_start(pattern: re.Pattern[bytes], data: bytes, position: int) -> bool:
    """Returns whether the rest of some bytes is short enough, and fit, to be part of a line."""
    is_short = len(data) - position < MAX_HEAD_BYTES
    return is_short and pattern.fullmatch(data, position) is not None


def _overlap_bytes(data: bytes) -> int:
    """Returns how many of the last bytes may be the start of a version."""
    for size_bytes in range(len(_VERSION) - 1, 0, -1):
        if data.endswith(_VERSION[:size_bytes]):
            return size_bytes
    return 0
