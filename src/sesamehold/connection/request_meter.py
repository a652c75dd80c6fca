"""Counts the bytes that a caller sends on one connection besides bodies.

Only the order of the bytes matters here: the HTTP parser says where heads and bodies end. Nothing
that these limits refuse is needed by HTTP: a head that fits into the configured number of lines,
one of the largest size each, and a body whose framing is small beside it pass.
"""

from __future__ import annotations

import attrs

from sesamehold.process import receive_budget

# Framing that costs no more time than the body around it: chunks of about a hundred bytes pass.
PLAIN_FRAMING_BYTES = 1_024
MIN_BODY_BYTES_PER_PLAIN_FRAMING = 16
# Empty lines before a request. HTTP asks to ignore one, as old callers sent one after a body.
MAX_EMPTY_LINE_BYTES = 256
# Sizes and extensions of chunks. A chunk of one byte has five bytes of framing.
MAX_FRAMING_PER_BODY_BYTE = 16


@attrs.define
class RequestMeter:
    """Counts heads and framing of the requests on one connection.

    Attributes:
        head_bytes: Received bytes of the head that is not complete yet.
        framing_since_body_bytes: Received bytes since the last content of a body, such as trailers.

    >>> meter = RequestMeter()
    >>> meter.on_head_part(b"GET / HT", limit_bytes=10)
    >>> meter.on_head_part(b"TP/1.1", limit_bytes=10).value
    'head-too-large'
    """

    head_bytes: int = 0
    framing_since_body_bytes: int = 0
    _empty_bytes: int = 0
    _body_bytes: int = 0
    _framing_bytes: int = 0
    _dense_framing_bytes: int = 0
    _taken_framing_bytes: int = 0

    def on_head_part(self, part: bytes, limit_bytes: int) -> receive_budget.Excess | None:
        """Counts bytes that do not complete a head; returns the limit that they exceed."""
        size_bytes = len(part)
        if not self.head_bytes:
            size_bytes = len(part.lstrip(b"\r\n"))
            self._empty_bytes += len(part) - size_bytes
            if self._empty_bytes > MAX_EMPTY_LINE_BYTES:
                return receive_budget.Excess.EMPTY_LINES
        self.head_bytes += size_bytes
        return receive_budget.Excess.HEAD if self.head_bytes > limit_bytes else None

    def on_head_complete(self, size_bytes: int) -> int:
        """Counts the last bytes of a head; returns the size of the whole head."""
        head_bytes = self.head_bytes + size_bytes
        self.head_bytes = self._empty_bytes = 0
        self._body_bytes = self._framing_bytes = self.framing_since_body_bytes = 0
        self._dense_framing_bytes = self._taken_framing_bytes = 0
        return head_bytes

    def take_dense_framing(self) -> int:
        """Returns the bytes of framing that took much time for the content that came with them."""
        new_bytes = max(self._dense_framing_bytes - self._taken_framing_bytes, 0)
        self._taken_framing_bytes += new_bytes
        return new_bytes

    def on_body_part(
        self, size_bytes: int, body_bytes: int, limit_bytes: int
    ) -> receive_budget.Excess | None:
        """Counts bytes behind a head; returns the limit that they exceed.

        Args:
            size_bytes: Number of received bytes.
            body_bytes: How many of them are content.
            limit_bytes: Largest head, which is also the largest framing without any content, such
                as trailers.
        """
        framing_bytes = size_bytes - body_bytes
        self._body_bytes += body_bytes
        self._framing_bytes += framing_bytes
        plain_bytes = PLAIN_FRAMING_BYTES + self._body_bytes // MIN_BODY_BYTES_PER_PLAIN_FRAMING
        self._dense_framing_bytes = max(self._framing_bytes - plain_bytes, 0)
        if body_bytes:
            self.framing_since_body_bytes = 0
        else:
            self.framing_since_body_bytes += framing_bytes
        allowed_bytes = limit_bytes + MAX_FRAMING_PER_BODY_BYTE * self._body_bytes
        if self._framing_bytes > allowed_bytes or self.framing_since_body_bytes > limit_bytes:
            return receive_budget.Excess.FRAMING
        return None
