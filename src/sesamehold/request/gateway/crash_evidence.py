"""Evidence of one request on crashes of targets, for the attribution of the process.

A target may crash at any point of an answer, also in the middle of a stream. Every attempt whose
connection the target breaks is therefore evidence, whatever part of its answer has arrived.
"""

from __future__ import annotations

from typing import Protocol

import attrs

from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets


class RequestLog(Protocol):
    """Writes log lines that name a request."""

    def __call__(self, event: str, **fields: object) -> None:
        """Writes one line."""


@attrs.define(eq=False)
class CrashEvidence:
    """Records crashes and completions of one request, and looks up whether it is blamed."""

    _state: states.GatewayState
    _log: RequestLog
    _traits: crash_attribution.RequestTraits
    _probed_trait: crash_attribution.Trait | None = None

    def record_broken_connection(self, target: targets.Target, started_ms: int) -> None:
        """Records that a target broke the connection of an attempt.

        Args:
            target: The target.
            started_ms: Monotonic time at which the request was sent.
        """
        # A further attempt would crash a further target if the probe has failed.
        self._probed_trait = None
        crashes = self._state.crashes
        now_ms = self._state.clock.now_ms()
        crashes.record_crash(self._traits, target.incarnation, started_ms, now_ms)
        blamed = self.blamed_trait()
        self._log(
            "request.suspected",
            target=target.incarnation,
            fingerprint=self._traits.request.digest.hex(),
            crashes=crashes.crash_count(self._traits.request),
            parts=[part.digest.hex() for part in self._traits.parts] or None,
            part_crashes=[crashes.crash_count(part) for part in self._traits.parts] or None,
            blamed=None if blamed is None else blamed.digest.hex(),
        )

    def record_completion(self, *, is_resumed: bool) -> None:
        """Records that a target has answered the request completely.

        Args:
            is_resumed: Whether it went on with the stream of another target. Such an answer clears
                nothing, as it lacks the events before which, or after which, that target crashed.
        """
        if not is_resumed:
            self._state.crashes.record_completion(self._traits, self._state.clock.now_ms())

    def blamed_trait(self) -> crash_attribution.Trait | None:
        """Returns the trait for which the request must not be sent, unless it probes it."""
        blamed = self._state.crashes.blamed_trait(self._traits, self._state.clock.now_ms())
        return None if blamed == self._probed_trait else blamed
