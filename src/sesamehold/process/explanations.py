"""Bounded store of the decision traces of recent requests."""

from __future__ import annotations

import collections
from typing import Any

import attrs


@attrs.frozen
class TraceRecord:
    """One decision or event of a request.

    Attributes:
        at_ms: Milliseconds since the request was admitted.
        kind: Type of the event, such as `attempt-started`.
        rule: Name of the decision rule; empty for events without a decision.
        figures: Inputs of the decision and the alternatives considered.
    """

    at_ms: int
    kind: str
    rule: str = ""
    figures: dict[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class Trace:
    """Decisions and events of one request in order."""

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
        """Adds the trace of a new request; evicts the oldest trace if the limit is exceeded."""
        self._traces[trace.request_id] = trace
        if len(self._traces) > self.limit:
            self._traces.popitem(last=False)

    def find(self, request_id: str, account: str | None = None) -> Trace | None:
        """Returns the trace of a request.

        Args:
            request_id: The request.
            account: Account that the request must belong to, None for any.

        Returns:
            The trace, or None if it is unknown, evicted or belongs to another account.
        """
        trace = self._traces.get(request_id)
        if trace is None or (account is not None and trace.account != account):
            return None
        return trace

    def __len__(self) -> int:
        return len(self._traces)
