"""Identifiers of requests, attempts and idempotency keys."""

from __future__ import annotations

import re
import uuid

import attrs
from expression import Error
from expression import Ok
from expression import Result

_ATTEMPT_PATTERN = re.compile(r"^([0-9a-f]{32})/(\d{1,2})/(\d{1,4})$")

_UUID7_VERSION = 7


@attrs.frozen
class MalformedAttemptId:
    """The text is not an encoded attempt id."""

    text: str


@attrs.frozen
class AttemptId:
    """Names one attempt of one stage of one request.

    Attributes:
        request_id: 32 lower-case hexadecimal digits.
        stage_index: Position of the stage in its pipeline, from 0.
        number: Attempt number within the stage, from 1.
    """

    request_id: str
    stage_index: int
    number: int

    def encode(self) -> str:
        """Returns the text form that is sent in the `Sesamehold-Attempt` header.

        >>> AttemptId("0" * 32, 1, 2).encode()[-4:]
        '/1/2'
        """
        return f"{self.request_id}/{self.stage_index}/{self.number}"

    @classmethod
    def decode(cls, text: str) -> Result[AttemptId, MalformedAttemptId]:
        """Parses the text form.

        >>> AttemptId.decode("x").error
        MalformedAttemptId(text='x')
        """
        match = _ATTEMPT_PATTERN.match(text)
        if match is None:
            return Error(MalformedAttemptId(text[:80]))
        return Ok(cls(match[1], int(match[2]), int(match[3])))


@attrs.frozen
class ExecutionKey:
    """Idempotency key, scoped by client account.

    Attributes:
        account: Name of the client account; keys of different accounts never collide.
        text: The key as the caller sent it, or the id that the host made.
        created_wall_ms: Creation time of a UUIDv7 key (RFC 9562), else None.
        host_made: True if the caller sent no key, so no earlier submission can exist.
    """

    account: str
    text: str
    created_wall_ms: int | None
    host_made: bool

    @property
    def scoped(self) -> str:
        """Returns account and text as one string; neither contains the separator NUL."""
        return f"{self.account}\0{self.text}"

    @classmethod
    def from_caller(cls, account: str, text: str) -> ExecutionKey:
        """Returns the key for a caller's `Idempotency-Key` header.

        >>> ExecutionKey.from_caller("a", "order-1").created_wall_ms is None
        True
        """
        return cls(account, text, uuid7_wall_ms(text), host_made=False)

    @classmethod
    def from_host(cls, account: str, request_id: str) -> ExecutionKey:
        """Returns a key made by the host; request ids are UUIDv7."""
        return cls(account, request_id, uuid7_wall_ms(request_id), host_made=True)


def uuid7(wall_ms: int, random_bits: int) -> str:
    """Returns a UUIDv7 as 32 hexadecimal digits (RFC 9562, section 5.7).

    Args:
        wall_ms: Unix time in milliseconds.
        random_bits: At least 74 random bits; higher bits are ignored.

    >>> uuid7_wall_ms(uuid7(1_700_000_000_123, 5))
    1700000000123
    """
    rand_a = random_bits & 0xFFF
    rand_b = (random_bits >> 12) & ((1 << 62) - 1)
    value = (wall_ms & ((1 << 48) - 1)) << 80
    value |= _UUID7_VERSION << 76 | rand_a << 64 | 0b10 << 62 | rand_b
    return f"{value:032x}"


def uuid7_wall_ms(text: str) -> int | None:
    """Returns the creation time of a UUIDv7 in Unix milliseconds, or None for any other text.

    >>> uuid7_wall_ms("order-17") is None
    True
    """
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.variant != uuid.RFC_4122 or value.version != _UUID7_VERSION:
        return None
    return value.int >> 80
