"""Runs the soak: `python -m fault_soak.process.run --seeds 50 --first 1`."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys
import tempfile

import cyclopts
import uvloop

from fault_soak.process import faults
from fault_soak.process import fleet
from fault_soak.request import promises

DURATION_S = 15.0
# Calm time at the end in which hosts have to serve again.
CALM_S = 2 * promises.CONTACT_S + 2.0


async def run_seed(
    seed: int, folder: pathlib.Path, duration_s: float, host_count: int = fleet.HOST_COUNT
) -> promises.Record:
    """Plays one seed and returns what was seen."""
    rng = random.Random(seed)
    soak = fleet.SoakFleet(rng, folder, host_count)
    stalls = asyncio.create_task(faults.record_stalls(soak))
    try:
        await soak.start()
        soak.start_callers()
        await faults.play(soak, rng, duration_s)
        await asyncio.sleep(CALM_S)
    finally:
        stalls.cancel()
        await soak.stop()
    return soak.record


app = cyclopts.App(help="Randomized fault soak of gateway processes.")


@app.default
def main(
    seeds: int = 1,
    first: int = 1,
    duration_s: float = DURATION_S,
    hosts: int = fleet.HOST_COUNT,
) -> None:
    """Plays seeds and prints what broke; logs of a seed that broke a promise are kept."""
    broken = 0
    for seed in range(first, first + seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        record = uvloop.run(run_seed(seed, folder, duration_s, hosts))
        found = promises.violations(record)
        served = sum(item.served for item in record.outcomes)
        statuses = collections.Counter(item.status for item in record.outcomes)
        others = ", ".join(f"{status} {count}" for status, count in statuses.most_common())
        counts = f"{served} of {len(record.outcomes)} served ({others}), {len(found)} broken"
        print(f"seed {seed}: {counts}", flush=True)
        for line in found:
            print(f"  {line}")
        files = {
            "faults": record.faults,
            "broken": found,
            "outcomes": [repr(item) for item in record.outcomes],
            "runs": [repr(item) for item in record.runs],
        }
        for name, lines in files.items():
            (folder / f"{name}.txt").write_text("\n".join(lines), encoding="utf-8")
        if found:
            broken += 1
            print(f"  logs and faults: {folder}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    app()
