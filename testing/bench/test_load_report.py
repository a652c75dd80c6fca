"""Checks that the load tool detects every kind of invariant violation."""

from __future__ import annotations

from typing import Any

import factories
import pytest
from sesamehold_bench.process import load_report
from sesamehold_bench.request import load_request

REPEATABLE = factories.pipeline(factories.stage("encode"))
ORDER = factories.pipeline(factories.stage("order", repeatable=False))


def _outcome(pipeline: Any, kind: str, ran: str | None, **fields: Any) -> load_request.Outcome:
    plan = load_request.PlannedRequest(1, 0.0, 0, "a", pipeline, "p", False, 1_000, key="k")
    return load_request.Outcome(plan, kind, ran, "r", 1.0, **fields)


ANSWERED = _outcome(ORDER, "answered", None)
REFUSED = _outcome(ORDER, "limit-exceeded", "no")
UNKNOWN = _outcome(ORDER, "outcome-unknown", "unknown")


@pytest.mark.parametrize(
    ("outcomes", "executions", "requests", "expected"),
    [
        pytest.param([ANSWERED], {"a:k": 1}, {}, 0, id="answered-once"),
        pytest.param([ANSWERED, ANSWERED], {"a:k": 1}, {}, 0, id="repeat-answered-from-store"),
        pytest.param([ANSWERED, REFUSED], {"a:k": 1}, {}, 0, id="one-submission-refused"),
        pytest.param([UNKNOWN], {}, {}, 0, id="unknown-that-did-not-run"),
        pytest.param([UNKNOWN], {"a:k": 1}, {}, 0, id="unknown-that-ran"),
        pytest.param([ANSWERED], {"a:k": 2}, {}, 1, id="ran-twice"),
        pytest.param([REFUSED], {"a:k": 1}, {}, 1, id="not-run-is-false"),
        pytest.param([ANSWERED], {}, {}, 1, id="answered-without-execution"),
        pytest.param(
            [_outcome(REPEATABLE, "no-target", "no")],
            {},
            {"r": 1},
            1,
            id="not-run-is-false-for-a-repeatable-request",
        ),
        pytest.param(
            [_outcome(REPEATABLE, "answered", None, faults=("stage encode differs",))],
            {},
            {},
            1,
            id="crossed-answer",
        ),
        pytest.param(
            [_outcome(REPEATABLE, load_request.NO_END, "unknown")], {}, {}, 1, id="no-end"
        ),
    ],
)
def test_violations_are_reported(
    outcomes: list[load_request.Outcome],
    executions: dict[str, int],
    requests: dict[str, int],
    expected: int,
) -> None:
    """Guards against a load run that passes although an invariant was violated."""
    counts = load_report.TargetCounts(executions, requests, {})
    assert len(load_report.violations(outcomes, counts)) == expected
