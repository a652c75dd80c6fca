"""What one gateway process knows and decides with, without input or output."""

from __future__ import annotations

import random

import attrs

from sesamehold.process import clock as clocks
from sesamehold.process import suspects
from sesamehold.process.gateway import cold_shares
from sesamehold.process.gateway import decision_log
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import measures
from sesamehold.process.gateway import repeat_budget
from sesamehold.process.gateway import route_pace
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import target_choice
from sesamehold.process.gateway import targets
from sesamehold.version import routing


@attrs.define(eq=False)
class GatewayState:
    """State of one process.

    Attributes:
        config: Settings in force.
        clock: Source of time.
        rng: Source of random decisions.
        log: Log of decisions.
        measures: Counters and histograms.
        hosts: Other hosts of the fleet.
        directory: Targets and zones.
        choice: Observations of targets.
        repeats: Budget of repeated sends.
        cold: Shares in cold targets.
        route_pace: Time that targets take for the requests of a route.
        suspects: Requests that seem to crash targets.
        table: Routing table in force, None until one is known.
        stopping: Whether a graceful shutdown has begun.
        closed: Whether new requests are refused, because the process is about to end.
        open_requests: Requests of callers that have no final answer yet.
    """

    config: settings.GatewaySettings
    clock: clocks.Clock
    rng: random.Random
    log: decision_log.DecisionLog
    measures: measures.Measures
    hosts: hosts.HostTable
    directory: targets.TargetDirectory
    choice: target_choice.TargetChoice
    repeats: repeat_budget.RepeatBudget
    cold: cold_shares.ColdShares
    route_pace: route_pace.RoutePace = attrs.field(factory=route_pace.RoutePace)
    suspects: suspects.SuspectTable = attrs.field(factory=suspects.SuspectTable)
    table: routing.RoutingTable | None = None
    stopping: bool = False
    closed: bool = False
    open_requests: int = 0

    @classmethod
    def from_config(
        cls, config: settings.GatewaySettings, clock: clocks.Clock, rng: random.Random
    ) -> GatewayState:
        """Returns the state of a process that knows nothing yet."""
        address = str(config.peer_address)
        seeds = [str(seed) for seed in config.seeds]
        return cls(
            config=config,
            clock=clock,
            rng=rng,
            log=decision_log.DecisionLog(clock),
            measures=measures.Measures(),
            hosts=hosts.HostTable.create(
                address,
                config.zone,
                clock.wall_ms(),
                seeds,
                rng,
                core_count=config.core_count,
            ),
            directory=targets.TargetDirectory(),
            choice=target_choice.TargetChoice(config.zone),
            repeats=repeat_budget.RepeatBudget(config.bounds),
            cold=cold_shares.ColdShares(address),
        )

    def is_ready(self) -> bool:
        """Returns whether this host wants new connections from the balancer."""
        return self.table is not None and len(self.directory) > 0 and not self.stopping

    def may_send(self, target: targets.Target) -> bool:
        """Returns whether a target may get one more request of this host now.

        A cold target's share is used up by the call.
        """
        now_ms = self.clock.now_ms()
        if not self.directory.may_use(target.target_id, target.born_ms):
            return False
        if target.cold_until_ms <= now_ms or self.table is None:
            return True
        service = self.table.services.get(target.service)
        if service is None or service.cold_rate_per_s <= 0:
            return True
        known = self.hosts.known_addresses(now_ms)
        return self.cold.try_take(target, service.cold_rate_per_s, known, now_ms)

    def reload(self, config: settings.GatewaySettings) -> None:
        """Takes over changed settings; addresses that are listened on stay."""
        self.config = config
        self.repeats.reload(config.bounds)
        self.hosts.add_seeds([str(seed) for seed in config.seeds])
