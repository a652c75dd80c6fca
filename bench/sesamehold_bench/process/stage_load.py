"""Plays load on the stage scheduler with simulated targets and engines, without a network.

The targets follow the rules of a stage service: one call at a time, a fixed cost for each call, and
memory for results that is occupied from the start of a call until the result is freed.
"""

from __future__ import annotations

from collections.abc import Iterator
import heapq
import itertools
import math
import random
from typing import TypeAlias

import attrs

from sesamehold.process.gateway import stage_job
from sesamehold.process.gateway import stage_scheduler
from sesamehold.process.gateway import stage_workers
from sesamehold.process.gateway import target_load
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports
from sesamehold.version import routing

# Time that a target takes to fetch the inputs of a call, and an engine to read its inputs.
INPUT_READ_MS = 50.0
RESULT_READ_MS = 60.0
# Delay before the scheduler plans after an arrival, and the longest time between two plans.
GATHER_MS = 4.0
PLAN_INTERVAL_MS = 50.0
# Time within which the requests of a group arrive.
GROUP_SPREAD_MS = 100.0
# Time after which a caller that does not wait sends a refused request again.
IMPATIENT_RETRY_MS = 20.0
# A caller waits for at most this fraction of its remaining time before it sends a refused request
# again.
MAX_RETRY_WAIT_FRACTION = 1 / 3

_Event: TypeAlias = "stage_workers.Call | _Caller | str | None"


@attrs.frozen
class StageShape:
    """Work of one stage of a kind of request.

    Attributes:
        service: Service that runs the stage.
        after: Indexes of the stages whose results it reads.
        piece_counts: Numbers of pieces, one of which is drawn for each request.
        result_size_bytes: Size of the result of one piece.
        work_factor: Time of a piece as a multiple of the service's time for a piece.
    """

    service: str
    after: tuple[int, ...]
    piece_counts: tuple[int, ...]
    result_size_bytes: int
    work_factor: float = 1.0


@attrs.frozen
class RequestShape:
    """One kind of request.

    Attributes:
        name: Name in the report.
        rate_per_s: Requests per second without a burst.
        stages: Stages of the request.
        latency_goal_ms: Time within which the first event earns full credit.
        deadline_ms: Time after which the caller gives up.
        worth: Credit of an answer within the latency goal.
        late_worth: Credit of a later answer.
        urgency: Priority; 0 is the most urgent.
        engine_ms: Time from the end of the stages to the first event.
    """

    name: str
    rate_per_s: float
    stages: tuple[StageShape, ...]
    latency_goal_ms: int
    deadline_ms: int
    worth: float = 1.0
    late_worth: float = 0.15
    urgency: int = 0
    engine_ms: int = 150


@attrs.frozen
class Burst:
    """A span in which requests arrive faster.

    Attributes:
        start_ms: Start of the span.
        end_ms: End of the span.
        factor: Arrival rate as a multiple of the usual one.
        name: Kind of request that arrives faster, empty for all.
        account: Client account that sends what is more than usual, empty for all by their shares.
    """

    start_ms: float
    end_ms: float
    factor: float
    name: str = ""
    account: str = ""

    def includes(self, now_ms: float, name: str) -> bool:
        """Returns whether requests of a kind arrive faster at a time."""
        return self.start_ms <= now_ms < self.end_ms and self.name in ("", name)


@attrs.frozen
class AccountShape:
    """Requests of one client account.

    Attributes:
        name: Name in the report.
        demand: Part of all requests, relative to the other accounts.
        retry_count: How often its callers send a refused request again.
        waits: Whether they wait for as long as the refusal says.
    """

    name: str
    demand: float = 1.0
    retry_count: int = 1
    waits: bool = True


