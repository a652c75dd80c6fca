from __future__ import annotations

import pytest

from sesamehold.process import suspects


# Guards against wrong crash counts, which refuse harmless requests or let one request crash target
# after target.
@pytest.mark.parametrize(
    ("steps", "crashes"),
    [
        pytest.param([], 0, id="unknown request"),
        pytest.param([("crash", 0, 10)], 1, id="one crash"),
        pytest.param([("crash", 0, 10), ("crash", 20, 30)], 2, id="second run crashed too"),
        pytest.param([("crash", 0, 10), ("crash", 5, 10)], 1, id="two copies in one crash"),
        pytest.param([("crash", 0, 10), ("ok", 20, 30)], 0, id="cleared by success"),
        pytest.param([("crash", 0, 10), ("other", 20, 30)], 1, id="success of another stage"),
        pytest.param([("crash", 0, 10), ("wait", 0, 700_000)], 0, id="forgotten after retention"),
    ],
)
def test_crashes(steps: list[tuple[str, int, int]], crashes: int) -> None:
    table = suspects.SuspectTable()
    now_ms = 0
    for kind, granted_ms, now_ms in steps:
        if kind == "crash":
            table.record_crash(b"f", "s", granted_ms, now_ms)
        elif kind == "ok":
            table.record_success(b"f", "s", now_ms)
        elif kind == "other":
            table.record_success(b"f", "t", now_ms)
    assert table.crashes(b"f", now_ms) == crashes
    assert table.must_run_alone(b"f", "s", now_ms) == (crashes > 0)


@pytest.mark.parametrize(
    ("notice", "crashes"),
    [
        pytest.param(suspects.Suspicion(b"f", "s", 2, 0), 2, id="higher count counts"),
        pytest.param(suspects.Suspicion(b"f", "s", 1, 0), 1, id="equal count is not added"),
        pytest.param(suspects.Suspicion(b"f", "s", 0, 0), 0, id="later clearance"),
        pytest.param(suspects.Suspicion(b"f", "s", 0, 500), 1, id="clearance before the crash"),
        pytest.param(suspects.Suspicion(b"f", "s", 2, 600_000), 1, id="notice out of retention"),
    ],
)
def test_notices(notice: suspects.Suspicion, crashes: int) -> None:
    table = suspects.SuspectTable()
    table.record_crash(b"f", "s", 0, 900)
    table.merge([notice], 1_000)
    assert table.crashes(b"f", 1_000) == crashes


def test_table_is_bounded_and_reports_changes_once() -> None:
    table = suspects.SuspectTable(limit=3)
    for number in range(5):
        table.record_crash(bytes([number + 1]), "s", 0, number)
    assert len(table) == 3
    assert [item.fingerprint for item in table.export(5)] == [b"\x03", b"\x04", b"\x05"]
    assert len(table.take_changes(5)) == 3
    assert table.take_changes(5) == []
