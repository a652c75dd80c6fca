"""Prompt of a generation stage."""

from __future__ import annotations

from typing import Any


def build(body: dict[str, Any]) -> str:
    r"""Returns the prompt from the request input and the texts of earlier stages.

    The request's own prompt goes first, so that requests with the same prompt share a prefix in the
    engine's cache.

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
