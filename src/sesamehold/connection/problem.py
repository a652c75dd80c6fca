"""Converts typed failures to `application/problem+json` documents (RFC 9457)."""

from __future__ import annotations

from typing import Any

from sesamehold.request import errors

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:sesamehold:problem:"


def to_body(failure: errors.Failure, request_id: str | None) -> dict[str, Any]:
    """Returns the problem document for a failure.

    >>> to_body(errors.NotFound(detail="No such pipeline."), None)["ran"]
    'no'
    """
    body: dict[str, Any] = {
        "type": TYPE_PREFIX + failure.kind,
        "title": failure.title,
        "status": failure.status,
        "detail": failure.detail,
        "ran": failure.ran.value,
    }
    if failure.retry_after_ms is not None:
        body["retry_after_ms"] = failure.retry_after_ms
    if request_id is not None:
        body["request_id"] = request_id
    match failure:
        case errors.BadRequest(field=field):
            body["field"] = field
        case errors.StageFailed(stage=stage):
            body["stage"] = stage
        case _:
            pass
    return body
