"""Builders of values that many tests need."""

from __future__ import annotations

from sesamehold.process import retry_budget
from sesamehold.request import deadline
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.version import manifest

REQUEST_ID = ids.uuid7(1_700_000_000_000, 7)


def stage(name: str, *, repeatable: bool = True) -> manifest.Stage:
    """Returns a stage of a pool with the same name."""
    kind = manifest.StageKind.GENERATE if name == "generate" else manifest.StageKind.SERVICE
    return manifest.Stage(name=name, kind=kind, pool=name, repeatable=repeatable)


def pipeline(*stages: manifest.Stage) -> manifest.Pipeline:
    """Returns a pipeline of the given stages."""
    return manifest.Pipeline(name="pipeline", owner="owner", stages=stages)


def request(
    *stages: manifest.Stage,
    deadline_ms: int = 3_000,
    key: ids.ExecutionKey | None = None,
    first_submission: bool = False,
) -> execution.Request:
    """Returns an admitted request."""
    return execution.Request(
        request_id=REQUEST_ID,
        account="account",
        pipeline=pipeline(*stages),
        body={"prompt": "p"},
        deadline=deadline.Deadline(deadline_ms),
        key=key,
        fingerprint=b"fingerprint",
        first_submission=first_submission,
    )


def budget(burst: float = 10.0) -> retry_budget.FractionRetryBudget:
    """Returns a retry budget."""
    return retry_budget.FractionRetryBudget(fraction=0.1, burst=burst)
