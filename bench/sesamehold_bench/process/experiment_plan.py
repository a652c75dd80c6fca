"""Definitions of the experiments: load and disturbance of each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import signal

import attrs

from sesamehold_bench.process import faults
from sesamehold_bench.process import load
from sesamehold_bench.process import local_fleet
from sesamehold_bench.process import measured_run
from sesamehold_bench.version import fleet

SEED = 11
# Load during the disturbances as a fraction of the capacity; leaves a healthy fleet headroom.
DEFAULT_LOAD_FRACTION = 0.6
# Fraction of requests with a generate stage; only these use the engines, the bottleneck.
GENERATE_FRACTION = 0.8
PIPELINE_WEIGHTS = (("summary", GENERATE_FRACTION), ("order", 1.0 - GENERATE_FRACTION))
CRASHING_REQUEST_NUMBERS = (3, 9, 15)
FLOOD_WEIGHT = 20.0


@attrs.frozen
class Experiment:
    """One experiment.

    Attributes:
        name: Name for `--only`.
        question: Question that the experiment answers.
        phases: Load by phase: part of the duration, and rate as a fraction of the capacity.
        disturb: Returns the disturbance to apply during the load, given the duration in seconds.
        baseline: Name of the experiment to compare with.
        flooding: Whether the last account sends most of the load.
        crashing: Whether a few requests crash the engines that run them.
    """

    name: str
    question: str
    phases: tuple[tuple[float, float], ...] = ((1.0, DEFAULT_LOAD_FRACTION),)
    disturb: Callable[[float], measured_run.Disturbance] = lambda _: measured_run.no_disturbance
    baseline: str = "steady-50"
    flooding: bool = False
    crashing: bool = False

    def load_config(
        self, deployment: fleet.Deployment, duration_s: float, seed: int
    ) -> load.LoadConfig:
        """Returns the load scaled to the capacity of a deployment."""
        capacity_per_s = deployment.engine_requests_per_s / GENERATE_FRACTION
        accounts = deployment.accounts
        if self.flooding:
            accounts = (*accounts[:-1], (accounts[-1][0], FLOOD_WEIGHT))
        return load.LoadConfig(
            seed=seed,
            phases=tuple(
                load.Phase(part * duration_s, fraction * capacity_per_s)
                for part, fraction in self.phases
            ),
            pipelines=PIPELINE_WEIGHTS,
            accounts=accounts,
            crashing_numbers=CRASHING_REQUEST_NUMBERS if self.crashing else (),
        )


def _during_middle_half(
    begin: measured_run.Disturbance, end: measured_run.Disturbance
) -> Callable[[float], measured_run.Disturbance]:
    """Returns a disturbance that is active during the middle half of a run."""

    def for_duration(duration_s: float) -> measured_run.Disturbance:
        async def disturb(running: local_fleet.LocalFleet) -> None:
            await asyncio.sleep(duration_s / 4)
            await begin(running)
            await asyncio.sleep(duration_s / 2)
            await end(running)

        return disturb

    return for_duration


def _pool_faults(
    pool: str, script: faults.FaultScript
) -> Callable[[float], measured_run.Disturbance]:
    async def begin(running: local_fleet.LocalFleet) -> None:
        await running.set_faults_of_pool(pool, script)

    async def end(running: local_fleet.LocalFleet) -> None:
        await running.set_faults_of_pool(pool, faults.FaultScript())

    return _during_middle_half(begin, end)


def _cold_engines(fraction: float) -> Callable[[float], measured_run.Disturbance]:
    async def begin(running: local_fleet.LocalFleet) -> None:
        engines = running.targets_of("language-model")
        for engine in engines[: max(1, round(fraction * len(engines)))]:
            await running.turn_cold(engine)

    return _during_middle_half(begin, measured_run.no_disturbance)


def _zone_service(in_service: bool) -> measured_run.Disturbance:
    async def publish(running: local_fleet.LocalFleet) -> None:
        zone = running.deployment.zones[1]
        await running.publish(fleet.with_zone(running.version, zone, in_service=in_service))

    return publish


async def _kill_host(running: local_fleet.LocalFleet) -> None:
    await running.children["host-1"].kill()


async def _restart_host(running: local_fleet.LocalFleet) -> None:
    await running.start_host(1)


async def _pause_host(running: local_fleet.LocalFleet) -> None:
    running.children["host-2"].send_signal(signal.SIGSTOP)


async def _resume_host(running: local_fleet.LocalFleet) -> None:
    running.children["host-2"].send_signal(signal.SIGCONT)


def _platform_down(down: bool) -> measured_run.Disturbance:
    async def configure(running: local_fleet.LocalFleet) -> None:
        await running.configure_platform("down", {"down": down})

    return configure


def _concurrent(
    first: Callable[[float], measured_run.Disturbance],
    second: Callable[[float], measured_run.Disturbance],
) -> Callable[[float], measured_run.Disturbance]:
    def for_duration(duration_s: float) -> measured_run.Disturbance:
        async def disturb(running: local_fleet.LocalFleet) -> None:
            await asyncio.gather(first(duration_s)(running), second(duration_s)(running))

        return disturb

    return for_duration


_SLOW_STAGE = _pool_faults("reranker", faults.FaultScript(slow_factor=20.0))
_ZONE_OUT_AND_BACK = _during_middle_half(_zone_service(False), _zone_service(True))


def _steady(percent: int) -> Experiment:
    return Experiment(
        name=f"steady-{percent}",
        question=f"How does the fleet serve a steady load of {percent} % of its capacity?",
        phases=((1.0, percent / 100),),
    )


EXPERIMENTS = (
    *(_steady(percent) for percent in (50, 80, 100, 150, 200)),
    Experiment(
        name="burst",
        question="What does a burst of three times the capacity cost the requests after it?",
        phases=((0.3, 0.5), (0.2, 3.0), (0.5, 0.5)),
    ),
    Experiment(
        name="slow-stage",
        question="What does a reranker that is 20 times slower do to the whole?",
        disturb=_SLOW_STAGE,
    ),
    Experiment(
        name="failing-stage",
        question="Do retries stay bounded when half of the retriever's calls fail?",
        disturb=_pool_faults("retriever", faults.FaultScript(fail_status=500, fraction=0.5)),
    ),
    Experiment(
        name="target-cold",
        question="Does one engine that turns cold without notice break its work?",
        disturb=_cold_engines(0.01),
    ),
    Experiment(
        name="half-pool-cold",
        question="Do engines recover when half of them turn cold at once?",
        disturb=_cold_engines(0.5),
    ),
    Experiment(
        name="zone-out-and-back",
        question="What is served while an availability zone leaves and returns?",
        disturb=_ZONE_OUT_AND_BACK,
    ),
    Experiment(
        name="account-flooding",
        question="Do the other accounts keep their deadlines while one account floods?",
        phases=((1.0, 1.5),),
        flooding=True,
        baseline="steady-150",
    ),
    Experiment(
        name="host-killed",
        question="What is lost when an entry host is killed and restarted?",
        disturb=_during_middle_half(_kill_host, _restart_host),
    ),
    Experiment(
        name="host-paused",
        question="What does a host do that is stopped and wakes up late?",
        disturb=_during_middle_half(_pause_host, _resume_host),
    ),
    Experiment(
        name="platform-down",
        question="Does anything change when the configuration service is down?",
        disturb=_during_middle_half(_platform_down(True), _platform_down(False)),
    ),
    Experiment(
        name="crashing-request",
        question="How many engines does a request end that crashes whichever runs it?",
        crashing=True,
    ),
    Experiment(
        name="zone-out-and-slow-stage",
        question="What do two faults at once cost?",
        disturb=_concurrent(_ZONE_OUT_AND_BACK, _SLOW_STAGE),
    ),
)
