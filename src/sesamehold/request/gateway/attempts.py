"""Retry policy of a forwarded request: decides after each attempt whether to send it again."""

from __future__ import annotations

import enum

import attrs

from sesamehold.request.gateway import messages

# Limit on sends of one request that were rejected before a target ran it, for example because the
# target was full. Further sends would use up the retry budget that all requests share.
MAX_REJECTED_SENDS = 3
# Limit on connections of one request that could not be opened. The engines behind them received
# nothing, but each may take as long as a connection attempt.
MAX_UNREACHABLE = 8

# Statuses that callers interpret as a guarantee that the request was not processed.
_NOT_PROCESSED_STATUSES = frozenset({408, 421, 429, 503})


class AttemptResult(enum.Enum):
    """Outcome of one attempt."""

    NOT_SENT = "not-sent"
    NOT_RUN = "target-refused"
    INPUTS_GONE = "inputs-gone"
    UNKNOWN = "unknown"
    BAD_ANSWER = "bad-answer"
    FAILED = "failed"
    ANSWERED = "answered"


class NextStep(enum.Enum):
    """What to do after an attempt."""

    SEND_AGAIN = "send-again"
    REDO_STAGES = "redo-stages"
    PASS_ANSWER = "pass-answer"
    REFUSE = "refuse"


_MAY_HAVE_RUN = frozenset(
    {
        AttemptResult.UNKNOWN,
        AttemptResult.BAD_ANSWER,
        AttemptResult.FAILED,
        AttemptResult.ANSWERED,
    }
)

_STATUS_CONFLICT = 409
_STATUS_SERVER_ERROR = 500


def classify(head: messages.AnswerHead) -> AttemptResult:
    """Classifies an attempt by the status and headers of the target's answer."""
    if head.wrong_target:
        return AttemptResult.NOT_RUN
    if head.not_run:
        return (
            AttemptResult.INPUTS_GONE if head.status == _STATUS_CONFLICT else AttemptResult.NOT_RUN
        )
    if head.encoded or (head.succeeded and not head.sealed):
        return AttemptResult.BAD_ANSWER
    if head.status in _NOT_PROCESSED_STATUSES:
        # Without an explicit statement of the target, the status must not reach the caller, who
        # would conclude that the request was not processed.
        return AttemptResult.UNKNOWN
    return AttemptResult.FAILED if head.status >= _STATUS_SERVER_ERROR else AttemptResult.ANSWERED


@attrs.define
class Attempts:
    """Counts the attempts of one request and decides what follows each of them.

    Attributes:
        repeatable: Whether the request may run more than once.
        max_runs: Maximum number of attempts that may start to run on a target.
        runs: Attempts that may have started to run on a target.
        rejected: Attempts that a target received and did not start to run.
        unreachable: Attempts for which no connection could be opened.
    """

    repeatable: bool
    max_runs: int
    runs: int = 0
    rejected: int = 0
    unreachable: int = 0

    @property
    def may_have_run(self) -> bool:
        """Returns whether any attempt may have started to run on a target."""
        return self.runs > 0

    def step_without_inputs(self) -> NextStep:
        """Returns what follows if the stages would have to run again for a further attempt."""
        is_allowed = self.rejected + self.unreachable < MAX_REJECTED_SENDS
        return NextStep.REDO_STAGES if is_allowed else NextStep.REFUSE

    def may_run_again(self, *, open_runs: int = 0) -> bool:
        """Returns whether a further target may run the request.

        Args:
            open_runs: Runs that are not over and not counted yet.
        """
        return self.repeatable and self.runs + open_runs < self.max_runs

    def log_fields(self) -> dict[str, int]:
        """Returns the counts for the log."""
        return {"runs": self.runs, "rejected": self.rejected, "unreachable": self.unreachable}

    def record(self, result: AttemptResult) -> NextStep:
        """Counts an attempt that has ended and returns what follows it."""
        self.count(result)
        return self.next_step(result)

    def count(self, result: AttemptResult) -> None:
        """Counts an attempt, which may still be open, by its result so far."""
        if result in _MAY_HAVE_RUN:
            self.runs += 1
        elif result is AttemptResult.NOT_SENT:
            self.unreachable += 1
        else:
            self.rejected += 1

    def next_step(self, result: AttemptResult) -> NextStep:
        """Returns what follows an attempt that is counted and has ended.

        If the request cannot be sent again, for example because the retry budget is used up, the
        relay passes on the target's answer if there is one and refuses the request otherwise.

        >>> attempts = Attempts(repeatable=False, max_runs=2)
        >>> attempts.count(AttemptResult.UNKNOWN)
        >>> attempts.next_step(AttemptResult.UNKNOWN)
        <NextStep.REFUSE: 'refuse'>
        """
        if result is AttemptResult.ANSWERED:
            return NextStep.PASS_ANSWER
        if result in _MAY_HAVE_RUN:
            fallback = NextStep.PASS_ANSWER if result is AttemptResult.FAILED else NextStep.REFUSE
            return NextStep.SEND_AGAIN if self.may_run_again() else fallback
        if self.rejected >= MAX_REJECTED_SENDS or self.unreachable >= MAX_UNREACHABLE:
            return NextStep.REFUSE
        if self.may_have_run and not self.repeatable:
            return NextStep.REFUSE
        return NextStep.REDO_STAGES if result is AttemptResult.INPUTS_GONE else NextStep.SEND_AGAIN
