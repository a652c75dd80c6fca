"""Failures that a caller can receive.

Every failure has a stable `kind`, an HTTP status and a statement of whether the request was run.
The statement must never be wrong. Failures are encoded as `application/problem+json`.
"""

from __future__ import annotations

import enum
from typing import ClassVar

import attrs


class RunStatus(enum.Enum):
    """Whether the non-repeatable part of a request was run, as far as the host knows."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


@attrs.frozen(kw_only=True)
class Failure:
    """Base class of all failures.

    Attributes:
        detail: One sentence for the caller: what happened and what to do.
        ran: Whether the request was run.
        retry_after_ms: Delay before the caller should retry, None if not known.
    """

    kind: ClassVar[str] = "failure"
    title: ClassVar[str] = "Request failed"
    status: ClassVar[int] = 500

    detail: str
    ran: RunStatus = RunStatus.NO
    retry_after_ms: int | None = None


@attrs.frozen(kw_only=True)
class BadRequest(Failure):
    """The request is malformed.

    Attributes:
        field: Name of the invalid header, or path of the invalid value in the body.
    """

    kind: ClassVar[str] = "bad-request"
    title: ClassVar[str] = "Malformed request"
    status: ClassVar[int] = 400

    field: str


@attrs.frozen(kw_only=True)
class Unauthenticated(Failure):
    """The credential is missing or matches no client account."""

    kind: ClassVar[str] = "unauthenticated"
    title: ClassVar[str] = "Missing or unknown credential"
    status: ClassVar[int] = 401


@attrs.frozen(kw_only=True)
class Forbidden(Failure):
    """The client account has no permission for the pipeline or the request."""

    kind: ClassVar[str] = "forbidden"
    title: ClassVar[str] = "Not allowed for this client account"
    status: ClassVar[int] = 403


@attrs.frozen(kw_only=True)
class NotFound(Failure):
    """The pipeline, request or path does not exist."""

    kind: ClassVar[str] = "not-found"
    title: ClassVar[str] = "Not found"
    status: ClassVar[int] = 404


@attrs.frozen(kw_only=True)
class TooLarge(Failure):
    """The body exceeds the configured maximum size."""

    kind: ClassVar[str] = "too-large"
    title: ClassVar[str] = "Body too large"
    status: ClassVar[int] = 413


@attrs.frozen(kw_only=True)
class HeadTooLarge(Failure):
    """The request line and headers exceed their limits."""

    kind: ClassVar[str] = "head-too-large"
    title: ClassVar[str] = "Head too large"
    status: ClassVar[int] = 431


@attrs.frozen(kw_only=True)
class Overloaded(Failure):
    """The host has no memory or processor time to receive the request."""

    kind: ClassVar[str] = "overloaded"
    title: ClassVar[str] = "Host is overloaded"
    status: ClassVar[int] = 503


@attrs.frozen(kw_only=True)
class BodyTimeout(Failure):
    """No part of the body arrived within the idle timeout."""

    kind: ClassVar[str] = "body-timeout"
    title: ClassVar[str] = "Body incomplete"
    status: ClassVar[int] = 408


@attrs.frozen(kw_only=True)
class UnsupportedContent(Failure):
    """The content type or content encoding of the body is not supported."""

    kind: ClassVar[str] = "unsupported-content"
    title: ClassVar[str] = "Content not supported"
    status: ClassVar[int] = 415


@attrs.frozen(kw_only=True)
class InternalError(Failure):
    """An unexpected error occurred in the host."""

    kind: ClassVar[str] = "internal-error"
    title: ClassVar[str] = "Internal error"
    status: ClassVar[int] = 500


@attrs.frozen(kw_only=True)
class KeyReused(Failure):
    """The idempotency key was already used with another body."""

    kind: ClassVar[str] = "key-reused"
    title: ClassVar[str] = "Idempotency key reused with another body"
    status: ClassVar[int] = 422


@attrs.frozen(kw_only=True)
class KeyExpired(Failure):
    """The idempotency key is older than the retention period."""

    kind: ClassVar[str] = "key-expired"
    title: ClassVar[str] = "Idempotency key expired"
    status: ClassVar[int] = 409


@attrs.frozen(kw_only=True)
class LimitExceeded(Failure):
    """A limit of the client account is reached."""

    kind: ClassVar[str] = "limit-exceeded"
    title: ClassVar[str] = "Limit of the client account reached"
    status: ClassVar[int] = 429


@attrs.frozen(kw_only=True)
class DeadlineUnreachable(Failure):
    """The time left is too short for the remaining stages."""

    kind: ClassVar[str] = "deadline-unreachable"
    title: ClassVar[str] = "Deadline cannot be met"
    status: ClassVar[int] = 503


@attrs.frozen(kw_only=True)
class DeadlineExceeded(Failure):
    """The deadline passed before the answer was complete."""

    kind: ClassVar[str] = "deadline-exceeded"
    title: ClassVar[str] = "Deadline exceeded"
    status: ClassVar[int] = 504


@attrs.frozen(kw_only=True)
class NoTargetAvailable(Failure):
    """No target of the stage's pool accepts work."""

    kind: ClassVar[str] = "no-target"
    title: ClassVar[str] = "No target available"
    status: ClassVar[int] = 503


@attrs.frozen(kw_only=True)
class StageFailed(Failure):
    """A stage failed on every attempt that its retry budget allowed."""

    kind: ClassVar[str] = "stage-failed"
    title: ClassVar[str] = "A stage failed"
    status: ClassVar[int] = 502

    stage: str


@attrs.frozen(kw_only=True)
class OutcomeUnknown(Failure):
    """A non-repeatable stage may have run, so it is not sent again."""

    kind: ClassVar[str] = "outcome-unknown"
    title: ClassVar[str] = "Outcome unknown"
    status: ClassVar[int] = 502


@attrs.frozen(kw_only=True)
class AnswerUnavailable(Failure):
    """The key was executed, but its answer is no longer stored."""

    kind: ClassVar[str] = "answer-unavailable"
    title: ClassVar[str] = "Answer no longer held"
    status: ClassVar[int] = 410


@attrs.frozen(kw_only=True)
class ClaimUnavailable(Failure):
    """Too few witnesses of the key are reachable."""

    kind: ClassVar[str] = "claim-unavailable"
    title: ClassVar[str] = "At-most-once execution cannot be ensured now"
    status: ClassVar[int] = 503


@attrs.frozen(kw_only=True)
class CrashSuspect(Failure):
    """Targets crashed while they ran this request, so it is not sent again."""

    kind: ClassVar[str] = "crash-suspect"
    title: ClassVar[str] = "Request crashes its targets"
    status: ClassVar[int] = 422


@attrs.frozen(kw_only=True)
class Draining(Failure):
    """The host is shutting down and accepts no new requests."""

    kind: ClassVar[str] = "draining"
    title: ClassVar[str] = "Host is stopping"
    status: ClassVar[int] = 503


@attrs.frozen(kw_only=True)
class Cancelled(Failure):
    """The caller cancelled the request."""

    kind: ClassVar[str] = "cancelled"
    title: ClassVar[str] = "Cancelled by the caller"
    status: ClassVar[int] = 499
