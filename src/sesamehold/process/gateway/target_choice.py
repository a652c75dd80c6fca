"""Choice of a target for one attempt, from what this host has seen of the targets."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import TypeAlias

import attrs

from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous

# Weight of the newest observation in the moving averages.
LATENCY_WEIGHT = 0.2
# Time after which a failure counts half, so that a target that recovered is used again soon.
FAILURE_HALF_LIFE_MS = 2_000
# A target with one recent failure looks this much slower.
FAILURE_PENALTY = 2.0
# A target that cannot be connected to, or that rejects work, is left alone for this long.
UNREACHABLE_MS = 700
FULL_MS = 60
# Round trip to another zone, and the price of its bytes expressed as time.
OTHER_ZONE_MS = 4.0
# Fetching stage results from another zone occupies links and is priced by size.
OTHER_ZONE_INPUT_MS_PER_MB = 40.0
# Reading a prompt that another engine has cached takes its time, and work that is paid for.
MISS_MS = 150.0
MISS_MS_PER_TOKEN = 0.05
# Requests of this host that run on an engine stand for those of the other hosts, too.
ENGINE_LOAD_MS = 6.0
INITIAL_LATENCY_MS = 50.0


@attrs.define
class _Outlook:
    """What this host has seen of one start of a target."""

    incarnation: str
    running: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    failures: float = 0.0
    failures_at_ms: int = 0
    avoid_until_ms: int = 0

    def recent_failures(self, now_ms: int) -> float:
        age_ms = now_ms - self.failures_at_ms
        return float(self.failures * math.pow(0.5, age_ms / FAILURE_HALF_LIFE_MS))


_Cost: TypeAlias = Callable[[targets.Target, _Outlook, int], float]


@attrs.frozen
class EngineNeeds:
    """What makes one engine better than another for a request.

    Attributes:
        session_id: Identity of the prompt's last part; engines keep what they have read of it.
        cached_tokens: Size of the parts that may be cached.
        input_zone: Availability zone of the stage results, empty if there are none.
        input_size_bytes: Size of the stage results.
    """

    session_id: str | None
    cached_tokens: int = 0
    input_zone: str = ""
    input_size_bytes: int = 0


@attrs.define
class TargetChoice:
    """Observations of targets and the choice among them.

    Attributes:
        zone: Availability zone of this host.
    """

    zone: str
    _outlooks: dict[str, _Outlook] = attrs.field(factory=dict)

    def rank_plain(self, candidates: Iterable[targets.Target], now_ms: int) -> list[targets.Target]:
        """Returns targets of a plain service, the one with the shortest expected time first."""
        return self._ranked(candidates, self._plain_cost, now_ms)

    def rank_engines(
        self, candidates: Collection[targets.Target], needs: EngineNeeds, now_ms: int
    ) -> list[targets.Target]:
        """Returns engines, the one with the earliest expected first event first."""
        home = self.session_home(candidates, needs.session_id)

        def cost(target: targets.Target, outlook: _Outlook, now_ms: int) -> float:
            cost_ms = outlook.latency_ms + outlook.running * ENGINE_LOAD_MS
            if home is not None and target.target_id != home:
                cost_ms += MISS_MS + needs.cached_tokens * MISS_MS_PER_TOKEN
            if needs.input_zone and needs.input_zone != target.zone:
                cost_ms += needs.input_size_bytes / 1e6 * OTHER_ZONE_INPUT_MS_PER_MB
            if target.zone != self.zone:
                cost_ms += OTHER_ZONE_MS
            return cost_ms * (1 + FAILURE_PENALTY * outlook.recent_failures(now_ms))

        return self._ranked(candidates, cost, now_ms)

    def session_home(
        self, candidates: Collection[targets.Target], session_id: str | None
    ) -> str | None:
        """Returns the engine that all hosts prefer for a session, so that it caches its prompt."""
        if session_id is None:
            return None
        return rendezvous.owner([target.target_id for target in candidates], session_id)

    def record_start(self, target: targets.Target) -> None:
        """Notes that an attempt starts."""
        self._outlook(target).running += 1

    def record_end(self, target: targets.Target) -> None:
        """Notes that an attempt has ended."""
        outlook = self._outlook(target)
        outlook.running = max(0, outlook.running - 1)

    def record_latency(self, target: targets.Target, latency_ms: float) -> None:
        """Notes the time to the answer or to the first event."""
        outlook = self._outlook(target)
        outlook.latency_ms += LATENCY_WEIGHT * (latency_ms - outlook.latency_ms)

    def record_failure(self, target: targets.Target, now_ms: int) -> None:
        """Notes a failed attempt."""
        outlook = self._outlook(target)
        outlook.failures = outlook.recent_failures(now_ms) + 1.0
        outlook.failures_at_ms = now_ms

    def record_unreachable(self, target: targets.Target, now_ms: int) -> None:
        """Notes that no connection could be opened."""
        self.record_failure(target, now_ms)
        self._outlook(target).avoid_until_ms = now_ms + UNREACHABLE_MS

    def record_rejection(self, target: targets.Target, now_ms: int) -> None:
        """Notes that a target is full."""
        outlook = self._outlook(target)
        outlook.avoid_until_ms = max(outlook.avoid_until_ms, now_ms + FULL_MS)

    def forget(self, target_id: str) -> None:
        """Drops what is known of a target that is gone."""
        self._outlooks.pop(target_id, None)

    def _plain_cost(self, target: targets.Target, outlook: _Outlook, now_ms: int) -> float:
        load = (outlook.running + 1) / max(1, target.slots)
        cost_ms = outlook.latency_ms * (1 + load)
        if target.zone != self.zone:
            cost_ms += OTHER_ZONE_MS
        return cost_ms * (1 + FAILURE_PENALTY * outlook.recent_failures(now_ms))

    def _ranked(
        self,
        candidates: Iterable[targets.Target],
        cost: _Cost,
        now_ms: int,
    ) -> list[targets.Target]:
        costs = []
        for target in candidates:
            outlook = self._outlook(target)
            # Avoided targets come last rather than never: they may be the only ones.
            avoided = now_ms < outlook.avoid_until_ms
            costs.append(((avoided, cost(target, outlook, now_ms)), target))
        costs.sort(key=lambda pair: pair[0])
        return [target for _, target in costs]

    def _outlook(self, target: targets.Target) -> _Outlook:
        outlook = self._outlooks.get(target.target_id)
        if outlook is None or outlook.incarnation != target.incarnation:
            outlook = self._outlooks[target.target_id] = _Outlook(target.incarnation)
        return outlook
