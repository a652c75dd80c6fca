"""Routing table of one accepted configuration: routes, services and client accounts.

The gateway forwards requests according to this table; `manifest.py` defines the pipelines of a
manifest.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs


class RequestKind(enum.Enum):
    """Whether a request may be retried, as declared by the operator."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@attrs.frozen
class Stage:
    """A preprocessing stage that another service runs before the request itself.

    Attributes:
        service: Service whose targets run the stage.
        after: Indexes of the stages whose results are inputs of this stage.
        result_size_bytes: Approximate size of the result of one piece.
    """

    service: str
    after: tuple[int, ...] = ()
    result_size_bytes: int = 0


@attrs.frozen
class ServiceShare:
    """Weight of a service in the traffic split of a route."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """One route.

    Attributes:
        name: Name in logs and metrics.
        host: Host name that requests carry.
        prefix: Path prefix; begins and ends with a slash.
        kind: Whether requests may be retried.
        timeout_ms: Maximum time from arrival to the final answer.
        latency_goal_ms: Latency goal from arrival to the answer, or to the first event of a stream.
        priority: Priority among routes; 0 is the highest.
        services: Services that run the requests, with their weights.
        attempts: Maximum number of targets that may start to run one request.
        stages: Stages to complete before the request runs.
        anonymous: Whether requests are accepted without a key.
        resumable: Whether an interrupted stream may be resumed on another target.
        event_gap_goal_ms: Goal for the longest gap between events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout_ms: int
    latency_goal_ms: int
    priority: int
    services: tuple[ServiceShare, ...]
    attempts: int = 1
    stages: tuple[Stage, ...] = ()
    anonymous: bool = False
    resumable: bool = False
    event_gap_goal_ms: int = 0

    @property
    def repeatable(self) -> bool:
        """Returns whether a request may be run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    def pick_service(self, draw: float) -> str:
        """Selects a service for one request by weight.

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
    """Capacity and timing of the targets of a stage service; all values are per target.

    Attributes:
        slots: Calls processed concurrently.
        queue_limit: Maximum number of queued calls.
        batch_size: Maximum number of pieces in one call.
        call_ms: Fixed overhead of a call, without its pieces.
        piece_ms: Approximate additional time for each piece.
        result_capacity_bytes: Memory for stored results.
        retention_ms: How long a result is kept after its call ends.
    """

    slots: int
    queue_limit: int
    batch_size: int
    call_ms: float
    piece_ms: float
    result_capacity_bytes: int
    retention_ms: int

    def call_time_ms(self, piece_count: int) -> float:
        """Returns the expected duration of a call with `piece_count` pieces.

        >>> StagePool(1, 2, 9, 200.0, 10.0, 1_000, 4_000).call_time_ms(4)
        240.0
        """
        return self.call_ms + piece_count * self.piece_ms

    def work_time_ms(self, piece_count: int) -> float:
        """Returns the time of a target that pieces take in full calls, with their part of them.

        >>> StagePool(1, 2, 10, 200.0, 10.0, 1_000, 4_000).work_time_ms(5)
        150.0
        """
        return piece_count * self.call_time_ms(self.batch_size) / self.batch_size


@attrs.frozen
class EnginePool:
    """Capacity of the model engines of a service; all values are per target.

    Attributes:
        slots: Requests run concurrently.
        cache_tokens: Cache capacity for running requests and cached prompt parts, in tokens.
    """

    slots: int
    cache_tokens: int


@attrs.frozen
class Service:
    """A service and the limits on the use of its targets.

    Attributes:
        name: Name that targets register with.
        connection_limit: Connections that one target accepts in total from all hosts.
        cold_rate_per_s: Requests per second that a cold target can handle; 0 if targets are never
            cold.
        stage_pool: Set if the service runs stages.
        engine: Set if the targets are model engines.
    """

    name: str
    connection_limit: int
    cold_rate_per_s: float = 0.0
    stage_pool: StagePool | None = None
    engine: EnginePool | None = None


@attrs.frozen
class IngressLimits:
    """Size and time limits on requests and connections of callers."""

    header_size_bytes: int = 16_384
    body_size_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@attrs.frozen
class RoutedAccount:
    """A client account with keys; its priority overrides the priority of a route."""

    name: str
    priority: int | None = None


@attrs.frozen(eq=False)
class RoutingTable:
    """One accepted version of routes, services and keys.

    Attributes:
        version: Version number set by the operator; increases monotonically.
        routes_by_host: Routes of each host name, longest prefix first.
        services: Services by name.
        accounts_by_key: Client accounts by key.
        requires_key: Whether routes that are not anonymous need a key.
        limits: Limits on requests and connections of callers.
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
        """Builds the table; `options` holds the remaining attributes."""
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
        """Returns the route with the longest prefix that matches the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
