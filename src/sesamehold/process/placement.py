"""Which target of a pool holds which model, changed as demand shifts."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import math

import attrs

_MS_PER_MINUTE = 60_000

# A model keeps its targets unless another one needs more than this factor of what it has, so that
# targets do not change back and forth with small shifts of demand.
HYSTERESIS = 1.5


@attrs.frozen
class TargetModels:
    """What one target holds, as far as this host knows.

    Attributes:
        target_id: The target.
        model: Model that it holds, None if it holds none.
        available: False while it loads, drains or is unreachable.
    """

    target_id: str
    model: str | None
    available: bool


@attrs.frozen
class LoadOrder:
    """Load a model on a target in place of what it holds."""

    target_id: str
    model: str


@attrs.define
class DemandEstimate:
    """Work per model, as an exponentially weighted sum of what this host dispatched.

    The balancer spreads requests evenly, so the demand that one host sees is a sample of the
    fleet's and no demand has to be exchanged.

    Attributes:
        half_life_ms: Time after which past demand counts half.
    """

    half_life_ms: int = 60_000
    _work: dict[str, float] = attrs.field(factory=dict)
    _updated_ms: int = 0

    def add(self, model: str, units: float, now_ms: int) -> None:
        """Adds work that was dispatched for a model."""
        self._decay(now_ms)
        self._work[model] = self._work.get(model, 0.0) + units

    def shares(self, now_ms: int) -> dict[str, float]:
        """Returns the fraction of the work for each model; they add up to 1."""
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
    """Limits loads by the weight store's rate and by the targets that are unavailable at once.

    Each pool gets an equal part of the store's rate, so the fleet as a whole respects it without
    messages. The bucket starts empty: a new owner does not know what its predecessor just loaded.

    The second limit is the idea of a budget of unavailable replicas from the OpenKruise proposal
    "Pod Unavailable Budget" (2021).

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
        """Takes the permission for one load, if both limits allow it."""
        self._earn(now_ms)
        # One target may always be changed, else a pool of two or three would never be.
        allowed = max(1, math.floor(total * self.unavailable_fraction))
        if unavailable >= allowed or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _earn(self, now_ms: int) -> None:
        if self._updated_ms is not None:
            elapsed_ms = now_ms - self._updated_ms
            earned = elapsed_ms * self.loads_per_minute / _MS_PER_MINUTE
            self._tokens = min(1.0, self._tokens + earned)
        self._updated_ms = now_ms


def wanted_counts(shares: Mapping[str, float], total: int) -> dict[str, int]:
    """Returns how many of `total` targets each model should have, by largest remainder.

    Each model with demand gets at least one target while there are enough.

    >>> wanted_counts({"a": 0.7, "b": 0.3}, 10)
    {'a': 7, 'b': 3}
    >>> wanted_counts({"a": 0.99, "b": 0.01}, 4)
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
    """Returns the load that helps most, None if the placement is good enough.

    The model that is shortest of targets takes one from the model that has most beyond its share;
    targets that hold no model are taken first.
    """
    wanted = wanted_counts(shares, len(targets))
    held: dict[str, int] = dict.fromkeys(wanted, 0)
    for target in targets:
        if target.model is not None:
            held[target.model] = held.get(target.model, 0) + 1
    needy = [model for model in wanted if _is_short(held[model], wanted[model])]
    if not needy:
        return None
    model = max(needy, key=lambda name: (wanted[name] / max(held[name], 0.5), name))
    source = _source(targets, held, wanted, model)
    return LoadOrder(source.target_id, model) if source is not None else None


def _is_short(held: int, wanted: int) -> bool:
    return held == 0 or wanted >= held * HYSTERESIS


def _source(
    targets: Sequence[TargetModels],
    held: Mapping[str, int],
    wanted: Mapping[str, int],
    model: str,
) -> TargetModels | None:
    def surplus(target: TargetModels) -> int:
        if target.model is None:
            return len(targets)
        return held[target.model] - wanted.get(target.model, 0)

    candidates = [
        target
        for target in targets
        if target.available and target.model != model and surplus(target) > 0
    ]
    return max(candidates, key=lambda target: (surplus(target), target.target_id), default=None)
