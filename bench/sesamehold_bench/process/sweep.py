"""Sweeps of one variable at a time, with a fitted slope and order of growth."""

from __future__ import annotations

from collections.abc import Sequence
import tracemalloc
from typing import Any

import attrs
import numpy as np

from sesamehold_bench.process import relay
from sesamehold_bench.process import stream_state

REQUEST_RATES_PER_S = (20.0, 40.0, 80.0, 120.0)
STREAM_RATES_PER_S = (6.0, 12.0, 18.0, 24.0)
STREAM_COUNTS = (50, 100, 200, 400)
# Shorter answers than in the relay measurement keep the duration of a sweep low.
SWEEP_TOKENS = 100


@attrs.frozen
class Row:
    """One measured point.

    Attributes:
        x: Value of the variable.
        y: Measured value.
    """

    x: float
    y: float


@attrs.frozen
class Fit:
    """Least-squares fits over rows.

    Attributes:
        slope: Change of y for each unit of x.
        intercept: y at x = 0.
        residual: Root mean square of the differences from the line, relative to the mean of y.
        order: Exponent of the fitted power law; 1 is linear growth.
    """

    slope: float
    intercept: float
    residual: float
    order: float


def fit(rows: Sequence[Row]) -> Fit:
    """Fits a line and a power law; needs two rows or more with positive values.

    >>> found = fit([Row(1, 5), Row(2, 7), Row(4, 11)])
    >>> round(found.slope, 6), round(found.intercept, 6), round(found.residual, 6)
    (2.0, 3.0, 0.0)
    >>> round(fit([Row(1, 3), Row(2, 12), Row(4, 48)]).order, 6)
    2.0
    """
    x = np.array([row.x for row in rows], dtype=float)
    y = np.array([row.y for row in rows], dtype=float)
    slope, intercept = np.polyfit(x, y, 1)
    differences = y - (slope * x + intercept)
    residual = np.sqrt(np.mean(differences**2)) / np.mean(y)
    order, _ = np.polyfit(np.log(x), np.log(y), 1)
    return Fit(float(slope), float(intercept), float(residual), float(order))


async def requests_per_s(window_s: float) -> list[Row]:
    """Measures the used fraction of a core by rate of one-token requests."""
    deployment = attrs.evolve(relay.DEPLOYMENT, max_tokens=1, engine_step_base_ms=2.0)
    windows = [
        await relay.measure(deployment, rate, ramp_s=1.0, window_s=window_s)
        for rate in REQUEST_RATES_PER_S
    ]
    return [Row(item.requests / item.duration_s, item.cpu_s / item.duration_s) for item in windows]


async def tokens_per_s(window_s: float) -> list[Row]:
    """Measures the used fraction of a core by rate of streamed tokens."""
    deployment = attrs.evolve(relay.DEPLOYMENT, max_tokens=SWEEP_TOKENS)
    ramp_s = SWEEP_TOKENS * relay.STEP_MS / 1_000 + 1.0
    windows = [
        await relay.measure(deployment, rate, ramp_s=ramp_s, window_s=window_s)
        for rate in STREAM_RATES_PER_S
    ]
    return [Row(item.tokens / item.duration_s, item.cpu_s / item.duration_s) for item in windows]


async def live_streams() -> list[Row]:
    """Measures the bytes of decision state by number of live streams, without connections."""
    rows = []
    for count in STREAM_COUNTS:
        tracemalloc.start()
        async with stream_state.open_idle_streams(count):
            size_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        rows.append(Row(count, size_bytes))
    return rows


async def run(window_s: float) -> dict[str, Any]:
    """Runs all sweeps; returns rows and fits by variable."""
    # Sequential, because each sweep uses the whole machine.
    found = {
        "live_streams": ("bytes", await live_streams()),
        "requests_per_s": ("fraction of a core", await requests_per_s(window_s)),
        "tokens_per_s": ("fraction of a core", await tokens_per_s(window_s)),
    }
    return {
        name: {
            "unit": unit,
            "rows": [attrs.asdict(row) for row in rows],
            "fit": attrs.asdict(fit(rows)),
        }
        for name, (unit, rows) in found.items()
    }
