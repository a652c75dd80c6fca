"""Counts duplicate executions under the claim protocol and two baselines.

`PYTHONPATH=src:testing python -m measure_at_most_once --runs 20000 --output FILE` writes the
results. All three variants draw from the same kinds of steps; a schedule is determined by its seed
and number of steps.
"""

from __future__ import annotations

import json
import pathlib
import random
from typing import Any

import claim_simulation
import cyclopts

STEPS_PER_RUN = 150
VARIANTS: dict[str, claim_simulation.Coordination] = {
    "majority-claim": claim_simulation.WitnessClaims(),
    "fixed-owner-by-hash": claim_simulation.FixedOwner(),
    "no-claim": claim_simulation.NoClaim(),
}


def measure(coordination: claim_simulation.Coordination, runs: int) -> dict[str, Any]:
    """Runs one variant with the seeds 0 to `runs` - 1 and returns its counts."""
    keys = duplicates = 0
    replies: dict[str, int] = {}
    for seed in range(runs):
        rng = random.Random(seed)
        world = claim_simulation.ClaimSimulation(coordination=coordination, strict=False)
        for _ in range(STEPS_PER_RUN):
            world.apply(claim_simulation.random_step(rng))
        keys += len(world.executions)
        duplicates += sum(count > 1 for count in world.executions.values())
        for label, count in world.replies.items():
            replies[label] = replies.get(label, 0) + count
    return {"keys_executed": keys, "keys_executed_twice_or_more": duplicates, "replies": replies}


def main(*, runs: int, output: pathlib.Path) -> None:
    """Runs all variants and writes the results as JSON.

    Args:
        runs: Number of schedules per variant.
        output: Path of the JSON file to write.
    """
    results = {name: measure(coordination, runs) for name, coordination in VARIANTS.items()}
    document = {
        "command": f"python -m measure_at_most_once --runs {runs}",
        "schedules": runs,
        "steps_per_schedule": STEPS_PER_RUN,
        "variants": results,
    }
    output.write_text(json.dumps(document, indent=2, sort_keys=True) + "\n")


if __name__ == "__main__":
    cyclopts.run(main)
