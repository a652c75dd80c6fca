"""Records what one request shows: its log lines, its metrics and what it tells of its targets."""

from __future__ import annotations

import attrs

from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import attempts
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import open_answer
from sesamehold.request.gateway import ports
from sesamehold.version import routing

_MS_PER_S = 1_000


@attrs.define(eq=False)
class RequestRecord:
    """Writes the log lines and metrics of one request.

    Attributes:
        route: Route of the request, None until it is admitted.
    """

    _state: states.GatewayState
    _request_id: str
    _arrived_ms: int
    route: routing.Route | None = None
    _service: str = ""
    _answer_ms: int | None = None
    _transfer: messages.Transfer | None = None

    def admit(self, route: routing.Route, service: str) -> None:
        """Sets the route and service under which the request is recorded."""
        self.route = route
        self._service = service

    def write(self, event: str, **fields: object) -> None:
        """Writes one line that names the request."""
        table = self._state.table
        self._state.log.write(
            event,
            request=self._request_id,
            route=None if self.route is None else self.route.name,
            version=None if table is None else table.version,
            **fields,
        )

    def on_opened(self, transfer: messages.Transfer) -> None:
        """Records that a target has begun a successful answer."""
        self._transfer = transfer

    def on_success(self, opened: open_answer.OpenAnswer) -> None:
        """Records that a target has sent its whole answer, or the first event of a stream."""
        state = self._state
        now_ms = state.clock.now_ms()
        self._answer_ms = now_ms - opened.started_ms
        opened.attempt.on_answer(self._answer_ms, now_ms)
        if self.route is not None:
            state.route_latency.record(self.route.name, self._answer_ms)
        seconds = self._answer_ms / _MS_PER_S
        state.metrics.attempt_seconds.labels(self._service).observe(seconds)
        state.metrics.attempts.labels(self._service, "answered").inc()

    def on_failure_answer(
        self, target: targets.Target, answer: ports.TargetAnswer, result: attempts.AttemptResult
    ) -> None:
        """Records an answer that is no success."""
        state = self._state
        now_ms = state.clock.now_ms()
        if result is attempts.AttemptResult.ANSWERED:
            return
        self.write(
            "attempt.failed",
            target=target.target_id,
            status=answer.head.status,
            result=result.value,
            **answer.transfer.log_fields(),
        )
        if result is attempts.AttemptResult.NOT_RUN:
            state.ranking.record_rejection(target, now_ms)
        if result is not attempts.AttemptResult.INPUTS_GONE:
            state.ranking.record_failure(target, now_ms)

    def on_fault(self, target: targets.Target, fault: ports.ExchangeFault) -> None:
        """Records an attempt to which no answer came."""
        state = self._state
        now_ms = state.clock.now_ms()
        self.write("attempt.failed", target=target.target_id, fault=fault.kind, sent=fault.sent)
        if fault.sent:
            state.ranking.record_failure(target, now_ms)
        else:
            state.ranking.record_unreachable(target, now_ms)

    def on_broken(
        self, target: targets.Target, answer: ports.TargetAnswer, error: ports.BrokenAnswerError
    ) -> None:
        """Records that the answer of a target broke off."""
        self.write(
            "attempt.broken",
            target=target.target_id,
            fault=str(error),
            **answer.transfer.log_fields(),
        )
        self._state.ranking.record_failure(target, self._state.clock.now_ms())

    def on_end(self, outcome: str, **fields: object) -> None:
        """Records how the request ended."""
        state = self._state
        route_name = "" if self.route is None else self.route.name
        duration_ms = state.clock.now_ms() - self._arrived_ms
        if outcome == "served":
            state.route_duration.record(route_name, duration_ms)
        state.metrics.requests.labels(route_name, outcome).inc()
        state.metrics.request_seconds.labels(route_name).observe(duration_ms / _MS_PER_S)
        transfer = {} if self._transfer is None else self._transfer.log_fields()
        self.write(
            "request.finished",
            outcome=outcome,
            duration_ms=duration_ms,
            answer_ms=self._answer_ms,
            **fields,
            **transfer,
        )
