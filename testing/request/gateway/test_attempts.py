"""Guards what may be repeated, what a caller is told, and the cutting of streams into events."""

from __future__ import annotations

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import event_stream
from sesamehold.request.gateway import messages

R = attempts.Result
S = attempts.Step


@pytest.mark.parametrize(
    ("repeatable", "max_runs", "results", "steps"),
    [
        pytest.param(False, 2, [R.UNKNOWN], [S.REFUSE], id="unsafe-outcome-unknown"),
        pytest.param(False, 2, [R.BAD_ANSWER], [S.REFUSE], id="unsafe-bad-answer"),
        pytest.param(False, 2, [R.FAILED], [S.PASS_ANSWER], id="unsafe-failed"),
        pytest.param(False, 1, [R.NOT_RUN, R.UNKNOWN], [S.SEND_AGAIN, S.REFUSE], id="unsafe-full"),
        pytest.param(False, 1, [R.NOT_SENT], [S.SEND_AGAIN], id="unsafe-not-sent"),
        pytest.param(True, 2, [R.UNKNOWN, R.UNKNOWN], [S.SEND_AGAIN, S.REFUSE], id="safe-twice"),
        pytest.param(True, 2, [R.FAILED, R.FAILED], [S.SEND_AGAIN, S.PASS_ANSWER], id="safe-fails"),
        pytest.param(True, 1, [R.FAILED], [S.PASS_ANSWER], id="safe-one-attempt"),
        pytest.param(False, 1, [R.INPUTS_GONE], [S.REDO_STAGES], id="inputs-gone"),
        pytest.param(
            True, 2, [R.NOT_RUN] * 3, [S.SEND_AGAIN, S.SEND_AGAIN, S.REFUSE], id="all-full"
        ),
        pytest.param(True, 1, [R.ANSWERED], [S.PASS_ANSWER], id="answered"),
    ],
)
def test_steps(repeatable: bool, max_runs: int, results: list[R], steps: list[S]) -> None:
    """Guards against running a request twice and against giving up too early."""
    machine = attempts.Attempts(repeatable, max_runs)
    assert [machine.after(result) for result in results] == steps


@given(results=st.lists(st.sampled_from(list(R)), max_size=8))
def test_unsafe_request_is_never_sent_after_it_may_have_run(results: list[R]) -> None:
    """Guards at-most-once whatever the order of outcomes."""
    machine = attempts.Attempts(repeatable=False, max_runs=5)
    for result in results:
        step = machine.after(result)
        if machine.may_have_run:
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
def test_classification(head: messages.AnswerHead, result: R) -> None:
    """Guards against a promise of "not run" that the target did not make."""
    assert attempts.classify(head) is result


STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\nid-like: 9\n\n"


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=12))
def test_events_come_out_whole_wherever_the_bytes_are_cut(cuts: list[int]) -> None:
    """Guards against a torn or changed event after a resume."""
    splitter = event_stream.EventSplitter()
    bounds = [0, *sorted(cuts), len(STREAM)]
    out = b""
    for start, end in itertools.pairwise(bounds):
        whole = splitter.feed(STREAM[start:end])
        assert whole == b"" or whole.endswith((b"\n\n", b"\r\n\r\n"))
        out += whole
    assert out == STREAM
    assert (splitter.last_id, splitter.event_count, splitter.has_rest) == (3, 3, False)


def test_part_of_an_event_is_dropped_before_a_resume() -> None:
    """Guards against a joined event of two runs."""
    splitter = event_stream.EventSplitter()
    splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    splitter.drop_rest()
    assert splitter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"


def test_endless_event_is_refused() -> None:
    """Guards the memory of a host."""
    splitter = event_stream.EventSplitter()
    with pytest.raises(event_stream.EventTooLargeError):
        splitter.feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
