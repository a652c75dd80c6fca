"""Faults that a simulated service injects, configured through its control endpoint."""

from __future__ import annotations

import enum
import random

import attrs
import cattrs


class Cut(enum.Enum):
    """Point at which a simulated service closes the connection of a call that it has read."""

    NONE = "none"
    BEFORE_EXECUTION = "before-execution"
    AFTER_EXECUTION = "after-execution"


@attrs.frozen
class FaultScript:
    """Active faults; the default injects none.

    Attributes:
        fraction: Fraction of the calls that are subject to the faults below.
        slow_factor: Multiplier of the service time; applies to all calls.
        fail_status: HTTP status of the answer, None for a successful answer.
        refuse: Whether calls are refused before execution.
        delay_ms: Upper bound of a random delay of each reply, which also reorders replies.
        repeat_replies: Whether a reply, or each piece of a stream, is sent twice.
        shuffle_pieces: Whether adjacent pieces of a stream are swapped.
        wrong_attempt: Whether the reply carries the id of another attempt.
        cut: When the connection is closed.
        crash_marker: Text in a prompt that makes the process exit; empty for never.
        seed: Seed of the random source.
    """

    fraction: float = 1.0
    slow_factor: float = 1.0
    fail_status: int | None = None
    refuse: bool = False
    delay_ms: float = 0.0
    repeat_replies: bool = False
    shuffle_pieces: bool = False
    wrong_attempt: bool = False
    cut: Cut = Cut.NONE
    crash_marker: str = "<crash>"
    seed: int = 0


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def script_from_json(document: object) -> FaultScript:
    """Parses a script; raises cattrs errors for a malformed one."""
    return _CONVERTER.structure(document, FaultScript)


def script_to_json(script: FaultScript) -> object:
    """Returns the script as JSON-compatible values."""
    return _CONVERTER.unstructure(script)


@attrs.define(eq=False)
class FaultState:
    """The active fault script and its random source."""

    script: FaultScript = FaultScript()
    _rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    def configure(self, script: FaultScript) -> None:
        """Activates a script and reseeds the random source."""
        self.script = script
        self._rng = random.Random(script.seed)

    def select_faults(self) -> FaultScript:
        """Selects the faults of the next call."""
        if self.script.fraction >= 1.0 or self._rng.random() < self.script.fraction:
            return self.script
        return FaultScript(
            slow_factor=self.script.slow_factor, crash_marker=self.script.crash_marker
        )

    def delay_s(self, script: FaultScript) -> float:
        """Returns a random delay for one reply in seconds."""
        return self._rng.random() * script.delay_ms / 1_000
