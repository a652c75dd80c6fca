"""Measures the CPU time that one daemon needs for each relayed token and each request."""

from __future__ import annotations

import asyncio
import io
import os
import pathlib
import pstats
import time
from typing import Any

import aiohttp
import attrs
import uvloop

from sesamehold_bench.process import load
from sesamehold_bench.process import local_fleet
from sesamehold_bench.version import fleet

PROFILE_ROWS = 40
WINDOWS = 5
_US_PER_S = 1_000_000
# Design size: 31 ms between tokens, 11,000 tokens/s and 36 requests/s on one node.
STEP_MS = 31.0
TOKENS_PER_REQUEST = 305
REQUESTS_PER_S = 36.0
# Requests of one token separate the cost of a request from the cost of its tokens.
SHORT_REQUESTS_PER_S = 100.0

DEPLOYMENT = fleet.Deployment(
    name="relay",
    zones=("zone-a",),
    host_count=1,
    engine_count=4,
    engine_capacity=400,
    engine_capacity_cold=2,
    services=tuple(
        attrs.evolve(pool, target_count=1, capacity=400) for pool in fleet.ASSOCIATION.services
    ),
    accounts=(("relay", 1.0),),
    max_tokens=TOKENS_PER_REQUEST,
    engine_step_base_ms=STEP_MS,
    engine_step_per_request_ms=0.0,
)


@attrs.frozen
class Window:
    """CPU time and work of one measured window.

    Attributes:
        duration_s: Wall-clock time.
        user_s: CPU time of the daemon in user mode.
        system_s: CPU time of the daemon in kernel mode.
        tokens: Tokens that the engines produced.
        requests: Requests that the engines accepted.
    """

    duration_s: float
    user_s: float
    system_s: float
    tokens: int
    requests: int

    @property
    def cpu_s(self) -> float:
        """Returns the CPU time of the daemon in user and kernel mode."""
        return self.user_s + self.system_s

    def rates(self) -> dict[str, float]:
        """Returns token and request rates and the used fraction of one core."""
        return {
            "tokens_per_s": round(self.tokens / self.duration_s, 1),
            "requests_per_s": round(self.requests / self.duration_s, 2),
            "core_fraction": round(self.cpu_s / self.duration_s, 4),
            "kernel_fraction_of_cpu": round(self.system_s / self.cpu_s, 3),
        }


def process_times_s(pid: int) -> tuple[float, float]:
    """Returns the CPU time of a process in user mode and in kernel mode, from /proc."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    return int(fields[11]) / ticks_per_s, int(fields[12]) / ticks_per_s


async def measure(
    deployment: fleet.Deployment,
    rate_per_s: float,
    ramp_s: float,
    window_s: float,
    profile_path: pathlib.Path | None = None,
) -> Window:
    """Loads one daemon at a steady rate and measures windows after the ramp-up.

    Other processes on the machine distort single windows, so the window with the median CPU time
    per token is returned.

    Args:
        deployment: Fleet with one host.
        rate_per_s: Streaming requests each second.
        ramp_s: Time until the number of streams is steady.
        window_s: Duration of each of the `WINDOWS` windows.
        profile_path: File for the daemon's profile; profiling adds overhead to the measurement.
    """
    async with aiohttp.ClientSession() as session:
        running = local_fleet.LocalFleet.from_config(deployment, session)
        if profile_path is not None:
            running.host_launcher = ("-m", "cProfile", "-o", str(profile_path))
        try:
            await running.start()
            windows, _ = await asyncio.gather(
                _measure_windows(running, ramp_s, window_s),
                _apply_load(running, rate_per_s, ramp_s + WINDOWS * window_s),
            )
            return sorted(windows, key=lambda item: item.cpu_s / item.tokens)[WINDOWS // 2]
        finally:
            await running.stop()


async def _apply_load(
    running: local_fleet.LocalFleet, rate_per_s: float, duration_s: float
) -> None:
    config = load.LoadConfig(
        seed=1,
        phases=(load.Phase(duration_s, rate_per_s),),
        pipelines=(("summary", 1.0),),
        accounts=running.deployment.accounts,
        stream_fraction=1.0,
        deadline_ms=60_000,
    )
    requests = load.plan(config, running.version, 0)
    outcomes = await load.run(requests, [running.addresses.hosts[0][0]])
    wrong = [outcome for outcome in outcomes if outcome.kind != "answered" or outcome.faults]
    if wrong:
        raise RuntimeError(f"{len(wrong)} of {len(outcomes)} answers are wrong: {wrong[0]}")


async def _measure_windows(
    running: local_fleet.LocalFleet, ramp_s: float, window_s: float
) -> list[Window]:
    await asyncio.sleep(ramp_s)
    return [await _measure_window(running, window_s) for _ in range(WINDOWS)]


async def _measure_window(running: local_fleet.LocalFleet, window_s: float) -> Window:
    pid = running.children["host-0"].process.pid
    tokens, requests = await _engine_counters(running)
    started_s, (user_s, system_s) = time.monotonic(), process_times_s(pid)
    await asyncio.sleep(window_s)
    ended_s, (user_end_s, system_end_s) = time.monotonic(), process_times_s(pid)
    tokens_end, requests_end = await _engine_counters(running)
    return Window(
        duration_s=ended_s - started_s,
        user_s=user_end_s - user_s,
        system_s=system_end_s - system_s,
        tokens=tokens_end - tokens,
        requests=requests_end - requests,
    )


async def _engine_counters(running: local_fleet.LocalFleet) -> tuple[int, int]:
    documents = [
        await running.target_counters(target) for target in running.targets_of("language-model")
    ]
    return sum(item["tokens"] for item in documents), sum(item["accepted"] for item in documents)


async def run(window_s: float) -> dict[str, Any]:
    """Measures the CPU cost of a token and of a request at the design size."""
    short = await measure(
        attrs.evolve(DEPLOYMENT, max_tokens=1, engine_step_base_ms=2.0),
        SHORT_REQUESTS_PER_S,
        ramp_s=1.0,
        window_s=window_s,
    )
    stream_s = TOKENS_PER_REQUEST * STEP_MS / 1_000
    full = await measure(DEPLOYMENT, REQUESTS_PER_S, ramp_s=stream_s + 1.0, window_s=window_s)
    request_us = short.cpu_s / short.requests * _US_PER_S
    token_us = (full.cpu_s * _US_PER_S - full.requests * request_us) / full.tokens
    return {
        "command": "sesamehold-bench relay",
        "request_us": round(request_us, 1),
        "token_us": round(token_us, 2),
        "token_us_all_included": round(full.cpu_s / full.tokens * _US_PER_S, 2),
        "at_size": full.rates(),
        "requests_of_one_token": short.rates(),
        "windows": WINDOWS,
        "window_s": window_s,
        "load_average": round(os.getloadavg()[0], 1),
    }


def profile(path: pathlib.Path, window_s: float) -> str:
    """Runs the daemon under cProfile; returns the functions with the highest own time."""
    uvloop.run(measure(DEPLOYMENT, REQUESTS_PER_S, 3.0, window_s, profile_path=path))
    text = io.StringIO()
    pstats.Stats(str(path), stream=text).sort_stats("tottime").print_stats(PROFILE_ROWS)
    return text.getvalue()
