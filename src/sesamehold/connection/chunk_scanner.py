"""Tells where a body in chunks ends, so that what follows it can be parsed apart.

The sizes of the chunks are read here only to choose where received bytes are divided. The HTTP
parser alone decides what is content, so a wrong division changes no request.
"""

from __future__ import annotations

import enum
import re

import attrs

_LINE_END = b"\r\n"
_HEX_BASE = 16
# A size and its extensions. The parser takes no size of more than 64 bits.
_SIZE_LINE = re.compile(rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[^\r\n]*)?\r\n")
# Longest beginning of a line that is kept until the rest of it has arrived.
_KEPT_LINE_BYTES = 32


class _Within(enum.Enum):
    CHUNKS = "chunks"
    TRAILERS = "trailers"
    MALFORMED = "malformed"


@attrs.define
class ChunkScanner:
    r"""Follows one body in chunks.

    Attributes:
        content_left_bytes: Bytes of the current chunk that are still to come, with its line end.

    >>> scanner = ChunkScanner()
    >>> data = b"7\r\n0\r\n\r\n..\r\n0\r\n\r\nGET"
    >>> data[: scanner.next_end(data, 0, len(data))]
    b'7\r\n0\r\n\r\n..\r\n0\r\n\r\n'
    """

    content_left_bytes: int = 0
    _within: _Within = _Within.CHUNKS
    # What has arrived of a line whose end has not.
    _line: bytes = b""

    def next_end(self, data: bytes, begin: int, end: int) -> int:
        """Advances up to a position, or to the end of the body before it.

        Args:
            data: Received bytes.
            begin: Where the bytes begin that have not been scanned.
            end: Where to stop at the latest.

        Returns:
            Where it has stopped.
        """
        position = begin
        while position < end:
            if self.content_left_bytes:
                step = min(self.content_left_bytes, end - position)
                position += step
                self.content_left_bytes -= step
            elif self._within is _Within.CHUNKS and not self._line:
                position = self._skip_chunks(data, position, end)
            elif self._within is _Within.MALFORMED:
                return end
            else:
                position, line = self._read_line(data, position, end)
                if line is None:
                    return end
                if self._within is _Within.TRAILERS:
                    if line == _LINE_END:
                        self._within = _Within.CHUNKS
                        return position
                elif size_line := _SIZE_LINE.fullmatch(line):
                    self._begin_chunk(int(size_line[1], _HEX_BASE))
                else:
                    self._within = _Within.MALFORMED
        return end

    def _skip_chunks(self, data: bytes, position: int, end: int) -> int:
        """Skips chunks whose size lines are complete; returns where the last one ends."""
        match = _SIZE_LINE.match
        while position < end:
            size_line = match(data, position, end)
            if size_line is None:
                # The line is malformed, or its end has not arrived; either way it is not empty.
                self._line = data[position : position + 1]
                return position + 1
            size_bytes = int(size_line[1], _HEX_BASE)
            content = size_line.end()
            if not size_bytes or content + size_bytes + len(_LINE_END) > end:
                self._begin_chunk(size_bytes)
                return content
            position = content + size_bytes + len(_LINE_END)
        return position

    def _begin_chunk(self, size_bytes: int) -> None:
        if size_bytes:
            self.content_left_bytes = size_bytes + len(_LINE_END)
        else:
            self._within = _Within.TRAILERS

    def _read_line(self, data: bytes, position: int, end: int) -> tuple[int, bytes | None]:
        """Returns where a line ends and the whole line, or None if its end has not arrived."""
        if self._line.endswith(b"\r") and data.startswith(b"\n", position, end):
            line_end = position + 1
        else:
            found = data.find(_LINE_END, position, end)
            line_end = end if found < 0 else found + len(_LINE_END)
        line = self._line + data[position:line_end]
        if line.endswith(_LINE_END):
            self._line = b""
            return line_end, line
        if len(line) > _KEPT_LINE_BYTES:
            # Only the size at the beginning and the last byte matter.
            line = line[: _KEPT_LINE_BYTES - 2] + b";" + line[-1:]
        self._line = line
        return line_end, None
