"""Checks that the soak test detects a violation of every property that it verifies."""

from __future__ import annotations

from typing import Any

import pytest

from fault_soak.request import promises


def _outcome(request_id: str = "r", route: str = "order", **changes: Any) -> promises.Outcome:
    fields = {"host": 0, "key": "k", "sent_s": 10.0, "ended_s": 10.1, "status": 200, "whole": True}
    fields |= {"body": promises.expected_body(request_id, route)} | changes
    return promises.Outcome(request_id, route, **fields)


def _run(request_id: str = "r", route: str = "order", **changes: Any) -> promises.Run:
    fields: dict[str, Any] = {
        "target_id": "t",
        "account": "a",
        "leaked_key": False,
        "after_event": 0,
        "inputs": (),
        "at_s": 10.05,
    }
    return promises.Run(request_id, route, **(fields | changes))


def _record(
    outcomes: list[promises.Outcome], runs: list[promises.Run], **changes: Any
) -> promises.Record:
    return promises.Record(outcomes=outcomes, runs=runs, accounts={"k": "a"}, **changes)


STOP = promises.Disturbance(0, 9.0, 12.0, planned=True)
KILL = promises.Disturbance(0, 9.0, 12.0)


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        pytest.param(_record([_outcome()], [_run()]), "", id="sound"),
        pytest.param(_record([_outcome()], [_run(), _run()]), "ran 2 times", id="twice"),
        pytest.param(
            _record([_outcome(route="read")], [_run(route="read")] * 3),
            "with 2 attempts allowed",
            id="more-runs-than-attempts",
        ),
        pytest.param(_record([_outcome(status=503)], [_run()]), "answered 503", id="refused"),
        pytest.param(_record([_outcome(body=b"")], [_run()]), "another body", id="short"),
        pytest.param(
            _record([_outcome(body=b"x", whole=False)], [_run()]), "foreign bytes", id="foreign"
        ),
        pytest.param(_record([_outcome()], [_run(account="b")]), "ran for 'b'", id="account"),
        pytest.param(_record([_outcome()], [_run(leaked_key=True)]), "with its key", id="key"),
        pytest.param(
            _record(
                [_outcome(route="chat")],
                [_run(route="chat", inputs=("h",))],
                made={"h": ("other", 1, 0)},
            ),
            "with the inputs",
            id="inputs",
        ),
        pytest.param(
            _record([_outcome(status=None, whole=False)], [_run()], disturbances=[STOP]),
            "cut without an answer",
            id="cut-by-a-planned-stop",
        ),
        pytest.param(
            _record([_outcome(status=None, whole=False)], [_run()], disturbances=[STOP, KILL]),
            "",
            id="cut-by-a-kill",
        ),
        pytest.param(
            _record([_outcome()], [_run()], left_s={"t": 7.0}), "after it left", id="target-left"
        ),
        pytest.param(
            _record([_outcome()], [_run()], revoked_s={"k": 7.0}), "revoked", id="key-revoked"
        ),
        pytest.param(
            _record([_outcome()], [_run()], revoked_s={"k": 7.0}, disturbances=[KILL]),
            "",
            id="key-revoked-at-a-disturbed-host",
        ),
        pytest.param(
            _record(
                [_outcome(status=503, route="read", sent_s=30.0)],
                [],
                disturbances=[KILL],
            ),
            "after the last fault 0 of 1",
            id="no-recovery",
        ),
    ],
)
def test_violation_is_reported(record: promises.Record, expected: str) -> None:
    """Guards against a soak test that passes regardless of the behaviour of the hosts."""
    lines = promises.violations(record)
    assert bool(lines) is bool(expected)
    assert not expected or expected in lines[0]
