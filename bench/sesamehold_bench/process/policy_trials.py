"""Compares the dispatch policy with its baselines in one process and simulated time.

One entry host dispatches to targets that model service time, capacity and cold start. There is no
network and no second host: the interaction of several hosts is covered by tests and by the
specification of the shares.
"""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import json
import pathlib
import random
import sys
import time
from typing import Any

import attrs
import cyclopts

from sesamehold.process import dispatch
from sesamehold.process import policy_dispatcher
from sesamehold.process import retry_budget
from sesamehold.process import settings
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.request import policies
from sesamehold.version import manifest
from sesamehold_bench.version import policy_workload as workload

DURATION_MS = 30_000
TICK_MS = 50
NETWORK_MS = 1
MAX_ATTEMPTS = 3
RESTART_MS = 1_000
CRASH_AFTER_MS = 50

Report = dispatch.AttemptReport
Fault = events.AttemptFault


@attrs.define(eq=False)
class ModelTarget:
    """Model of the service time, capacity and cold start of one target."""

    target: manifest.Target
    pool: manifest.Pool
    slow_factor: float = 1.0
    cold_until_ms: int = 0
    down_until_ms: int = 0
    start_id: int = 1
    cold_overloads: int = 0
    running: dict[ids.AttemptId, PipelineRun] = attrs.field(factory=dict)

    def load(self, now_ms: int) -> dispatch.LoadReport:
        """Returns the load that the target reports."""
        cold = now_ms < self.cold_until_ms
        return dispatch.LoadReport(len(self.running), 0, cold, str(self.start_id))

    def refusal(self, now_ms: int) -> events.AttemptFault | None:
        """Returns the fault with which the target rejects work, None if it accepts work."""
        if now_ms < self.down_until_ms:
            return Fault.NO_CONNECTION
        if now_ms < self.cold_until_ms:
            if len(self.running) < self.pool.capacity_cold:
                return None
            self.cold_overloads += 1
            return Fault.REFUSED_COLD
        return Fault.REFUSED if len(self.running) >= self.pool.capacity_warm else None

    def service_ms(self, base_ms: float) -> int:
        """Returns the time of one call, which grows with the number of running calls."""
        batch = 1.0 + workload.BATCH_SLOWDOWN * len(self.running) / self.pool.capacity_warm
        return max(1, int(base_ms * batch * self.slow_factor))


@attrs.define(eq=False)
class PipelineRun:
    """Progress of one request through the stages of its pipeline."""

    call: workload.Call
    deadline_ms: int
    request_id: str
    stage_index: int = 0
    number: int = 1
    ended: bool = False
    target: ModelTarget | None = None
    sent_ms: int = 0
    excluded: frozenset[str] = frozenset()

    @property
    def attempt(self) -> ids.AttemptId:
        """Returns the id of the current attempt."""
        return ids.AttemptId(self.request_id, self.stage_index, self.number)


