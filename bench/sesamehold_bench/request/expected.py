"""Expected answers of the stand-ins, computed without calling them."""

from __future__ import annotations

from typing import Any

from sesamehold.request import prompt as prompts
from sesamehold.version import manifest
from sesamehold_bench.request import generation


def outputs(pipeline: manifest.Pipeline, prompt: str) -> dict[str, dict[str, Any]]:
    """Returns the expected output of every stage, by stage name, for a request with this prompt."""
    results: dict[str, dict[str, Any]] = {}
    for stage in pipeline.stages:
        if stage.kind is manifest.StageKind.GENERATE:
            full_prompt = prompts.build({"input": {"prompt": prompt}, "outputs": results})
            results[stage.name] = {"text": generation.full_text(full_prompt, stage.max_tokens)}
        else:
            results[stage.name] = {"text": f"{stage.pool}({prompt})"}
    return results
