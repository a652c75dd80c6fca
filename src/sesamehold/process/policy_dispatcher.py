"""The dispatch policy: targets, limits, fairness, deadlines and crash suspects together."""

from __future__ import annotations

import functools
from typing import Any

import attrs

from sesamehold.process import admission
from sesamehold.process import dispatch
from sesamehold.process import fleet_health
from sesamehold.process import latency
from sesamehold.process import pool_work
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

# A request is refused early only if even a fast run would miss its deadline.
LOW_QUANTILE = 0.1
# With less time than this quantile of the need, an attempt is served after all others.
LIKELY_QUANTILE = 0.9
LONG_FACTOR = 3.0
LONG_MIN_MS = 1_000
CAPACITY_REFRESH_MS = 250
MIN_RETRY_AFTER_MS = 100
MAX_RETRY_AFTER_MS = 30_000
MAX_STATE_ROWS = 1_000

_OVERLOADS = frozenset(
    {
        events.AttemptFault.REFUSED,
        events.AttemptFault.TIMEOUT,
        events.AttemptFault.SILENT,
    }
)


@attrs.frozen
class PolicyOptions:
    """Parts of the policy; baselines for experiments switch some of them off."""

    adaptive_limits: bool = True
    early_refusal: bool = True
    fair_queue: bool = True
    cold_slots: bool = True
    ejection: bool = True
    isolate_suspects: bool = True
    account_limits: bool = True


