"""Listening addresses of a process and limits on its callers."""

from __future__ import annotations

import ipaddress

import attrs

_MAX_PORT = 65_535
_LINE_FRAMING_BYTES = 64


@attrs.frozen
class Address:
    """IP address and port.

    >>> Address.parse("127.0.0.1:80")
    Address(ip='127.0.0.1', port=80)
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parses `ip:port`; raises ValueError for any other text."""
        ip, _, port = text.rpartition(":")
        return cls(ip.removeprefix("[").removesuffix("]"), int(port))

    @classmethod
    def parse_numeric(cls, text: str) -> Address:
        """Parses an address from another process; raises ValueError if no socket takes it.

        >>> Address.parse_numeric("127.0.0.1:65536")
        Traceback (most recent call last):
        ...
        ValueError: the port is not a number from 1 to 65535
        """
        address = cls.parse(text)
        ipaddress.ip_address(address.ip)
        if not text.isascii() or not 0 < address.port <= _MAX_PORT:
            raise ValueError("the port is not a number from 1 to 65535")
        return address

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@attrs.frozen
class ConnectionLimits:
    """Limits on one connection of a caller.

    Attributes:
        header_size_bytes: Largest single header line.
        header_count: Most header lines of one request.
        idle_ms: Time after which a connection without a request is closed.
        head_ms: Time from the first to the last byte of a request's head.
        head_size_bytes: Largest head of a request, and largest trailers; by default as many lines
            of the largest size as one request may have.
    """

    header_size_bytes: int = 8_190
    header_count: int = 64
    idle_ms: int = 30_000
    head_ms: int = 30_000
    head_size_bytes: int = attrs.field()

    @head_size_bytes.default
    def _default_head_size_bytes(self) -> int:
        # The limit on a line leaves out its separators, the method and the version.
        return (self.header_size_bytes + _LINE_FRAMING_BYTES) * (self.header_count + 1)


@attrs.frozen
class CallerLimits:
    """Limits on what callers may send.

    Attributes:
        body_size_bytes: Largest request body.
        header_size_bytes: Largest single header line.
        header_count: Most header lines of one request.
        open_requests: Requests that are open at once.
        open_streams: Streamed answers that are open at once.
        idle_ms: Time without progress after which a caller's connection is cut.
    """

    body_size_bytes: int = 1_048_576
    header_size_bytes: int = 8_190
    header_count: int = 64
    open_requests: int = 2_000
    open_streams: int = 1_000
    idle_ms: int = 30_000

    def for_connection(self) -> ConnectionLimits:
        """Returns the part of the limits that concerns a connection."""
        return ConnectionLimits(
            header_size_bytes=self.header_size_bytes,
            header_count=self.header_count,
            idle_ms=self.idle_ms,
            head_ms=self.idle_ms,
        )
