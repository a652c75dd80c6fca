"""Interface between the dispatcher and target selection."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol

import attrs

from sesamehold.process import target_state


@attrs.frozen
class Choices:
    """Targets that an attempt may be given to.

    Attributes:
        targets: All targets of the pool that this host uses.
        room: Returns how many attempts a target may hold now; 0 or less than its outstanding
            attempts if it can take no more. Asked only for the targets that are looked at.
        zone: Availability zone of this host.
        now_ms: Current time.
        prefix_hashes: Hashes of growing prompt prefixes, shortest first.
        holders: Targets that are believed to hold the longest known prefix.
    """

    targets: Sequence[target_state.TargetState]
    room: Callable[[target_state.TargetState], float]
    zone: str
    now_ms: int
    prefix_hashes: tuple[int, ...] = ()
    holders: tuple[str, ...] = ()


@attrs.frozen
class Choice:
    """A chosen target, with the rule and the figures behind the choice."""

    target: target_state.TargetState
    rule: str
    figures: dict[str, float | int | str]


class TargetSelector(Protocol):
    """Chooses one target for one attempt."""

    def choose(self, choices: Choices) -> Choice | None:
        """Returns a target with room, None if no target has room."""
