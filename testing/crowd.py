"""Callers that do not keep to the limits, and what a process holds while they are connected.

The checks do not depend on the speed of the machine: a caller sends a number of bytes, or ends when
the process closes its connection. A process that has not read for a while is taken not to read on.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import pathlib
import socket

import attrs

CALLER_COUNT = 128
MEMORY_MB = 160
HEADER_BYTES = 8_192
BODY_BYTES = 1_000_000
_MB = 1_000_000
_STALL_S = 2.0
# Lets a process receive what one caller has sent before the next one begins.
_GAP_S = 0.02
# Far above what any machine needs; a process that takes longer hangs.
HANG_S = 60.0
# Descriptors that a process may open besides those of its callers and as many to targets.
_TARGET_DESCRIPTORS = 32


@attrs.frozen
class Stream:
    """What one caller sends: a beginning, and then the same bytes again and again.

    Attributes:
        size_bytes: Number of bytes after which the caller stops.
        reads: Whether the caller reads what it gets.
        gap_s: Time between the starts of two callers.
    """

    begin: bytes
    repeat: bytes
    size_bytes: int = 4 * _MB
    reads: bool = True
    gap_s: float = 0.0


def streams(request_head: bytes) -> dict[str, Stream]:
    """Returns by name what callers send beyond the limits.

    Args:
        request_head: Head of a sound request that may have a body, without length and blank line.
    """
    chunked = request_head + b"Transfer-Encoding: chunked\r\n\r\n"
    small_fields = b"X-Small: 1\r\n" * 5_000
    long_fields = (b"X-Long: " + b"a" * 8_000 + b"\r\n") * 8
    text = b"a" * 65_536
    at_limit = b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b" " * BODY_BYTES
    return {
        "request-line": Stream(b"POST /", text),
        "method": Stream(b"", text.upper()),
        "one-field": Stream(request_head + b"X-Long: ", text),
        "fields-of-8-kB": Stream(request_head, long_fields),
        "small-fields": Stream(request_head, small_fields),
        "small-trailers": Stream(chunked + b"0\r\n", small_fields),
        "long-trailers": Stream(chunked + b"0\r\n", long_fields),
        "bytes-behind-a-body": Stream(request_head + at_limit, text),
        "body-that-stops": Stream(
            request_head + b"Content-Length: %d\r\n\r\n" % BODY_BYTES,
            b" " * (BODY_BYTES - 1),
            size_bytes=1,
        ),
        "body-announced-far-over": Stream(
            request_head + b"Content-Length: 1000000000000\r\n\r\n", text
        ),
        "chunks-of-64-kB": Stream(chunked, b"10000\r\n" + text + b"\r\n"),
        "chunks-of-1-byte": Stream(chunked, b"1\r\na\r\n" * 10_000),
        "chunk-extension": Stream(chunked + b"1;", b"a=b;" * 16_384),
        "chunk-extensions": Stream(chunked, (b"1;" + b"e" * 1_000 + b"\r\na\r\n") * 64),
        "malformed": Stream(b"", b"G@T / HTTP/1.1\r\nHost: h\r\n\r\n" * 2_500),
        "empty-lines": Stream(b"", b"\r\n" * 32_768),
    }


def streams_at_limits(
    request_head: bytes, slow_head: bytes, header_bytes: int, body_bytes: int
) -> dict[str, Stream]:
    """Returns by name what callers send up to a limit, or a little less and then no more.

    Args:
        request_head: Head of a sound request that may have a body, without length and blank line.
        slow_head: The same of a request whose answer takes long.
        header_bytes: Limit on a line of a head.
        body_bytes: Limit on a body.
    """
    chunked = request_head + b"Transfer-Encoding: chunked\r\n\r\n"
    at_limit = request_head + b"Content-Length: %d\r\n\r\n" % body_bytes
    open_request = slow_head + b"\r\n"
    over_limit = request_head + b"Content-Length: %d\r\n\r\n" % (body_bytes + 1)
    text = b"a" * 65_536
    chunk = b"10000\r\n" + text + b"\r\n"
    chunk_count = body_bytes // len(text)
    ends = b"10000\r\n" + (b"coins: 0\r\n\r\n" * 6_000)[: len(text)] + b"\r\n"
    small_chunks = (b"100\r\n" + b"a" * 256 + b"\r\n") * 128
    one_chunk = b"%x\r\n" % (body_bytes - 1)
    # One character outside Latin-1 makes the text of a line four times as large as its bytes.
    plain_line = b"a" * (header_bytes - 64)
    wide_line = "\N{GRINNING FACE}".encode() + plain_line[4:]
    plain_head = b"".join(b"X-%d: %s\r\n" % (number, plain_line) for number in range(56))
    wide_head = b"".join(b"X-%d: %s\r\n" % (number, wide_line) for number in range(56))
    no_body = b"Content-Length: 10\r\n\r\n"
    return {
        "length-far-over": Stream(
            request_head + b"Content-Length: 1000000000000\r\n\r\n", text, 8 * _MB
        ),
        "length-over-by-one": Stream(over_limit, text, body_bytes),
        "length-that-stops-short": Stream(at_limit, text, body_bytes - len(text)),
        "length-sent-whole": Stream(at_limit.replace(request_head, slow_head), text, body_bytes),
        "small-length-that-stops-short": Stream(
            request_head + b"Content-Length: 65536\r\n\r\n", text[1:], 1
        ),
        "chunks-without-end": Stream(chunked, chunk, 8 * _MB),
        "chunks-that-stop-short": Stream(chunked, chunk, (chunk_count - 1) * len(chunk)),
        "small-chunks-that-stop-short": Stream(chunked, small_chunks, body_bytes - 65_536),
        "one-chunk-that-stops-short": Stream(chunked + one_chunk, text, body_bytes - len(text)),
        "chunk-without-its-end": Stream(chunked, chunk[:-2], 1),
        "chunk-size-without-its-line": Stream(chunked + chunk + b"100", b"0", 1),
        "last-chunk-without-its-end": Stream(chunked + chunk, b"0\r\n", 1),
        "trailers-without-their-end": Stream(
            chunked + chunk + b"0\r\n", wide_head[: header_bytes * 32], 1
        ),
        "chunks-like-the-end-of-a-body": Stream(chunked, ends, (chunk_count - 1) * len(ends)),
        "small-length-sent-whole": Stream(slow_head + b"Content-Length: 65536\r\n\r\n", text, 1),
        "small-chunks-behind-a-request": Stream(
            open_request + chunked, b"2\r\nab\r\n" * 512, 65_536, gap_s=_GAP_S
        ),
        "chunks-behind-a-request": Stream(open_request + chunked, chunk, body_bytes),
        "length-behind-a-request": Stream(open_request + at_limit, text, body_bytes),
        "largest-head-without-its-body": Stream(
            request_head + plain_head, no_body, 1, gap_s=_GAP_S
        ),
        "largest-wide-head-without-its-body": Stream(
            request_head + wide_head, no_body, 1, gap_s=_GAP_S
        ),
        "largest-heads": Stream(b"", slow_head + plain_head + b"\r\n", 1, gap_s=_GAP_S),
        "largest-wide-heads": Stream(b"", slow_head + wide_head + b"\r\n", 1, gap_s=_GAP_S),
        "largest-heads-behind-a-request": Stream(
            open_request, request_head + wide_head + b"\r\n", 4 * _MB
        ),
    }


@attrs.define(eq=False)
class Crowd:
    """Many callers of one address, who share out some streams evenly.

    Attributes:
        closed_count: Callers whose connections the process has closed.
        stalled_count: Callers whose bytes the process did not read for a while.
    """

    _address: tuple[str, int]
    _streams: Sequence[Stream]
    _caller_count: int = CALLER_COUNT
    _sockets: list[socket.socket] = attrs.field(factory=list)
    _readers: list[asyncio.Task[None]] = attrs.field(factory=list)
    closed_count: int = 0
    stalled_count: int = 0

    async def send(self) -> None:
        """Returns when each caller has sent its bytes, is not read or has been disconnected."""
        async with asyncio.TaskGroup() as group:
            for number in range(self._caller_count):
                stream = self._streams[number % len(self._streams)]
                await asyncio.sleep(stream.gap_s)
                group.create_task(self._send_one(stream))

    async def close(self) -> None:
        """Disconnects all callers."""
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _send_one(self, stream: Stream) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        if not stream.reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        try:
            await loop.sock_connect(sock, self._address)
            if stream.reads:
                self._readers.append(asyncio.create_task(_read(sock)))
            await loop.sock_sendall(sock, stream.begin)
            for _ in range(0, stream.size_bytes, len(stream.repeat)):
                async with asyncio.timeout(_STALL_S):
                    await loop.sock_sendall(sock, stream.repeat)
        except TimeoutError:
            self.stalled_count += 1
        except ConnectionError:
            self.closed_count += 1


async def _read(sock: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    try:
        while await loop.sock_recv(sock, 65_536):
            pass
    except ConnectionError:
        pass


@attrs.define(eq=False)
class ProcessMeter:
    """Checks that a process lives within the bounds of its settings."""

    _pid: int
    _caller_count: int = CALLER_COUNT
    _first_descriptor_count: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._first_descriptor_count = self._descriptor_count()

    def check_with_crowd(self, name: str) -> None:
        """Checks the memory of the process so far, and its descriptors now."""
        peak_mb = self._peak_bytes() / _MB
        descriptor_count = self._descriptor_count() - self._first_descriptor_count
        print(f"{name}: peak {peak_mb:.0f} MB, {descriptor_count} more descriptors")
        assert peak_mb <= MEMORY_MB
        assert descriptor_count <= self._caller_count + self._other_descriptors

    async def wait_until_crowd_is_forgotten(self) -> None:
        """Waits until the descriptors of the callers are closed."""
        async with asyncio.timeout(HANG_S):
            while (
                self._descriptor_count()
                > self._first_descriptor_count + self._other_descriptors // 2
            ):
                await asyncio.sleep(0.05)

    @property
    def _other_descriptors(self) -> int:
        return self._caller_count + _TARGET_DESCRIPTORS

    def _peak_bytes(self) -> int:
        for line in pathlib.Path(f"/proc/{self._pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024
        raise AssertionError("the process has ended")

    def _descriptor_count(self) -> int:
        return sum(1 for _ in pathlib.Path(f"/proc/{self._pid}/fd").iterdir())
