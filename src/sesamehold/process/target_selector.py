"""Interface between the dispatcher and target selection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import attrs

from sesamehold.process import target_state


@attrs.frozen
class Candidates:
    """Targets that are candidates for an attempt.

    Attributes:
        targets: All targets of the pool that this host uses.
        slot_limit: Returns the limit on outstanding attempts of a target. The target has no free
            slot if the limit is not above its outstanding attempts. Called only for examined
            targets.
        zone: Availability zone of this host.
        now_ms: Current time.
        prefix_hashes: Hashes of increasingly long prompt prefixes, shortest first.
        holders: Targets that probably have the longest known prefix in their cache.
    """

    targets: Sequence[target_state.TargetState]
    slot_limit: Callable[[target_state.TargetState], float]
    zone: str
    now_ms: int
    prefix_hashes: tuple[int, ...] = ()
    holders: tuple[str, ...] = ()


@attrs.frozen
class Choice:
    """A selected target, with the name of the rule and the inputs of the decision."""

    target: target_state.TargetState
    rule: str
    figures: dict[str, float | int | str]


class TargetSelector(Protocol):
    """Strategy that selects a target for an attempt."""

    def choose(self, candidates: Candidates) -> Choice | None:
        """Returns a target with a free slot, None if there is none."""
