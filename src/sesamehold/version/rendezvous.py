"""Rendezvous hashing, also known as highest random weight (Thaler and Ravishankar, 1998).

Every host computes the same ranking from the same names. Adding or removing a name reassigns only
the keys that this name gains or loses.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(name: str, key: str) -> int:
    """Returns the 64-bit weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{name}\0{key}".encode())


def ranked(names: Iterable[str], key: str) -> list[str]:
    """Returns the names sorted by descending weight for a key.

    >>> ranked(["a", "b", "c"], "k") == ranked(["c", "a", "b"], "k")
    True
    """
    return sorted(names, key=lambda name: (weight(name, key), name), reverse=True)


def owner(names: Iterable[str], key: str) -> str | None:
    """Returns the name with the highest weight for a key, None if there are no names."""
    return max(names, key=lambda name: (weight(name, key), name), default=None)
