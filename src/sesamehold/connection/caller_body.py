"""Reads request bodies within the configured limits."""

from __future__ import annotations

import asyncio

from aiohttp import web
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import caller_connection
from sesamehold.process import listening
from sesamehold.request import errors

_MS_PER_S = 1_000
_JSON_TYPE = "application/json"


async def read(
    request: web.Request, limits: listening.CallerLimits
) -> Result[bytes, errors.Failure]:
    """Reads a complete request body.

    Returns:
        The body, or `UnsupportedContent`, `TooLarge`, `BodyTimeout` or `BadRequest`.
    """
    refusal = _check_headers(request, limits)
    if refusal is not None:
        return Error(refusal)
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        while True:
            async with asyncio.timeout(limits.idle_ms / _MS_PER_S):
                chunk = await request.content.readany()
            if not chunk:
                return Ok(b"".join(chunks))
            size_bytes += len(chunk)
            caller_connection.hold_body(request, size_bytes)
            if size_bytes > limits.body_size_bytes:
                return Error(_too_large(limits))
            chunks.append(chunk)
    except TimeoutError:
        detail = f"No part of the body arrived for {limits.idle_ms} ms."
        return Error(errors.BodyTimeout(detail=detail))
    except caller_connection.ExcessError as error:
        return Error(caller_connection.failure_of(error.excess))
    except web.RequestPayloadError:
        return Error(errors.BadRequest(detail="The body is not well-formed HTTP.", field="body"))


def _check_headers(request: web.Request, limits: listening.CallerLimits) -> errors.Failure | None:
    if request.headers.get("Content-Encoding", "identity").lower() != "identity":
        return errors.UnsupportedContent(detail="Send the body without a content encoding.")
    if "Content-Type" in request.headers and request.content_type != _JSON_TYPE:
        return errors.UnsupportedContent(detail=f"Send the body as {_JSON_TYPE}.")
    if request.content_length is not None and request.content_length > limits.body_size_bytes:
        return _too_large(limits)
    return None


def _too_large(limits: listening.CallerLimits) -> errors.TooLarge:
    return errors.TooLarge(detail=f"The body exceeds {limits.body_size_bytes} bytes.")
