"""Memory of this process for what connections of callers hold besides admitted bodies.

A connection counts what it has received of heads, of bodies that are still being read, and of
requests that wait for the one before them, and of an answer what its caller has not read yet. When
all together exceed the capacity, those that hold most without an admitted request lose it first,
then unread answers, those that have not gone on for a while before others, so that small requests
of others still get through.

An admitted request keeps its head until its answer ends and cannot lose it, so large heads are
admitted only while they leave half of the capacity to others.
"""

from __future__ import annotations

from collections.abc import Callable
import enum

import attrs

# Memory of a process without callers.
_PROCESS_BYTES = 64_000_000
# Smallest part of the memory limit that is taken to be left for callers.
_MIN_SPARE_FRACTION = 0.1
# Parts of the spare memory. The gateway counts its larger bodies in a budget of their own.
GATEWAY_FRACTION = 0.2
DAEMON_FRACTION = 0.3
# Connections that hold less lose it last, after answers that are not read.
SMALL_BYTES = 65_536
# Part of the capacity for what admitted requests keep.
_ADMITTED_FRACTION = 0.5
# What is freed at once when the capacity is exceeded, and what must come before the next search if
# it could not be freed, so that searches are rare.
_FREED_FRACTION = 0.1
_SEARCH_FRACTION = 0.02


class Use(enum.Enum):
    """What a connection holds memory for, which decides when it may lose it."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    STALLED_ANSWER = "stalled-answer"
    UNREAD_ANSWER = "unread-answer"


class Excess(enum.Enum):
    """Why a connection is refused."""

    MALFORMED = "malformed"
    EMPTY_LINES = "empty-lines"
    HEAD = "head-too-large"
    FRAMING = "framing-too-large"
    FRAMING_RATE = "too-much-framing-at-once"
    MEMORY = "out-of-memory"
    UNREAD_ANSWER = "answer-not-read"


@attrs.define(eq=False)
class Holding:
    """What one connection holds.

    Attributes:
        on_shed: Called when the connection loses what it holds; must free it.
        size_bytes: Memory that the connection holds, without its admitted request.
        use: What it holds memory for.
        admitted_bytes: Memory that its admitted request is counted with.
    """

    on_shed: Callable[[], None]
    size_bytes: int = 0
    use: Use = Use.RECEIVED
    admitted_bytes: int = 0

    @property
    def shed_order(self) -> tuple[int, int]:
        """Returns a key that sorts connections by when they lose what they hold."""
        match self.use:
            case Use.STALLED_ANSWER:
                rank = 1
            case Use.UNREAD_ANSWER:
                rank = 2
            case _:
                rank = 3 if self.size_bytes < SMALL_BYTES else 0
        return rank, -self.size_bytes


@attrs.define(eq=False)
class ReceiveBudget:
    """Memory budget of one process for connections of callers.

    Attributes:
        capacity_bytes: Memory for all connections.
        on_excess: Called for each refusal of a connection.
        used_bytes: Memory that connections hold.
        admitted_bytes: Part of it that admitted requests keep.

    >>> budget = ReceiveBudget(capacity_bytes=1_000, on_excess=print)
    >>> large, small = (Holding(lambda name=name: print(name)) for name in ("large", "small"))
    >>> budget.update(large, 900)
    >>> budget.update(small, 200)
    large
    >>> budget.used_bytes
    200
    """

    capacity_bytes: int
    on_excess: Callable[[Excess], None]
    used_bytes: int = 0
    admitted_bytes: int = 0
    _holdings: set[Holding] = attrs.field(factory=set)
    _search_above_bytes: int = 0
    _is_shedding: bool = False

    @classmethod
    def from_memory(
        cls, memory_bytes: int, fraction: float, on_excess: Callable[[Excess], None]
    ) -> ReceiveBudget:
        """Returns the budget of a process without connections."""
        return cls(int(spare_bytes(memory_bytes) * fraction), on_excess)

    def resize(self, memory_bytes: int, fraction: float) -> None:
        """Applies a changed memory limit."""
        self.capacity_bytes = int(spare_bytes(memory_bytes) * fraction)

    def admit(self, holding: Holding, size_bytes: int) -> bool:
        """Counts what a request keeps until its answer ends; returns whether it may be admitted.

        A small request always may, and so may a single large one.

        Args:
            holding: What the connection of the request holds.
            size_bytes: Memory that the request keeps.
        """
        limit_bytes = int(self.capacity_bytes * _ADMITTED_FRACTION)
        # What exceeds the limit by itself must not take the memory of all others.
        size_bytes = min(size_bytes, limit_bytes)
        is_short = self.admitted_bytes > 0 and self.admitted_bytes + size_bytes > limit_bytes
        if is_short and size_bytes > SMALL_BYTES:
            return False
        self._set_admitted(holding, size_bytes)
        return True

    def end_admitted(self, holding: Holding) -> None:
        """Stops to count the admitted request of a connection."""
        self._set_admitted(holding, 0)

    def _set_admitted(self, holding: Holding, size_bytes: int) -> None:
        change_bytes = size_bytes - holding.admitted_bytes
        holding.admitted_bytes = size_bytes
        self.admitted_bytes += change_bytes
        self.used_bytes += change_bytes

    def update(self, holding: Holding, size_bytes: int, use: Use = Use.RECEIVED) -> None:
        """Sets what a connection holds, and sheds connections if it is too much for the process."""
        self.used_bytes += size_bytes - holding.size_bytes
        holding.size_bytes = size_bytes
        holding.use = use
        if size_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        if self.used_bytes <= self.capacity_bytes * (1 - _FREED_FRACTION):
            self._search_above_bytes = self.capacity_bytes
            return
        is_short = self.used_bytes > max(self._search_above_bytes, self.capacity_bytes)
        # A connection that cannot be shed any more counts itself again.
        if is_short and not self._is_shedding:
            self._is_shedding = True
            try:
                self._shed()
            finally:
                self._is_shedding = False

    def _shed(self) -> None:
        wanted_bytes = self.capacity_bytes * (1 - _FREED_FRACTION)
        chosen = []
        left_bytes = self.used_bytes
        for holding in sorted(self._holdings, key=lambda item: item.shed_order):
            if left_bytes <= wanted_bytes:
                break
            if holding.use is not Use.ADMITTED:
                left_bytes -= holding.size_bytes
                chosen.append(holding)
        for holding in chosen:
            # Counted as freed first, as a connection that is shed updates its holding.
            self.used_bytes -= holding.size_bytes
            holding.size_bytes = 0
            self._holdings.discard(holding)
        step_bytes = int(self.capacity_bytes * _SEARCH_FRACTION)
        self._search_above_bytes = max(self.capacity_bytes, self.used_bytes + step_bytes)
        for holding in chosen:
            holding.on_shed()


def spare_bytes(memory_bytes: int) -> int:
    """Returns what a memory limit leaves for callers.

    >>> spare_bytes(300_000_000), spare_bytes(50_000_000)
    (236000000, 5000000)
    """
    return max(memory_bytes - _PROCESS_BYTES, int(memory_bytes * _MIN_SPARE_FRACTION))
