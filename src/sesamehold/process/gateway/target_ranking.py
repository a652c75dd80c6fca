"""Ranks the targets for one attempt by the latency, load and failures that this host observed."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import TypeAlias

import attrs

from sesamehold.process.gateway import engine_choice
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import target_load
from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous
from sesamehold.version import routing

# Weight of the latest observation in the moving average of the latency.
LATENCY_EWMA_WEIGHT = 0.2
# Half-life of the failure count, so that a target that has recovered is soon used again.
FAILURE_HALF_LIFE_MS = 2_000
# Increase of a target's cost for each recent failure, as a multiple of the cost.
FAILURE_PENALTY = 2.0
# Backoff after no connection to a target could be opened, and after a target rejected a request.
UNREACHABLE_BACKOFF_MS = 700
REJECTION_BACKOFF_MS = 60
# Cost of a target in another zone: the round trip, and the price of the traffic expressed as time.
CROSS_ZONE_COST_MS = 4.0
# Cost of fetching stage results from another zone, which occupies links and is priced by size.
CROSS_ZONE_INPUT_COST_MS_PER_MB = 40.0
# Cost of a prompt cache miss: reading a prompt that another engine has cached takes time and costs
# work that is paid for.
CACHE_MISS_MS = 150.0
CACHE_MISS_MS_PER_TOKEN = 0.05
# Cost of each request of this host that runs on an engine. The count also stands for the requests
# of the other hosts, which are not known here.
ENGINE_LOAD_COST_MS = 6.0
INITIAL_LATENCY_MS = 50.0


@attrs.define
class _TargetStats:
    """Observations of one incarnation of a target."""

    incarnation: str
    running: int = 0
    latency_ms: float = INITIAL_LATENCY_MS
    # The same at the usual speed of the target, without the slowdown that it stated.
    usual_latency_ms: float = INITIAL_LATENCY_MS
    failures: float = 0.0
    failures_at_ms: int = 0
    backoff_until_ms: int = 0

    def recent_failures(self, now_ms: int) -> float:
        """Returns the number of failures, decayed by their age."""
        age_ms = now_ms - self.failures_at_ms
        return float(self.failures * math.pow(0.5, age_ms / FAILURE_HALF_LIFE_MS))


_CostFunction: TypeAlias = Callable[[targets.Target, _TargetStats, int], float]


@attrs.define(eq=False)
class OpenAttempt:
    """One attempt at a target, counted from its start to its end."""

    _ranking: TargetRanking
    _target: targets.Target
    _request: engine_load.OpenRequest | None = None
    _is_open: bool = True

    def on_answer(self, latency_ms: float, now_ms: int) -> None:
        """Records the time from the send to the answer or to the first event."""
        self._ranking.record_latency(self._target, latency_ms, now_ms, self._request)

    def end(self) -> None:
        """Removes the attempt from the counts; has no effect when repeated."""
        if self._is_open:
            self._is_open = False
            self._ranking.record_end(self._target)
            if self._request is not None:
                self._request.end()


@attrs.define
class TargetRanking:
    """Ranks targets by their expected cost.

    Attributes:
        zone: Availability zone of this host.
        load: Load that targets state; empty if they state none.
    """

    zone: str
    _open_work: engine_load.EngineLoad
    _slowdowns: engine_slowdowns.EngineSlowdowns
    load: target_load.TargetLoad = attrs.field(factory=target_load.TargetLoad)
    _stats: dict[str, _TargetStats] = attrs.field(factory=dict)
    _pace: engine_choice.ReadingPace = attrs.field(factory=engine_choice.ReadingPace)

    def rank_plain(self, candidates: Iterable[targets.Target], now_ms: int) -> list[targets.Target]:
        """Returns the targets of a service without engines, lowest expected latency first."""
        return self._rank(candidates, self._plain_cost, now_ms)

    def rank_engines(
        self,
        candidates: Collection[targets.Target],
        preferences: engine_choice.EnginePreferences,
        now_ms: int,
    ) -> list[targets.Target]:
        """Returns engines by the load of this host alone, earliest expected first event first."""
        preferred = self.preferred_engine(candidates, preferences.session_id)

        def cost(target: targets.Target, stats: _TargetStats, now_ms: int) -> float:
            cost_ms = stats.latency_ms + stats.running * ENGINE_LOAD_COST_MS
            if preferred is not None and target.target_id != preferred:
                cost_ms += CACHE_MISS_MS + preferences.cached_tokens * CACHE_MISS_MS_PER_TOKEN
            cost_ms += self._crossing_ms(target, preferences)
            return cost_ms * (1 + FAILURE_PENALTY * stats.recent_failures(now_ms))

        return self._rank(candidates, cost, now_ms)

    def order_engines(
        self,
        candidates: Collection[targets.Target],
        preferences: engine_choice.EnginePreferences,
        pool: routing.EnginePool,
        host_count: int,
        now_ms: int,
    ) -> engine_choice.EngineOrder:
        """Returns engines by the load of all hosts, best first.

        Args:
            candidates: Engines of the service.
            preferences: What the request needs.
            pool: Capacity of each engine.
            host_count: Number of live hosts, with this one.
            now_ms: Monotonic time.
        """
        engines = []
        for target in candidates:
            stats = self._stats_for(target)
            key = engine_load.engine_key(target)
            engines.append(
                engine_choice.EngineState(
                    target,
                    self._open_work.total(target, host_count, now_ms),
                    self._slowdowns.slowdown(key),
                    self._slowdowns.is_slow(key),
                    1 + FAILURE_PENALTY * stats.recent_failures(now_ms),
                    self._crossing_ms(target, preferences),
                    is_backing_off=now_ms < stats.backoff_until_ms,
                )
            )
        return engine_choice.order_engines(engines, preferences, pool, self._pace)

    def preferred_engine(
        self, candidates: Collection[targets.Target], session_id: str | None
    ) -> str | None:
        """Returns the engine that every host prefers for a session, so that its cache is reused.

        It follows from rendezvous hashing and is None for a request without a session.
        """
        if session_id is None:
            return None
        return rendezvous.owner([target.target_id for target in candidates], session_id)

    def start(self, target: targets.Target, unread_tokens: int | None = None) -> OpenAttempt:
        """Counts an attempt that starts; the caller ends it.

        Args:
            target: Target of the attempt.
            unread_tokens: Prompt tokens that it reads, None if the target is no engine.
        """
        self._stats_for(target).running += 1
        request = None if unread_tokens is None else self._open_work.start(target, unread_tokens)
        return OpenAttempt(self, target, request)

    def record_end(self, target: targets.Target) -> None:
        """Removes an attempt that has ended from the count."""
        stats = self._stats_for(target)
        stats.running = max(0, stats.running - 1)

    def record_latency(
        self,
        target: targets.Target,
        latency_ms: float,
        now_ms: int,
        request: engine_load.OpenRequest | None = None,
    ) -> None:
        """Records the time from a send to the answer or to the first event."""
        stats = self._stats_for(target)
        stats.latency_ms += LATENCY_EWMA_WEIGHT * (latency_ms - stats.latency_ms)
        usual_ms = latency_ms / self.load.slowdown(target, now_ms)
        stats.usual_latency_ms += LATENCY_EWMA_WEIGHT * (usual_ms - stats.usual_latency_ms)
        if request is not None and request.unread_tokens:
            self._pace.record(request.unread_tokens, latency_ms)
            expected_ms = self._pace.expected_ms(request.unread_tokens)
            self._slowdowns.record(engine_load.engine_key(target), latency_ms / expected_ms)
            request.on_first_event()

    def record_failure(self, target: targets.Target, now_ms: int) -> None:
        """Records a failed attempt."""
        stats = self._stats_for(target)
        stats.failures = stats.recent_failures(now_ms) + 1.0
        stats.failures_at_ms = now_ms

    def record_unreachable(self, target: targets.Target, now_ms: int) -> None:
        """Records that no connection could be opened, and backs off."""
        self.record_failure(target, now_ms)
        self._stats_for(target).backoff_until_ms = now_ms + UNREACHABLE_BACKOFF_MS

    def record_rejection(self, target: targets.Target, now_ms: int) -> None:
        """Records that a target rejected a request because it is full, and backs off."""
        stats = self._stats_for(target)
        stats.backoff_until_ms = max(stats.backoff_until_ms, now_ms + REJECTION_BACKOFF_MS)

    def forget(self, target_id: str) -> None:
        """Discards the observations of a target that was removed."""
        self._stats.pop(target_id, None)

    def _plain_cost(self, target: targets.Target, stats: _TargetStats, now_ms: int) -> float:
        load = (stats.running + 1) / max(1, target.slots)
        cost_ms = stats.usual_latency_ms * (1 + load) * self.load.slowdown(target, now_ms)
        cost_ms += self.load.expected_start_ms(target, stats.usual_latency_ms, now_ms)
        if target.zone != self.zone:
            cost_ms += CROSS_ZONE_COST_MS
        return cost_ms * (1 + FAILURE_PENALTY * stats.recent_failures(now_ms))

    def _crossing_ms(
        self, target: targets.Target, preferences: engine_choice.EnginePreferences
    ) -> float:
        """Returns the cost of zones between this host, the stage results and an engine."""
        cost_ms = 0.0
        if preferences.input_zone and preferences.input_zone != target.zone:
            cost_ms += preferences.input_size_bytes / 1e6 * CROSS_ZONE_INPUT_COST_MS_PER_MB
        if target.zone != self.zone:
            cost_ms += CROSS_ZONE_COST_MS
        return cost_ms

    def _rank(
        self,
        candidates: Iterable[targets.Target],
        cost: _CostFunction,
        now_ms: int,
    ) -> list[targets.Target]:
        costs = []
        for target in candidates:
            stats = self._stats_for(target)
            # Targets in backoff are sorted last rather than left out: there may be no others.
            backing_off = now_ms < stats.backoff_until_ms
            costs.append(((backing_off, cost(target, stats, now_ms)), target))
        costs.sort(key=lambda pair: pair[0])
        return [target for _, target in costs]

    def _stats_for(self, target: targets.Target) -> _TargetStats:
        stats = self._stats.get(target.target_id)
        if stats is None or stats.incarnation != target.incarnation:
            stats = self._stats[target.target_id] = _TargetStats(target.incarnation)
        return stats
