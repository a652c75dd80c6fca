"""HTTP responses with problem documents."""

from __future__ import annotations

from typing import Any

from aiohttp import web
import logbook

from sesamehold.connection import problem
from sesamehold.request import errors

_MS_PER_S = 1_000
_LOG = logbook.Logger("http")


def response(failure: errors.Failure, request_id: str | None) -> web.Response:
    """Returns the HTTP response for a failure."""
    headers = {}
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-failure.retry_after_ms // _MS_PER_S))
    return web.json_response(
        problem.to_body(failure, request_id),
        status=failure.status,
        content_type=problem.CONTENT_TYPE,
        headers=headers,
    )


@web.middleware
async def middleware(request: web.Request, handler: Any) -> web.StreamResponse:
    """Converts HTTP errors raised by aiohttp into problem documents."""
    try:
        result: web.StreamResponse = await handler(request)
    except web.HTTPRequestEntityTooLarge:
        return response(errors.TooLarge(detail="The body exceeds the limit."), None)
    except web.HTTPNotFound:
        return response(errors.NotFound(detail="There is no such path."), None)
    except web.HTTPMethodNotAllowed as error:
        failure = errors.BadRequest(detail=f"{error.method} is not allowed here.", field="method")
        return response(failure, None)
    except web.HTTPException as error:
        return response(errors.BadRequest(detail=f"{error.reason}.", field="request"), None)
    return result
