"""Values of one forwarded request: what the caller sent, what a target answered, how it ended."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

# Header lines in the order and spelling in which they came.
HeaderPairs: TypeAlias = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        part_id: Identity of the part, equal for equal contents.
        token_count: Size of the part.
    """

    part_id: str
    token_count: int


@attrs.frozen
class Prompt:
    """What an engine needs to know in advance.

    Attributes:
        model: Name of the model.
        prompt_tokens: Size of the whole prompt.
        output_tokens: Largest number of generated tokens.
        parts: Parts from the beginning of the prompt on.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Returns the parts that earlier requests may have had; the last one is mostly new."""
        return self.parts[:-1] if len(self.parts) > 1 else self.parts

    @property
    def session_id(self) -> str | None:
        """Returns the identity of the last part that is shared, None if there are no parts."""
        return self.shared_parts[-1].part_id if self.parts else None


@attrs.frozen
class RequestHead:
    """What a caller said before the body.

    Attributes:
        request_id: Identity of this attempt of the caller.
        method: HTTP method.
        path: Path without the query.
        raw_target: Path and query as they came.
        host: Host name without a port.
        budget_ms: Time that the caller waits, None if it did not say so.
        key: Credential, None if there is none.
        headers: Headers to forward.
        prompt: Set for requests to model engines.
        piece_counts: Number of pieces of each stage of the route.
        piece_key: Input of pieces that need no results of other stages.
        last_event_id: Last event that the caller has of an interrupted stream.
    """

    request_id: str
    method: str
    path: str
    raw_target: bytes
    host: str
    headers: HeaderPairs
    budget_ms: int | None = None
    key: str | None = None
    prompt: Prompt | None = None
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: int | None = None


@attrs.frozen
class MalformedHead:
    """A request that cannot be forwarded; `reason` tells the caller why."""

    reason: str


@attrs.frozen
class SendOrder:
    """How one attempt is sent to a target.

    Attributes:
        remaining_ms: Time that the target has.
        expected_target_id: Target that must run the request; any other one refuses it.
        account: Client account of the request, None for anonymous routes.
        urgency: Rank among the requests of an engine, 0 to 9; 0 is the most urgent.
        inputs: Handles of the stage results that the request needs; None if it has no stages.
        last_event_id: Event after which a stream goes on.
    """

    remaining_ms: int
    expected_target_id: str
    account: str | None
    urgency: int | None = None
    inputs: tuple[str, ...] | None = None
    last_event_id: int | None = None


@attrs.frozen
class LoadSample:
    """Load that a target stated with an answer."""

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """The beginning of a target's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        request_id: Request that the answer belongs to, None if it does not say so.
        sealed: Whether the target signed the answer.
        encoded: Whether the body was encoded on the way, so that it is not the target's.
        not_run: Whether the target states that it did not run the request.
        wrong_target: Whether another target than the expected one answered.
        load: Load of the target.
        idle_ms: Time for which the target keeps the connection open when idle.
        content_length: Length of the body, None if it is not stated.
    """

    status: int
    headers: HeaderPairs
    request_id: str | None = None
    sealed: bool = False
    encoded: bool = False
    not_run: bool = False
    wrong_target: bool = False
    load: LoadSample | None = None
    idle_ms: int | None = None
    content_length: int | None = None

    @property
    def succeeded(self) -> bool:
        """Returns whether the status tells of success."""
        return 200 <= self.status < 300


class Reason(enum.Enum):
    """Why the gateway gives an answer of its own."""

    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TIMEOUT = "body-timeout"
    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    REJECTED = "rejected-by-targets"
    CRASHES_TARGETS = "crashes-targets"
    STAGES_FAILED = "stages-failed"
    TOO_LATE = "too-late"
    OUTCOME_UNKNOWN = "outcome-unknown"
    BAD_ANSWER = "bad-answer"
    INTERNAL = "internal"


@attrs.frozen
class Refusal:
    """An answer of the gateway's own.

    Attributes:
        reason: Why.
        may_have_run: Whether a target may have run the request.
        retry_after_ms: When the caller should come back; only if the request has not run.
    """

    reason: Reason
    may_have_run: bool = False
    retry_after_ms: int | None = None
