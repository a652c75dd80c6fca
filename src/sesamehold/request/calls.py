"""Interfaces between a request and its connections to targets, callers and witnesses."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol

import attrs
from expression import Result

from sesamehold.process import dispatch
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest


@attrs.frozen
class Piece:
    """A piece of a stream: index of its first token, number of tokens and text."""

    index: int
    token_count: int
    text: str


@attrs.frozen
class TargetCall:
    """One call to a target.

    Attributes:
        attempt: Attempt id, echoed by the target; an answer with another id is rejected.
        target: Target to call.
        stage: Stage to run.
        body: Request input and outputs of earlier stages.
        remaining_ms: Time left until the deadline.
        priority: Priority of the request; larger values are more urgent.
        account: Client account of the request.
        key: Idempotency key, set for non-repeatable stages.
        resume_index: Token index to resume a stream from.
        resume_text: Text delivered before `resume_index`.
        before_write: Called when the connection is open, right before the first byte is written;
            returns whether the call may be sent.
        max_service_ms: Maximum service time of a call to the pool.
    """

    attempt: ids.AttemptId
    target: manifest.Target
    stage: manifest.Stage
    body: dict[str, Any]
    remaining_ms: int
    priority: int
    account: str
    key: ids.ExecutionKey | None
    resume_index: int
    resume_text: str
    before_write: Callable[[], bool]
    max_service_ms: int = 30_000


@attrs.frozen
class CallSuccess:
    """Complete answer of a target."""

    output: dict[str, Any]
    usage: events.Usage
    load: dispatch.LoadReport | None


@attrs.frozen
class CallFault:
    """Failure of a call that ended without a complete answer."""

    fault: events.AttemptFault
    ran: errors.RunStatus
    usage: events.Usage = events.Usage()
    load: dispatch.LoadReport | None = None


PieceHandler = Callable[[Sequence[Piece]], Awaitable[bool]]
"""Handles new pieces of a stream; returns False if the stream has a gap and must be aborted."""


@attrs.frozen
class TargetOutcome:
    """Record of a target about an idempotency key.

    Attributes:
        executions: Number of times that the target executed the key.
        output: Output of the execution, None if the target does not store it.
        usage: Work of the execution.
    """

    executions: int
    output: dict[str, Any] | None = None
    usage: events.Usage = events.Usage()


class OutcomeReader(Protocol):
    """Reads the outcome of a non-repeatable call from targets that support it."""

    async def read_outcome(
        self, target: manifest.Target, key: ids.ExecutionKey
    ) -> TargetOutcome | None:
        """Returns the target's record of a key, None if the target did not answer."""


class TargetConnector(OutcomeReader, Protocol):
    """Sends calls to targets."""

    async def call(
        self, call: TargetCall, on_pieces: PieceHandler
    ) -> Result[CallSuccess, CallFault]:
        """Sends one call and waits for its complete answer."""

    async def cancel(self, target: manifest.Target, attempt: ids.AttemptId) -> events.Usage | None:
        """Cancels an attempt; returns the work done for it, None if the target did not answer."""


class AnswerSink(Protocol):
    """Sends the answer of one request to its caller."""

    async def pieces(self, pieces: Sequence[Piece]) -> None:
        """Sends pieces of the stream; waits until the caller has read enough of them."""

    async def answer(self, answer: dict[str, Any]) -> None:
        """Sends the complete answer."""

    async def stored_answer(self, status: int, content_type: str, body: bytes) -> None:
        """Sends the stored answer of an earlier execution with the same key."""

    async def failure(self, failure: errors.Failure) -> None:
        """Sends a failure."""


class ExecutionClaims(Protocol):
    """Claim of one request to execute its key, granted by the witnesses of the key."""

    async def claim(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        first_submission: bool,
        wait_ms: int,
    ) -> events.ClaimGranted | events.ClaimDenied | events.AnswerHeld:
        """Claims the key or, if another execution holds it, waits for its answer."""

    def may_dispatch(self, key: ids.ExecutionKey) -> bool:
        """Returns whether a granted claim is still usable; called right before dispatch."""

    def release(self, key: ids.ExecutionKey) -> None:
        """Withdraws a claim under which nothing was dispatched."""

    def finish(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: dict[str, Any] | None
    ) -> None:
        """Records that the key is finished and stores its answer."""


class ClaimRegistry(Protocol):
    """Creates claims. Requests with the same key have separate claims."""

    def open(self, pipeline: manifest.Pipeline) -> ExecutionClaims:
        """Returns a claim for one request, in its initial state."""
