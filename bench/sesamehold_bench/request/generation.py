"""One generation that runs on the stand-in engine."""

from __future__ import annotations

import hashlib

import attrs


@attrs.define
class Generation:
    """Produces a deterministic token sequence for a prompt.

    Two engines give the same tokens for the same prompt, so that a resumed stream can be compared
    with an uninterrupted one.

    Attributes:
        attempt: Encoded attempt id.
        prompt: Prompt text.
        max_tokens: Number of tokens to produce.
        priority: Larger is more urgent.
        next_index: Index of the next token.
    """

    attempt: str
    prompt: str
    max_tokens: int
    priority: int
    next_index: int = 0
    produced: int = 0

    @property
    def finished(self) -> bool:
        """Returns whether all tokens were produced."""
        return self.next_index >= self.max_tokens

    def next_token(self) -> str:
        """Produces the next token."""
        token = token_at(self.prompt, self.next_index)
        self.next_index += 1
        self.produced += 1
        return token


def token_at(prompt: str, index: int) -> str:
    """Returns the token of a prompt at an index."""
    digest = hashlib.blake2b(f"{prompt}:{index}".encode(), digest_size=3).hexdigest()
    return f"{digest} "


def full_text(prompt: str, max_tokens: int) -> str:
    """Returns the whole answer of an uninterrupted generation."""
    return "".join(token_at(prompt, index) for index in range(max_tokens))
