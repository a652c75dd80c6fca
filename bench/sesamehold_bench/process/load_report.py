"""Summary statistics and invariant checks of a load run."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

import attrs
import numpy as np

from sesamehold_bench.request import load_request

PERCENTILES = (50, 95, 99)


@attrs.frozen
class TargetCounts:
    """Counters of all targets of a fleet.

    Attributes:
        executions: Executions of non-repeatable calls by `account:key`.
        requests: Executions of service calls by request id.
        units: Units by pool.
    """

    executions: Mapping[str, int]
    requests: Mapping[str, int]
    units: Mapping[str, int]


def violations(
    outcomes: Sequence[load_request.Outcome], counts: TargetCounts, *, complete: bool = True
) -> list[str]:
    """Returns all invariant violations.

    Args:
        outcomes: All outcomes of the run.
        counts: Counters after the run.
        complete: Whether the counters of all targets could be read; a killed target loses its
            counters, so missing executions are not a violation then.
    """
    found = [
        f"request {outcome.plan.number}: {fault}"
        for outcome in outcomes
        for fault in outcome.faults
    ]
    found += [
        f"request {outcome.plan.number} got no end"
        for outcome in outcomes
        if outcome.kind == load_request.NO_END
    ]
    found += [
        f"key {key} ran {count} times" for key, count in counts.executions.items() if count > 1
    ]
    for key, group in _group_by_key(outcomes).items():
        found += _key_violations(key, group, counts, complete=complete)
    found += [
        f"request {outcome.plan.number} ran although refused with {outcome.kind}, ran no"
        for outcome in outcomes
        if outcome.plan.pipeline.repeatable and outcome.ran == "no"
        if counts.requests.get(outcome.request_id, 0)
    ]
    return found


def _group_by_key(
    outcomes: Iterable[load_request.Outcome],
) -> dict[str, list[load_request.Outcome]]:
    groups: dict[str, list[load_request.Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        key = outcome.plan.key or outcome.request_id
        if not outcome.plan.pipeline.repeatable and key:
            groups[f"{outcome.plan.account}:{key}"].append(outcome)
    return groups


def _key_violations(
    key: str, group: Sequence[load_request.Outcome], counts: TargetCounts, *, complete: bool
) -> list[str]:
    executed = counts.executions.get(key, 0) > 0
    found = []
    if executed and all(outcome.ran == "no" for outcome in group):
        found.append(f"key {key} ran although every submission got ran no")
    if complete and not executed and any(outcome.ran is None for outcome in group):
        found.append(f"key {key} was answered and never ran")
    return found


def summary(outcomes: Sequence[load_request.Outcome], duration_s: float) -> dict[str, Any]:
    """Returns attainment, goodput, latencies and refusals of a run."""
    attained = sum(outcome.attained for outcome in outcomes)
    first_pieces = [item.first_piece_ms for item in outcomes if item.first_piece_ms is not None]
    gaps = [gap for outcome in outcomes for gap in outcome.gaps_ms]
    latencies = [item.latency_ms for item in outcomes if item.kind == load_request.ANSWERED]
    kinds = collections.Counter(
        outcome.kind if outcome.ran is None else f"{outcome.kind}/{outcome.ran}"
        for outcome in outcomes
    )
    return {
        "sent": len(outcomes),
        "attained": attained,
        "attainment": _fraction(attained, len(outcomes)),
        "attainment_by_account": _attainment_by_group(outcomes, lambda item: item.plan.account),
        "attainment_by_pipeline": _attainment_by_group(
            outcomes, lambda item: item.plan.pipeline.name
        ),
        "goodput_per_s": round(attained / duration_s, 2),
        "outcomes": dict(sorted(kinds.items())),
        "first_piece_ms": percentiles(first_pieces),
        "gap_ms": percentiles(gaps),
        "latency_ms": percentiles(latencies),
    }


def _attainment_by_group(
    outcomes: Sequence[load_request.Outcome], group_of: Any
) -> dict[str, float]:
    groups: dict[str, list[bool]] = collections.defaultdict(list)
    for outcome in outcomes:
        groups[group_of(outcome)].append(outcome.attained)
    return {name: _fraction(sum(group), len(group)) for name, group in sorted(groups.items())}


def _fraction(part: int, whole: int) -> float:
    return round(part / whole, 4) if whole else 0.0


def percentiles(values: Sequence[float]) -> dict[str, float]:
    """Returns p50, p95 and p99; empty if there are no values.

    >>> percentiles([1.0, 2.0, 3.0])["p50"]
    2.0
    """
    if not values:
        return {}
    results = np.percentile(values, PERCENTILES)
    return {
        f"p{name}": round(float(value), 2) for name, value in zip(PERCENTILES, results, strict=True)
    }
