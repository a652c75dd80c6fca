"""Callers that do not keep to the limits, and what a process holds while they are connected.

The checks do not depend on the speed of the machine: a caller sends a number of bytes, or ends when
the process closes its connection. A process that has not read for a while is taken not to read on.
"""

from __future__ import annotations

import asyncio
import pathlib
import socket

import attrs

CALLER_COUNT = 128
MEMORY_MB = 160
HEADER_BYTES = 8_192
BODY_BYTES = 1_000_000
_MB = 1_000_000
_STALL_S = 2.0
# Far above what any machine needs; a process that takes longer hangs.
HANG_S = 60.0
# Descriptors that a process may open besides those of its callers, such as those to targets.
_OTHER_DESCRIPTORS = CALLER_COUNT + 32


@attrs.frozen
class Stream:
    """What one caller sends: a beginning, and then the same bytes again and again.

    Attributes:
        size_bytes: Number of bytes after which the caller stops.
        reads: Whether the caller reads what it gets.
    """

    begin: bytes
    repeat: bytes
    size_bytes: int = 4 * _MB
    reads: bool = True


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


@attrs.define(eq=False)
class Crowd:
    """Many callers that send the same to one address.

    Attributes:
        closed_count: Callers whose connections the process has closed.
        stalled_count: Callers whose bytes the process did not read for a while.
    """

    _address: tuple[str, int]
    _stream: Stream
    _sockets: list[socket.socket] = attrs.field(factory=list)
    _readers: list[asyncio.Task[None]] = attrs.field(factory=list)
    closed_count: int = 0
    stalled_count: int = 0

    async def send(self) -> None:
        """Returns when each caller has sent its bytes, is not read or has been disconnected."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLER_COUNT):
                group.create_task(self._send_one())

    async def close(self) -> None:
        """Disconnects all callers."""
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    async def _send_one(self) -> None:
        loop = asyncio.get_running_loop()
        stream = self._stream
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
    _first_descriptor_count: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._first_descriptor_count = self._descriptor_count()

    def check_with_crowd(self, name: str) -> None:
        """Checks the memory of the process so far, and its descriptors now."""
        peak_mb = self._peak_bytes() / _MB
        descriptor_count = self._descriptor_count() - self._first_descriptor_count
        print(f"{name}: peak {peak_mb:.0f} MB, {descriptor_count} more descriptors")
        assert peak_mb <= MEMORY_MB
        assert descriptor_count <= CALLER_COUNT + _OTHER_DESCRIPTORS

    async def wait_until_crowd_is_forgotten(self) -> None:
        """Waits until the descriptors of the callers are closed."""
        async with asyncio.timeout(HANG_S):
            while self._descriptor_count() > self._first_descriptor_count + _OTHER_DESCRIPTORS // 2:
                await asyncio.sleep(0.05)

    def _peak_bytes(self) -> int:
        for line in pathlib.Path(f"/proc/{self._pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1_024
        raise AssertionError("the process has ended")

    def _descriptor_count(self) -> int:
        return sum(1 for _ in pathlib.Path(f"/proc/{self._pid}/fd").iterdir())
