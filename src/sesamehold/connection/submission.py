"""Decodes and validates a submission from HTTP headers and body."""

from __future__ import annotations

from collections.abc import Mapping
import json
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.request import errors

DEADLINE_HEADER = "Sesamehold-Deadline-Ms"
PRIORITY_HEADER = "Sesamehold-Priority"
SUBMISSION_HEADER = "Sesamehold-Submission"
KEY_HEADER = "Idempotency-Key"

MAX_KEY_LENGTH = 200
MAX_PRIORITY = 9
# Largest memory of a decoded value, without its text, and of its place in an array or object. Each
# value but the outermost follows one of these characters.
VALUE_BYTES = 96
_VALUE_MARKS = (b"{", b"[", b",", b":")
# Deeper nesting would overflow the stack of JSON encoders on the path to the targets.
MAX_JSON_DEPTH = 64


@attrs.frozen
class Submission:
    """A decoded request of a caller, not yet admitted.

    Attributes:
        credential: Bearer credential.
        pipeline: Name of the requested pipeline.
        body: Request body, a JSON object.
        deadline_ms: Requested time until the deadline, None for the pipeline's default.
        priority: From 0 to 9; larger is more urgent.
        key: Idempotency key, None if the caller sent none.
        first_submission: Whether the caller declared this as the first submission of the key.
        stream: Whether the response is streamed as server-sent events.
    """

    credential: str
    pipeline: str
    body: dict[str, Any]
    deadline_ms: int | None
    priority: int
    key: str | None
    first_submission: bool
    stream: bool


def decode(
    pipeline: str, headers: Mapping[str, str], body: bytes
) -> Result[Submission, errors.Failure]:
    """Decodes a submission.

    Returns:
        The submission, or `BadRequest` naming the offending header or body path.
    """
    document = _decode_body(body)
    if isinstance(document, errors.BadRequest):
        return Error(document)
    deadline_ms = _parse_integer(headers, DEADLINE_HEADER, 1, 86_400_000)
    if isinstance(deadline_ms, errors.BadRequest):
        return Error(deadline_ms)
    priority = _parse_integer(headers, PRIORITY_HEADER, 0, MAX_PRIORITY)
    if isinstance(priority, errors.BadRequest):
        return Error(priority)
    number = _parse_integer(headers, SUBMISSION_HEADER, 1, 1_000_000)
    if isinstance(number, errors.BadRequest):
        return Error(number)
    key = headers.get(KEY_HEADER)
    if key is not None and not (0 < len(key) <= MAX_KEY_LENGTH and key.isprintable()):
        return Error(
            _bad_request(KEY_HEADER, f"must have 1 to {MAX_KEY_LENGTH} printable characters")
        )
    return Ok(
        Submission(
            credential=bearer_credential(headers.get("Authorization", "")),
            pipeline=pipeline,
            body=document,
            deadline_ms=deadline_ms,
            priority=priority or 0,
            key=key,
            first_submission=number == 1,
            stream="text/event-stream" in headers.get("Accept", ""),
        )
    )


def decoded_bytes(body: bytes) -> int:
    """Returns an upper bound of the memory for a body and for what it is decoded to.

    >>> decoded_bytes(b'{"prompt": "p"}')
    222
    """
    # One character outside Latin-1 makes each character of its text take four bytes.
    is_wide = not body.isascii() or b"\\u" in body
    text_bytes = len(body) * (4 if is_wide else 1)
    return len(body) + text_bytes + VALUE_BYTES * sum(body.count(mark) for mark in _VALUE_MARKS)


def _bad_request(field: str, reason: str) -> errors.BadRequest:
    return errors.BadRequest(detail=f"{field} {reason}.", field=field)


def bearer_credential(header: str) -> str:
    """Returns the credential of a bearer `Authorization` header, or an empty string."""
    scheme, _, credential = header.partition(" ")
    return credential.strip() if scheme.lower() == "bearer" else ""


def _parse_integer(
    headers: Mapping[str, str], name: str, low: int, high: int
) -> int | errors.BadRequest | None:
    text = headers.get(name)
    if text is None:
        return None
    if not (text.isascii() and text.isdigit() and len(text) <= 12):
        return _bad_request(name, f"must be an integer from {low} to {high}")
    value = int(text)
    if not low <= value <= high:
        return _bad_request(name, f"must be an integer from {low} to {high}")
    return value


def _decode_body(body: bytes) -> dict[str, Any] | errors.BadRequest:
    try:
        document = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return _bad_request("body", "must be a JSON object in UTF-8")
    if not isinstance(document, dict):
        return _bad_request("body", "must be a JSON object")
    if _depth_exceeds(document, MAX_JSON_DEPTH):
        return _bad_request("body", f"must not be nested deeper than {MAX_JSON_DEPTH} levels")
    return document


def _reject_constant(name: str) -> None:
    # NaN and Infinity are not valid JSON; targets would reject them.
    raise ValueError(name)


def _depth_exceeds(document: object, limit: int) -> bool:
    level: list[object] = [document]
    for _ in range(limit):
        level = [
            child
            for item in level
            if isinstance(item, dict | list)
            for child in (item.values() if isinstance(item, dict) else item)
        ]
        if not level:
            return False
    return any(isinstance(item, dict | list) for item in level)
