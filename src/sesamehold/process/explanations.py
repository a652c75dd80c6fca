"""Bounded store of what this host decided for each request."""

from __future__ import annotations

import collections
from typing import Any

import attrs


@attrs.frozen
class TraceRecord:
    """One decision or event of a request.

    Attributes:
        at_ms: Time since the request was admitted, in milliseconds.
        kind: What happened, such as `attempt-started`.
        rule: Rule that decided, empty for plain events.
        figures: Figures and alternatives behind the decision.
    """

    at_ms: int
    kind: str
    rule: str = ""
    figures: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Trace:
    """Decisions and events of one request."""

    request_id: str
    account: str
    pipeline: str
    started_wall_ms: int
    records: list[TraceRecord] = attrs.field(factory=list)


def to_document(trace: Trace) -> dict[str, Any]:
    """Returns a trace as JSON-compatible values."""
    return attrs.asdict(trace)


@attrs.define
class Explanations:
    """Keeps the traces of the most recent requests."""

    limit: int = 2_000
    _traces: collections.OrderedDict[str, Trace] = attrs.field(factory=collections.OrderedDict)

    def open(self, trace: Trace) -> None:
        """Adds the trace of a new request and evicts the oldest one over the limit."""
        self._traces[trace.request_id] = trace
        if len(self._traces) > self.limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str, account: str | None = None) -> Trace | None:
        """Returns the trace of a request.

        Args:
            request_id: The request.
            account: Account that must have caused the request, None for any.

        Returns:
            The trace, None if it is unknown, evicted or of another account.
        """
        trace = self._traces.get(request_id)
        if trace is None or (account is not None and trace.account != account):
            return None
        return trace

    def __len__(self) -> int:
        return len(self._traces)
