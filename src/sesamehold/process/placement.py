"""Placement of models on the targets of a pool according to demand."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

_MS_PER_MINUTE = 60_000

# A model gets another target only if its desired count is at least this multiple of its current
# count, so that small changes in demand do not move targets back and forth.
HYSTERESIS = 1.5


@attrs.frozen
class TargetModels:
    """Model loaded on one target, as far as this host knows.

    Attributes:
        target_id: The target.
        model: Loaded model, None if there is none.
        available: False while it loads a model, drains or is unreachable.
    """

    target_id: str
    model: str | None
    available: bool


@attrs.frozen
class LoadOrder:
    """Order to load a model on a target, replacing the loaded one."""

    target_id: str
    model: str


@attrs.define
class DemandEstimate:
    """Demand per model, as an exponentially decayed sum of the work that this host dispatched.

    The load balancer distributes requests evenly, so the demand on one host is a sample of the
    demand on the fleet, and hosts need not exchange it.

    Attributes:
        half_life_ms: Time after which the weight of past demand has halved.
    """

    half_life_ms: int = 60_000
    _work: dict[str, float] = attrs.field(factory=dict)
    _updated_ms: int = 0

    def add(self, model: str, units: float, now_ms: int) -> None:
        """Adds work that was dispatched for a model."""
        self._decay(now_ms)
        self._work[model] = self._work.get(model, 0.0) + units

    def shares(self, now_ms: int) -> dict[str, float]:
        """Returns the fraction of the demand for each model; the fractions add up to 1."""
        self._decay(now_ms)
        total = sum(self._work.values())
        return {model: work / total for model, work in self._work.items()} if total > 0 else {}

    def _decay(self, now_ms: int) -> None:
        elapsed_ms = max(0, now_ms - self._updated_ms)
        self._updated_ms = now_ms
        factor = math.exp2(-elapsed_ms / self.half_life_ms)
        self._work = {model: work * factor for model, work in self._work.items() if work > 1e-6}


@attrs.define
class LoadBudget:
    """Limits model loads by the rate of the weight store and by the number of unavailable targets.

    Each pool gets an equal share of the store's rate, so the fleet stays within it without any
    messages. The token bucket starts empty, because a new owner does not know what its predecessor
    has just loaded.

    The second limit follows the OpenKruise proposal "Pod Unavailable Budget" (2021).

    >>> budget = LoadBudget(loads_per_minute=60.0, unavailable_fraction=0.5)
    >>> budget.try_spend(0, unavailable=0, total=4), budget.try_spend(1_000, unavailable=0, total=4)
    (False, True)
    >>> budget.try_spend(9_000, unavailable=2, total=4)
    False
    """

    loads_per_minute: float
    unavailable_fraction: float
    _tokens: float = 0.0
    _updated_ms: int | None = None

    def try_spend(self, now_ms: int, *, unavailable: int, total: int) -> bool:
        """Takes a token for one load if both limits allow it."""
        self._refill(now_ms)
        # At least one target may be unavailable, else pools of two or three could never be changed.
        allowed = max(1, math.floor(total * self.unavailable_fraction))
        if unavailable >= allowed or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: int) -> None:
        if self._updated_ms is not None:
            elapsed_ms = now_ms - self._updated_ms
            refilled = elapsed_ms * self.loads_per_minute / _MS_PER_MINUTE
            self._tokens = min(1.0, self._tokens + refilled)
        self._updated_ms = now_ms


def desired_counts(shares: Mapping[str, float], total: int) -> dict[str, int]:
    """Apportions `total` targets to the models with the largest remainder method.

    Each model with demand gets at least one target if there are enough targets.

    >>> desired_counts({"a": 0.7, "b": 0.3}, 10)
    {'a': 7, 'b': 3}
    >>> desired_counts({"a": 0.99, "b": 0.01}, 4)
    {'a': 3, 'b': 1}
    """
    if not shares or total <= 0:
        return {}
    ranked = sorted(shares, key=lambda model: (-shares[model], model))[:total]
    counts = {model: max(1, math.floor(shares[model] * total)) for model in ranked}
    while sum(counts.values()) > total:
        largest = max(ranked, key=lambda model: (counts[model], model))
        counts[largest] -= 1
    remainders = sorted(ranked, key=lambda model: (counts[model] - shares[model] * total, model))
    for model in remainders[: total - sum(counts.values())]:
        counts[model] += 1
    return counts


def next_load(targets: Sequence[TargetModels], shares: Mapping[str, float]) -> LoadOrder | None:
    """Returns the most useful load, None if no model is underprovisioned.

    The model with the largest ratio of desired to current targets gets a target from the model with
    the largest surplus; targets without a model are taken first.
    """
    desired = desired_counts(shares, len(targets))
    current: dict[str, int] = dict.fromkeys(desired, 0)
    for target in targets:
        if target.model is not None:
            current[target.model] = current.get(target.model, 0) + 1
    underprovisioned = [
        model for model in desired if _is_underprovisioned(current[model], desired[model])
    ]
    if not underprovisioned:
        return None
    model = max(underprovisioned, key=lambda name: (desired[name] / max(current[name], 0.5), name))
    reassigned = _reassignable_target(targets, current, desired, model)
    return LoadOrder(reassigned.target_id, model) if reassigned is not None else None


def _is_underprovisioned(current: int, desired: int) -> bool:
    return current == 0 or desired >= current * HYSTERESIS


def _reassignable_target(
    targets: Sequence[TargetModels],
    current: Mapping[str, int],
    desired: Mapping[str, int],
    model: str,
) -> TargetModels | None:
    def surplus(target: TargetModels) -> int:
        if target.model is None:
            return len(targets)
        return current[target.model] - desired.get(target.model, 0)

    candidates = [
        target
        for target in targets
        if target.available and target.model != model and surplus(target) > 0
    ]
    return max(candidates, key=lambda target: (surplus(target), target.target_id), default=None)
