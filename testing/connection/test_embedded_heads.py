"""Tests that heads in a body are told from text that mentions HTTP."""

from __future__ import annotations

import re

import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from sesamehold.connection.gateway import embedded_heads
from sesamehold.request.gateway import messages

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\n"


@attrs.define
class CountingPattern:
    """Pattern that counts the bytes that it is matched with."""

    pattern: re.Pattern[bytes]
    read_bytes: int = 0

    def fullmatch(
        self, data: bytes, start: int = 0, end: int | None = None
    ) -> re.Match[bytes] | None:
        end = len(data) if end is None else end
        self.read_bytes += end - start
        return self.pattern.fullmatch(data, start, end)


def _names_request(status: int, headers: messages.HeaderPairs) -> bool:
    del status
    return any(name.lower() == b"request-id" for name, _ in headers)


def _scan(parts: list[bytes]) -> tuple[bytes, embedded_heads.EmbeddedHeadScanner]:
    scanner = embedded_heads.EmbeddedHeadScanner(_names_request)
    passed = b""
    for part in parts:
        passed += scanner.feed(part)
        if scanner.has_found_head:
            break
    return passed, scanner


def _split(data: bytes, size_bytes: int) -> list[bytes]:
    return [data[start : start + size_bytes] for start in range(0, len(data), size_bytes)]


SOUND_BODIES = [
    pytest.param(b'{"log":"HTTP/1.1 200 OK\\r\\nRequest-Id: r1\\r\\n\\r\\n"}', id="escaped"),
    pytest.param(b'GET /x HTTP/1.1" 200 17\n' * 9, id="access-log"),
    pytest.param(b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\n<p>", id="head-without-id"),
    pytest.param(b"HTTP/1.1 is older than HTTP/2.", id="prose"),
    pytest.param(b"HTTP/1.1 200 OK\r\n<html>\r\nRequest-Id: r1\r\n\r\n", id="no-head-line"),
    pytest.param(b"HTTP/1.1 200 OK\r\nX: " + b"a" * embedded_heads.MAX_HEAD_BYTES, id="endless"),
    pytest.param(bytes(range(256)) * 40, id="binary"),
    pytest.param(b"HHTTHTTP/HTTP/1", id="ends-like-a-version"),
    pytest.param(b"", id="empty"),
]


@pytest.mark.parametrize("size_bytes", [1, 7, 65_536])
@pytest.mark.parametrize("body", SOUND_BODIES)
def test_body_that_mentions_http_is_passed_on_whole(body: bytes, size_bytes: int) -> None:
    """Guards against a sound answer that is taken for two."""
    passed, scanner = _scan(_split(body, size_bytes))
    assert not scanner.has_found_head
    assert not scanner.has_head_start
    assert passed + scanner.finish() == body


@given(strategies.binary(max_size=60), strategies.integers(1, 60))
def test_head_is_found_behind_any_body(body: bytes, size_bytes: int) -> None:
    """Guards against a second answer that is missed because of where its bytes are split."""
    passed, scanner = _scan(_split(body + HEAD + b"ab", size_bytes))
    assert scanner.has_found_head
    assert passed == body


@pytest.mark.parametrize("cut_bytes", range(len(b"HTTP/1."), len(HEAD)))
@pytest.mark.parametrize("size_bytes", [1, 65_536])
def test_head_that_is_cut_off_is_noticed(cut_bytes: int, size_bytes: int) -> None:
    """Guards against the start of a head at the end of a body."""
    passed, scanner = _scan(_split(b"body" + HEAD[:cut_bytes], size_bytes))
    assert scanner.has_head_start
    assert passed == b"body"


@pytest.mark.parametrize("size_bytes", [1, 7, 65_536])
@pytest.mark.parametrize(
    "head",
    [
        pytest.param(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nticket 4711\n", id="no-blank-line"),
        pytest.param(b"HTTP/1.1 200 As of 9/2\r\nRequest-Id: r1\r\n\r\n", id="unusual-reason"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\n" + b"X-Note: ab\r\n" * 900 + b"Request-Id: r1\r\n\r\n", id="long"
        ),
    ],
)
def test_head_is_found_that_is_no_usual_one(head: bytes, size_bytes: int) -> None:
    """Guards against a second answer that is missed because of the form of its head."""
    _, scanner = _scan(_split(b"body" + head + b"ab", size_bytes))
    assert scanner.has_found_head


@pytest.mark.parametrize(
    ("unit", "size_bytes"),
    [
        pytest.param(b"HTTP/1.1 200 OK\nX: ", 65_536, id="heads-in-headers"),
        pytest.param(b"HTTP/1.1 200 \n", 65_536, id="status-lines"),
        pytest.param(b"HTTP/1.", 65_536, id="versions"),
        pytest.param(b"HTTP/1.1 200 OK\n" + b"X: y\n" * 1_600, 1, id="bytes-of-a-long-head"),
    ],
)
def test_each_header_in_a_body_is_read_once(
    monkeypatch: pytest.MonkeyPatch, unit: bytes, size_bytes: int
) -> None:
    """Guards against a target that keeps the loop busy with a small body."""
    body = (unit * 20_000)[:131_072] if size_bytes > 1 else unit
    field = CountingPattern(embedded_heads._FIELD)
    monkeypatch.setattr(embedded_heads, "_FIELD", field)
    _scan(_split(body, size_bytes))
    assert field.read_bytes <= len(body)
