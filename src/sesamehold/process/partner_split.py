"""Splits integer cost among the partners of an account without loss or accumulated bias."""

from __future__ import annotations

from collections.abc import Sequence
import math

import attrs

from sesamehold.version import manifest


@attrs.define
class PartnerSplit:
    """Splits the costs of one cell of the cost table.

    The rounding error of each partner is carried over to the next cost, so the total of a partner
    stays within a few millionths of its exact share.

    >>> halves = (manifest.PartnerShare("a", 0.5), manifest.PartnerShare("b", 0.5))
    >>> split = PartnerSplit()
    >>> split.split(1, halves), split.split(1, halves)
    ({'a': 1, 'b': 0}, {'a': 0, 'b': 1})
    """

    _owed: dict[str, float] = attrs.field(factory=dict)

    def split(self, cost: int, shares: Sequence[manifest.PartnerShare]) -> dict[str, int]:
        """Returns the part of each partner; the parts add up to the cost and are never negative."""
        for share in shares:
            owed = self._owed.get(share.partner, 0.0)
            self._owed[share.partner] = owed + cost * share.fraction
        order = sorted(
            (share.partner for share in shares), key=lambda name: self._owed[name], reverse=True
        )
        parts: dict[str, int] = {}
        left = cost
        for name in order:
            parts[name] = min(max(0, math.floor(self._owed[name])), left)
            left -= parts[name]
        # Rounding down leaves at most one unit for each partner.
        while left > 0:
            name = max(order, key=lambda item: self._owed[item] - parts[item])
            parts[name] += 1
            left -= 1
        for name, part in parts.items():
            self._owed[name] -= part
        return {share.partner: parts[share.partner] for share in shares}
