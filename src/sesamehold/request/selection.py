"""Strategies that select a target for one attempt."""

from __future__ import annotations

from collections.abc import Iterable
import random
from typing import Protocol

import attrs

from sesamehold.process import target_selector
from sesamehold.process import target_state
from sesamehold.version import rendezvous

# Penalty for targets in another availability zone. A call to them takes about 2 ms longer, which is
# little compared to most service times.
OTHER_ZONE_FACTOR = 1.1
# Load up to which prefix affinity is followed, relative to the mean load: rendezvous hashing with
# bounded loads (Mirrokni, Thorup and Zadimoghaddam, 2018).
AFFINITY_LOAD_FACTOR = 1.25
# Number of random draws before all targets are scanned.
_MAX_DRAWS = 8
_SAMPLE_COUNT = 2

TargetSelector = target_selector.TargetSelector


class RandomSource(Protocol):
    """Random number generator, such as `random.Random`."""

    def random(self) -> float:
        """Returns a number in the interval [0, 1)."""


def _has_capacity(state: target_state.TargetState, candidates: target_selector.Candidates) -> bool:
    return len(state.outstanding) < candidates.slot_limit(state)


def _usable(candidates: target_selector.Candidates) -> list[target_state.TargetState]:
    return [state for state in candidates.targets if _has_capacity(state, candidates)]


@attrs.define
class LoadAwareSelector:
    """Prefers prefix affinity, else the better of two random targets (Mitzenmacher, 2001)."""

    rng: RandomSource

    def choose(self, candidates: target_selector.Candidates) -> target_selector.Choice | None:
        """Returns the target by prefix affinity if there is one, else the better of the samples."""
        if candidates.prefix_hashes:
            choice = self._by_affinity(candidates)
            if choice is not None:
                return choice
        samples = self._draw_samples(candidates)
        scores = [(score(state, candidates), state.target.id, state) for state in samples]
        if not scores:
            return None
        best = min(scores)
        return _scored_choice("power-of-two", best[2], scores, candidates)

    def _draw_samples(
        self, candidates: target_selector.Candidates
    ) -> list[target_state.TargetState]:
        targets = candidates.targets
        sampled: dict[str, target_state.TargetState] = {}
        if not targets:
            return []
        for _ in range(_MAX_DRAWS):
            state = targets[int(self.rng.random() * len(targets))]
            if state.target.id not in sampled and _has_capacity(state, candidates):
                sampled[state.target.id] = state
                if len(sampled) == _SAMPLE_COUNT:
                    return list(sampled.values())
        usable = _usable(candidates)
        if len(usable) <= _SAMPLE_COUNT:
            return usable
        first = int(self.rng.random() * len(usable))
        second = (first + 1 + int(self.rng.random() * (len(usable) - 1))) % len(usable)
        return [usable[first], usable[second]]

    def _by_affinity(self, candidates: target_selector.Candidates) -> target_selector.Choice | None:
        usable = _usable(candidates)
        if not usable:
            return None
        now_ms = candidates.now_ms
        mean = sum(state.load(now_ms) for state in usable) / len(usable)
        max_load = AFFINITY_LOAD_FACTOR * mean + 1.0
        eligible = {state.target.id: state for state in usable if state.load(now_ms) <= max_load}
        for target_id in candidates.holders:
            if target_id in eligible:
                return _affinity_choice("prefix-holder", eligible[target_id], max_load, candidates)
        owner = rendezvous.owner(eligible, str(candidates.prefix_hashes[0]))
        if owner is None:
            return None
        return _affinity_choice("prefix-rendezvous", eligible[owner], max_load, candidates)


def score(state: target_state.TargetState, candidates: target_selector.Candidates) -> float:
    """Returns the expected delay at a target relative to other targets; lower is better."""
    relative_load = (state.load(candidates.now_ms) + 1.0) / max(1.0, candidates.slot_limit(state))
    factor = 1.0 if state.target.zone == candidates.zone else OTHER_ZONE_FACTOR
    return relative_load * state.slowness * factor


@attrs.define
class RoundRobinSelector:
    """Baseline: selects the targets in turn."""

    _next: int = 0

    def choose(self, candidates: target_selector.Candidates) -> target_selector.Choice | None:
        """Returns the next target with free capacity."""
        count = len(candidates.targets)
        for offset in range(count):
            state = candidates.targets[(self._next + offset) % count]
            if _has_capacity(state, candidates):
                self._next = (self._next + offset + 1) % count
                return _baseline_choice("round-robin", state)
        return None


@attrs.define
class RandomSelector:
    """Baseline: selects a random target."""

    rng: RandomSource

    def choose(self, candidates: target_selector.Candidates) -> target_selector.Choice | None:
        """Returns a random target with free capacity."""
        usable = _usable(candidates)
        if not usable:
            return None
        return _baseline_choice("random", usable[int(self.rng.random() * len(usable))])


@attrs.frozen
class FewestOutstandingSelector:
    """Baseline: selects the target with the fewest open attempts of this host."""

    def choose(self, candidates: target_selector.Candidates) -> target_selector.Choice | None:
        """Returns the target with free capacity that has the fewest open attempts."""
        usable = _usable(candidates)
        if not usable:
            return None
        best = min(usable, key=lambda state: len(state.outstanding))
        return _baseline_choice("fewest-outstanding", best)


def random_source(seed: str) -> RandomSource:
    """Returns a seeded random number generator."""
    return random.Random(seed)


def _baseline_choice(rule: str, state: target_state.TargetState) -> target_selector.Choice:
    return target_selector.Choice(state, rule, {"outstanding": len(state.outstanding)})


def _affinity_choice(
    rule: str,
    state: target_state.TargetState,
    max_load: float,
    candidates: target_selector.Candidates,
) -> target_selector.Choice:
    figures: dict[str, float | int | str] = {
        "load": round(state.load(candidates.now_ms), 2),
        "load_bound": round(max_load, 2),
        "holders": ",".join(candidates.holders),
    }
    return target_selector.Choice(state, rule, figures)


def _scored_choice(
    rule: str,
    state: target_state.TargetState,
    scores: Iterable[tuple[float, str, target_state.TargetState]],
    candidates: target_selector.Candidates,
) -> target_selector.Choice:
    figures: dict[str, float | int | str] = {
        "load": round(state.load(candidates.now_ms), 2),
        "room": round(candidates.slot_limit(state), 2),
        "alternatives": " ".join(f"{name}={value:.3f}" for value, name, _ in scores),
    }
    return target_selector.Choice(state, rule, figures)
