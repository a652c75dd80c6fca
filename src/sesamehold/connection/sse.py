"""Incremental parser and encoder for server-sent events (WHATWG HTML, section 9.2)."""

from __future__ import annotations

import attrs

# No event with tokens is this long; a stream that exceeds it is treated as malformed.
MAX_BUFFER_BYTES = 1_048_576


class EventTooLargeError(ValueError):
    """An event exceeds `MAX_BUFFER_BYTES`."""


@attrs.define
class EventParser:
    r"""Extracts the data of each event from a byte stream.

    The `event`, `id` and `retry` fields and comments are skipped, because the completions protocol
    uses only `data`.

    >>> parser = EventParser()
    >>> parser.feed(b"data: {\"a\"")
    []
    >>> parser.feed(b":1}\n\ndata: [DONE]\n\n")
    [b'{"a":1}', b'[DONE]']
    """

    _buffer: bytes = b""

    def feed(self, chunk: bytes) -> list[bytes]:
        """Adds a chunk and returns the data of all events that it completes.

        Raises:
            EventTooLargeError: An event exceeds `MAX_BUFFER_BYTES`.
        """
        single = chunk.endswith(b"\n\n") and chunk.find(b"\n") == len(chunk) - 2
        if single and not self._buffer and chunk.startswith(b"data: "):
            # Fast path: one complete event in one chunk is the usual case for streamed tokens.
            return [chunk[6:-2]]
        buffer = self._buffer + chunk if self._buffer else chunk
        if b"\r" in buffer:
            buffer = buffer.replace(b"\r\n", b"\n")
        *complete, self._buffer = buffer.split(b"\n\n")
        if len(self._buffer) > MAX_BUFFER_BYTES:
            raise EventTooLargeError(f"event exceeds {MAX_BUFFER_BYTES} bytes")
        return [data for block in complete if (data := _event_data(block)) is not None]


def _event_data(block: bytes) -> bytes | None:
    if block.startswith(b"data: ") and b"\n" not in block:
        return block[6:]
    parts = [
        line[5:].removeprefix(b" ") for line in block.split(b"\n") if line.startswith(b"data:")
    ]
    return b"\n".join(parts) if parts else None


def encode(data: bytes, event: bytes | None = None) -> bytes:
    r"""Encodes one event; the data must not contain line breaks.

    >>> encode(b"1", b"piece")
    b'event: piece\ndata: 1\n\n'
    """
    if event is None:
        return b"data: " + data + b"\n\n"
    return b"event: " + event + b"\ndata: " + data + b"\n\n"
