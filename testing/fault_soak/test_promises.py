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


def _disturbance(kind: promises.Kind, host: int | None = 0) -> promises.Disturbance:
    return promises.Disturbance(host, 9.0, 12.0, kind)


STOP = _disturbance(promises.Kind.STOP)
KILL = _disturbance(promises.Kind.KILL)
RELOAD = _disturbance(promises.Kind.RELOAD)
RETURN = _disturbance(promises.Kind.STORE_RETURN, host=None)
SILENCE = _disturbance(promises.Kind.SILENCE, host=None)


def _unanswered(**changes: Any) -> promises.Outcome:
    return _outcome(**({"status": None, "body": b"", "whole": False} | changes))


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
        pytest.param(
            _record([_outcome("r", "talk")], [_run("r", "talk")] * 2),
            "talk r ran 2",
            id="stream-twice",
        ),
        pytest.param(
            _record([_unanswered(all_sent_s=10.0, ended_s=10.5)], [], disturbances=[STOP]),
            "cut without an answer",
            id="whole-request-unanswered-in-a-planned-stop",
        ),
        pytest.param(
            _record([_unanswered(all_sent_s=10.0, ended_s=10.1)], [], disturbances=[STOP]),
            "",
            id="request-crosses-the-close",
        ),
        pytest.param(
            _record([_unanswered(all_sent_s=None, ended_s=11.0)], [], disturbances=[STOP]),
            "",
            id="part-of-a-request-in-a-planned-stop",
        ),
        pytest.param(
            _record([_unanswered(sent_s=14.0, ended_s=17.0)], [_run()], disturbances=[STOP]),
            "cut without an answer",
            id="late-request-cut-at-the-end-of-the-grace",
        ),
        pytest.param(
            _record([_unanswered(ended_s=16.5)], [_run()], disturbances=[STOP]),
            "",
            id="early-request-at-work-at-the-end-of-the-grace",
        ),
        pytest.param(
            _record([_unanswered()], [_run()], disturbances=[RELOAD]),
            "cut without an answer",
            id="cut-by-a-reload",
        ),
        pytest.param(
            _record([_outcome(status=502, ended_s=11.0)], [_run()], disturbances=[SILENCE]),
            "given up with 502 after 1.0 s",
            id="silent-target-given-up",
        ),
        pytest.param(
            _record(
                [_outcome(body=b"", whole=False, ended_s=11.0)], [_run()], disturbances=[SILENCE]
            ),
            "cut in its answer",
            id="silent-target-cut-in-its-answer",
        ),
        pytest.param(
            _record([_outcome(status=504, ended_s=13.0)], [_run()], disturbances=[SILENCE]),
            "",
            id="silent-target-until-the-timeout-of-the-route",
        ),
        pytest.param(
            _record(
                [_outcome("r", "chat", body=b"", whole=False, ended_s=15.0)],
                [],
                cut_s={"r": 11.0},
                disturbances=[SILENCE],
            ),
            "cut in its answer",
            id="silent-target-left-and-no-time-for-another",
        ),
        pytest.param(
            _record(
                [_outcome("r", "chat", status=502), _outcome("s", "read", host=1)],
                [],
                disturbances=[_disturbance(promises.Kind.KILL, 1)],
            ),
            "",
            id="stages-at-a-host-that-is-killed",
        ),
        pytest.param(
            _record(
                [_outcome("r", "new"), _outcome("s", "new", status=404, sent_s=10.5)],
                [_run("r", "new")],
                added_s={"new": 5.0},
                disturbances=[RETURN],
            ),
            "404 on new, which its host had served",
            id="older-configuration-without-a-route",
        ),
        pytest.param(
            _record(
                [_outcome("r", "new"), _outcome("s", "new", status=404, sent_s=10.5, life=2)],
                [_run("r", "new")],
                added_s={"new": 5.0},
                disturbances=[RETURN, KILL],
            ),
            "",
            id="older-configuration-in-a-new-process",
        ),
        pytest.param(
            _record(
                [
                    _outcome("r", "new", status=503),
                    _outcome("s", "new", status=404, sent_s=10.5),
                ],
                [],
                added_s={"new": 9.0},
                disturbances=[KILL],
            ),
            "",
            id="refusal-before-the-first-configuration",
        ),
        pytest.param(
            _record(
                [_outcome("r", status=401), _outcome("s", sent_s=10.5)],
                [_run("s")],
                revoked_s={"k": 9.5},
                disturbances=[RETURN],
            ),
            "with a key that its host had refused",
            id="older-configuration-with-a-key",
        ),
        pytest.param(
            _record([_outcome(route="new", status=404)], [], added_s={"new": 7.0}),
            "404 on new 3.0 s after it came",
            id="route-added-late",
        ),
        pytest.param(
            _record(
                [_outcome(route="new", status=404, sent_s=16.0)],
                [],
                added_s={"new": 11.0},
                disturbances=[RETURN],
            ),
            "404 on new 5.0 s after it came",
            id="route-added-after-the-return-of-the-store",
        ),
        pytest.param(
            _record([_outcome()], [_run()], left_s={"t": 5.0}, disturbances=[RETURN]),
            "after it left",
            id="target-that-left-comes-back-with-the-store",
        ),
        pytest.param(
            _record([_outcome()], [_run()], left_s={"t": 8.0}, disturbances=[RETURN]),
            "",
            id="target-leaves-as-the-store-is-away",
        ),
        pytest.param(
            _record(
                [_outcome()],
                [_run()],
                left_s={"t": 5.0},
                disturbances=[RETURN, promises.Disturbance(0, 7.6, 8.0, promises.Kind.KILL)],
            ),
            "",
            id="target-that-left-at-a-process-that-never-knew-it",
        ),
        pytest.param(
            _record([_outcome()], [_run()], revoked_s={"k": 5.0}, disturbances=[RETURN]),
            "revoked 5.0 s before",
            id="key-comes-back-with-the-store",
        ),
        pytest.param(
            _record(
                [_outcome()],
                [_run()],
                zones={"t": "z"},
                evacuations=[promises.Evacuation("z", 2.0)],
                disturbances=[RETURN],
            ),
            "reached zone z 8.1 s after it was out",
            id="zone-comes-back-with-the-store",
        ),
        pytest.param(
            _record(
                [_outcome()],
                [_run()],
                zones={"t": "z"},
                evacuations=[promises.Evacuation("z", 2.0, 9.0)],
            ),
            "",
            id="zone-taken-back",
        ),
        pytest.param(
            _record([], [], ended=["host-0 ended with 1"]), "host-0 ended", id="process-ended"
        ),
        pytest.param(
            _record([], [], interrupted=["host-0 ended with -15"]),
            "host-0 ended",
            id="process-ended-by-a-signal-while-stopping",
        ),
    ],
)
def test_violation_is_reported(record: promises.Record, expected: str) -> None:
    """Guards against a soak test that passes regardless of the behaviour of the hosts."""
    lines = promises.violations(record)
    assert bool(lines) is bool(expected)
    assert not expected or expected in lines[0]
