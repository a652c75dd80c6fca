"""Converts between dispatcher state and the notices that hosts exchange."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from sesamehold.process import messages
from sesamehold.process import policy_dispatcher
from sesamehold.process import suspects


@attrs.frozen
class NoticeBridge:
    """Publishes the dispatcher's cold targets and crash suspicions, and applies those of others."""

    _dispatcher: policy_dispatcher.PolicyDispatcher

    def take_notices(self, now_ms: int) -> list[messages.NoticeBody]:
        """Returns the notices about changes since the last call."""
        cold = [
            messages.TargetColdNotice(target_id, start_id="", cold=True)
            for target_id in self._dispatcher.take_newly_cold()
        ]
        suspicions = [
            messages.CrashSuspicionNotice(item.fingerprint, item.crashes, item.stage, item.age_ms)
            for item in self._dispatcher.suspects.take_changes(now_ms)
        ]
        return [*cold, *suspicions]

    def apply(self, received: Iterable[messages.NoticeBody], now_ms: int) -> None:
        """Applies notices of other hosts to the dispatcher."""
        for body in received:
            match body:
                case messages.TargetColdNotice(target_id=target_id, cold=True):
                    self._dispatcher.mark_cold(target_id, now_ms)
                case messages.CrashSuspicionNotice():
                    suspicion = suspects.Suspicion(
                        body.fingerprint, body.stage, body.crash_count, body.age_ms
                    )
                    self._dispatcher.suspects.merge([suspicion], now_ms)
                case _:
                    # The fleet view handles configuration and leaving notices itself.
                    pass
