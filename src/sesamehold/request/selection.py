"""Selection of a target for one attempt."""

from __future__ import annotations

from collections.abc import Iterable
import random
from typing import Protocol

import attrs

from sesamehold.process import target_selector
from sesamehold.process import target_state
from sesamehold.version import rendezvous

# A call to another zone takes about 2 ms longer, which is little against most service times.
OTHER_ZONE_FACTOR = 1.1
# Bounded-load rendezvous hashing (Mirrokni, Thorup and Zadimoghaddam, 2018).
AFFINITY_LOAD_FACTOR = 1.25
# Random tries before all targets are looked at.
_TRIES = 8
_SAMPLES = 2

TargetSelector = target_selector.TargetSelector


class RandomSource(Protocol):
    """Source of random numbers, such as `random.Random`."""

    def random(self) -> float:
        """Returns a number from 0 to below 1."""


def _has_room(state: target_state.TargetState, choices: target_selector.Choices) -> bool:
    return len(state.outstanding) < choices.room(state)


def _usable(choices: target_selector.Choices) -> list[target_state.TargetState]:
    return [state for state in choices.targets if _has_room(state, choices)]


@attrs.define
class LoadAwareSelector:
    """Prefix affinity first, else the better of two random targets (Mitzenmacher, 2001)."""

    rng: RandomSource

    def choose(self, choices: target_selector.Choices) -> target_selector.Choice | None:
        """Returns a holder of the prefix that is not overloaded, else the best of the samples."""
        if choices.prefix_hashes:
            choice = self._by_affinity(choices)
            if choice is not None:
                return choice
        samples = self._samples(choices)
        scores = [(score(state, choices), state.target.id, state) for state in samples]
        if not scores:
            return None
        best = min(scores)
        return _choice("power-of-two", best[2], scores, choices)

    def _samples(self, choices: target_selector.Choices) -> list[target_state.TargetState]:
        targets = choices.targets
        found: dict[str, target_state.TargetState] = {}
        if not targets:
            return []
        for _ in range(_TRIES):
            state = targets[int(self.rng.random() * len(targets))]
            if state.target.id not in found and _has_room(state, choices):
                found[state.target.id] = state
                if len(found) == _SAMPLES:
                    return list(found.values())
        usable = _usable(choices)
        if len(usable) <= _SAMPLES:
            return usable
        first = int(self.rng.random() * len(usable))
        second = (first + 1 + int(self.rng.random() * (len(usable) - 1))) % len(usable)
        return [usable[first], usable[second]]

    def _by_affinity(self, choices: target_selector.Choices) -> target_selector.Choice | None:
        usable = _usable(choices)
        if not usable:
            return None
        now_ms = choices.now_ms
        mean = sum(state.load(now_ms) for state in usable) / len(usable)
        bound = AFFINITY_LOAD_FACTOR * mean + 1.0
        below = {state.target.id: state for state in usable if state.load(now_ms) <= bound}
        for target_id in choices.holders:
            if target_id in below:
                return _affinity("prefix-holder", below[target_id], bound, choices)
        owner = rendezvous.owner(below, str(choices.prefix_hashes[0]))
        if owner is None:
            return None
        return _affinity("prefix-rendezvous", below[owner], bound, choices)


def score(state: target_state.TargetState, choices: target_selector.Choices) -> float:
    """Returns the expected delay on a target, relative to the other targets; lower is better."""
    relative_load = (state.load(choices.now_ms) + 1.0) / max(1.0, choices.room(state))
    factor = 1.0 if state.target.zone == choices.zone else OTHER_ZONE_FACTOR
    return relative_load * state.slowness * factor


@attrs.define
class RoundRobinSelector:
    """Baseline: takes the targets in turn."""

    _next: int = 0

    def choose(self, choices: target_selector.Choices) -> target_selector.Choice | None:
        """Returns the next target with room."""
        count = len(choices.targets)
        for offset in range(count):
            state = choices.targets[(self._next + offset) % count]
            if _has_room(state, choices):
                self._next = (self._next + offset + 1) % count
                return _plain("round-robin", state)
        return None


@attrs.define
class RandomSelector:
    """Baseline: takes a random target."""

    rng: RandomSource

    def choose(self, choices: target_selector.Choices) -> target_selector.Choice | None:
        """Returns a random target with room."""
        usable = _usable(choices)
        if not usable:
            return None
        return _plain("random", usable[int(self.rng.random() * len(usable))])


@attrs.frozen
class FewestOutstandingSelector:
    """Baseline: takes the target with the fewest open attempts of this host."""

    def choose(self, choices: target_selector.Choices) -> target_selector.Choice | None:
        """Returns the target with room that has the fewest open attempts."""
        usable = _usable(choices)
        if not usable:
            return None
        best = min(usable, key=lambda state: len(state.outstanding))
        return _plain("fewest-outstanding", best)


def random_source(seed: str) -> RandomSource:
    """Returns a seeded source of random numbers."""
    return random.Random(seed)


def _plain(rule: str, state: target_state.TargetState) -> target_selector.Choice:
    return target_selector.Choice(state, rule, {"outstanding": len(state.outstanding)})


def _affinity(
    rule: str,
    state: target_state.TargetState,
    bound: float,
    choices: target_selector.Choices,
) -> target_selector.Choice:
    figures: dict[str, float | int | str] = {
        "load": round(state.load(choices.now_ms), 2),
        "load_bound": round(bound, 2),
        "holders": ",".join(choices.holders),
    }
    return target_selector.Choice(state, rule, figures)


def _choice(
    rule: str,
    state: target_state.TargetState,
    scores: Iterable[tuple[float, str, target_state.TargetState]],
    choices: target_selector.Choices,
) -> target_selector.Choice:
    figures: dict[str, float | int | str] = {
        "load": round(state.load(choices.now_ms), 2),
        "room": round(choices.room(state), 2),
        "alternatives": " ".join(f"{name}={value:.3f}" for value, name, _ in scores),
    }
    return target_selector.Choice(state, rule, figures)
