"""Tests where received bytes of a body in chunks are divided."""

from __future__ import annotations

import pytest

from sesamehold.connection import chunk_scanner

PART_BYTES = 16_384
NEXT = b"GET / HTTP/1.1\r\n\r\n"
LIKE_ENDS = b"coins: 0\r\n\r\n" * 50_000


def _chunks(content: bytes, size_bytes: int) -> bytes:
    parts = [content[begin : begin + size_bytes] for begin in range(0, len(content), size_bytes)]
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


def _ends(data: bytes, received_bytes: int) -> list[int]:
    """Returns the ends of the parts of bytes that arrive a number at a time."""
    scanner = chunk_scanner.ChunkScanner()
    ends = []
    for begin in range(0, len(data), received_bytes):
        received = data[begin : begin + received_bytes]
        position = 0
        while position < len(received):
            end = min(position + PART_BYTES, len(received))
            position = scanner.next_end(received, position, end)
            ends.append(begin + position)
    return ends


@pytest.mark.parametrize("received_bytes", [1, 2, 3, 7, 1_000, 1_000_000])
@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"0\r\n\r\n", id="empty"),
        pytest.param(_chunks(b"0\r\n\r\n" * 40, 7) + b"0\r\n\r\n", id="small-chunks"),
        pytest.param(_chunks(b"0\r\n\r\n" * 40, 200) + b"000\r\n\r\n", id="one-chunk"),
        pytest.param(b"A;x=0\r\n0123456789\r\n0;y\r\n\r\n", id="extensions"),
        pytest.param(b"2;" + b"e" * 90 + b"\r\nab\r\n0\r\n\r\n", id="long-extension"),
        pytest.param(b"1\r\na\r\n0\r\nX: 0\r\nY: 1\r\n\r\n", id="trailers"),
        pytest.param(b"1\r\na\r\n0\r\nX: " + b"0" * 90 + b"\r\n\r\n", id="long-trailer"),
    ],
)
def test_part_ends_where_the_body_ends(body: bytes, received_bytes: int) -> None:
    """Guards against a sound request that shares a part with an error behind it."""
    assert len(body) in _ends(body + NEXT, received_bytes)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(_chunks(LIKE_ENDS, 65_536), id="in-large-chunks"),
        pytest.param(_chunks(LIKE_ENDS, 100), id="in-small-chunks"),
        pytest.param(LIKE_ENDS, id="malformed"),
    ],
)
def test_content_like_the_end_of_a_body_is_not_divided(data: bytes) -> None:
    """Guards against a call of the parser for each few bytes, which holds up all requests."""
    assert len(_ends(data, len(data))) == -(-len(data) // PART_BYTES)
