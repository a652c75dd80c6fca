"""Dispatch policy: target selection, limits, fair queueing, deadlines and crash suspects."""

from __future__ import annotations

import functools
from typing import Any

import attrs

from sesamehold.process import admission
from sesamehold.process import dispatch
from sesamehold.process import fleet_health
from sesamehold.process import latency
from sesamehold.process import pool_queues
from sesamehold.process import prefix_index
from sesamehold.process import suspects
from sesamehold.process import target_selector
from sesamehold.process import target_state
from sesamehold.process import target_table
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import shares

# A request is refused early only if its deadline is out of reach even at this low latency quantile.
EARLY_REFUSAL_QUANTILE = 0.1
# An attempt with less time left than this quantile of its remaining stages is served after all
# others, because it will probably miss its deadline.
DEPRIORITIZE_QUANTILE = 0.9
# An attempt is long if its expected time reaches this multiple of the pool median and the minimum.
LONG_ATTEMPT_FACTOR = 3.0
LONG_ATTEMPT_MIN_MS = 1_000
CAPACITY_REFRESH_MS = 250
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000
MAX_STATE_ROWS = 1_000

_OVERLOAD_FAULTS = frozenset(
    {
        events.AttemptFault.REFUSED,
        events.AttemptFault.TIMEOUT,
        events.AttemptFault.SILENT,
    }
)


@attrs.frozen
class PolicyOptions:
    """Features of the policy; the baselines of experiments disable some of them."""

    adaptive_limits: bool = True
    early_refusal: bool = True
    fair_queue: bool = True
    cold_slots: bool = True
    ejection: bool = True
    isolate_suspects: bool = True
    account_limits: bool = True


ALL_OPTIONS_OFF = PolicyOptions(
    adaptive_limits=False,
    early_refusal=False,
    fair_queue=False,
    cold_slots=False,
    ejection=False,
    isolate_suspects=False,
    account_limits=False,
)


@attrs.frozen
class _Grant:
    waiting: admission.WaitingAttempt
    state: target_state.TargetState
    by_prefix_hint: bool


