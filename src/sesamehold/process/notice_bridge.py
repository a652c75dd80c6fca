"""Passes urgent findings between the dispatcher and the notices of the fleet."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from sesamehold.process import messages
from sesamehold.process import policy_dispatcher
from sesamehold.process import suspects


@attrs.frozen
class NoticeBridge:
    """Turns findings of the dispatcher into notices, and notices of others into its state."""

    _dispatcher: policy_dispatcher.PolicyDispatcher

    def take_notices(self, now_ms: int) -> list[messages.NoticeBody]:
        """Returns and forgets what other hosts should learn from this one."""
        cold = [
            messages.TargetColdNotice(target_id, start_id="", cold=True)
            for target_id in self._dispatcher.take_turned_cold()
        ]
        found = [
            messages.CrashSuspicionNotice(item.fingerprint, item.crashes, item.stage, item.age_ms)
            for item in self._dispatcher.suspects.take_changes(now_ms)
        ]
        return [*cold, *found]

    def take_over(self, received: Iterable[messages.NoticeBody], now_ms: int) -> None:
        """Passes notices of other hosts to the dispatcher."""
        for body in received:
            match body:
                case messages.TargetColdNotice(target_id=target_id, cold=True):
                    self._dispatcher.note_cold(target_id, now_ms)
                case messages.CrashSuspicionNotice():
                    suspicion = suspects.Suspicion(
                        body.fingerprint, body.stage, body.crash_count, body.age_ms
                    )
                    self._dispatcher.suspects.merge([suspicion], now_ms)
                case _:
                    # Configuration and leaving hosts are handled by the fleet view itself.
                    pass
