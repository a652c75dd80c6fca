"""What a specification of this package consists of."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import minicheck


@attrs.frozen
class Specification:
    """A model with its mutants.

    Attributes:
        name: Unique name.
        protocol: Makes the model, which must hold in its whole space.
        max_states: Bound of the search; the model has fewer reachable states.
        mutants: Makers of models without one rule, by the name of the rule; each must have a
            counterexample.
        full_only: Whether the model is too large for the bounded form.
    """

    name: str
    protocol: Callable[[], minicheck.Protocol]
    max_states: int
    mutants: dict[str, Callable[[], minicheck.Protocol]] = attrs.field(factory=dict)
    full_only: bool = False
