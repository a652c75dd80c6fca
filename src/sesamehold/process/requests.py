"""Open requests of this process and their admission."""

from __future__ import annotations

import collections
import random
from typing import Protocol

import attrs

from sesamehold.process import clock as clocks
from sesamehold.request import ids


class OpenRequest(Protocol):
    """A running request, as far as its process needs to know it."""

    @property
    def account(self) -> str:
        """Client account that caused the request."""

    def cancel(self) -> None:
        """Cancels the request on behalf of its caller."""


@attrs.define
class RequestRegistry:
    """Open requests by id; each entry is removed when its request ends."""

    clock: clocks.Clock
    rng: random.Random
    draining: bool = False
    _open: dict[str, OpenRequest] = attrs.field(factory=dict)

    def new_id(self) -> str:
        """Returns a request id: a UUIDv7, so that it can serve as an idempotency key."""
        return ids.uuid7(self.clock.wall_ms(), self.rng.getrandbits(74))

    def add(self, request_id: str, request: OpenRequest) -> None:
        """Adds a request that starts."""
        self._open[request_id] = request

    def remove(self, request_id: str) -> None:
        """Removes a request that has ended."""
        self._open.pop(request_id, None)

    def open_by_account(self) -> dict[str, int]:
        """Returns the number of open requests of each client account."""
        return dict(collections.Counter(request.account for request in self._open.values()))

    def find(self, request_id: str) -> OpenRequest | None:
        """Returns an open request."""
        return self._open.get(request_id)

    def __len__(self) -> int:
        return len(self._open)
