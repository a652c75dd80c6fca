"""Selects a target for the next attempt of a request."""

from __future__ import annotations

import asyncio

import attrs

from sesamehold.process.gateway import engine_choice
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Longest wait for a target, as a fraction of the route's wanted latency. Waiting longer only adds
# load.
TARGET_WAIT_FRACTION = 0.1
TARGET_POLL_S = 0.02


@attrs.define(eq=False)
class TargetSearch:
    """Selects targets for one request and remembers those already tried.

    Attributes:
        tried: Incarnations of the targets that the request was already sent to.
    """

    _state: states.GatewayState
    _route: routing.Route
    _service: str
    _head: messages.RequestHead
    tried: set[str] = attrs.field(factory=set)
    _order: engine_choice.EngineOrder | None = None

    async def find(
        self, results: ports.StageResults | None, *, untried_only: bool = False
    ) -> targets.Target | None:
        """Waits for a target that may receive the request; returns None if the wait times out.

        If the targets' own restrictions let none of them receive it in time, it does not wait.

        Args:
            results: Results of the request's stages, None if it has no stages.
            untried_only: Whether targets that the request was already sent to are left out, because
                one of them may still run it.
        """
        wait_until_ms = self._now_ms() + int(self._route.latency_goal_ms * TARGET_WAIT_FRACTION)
        while True:
            candidates = self._state.directory.usable(self._service)
            untried = [item for item in candidates if item.incarnation not in self.tried]
            allowed = untried if untried or untried_only else candidates
            for target in self._rank(allowed, results):
                if self._state.try_reserve_send(target):
                    self._record_choice(target)
                    return target
            if self._now_ms() >= wait_until_ms or self.is_restricted_until(wait_until_ms):
                return None
            await asyncio.sleep(TARGET_POLL_S)

    def is_restricted_until(self, time_ms: int) -> bool:
        """Returns whether the targets' own restrictions let none of them receive the request.

        Args:
            time_ms: Monotonic time until which the request could be sent.
        """
        usable = self._state.directory.usable(self._service)
        if not usable:
            # A target may be registered at any time.
            return False
        sendable_ms = self._next_send_ms(usable, self._now_ms())
        if sendable_ms is not None and sendable_ms <= time_ms:
            return False
        for target in usable:
            self._state.record_held_back(target)
        return True

    def retry_after_ms(self) -> int | None:
        """Returns the time until a restricted target has room, None if it is not known."""
        now_ms = self._now_ms()
        sendable_ms = self._next_send_ms(self._state.directory.usable(self._service), now_ms)
        return sendable_ms - now_ms if sendable_ms is not None and sendable_ms > now_ms else None

    def has_untried(self) -> bool:
        """Returns whether the request could be sent now to a target that it was not sent to."""
        now_ms = self._now_ms()
        candidates = self._state.directory.usable(self._service)
        untried = [item for item in candidates if item.incarnation not in self.tried]
        return self._next_send_ms(untried, now_ms) == now_ms

    def start(self, target: targets.Target) -> target_ranking.OpenAttempt:
        """Counts an attempt that starts."""
        self.tried.add(target.incarnation)
        if self._head.prompt is None:
            return self._state.ranking.start(target)
        if self._order is not None and self._order.homes:
            home: str | None = self._order.homes[0]
        else:
            home = self._state.ranking.preferred_engine(
                self._state.directory.usable(self._service), self._head.prompt.session_id
            )
        unread_tokens = self._preferences(self._head.prompt).unread_tokens(
            is_home=target.target_id == home
        )
        return self._state.ranking.start(target, unread_tokens)

    def preferred_zone(self) -> str:
        """Returns the availability zone of the best engine for the request, empty for any."""
        if self._head.prompt is None:
            return ""
        engines = self._state.directory.usable(self._service)
        ranked = self._rank_engines(engines, self._preferences(self._head.prompt))
        return ranked[0].zone if ranked else ""

    def _next_send_ms(self, candidates: list[targets.Target], now_ms: int) -> int | None:
        earliest_ms = None
        for target in candidates:
            sendable_ms = self._state.restrictions.next_send_ms(target, now_ms)
            if sendable_ms == now_ms:
                return now_ms
            if sendable_ms is not None and (earliest_ms is None or sendable_ms < earliest_ms):
                earliest_ms = sendable_ms
        return earliest_ms

    def _rank(
        self, candidates: list[targets.Target], results: ports.StageResults | None
    ) -> list[targets.Target]:
        now_ms = self._now_ms()
        prompt = self._head.prompt
        if prompt is None:
            ranked = self._state.ranking.rank_plain(candidates, now_ms)
        else:
            preferences = attrs.evolve(
                self._preferences(prompt),
                input_zone=results.zone if results is not None else "",
                input_size_bytes=self._input_size_bytes(),
            )
            ranked = self._rank_engines(candidates, preferences)
        # Cold targets are sorted last, so that they are used only if no other target is available.
        return sorted(ranked, key=lambda target: target.cold_until_ms > now_ms)

    def _rank_engines(
        self, candidates: list[targets.Target], preferences: engine_choice.EnginePreferences
    ) -> list[targets.Target]:
        now_ms = self._now_ms()
        pool = self._state.shared_engine_pool(self._service)
        if pool is None:
            self._order = None
            return self._state.ranking.rank_engines(candidates, preferences, now_ms)
        self._order = self._state.ranking.order_engines(
            candidates, preferences, pool, self._state.host_count(), now_ms
        )
        return self._order.engines

    def _record_choice(self, target: targets.Target) -> None:
        """Counts an engine that was chosen by the load of all hosts."""
        order = self._order
        if order is None or not order.homes:
            return
        choice = order.choice_of(target)
        self._state.metrics.engine_choices.labels(self._service, choice.value).inc()
        if choice is not engine_choice.Choice.FIRST_HOME:
            home = order.homes[0]
            self._state.log.write(
                "engine.left-home",
                request=self._head.request_id,
                homes=len(order.homes),
                home=home,
                home_ms=round(order.expected_ms[home]),
                target=target.target_id,
                target_ms=round(order.expected_ms[target.target_id]),
            )

    def _preferences(self, prompt: messages.Prompt) -> engine_choice.EnginePreferences:
        return engine_choice.EnginePreferences(
            session_id=prompt.session_id,
            cached_tokens=sum(part.token_count for part in prompt.shared_parts),
            request_id=self._head.request_id,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=prompt.output_tokens,
        )

    def _input_size_bytes(self) -> int:
        consumed = {index for stage in self._route.stages for index in stage.after}
        return sum(
            stage.result_size_bytes * count
            for index, (stage, count) in enumerate(
                zip(self._route.stages, self._head.piece_counts, strict=False)
            )
            if index not in consumed
        )

    def _now_ms(self) -> int:
        return self._state.clock.now_ms()