@attrs.define
class TrialCounts:
    """Counters and latencies of one trial."""

    offered: dict[str, int] = attrs.field(factory=dict)
    in_time: dict[str, int] = attrs.field(factory=dict)
    long_offered: int = 0
    long_in_time: int = 0
    failures: dict[str, int] = attrs.field(factory=dict)
    late_service_ms: int = 0
    retries: int = 0
    crashes: int = 0
    decisions: int = 0
    decision_ns: int = 0
    latencies_ms: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class Trial:
    """Simulation of one scenario with one dispatcher."""

    scenario: workload.Scenario
    dispatcher: policy_dispatcher.PolicyDispatcher
    rng: random.Random
    counts: TrialCounts = attrs.field(factory=TrialCounts)
    targets: dict[str, ModelTarget] = attrs.field(factory=dict)
    now_ms: int = 0
    _events: list[tuple[int, int, Callable[[], None]]] = attrs.field(factory=list)
    _sequence: itertools.count[int] = attrs.field(factory=itertools.count)
    _runs: dict[ids.AttemptId, PipelineRun] = attrs.field(factory=dict)
    _budget: retry_budget.FractionRetryBudget = attrs.field(
        factory=lambda: retry_budget.FractionRetryBudget(0.1, 10.0)
    )

    def run(self) -> TrialCounts:
        """Runs the scenario until all requests have ended."""
        version = self.scenario.versions[0][1]
        self.targets = {
            target.id: ModelTarget(target, pool)
            for pool in version.pools
            for target in pool.targets
        }
        self.scenario.prepare(self.targets)
        for at_ms, changed in self.scenario.versions:
            self._schedule(at_ms, lambda changed=changed: self._configure(changed))  # type: ignore[misc]
        for at_ms, call in self.scenario.calls(self.rng, DURATION_MS):
            self._schedule(at_ms, lambda call=call: self._submit(call))  # type: ignore[misc]
        end_ms = DURATION_MS + workload.LONGEST_DEADLINE_MS
        for at_ms in range(TICK_MS, end_ms, TICK_MS):
            self._schedule(at_ms, self._tick)
        while self._events:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        return self.counts

    def _schedule(self, at_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._sequence), action))

    def _measure_decision(self, call: Callable[[], Any]) -> Any:
        started_ns = time.perf_counter_ns()
        result = call()
        self.counts.decision_ns += time.perf_counter_ns() - started_ns
        return result

    def _configure(self, version: manifest.Manifest) -> None:
        self._apply_decisions(self.dispatcher.configure(version, self.now_ms))

    def _tick(self) -> None:
        self._apply_decisions(self._measure_decision(lambda: self.dispatcher.tick(self.now_ms)))
        for target in self.dispatcher.targets.take_due_probes(self.now_ms):
            model, asked_ms = self.targets[target.id], self.now_ms
            if self.now_ms >= model.down_until_ms:
                self._schedule(
                    asked_ms + NETWORK_MS,
                    lambda m=model, a=asked_ms: self._on_probe_reply(m, a),  # type: ignore[misc]
                )

    def _on_probe_reply(self, model: ModelTarget, asked_ms: int) -> None:
        load = model.load(self.now_ms)
        record_report = self.dispatcher.record_load_report
        self._apply_decisions(record_report(model.target.id, load, asked_ms, self.now_ms))

    # ---- requests ----

    def _submit(self, call: workload.Call) -> None:
        counts = self.counts
        counts.offered[call.account] = counts.offered.get(call.account, 0) + 1
        counts.long_offered += call.long
        deadline_ms = self.now_ms + call.pipeline.default_deadline_ms
        run = PipelineRun(call, deadline_ms, f"{next(self._sequence):032x}")
        self._schedule(deadline_ms, lambda: self._on_deadline(run))
        self._budget.record_first_attempt(call.account, self.now_ms)
        self._acquire(run)

    def _acquire(self, run: PipelineRun) -> None:
        stages = run.call.pipeline.stages
        request = dispatch.SlotRequest(
            attempt=run.attempt,
            account=run.call.account,
            pipeline=run.call.pipeline.name,
            stage=stages[run.stage_index],
            deadline_ms=run.deadline_ms,
            later_stages=stages[run.stage_index + 1 :],
            excluded_targets=run.excluded,
            fingerprint=run.call.fingerprint,
        )
        self._runs[run.attempt] = run
        self.counts.decisions += 1
        self._apply_decisions(
            [self._measure_decision(lambda: self.dispatcher.acquire(request, self.now_ms))]
        )

    def _apply_decisions(self, decisions: list[dispatch.SlotDecision]) -> None:
        for decision in decisions:
            if isinstance(decision, dispatch.SlotGranted):
                run = self._runs[decision.attempt]
                run.target, run.sent_ms = self.targets[decision.target.id], self.now_ms
                self._schedule(
                    self.now_ms + NETWORK_MS,
                    lambda run=run, attempt=decision.attempt: self._arrive(run, attempt),  # type: ignore[misc]
                )
            elif isinstance(decision, dispatch.SlotDenied):
                self._fail(self._runs.pop(decision.attempt), decision.failure)

    def _arrive(self, run: PipelineRun, attempt: ids.AttemptId) -> None:
        target = run.target
        if run.ended or run.attempt != attempt or target is None:
            return
        refusal = target.refusal(self.now_ms)
        if refusal is not None:
            self._end_attempt(run, refusal)
            return
        target.running[attempt] = run
        if run.call.crashes and run.stage_index == 1:
            self._schedule(self.now_ms + CRASH_AFTER_MS, lambda: self._crash(target, attempt))
            return
        duration_ms = target.service_ms(run.call.base_ms[run.stage_index])
        self._schedule(self.now_ms + duration_ms, lambda: self._complete(run, attempt))

    def _complete(self, run: PipelineRun, attempt: ids.AttemptId) -> None:
        if run.target is not None and run.target.running.get(attempt) is run:
            self._end_attempt(run, None)

    def _crash(self, target: ModelTarget, attempt: ids.AttemptId) -> None:
        if attempt not in target.running:
            return
        self.counts.crashes += 1
        target.start_id += 1
        target.down_until_ms = self.now_ms + RESTART_MS
        target.cold_until_ms = target.down_until_ms + workload.COLD_MS
        for run in list(target.running.values()):
            self._end_attempt(run, Fault.CONNECTION_LOST)

    def _end_attempt(self, run: PipelineRun, fault: events.AttemptFault | None) -> None:
        attempt, target = run.attempt, run.target
        assert target is not None
        disconnected = fault in (Fault.CONNECTION_LOST, Fault.NO_CONNECTION)
        load = None if disconnected else target.load(self.now_ms)
        target.running.pop(attempt, None)
        self._runs.pop(attempt, None)
        duration_ms = self.now_ms - run.sent_ms
        first_ms = max(1, duration_ms // 10) if fault is None and run.stage_index == 1 else None
        report = Report(fault, duration_ms, first_ms, load)
        run.target = None
        release = self._measure_decision(
            lambda: self.dispatcher.release(attempt, report, self.now_ms)
        )
        if fault is None:
            self._next_stage(run)
        elif fault is not Fault.CANCELLED:
            self._retry(run, target)
        self._apply_decisions(release)

    def _next_stage(self, run: PipelineRun) -> None:
        run.stage_index += 1
        run.number, run.excluded = 1, frozenset()
        if run.stage_index < len(run.call.pipeline.stages):
            self._acquire(run)
            return
        run.ended = True
        account = run.call.account
        self.counts.in_time[account] = self.counts.in_time.get(account, 0) + 1
        self.counts.long_in_time += run.call.long
        used_ms = self.now_ms - (run.deadline_ms - run.call.pipeline.default_deadline_ms)
        self.counts.latencies_ms.append(used_ms)

    def _retry(self, run: PipelineRun, target: ModelTarget) -> None:
        attempts_exhausted = run.number >= MAX_ATTEMPTS
        if attempts_exhausted or not self._budget.try_spend(run.call.account, self.now_ms):
            self._fail(run, errors.StageFailed(detail="", stage=""))
            return
        self.counts.retries += 1
        run.number += 1
        run.excluded |= {target.target.id}
        self._acquire(run)

    def _on_deadline(self, run: PipelineRun) -> None:
        if run.ended:
            return
        if run.target is not None:
            self.counts.late_service_ms += self.now_ms - run.sent_ms
            self._end_attempt(run, Fault.CANCELLED)
        else:
            self.dispatcher.withdraw(run.attempt, self.now_ms)
            self._runs.pop(run.attempt, None)
        self._fail(run, errors.DeadlineExceeded(detail=""))

    def _fail(self, run: PipelineRun, failure: errors.Failure) -> None:
        run.ended = True
        self.counts.failures[failure.kind] = self.counts.failures.get(failure.kind, 0) + 1


def run_trial(kind: settings.DispatcherKind, scenario: workload.Scenario, seed: int) -> Trial:
    """Runs one scenario with one dispatcher."""
    config = settings.Settings("h0", "z0", "", "", "", "", "", (), dispatcher=kind)
    dispatcher = policies.build(config, f"dispatch:{seed}")
    trial = Trial(scenario, dispatcher, random.Random(f"calls:{scenario.name}:{seed}"))
    trial.run()
    return trial


def summary(trial: Trial) -> dict[str, Any]:
    """Returns the results of one trial as JSON-compatible values."""
    counts = trial.counts
    latencies = sorted(counts.latencies_ms) or [0]
    return {
        "attainment": round(sum(counts.in_time.values()) / sum(counts.offered.values()), 4),
        "attainment_by_account": {
            name: round(counts.in_time.get(name, 0) / count, 4)
            for name, count in sorted(counts.offered.items())
        },
        "attainment_long": round(counts.long_in_time / max(1, counts.long_offered), 4),
        "goodput_per_s": round(sum(counts.in_time.values()) * 1_000 / DURATION_MS, 2),
        "latency_p50_ms": latencies[len(latencies) // 2],
        "latency_p95_ms": latencies[len(latencies) * 95 // 100],
        "failures": dict(sorted(counts.failures.items())),
        "retries": counts.retries,
        "crashes": counts.crashes,
        "cold_overloads": sum(target.cold_overloads for target in trial.targets.values()),
        "late_service_s": round(counts.late_service_ms / 1_000, 1),
        "cpu_per_decision_us": round(counts.decision_ns / max(1, counts.decisions) / 1_000, 1),
    }


def _result_row(scenario: str, dispatcher: str, figures: dict[str, Any]) -> str:
    columns = [f"{scenario:18} {dispatcher:18}"]
    names = ("attainment", "attainment_long", "retries", "cold_overloads", "late_service_s")
    columns += [f"{name} {figures[name]:7}" for name in (*names, "cpu_per_decision_us")]
    return " ".join([*columns, str(figures["failures"])])


app = cyclopts.App(name="policy-trials", help=__doc__, result_action="return_value")


@app.default
def main(*, seed: int = 1, out: pathlib.Path | None = None, scenario: str = "") -> int:
    """Runs all scenarios with all dispatchers and writes the results as JSON.

    Args:
        seed: Seed of the calls and of the dispatchers.
        out: JSON file to write; None to write no file.
        scenario: Text that the names of the scenarios to run must contain.
    """
    results: dict[str, dict[str, Any]] = {}
    for item in workload.scenarios():
        if scenario not in item.name:
            continue
        results[item.name] = {}
        for kind in settings.DispatcherKind:
            figures = summary(run_trial(kind, item, seed))
            results[item.name][kind.value] = figures
            print(_result_row(item.name, kind.value, figures), flush=True)
    document = {
        "command": f"python -m sesamehold_bench.process.policy_trials --seed {seed}",
        "seed": seed,
        "simulated_ms": DURATION_MS,
        "subset": workload.subset_times(),
        "results": results,
    }
    if out is not None:
        out.write_text(json.dumps(document, indent=1) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(app())
