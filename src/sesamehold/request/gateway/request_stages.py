"""Runs the stages of one relayed request and keeps track of their results."""

from __future__ import annotations

import attrs
from expression import Result

from sesamehold.process.gateway import state as states
from sesamehold.request import deadline as deadlines
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.version import routing

_MS_PER_S = 1_000


@attrs.define(eq=False)
class RequestStages:
    """Stages of one request.

    Attributes:
        results: Results that the request itself reads, None before its stages have run.
        duration_ms: Time that the stages took, None before they have run.
        inputs_freed: Whether the results no longer exist, so that the stages must run again before
            another attempt.
    """

    _state: states.GatewayState
    _runner: ports.StageRunner
    _head: messages.RequestHead
    _route: routing.Route
    _deadline: deadlines.Deadline
    _urgency: int
    _account: str
    _arrived_ms: int
    results: ports.StageResults | None = attrs.field(default=None, init=False)
    duration_ms: int | None = attrs.field(default=None, init=False)
    inputs_freed: bool = attrs.field(default=False, init=False)
    _are_held: bool = attrs.field(default=False, init=False)

    async def run(self, preferred_zone: str) -> ports.StageFailure | None:
        """Runs all stages; returns the failure, None if the results are there.

        Args:
            preferred_zone: Preferred availability zone for the request itself, empty for any.
        """
        works = tuple(
            ports.StageWork(index, stage.service, stage.after, count, stage.result_size_bytes)
            for index, (stage, count) in enumerate(
                zip(self._route.stages, self._head.piece_counts, strict=False)
            )
        )
        if not any(work.piece_count for work in works):
            self.results = ports.StageResults(())
            return None
        now_ms = self._state.clock.now_ms()
        self._are_held = True
        self.inputs_freed = False
        request = ports.StageRequest(
            request_id=self._head.request_id,
            piece_key=self._head.piece_key,
            stages=works,
            urgency=self._urgency,
            latency_goal_ms=self._route.latency_goal_ms - (now_ms - self._arrived_ms),
            deadline_ms=self._deadline.remaining_ms(now_ms),
            request_ms=self._state.route_latency.expected_ms(self._route.name),
            preferred_zone=preferred_zone,
            account=self._account,
        )
        match await self._runner.run(request):
            case Result(tag="ok", ok=results):
                self.results = results
                self.duration_ms = self._state.clock.now_ms() - now_ms
                seconds = self.duration_ms / _MS_PER_S
                self._state.metrics.stage_seconds.labels(self._route.name).observe(seconds)
                return None
            case Result(error=failure):
                return failure

    async def run_again(self, preferred_zone: str) -> ports.StageFailure | None:
        """Runs all stages once more, after results were lost; see `run`."""
        self._runner.release(self._head.request_id)
        return await self.run(preferred_zone)

    def free_inputs(self) -> None:
        """Frees the results once the target has read them, which makes room for other requests."""
        if self._are_held:
            self.inputs_freed = True
            self.release()

    def release(self) -> None:
        """Frees the results, or cancels the stages, at the end of the request."""
        if self._are_held:
            self._runner.release(self._head.request_id)
            self._are_held = False
