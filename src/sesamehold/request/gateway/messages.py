"""Value types of one forwarded request: its head, the target's answer and refusals."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs

# Header fields in their original order and spelling.
HeaderPairs: TypeAlias = tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class PromptPart:
    """A segment of a prompt that other requests may have in common.

    Attributes:
        part_id: Identifier derived from the content: equal for equal parts.
        token_count: Number of tokens.
    """

    part_id: str
    token_count: int


@attrs.frozen
class Prompt:
    """Prompt metadata by which an engine is selected.

    Attributes:
        model: Name of the model.
        prompt_tokens: Number of tokens of the whole prompt.
        output_tokens: Maximum number of generated tokens.
        parts: Segments in the order of the prompt.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Returns the parts likely to be cached; the last of several is usually new."""
        return self.parts[:-1] if len(self.parts) > 1 else self.parts

    @property
    def session_id(self) -> str | None:
        """Returns the id of the last shared part, None if the prompt has no parts."""
        return self.shared_parts[-1].part_id if self.parts else None


@attrs.frozen
class RequestHead:
    """Decoded request line and headers of a caller.

    Attributes:
        request_id: Unique id of this submission by the caller.
        method: HTTP method.
        path: Path without the query.
        raw_target: Path and query as received.
        host: Host name without a port.
        headers: Headers to forward.
        budget_ms: Time that the caller waits for the answer, None if not stated.
        key: Credential, None if not sent.
        prompt: Prompt metadata; set only for requests to model engines.
        piece_counts: Number of pieces of each stage of the route.
        piece_key: Input of pieces that do not depend on other stages.
        last_event_id: Last event that the caller received of an interrupted stream.
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
    """A request that cannot be decoded; `reason` is written to the log."""

    reason: str


@attrs.frozen
class SendOptions:
    """Parameters of one attempt, sent to the target as headers.

    Attributes:
        remaining_ms: Time left for the target.
        expected_target_id: Target that must run the request; any other target rejects it.
        account: Client account of the request, None for anonymous routes.
        urgency: Priority at the engine, from 0 (most urgent) to 9.
        inputs: Handles of the stage results that the request reads; None if it has no stages.
        last_event_id: Event after which the stream resumes.
    """

    remaining_ms: int
    expected_target_id: str
    account: str | None
    urgency: int | None = None
    inputs: tuple[str, ...] | None = None
    last_event_id: int | None = None


@attrs.frozen
class LoadSample:
    """Load that a target reported with an answer.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait there.
        slots: Requests that it can run at once.
        slowdown: Present duration of work as a multiple of the usual one, None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@attrs.frozen
class TargetStatement:
    """What a target says about itself in an answer.

    Attributes:
        max_rate_per_s: Requests per second that it takes from all hosts together, None if not
            stated.
        leaving: Whether it is shutting down, None if not stated.
        wait_ms: Time for which it wants nothing from this host, None if not stated.
        malformed: Names of the statements that cannot be decoded.
    """

    max_rate_per_s: float | None = None
    leaving: bool | None = None
    wait_ms: int | None = None
    malformed: tuple[str, ...] = ()


@attrs.frozen
class AnswerHead:
    """Decoded status and headers of a target's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to forward to the caller.
        request_id: Request that the answer belongs to, None if not stated.
        sealed: Whether the target signed the answer.
        encoded: Whether the body was re-encoded in transit and thus differs from the target's.
        not_run: Whether the target states that it did not run the request.
        wrong_target: Whether a target other than the expected one answered.
        load: Load reported by the target, None if not stated or malformed.
        malformed_load: Start of a reported load that cannot be decoded, for the log.
        idle_ms: Keep-alive timeout of the connection, None if not stated.
        content_length: Length of the body, None if it is not stated.
        statement: What the target says about itself.
    """

    status: int
    headers: HeaderPairs
    request_id: str | None = None
    sealed: bool = False
    encoded: bool = False
    not_run: bool = False
    wrong_target: bool = False
    load: LoadSample | None = None
    malformed_load: str | None = None
    idle_ms: int | None = None
    content_length: int | None = None
    statement: TargetStatement = TargetStatement()

    @property
    def states_load(self) -> bool:
        """Returns whether the target reported its load, in whatever form."""
        return self.load is not None or self.malformed_load is not None

    @property
    def succeeded(self) -> bool:
        """Returns whether the status is in the 2xx range."""
        return 200 <= self.status < 300


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"
    NO_BODY = "no-body"


@attrs.define
class Transfer:
    """How an answer of a target is transferred.

    Attributes:
        framing: What marks the end of the body.
        is_reused: Whether the connection had carried other requests before.
        body_bytes: Size of the part of the body that has been read.
    """

    framing: Framing
    is_reused: bool = False
    body_bytes: int = 0

    def log_fields(self) -> dict[str, object]:
        """Returns the fields that tell in a log line how the answer was transferred."""
        return {
            "framing": self.framing.value,
            "reused": self.is_reused,
            "body_bytes": self.body_bytes,
        }


class ExtraBytes(enum.Enum):
    """Where bytes of a target were found that belong to no answer that a request waits for."""

    WHILE_IDLE = "while-idle"
    BEHIND_ANSWER = "behind-answer"
    OTHER_ANSWER = "other-answer"
    IN_ANSWER = "in-answer"


class Reason(enum.Enum):
    """Why the gateway refused or failed a request."""

    NO_CONFIGURATION = "no-configuration"
    STOPPING = "stopping"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    MALFORMED = "malformed"
    BODY_TOO_LARGE = "body-too-large"
    HEADER_TOO_LARGE = "header-too-large"
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
    """An error answer generated by the gateway.

    Attributes:
        reason: Why the request was refused.
        may_have_run: Whether a target may have run the request.
        retry_after_ms: Delay before the caller should retry; set only if the request has not run.
    """

    reason: Reason
    may_have_run: bool = False
    retry_after_ms: int | None = None
