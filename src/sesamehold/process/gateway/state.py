"""State of one gateway process, on which its decisions are based; does no input or output."""

from __future__ import annotations

import random

import attrs

from sesamehold.process import clock as clocks
from sesamehold.process import receive_budget as receive_budgets
from sesamehold.process.gateway import body_budget
from sesamehold.process.gateway import caller_limits
from sesamehold.process.gateway import cold_rate_limit
from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import decision_log
from sesamehold.process.gateway import engine_choice
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import metrics
from sesamehold.process.gateway import retry_budget
from sesamehold.process.gateway import route_latency
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import target_load
from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import target_restrictions
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.version import routing


@attrs.define(eq=False)
class GatewayState:
    """State of one process.

    Attributes:
        config: Current settings.
        clock: Monotonic and wall clock.
        rng: Random number generator for jitter and sampling.
        log: Structured event log.
        metrics: Counters and histograms.
        hosts: Gossip membership of the fleet.
        directory: Registered targets and zones out of service.
        target_load: Load that targets stated in their answers.
        engine_load: Open work at engines, of this host and as reported by others.
        engine_slowdowns: How slow engines are, as measured by all hosts.
        ranking: Ranking of targets by observations and load.
        retry_budget: Retry budget of this host.
        cold_rate_limit: Rate limit for cold targets.
        restrictions: What targets said about themselves in their answers.
        caller_limits: Limits of callers in the current and in recent configurations.
        crashes: Attribution of crashes of targets to requests and prompt parts.
        body_budget: Memory for the bodies of open requests.
        receive_budget: Memory for what connections of callers hold before admission.
        route_duration: Estimate of the time from arrival to the end of the answer for each route.
        route_latency: Latency estimate for each route.
        table: Current routing table, None until a configuration has been read.
        stopping: Whether a graceful shutdown has begun.
        final_answers_at_ms: Monotonic time at which a graceful shutdown ends open requests, None
            without a shutdown.
        closed: Whether new requests are refused because the process is about to end.
        open_requests: Number of requests that have no final answer yet.
    """

    config: settings.GatewaySettings
    clock: clocks.Clock
    rng: random.Random
    log: decision_log.DecisionLog
    metrics: metrics.GatewayMetrics
    hosts: hosts.HostTable
    directory: targets.TargetDirectory
    target_load: target_load.TargetLoad
    engine_load: engine_load.EngineLoad
    engine_slowdowns: engine_slowdowns.EngineSlowdowns
    ranking: target_ranking.TargetRanking
    retry_budget: retry_budget.RetryBudget
    cold_rate_limit: cold_rate_limit.ColdRateLimit
    restrictions: target_restrictions.TargetRestrictions
    caller_limits: caller_limits.RecentCallerLimits
    crashes: crash_attribution.CrashAttribution
    body_budget: body_budget.BodyBudget
    receive_budget: receive_budgets.ReceiveBudget = attrs.field(init=False)
    route_duration: route_latency.RouteLatency = attrs.field(factory=route_latency.RouteLatency)
    route_latency: route_latency.RouteLatency = attrs.field(factory=route_latency.RouteLatency)
    table: routing.RoutingTable | None = None
    stopping: bool = False
    final_answers_at_ms: int | None = None
    closed: bool = False
    open_requests: int = 0

    @classmethod
    def from_config(
        cls, config: settings.GatewaySettings, clock: clocks.Clock, rng: random.Random
    ) -> GatewayState:
        """Returns the initial state of a process."""
        address = str(config.peer_address)
        seeds = [str(seed) for seed in config.seeds]
        started_ms = clock.wall_ms()
        stated_load = target_load.TargetLoad()
        open_work = engine_load.EngineLoad(address, started_ms)
        slowdowns = engine_slowdowns.EngineSlowdowns()
        return cls(
            config=config,
            clock=clock,
            rng=rng,
            log=decision_log.DecisionLog(clock),
            metrics=metrics.GatewayMetrics(),
            hosts=hosts.HostTable.create(
                address,
                config.zone,
                started_ms,
                seeds,
                rng,
                core_count=config.core_count,
            ),
            directory=targets.TargetDirectory(),
            target_load=stated_load,
            engine_load=open_work,
            engine_slowdowns=slowdowns,
            ranking=target_ranking.TargetRanking(config.zone, open_work, slowdowns, stated_load),
            retry_budget=retry_budget.RetryBudget(config.bounds, clock.now_ms()),
            cold_rate_limit=cold_rate_limit.ColdRateLimit(address),
            restrictions=target_restrictions.TargetRestrictions(rng),
            caller_limits=caller_limits.RecentCallerLimits(config.bounds.change_ms),
            crashes=crash_attribution.CrashAttribution(address),
            body_budget=body_budget.BodyBudget.from_config(config),
        )

    def __attrs_post_init__(self) -> None:
        self.receive_budget = receive_budgets.ReceiveBudget.from_memory(
            self.config.memory_bytes, receive_budgets.GATEWAY_FRACTION, self.on_caller_excess
        )

    def on_caller_excess(self, excess: receive_budgets.Excess) -> None:
        """Records that a connection of a caller is refused."""
        self.metrics.refused_connections.labels(excess.value).inc()
        self.log.write("caller.refused", reason=excess.value)

    def is_ready(self) -> bool:
        """Returns whether the load balancer may open new connections to this host."""
        return self.table is not None and len(self.directory) > 0 and not self.stopping

    def shared_engine_pool(self, service: str) -> routing.EnginePool | None:
        """Returns the capacity of a service's engines if they are chosen by the load of all hosts.

        They are not in a small fleet, and not while this host hears from too few others.
        """
        found = None if self.table is None else self.table.services.get(service)
        if found is None or found.engine is None or not self.shares_load():
            return None
        report_count = len(self.engine_load.report_ages_ms(self.clock.now_ms()))
        return found.engine if report_count >= engine_choice.MIN_REPORTS else None

    def shares_load(self) -> bool:
        """Returns whether the hosts of this fleet tell each other of their work at engines."""
        return (
            self.table is not None
            and any(service.engine is not None for service in self.table.services.values())
            and self.is_large_fleet()
        )

    def is_large_fleet(self) -> bool:
        """Returns whether the requests of other hosts matter more than those of this one."""
        return self.host_count() >= engine_choice.MIN_HOSTS

    def engine_keys(self) -> list[int]:
        """Returns the keys of all registered engines."""
        services = {} if self.table is None else self.table.services
        names = {name for name, service in services.items() if service.engine is not None}
        return [
            engine_load.engine_key(target) for target in self.directory if target.service in names
        ]

    def host_count(self) -> int:
        """Returns the number of live hosts, with this one."""
        return len(self.hosts.alive(self.clock.now_ms())) + 1

    def measure_engine_load(self) -> None:
        """Sets the metrics of the load at engines, which would cost too much at each change."""
        now_ms, host_count = self.clock.now_ms(), self.host_count()
        ages_ms = self.engine_load.report_ages_ms(now_ms)
        self.metrics.load_reports.set(len(ages_ms))
        self.metrics.load_report_age.set(sum(ages_ms) / max(1, len(ages_ms)) / 1_000)
        self.metrics.engine_requests.clear()
        self.metrics.engine_unread_tokens.clear()
        self.metrics.engine_slowdown.clear()
        for target in self.directory:
            slowdown = self.engine_slowdowns.slowdown(engine_load.engine_key(target))
            if slowdown != 1.0:
                self.metrics.engine_slowdown.labels(target.target_id).set(slowdown)
            for name, work in (
                ("own", self.engine_load.own(target)),
                ("others", self.engine_load.others(target, host_count, now_ms)),
            ):
                if work.requests:
                    labels = (target.target_id, name)
                    self.metrics.engine_requests.labels(*labels).set(work.requests)
                    self.metrics.engine_unread_tokens.labels(*labels).set(work.tokens)

    def try_reserve_send(self, target: targets.Target) -> bool:
        """Returns whether this host may send a request to a target now.

        For a cold target and for one that states a rate, a successful check consumes one send of
        this host's share.
        """
        now_ms = self.clock.now_ms()
        if not self.directory.may_use(target.target_id, target.born_ms):
            return False
        is_limited = self.restrictions.max_rate_per_s(target, now_ms) is not None
        host_count = len(self.hosts.known_addresses(now_ms)) if is_limited else 1
        if not self.restrictions.try_acquire(target, host_count, now_ms):
            self.record_held_back(target)
            return False
        return self._try_reserve_cold(target, now_ms)

    def record_held_back(self, target: targets.Target) -> None:
        """Counts a send that is not made because of what the target stated about itself."""
        restriction = self.restrictions.restriction(target, self.clock.now_ms())
        if restriction is not None:
            self.metrics.held_back.labels(target.service, restriction.value).inc()

    def may_call_stage(self, target: targets.Target) -> bool:
        """Returns whether the leader may send a stage call to a target now."""
        now_ms = self.clock.now_ms()
        return self.restrictions.next_send_ms(target, now_ms) == now_ms

    def may_contact(self, target: targets.Target) -> bool:
        """Returns whether a target takes calls that are no requests, such as freeing results."""
        waiting = target_restrictions.Restriction.WAITING
        return self.restrictions.restriction(target, self.clock.now_ms()) is not waiting

    def record_stage_call(self, target: targets.Target) -> None:
        """Counts a stage call against the rate that its target states.

        The leader has the whole rate, as no other host calls the targets of stages.
        """
        self.restrictions.try_acquire(target, 1, self.clock.now_ms())

    def _try_reserve_cold(self, target: targets.Target, now_ms: int) -> bool:
        if target.cold_until_ms <= now_ms or self.table is None:
            return True
        service = self.table.services.get(target.service)
        if service is None or service.cold_rate_per_s <= 0:
            return True
        known = self.hosts.known_addresses(now_ms)
        return self.cold_rate_limit.try_acquire(target, service.cold_rate_per_s, known, now_ms)

    def on_answer(self, target: targets.Target, head: messages.AnswerHead, sent_ms: int) -> None:
        """Records what a target says about itself in the head of an answer."""
        now_ms = self.clock.now_ms()
        self._record_load(target, head, now_ms)
        if head.statement.malformed:
            self.log.write(
                "target.statement-malformed",
                target=target.incarnation,
                statements=head.statement.malformed,
            )
        if self.restrictions.record_answer(target, head, sent_ms, now_ms):
            self.log.write(
                "target.restricted",
                target=target.incarnation,
                service=target.service,
                max_rate_per_s=self.restrictions.max_rate_per_s(target, now_ms),
                leaving=head.statement.leaving,
                wait_ms=head.statement.wait_ms,
            )

    def _record_load(self, target: targets.Target, head: messages.AnswerHead, now_ms: int) -> None:
        if head.malformed_load is not None:
            self.metrics.malformed_loads.labels(target.service).inc()
            self.log.write(
                "target.load-malformed", target=target.incarnation, value=head.malformed_load
            )
        # A late answer of a target that was removed would leave an entry behind for ever.
        is_known = self.directory.find(target.target_id) is not None
        if head.load is None or head.wrong_target or not is_known:
            return
        self.target_load.observe(target, head.load, now_ms)
        if head.load.slowdown is not None:
            self.metrics.stated_slowdown.labels(target.service).observe(head.load.slowdown)

    def on_extra_bytes(
        self, target: targets.Target, where: messages.ExtraBytes, request_id: str | None = None
    ) -> None:
        """Records that a target sent bytes that belong to no answer that a request waits for."""
        self.metrics.extra_bytes.labels(target.service, where.value).inc()
        self.log.write(
            "target.extra-bytes", target=target.incarnation, where=where.value, request=request_id
        )

    def reload(self, config: settings.GatewaySettings) -> None:
        """Applies changed settings; listening addresses stay as they are."""
        self.config = config
        self.retry_budget.reload(config.bounds)
        self.body_budget.reload(config)
        self.receive_budget.resize(config.memory_bytes, receive_budgets.GATEWAY_FRACTION)
        self.hosts.add_seeds([str(seed) for seed in config.seeds])
