"""Memory of this process for the bodies of requests, which are held until their final answers.

A body reserves its memory before it is read. One that does not fit waits unread on its connection,
which keeps its caller from sending more than the buffers of the connection hold. Small bodies are
counted but never wait, so large ones cannot hold them up.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
import enum

import attrs

from sesamehold.process import receive_budget
from sesamehold.process.gateway import settings

# Fraction of the memory that is left for callers. The rest is for what connections hold before
# admission, for answers and for the fragmentation of the heap.
BODY_FRACTION = 0.5
SMALL_BODY_BYTES = 65_536
# Every waiting body occupies the buffers of its connection.
MAX_WAITING = 32


class Grant(enum.Enum):
    """Result of a request for memory."""

    RESERVED = "reserved"
    WAITING = "waiting"
    REFUSED = "refused"


@attrs.define(eq=False)
class Reservation:
    """Memory of one body.

    Attributes:
        on_granted: Called when memory that the body waited for has been reserved.
        size_bytes: Size that is reserved.
        wanted_bytes: Size that the body needs.
    """

    on_granted: Callable[[], None]
    size_bytes: int = 0
    wanted_bytes: int = 0


@attrs.define(eq=False)
class BodyBudget:
    """Memory budget of one process for bodies.

    Attributes:
        capacity_bytes: Memory for the bodies of all open requests.
        used_bytes: Memory that is reserved.

    >>> budget = BodyBudget(capacity_bytes=1_000_000)
    >>> first, second = (Reservation(on_granted=lambda: print("granted")) for _ in range(2))
    >>> budget.request(first, 900_000).value, budget.request(second, 900_000).value
    ('reserved', 'waiting')
    >>> budget.release(first)
    granted
    """

    capacity_bytes: int
    used_bytes: int = 0
    _waiting: collections.deque[Reservation] = attrs.field(factory=collections.deque)

    @classmethod
    def from_config(cls, config: settings.GatewaySettings) -> BodyBudget:
        """Returns the budget of a process that holds no bodies."""
        return cls(_capacity_bytes(config))

    def reload(self, config: settings.GatewaySettings) -> None:
        """Applies a changed memory limit."""
        self.capacity_bytes = _capacity_bytes(config)
        self._grant_waiting()

    def request(self, reservation: Reservation, size_bytes: int) -> Grant:
        """Raises a reservation to a size, at once or when memory is free.

        Bodies that wait get their memory in the order of their requests, those that have been read
        in part before the others.
        """
        reservation.wanted_bytes = size_bytes
        is_begun = reservation.size_bytes > 0
        if size_bytes <= SMALL_BODY_BYTES:
            self._grant(reservation)
            return Grant.RESERVED
        if (is_begun or not self._waiting) and self._fits(reservation):
            self._grant(reservation)
            return Grant.RESERVED
        if size_bytes > self.capacity_bytes or len(self._waiting) >= MAX_WAITING:
            return Grant.REFUSED
        if is_begun:
            self._waiting.appendleft(reservation)
        else:
            self._waiting.append(reservation)
        return Grant.WAITING

    def release(self, reservation: Reservation) -> None:
        """Ends a reservation, or the wait for it."""
        if reservation in self._waiting:
            self._waiting.remove(reservation)
        self.used_bytes -= reservation.size_bytes
        reservation.size_bytes = 0
        self._grant_waiting()

    def _fits(self, reservation: Reservation) -> bool:
        added_bytes = reservation.wanted_bytes - reservation.size_bytes
        return self.used_bytes + added_bytes <= self.capacity_bytes

    def _grant(self, reservation: Reservation) -> None:
        self.used_bytes += reservation.wanted_bytes - reservation.size_bytes
        reservation.size_bytes = reservation.wanted_bytes

    def _grant_waiting(self) -> None:
        while self._waiting and self._fits(self._waiting[0]):
            reservation = self._waiting.popleft()
            self._grant(reservation)
            reservation.on_granted()


def _capacity_bytes(config: settings.GatewaySettings) -> int:
    return int(receive_budget.spare_bytes(config.memory_bytes) * BODY_FRACTION)
