"""`sesamehold story`: log records of one request from log files."""

from __future__ import annotations

import pathlib

import pytest

from sesamehold.process import cli

LOG = """\
12.5 host-2 {"time":"2026-01-01T00:02","event":"request.finished","request":"r1","runs":1}
noise without a record
12.1 host-1 {"time":"2026-01-01T00:01","event":"stage.call","requests":["r0","r1"],"pieces":3}
12.2 host-1 {"time":"2026-01-01T00:01","event":"stage.call","requests":["r12"]}
12.3 host-1 {"time":"broken r1
"""


@pytest.mark.parametrize(
    ("request_id", "code", "events"),
    [
        pytest.param("r1", 0, ["stage.call", "request.finished"], id="in-order-of-time"),
        pytest.param("none", 1, [], id="unknown-request"),
    ],
)
def test_story(
    request_id: str,
    code: int,
    events: list[str],
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against records of other requests and against records that are not sorted by time."""
    path = tmp_path / "log.txt"
    path.write_text(LOG)
    assert cli.run(["story", request_id, str(path)]) == code
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in lines] == events


def test_file_that_cannot_be_read(tmp_path: pathlib.Path) -> None:
    """Guards against a misspelled file name that is reported like a request without records."""
    assert cli.run(["story", "r1", str(tmp_path / "none.txt")]) == 2