PLAIN = PolicyOptions(
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
    item: admission.WaitingAttempt
    state: target_state.TargetState
    hinted: bool


@attrs.define
class PolicyDispatcher:
    """Implements `dispatch.Dispatcher`.

    Attributes:
        selector: Chooses among the targets with room.
        targets: The targets that this host uses.
        zone: Availability zone of this host.
        options: Parts of the policy that are in use.
        suspects: Requests that were seen in crashes.
    """

    selector: target_selector.TargetSelector
    targets: target_table.TargetTable
    zone: str
    options: PolicyOptions = PolicyOptions()
    suspects: suspects.SuspectTable = attrs.field(factory=suspects.SuspectTable)
    latencies: latency.LatencyBook = attrs.field(factory=latency.LatencyBook)
    prefixes: prefix_index.PrefixIndex = attrs.field(factory=prefix_index.PrefixIndex)
    account_limits: admission.AccountLimits = attrs.field(factory=admission.AccountLimits)
    _work: dict[str, pool_work.PoolWork] = attrs.field(factory=dict)
    _grants: dict[ids.AttemptId, _Grant] = attrs.field(factory=dict)
    _waiting: dict[ids.AttemptId, str] = attrs.field(factory=dict)
    _outbox: list[dispatch.SlotDecision] = attrs.field(factory=list)
    _turned_cold: list[str] = attrs.field(factory=list)

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
        """Returns a dispatcher that knows no configuration version yet."""
        table = target_table.TargetTable(
            shares.ColdShares(host_id, quorum, pauses),
            adaptive_limits=options.adaptive_limits,
            cold_slots=options.cold_slots,
            ejection=options.ejection,
        )
        return cls(selector, table, zone, options)

    # ---- dispatch.Dispatcher ----

    def configure(self, version: manifest.Manifest, now_ms: int) -> list[dispatch.SlotDecision]:
        """Takes over a version; attempts that wait for a removed pool are denied."""
        self.targets.configure(version, now_ms)
        self.account_limits.configure(version)
        names = {pool.name for pool in version.pools}
        for name in names:
            work = self._work.setdefault(name, pool_work.PoolWork())
            work.shares.configure(version.accounts)
            work.capacity_ms = None
        for name in [name for name in self._work if name not in names]:
            self._deny_all(self._work.pop(name))
        return self.tick(now_ms)

    def acquire(self, request: dispatch.SlotRequest, now_ms: int) -> dispatch.SlotDecision:
        """Grants a target, queues the attempt or denies it."""
        work = self._work.get(request.stage.pool)
        failure = self._refusal(request, work, now_ms)
        if failure is not None or work is None:
            return dispatch.SlotDenied(request.attempt, failure or _no_target(request))
        item = self._item(request, now_ms)
        self.account_limits.open(request.account, request.attempt.request_id)
        if self._suspected(request, now_ms):
            work.isolated[request.attempt] = item
            granted = self._grant_isolated(work, now_ms, only=request.attempt)
        elif work.may_start(item):
            granted = self._grant(work, item, now_ms)
        else:
            granted = None
        if granted is not None:
            return granted
        return self._enqueue(work, item)

    def release(
        self, attempt: ids.AttemptId, report: dispatch.AttemptReport, now_ms: int
    ) -> list[dispatch.SlotDecision]:
        """Returns a target, learns from the report and serves waiting attempts."""
        grant = self._grants.pop(attempt, None)
        if grant is None:
            return self._take_outbox()
        request, state = grant.item.request, grant.state
        self.account_limits.close(request.account, attempt.request_id)
        self._learn(grant, report, now_ms)
        if state.reserved_for == attempt:
            state.reserved_for = None
        work = self._work.get(request.stage.pool)
        if work is None:
            return self._take_outbox()
        if grant.item.long:
            work.long_running -= 1
        return self._take_outbox() + self._serve(work, now_ms)

    def withdraw(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Removes a waiting attempt."""
        work = self._work.get(self._waiting.pop(attempt, ""))
        item = work.withdraw(attempt) if work is not None else None
        if item is not None:
            self._forget(item)

    def tick(self, now_ms: int) -> list[dispatch.SlotDecision]:
        """Denies what can no longer finish and serves waiting attempts."""
        self.targets.cold_shares.observe(now_ms)
        decisions = self._take_outbox()
        for name, work in self._work.items():
            if work.capacity_ms is None or now_ms - work.capacity_ms >= CAPACITY_REFRESH_MS:
                self._refresh(name, work, now_ms)
            if len(work):
                decisions += [
                    self._expire(work, item, now_ms) for item in work.take_expired(now_ms)
                ]
                decisions += self._serve(work, now_ms)
        return decisions

    # ---- exchange with other hosts ----

    def take_turned_cold(self) -> list[str]:
        """Returns and forgets the targets that this host found cold, for notices."""
        turned, self._turned_cold = self._turned_cold, []
        return turned

    def note_cold(self, target_id: str, now_ms: int) -> None:
        """Takes over the notice that a target has turned cold."""
        state = self.targets.find(target_id)
        if state is not None:
            state.note_cold(now_ms)

    def note_report(
        self, target_id: str, load: dispatch.LoadReport, asked_ms: int, now_ms: int
    ) -> list[dispatch.SlotDecision]:
        """Takes over a load report that was read without sending work."""
        state = self.targets.find(target_id)
        if state is None:
            return []
        state.note_report(load, asked_ms, now_ms)
        work = self._work.get(state.pool.name)
        return self._serve(work, now_ms) if work is not None and len(work) else []

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns the bounded state for dumps."""
        rows = sorted(self.targets, key=lambda state: state.target.id)[:MAX_STATE_ROWS]
        return {
            "targets": [state.state(now_ms) for state in rows],
            "pools": {
                name: {
                    "waiting_short": len(work.short),
                    "waiting_long": len(work.long),
                    "waiting_doubtful": len(work.doubtful),
                    "waiting_suspects": len(work.isolated),
                    "long_running": work.long_running,
                    "capacity": work.capacity,
                }
                for name, work in self._work.items()
            },
            "suspects": len(self.suspects),
            "prefixes": len(self.prefixes),
        }

    # ---- admission ----

    def _refusal(
        self, request: dispatch.SlotRequest, work: pool_work.PoolWork | None, now_ms: int
    ) -> errors.Failure | None:
        if request.deadline_ms <= now_ms:
            return _deadline_exceeded(request)
        pool = request.stage.pool
        if work is None or not any(state.in_service() for state in self.targets.of_pool(pool)):
            return _no_target(request)
        if self._suspect_crashes(request, now_ms) >= suspects.REFUSED_CRASHES:
            return errors.CrashSuspect(
                detail="Targets crashed while they ran this request; it is not run again."
            )
        if (
            self.options.early_refusal
            and self._latest_start_ms(request, LOW_QUANTILE, now_ms) <= now_ms
        ):
            return self._unreachable(request, work, now_ms)
        return self._limit_refusal(request, now_ms)

    def _limit_refusal(
        self, request: dispatch.SlotRequest, now_ms: int
    ) -> errors.LimitExceeded | None:
        # Later stages and attempts belong to a request that has been admitted.
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

    def _item(self, request: dispatch.SlotRequest, now_ms: int) -> admission.WaitingAttempt:
        expected_ms = self.latencies.total_ms(request.pipeline, request.stage, 0.5, now_ms)
        pool_ms = self.latencies.pool_ms(request.stage.pool, 0.5, now_ms)
        long_ms = max(LONG_MIN_MS, LONG_FACTOR * (pool_ms or 0.0))
        fair = self.options.fair_queue
        latest_start_ms = self._latest_start_ms(request, LOW_QUANTILE, now_ms)
        likely_start_ms = self._latest_start_ms(request, LIKELY_QUANTILE, now_ms)
        return admission.WaitingAttempt(
            request=request,
            arrived_ms=now_ms,
            latest_start_ms=latest_start_ms,
            likely_start_ms=likely_start_ms if fair else request.deadline_ms,
            cost_ms=expected_ms or pool_ms or 1.0,
            share=request.account if fair else "",
            order_ms=latest_start_ms if fair else now_ms,
            long=fair and expected_ms is not None and expected_ms >= long_ms,
        )

    def _latest_start_ms(self, request: dispatch.SlotRequest, quantile: float, now_ms: int) -> int:
        if not self.options.early_refusal:
            return request.deadline_ms
        # A repeated generation resumes its stream, so it may need less than a whole run.
        resumes = request.attempt.number > 1 and request.stage.kind is manifest.StageKind.GENERATE
        stages = request.later_stages if resumes else (request.stage, *request.later_stages)
        need_ms = self.latencies.need_ms(request.pipeline, stages, quantile, now_ms)
        return request.deadline_ms - int(need_ms)

    def _enqueue(
        self, work: pool_work.PoolWork, item: admission.WaitingAttempt
    ) -> dispatch.SlotDecision:
        attempt = item.request.attempt
        if attempt not in work.isolated:
            work.lane(item).push(item)
        self._waiting[attempt] = item.request.stage.pool
        if len(work) <= admission.MAX_WAITING:
            return dispatch.SlotQueued(attempt)
        evicted = work.evict()
        if evicted is None:
            return dispatch.SlotQueued(attempt)
        denied = self._denied(evicted, _queue_full(evicted.request))
        if evicted is item:
            return denied
        self._outbox.append(denied)
        return dispatch.SlotQueued(attempt)

    def _expire(
        self, work: pool_work.PoolWork, item: admission.WaitingAttempt, now_ms: int
    ) -> dispatch.SlotDenied:
        request = item.request
        if request.deadline_ms <= now_ms:
            return self._denied(item, _deadline_exceeded(request))
        return self._denied(item, self._unreachable(request, work, now_ms))

    def _denied(
        self, item: admission.WaitingAttempt, failure: errors.Failure
    ) -> dispatch.SlotDenied:
        self._waiting.pop(item.request.attempt, None)
        self._forget(item)
        return dispatch.SlotDenied(item.request.attempt, failure)

    def _forget(self, item: admission.WaitingAttempt) -> None:
        request = item.request
        self.account_limits.close(request.account, request.attempt.request_id)
        for state in self.targets.of_pool(request.stage.pool):
            if state.reserved_for == request.attempt:
                state.reserved_for = None

    def _deny_all(self, work: pool_work.PoolWork) -> None:
        # Everything has expired at the end of time.
        for item in work.take_expired(1 << 62):
            self._outbox.append(self._denied(item, _no_target(item.request)))

    def _unreachable(
        self, request: dispatch.SlotRequest, work: pool_work.PoolWork, now_ms: int
    ) -> errors.DeadlineUnreachable:
        service_ms = self.latencies.pool_ms(request.stage.pool, 0.5, now_ms) or 0.0
        wait_ms = int(len(work) * service_ms / max(1, work.capacity))
        return errors.DeadlineUnreachable(
            detail=f"Stage {request.stage.name!r} and the stages after it need more time than is "
            "left.",
            retry_after_ms=min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms)),
        )

    # ---- grants ----

    def _serve(self, work: pool_work.PoolWork, now_ms: int) -> list[dispatch.SlotDecision]:
        decisions: list[dispatch.SlotDecision] = []
        if work.isolated:
            granted = self._grant_isolated(work, now_ms)
            decisions += [granted] if granted is not None else []
        while (granted := self._serve_one(work, now_ms)) is not None:
            decisions.append(granted)
        return decisions

    def _serve_one(self, work: pool_work.PoolWork, now_ms: int) -> dispatch.SlotGranted | None:
        for item in work.next_items(now_ms):
            granted = self._grant(work, item, now_ms)
            if granted is not None:
                work.withdraw(item.request.attempt)
                return granted
        return None

    def _grant(
        self, work: pool_work.PoolWork, item: admission.WaitingAttempt, now_ms: int
    ) -> dispatch.SlotGranted | None:
        choice = self._choose(item.request, now_ms)
        if choice is None:
            return None
        hinted = choice.rule == "prefix-holder"
        return self._book(work, item, choice, now_ms, hinted=hinted)

    def _choose(self, request: dispatch.SlotRequest, now_ms: int) -> target_selector.Choice | None:
        states = self.targets.of_pool(request.stage.pool)
        holders = self.prefixes.holders(request.prefix_hashes) if request.prefix_hashes else ()
        choices = target_selector.Choices(
            targets=states,
            room=functools.partial(self.targets.room, now_ms=now_ms),
            zone=self.zone,
            now_ms=now_ms,
            prefix_hashes=request.prefix_hashes,
            holders=holders,
        )
        excluded = request.excluded_targets
        if excluded:
            others = [state for state in states if state.target.id not in excluded]
            choice = self.selector.choose(attrs.evolve(choices, targets=others))
            if choice is not None:
                return choice
        return self.selector.choose(choices)

    def _book(
        self,
        work: pool_work.PoolWork,
        item: admission.WaitingAttempt,
        choice: target_selector.Choice,
        now_ms: int,
        *,
        hinted: bool = False,
    ) -> dispatch.SlotGranted:
        request, state = item.request, choice.target
        state.begin(request.attempt, now_ms)
        work.shares.charge(item.share, item.cost_ms)
        work.long_running += item.long
        self._waiting.pop(request.attempt, None)
        self._grants[request.attempt] = _Grant(item, state, hinted)
        figures: dict[str, float | int | str] = {
            **choice.figures,
            "outstanding": len(state.outstanding),
            "temperature": state.temperature.value,
            "waited_ms": now_ms - item.arrived_ms,
            "waiting": len(work),
            "slack_ms": item.latest_start_ms - now_ms,
        }
        return dispatch.SlotGranted(request.attempt, state.target, state.pool, choice.rule, figures)

    # ---- suspects ----

    def _suspect_crashes(self, request: dispatch.SlotRequest, now_ms: int) -> int:
        if not self.options.isolate_suspects:
            return 0
        return self.suspects.crashes(request.fingerprint, now_ms)

    def _suspected(self, request: dispatch.SlotRequest, now_ms: int) -> bool:
        return self.options.isolate_suspects and self.suspects.runs_alone(
            request.fingerprint, request.stage.name, now_ms
        )

    def _grant_isolated(
        self, work: pool_work.PoolWork, now_ms: int, only: ids.AttemptId | None = None
    ) -> dispatch.SlotGranted | None:
        """Grants the first suspect once a target is reserved for it and empty."""
        item = next(iter(work.isolated.values()))
        request = item.request
        if only is not None and request.attempt != only:
            return None
        state = self._reserve(request, now_ms)
        if state is None or state.outstanding:
            return None
        del work.isolated[request.attempt]
        choice = target_selector.Choice(state, "suspect-alone", {})
        return self._book(work, item, choice, now_ms)

    def _reserve(
        self, request: dispatch.SlotRequest, now_ms: int
    ) -> target_state.TargetState | None:
        """Reserves one target of the pool; others of the pool stay free for other requests."""
        states = self.targets.of_pool(request.stage.pool)
        reserved = next((state for state in states if state.reserved_for is not None), None)
        if reserved is not None:
            if self.targets.unreserved_room(reserved, now_ms) > 0:
                return reserved if reserved.reserved_for == request.attempt else None
            if reserved.reserved_for != request.attempt:
                return None
            reserved.reserved_for = None
        usable = [state for state in states if self.targets.room(state, now_ms) > 0]
        preferred = [item for item in usable if item.target.id not in request.excluded_targets]
        best = min(preferred or usable, key=lambda state: state.load(now_ms), default=None)
        if best is not None:
            best.reserved_for = request.attempt
        return best

    # ---- learning ----

    def _learn(self, grant: _Grant, report: dispatch.AttemptReport, now_ms: int) -> None:
        request, state = grant.item.request, grant.state
        outstanding = len(state.outstanding)
        granted_ms = state.outstanding.get(request.attempt, now_ms)
        if not report.sent and report.fault is not events.AttemptFault.NO_CONNECTION:
            # Nothing reached the target, so nothing can be learned about it.
            state.outstanding.pop(request.attempt, None)
            return
        if state.end(request.attempt, report, now_ms):
            self._turned_cold.append(state.target.id)
        self.targets.bound_ejections(state, now_ms)
        if report.fault is None:
            self._learn_success(grant, report, outstanding, now_ms)
        elif report.fault in _OVERLOADS:
            state.limit.record_overload(now_ms)
        elif report.fault is events.AttemptFault.CONNECTION_LOST:
            self.suspects.record_crash(request.fingerprint, request.stage.name, granted_ms, now_ms)
            state.note_crash(granted_ms, now_ms)

    def _learn_success(
        self, grant: _Grant, report: dispatch.AttemptReport, outstanding: int, now_ms: int
    ) -> None:
        request, state = grant.item.request, grant.state
        stage = request.stage
        usual_ms = self.latencies.total_ms(request.pipeline, stage, 0.5, now_ms)
        if usual_ms:
            state.note_latency_ratio(report.duration_ms / usual_ms)
        if request.attempt.number == 1:
            # A resumed stream is shorter than a whole run.
            self.latencies.record(
                request.pipeline, stage, report.duration_ms, report.first_piece_ms, now_ms
            )
        signal_ms = report.first_piece_ms
        if signal_ms is None:
            signal_ms = report.duration_ms
        else:
            usual_ms = self.latencies.first_piece_ms(request.pipeline, stage, 0.5, now_ms)
        name = f"{request.pipeline}/{stage.name}"
        state.limit.record_success(name, signal_ms, outstanding, now_ms, usual_ms)
        self.suspects.record_success(request.fingerprint, stage.name, now_ms)
        if request.prefix_hashes:
            if grant.hinted and report.cached_units == 0:
                self.prefixes.forget(request.prefix_hashes, state.target.id)
            else:
                self.prefixes.record(request.prefix_hashes, state.target.id)

    # ---- time ----

    def _refresh(self, name: str, work: pool_work.PoolWork, now_ms: int) -> None:
        for state in self.targets.of_pool(name):
            state.advance(now_ms)
        work.capacity = self.targets.capacity(name, now_ms)
        work.capacity_ms = now_ms

    def _take_outbox(self) -> list[dispatch.SlotDecision]:
        outbox, self._outbox = self._outbox, []
        return outbox


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