@attrs.frozen
class SharedMachines:
    """Slowdown of targets that share their machines with others.

    Attributes:
        slow_share: Part of the targets that are slow at any time.
        slowdown: Time of work at a slow target as a multiple of the usual one.
        span_ms: Time after which each target is slow or not anew.
        noise: Largest relative error of a stated slowdown.
        is_stated: Whether targets state their slowdown in each answer.
        lost_share: Part of the answers without the statement.
    """

    slow_share: float
    slowdown: float
    span_ms: float
    noise: float = 0.1
    is_stated: bool = True
    lost_share: float = 0.0

    def slowdown_at(self, target_id: str, now_ms: float) -> float:
        """Returns the slowdown of a target at a time."""
        draw = random.Random(f"{target_id}/{now_ms // self.span_ms}").random()
        return self.slowdown if draw < self.slow_share else 1.0

    def end_ms(self, target_id: str, start_ms: float, work_ms: float) -> float:
        """Returns when work that takes `work_ms` at the usual speed ends."""
        at_ms = start_ms
        while True:
            slowdown = self.slowdown_at(target_id, at_ms)
            span_end_ms = (at_ms // self.span_ms + 1) * self.span_ms
            done_ms = (span_end_ms - at_ms) / slowdown
            if done_ms >= work_ms:
                return at_ms + work_ms * slowdown
            work_ms -= done_ms
            at_ms = span_end_ms


@attrs.frozen
class StageLoad:
    """A deployment and the load on it.

    Attributes:
        pools: Stage pool of each service.
        zones: Availability zone of each target, by service.
        shapes: Kinds of requests.
        bursts: Spans with more requests.
        mean_group_size: Mean number of requests that arrive together.
        machines: Slowdown of the targets, None if all have their usual speed.
        accounts: Client accounts; requests are anonymous if there are none.
    """

    pools: dict[str, routing.StagePool]
    zones: dict[str, tuple[str, ...]]
    shapes: tuple[RequestShape, ...]
    bursts: tuple[Burst, ...] = ()
    mean_group_size: float = 1.0
    machines: SharedMachines | None = None
    accounts: tuple[AccountShape, ...] = (AccountShape(""),)

    def rate_per_s(self, shape: RequestShape, now_ms: float) -> float:
        """Returns the arrival rate of a kind of request at a time."""
        rate_per_s = shape.rate_per_s
        for burst in self.bursts:
            if burst.includes(now_ms, shape.name):
                rate_per_s *= burst.factor
        return rate_per_s

    def draw_account(self, rng: random.Random, name: str, now_ms: float) -> AccountShape:
        """Draws the client account of a request of a kind that arrives at a time."""
        for burst in self.bursts:
            if burst.account and burst.includes(now_ms, name) and rng.random() * burst.factor >= 1:
                return next(known for known in self.accounts if known.name == burst.account)
        return rng.choices(self.accounts, [known.demand for known in self.accounts])[0]


@attrs.define
class KindReport:
    """What the callers of one kind of request got.

    Attributes:
        asked: Callers that sent a request.
        on_time: Callers whose answer met the latency goal.
        late: Callers whose answer came later, but before their deadline.
        refused: Callers whose request was refused, also after they came back.
        credit: Worth of the answers.
        owed: Worth of all requests if answered on time.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    credit: float = 0.0
    owed: float = 0.0


@attrs.define
class AccountReport:
    """What the callers of one client account got.

    Attributes:
        asked: Callers that sent a request with stages.
        on_time: Callers whose answer met the latency goal.
        late: Callers whose answer came later, but before their deadline.
        results_ms: Times from the arrival to the end of the stages.
    """

    asked: int = 0
    on_time: int = 0
    late: int = 0
    results_ms: list[float] = attrs.field(factory=list)

    @property
    def served_share(self) -> float:
        """Returns the share of callers that were served, also late."""
        return (self.on_time + self.late) / max(1, self.asked)

    @property
    def on_time_share(self) -> float:
        """Returns the share of callers that were served within the latency goal."""
        return self.on_time / max(1, self.asked)


@attrs.define
class LoadReport:
    """Result of one simulation.

    Attributes:
        kinds: Report by kind of request.
        accounts: Report by client account, of requests with stages.
        latencies_ms: Times from arrival to the end of the stages.
        refused_ms: Times from arrival to the last refusal of callers that were not served.
        busy_ms: Total time that targets worked.
        wasted_ms: Part of it for results that no answer used.
        cross_zone_bytes: Bytes of results that were fetched from another availability zone.
        call_count: Calls to targets.
        no_room_count: Pieces that a target rejected for lack of memory.
    """

    kinds: dict[str, KindReport] = attrs.field(factory=dict)
    accounts: dict[str, AccountReport] = attrs.field(factory=dict)
    latencies_ms: list[float] = attrs.field(factory=list)
    refused_ms: list[float] = attrs.field(factory=list)
    busy_ms: float = 0.0
    wasted_ms: float = 0.0
    cross_zone_bytes: int = 0
    call_count: int = 0
    no_room_count: int = 0

    @property
    def credit_share(self) -> float:
        """Returns the credit earned as a fraction of what was owed."""
        owed = sum(kind.owed for kind in self.kinds.values())
        return sum(kind.credit for kind in self.kinds.values()) / owed if owed else 1.0


@attrs.define(eq=False)
class _Caller:
    shape: RequestShape
    request_id: str
    arrived_ms: float
    preferred_zone: str
    piece_counts: tuple[int, ...]
    account: AccountShape
    return_count: int = 0
    spent_ms: float = 0.0


@attrs.define
class _TargetMemory:
    """Results that a target holds: size and expiry time by handle."""

    capacity_bytes: int
    results: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def add(self, handle: str, size_bytes: int) -> bool:
        """Adds the result of a running call; returns False if it does not fit."""
        if sum(size for size, _ in self.results.values()) + size_bytes > self.capacity_bytes:
            return False
        self.results[handle] = (size_bytes, math.inf)
        return True

    def expire(self, now_ms: float) -> None:
        """Drops the results whose retention time has ended."""
        for handle in [h for h, (_, until_ms) in self.results.items() if until_ms <= now_ms]:
            del self.results[handle]


@attrs.define(eq=False)
class _Simulation:
    load: StageLoad
    rng: random.Random
    duration_ms: float
    scheduler: stage_scheduler.StageScheduler
    target_load: target_load.TargetLoad
    zones: dict[str, str]
    report: LoadReport = attrs.field(factory=LoadReport)
    events: list[tuple[float, int, str, _Event]] = attrs.field(factory=list)
    numbers: Iterator[int] = attrs.field(factory=itertools.count)
    callers: dict[str, _Caller] = attrs.field(factory=dict)
    memory: dict[str, _TargetMemory] = attrs.field(factory=dict)
    results_by_call: dict[int, list[ports.PieceResult]] = attrs.field(factory=dict)
    planned_at_ms: float | None = None

    def schedule(self, time_ms: float, kind: str, subject: _Event = None) -> None:
        heapq.heappush(self.events, (time_ms, next(self.numbers), kind, subject))

    def run_events(self) -> None:
        while self.events:
            now_ms, _, kind, subject = heapq.heappop(self.events)
            if now_ms > self.duration_ms and kind == "arrival":
                continue
            if isinstance(subject, _Caller):
                self._submit(subject, now_ms)
            elif kind == "plan":
                self._plan(now_ms)
            elif isinstance(subject, str):
                self.scheduler.release(subject)
                self._free(now_ms)
            elif subject is not None and kind == "read":
                self.scheduler.on_inputs_read(subject, int(now_ms))
                self._free(now_ms)
            elif subject is not None:
                self._end_call(subject, now_ms)

    def _submit(self, caller: _Caller, now_ms: float) -> None:
        spent_ms = int(now_ms - caller.arrived_ms)
        shape = caller.shape
        request = ports.StageRequest(
            request_id=caller.request_id,
            piece_key="k",
            stages=tuple(
                ports.StageWork(index, stage.service, stage.after, count, stage.result_size_bytes)
                for index, (stage, count) in enumerate(
                    zip(shape.stages, caller.piece_counts, strict=True)
                )
            ),
            urgency=shape.urgency,
            latency_goal_ms=shape.latency_goal_ms - spent_ms,
            deadline_ms=shape.deadline_ms - spent_ms,
            request_ms=shape.engine_ms,
            preferred_zone=caller.preferred_zone,
            account=caller.account.name,
        )
        if not any(caller.piece_counts):
            self._answer(caller, ports.StageResults(()), now_ms)
            return
        self.callers[caller.request_id] = caller
        failure = self.scheduler.submit(request, int(now_ms))
        if failure is not None:
            self._refuse(caller, failure, now_ms)
        self._schedule_plan(now_ms + GATHER_MS)

    def _refuse(self, caller: _Caller, failure: ports.StageFailure, now_ms: float) -> None:
        self.report.wasted_ms += caller.spent_ms
        caller.spent_ms = 0.0
        left_ms = caller.arrived_ms + caller.shape.deadline_ms - now_ms
        if caller.return_count < caller.account.retry_count and left_ms > 0:
            caller.return_count += 1
            caller.request_id += "-again"
            wait_ms = min(failure.retry_after_ms, left_ms * MAX_RETRY_WAIT_FRACTION)
            if not caller.account.waits:
                wait_ms = min(IMPATIENT_RETRY_MS, wait_ms)
            self.schedule(now_ms + wait_ms, "return", caller)
            return
        self.report.kinds[caller.shape.name].refused += 1
        self.report.refused_ms.append(now_ms - caller.arrived_ms)

    def _schedule_plan(self, time_ms: float) -> None:
        if self.planned_at_ms is None or time_ms < self.planned_at_ms:
            self.planned_at_ms = time_ms
            self.schedule(time_ms, "plan")

    def _plan(self, now_ms: float) -> None:
        if self.planned_at_ms is None or now_ms < self.planned_at_ms:
            return
        self.planned_at_ms = None
        calls, finished = self.scheduler.plan(int(now_ms))
        for item in finished:
            caller = self.callers.pop(item.job.request.request_id)
            if item.failure is not None:
                self._refuse(caller, item.failure, now_ms)
        for call in calls:
            self._start_call(call, now_ms)
        self._free(now_ms)
        if len(self.scheduler):
            self._schedule_plan(now_ms + PLAN_INTERVAL_MS)

    def _start_call(self, call: stage_workers.Call, now_ms: float) -> None:
        pool = self.load.pools[call.target.service]
        memory = self.memory.setdefault(
            call.target.target_id, _TargetMemory(pool.result_capacity_bytes)
        )
        memory.expire(now_ms)
        work_ms = pool.call_ms
        results = []
        for piece, piece_call in zip(call.pieces, call.piece_calls, strict=True):
            shape = self.callers[piece.job.request.request_id].shape.stages[piece.stage_index]
            if not all(self._is_held(handle, now_ms) for handle in piece_call.inputs):
                results.append(ports.PieceResult(None, "gone"))
                continue
            handle = f"{call.target.target_id}/{next(self.numbers)}/{piece.stage_index}"
            if not memory.add(handle, shape.result_size_bytes):
                results.append(ports.PieceResult(None, "room"))
                self.report.no_room_count += 1
                continue
            self._count_cross_zone(piece_call.inputs, piece.job, call.target.zone)
            results.append(ports.PieceResult(handle))
            work_ms += pool.piece_ms * shape.work_factor
        self.results_by_call[id(call)] = results
        machines = self.load.machines
        if machines is not None:
            work_ms = machines.end_ms(call.target.target_id, now_ms, work_ms) - now_ms
        self.report.call_count += 1
        self.report.busy_ms += work_ms
        for piece in call.pieces:
            self.callers[piece.job.request.request_id].spent_ms += work_ms / len(call.pieces)
        self.schedule(now_ms + INPUT_READ_MS, "read", call)
        self.schedule(now_ms + work_ms, "end", call)

    def _observe(self, target: targets.Target, now_ms: float) -> None:
        machines = self.load.machines
        if machines is None or not machines.is_stated or self.rng.random() < machines.lost_share:
            return
        stated = machines.slowdown_at(target.target_id, now_ms)
        stated *= self.rng.uniform(1 - machines.noise, 1 + machines.noise)
        self.target_load.observe(target, messages.LoadSample(0, 0, 1, stated), int(now_ms))

    def _end_call(self, call: stage_workers.Call, now_ms: float) -> None:
        self._observe(call.target, now_ms)
        results = self.results_by_call.pop(id(call))
        memory = self.memory[call.target.target_id]
        retention_ms = self.load.pools[call.target.service].retention_ms
        for result in results:
            if result.handle in memory.results:
                size_bytes, _ = memory.results[result.handle]
                memory.results[result.handle] = (size_bytes, now_ms + retention_ms)
        for item in self.scheduler.on_results(call, results, int(now_ms)):
            caller = self.callers.pop(item.job.request.request_id)
            if item.failure is not None:
                self._refuse(caller, item.failure, now_ms)
            else:
                self._answer(caller, item.job.results(), now_ms)
        self._free(now_ms)
        self._schedule_plan(now_ms)

    def _answer(self, caller: _Caller, results: ports.StageResults, now_ms: float) -> None:
        shape = caller.shape
        for handle in results.handles:
            if self._zone(handle) != caller.preferred_zone:
                self.report.cross_zone_bytes += shape.stages[_stage_index(handle)].result_size_bytes
        elapsed_ms = now_ms + shape.engine_ms - caller.arrived_ms
        kind = self.report.kinds[shape.name]
        account = self.report.accounts[caller.account.name]
        if any(caller.piece_counts):
            account.results_ms.append(now_ms - caller.arrived_ms)
            account.on_time += elapsed_ms <= shape.latency_goal_ms
            account.late += shape.latency_goal_ms < elapsed_ms <= shape.deadline_ms
        self.report.latencies_ms.append(now_ms - caller.arrived_ms)
        if elapsed_ms <= shape.latency_goal_ms:
            kind.on_time += 1
            kind.credit += shape.worth
        elif elapsed_ms <= shape.deadline_ms:
            kind.late += 1
            kind.credit += shape.late_worth
        self.schedule(now_ms + RESULT_READ_MS, "release", caller.request_id)

    def _free(self, now_ms: float) -> None:
        for target, handles in self.scheduler.take_freed():
            self._observe(target, now_ms)
            for handle in handles:
                self.memory[target.target_id].results.pop(handle, None)
            self.scheduler.on_freed(target, handles)

    def _is_held(self, handle: str, now_ms: float) -> bool:
        memory = self.memory[_target_id(handle)]
        memory.expire(now_ms)
        return handle in memory.results

    def _count_cross_zone(self, handles: tuple[str, ...], job: stage_job.Job, zone: str) -> None:
        for handle in handles:
            if self._zone(handle) != zone:
                self.report.cross_zone_bytes += job.result_size_bytes(_stage_index(handle))

    def _zone(self, handle: str) -> str:
        return self.zones[_target_id(handle)]


def simulate(load: StageLoad, *, duration_s: float, seed: int) -> LoadReport:
    """Plays a load and returns what its callers got.

    Args:
        load: Deployment and requests.
        duration_s: Time in which requests arrive; those that have arrived are played to their end.
        seed: Seed of arrivals, pieces and zones.
    """
    pools = {
        service: [
            targets.Target(f"{service}-{index}", 1, service, f"10.0.0.{index}:1", zone)
            for index, zone in enumerate(zones)
        ]
        for service, zones in load.zones.items()
    }
    by_id = {target.target_id: target for pool in pools.values() for target in pool}
    stated_load = target_load.TargetLoad()
    scheduler = stage_scheduler.StageScheduler(
        lambda service: pools.get(service, []),
        load.pools.get,
        by_id.get,
        lambda _: True,
        stated_load,
        random.Random(seed),
    )
    rng = random.Random(seed)
    zone_by_id = {target.target_id: target.zone for target in by_id.values()}
    simulation = _Simulation(load, rng, duration_s * 1_000, scheduler, stated_load, zone_by_id)
    zones = sorted({zone for known in load.zones.values() for zone in known})
    # Of their own, so that accounts do not change what arrives.
    account_rng = random.Random(seed)
    simulation.report.accounts = {known.name: AccountReport() for known in load.accounts}
    for shape in load.shapes:
        kind = simulation.report.kinds[shape.name] = KindReport()
        for number, at_ms in enumerate(_arrivals(load, shape, simulation)):
            kind.asked += 1
            kind.owed += shape.worth
            counts = tuple(rng.choice(stage.piece_counts) for stage in shape.stages)
            account = load.draw_account(account_rng, shape.name, at_ms)
            simulation.report.accounts[account.name].asked += any(counts)
            zone = rng.choice(zones)
            caller = _Caller(shape, f"{shape.name}-{number}", at_ms, zone, counts, account)
            simulation.schedule(at_ms, "arrival", caller)
    simulation.run_events()
    return simulation.report


def _target_id(handle: str) -> str:
    return handle.split("/")[0]


def _stage_index(handle: str) -> int:
    return int(handle.split("/")[2])


def _arrivals(load: StageLoad, shape: RequestShape, simulation: _Simulation) -> Iterator[float]:
    """Yields the arrival times of groups whose rate changes with the bursts."""
    rng = simulation.rng
    peak_factor = 1.0
    for burst in load.bursts:
        peak_factor *= max(1.0, burst.factor)
    peak_per_ms = shape.rate_per_s * peak_factor / 1_000 / load.mean_group_size
    at_ms = 0.0
    while True:
        at_ms += rng.expovariate(peak_per_ms)
        if at_ms >= simulation.duration_ms:
            return
        if rng.random() * shape.rate_per_s * peak_factor >= load.rate_per_s(shape, at_ms):
            continue
        yield at_ms
        while rng.random() >= 1 / load.mean_group_size:
            yield at_ms + rng.random() * GROUP_SPREAD_MS
