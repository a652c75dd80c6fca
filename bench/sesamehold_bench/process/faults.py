"""Faults that a stand-in shows, scripted at run time through its control endpoint."""

from __future__ import annotations

import enum
import random

import attrs
import cattrs


class Cut(enum.Enum):
    """Point at which a stand-in cuts the connection of a call that it has read."""

    NONE = "none"
    BEFORE_EXECUTION = "before-execution"
    AFTER_EXECUTION = "after-execution"


@attrs.frozen
class FaultScript:
    """Faults in force; the default shows none.

    Attributes:
        fraction: Fraction of the calls that show the faults below.
        slow_factor: Factor on the time that work takes; applies to all calls.
        fail_status: HTTP status of the answer, None for a proper answer.
        refuse: Whether calls are refused before execution.
        delay_ms: Upper bound of a random delay of each reply, which also shuffles replies.
        repeat_replies: Whether a reply, or each piece of a stream, is sent twice.
        shuffle_pieces: Whether neighbouring pieces of a stream change places.
        wrong_attempt: Whether the reply carries the id of another attempt.
        cut: When the connection is cut.
        crash_marker: A prompt with this text ends the process; empty for never.
        seed: Seed of the draws.
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
    """The script in force and its random source."""

    script: FaultScript = FaultScript()
    _rng: random.Random = attrs.field(factory=lambda: random.Random(0))

    def configure(self, script: FaultScript) -> None:
        """Puts a script in force."""
        self.script = script
        self._rng = random.Random(script.seed)

    def draw(self) -> FaultScript:
        """Returns the faults of the next call."""
        if self.script.fraction >= 1.0 or self._rng.random() < self.script.fraction:
            return self.script
        return FaultScript(
            slow_factor=self.script.slow_factor, crash_marker=self.script.crash_marker
        )

    def delay_s(self, script: FaultScript) -> float:
        """Returns the delay of one reply in seconds."""
        return self._rng.random() * script.delay_ms / 1_000
