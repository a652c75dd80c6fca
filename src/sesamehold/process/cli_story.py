"""Implementation of `story`, which collects the log records of one forwarded request."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import json
import pathlib
from typing import Any

from sesamehold.process import cli_output

# Fields that are printed at the start of a line or are the same for all records of a request.
_OMITTED_FIELDS = frozenset({"time", "level", "event", "request", "requests", "route"})


def story(request_id: str, files: Sequence[pathlib.Path]) -> cli_output.Report:
    """Returns the log records of a request, sorted by time.

    Args:
        request_id: The request.
        files: Log files; text before the JSON on a line is shown as the source of the record.
    """
    records: list[dict[str, Any]] = []
    for file in files:
        try:
            text = file.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            return cli_output.usage_error(f"{file}: cannot be read: {error.strerror}")
        records += select(request_id, text.splitlines())
    records.sort(key=lambda record: str(record.get("time")))
    if not records:
        problem = f"no log record of request {request_id}"
        return cli_output.Report(cli_output.ExitCode.FAULT_FOUND, (), [], (problem,))
    lines = tuple(_line(record) for record in records)
    return cli_output.Report(cli_output.ExitCode.OK, lines, records)


def select(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Returns the log records of a request.

    >>> select("r1", ['12.5 host-1 {"event":"attempt.again","request":"r1"}', "noise"])
    [{'event': 'attempt.again', 'request': 'r1', 'source': '12.5 host-1'}]
    """
    records = []
    for line in lines:
        source, brace, rest = line.partition("{")
        if not brace or request_id not in rest:
            continue
        try:
            record = json.loads(brace + rest)
        except ValueError:
            # Not JSON: a line of another program, or a truncated one.
            continue
        if record.get("request") == request_id or request_id in record.get("requests", ()):
            records.append({**record, "source": source.strip()})
    return records


def _line(record: dict[str, Any]) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS and name != "source"
    )
    source = record["source"] or str(record.get("time"))
    return f"{source:<32} {record.get('event', '-'):<24} {fields}"
