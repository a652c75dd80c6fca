"""Interfaces between request forwarding and the modules that handle wire formats and sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Protocol
from typing import TypeAlias

import attrs
from expression import Result

from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages


class RequestCodec(Protocol):
    """Encodes and decodes requests and answers in the protocol of callers and targets."""

    def decode_request_head(
        self, method: str, raw_target: bytes, headers: messages.HeaderPairs
    ) -> Result[messages.RequestHead, messages.MalformedHead]:
        """Decodes the request line and headers of a caller."""

    def encode_request_head(
        self, head: messages.RequestHead, order: messages.SendOptions, body_size_bytes: int | None
    ) -> bytes:
        """Encodes the request line and headers for a target, including the final empty line."""

    def decode_answer_head(self, status: int, headers: messages.HeaderPairs) -> messages.AnswerHead:
        """Decodes the status and headers of a target's answer."""

    def encode_refusal(
        self, refusal: messages.Refusal, request_id: str | None
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Encodes a refusal as status, headers and body."""


@attrs.frozen
class ExchangeFault:
    """An exchange with a target that ended without a usable answer.

    Attributes:
        kind: Name of the error, for logs and metrics.
        sent: Whether any byte of the request may have reached the target.
        connection_broken: Whether the connection broke, as it does when the target crashes.
    """

    kind: str
    sent: bool
    connection_broken: bool = False


class TargetAnswer(Protocol):
    """A target's answer whose head has arrived."""

    @property
    def head(self) -> messages.AnswerHead:
        """Returns the decoded head."""

    @property
    def transfer(self) -> messages.Transfer:
        """Returns how the answer is transferred, and how much of it has been read."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `BrokenAnswerError` if it is truncated."""

    def release(self) -> None:
        """Returns the connection to its pool if the answer was read completely, else closes it."""


class BrokenAnswerError(Exception):
    """The answer of a target is incomplete.

    Attributes:
        connection_broken: Whether the target ended the connection before the end of the answer, as
            opposed to an answer that cannot be used.
    """

    def __init__(self, message: str, *, connection_broken: bool = False) -> None:
        super().__init__(message)
        self.connection_broken = connection_broken


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(
        self,
        target: targets.Target,
        head: bytes,
        request_id: str | None,
        *,
        body: bytes | bytearray = b"",
        reuse: bool,
    ) -> Result[TargetAnswer, ExchangeFault]:
        """Sends one request and waits for the head of its answer.

        Args:
            target: Target to send to.
            head: Encoded head, or head and body.
            request_id: Id that the answer must carry if it carries one.
            body: Body, which must not change until the answer is released.
            reuse: Whether a pooled connection may be used; if it breaks, the outcome is unknown.
        """


class AnswerSink(Protocol):
    """Sends the answer of one request to its caller."""

    async def send_complete(self, status: int, headers: messages.HeaderPairs, body: bytes) -> None:
        """Sends a complete answer."""

    async def send_head(self, status: int, headers: messages.HeaderPairs) -> None:
        """Sends the status and headers of an answer whose body follows in chunks."""

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Marks the body as complete."""

    async def refuse(self, refusal: messages.Refusal) -> None:
        """Sends a refusal."""

    def abort(self) -> None:
        """Closes the connection, so that the caller detects a truncated answer."""


@attrs.frozen
class StageWork:
    """Work of one stage of a request.

    Attributes:
        index: Index of the stage in its route.
        service: Service that runs the stage.
        after: Indexes of the stages whose results it reads.
        piece_count: Number of pieces.
        result_size_bytes: Approximate size of the result of one piece.
    """

    index: int
    service: str
    after: tuple[int, ...]
    piece_count: int
    result_size_bytes: int


@attrs.frozen
class CompletedPiece:
    """A finished piece whose result is stored at a target.

    Attributes:
        stage_index: Index of the stage in its route.
        piece_index: Index of the piece in its stage.
        handle: Identifies the result at its target.
        target_id: Target that stores the result.
        born_ms: Start time of that target, in Unix milliseconds.
    """

    stage_index: int
    piece_index: int
    handle: str
    target_id: str
    born_ms: int


@attrs.frozen
class StageRequest:
    """Stages to run for one request.

    Attributes:
        request_id: Id of the request.
        piece_key: Input of pieces that do not depend on other stages.
        stages: Service, dependencies, number of pieces and result size of each stage.
        urgency: Priority of the request; 0 is the most urgent.
        latency_goal_ms: Time left until the results are wanted.
        deadline_ms: Time left until the results become useless.
        request_ms: Expected duration of the request itself after its stages.
        preferred_zone: Preferred availability zone for the request itself, empty for any.
        completed_pieces: Finished pieces of stages that another host ran before.
        account: Client account, empty for an anonymous request.
    """

    request_id: str
    piece_key: str
    stages: tuple[StageWork, ...]
    urgency: int
    latency_goal_ms: int
    deadline_ms: int
    request_ms: int = 0
    preferred_zone: str = ""
    completed_pieces: tuple[CompletedPiece, ...] = ()
    account: str = ""


@attrs.frozen
class StageResults:
    """Stage results that the request itself reads.

    Attributes:
        handles: Handles in the order of stages and pieces.
        zone: Availability zone that stores most of the results.
    """

    handles: tuple[str, ...]
    zone: str = ""


@attrs.frozen
class StageFailure:
    """Failure to run the stages of a request.

    Attributes:
        kind: Reason of the failure.
        retry_after_ms: Delay before the caller should retry.
    """

    kind: str
    retry_after_ms: int


# Failure kind of stages whose host is stopping; another host can continue from the finished pieces.
HANDED_OVER = "handed-over"

ProgressListener: TypeAlias = Callable[[tuple[CompletedPiece, ...]], None]


class StageRunner(Protocol):
    """Runs the stages of requests."""

    async def run(
        self, request: StageRequest, listener: ProgressListener | None = None
    ) -> Result[StageResults, StageFailure]:
        """Runs all stages of a request.

        Args:
            request: Stages to run.
            listener: Called with the finished pieces whenever a stage completes.
        """

    def release(self, request_id: str) -> None:
        """Frees the results of a request and cancels stages that are not finished."""


@attrs.frozen
class PieceCall:
    """One piece of a call to a stage's target.

    Attributes:
        request_id: Id of the request.
        stage_index: Index of the stage in its route.
        piece_index: Index of the piece in its stage.
        remaining_ms: Time left until the result becomes useless.
        piece_key: Input of a piece that does not depend on other stages, else None.
        inputs: Handles of the results that the piece reads.
    """

    request_id: str
    stage_index: int
    piece_index: int
    remaining_ms: int
    piece_key: str | None = None
    inputs: tuple[str, ...] = ()


@attrs.frozen
class PieceResult:
    """Result of one piece: its handle, or the reason for its absence."""

    handle: str | None
    reason: str = ""


class StageCodec(Protocol):
    """Encodes and decodes calls to the targets of stages."""

    def encode_run_call(self, target: targets.Target, pieces: Sequence[PieceCall]) -> bytes:
        """Encodes the request that runs pieces."""

    def decode_results(self, body: bytes, piece_count: int) -> list[PieceResult] | None:
        """Decodes the results of a call, None if they are malformed."""

    def encode_free_call(self, target: targets.Target, handles: Sequence[str]) -> bytes:
        """Encodes the request that frees results."""
