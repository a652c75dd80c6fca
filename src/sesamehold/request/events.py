"""Events that a request execution handles and actions that it requests."""

from __future__ import annotations

import enum
from typing import Any
from typing import TypeAlias

import attrs

from sesamehold.request import errors
from sesamehold.request import ids
from sesamehold.version import manifest


class AttemptFault(enum.Enum):
    """Why an attempt failed."""

    REFUSED = "refused"
    REFUSED_COLD = "refused-cold"
    NO_CONNECTION = "no-connection"
    CONNECTION_LOST = "connection-lost"
    SILENT = "silent"
    BAD_ANSWER = "bad-answer"
    ERROR_ANSWER = "error-answer"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


@attrs.frozen
class Usage:
    """Work that a target reported for one attempt.

    Attributes:
        units: Billing units: tokens for engines, calls for services.
        cached_units: Prompt tokens found in the prefix cache.
    """

    units: int = 0
    cached_units: int = 0


# ---- events ----------------------------------------------------------------


@attrs.frozen
class PieceReceived:
    """A piece of a streamed stage arrived."""

    attempt: ids.AttemptId
    index: int
    token_count: int
    text: str


@attrs.frozen
class AttemptSucceeded:
    """The target sent its complete answer."""

    attempt: ids.AttemptId
    output: dict[str, Any]
    usage: Usage


@attrs.frozen
class AttemptFailed:
    """The attempt ended without a complete answer.

    Attributes:
        attempt: Id of the attempt.
        fault: Why it failed.
        ran: Whether the target executed the call.
        usage: Work reported before the failure.
        target_id: Target that the attempt used, None if it reached none.
    """

    attempt: ids.AttemptId
    fault: AttemptFault
    ran: errors.RunStatus
    usage: Usage = Usage()
    target_id: str | None = None


@attrs.frozen
class SlotDenied:
    """No target was assigned to the attempt, so it was not sent."""

    attempt: ids.AttemptId
    failure: errors.Failure


@attrs.frozen
class ClaimGranted:
    """A majority of the witnesses granted the claim to this execution."""


@attrs.frozen
class ClaimDenied:
    """The claim was not granted; the failure states whether the key was run."""

    failure: errors.Failure


@attrs.frozen
class AnswerHeld:
    """Another execution of the same key has finished; its stored answer is delivered instead."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class CancelRequested:
    """The caller cancelled the request or closed its connection."""


@attrs.frozen
class DeadlinePassed:
    """The deadline of the request passed."""


Event: TypeAlias = (
    PieceReceived
    | AttemptSucceeded
    | AttemptFailed
    | SlotDenied
    | ClaimGranted
    | ClaimDenied
    | AnswerHeld
    | CancelRequested
    | DeadlinePassed
)


# ---- actions ---------------------------------------------------------------


@attrs.frozen
class StartAttempt:
    """Acquire a target and send the attempt.

    Attributes:
        attempt: New attempt id.
        stage: Stage to run.
        body: JSON body for the target.
        excluded_targets: Targets that failed this stage before; used only if no other is available.
        resume_index: Token index to resume the stream from.
        resume_text: Text delivered before `resume_index`.
    """

    attempt: ids.AttemptId
    stage: manifest.Stage
    body: dict[str, Any]
    excluded_targets: frozenset[str] = frozenset()
    resume_index: int = 0
    resume_text: str = ""


@attrs.frozen
class CancelAttempt:
    """Cancel the attempt at its target."""

    attempt: ids.AttemptId


@attrs.frozen
class ClaimKey:
    """Claim the execution key at its witnesses."""

    key: ids.ExecutionKey


@attrs.frozen
class ReleaseClaim:
    """Withdraw a claim under which nothing was dispatched."""

    key: ids.ExecutionKey


@attrs.frozen
class FinishClaim:
    """Record that the key is finished; `answer` is None if the outcome is unknown."""

    key: ids.ExecutionKey
    answer: dict[str, Any] | None


@attrs.frozen
class DeliverPiece:
    """Send one piece of the stream to the caller."""

    index: int
    token_count: int
    text: str


@attrs.frozen
class DeliverAnswer:
    """Send the complete answer to the caller; the request has ended."""

    answer: dict[str, Any]


@attrs.frozen
class DeliverStoredAnswer:
    """Send the stored answer of an earlier execution; the request has ended."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class DeliverFailure:
    """Send a failure to the caller; the request has ended."""

    failure: errors.Failure


@attrs.frozen
class BookCost:
    """Book the cost of one attempt in the ledger."""

    attempt: ids.AttemptId
    stage: manifest.Stage
    usage: Usage
    wasted: bool


Action: TypeAlias = (
    StartAttempt
    | CancelAttempt
    | ClaimKey
    | ReleaseClaim
    | FinishClaim
    | DeliverPiece
    | DeliverAnswer
    | DeliverStoredAnswer
    | DeliverFailure
    | BookCost
)
