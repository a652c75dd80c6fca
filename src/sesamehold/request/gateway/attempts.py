"""Decides after each attempt of a forwarded request whether to send it again."""

from __future__ import annotations

import enum

import attrs

from sesamehold.request.gateway import messages

# Sends of one request that no target began to run, such as to targets that are full. More of them
# would draw on the budget of repeated sends that all requests share.
MAX_REJECTED_SENDS = 3

# Statuses that a caller takes as the promise that the request has not run.
_PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})


class Result(enum.Enum):
    """What is known of a request after one attempt."""

    NOT_SENT = "not-sent"
    NOT_RUN = "target-refused"
    INPUTS_GONE = "inputs-gone"
    UNKNOWN = "unknown"
    BAD_ANSWER = "bad-answer"
    FAILED = "failed"
    ANSWERED = "answered"


class Step(enum.Enum):
    """What follows."""

    SEND_AGAIN = "send-again"
    REDO_STAGES = "redo-stages"
    PASS_ANSWER = "pass-answer"
    REFUSE = "refuse"


_BEGAN = frozenset({Result.UNKNOWN, Result.BAD_ANSWER, Result.FAILED, Result.ANSWERED})

_STATUS_CONFLICT = 409
_STATUS_SERVER_ERROR = 500


def classify(head: messages.AnswerHead) -> Result:
    """Returns what the head of a target's answer says about the attempt."""
    if head.wrong_target:
        return Result.NOT_RUN
    if head.not_run:
        return Result.INPUTS_GONE if head.status == _STATUS_CONFLICT else Result.NOT_RUN
    if head.encoded or (head.succeeded and not head.sealed):
        return Result.BAD_ANSWER
    if head.status in _PROMISES_NOT_RUN:
        # The target does not say that the request has not run, so its status must not say so.
        return Result.UNKNOWN
    return Result.FAILED if head.status >= _STATUS_SERVER_ERROR else Result.ANSWERED


@attrs.define
class Attempts:
    """Attempts of one request.

    Attributes:
        repeatable: Whether the request may run more than once.
        max_runs: Largest number of targets that may begin to run it.
        runs: Targets that may have begun to run it.
        rejected: Sends that no target began to run.
    """

    repeatable: bool
    max_runs: int
    runs: int = 0
    rejected: int = 0

    @property
    def may_have_run(self) -> bool:
        """Returns whether any target may have begun to run the request."""
        return self.runs > 0

    def after(self, result: Result) -> Step:
        """Takes the result of an attempt; returns what follows.

        A caller that the step does not convince, such as one without a budget for repeated sends,
        passes the answer if there is one and refuses otherwise.

        >>> Attempts(repeatable=False, max_runs=2).after(Result.UNKNOWN)
        <Step.REFUSE: 'refuse'>
        """
        if result in _BEGAN:
            self.runs += 1
        else:
            self.rejected += 1
        if result is Result.ANSWERED:
            return Step.PASS_ANSWER
        if result in _BEGAN:
            again = self.repeatable and self.runs < self.max_runs
            fallback = Step.PASS_ANSWER if result is Result.FAILED else Step.REFUSE
            return Step.SEND_AGAIN if again else fallback
        if self.rejected >= MAX_REJECTED_SENDS or (self.may_have_run and not self.repeatable):
            return Step.REFUSE
        return Step.REDO_STAGES if result is Result.INPUTS_GONE else Step.SEND_AGAIN