@attrs.define
class PolicyDispatcher:
    """Implements `dispatch.Dispatcher`.

    Attributes:
        selector: Chooses among the targets with a free slot.
        targets: The targets that this host uses.
        zone: Availability zone of this host.
        options: Enabled features of the policy.
        suspects: Requests that were running when a target crashed.
        latencies: Latency quantiles by pipeline stage and pool.
        prefixes: Targets that probably have a prompt prefix in their cache.
        account_limits: Rate and concurrency limits of client accounts.
    """

    selector: target_selector.TargetSelector
    targets: target_table.TargetTable
    zone: str
    options: PolicyOptions = PolicyOptions()
    suspects: suspects.SuspectTable = attrs.field(factory=suspects.SuspectTable)
    latencies: latency.LatencyHistory = attrs.field(factory=latency.LatencyHistory)
    prefixes: prefix_index.PrefixIndex = attrs.field(factory=prefix_index.PrefixIndex)
    account_limits: admission.AccountLimits = attrs.field(factory=admission.AccountLimits)
    _queues: dict[str, pool_queues.PoolQueues] = attrs.field(factory=dict)
    _grants: dict[ids.AttemptId, _Grant] = attrs.field(factory=dict)
    _waiting_pools: dict[ids.AttemptId, str] = attrs.field(factory=dict)
    _pending_decisions: list[dispatch.SlotDecision] = attrs.field(factory=list)
    _newly_cold: list[str] = attrs.field(factory=list)

    @classmethod
    def from_config(
        cls,
        host_id: str,
        zone: str,
        selector: target_selector.TargetSelector,
        options: PolicyOptions = PolicyOptions(),
        *,
        quorum: fleet_health.Quorum = fleet_health.SINGLE_HOST_FLEET,
        pauses: fleet_health.PauseDetector = fleet_health.SINGLE_HOST_FLEET,
    ) -> PolicyDispatcher:
        """Returns a dispatcher without a configuration version."""
        table = target_table.TargetTable(
            shares.ColdShares(host_id, quorum, pauses),
            adaptive_limits=options.adaptive_limits,
            cold_slots=options.cold_slots,
            ejection=options.ejection,
        )
        return cls(selector, table, zone, options)

    # ---- dispatch.Dispatcher ----

    def configure(self, version: manifest.Manifest, now_ms: int) -> list[dispatch.SlotDecision]:
        """Applies a configuration version and denies attempts that wait for a removed pool."""
        self.targets.configure(version, now_ms)
        self.account_limits.configure(version)
        names = {pool.name for pool in version.pools}
        for name in names:
            queues = self._queues.setdefault(name, pool_queues.PoolQueues())
            queues.shares.configure(version.accounts)
            queues.capacity_ms = None
        for name in [name for name in self._queues if name not in names]:
            self._deny_all(self._queues.pop(name))
        return self.tick(now_ms)

    def acquire(self, request: dispatch.SlotRequest, now_ms: int) -> dispatch.SlotDecision:
        """Grants a target, queues the attempt or denies it."""
        queues = self._queues.get(request.stage.pool)
        failure = self._refusal(request, queues, now_ms)
        if failure is not None or queues is None:
            return dispatch.SlotDenied(request.attempt, failure or _no_target(request))
        waiting = self._waiting_attempt(request, now_ms)
        self.account_limits.open(request.account, request.attempt.request_id)
        if self._must_isolate(request, now_ms):
            queues.isolated[request.attempt] = waiting
            granted = self._grant_isolated(queues, now_ms, only=request.attempt)
        elif queues.may_start(waiting):
            granted = self._grant(queues, waiting, now_ms)
        else:
            granted = None
        if granted is not None:
            return granted
        return self._enqueue(queues, waiting)

    def release(
        self, attempt: ids.AttemptId, report: dispatch.AttemptReport, now_ms: int
    ) -> list[dispatch.SlotDecision]:
        """Frees a slot, records the result and serves waiting attempts."""
        grant = self._grants.pop(attempt, None)
        if grant is None:
            return self._take_pending_decisions()
        request, state = grant.waiting.request, grant.state
        self.account_limits.close(request.account, attempt.request_id)
        self._record_result(grant, report, now_ms)
        if state.reserved_for == attempt:
            state.reserved_for = None
        queues = self._queues.get(request.stage.pool)
        if queues is None:
            return self._take_pending_decisions()
        if grant.waiting.long:
            queues.long_running -= 1
        return self._take_pending_decisions() + self._serve(queues, now_ms)

    def withdraw(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Removes a waiting attempt."""
        queues = self._queues.get(self._waiting_pools.pop(attempt, ""))
        waiting = queues.withdraw(attempt) if queues is not None else None
        if waiting is not None:
            self._discard(waiting)

    def tick(self, now_ms: int) -> list[dispatch.SlotDecision]:
        """Denies attempts that can no longer meet their deadlines and serves the others."""
        self.targets.cold_shares.observe(now_ms)
        decisions = self._take_pending_decisions()
        for name, queues in self._queues.items():
            if queues.capacity_ms is None or now_ms - queues.capacity_ms >= CAPACITY_REFRESH_MS:
                self._refresh_capacity(name, queues, now_ms)
            if len(queues):
                decisions += [
                    self._expire(queues, waiting, now_ms) for waiting in queues.take_expired(now_ms)
                ]
                decisions += self._serve(queues, now_ms)
        return decisions

    # ---- exchange with other hosts ----

    def take_newly_cold(self) -> list[str]:
        """Returns the targets that this host found cold since the last call, for notices."""
        newly_cold, self._newly_cold = self._newly_cold, []
        return newly_cold

    def mark_cold(self, target_id: str, now_ms: int) -> None:
        """Marks a target as cold after a notice from another host."""
        state = self.targets.find(target_id)
        if state is not None:
            state.mark_cold(now_ms)

    def record_load_report(
        self, target_id: str, load: dispatch.LoadReport, requested_ms: int, now_ms: int
    ) -> list[dispatch.SlotDecision]:
        """Records a load report that was fetched without sending work."""
        state = self.targets.find(target_id)
        if state is None:
            return []
        state.record_load_report(load, requested_ms, now_ms)
        queues = self._queues.get(state.pool.name)
        return self._serve(queues, now_ms) if queues is not None and len(queues) else []

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns the state for dumps, with at most `MAX_STATE_ROWS` targets."""
        rows = sorted(self.targets, key=lambda state: state.target.id)[:MAX_STATE_ROWS]
        return {
            "targets": [state.state(now_ms) for state in rows],
            "pools": {
                name: {
                    "waiting_short": len(queues.short),
                    "waiting_long": len(queues.long),
                    "waiting_doubtful": len(queues.doubtful),
                    "waiting_suspects": len(queues.isolated),
                    "long_running": queues.long_running,
                    "capacity": queues.capacity,
                }
                for name, queues in self._queues.items()
            },
            "suspects": len(self.suspects),
            "prefixes": len(self.prefixes),
        }

    # ---- admission ----

    def _refusal(
        self, request: dispatch.SlotRequest, queues: pool_queues.PoolQueues | None, now_ms: int
    ) -> errors.Failure | None:
        if request.deadline_ms <= now_ms:
            return _deadline_exceeded(request)
        pool = request.stage.pool
        if queues is None or not any(state.in_service() for state in self.targets.of_pool(pool)):
            return _no_target(request)
        if self._crash_count(request, now_ms) >= suspects.REFUSED_CRASHES:
            return errors.CrashSuspect(
                detail="Targets crashed while they ran this request; it is not run again."
            )
        if (
            self.options.early_refusal
            and self._latest_start_ms(request, EARLY_REFUSAL_QUANTILE, now_ms) <= now_ms
        ):
            return self._unreachable(request, queues, now_ms)
        return self._limit_refusal(request, now_ms)

    def _limit_refusal(
        self, request: dispatch.SlotRequest, now_ms: int
    ) -> errors.LimitExceeded | None:
        # Later stages and repeated attempts belong to a request that has already been admitted.
        first = request.attempt.stage_index == 0 and request.attempt.number == 1
        if not first or not self.options.account_limits:
            return None
        retry_after_ms = self.account_limits.try_admit(request.account, now_ms)
        if retry_after_ms is None:
            return None
        return errors.LimitExceeded(
            detail=f"Account {request.account!r} has reached its request limit.",
            retry_after_ms=retry_after_ms,
        )

    def _waiting_attempt(
        self, request: dispatch.SlotRequest, now_ms: int
    ) -> admission.WaitingAttempt:
        expected_ms = self.latencies.total_ms(request.pipeline, request.stage, 0.5, now_ms)
        pool_ms = self.latencies.pool_ms(request.stage.pool, 0.5, now_ms)
        long_ms = max(LONG_ATTEMPT_MIN_MS, LONG_ATTEMPT_FACTOR * (pool_ms or 0.0))
        fair = self.options.fair_queue
        latest_start_ms = self._latest_start_ms(request, EARLY_REFUSAL_QUANTILE, now_ms)
        latest_likely_start_ms = self._latest_start_ms(request, DEPRIORITIZE_QUANTILE, now_ms)
        return admission.WaitingAttempt(
            request=request,
            arrived_ms=now_ms,
            latest_start_ms=latest_start_ms,
            latest_likely_start_ms=latest_likely_start_ms if fair else request.deadline_ms,
            cost_ms=expected_ms or pool_ms or 1.0,
            flow=request.account if fair else "",
            order_ms=latest_start_ms if fair else now_ms,
            long=fair and expected_ms is not None and expected_ms >= long_ms,
        )

    def _latest_start_ms(self, request: dispatch.SlotRequest, quantile: float, now_ms: int) -> int:
        if not self.options.early_refusal:
            return request.deadline_ms
        # A repeated generation resumes its stream, so it may need less time than a full run.
        resumes = request.attempt.number > 1 and request.stage.kind is manifest.StageKind.GENERATE
        stages = request.later_stages if resumes else (request.stage, *request.later_stages)
        remaining_ms = self.latencies.remaining_ms(request.pipeline, stages, quantile, now_ms)
        return request.deadline_ms - int(remaining_ms)

    def _enqueue(
        self, queues: pool_queues.PoolQueues, waiting: admission.WaitingAttempt
    ) -> dispatch.SlotDecision:
        attempt = waiting.request.attempt
        if attempt not in queues.isolated:
            queues.queue_for(waiting).push(waiting)
        self._waiting_pools[attempt] = waiting.request.stage.pool
        if len(queues) <= admission.MAX_WAITING:
            return dispatch.SlotQueued(attempt)
        evicted = queues.evict()
        if evicted is None:
            return dispatch.SlotQueued(attempt)
        denied = self._denied(evicted, _queue_full(evicted.request))
        if evicted is waiting:
            return denied
        self._pending_decisions.append(denied)
        return dispatch.SlotQueued(attempt)

    def _expire(
        self, queues: pool_queues.PoolQueues, waiting: admission.WaitingAttempt, now_ms: int
    ) -> dispatch.SlotDenied:
        request = waiting.request
        if request.deadline_ms <= now_ms:
            return self._denied(waiting, _deadline_exceeded(request))
        return self._denied(waiting, self._unreachable(request, queues, now_ms))

    def _denied(
        self, waiting: admission.WaitingAttempt, failure: errors.Failure
    ) -> dispatch.SlotDenied:
        self._waiting_pools.pop(waiting.request.attempt, None)
        self._discard(waiting)
        return dispatch.SlotDenied(waiting.request.attempt, failure)

    def _discard(self, waiting: admission.WaitingAttempt) -> None:
        request = waiting.request
        self.account_limits.close(request.account, request.attempt.request_id)
        for state in self.targets.of_pool(request.stage.pool):
            if state.reserved_for == request.attempt:
                state.reserved_for = None

    def _deny_all(self, queues: pool_queues.PoolQueues) -> None:
        # Every attempt has expired at a time this far in the future.
        for waiting in queues.take_expired(1 << 62):
            self._pending_decisions.append(self._denied(waiting, _no_target(waiting.request)))

    def _unreachable(
        self, request: dispatch.SlotRequest, queues: pool_queues.PoolQueues, now_ms: int
    ) -> errors.DeadlineUnreachable:
        service_ms = self.latencies.pool_ms(request.stage.pool, 0.5, now_ms) or 0.0
        wait_ms = int(len(queues) * service_ms / max(1, queues.capacity))
        return errors.DeadlineUnreachable(
            detail=f"Stage {request.stage.name!r} and the stages after it need more time than is "
            "left.",
            retry_after_ms=min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)),
        )

    # ---- grants ----

    def _serve(self, queues: pool_queues.PoolQueues, now_ms: int) -> list[dispatch.SlotDecision]:
        decisions: list[dispatch.SlotDecision] = []
        if queues.isolated:
            granted = self._grant_isolated(queues, now_ms)
            decisions += [granted] if granted is not None else []
        while (granted := self._serve_one(queues, now_ms)) is not None:
            decisions.append(granted)
        return decisions

    def _serve_one(
        self, queues: pool_queues.PoolQueues, now_ms: int
    ) -> dispatch.SlotGranted | None:
        for waiting in queues.next_candidates(now_ms):
            granted = self._grant(queues, waiting, now_ms)
            if granted is not None:
                queues.withdraw(waiting.request.attempt)
                return granted
        return None

    def _grant(
        self, queues: pool_queues.PoolQueues, waiting: admission.WaitingAttempt, now_ms: int
    ) -> dispatch.SlotGranted | None:
        choice = self._choose(waiting.request, now_ms)
        if choice is None:
            return None
        by_prefix_hint = choice.rule == "prefix-holder"
        return self._record_grant(queues, waiting, choice, now_ms, by_prefix_hint=by_prefix_hint)

    def _choose(self, request: dispatch.SlotRequest, now_ms: int) -> target_selector.Choice | None:
        states = self.targets.of_pool(request.stage.pool)
        holders = self.prefixes.holders(request.prefix_hashes) if request.prefix_hashes else ()
        candidates = target_selector.Candidates(
            targets=states,
            slot_limit=functools.partial(self.targets.slot_limit, now_ms=now_ms),
            zone=self.zone,
            now_ms=now_ms,
            prefix_hashes=request.prefix_hashes,
            holders=holders,
        )
        excluded = request.excluded_targets
        if excluded:
            others = [state for state in states if state.target.id not in excluded]
            choice = self.selector.choose(attrs.evolve(candidates, targets=others))
            if choice is not None:
                return choice
        return self.selector.choose(candidates)

    def _record_grant(
        self,
        queues: pool_queues.PoolQueues,
        waiting: admission.WaitingAttempt,
        choice: target_selector.Choice,
        now_ms: int,
        *,
        by_prefix_hint: bool = False,
    ) -> dispatch.SlotGranted:
        request, state = waiting.request, choice.target
        state.begin(request.attempt, now_ms)
        queues.shares.charge(waiting.flow, waiting.cost_ms)
        queues.long_running += waiting.long
        self._waiting_pools.pop(request.attempt, None)
        self._grants[request.attempt] = _Grant(waiting, state, by_prefix_hint)
        figures: dict[str, float | int | str] = {
            **choice.figures,
            "outstanding": len(state.outstanding),
            "temperature": state.temperature.value,
            "waited_ms": now_ms - waiting.arrived_ms,
            "waiting": len(queues),
            "slack_ms": waiting.latest_start_ms - now_ms,
        }
        return dispatch.SlotGranted(request.attempt, state.target, state.pool, choice.rule, figures)

    # ---- suspects ----

    def _crash_count(self, request: dispatch.SlotRequest, now_ms: int) -> int:
        if not self.options.isolate_suspects:
            return 0
        return self.suspects.crashes(request.fingerprint, now_ms)

    def _must_isolate(self, request: dispatch.SlotRequest, now_ms: int) -> bool:
        return self.options.isolate_suspects and self.suspects.must_run_alone(
            request.fingerprint, request.stage.name, now_ms
        )

    def _grant_isolated(
        self, queues: pool_queues.PoolQueues, now_ms: int, only: ids.AttemptId | None = None
    ) -> dispatch.SlotGranted | None:
        """Grants the first suspect once its reserved target has no outstanding attempts."""
        waiting = next(iter(queues.isolated.values()))
        request = waiting.request
        if only is not None and request.attempt != only:
            return None
        state = self._reserve(request, now_ms)
        if state is None or state.outstanding:
            return None
        del queues.isolated[request.attempt]
        choice = target_selector.Choice(state, "suspect-alone", {})
        return self._record_grant(queues, waiting, choice, now_ms)

    def _reserve(
        self, request: dispatch.SlotRequest, now_ms: int
    ) -> target_state.TargetState | None:
        """Reserves one target of the pool for a suspect; others stay free for other requests."""
        states = self.targets.of_pool(request.stage.pool)
        reserved = next((state for state in states if state.reserved_for is not None), None)
        if reserved is not None:
            if self.targets.unreserved_slot_limit(reserved, now_ms) > 0:
                return reserved if reserved.reserved_for == request.attempt else None
            if reserved.reserved_for != request.attempt:
                return None
            reserved.reserved_for = None
        usable = [state for state in states if self.targets.slot_limit(state, now_ms) > 0]
        preferred = [state for state in usable if state.target.id not in request.excluded_targets]
        best = min(preferred or usable, key=lambda state: state.load(now_ms), default=None)
        if best is not None:
            best.reserved_for = request.attempt
        return best

    # ---- results ----

    def _record_result(self, grant: _Grant, report: dispatch.AttemptReport, now_ms: int) -> None:
        request, state = grant.waiting.request, grant.state
        outstanding = len(state.outstanding)
        granted_ms = state.outstanding.get(request.attempt, now_ms)
        if not report.sent and report.fault is not events.AttemptFault.NO_CONNECTION:
            # Nothing was sent to the target, so the report says nothing about it.
            state.outstanding.pop(request.attempt, None)
            return
        if state.end(request.attempt, report, now_ms):
            self._newly_cold.append(state.target.id)
        self.targets.limit_ejections(state, now_ms)
        if report.fault is None:
            self._record_success(grant, report, outstanding, now_ms)
        elif report.fault in _OVERLOAD_FAULTS:
            state.limit.record_overload(now_ms)
        elif report.fault is events.AttemptFault.CONNECTION_LOST:
            self.suspects.record_crash(request.fingerprint, request.stage.name, granted_ms, now_ms)
            state.record_crash(granted_ms, now_ms)

    def _record_success(
        self, grant: _Grant, report: dispatch.AttemptReport, outstanding: int, now_ms: int
    ) -> None:
        request, state = grant.waiting.request, grant.state
        stage = request.stage
        pool_median_ms = self.latencies.total_ms(request.pipeline, stage, 0.5, now_ms)
        if pool_median_ms:
            state.record_latency_ratio(report.duration_ms / pool_median_ms)
        if request.attempt.number == 1:
            # A resumed stream takes less time than a full run.
            self.latencies.record(
                request.pipeline, stage, report.duration_ms, report.first_piece_ms, now_ms
            )
        signal_ms = report.first_piece_ms
        if signal_ms is None:
            signal_ms = report.duration_ms
        else:
            pool_median_ms = self.latencies.first_piece_ms(request.pipeline, stage, 0.5, now_ms)
        name = f"{request.pipeline}/{stage.name}"
        state.limit.record_success(name, signal_ms, outstanding, now_ms, pool_median_ms)
        self.suspects.record_success(request.fingerprint, stage.name, now_ms)
        if request.prefix_hashes:
            if grant.by_prefix_hint and report.cached_units == 0:
                self.prefixes.forget(request.prefix_hashes, state.target.id)
            else:
                self.prefixes.record(request.prefix_hashes, state.target.id)

    # ---- periodic work ----

    def _refresh_capacity(self, name: str, queues: pool_queues.PoolQueues, now_ms: int) -> None:
        for state in self.targets.of_pool(name):
            state.advance(now_ms)
        queues.capacity = self.targets.capacity(name, now_ms)
        queues.capacity_ms = now_ms

    def _take_pending_decisions(self) -> list[dispatch.SlotDecision]:
        pending, self._pending_decisions = self._pending_decisions, []
        return pending


def _deadline_exceeded(request: dispatch.SlotRequest) -> errors.DeadlineExceeded:
    return errors.DeadlineExceeded(
        detail=f"The deadline passed while stage {request.stage.name!r} waited for a target."
    )


def _no_target(request: dispatch.SlotRequest) -> errors.NoTargetAvailable:
    return errors.NoTargetAvailable(
        detail=f"Pool {request.stage.pool!r} has no target in service.", retry_after_ms=1_000
    )


def _queue_full(request: dispatch.SlotRequest) -> errors.LimitExceeded:
    return errors.LimitExceeded(
        detail=f"Too many requests of account {request.account!r} wait for pool "
        f"{request.stage.pool!r}.",
        retry_after_ms=1_000,
    )
