"""Index of the targets that probably have a prompt prefix in their cache."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import attrs

MAX_PREFIXES = 20_000
MAX_TARGETS_PER_PREFIX = 4


@attrs.define
class PrefixIndex:
    """Bounded LRU map from prefix hashes to targets.

    The entries are hints: engines evict prefixes without notice, and the cached units that they
    report are used to correct the index.
    """

    limit: int = MAX_PREFIXES
    _targets: collections.OrderedDict[int, tuple[str, ...]] = attrs.field(
        factory=collections.OrderedDict
    )

    def record(self, hashes: Sequence[int], target_id: str) -> None:
        """Records that the target has processed a prompt with these prefixes."""
        for prefix in hashes:
            others = [item for item in self._targets.get(prefix, ()) if item != target_id]
            self._targets[prefix] = (target_id, *others[: MAX_TARGETS_PER_PREFIX - 1])
            self._targets.move_to_end(prefix)
        while len(self._targets) > self.limit:
            self._targets.popitem(last=False)

    def forget(self, hashes: Sequence[int], target_id: str) -> None:
        """Removes hints that turned out to be wrong for the target."""
        for prefix in hashes:
            rest = tuple(item for item in self._targets.get(prefix, ()) if item != target_id)
            if rest:
                self._targets[prefix] = rest
            else:
                self._targets.pop(prefix, None)

    def holders(self, hashes: Sequence[int]) -> tuple[str, ...]:
        """Returns the targets recorded for the longest known prefix, most recent first."""
        for prefix in reversed(hashes):
            targets = self._targets.get(prefix)
            if targets:
                return targets
        return ()

    def __len__(self) -> int:
        return len(self._targets)
