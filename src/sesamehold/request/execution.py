"""State machine of one request: turns events into actions without doing any I/O itself."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from sesamehold.process import retry_budget
from sesamehold.request import deadline as deadlines
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.request import stream
from sesamehold.version import manifest

MAX_ATTEMPTS_PER_STAGE = 6

# Faults after which an attempt at another target may succeed.
_TRANSIENT_FAULTS = frozenset(events.AttemptFault) - {events.AttemptFault.CANCELLED}


@attrs.frozen
class Request:
    """An admitted request.

    Attributes:
        request_id: UUIDv7 as 32 hexadecimal digits.
        account: Client account that sent the request.
        pipeline: Pipeline of the configuration version that admitted the request.
        body: JSON object sent by the caller.
        deadline: End-to-end deadline.
        priority: Priority passed to engines; larger values are more urgent.
        key: Idempotency key; required if the pipeline has a non-repeatable stage.
        fingerprint: Hash of account, pipeline and body.
        first_submission: Whether the caller declared that it never sent the key before.
    """

    request_id: str
    account: str
    pipeline: manifest.Pipeline
    body: dict[str, Any]
    deadline: deadlines.Deadline
    priority: int = 0
    key: ids.ExecutionKey | None = None
    fingerprint: bytes = b""
    first_submission: bool = False


class Phase(enum.Enum):
    """Phase of an execution."""

    NEW = "new"
    RUNNING = "running"
    CLAIMING = "claiming"
    ENDED = "ended"


class ClaimState(enum.Enum):
    """State of the execution claim."""

    NONE = "none"
    REQUESTED = "requested"
    GRANTED = "granted"
    DISPATCHED = "dispatched"


@attrs.define
class RequestExecution:
    """Runs the stages of one request in order.

    Each stage has at most one open attempt. Events of any other attempt are late: their cost is
    booked as wasted, and they have no other effect.
    """

    request: Request
    budget: retry_budget.RetryBudget
    phase: Phase = Phase.NEW
    stage_index: int = 0
    outputs: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    _claim_state: ClaimState = ClaimState.NONE
    _open_attempt: ids.AttemptId | None = None
    _attempt_number: int = 0
    _may_have_executed: bool = False
    _open_attempt_dispatched: bool = False
    _failed_targets: frozenset[str] = frozenset()
    _stream_position: stream.StreamPosition = attrs.field(factory=stream.StreamPosition)
    _booked_attempts: set[ids.AttemptId] = attrs.field(factory=set)
    _streaming_index: int | None = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._streaming_index = streaming_stage_index(self.request.pipeline)

    # ---- public interface ----

    def start(self, now_ms: int) -> list[events.Action]:
        """Starts the first stage."""
        self.phase = Phase.RUNNING
        return self._begin_stage(now_ms)

    def handle(self, event: events.Event, now_ms: int) -> list[events.Action]:
        """Processes one event and returns the actions to execute."""
        match event:
            case events.PieceReceived():
                return self._on_piece(event, now_ms)
            case events.AttemptSucceeded():
                return self._on_success(event, now_ms)
            case events.AttemptFailed():
                return self._on_failure(event, now_ms)
            case events.SlotDenied():
                return self._on_slot_denied(event)
            case events.ClaimGranted():
                return self._on_claim_granted(now_ms)
            case events.ClaimDenied():
                return self._on_claim_denied(event)
            case events.AnswerHeld():
                return self._on_answer_held(event)
            case events.CancelRequested():
                if self._claim_state is ClaimState.DISPATCHED:
                    # The non-repeatable call continues, so that a retry with the same key receives
                    # its answer.
                    return []
                return self._abort(errors.Cancelled(detail="The caller cancelled the request."))
            case events.DeadlinePassed():
                return self._on_deadline()

    def may_dispatch(self, attempt: ids.AttemptId, now_ms: int) -> bool:
        """Returns whether the attempt may still be sent; called right before it is written."""
        return (
            self.phase is Phase.RUNNING
            and attempt == self._open_attempt
            and not self.request.deadline.passed(now_ms)
        )

    def mark_dispatched(self, attempt: ids.AttemptId) -> None:
        """Records that bytes of the attempt may reach its target from now on."""
        if attempt != self._open_attempt:
            return
        self._open_attempt_dispatched = True
        if not self._stage.repeatable:
            self._claim_state = ClaimState.DISPATCHED

    def accept_piece(
        self, attempt: ids.AttemptId, index: int, token_count: int, text: str
    ) -> bool | None:
        """Accepts one piece of the open attempt without the overhead of an event.

        Returns:
            True to deliver the piece, False to discard it, None if the stream has a gap.
        """
        if attempt is not self._open_attempt and attempt != self._open_attempt:
            return False
        return self._stream_position.accept(index, token_count, text)

    @property
    def streams_to_caller(self) -> bool:
        """Returns whether the pieces of the current stage belong to the caller's stream."""
        return self.stage_index == self._streaming_index

    # ---- stages ----

    @property
    def _stage(self) -> manifest.Stage:
        return self.request.pipeline.stages[self.stage_index]

    def _begin_stage(self, now_ms: int) -> list[events.Action]:
        self._open_attempt = None
        self._attempt_number = 0
        self._failed_targets = frozenset()
        self._stream_position = stream.StreamPosition()
        if not self._stage.repeatable and self._claim_state is ClaimState.NONE:
            return self._claim_key()
        self.budget.record_first_attempt(self.request.account, now_ms)
        return [self._next_attempt()]

    def _claim_key(self) -> list[events.Action]:
        if self.request.key is None:
            raise ValueError("a pipeline with a non-repeatable stage requires an execution key")
        self.phase = Phase.CLAIMING
        self._claim_state = ClaimState.REQUESTED
        return [events.ClaimKey(self.request.key)]

    def _next_attempt(self) -> events.StartAttempt:
        self._attempt_number += 1
        self._open_attempt_dispatched = False
        self._open_attempt = ids.AttemptId(
            self.request.request_id, self.stage_index, self._attempt_number
        )
        return events.StartAttempt(
            attempt=self._open_attempt,
            stage=self._stage,
            body={"input": self.request.body, "outputs": dict(self.outputs)},
            excluded_targets=self._failed_targets,
            resume_index=self._stream_position.next_index,
            resume_text=self._stream_position.text(),
        )

    # ---- events ----

    def _on_piece(self, event: events.PieceReceived, now_ms: int) -> list[events.Action]:
        accepted = self.accept_piece(event.attempt, event.index, event.token_count, event.text)
        if accepted is None:
            gap = events.AttemptFailed(
                event.attempt, events.AttemptFault.BAD_ANSWER, errors.RunStatus.UNKNOWN
            )
            return [events.CancelAttempt(event.attempt), *self._on_failure(gap, now_ms)]
        if accepted and self.streams_to_caller:
            return [events.DeliverPiece(event.index, event.token_count, event.text)]
        return []

    def _on_success(self, event: events.AttemptSucceeded, now_ms: int) -> list[events.Action]:
        if event.attempt != self._open_attempt or self.phase is not Phase.RUNNING:
            return self._book_cost(event.attempt, event.usage, wasted=True)
        self._may_have_executed = True
        actions = self._book_cost(event.attempt, event.usage, wasted=False)
        self._open_attempt = None
        self.outputs[self._stage.name] = self._with_streamed_text(event.output)
        if self.stage_index + 1 < len(self.request.pipeline.stages):
            self.stage_index += 1
            return actions + self._begin_stage(now_ms)
        return actions + self._finish()

    def _with_streamed_text(self, output: dict[str, Any]) -> dict[str, Any]:
        # The output of a resumed stream contains only the text of its last attempt.
        if self._stream_position.next_index == 0:
            return output
        return {**output, "text": self._stream_position.text()}

    def _finish(self) -> list[events.Action]:
        answer = {
            "request_id": self.request.request_id,
            "pipeline": self.request.pipeline.name,
            "outputs": self.outputs,
        }
        self.phase = Phase.ENDED
        actions: list[events.Action] = []
        if self._claim_state is not ClaimState.NONE and self.request.key is not None:
            actions.append(events.FinishClaim(self.request.key, answer))
        actions.append(events.DeliverAnswer(answer))
        return actions

    def _on_failure(self, event: events.AttemptFailed, now_ms: int) -> list[events.Action]:
        actions = self._book_cost(event.attempt, event.usage, wasted=True)
        if event.attempt != self._open_attempt or self.phase is not Phase.RUNNING:
            return actions
        self._open_attempt_dispatched = False
        if event.ran is not errors.RunStatus.NO:
            self._may_have_executed = True
        if event.target_id is not None:
            self._failed_targets |= {event.target_id}
        if not self._stage.repeatable and event.ran is errors.RunStatus.NO:
            # The target stated that it did not run the call.
            self._claim_state = ClaimState.GRANTED
        if self._may_retry(event, now_ms):
            return [*actions, self._next_attempt()]
        return actions + self._end(self._failure_for(event))

    def _may_retry(self, event: events.AttemptFailed, now_ms: int) -> bool:
        repeatable = self._stage.repeatable or event.ran is errors.RunStatus.NO
        return (
            repeatable
            and event.fault in _TRANSIENT_FAULTS
            and self._attempt_number < MAX_ATTEMPTS_PER_STAGE
            and not self.request.deadline.passed(now_ms)
            and self.budget.try_spend(self.request.account, now_ms)
        )

    def _failure_for(self, event: events.AttemptFailed) -> errors.Failure:
        if self._claim_state is ClaimState.DISPATCHED and not self._stage.repeatable:
            return errors.OutcomeUnknown(
                detail=f"Stage {self._stage.name!r} ended with {event.fault.value}; it may have "
                "run and is not sent again.",
            )
        return errors.StageFailed(
            detail=f"Stage {self._stage.name!r} failed with {event.fault.value} after "
            f"{self._attempt_number} attempts.",
            stage=self._stage.name,
        )

    def _on_slot_denied(self, event: events.SlotDenied) -> list[events.Action]:
        if event.attempt != self._open_attempt or self.phase is not Phase.RUNNING:
            return []
        return self._end(event.failure)

    def _on_claim_granted(self, now_ms: int) -> list[events.Action]:
        if self.phase is not Phase.CLAIMING:
            return [events.ReleaseClaim(self.request.key)] if self.request.key else []
        self.phase = Phase.RUNNING
        self._claim_state = ClaimState.GRANTED
        self.budget.record_first_attempt(self.request.account, now_ms)
        return [self._next_attempt()]

    def _on_claim_denied(self, event: events.ClaimDenied) -> list[events.Action]:
        if self.phase is not Phase.CLAIMING:
            return []
        # The claim round has already released its votes, and its failure states whether the key was
        # run.
        self.phase = Phase.ENDED
        return [events.DeliverFailure(event.failure)]

    def _on_answer_held(self, event: events.AnswerHeld) -> list[events.Action]:
        if self.phase is not Phase.CLAIMING:
            return []
        self.phase = Phase.ENDED
        return [events.DeliverStoredAnswer(event.status, event.content_type, event.body)]

    def _on_deadline(self) -> list[events.Action]:
        return self._abort(
            errors.DeadlineExceeded(
                detail=f"The deadline passed in stage {self._stage.name!r}.",
            )
        )

    # ---- end ----

    def _abort(self, failure: errors.Failure) -> list[events.Action]:
        if self.phase is Phase.ENDED:
            return []
        actions: list[events.Action] = []
        if self._open_attempt is not None:
            actions.append(events.CancelAttempt(self._open_attempt))
        return actions + self._end(failure)

    def _end(self, failure: errors.Failure) -> list[events.Action]:
        self.phase = Phase.ENDED
        actions: list[events.Action] = []
        if self.request.key is not None:
            match self._claim_state:
                case ClaimState.REQUESTED | ClaimState.GRANTED:
                    actions.append(events.ReleaseClaim(self.request.key))
                case ClaimState.DISPATCHED:
                    actions.append(events.FinishClaim(self.request.key, None))
                case ClaimState.NONE:
                    pass
        actions.append(events.DeliverFailure(attrs.evolve(failure, ran=self._ran())))
        return actions

    def _ran(self) -> errors.RunStatus:
        """Returns whether this request was run, as far as known.

        In a pipeline with a non-repeatable stage only that stage counts, because callers decide by
        it whether to send the request again with a new key.
        """
        if self.request.pipeline.repeatable:
            executed = self._may_have_executed or self._open_attempt_dispatched
            return errors.RunStatus.UNKNOWN if executed else errors.RunStatus.NO
        if self._claim_state is ClaimState.DISPATCHED:
            return errors.RunStatus.UNKNOWN
        if self._claim_state is ClaimState.REQUESTED:
            return errors.RunStatus.NO if self._is_first_submission() else errors.RunStatus.UNKNOWN
        if self._claim_state is ClaimState.NONE and not self._is_first_submission():
            # An earlier submission of the same key may have been run by another host.
            return errors.RunStatus.UNKNOWN
        return errors.RunStatus.NO

    def _is_first_submission(self) -> bool:
        key = self.request.key
        return key is None or key.host_generated or self.request.first_submission

    def _book_cost(
        self, attempt: ids.AttemptId, usage: events.Usage, *, wasted: bool
    ) -> list[events.Action]:
        if attempt in self._booked_attempts or usage.units == 0:
            return []
        self._booked_attempts.add(attempt)
        stage = self.request.pipeline.stages[attempt.stage_index]
        return [events.BookCost(attempt, stage, usage, wasted)]


def streaming_stage_index(pipeline: manifest.Pipeline) -> int | None:
    """Returns the index of the stage streamed to the caller: the last generation stage, if any."""
    indexes = [
        index
        for index, stage in enumerate(pipeline.stages)
        if stage.kind is manifest.StageKind.GENERATE
    ]
    return indexes[-1] if indexes else None
