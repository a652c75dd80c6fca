"""Tests the retry policy of forwarded requests and the parser of event streams."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import event_stream
from sesamehold.request.gateway import messages

R = attempts.AttemptResult
S = attempts.NextStep


@pytest.mark.parametrize(
    ("repeatable", "max_runs", "results", "steps"),
    [
        pytest.param(False, 2, [R.UNKNOWN], [S.REFUSE], id="non-repeatable-outcome-unknown"),
        pytest.param(False, 2, [R.BAD_ANSWER], [S.REFUSE], id="non-repeatable-bad-answer"),
        pytest.param(False, 2, [R.FAILED], [S.PASS_ANSWER], id="non-repeatable-failed"),
        pytest.param(
            False, 1, [R.NOT_RUN, R.UNKNOWN], [S.SEND_AGAIN, S.REFUSE], id="non-repeatable-full"
        ),
        pytest.param(False, 1, [R.NOT_SENT], [S.SEND_AGAIN], id="non-repeatable-not-sent"),
        pytest.param(
            True, 2, [R.UNKNOWN, R.UNKNOWN], [S.SEND_AGAIN, S.REFUSE], id="repeatable-twice"
        ),
        pytest.param(
            True, 2, [R.FAILED, R.FAILED], [S.SEND_AGAIN, S.PASS_ANSWER], id="repeatable-fails"
        ),
        pytest.param(True, 1, [R.FAILED], [S.PASS_ANSWER], id="repeatable-one-attempt"),
        pytest.param(False, 1, [R.INPUTS_GONE], [S.REDO_STAGES], id="inputs-gone"),
        pytest.param(
            True, 2, [R.NOT_RUN] * 3, [S.SEND_AGAIN, S.SEND_AGAIN, S.REFUSE], id="all-full"
        ),
        pytest.param(
            False,
            1,
            [R.NOT_SENT] * attempts.MAX_UNREACHABLE,
            [S.SEND_AGAIN] * (attempts.MAX_UNREACHABLE - 1) + [S.REFUSE],
            id="none-reachable",
        ),
        pytest.param(
            False, 1, [R.NOT_SENT] * 3 + [R.NOT_RUN], [S.SEND_AGAIN] * 4, id="three-unreachable"
        ),
        pytest.param(True, 1, [R.ANSWERED], [S.PASS_ANSWER], id="answered"),
    ],
)
def test_next_step_after_each_result(
    repeatable: bool, max_runs: int, results: list[R], steps: list[S]
) -> None:
    """Guards against running a request twice and against refusing it while a retry is allowed."""
    request_attempts = attempts.Attempts(repeatable, max_runs)
    assert [request_attempts.record(result) for result in results] == steps


@pytest.mark.parametrize(
    ("results", "step"),
    [
        pytest.param([R.NOT_SENT], S.REDO_STAGES, id="one-unreachable"),
        pytest.param([R.NOT_SENT] * 3, S.REFUSE, id="three-unreachable"),
        pytest.param([R.NOT_SENT, R.NOT_RUN, R.NOT_SENT], S.REFUSE, id="three-in-all"),
    ],
)
def test_stages_run_again_for_few_attempts_that_no_target_received(
    results: list[R], step: S
) -> None:
    """Guards against stage work that is done again for each target that cannot be reached."""
    request_attempts = attempts.Attempts(repeatable=False, max_runs=1)
    for result in results:
        request_attempts.record(result)
    assert request_attempts.step_without_inputs() is step


@given(results=st.lists(st.sampled_from(list(R)), max_size=8))
def test_non_repeatable_request_is_not_sent_again_once_it_may_have_run(results: list[R]) -> None:
    """Guards against a second run of a non-repeatable request for any sequence of results."""
    request_attempts = attempts.Attempts(repeatable=False, max_runs=5)
    for result in results:
        step = request_attempts.record(result)
        if request_attempts.may_have_run:
            assert step in {S.PASS_ANSWER, S.REFUSE}
            return


@pytest.mark.parametrize(
    ("head", "result"),
    [
        pytest.param(messages.AnswerHead(200, (), sealed=True), R.ANSWERED, id="success"),
        pytest.param(messages.AnswerHead(200, ()), R.BAD_ANSWER, id="unsigned-success"),
        pytest.param(
            messages.AnswerHead(200, (), sealed=True, encoded=True), R.BAD_ANSWER, id="encoded"
        ),
        pytest.param(messages.AnswerHead(404, (), sealed=True), R.ANSWERED, id="own-404"),
        pytest.param(messages.AnswerHead(500, (), sealed=True), R.FAILED, id="own-500"),
        pytest.param(messages.AnswerHead(503, (), not_run=True), R.NOT_RUN, id="full"),
        pytest.param(messages.AnswerHead(503, (), sealed=True), R.UNKNOWN, id="503-that-may-run"),
        pytest.param(messages.AnswerHead(429, ()), R.UNKNOWN, id="429-that-may-run"),
        pytest.param(messages.AnswerHead(421, (), wrong_target=True), R.NOT_RUN, id="moved"),
        pytest.param(messages.AnswerHead(409, (), not_run=True), R.INPUTS_GONE, id="inputs"),
    ],
)
def test_answer_is_classified(head: messages.AnswerHead, result: R) -> None:
    """Guards against reporting "not run" to the caller without a statement of the target."""
    assert attempts.classify(head) is result


STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\nid-like: 9\n\n"


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_splitter_returns_complete_events_for_any_chunk_boundaries(cuts: list[int]) -> None:
    """Guards against truncated or altered events, which would break the stream after a resume."""
    splitter = event_stream.EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    out = b""
    for start, end in itertools.pairwise(bounds):
        events = splitter.feed(STREAM[start:end])
        assert events == b"" or events.endswith((b"\n\n", b"\r\n\r\n"))
        out += events
    assert out == STREAM
    assert (splitter.last_id, splitter.event_count, splitter.has_partial_event) == (3, 3, False)


def test_partial_event_is_discarded_before_a_resume() -> None:
    """Guards against an event composed of bytes from two attempts."""
    splitter = event_stream.EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.start_attempt(is_resumed=False)
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_event_above_the_size_limit_is_rejected() -> None:
    """Guards against unbounded buffering of an event that never ends."""
    splitter = event_stream.EventSplitter()
    with pytest.raises(event_stream.EventTooLargeError):
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
