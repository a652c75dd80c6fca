"""Reports of commands, exit codes and table formatting."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import json
import sys
from typing import Any

import attrs


class ExitCode(enum.IntEnum):
    """Exit codes of `sesamehold`."""

    OK = 0
    FAULT_FOUND = 1
    BAD_USAGE = 2
    UNREACHABLE = 3


@attrs.frozen
class Report:
    """Result of a command.

    Attributes:
        code: Exit code.
        lines: Human-readable output.
        document: Machine-readable output, JSON-compatible.
        problems: Error messages for standard error.
    """

    code: ExitCode
    lines: tuple[str, ...]
    document: Any
    problems: tuple[str, ...] = ()


def emit(report: Report, *, as_json: bool) -> int:
    """Writes a report and returns its exit code."""
    if as_json:
        sys.stdout.write(json.dumps(report.document, indent=2) + "\n")
    else:
        sys.stdout.writelines(f"{line}\n" for line in report.lines)
    sys.stderr.writelines(f"{line}\n" for line in report.problems)
    return int(report.code)


def usage_error(text: str) -> Report:
    """Returns the report of a command with invalid arguments or files."""
    return Report(ExitCode.BAD_USAGE, (), {"error": text}, (text,))


def table(rows: Iterable[Mapping[str, Any]], columns: Iterable[str]) -> tuple[str, ...]:
    """Returns rows as aligned columns; numbers are aligned to the right.

    >>> table([{"stage": "rerank", "cost": 20}], ["stage", "cost"])
    ('stage   cost', 'rerank    20')
    """
    names = list(columns)
    cells = [[_cell(row.get(name)) for name in names] for row in rows]
    numeric_flags = [any(isinstance(row.get(name), int | float) for row in rows) for name in names]
    widths = [max(len(text) for text in column) for column in zip(names, *cells, strict=True)]
    return tuple(
        "  ".join(
            text.rjust(width) if numeric else text.ljust(width)
            for text, width, numeric in zip(line, widths, numeric_flags, strict=True)
        ).rstrip()
        for line in [names, *cells]
    )


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
