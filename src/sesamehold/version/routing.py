"""Routing table of one accepted configuration: routes, services and client accounts.

The gateway forwards requests by this table; pipelines of a manifest are described in
`manifest.py`.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs


class RequestKind(enum.Enum):
    """What may be repeated of a request, as the operator declares it."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Stage:
    """Work that is done by another service before a request can run.

    Attributes:
        service: Service whose targets do the work.
        after: Indexes of the stages whose results it needs.
        result_size_bytes: Approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_size_bytes: int = 0


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that one service gets."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One route.

    Attributes:
        name: Name in logs and metrics.
        host: Host name that requests carry.
        prefix: Beginning of the paths; begins and ends with a slash.
        kind: What may be repeated.
        timeout_ms: Longest time from arrival to the final answer.
        aim_ms: Time from arrival to the answer, or to the first event of a stream, that is
            wanted.
        priority: Rank among routes; 0 is the most urgent.
        services: Services that run the requests, with their weights.
        attempts: Largest number of targets that may begin to run one request.
        stages: Work to be done before the request runs.
        anonymous: Whether requests need no key.
        resumable: Whether a stream may go on at another target.
        gap_aim_ms: Longest wanted pause between events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    aim_ms: int
    priority: int
    services: tuple[ServiceShare, ...]
    attempts: int = 1
    stages: tuple[Stage, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: int = 0

    @property
    def repeatable(self) -> bool:
        """Returns whether a request may run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def pick_service(self, draw: float) -> str:
        """Returns the service for one request.

        Args:
            draw: Random number in [0, 1).
        """
        total = sum(share.weight for share in self.services)
        point = draw * total
        for share in self.services:
            point -= share.weight
            if point < 0:
                return share.service
        return self.services[-1].service


@attrs.frozen
class StagePool:
    """How the targets of a stage service work; each value applies to one target.

    Attributes:
        slots: Calls that are worked on at the same time.
        queue_limit: Calls that may wait.
        batch_size: Most pieces of one call.
        call_ms: Time of a call without its pieces.
        piece_ms: Approximate additional time for each piece.
        room_bytes: Memory for results.
        retention_ms: Time after the end of a call for which a result is kept.
    """

    slots: int
    queue_limit: int
    batch_size: int
    call_ms: float
    piece_ms: float
    room_bytes: int
    retention_ms: int

    def call_time_ms(self, piece_count: int) -> float:
        """Returns the expected time of a call with `piece_count` pieces.

        >>> StagePool(1, 2, 9, 200.0, 10.0, 1_000, 4_000).call_time_ms(4)
        240.0
        """
        return self.call_ms + piece_count * self.piece_ms


@attrs.frozen
class EnginePool:
    """How the model engines of a service work; each value applies to one target.

    Attributes:
        slots: Requests that run at the same time.
        cache_tokens: Memory for running requests and cached prompt parts, in tokens.
    """

    slots: int
    cache_tokens: int


@attrs.frozen
class Service:
    """A service and how its targets are used.

    Attributes:
        name: Name that targets register with.
        connection_limit: Connections that one target accepts from all hosts together.
        cold_rate_per_s: Requests a second that a cold target bears; 0 if it is never cold.
        stage_pool: Set if the service does stages.
        engine: Set if the targets are model engines.
    """

    name: str
    connection_limit: int
    cold_rate_per_s: float = 0.0
    stage_pool: StagePool | None = None
    engine: EnginePool | None = None


@attrs.frozen
class IngressLimits:
    """What callers may send, and how long a connection may be idle."""

    header_size_bytes: int = 16_384
    body_size_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen
class RoutedAccount:
    """A client account that holds keys; its priority goes before that of a route."""

    name: str
    priority: int | None = None


@attrs.frozen(eq=False)
class RoutingTable:
    """One accepted version of routes, services and keys.

    Attributes:
        version: Version number of the operator; grows.
        routes_by_host: Routes of each host name, longest prefix first.
        services: Services by name.
        accounts_by_key: Client account of each key.
        requires_key: Whether routes that are not anonymous need a key.
        limits: Limits of callers.
    """

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    accounts_by_key: dict[str, RoutedAccount]
    requires_key: bool
    limits: IngressLimits = IngressLimits()

    @classmethod
    def from_parts(
        cls,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        accounts_by_key: dict[str, RoutedAccount],
        **options: Any,
    ) -> RoutingTable:
        """Builds the table; `options` are the remaining attributes."""
        by_host: dict[str, list[Route]] = {}
        for route in routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(items, key=lambda route: -len(route.prefix)))
            for host, items in by_host.items()
        }
        by_name = {service.name: service for service in services}
        return cls(version, ordered, by_name, accounts_by_key, **options)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
