"""Builds the prompt of a generation stage and hashes its prefixes."""

from __future__ import annotations

from typing import Any

import xxhash

PREFIX_STEP_CHARACTERS = 256
MAX_PREFIXES = 16


def build(body: dict[str, Any]) -> str:
    r"""Builds the prompt from the request input and the output texts of earlier stages.

    The prompt of the request comes first, so that requests with the same prompt share a prefix in
    the cache of the engine.

    >>> build({"input": {"prompt": "p"}, "outputs": {"a": {"text": "t"}, "b": {"score": 1}}})
    'p\nt'
    """
    request_input = body.get("input")
    prompt = request_input.get("prompt", "") if isinstance(request_input, dict) else ""
    texts = [
        output["text"]
        for output in body.get("outputs", {}).values()
        if isinstance(output, dict) and isinstance(output.get("text"), str)
    ]
    return "\n".join([str(prompt), *texts])


def prefix_hashes(scope: str, text: str) -> tuple[int, ...]:
    """Returns the hashes of prefixes of increasing length, shortest first.

    Args:
        scope: Model and adapter; prefixes of different scopes never match.
        text: The prompt; only its first 4,096 characters are hashed.

    >>> one, two = prefix_hashes("m", "a" * 600)
    >>> prefix_hashes("m", "a" * 512 + "b") == (one, two)
    True
    """
    digest = xxhash.xxh3_64(scope.encode())
    hashes: list[int] = []
    step_count = min(len(text) // PREFIX_STEP_CHARACTERS, MAX_PREFIXES)
    for index in range(step_count):
        start = index * PREFIX_STEP_CHARACTERS
        digest.update(text[start : start + PREFIX_STEP_CHARACTERS].encode(errors="replace"))
        hashes.append(digest.intdigest())
    return tuple(hashes)
