"""Open requests of this process and their admission."""

from __future__ import annotations

import collections
import random
from typing import Protocol

import attrs

from sesamehold.process import clock as clocks
from sesamehold.request import ids
from sesamehold.version import rendezvous


class OpenRequest(Protocol):
    """Interface of a running request to the registry of its process."""

    @property
    def account(self) -> str:
        """Client account that caused the request."""

    def cancel(self) -> None:
        """Cancels the request on behalf of its caller."""


# Random bits of a UUIDv7; the tag of the host overwrites 16 of them.
_RANDOM_BITS = 74
_TAG_BITS = 16
_TAG_DIGITS = 4


def origin_tag(host_id: str) -> str:
    """Returns the last four hexadecimal digits of all request ids that a host generates.

    >>> len(origin_tag("host-0"))
    4
    """
    return f"{rendezvous.weight('request-origin', host_id) % (1 << _TAG_BITS):04x}"


def may_be_issued_by(request_id: str, host_id: str) -> bool:
    """Returns whether a host may have generated a request id; hosts rarely share a tag."""
    return request_id[-_TAG_DIGITS:] == origin_tag(host_id)


@attrs.define
class RequestRegistry:
    """Open requests by id; each entry is removed when its request ends.

    Attributes:
        clock: Source of time.
        rng: Source of the random part of request ids.
        host_id: Id of this host.
        draining: True once a graceful shutdown has begun; requests are still admitted.
        closed: True once no more requests are admitted.
    """

    clock: clocks.Clock
    rng: random.Random
    host_id: str
    draining: bool = False
    closed: bool = False
    _open: dict[str, OpenRequest] = attrs.field(factory=dict)

    def new_id(self) -> str:
        """Generates a request id: a UUIDv7, so that it can be used as an idempotency key.

        It ends with the tag of this host, so that its explanation can be fetched without querying
        all hosts.
        """
        request_id = ids.uuid7(self.clock.wall_ms(), self.rng.getrandbits(_RANDOM_BITS))
        return request_id[:-_TAG_DIGITS] + origin_tag(self.host_id)

    def add(self, request_id: str, request: OpenRequest) -> None:
        """Adds a request that has started."""
        self._open[request_id] = request

    def remove(self, request_id: str) -> None:
        """Removes a request that has ended."""
        self._open.pop(request_id, None)

    def open_by_account(self) -> dict[str, int]:
        """Returns the number of open requests of each client account."""
        return dict(collections.Counter(request.account for request in self._open.values()))

    def find(self, request_id: str) -> OpenRequest | None:
        """Returns an open request, None if there is none with this id."""
        return self._open.get(request_id)

    def __len__(self) -> int:
        return len(self._open)
