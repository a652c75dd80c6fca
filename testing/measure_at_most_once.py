"""Counts double executions of the claim protocol and of two baselines over seeded schedules.

`PYTHONPATH=src:testing python -m measure_at_most_once --runs 20000 --output FILE` writes the
figures. All three see the same kinds of steps; a schedule is a seed and a number of steps.
"""

from __future__ import annotations

import json
import pathlib
import random
from typing import Any

import claim_world
import cyclopts

STEPS_PER_RUN = 150
VARIANTS: dict[str, claim_world.Coordination] = {
    "majority-claim": claim_world.WitnessClaims(),
    "fixed-owner-by-hash": claim_world.FixedOwner(),
    "no-claim": claim_world.NoClaim(),
}


def measure(coordination: claim_world.Coordination, runs: int) -> dict[str, Any]:
    """Returns the counts of one variant over the seeds from 0 to `runs` - 1."""
    keys = double = 0
    replies: dict[str, int] = {}
    for seed in range(runs):
        rng = random.Random(seed)
        world = claim_world.World(coordination=coordination, strict=False)
        for _ in range(STEPS_PER_RUN):
            world.apply(claim_world.random_step(rng))
        keys += len(world.executions)
        double += sum(count > 1 for count in world.executions.values())
        for label, count in world.replies.items():
            replies[label] = replies.get(label, 0) + count
    return {"keys_executed": keys, "keys_executed_twice_or_more": double, "replies": replies}


def main(*, runs: int, output: pathlib.Path) -> None:
    """Runs all variants and writes the figures.

    Args:
        runs: Schedules for each variant.
        output: JSON file.
    """
    figures = {name: measure(coordination, runs) for name, coordination in VARIANTS.items()}
    document = {
        "command": f"python -m measure_at_most_once --runs {runs}",
        "schedules": runs,
        "steps_per_schedule": STEPS_PER_RUN,
        "variants": figures,
    }
    output.write_text(json.dumps(document, indent=2, sort_keys=True) + "\n")


if __name__ == "__main__":
    cyclopts.run(main)
