"""Simulated exchange of reports between hosts in datagrams of which some are lost."""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import Any
from typing import Protocol

FANOUT = 3
LOSS = 0.05


class ReportTable(Protocol):
    """State of one host that it reports to others and that it merges their reports into."""

    def reports(self, now_ms: int) -> Any: ...

    def merge(self, reports: Any, now_ms: int) -> None: ...


def exchange(
    tables: Sequence[ReportTable], rng: random.Random, now_ms: int, *, has_replies: bool = False
) -> None:
    """Sends the reports of each host to a few hosts, which answer with theirs if asked to."""
    for table in tables:
        reports = table.reports(now_ms)
        for other in rng.sample(tables, min(FANOUT, len(tables))):
            if rng.random() < LOSS:
                continue
            other.merge(reports, now_ms)
            if has_replies and rng.random() >= LOSS:
                table.merge(other.reports(now_ms), now_ms)
