"""Bounded cache of prompt prefixes in the simulated engine."""

from __future__ import annotations

import hashlib

import attrs

BLOCK_CHARACTERS = 16


@attrs.define
class PrefixCache:
    """LRU cache of prompt prefix blocks; one block counts as one unit.

    >>> cache = PrefixCache(limit=8)
    >>> cache.lookup("a" * 40), cache.lookup("a" * 40)
    (0, 2)
    """

    limit: int
    _blocks: dict[bytes, None] = attrs.field(factory=dict)

    def lookup(self, prompt: str) -> int:
        """Returns the number of leading blocks that were cached, and caches all blocks."""
        cached = 0
        counting = True
        for block in _prefix_hashes(prompt):
            counting = counting and block in self._blocks
            cached += counting
            self._blocks.pop(block, None)
            self._blocks[block] = None
        while len(self._blocks) > self.limit:
            del self._blocks[next(iter(self._blocks))]
        return cached

    def clear(self) -> None:
        """Evicts all blocks, as a restart of an engine does."""
        self._blocks.clear()


def block_count(prompt: str) -> int:
    """Returns the number of whole blocks of a prompt."""
    return len(prompt) // BLOCK_CHARACTERS


def _prefix_hashes(prompt: str) -> list[bytes]:
    digest = hashlib.blake2b(digest_size=8)
    hashes = []
    for index in range(block_count(prompt)):
        start = index * BLOCK_CHARACTERS
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.copy().digest())
    return hashes
