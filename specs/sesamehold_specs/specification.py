"""Definition of a specification: a model and its mutants."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import minicheck


@attrs.frozen
class Specification:
    """A model and its mutants.

    Attributes:
        name: Unique name.
        protocol: Builds the model, which must hold in its whole state space.
        max_states: Limit of the search; the model has fewer reachable states.
        mutants: Builders of models that omit one rule, by rule name; each must have a
            counterexample.
        full_only: Whether the model is checked only with `--full` because of its size.
    """

    name: str
    protocol: Callable[[], minicheck.Protocol]
    max_states: int
    mutants: dict[str, Callable[[], minicheck.Protocol]] = attrs.field(factory=dict)
    full_only: bool = False
