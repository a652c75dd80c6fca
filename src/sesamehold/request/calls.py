"""Interface between a request and the connections to targets and callers."""

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
    """A piece of a stream: its first token index, number of tokens and text."""

    index: int
    token_count: int
    text: str


@attrs.frozen
class TargetCall:
    """One call to a target.

    Attributes:
        attempt: Echoed by the target; answers of other attempts are rejected.
        target: Target to call.
        stage: Stage to run.
        body: Input of the request and outputs of earlier stages.
        remaining_ms: Time left until the deadline.
        priority: Larger is more urgent.
        account: Client account that caused the call.
        key: Idempotency key for stages that may not be repeated.
        resume_index: Token index to resume a stream from.
        resume_text: Text that was delivered before `resume_index`.
        before_write: Asked once a connection is open, right before the first byte is written.
        max_service_ms: Longest time that a call to this pool takes.
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
    """A call without a complete answer."""

    fault: events.AttemptFault
    ran: errors.Ran
    usage: events.Usage = events.Usage()
    load: dispatch.LoadReport | None = None


PieceHandler = Callable[[Sequence[Piece]], Awaitable[bool]]
"""Takes new pieces of a stream; returns False if the stream has a gap and must be ended."""


@attrs.frozen
class TargetOutcome:
    """What a target knows about a key.

    Attributes:
        executions: How often it executed the key.
        output: Output of the execution, None if the target does not keep it.
        usage: Work of the execution.
    """

    executions: int
    output: dict[str, Any] | None = None
    usage: events.Usage = events.Usage()


class OutcomeReader(Protocol):
    """Reads the outcome of a non-repeatable call from a target that offers it."""

    async def read_outcome(
        self, target: manifest.Target, key: ids.ExecutionKey
    ) -> TargetOutcome | None:
        """Returns what a target knows about a key, None if it did not answer."""


class TargetConnector(OutcomeReader, Protocol):
    """Sends calls to targets."""

    async def call(
        self, call: TargetCall, on_pieces: PieceHandler
    ) -> Result[CallSuccess, CallFault]:
        """Sends one call and waits for its complete answer."""

    async def cancel(self, target: manifest.Target, attempt: ids.AttemptId) -> events.Usage | None:
        """Cancels an attempt; returns the work done for it, None if the target did not answer."""


class AnswerSink(Protocol):
    """The caller's side of one request."""

    async def pieces(self, pieces: Sequence[Piece]) -> None:
        """Sends pieces of the stream; waits while the caller reads slowly."""

    async def answer(self, answer: dict[str, Any]) -> None:
        """Sends the complete answer."""

    async def held_answer(self, status: int, content_type: str, body: bytes) -> None:
        """Sends the stored answer of an earlier execution of the same key."""

    async def failure(self, failure: errors.Failure) -> None:
        """Sends a failure."""


class ExecutionClaims(Protocol):
    """The claim of one request's execution key at its witnesses."""

    async def claim(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        first_submission: bool,
        wait_ms: int,
    ) -> events.ClaimGranted | events.ClaimDenied | events.AnswerHeld:
        """Claims a key, or waits for the answer of the execution that holds it."""

    def may_dispatch(self, key: ids.ExecutionKey) -> bool:
        """Returns whether a granted claim may still be used; asked right before dispatch."""

    def release(self, key: ids.ExecutionKey) -> None:
        """Withdraws a claim under which nothing was dispatched."""

    def finish(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: dict[str, Any] | None
    ) -> None:
        """Records that the key is finished and stores its answer."""


class ClaimRegistry(Protocol):
    """Opens claims; two requests with the same key have different claims."""

    def open(self, pipeline: manifest.Pipeline) -> ExecutionClaims:
        """Returns the claim of one request, not claimed yet."""
