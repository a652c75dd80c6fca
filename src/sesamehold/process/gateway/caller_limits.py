"""Limits on requests and connections of callers that may be in force for some caller."""

from __future__ import annotations

import attrs

from sesamehold.version import routing


@attrs.define
class RecentCallerLimits:
    """The limits of the current configuration and of those it has replaced recently.

    A caller may go by replaced limits until all hosts know the new ones, and for the time that a
    connection may have been idle by then.

    >>> limits = RecentCallerLimits(change_ms=2_000)
    >>> limits.put(routing.IngressLimits(idle_ms=500), 0)
    >>> limits.put(routing.IngressLimits(idle_ms=100), 1_000)
    >>> limits.widest(3_400).idle_ms, limits.widest(3_600).idle_ms
    (500, 100)
    """

    _change_ms: int
    _current: routing.IngressLimits = routing.IngressLimits()
    _is_known: bool = False
    _replaced: list[tuple[int, routing.IngressLimits]] = attrs.field(factory=list)

    def put(self, limits: routing.IngressLimits, now_ms: int) -> None:
        """Sets the limits of the configuration that is in force from now on."""
        if self._is_known and limits != self._current:
            self._replaced.append((now_ms, self._current))
        self._is_known = True
        self._current = limits

    def widest(self, now_ms: int) -> routing.IngressLimits:
        """Returns limits that refuse nothing that any recent limits allow."""
        self._replaced = [
            (replaced_ms, limits)
            for replaced_ms, limits in self._replaced
            if now_ms < replaced_ms + self._change_ms + limits.idle_ms
        ]
        if not self._replaced:
            return self._current
        recent = [self._current, *(limits for _, limits in self._replaced)]
        return routing.IngressLimits(
            header_size_bytes=max(limits.header_size_bytes for limits in recent),
            body_size_bytes=max(limits.body_size_bytes for limits in recent),
            header_ms=max(limits.header_ms for limits in recent),
            idle_ms=max(limits.idle_ms for limits in recent),
        )
