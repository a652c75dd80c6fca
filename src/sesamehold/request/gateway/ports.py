"""Interfaces between a forwarded request and the parts that know wire formats or sockets."""

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
    """Headers of requests and answers in the names of the callers' and targets' protocol."""

    def request_head(
        self, method: str, raw_target: bytes, headers: messages.HeaderPairs
    ) -> Result[messages.RequestHead, messages.MalformedHead]:
        """Decodes what a caller said before the body."""

    def send_head(
        self, head: messages.RequestHead, order: messages.SendOrder, body_size_bytes: int | None
    ) -> bytes:
        """Returns the request line and headers for a target, with the empty line at the end."""

    def answer_head(self, status: int, headers: messages.HeaderPairs) -> messages.AnswerHead:
        """Decodes the beginning of a target's answer."""

    def refusal(
        self, refusal: messages.Refusal, request_id: str | None
    ) -> tuple[int, Mapping[str, str], bytes]:
        """Returns status, headers and body of an answer of the gateway's own."""


@attrs.frozen
class ExchangeFault:
    """An attempt without a usable answer.

    Attributes:
        kind: What went wrong, for logs and metrics.
        sent: Whether a byte of the request may have reached the target.
        broken: Whether the connection broke, as it does when a target crashes.
    """

    kind: str
    sent: bool
    broken: bool = False


class TargetAnswer(Protocol):
    """A target's answer whose head has arrived."""

    @property
    def head(self) -> messages.AnswerHead:
        """Returns the decoded head."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives; raises `BrokenAnswerError` if it ends too early."""

    def release(self) -> None:
        """Gives the connection back if the answer was read to its end, else closes it."""


class BrokenAnswerError(Exception):
    """The answer of a target ended before its end."""


class TargetClient(Protocol):
    """Sends requests to targets."""

    async def send(
        self,
        target: targets.Target,
        request: bytes,
        request_id: str | None,
        *,
        reuse: bool,
    ) -> Result[TargetAnswer, ExchangeFault]:
        """Sends one request and waits for the head of its answer.

        Args:
            target: Where to send it.
            request: Head and body.
            request_id: Identity that the answer must carry if it carries one.
            reuse: Whether a kept connection may be used; if it breaks, the outcome is unknown.
        """


class AnswerSink(Protocol):
    """The caller's side of one request."""

    async def whole(self, status: int, headers: messages.HeaderPairs, body: bytes) -> None:
        """Sends a complete answer."""

    async def begin(self, status: int, headers: messages.HeaderPairs) -> None:
        """Sends the head of an answer whose body follows in chunks."""

    async def chunk(self, data: bytes) -> None:
        """Sends a part of the body."""

    async def finish(self) -> None:
        """Ends the body as complete."""

    async def refuse(self, refusal: messages.Refusal) -> None:
        """Sends an answer of the gateway's own."""

    def abort(self) -> None:
        """Cuts the connection, so that what was sent does not look complete."""


@attrs.frozen
class StageWork:
    """One stage of a request.

    Attributes:
        index: Index of the stage in its route.
        service: Service that does the work.
        after: Indexes of the stages whose results it needs.
        piece_count: Number of pieces.
        result_size_bytes: Approximate size of the result of one piece.
    """

    index: int
    service: str
    after: tuple[int, ...]
    piece_count: int
    result_size_bytes: int


@attrs.frozen
class MadePiece:
    """Result of a piece that lies at a target.

    Attributes:
        stage_index: Index of the stage in its route.
        piece_index: Index of the piece in its stage.
        handle: Names the result.
        target_id: Target that holds it.
        born_ms: Start of that target, in Unix milliseconds.
    """

    stage_index: int
    piece_index: int
    handle: str
    target_id: str
    born_ms: int


@attrs.frozen
class StageRequest:
    """Stages to be done for one request.

    Attributes:
        request_id: The request.
        piece_key: Input of pieces that need no results of other stages.
        stages: Service, indexes of needed stages, number of pieces and result size of each stage.
        urgency: Rank of the request; 0 is the most urgent.
        aim_ms: Time left until the results are wanted.
        deadline_ms: Time left until the results are of no use.
        request_ms: Time that the request itself is expected to need after its stages.
        preferred_zone: Availability zone where the request is best run, empty for any.
        made: Results of stages that another host has had done before.
    """

    request_id: str
    piece_key: str
    stages: tuple[StageWork, ...]
    urgency: int
    aim_ms: int
    deadline_ms: int
    request_ms: int = 0
    preferred_zone: str = ""
    made: tuple[MadePiece, ...] = ()


@attrs.frozen
class StageResults:
    """Handles of the pieces that the request itself needs.

    Attributes:
        handles: Handles in the order of stages and pieces.
        zone: Availability zone where most of the results lie.
    """

    handles: tuple[str, ...]
    zone: str = ""


@attrs.frozen
class StageFailure:
    """Stages that could not be done.

    Attributes:
        kind: Why.
        retry_after_ms: When another try is sensible.
    """

    kind: str
    retry_after_ms: int


# Failure of stages whose host is about to stop; another host can go on with what was made.
HANDED_OVER = "handed-over"

ProgressListener: TypeAlias = Callable[[tuple[MadePiece, ...]], None]


class StageRunner(Protocol):
    """Does the stages of requests."""

    async def run(
        self, request: StageRequest, listener: ProgressListener | None = None
    ) -> Result[StageResults, StageFailure]:
        """Does all stages of a request.

        Args:
            request: What is to be done.
            listener: Told which results exist whenever a stage is done.
        """

    def release(self, request_id: str) -> None:
        """Frees the results of a request, or drops its work if it is not done yet."""


@attrs.frozen
class PieceOrder:
    """One piece of a call to a stage's target; see `StageRequest`."""

    request_id: str
    stage_index: int
    piece_index: int
    remaining_ms: int
    piece_key: str | None = None
    inputs: tuple[str, ...] = ()


@attrs.frozen
class PieceResult:
    """Result of one piece: a handle, or the reason why there is none."""

    handle: str | None
    reason: str = ""


class StageCodec(Protocol):
    """Calls to the targets of stages."""

    def run_call(self, target: targets.Target, pieces: Sequence[PieceOrder]) -> bytes:
        """Returns the request that does pieces."""

    def results(self, body: bytes, piece_count: int) -> list[PieceResult] | None:
        """Decodes the results, None if they cannot be read."""

    def free_call(self, target: targets.Target, handles: Sequence[str]) -> bytes:
        """Returns the request that frees results."""
