"""Load model of targets: how long work takes at each now, from what their answers state.

This answers targets that share their machines with others: at any time some of them take several
times as long as usual, and which ones changes within a second. The time of past calls tells that
too late.
"""

from __future__ import annotations

import math

import attrs

from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages

# Time constant of the filter. Samples that follow each other faster are averaged; one that comes
# much later replaces the estimate.
SMOOTHING_MS = 60.0
# Least weight of a new sample, so that many answers at the same time also move the estimate.
MIN_SAMPLE_WEIGHT = 0.2
# Age at which a sample says half as much, and at which it says nothing: machines change their speed
# many times a second.
SAMPLE_HALF_LIFE_MS = 250
MAX_SAMPLE_AGE_MS = 1_000
# A target that states more counts as this slow. Otherwise a wrong figure would defer the time at
# which an unanswered call is given to another target beyond the deadlines of callers.
MAX_SLOWDOWN = 10.0
MIN_SLOWDOWN = 0.1


@attrs.define
class _Load:
    """Latest samples of one incarnation of a target."""

    born_ms: int
    slowdown: float
    sample: messages.LoadSample
    observed_ms: int

    def weight(self, now_ms: int) -> float:
        """Returns how much the latest sample still says, from 1 for a new one to 0."""
        age_ms = max(0, now_ms - self.observed_ms)
        if age_ms >= MAX_SAMPLE_AGE_MS:
            return 0.0
        return math.pow(0.5, age_ms / SAMPLE_HALF_LIFE_MS)


@attrs.define
class TargetLoad:
    """Load of targets by identity; a new incarnation of a target has stated nothing.

    Only samples that state a slowdown count. Targets that state none are judged by their calls
    alone.
    """

    _by_id: dict[str, _Load] = attrs.field(factory=dict)

    def observe(self, target: targets.Target, sample: messages.LoadSample, now_ms: int) -> None:
        """Records a sample.

        A sample of an earlier start of the target, or one that is older than the latest, is
        ignored.

        Args:
            target: Target that stated the sample.
            sample: What it stated.
            now_ms: Monotonic time at which it was stated, as far as this host can tell: for an
                answer, the time at which its head was read. The time at which the request was sent
                does not order samples, as the answer to a stage call is made when its work ends.
        """
        if sample.slowdown is None:
            return
        stated = min(max(sample.slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        known = self._by_id.get(target.target_id)
        if known is None or known.born_ms < target.born_ms:
            self._by_id[target.target_id] = _Load(target.born_ms, stated, sample, now_ms)
            return
        if known.born_ms > target.born_ms or known.observed_ms > now_ms:
            return
        elapsed_ms = now_ms - known.observed_ms
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 - math.exp(-elapsed_ms / SMOOTHING_MS))
        known.slowdown += weight * (stated - known.slowdown)
        known.sample = sample
        known.observed_ms = now_ms

    def slowdown(self, target: targets.Target, now_ms: int) -> float:
        """Returns the expected time of work that starts now as a multiple of its usual time.

        It is 1.0 if nothing is known. As the latest sample ages, the estimate returns to 1.0 and
        reaches it after `MAX_SAMPLE_AGE_MS`.
        """
        known = self._known(target)
        if known is None:
            return 1.0
        return 1.0 + (known.slowdown - 1.0) * known.weight(now_ms)

    def expected_start_ms(
        self, target: targets.Target, service_time_ms: float, now_ms: int
    ) -> float:
        """Returns the expected time that a request sent now waits at the target for a slot.

        While all slots are taken, requests end at a rate that follows from the slots and the
        present slowdown; the next one ends after half of the mean time between two ends. The
        estimate is 0.0 if nothing is known, and falls to it as the latest sample ages.

        Args:
            target: Target that the request may be sent to.
            service_time_ms: Time that one request occupies a slot at the usual speed.
            now_ms: Monotonic time.
        """
        known = self._known(target)
        if known is None:
            return 0.0
        sample = known.sample
        slots = max(1, sample.slots)
        if sample.running < slots and not sample.waiting:
            return 0.0
        time_between_ends_ms = service_time_ms * self.slowdown(target, now_ms) / slots
        return (sample.waiting + 0.5) * time_between_ends_ms * known.weight(now_ms)

    def forget(self, target_id: str) -> None:
        """Discards the samples of a target that was removed."""
        self._by_id.pop(target_id, None)

    def __len__(self) -> int:
        return len(self._by_id)

    def _known(self, target: targets.Target) -> _Load | None:
        known = self._by_id.get(target.target_id)
        return known if known is not None and known.born_ms == target.born_ms else None
