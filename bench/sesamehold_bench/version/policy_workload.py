"""Workloads of the dispatch policy trials."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import random
import time
from typing import Any
from typing import Protocol

import attrs

from sesamehold.version import manifest
from sesamehold.version import subset

ZONES = ("z0", "z1", "z2")
ENGINES = 6
ENGINE_CAPACITY = 16
ENGINE_CAPACITY_COLD = 2
COLD_MS = 5_000
# Relative increase of the service time in a full batch, compared with a single call.
BATCH_SLOWDOWN = 0.8
SHORT_MS = 400.0
LONG_MS = 6_000.0
LONG_FRACTION = 0.05
LONGEST_DEADLINE_MS = 60_000
# Weight of each client account, and its fraction of the calls.
ACCOUNTS = {"a": (4.0, 0.35), "b": (4.0, 0.35), "c": (1.0, 0.1), "d": (1.0, 0.1), "e": (1.0, 0.1)}

_ENCODE = manifest.Stage("encode", manifest.StageKind.ENCODE, "encoder")
_GENERATE = manifest.Stage("generate", manifest.StageKind.GENERATE, "engine")
SHORT = manifest.Pipeline("short", "a", (_ENCODE, _GENERATE), default_deadline_ms=3_000)
LONG = manifest.Pipeline("long", "a", (_ENCODE, _GENERATE), default_deadline_ms=LONGEST_DEADLINE_MS)


class ModelledTarget(Protocol):
    """Properties of a target that a scenario may change before the trial."""

    slow_factor: float
    cold_until_ms: int


@attrs.frozen
class Call:
    """One offered request; `base_ms` holds the unloaded service time of each stage."""

    account: str
    pipeline: manifest.Pipeline
    base_ms: tuple[float, float]
    fingerprint: bytes
    crashes: bool = False

    @property
    def long(self) -> bool:
        """Returns whether the call belongs to the long pipeline."""
        return self.pipeline is LONG


def capacity_per_s() -> float:
    """Returns the request rate per second at which all engines are full."""
    mean_s = (SHORT_MS * (1 - LONG_FRACTION) + LONG_MS * LONG_FRACTION) / 1_000
    return ENGINES * ENGINE_CAPACITY / (mean_s * (1 + BATCH_SLOWDOWN))


def _change_nothing(targets: dict[str, Any]) -> None:
    del targets


@attrs.frozen
class Scenario:
    """Offered load and events of a trial.

    Attributes:
        name: Short name.
        load: Offered load as a fraction of the capacity.
        flood_load: Additional load of client account `e`, as a fraction of the capacity.
        crash_every_ms: Period of a request that crashes its engine; 0 for none.
        versions: Manifests and the times in ms at which they come into force.
        prepare: Function that changes the targets before the trial.
    """

    name: str
    load: float
    versions: tuple[tuple[int, manifest.Manifest], ...]
    flood_load: float = 0.0
    crash_every_ms: int = 0
    prepare: Callable[[dict[str, Any]], None] = _change_nothing

    def calls(self, rng: random.Random, duration_ms: int) -> Iterator[tuple[int, Call]]:
        """Yields the calls with their arrival times in ms; arrivals form a Poisson process."""
        names = list(ACCOUNTS)
        fractions = [fraction for _, fraction in ACCOUNTS.values()]
        for at_ms in _arrival_times(rng, self.load * capacity_per_s(), duration_ms):
            yield at_ms, _random_call(rng, rng.choices(names, fractions)[0])
        if self.flood_load:
            for at_ms in _arrival_times(rng, self.flood_load * capacity_per_s(), duration_ms):
                yield at_ms, _random_call(rng, "e")
        if self.crash_every_ms:
            for at_ms in range(1_000, duration_ms, self.crash_every_ms):
                yield at_ms, Call("d", SHORT, (20.0, SHORT_MS), b"crash", crashes=True)


def _arrival_times(rng: random.Random, rate_per_s: float, duration_ms: int) -> Iterator[int]:
    at_ms = 0.0
    while (at_ms := at_ms + rng.expovariate(rate_per_s / 1_000)) < duration_ms:
        yield int(at_ms)


def _random_call(rng: random.Random, account: str) -> Call:
    long = rng.random() < LONG_FRACTION
    # A log-normal factor with mean 1 and a standard deviation of about 0.4.
    factor = rng.lognormvariate(-0.08, 0.4)
    mean_ms = LONG_MS if long else SHORT_MS
    fingerprint = rng.getrandbits(64).to_bytes(8, "big")
    return Call(account, LONG if long else SHORT, (20.0, mean_ms * factor), fingerprint)


def build(number: int = 1, zones_out: tuple[str, ...] = ()) -> manifest.Manifest:
    """Returns the manifest of one entry host, an encoder pool and an engine pool."""
    return manifest.Manifest(
        version=number,
        zones=tuple(manifest.Zone(name, "r", name not in zones_out) for name in ZONES),
        hosts=(manifest.Host("h0", "z0", "", ""),),
        accounts=tuple(
            manifest.Account(name, (), "", "", weight=weight)
            for name, (weight, _) in ACCOUNTS.items()
        ),
        models=(),
        pools=(
            _pool("encoder", manifest.PoolKind.SERVICE, 6, 32, 8),
            _pool(
                "engine", manifest.PoolKind.ENGINE, ENGINES, ENGINE_CAPACITY, ENGINE_CAPACITY_COLD
            ),
        ),
        pipelines=(SHORT, LONG),
    )


def _pool(name: str, kind: manifest.PoolKind, count: int, warm: int, cold: int) -> manifest.Pool:
    targets = tuple(
        manifest.Target(f"{name}-{index}", "", ZONES[index % len(ZONES)]) for index in range(count)
    )
    return manifest.Pool(name, kind, "a", targets, warm, cold)


def _slow_first_engine(targets: dict[str, ModelledTarget]) -> None:
    targets["engine-0"].slow_factor = 5.0


def _make_half_cold(targets: dict[str, ModelledTarget]) -> None:
    for index in range(ENGINES // 2):
        targets[f"engine-{index}"].cold_until_ms = 15_000


def scenarios() -> tuple[Scenario, ...]:
    """Returns all scenarios."""
    steady = ((0, build()),)
    outage = ((0, build()), (10_000, build(2, ("z0",))), (20_000, build(3)))
    return (
        *(Scenario(f"load-{int(load * 100)}", load, steady) for load in (0.5, 0.8, 1.0, 1.5, 2.0)),
        Scenario("flood", 0.6, steady, flood_load=2.0),
        Scenario("slow-target", 0.7, steady, prepare=_slow_first_engine),
        Scenario("half-cold", 0.7, steady, prepare=_make_half_cold),
        Scenario("zone-out-and-back", 0.6, outage),
        Scenario("crashing-request", 0.6, steady, crash_every_ms=500),
    )


def subset_times() -> dict[str, float]:
    """Measures the time to rank 1,000 hosts for 12,000 targets, in milliseconds."""
    hosts, targets = range(1_000), range(12_000)
    result: dict[str, float] = {}
    index = subset.SubsetIndex()
    steps = {
        "full_ms": _design_size_manifest(hosts, targets),
        "one_host_leaves_ms": _design_size_manifest(range(1, 1_000), targets),
        "one_host_joins_ms": _design_size_manifest(hosts, targets),
        "no_change_ms": _design_size_manifest(hosts, targets),
    }
    for name, version in steps.items():
        started_s = time.perf_counter()
        index.configure(version)
        result[name] = round((time.perf_counter() - started_s) * 1_000, 1)
    started_s = time.perf_counter()
    result["targets_of_one_host"] = len(index.targets_of("h5"))
    result["targets_of_ms"] = round((time.perf_counter() - started_s) * 1_000, 1)
    return result


def _design_size_manifest(hosts: range, targets: range) -> manifest.Manifest:
    zones = [f"z{index}" for index in range(14)]
    return manifest.Manifest(
        version=1,
        zones=tuple(manifest.Zone(name, f"r{index % 4}") for index, name in enumerate(zones)),
        hosts=tuple(manifest.Host(f"h{n}", zones[n % len(zones)], "", "") for n in hosts),
        accounts=(),
        models=(),
        pools=tuple(
            manifest.Pool(
                f"p{pool}",
                manifest.PoolKind.ENGINE,
                "a",
                tuple(
                    manifest.Target(f"t{n}", "", zones[n // 10 % len(zones)])
                    for n in targets
                    if n % 10 == pool
                ),
                16,
                2,
            )
            for pool in range(10)
        ),
        pipelines=(),
    )
