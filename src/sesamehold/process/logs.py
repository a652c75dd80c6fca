"""Structured logging: one line of JSON per record."""

from __future__ import annotations

import json
import sys

import logbook


def _format(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    del handler
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "logger": record.channel,
        "event": record.message,
        **{name: value for name, value in record.extra.items() if value is not None},
    }
    return json.dumps(line, default=str)


def handler() -> logbook.StreamHandler:
    """Returns a handler that writes records of level INFO and above to standard error."""
    stream_handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    stream_handler.formatter = _format
    return stream_handler
