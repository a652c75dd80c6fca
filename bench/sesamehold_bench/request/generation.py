"""A generation on the stand-in engine."""

from __future__ import annotations

import asyncio
import enum
import hashlib

import attrs


class End(enum.Enum):
    """Why a generation produces no more tokens."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    BROKEN = "broken"


@attrs.define(eq=False)
class Generation:
    """Produces a deterministic token sequence for a prompt.

    All engines produce the same tokens for the same prompt, so that a resumed stream can be
    compared with an uninterrupted one.

    Attributes:
        attempt: Encoded attempt ID.
        prompt: Prompt text.
        max_tokens: Number of tokens to produce.
        priority: Larger values are more urgent.
        next_index: Index of the next token.
        cached_units: Prompt units found in the prefix cache.
        ready_s: Loop time at which prompt processing completes.
        produced: Number of tokens produced by this attempt.
        end: Why the generation ended, None while it waits or runs.
    """

    attempt: str
    prompt: str
    max_tokens: int
    priority: int = 0
    next_index: int = 0
    cached_units: int = 0
    ready_s: float = 0.0
    produced: int = 0
    end: End | None = None
    _unread: list[tuple[int, str]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def produce(self) -> None:
        """Produces the next token."""
        self._unread.append((self.next_index, token_at(self.prompt, self.next_index)))
        self.next_index += 1
        self.produced += 1
        if self.next_index >= self.max_tokens:
            self.end = End.FINISHED
        self._changed.set()

    def stop(self, end: End) -> None:
        """Ends the generation early."""
        if self.end is None:
            self.end = end
        self._changed.set()

    async def read_tokens(self) -> list[tuple[int, str]]:
        """Waits for unread tokens and returns them; returns an empty list after the end."""
        while not self._unread and self.end is None:
            self._changed.clear()
            await self._changed.wait()
        tokens, self._unread = self._unread, []
        return tokens


def token_at(prompt: str, index: int) -> str:
    """Returns the token of a prompt at an index."""
    digest = hashlib.blake2b(f"{prompt}:{index}".encode(), digest_size=3).hexdigest()
    return f"{digest} "


def full_text(prompt: str, max_tokens: int) -> str:
    """Returns the complete text of an uninterrupted generation."""
    return "".join(token_at(prompt, index) for index in range(max_tokens))
