"""Settings of a gateway process, including the operator's limits for the whole fleet."""

from __future__ import annotations

import attrs

from sesamehold.process import listening


@attrs.frozen
class FleetBounds:
    """Limits that the operator sets for the whole fleet.

    Attributes:
        grace_ms: Time between SIGTERM and SIGKILL.
        contact_ms: Time without disturbance after which the operator's other limits apply to a
            host.
        change_ms: Time within which a change of the configuration or of a target is in effect.
        retry_ratio: Retries to a service per request for it, over all hosts.
        retry_window_ms: Length of the sliding window over which retries are counted.
        retry_extra: Retries per window that are allowed regardless of the number of requests, over
            all hosts.
    """

    grace_ms: int = 8_000
    contact_ms: int = 3_000
    change_ms: int = 2_000
    retry_ratio: float = 0.1
    retry_window_ms: int = 10_000
    retry_extra: int = 10


@attrs.frozen
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
        host_id: Name of this host in logs.
        zone: Availability zone of this host.
        ingress_address: Address that serves callers.
        readiness_address: Address that serves the load balancer's readiness checks.
        peer_address: Address that serves other hosts, over TCP and UDP.
        metrics_address: Address that serves metrics.
        store_address: Address of the configuration store.
        seeds: Peer addresses of some hosts, which may be outdated or down.
        core_count: Processor capacity of this host in cores.
        memory_bytes: Memory over which the process is killed.
        bounds: Limits for the whole fleet.
    """

    host_id: str
    zone: str
    ingress_address: listening.Address
    readiness_address: listening.Address
    peer_address: listening.Address
    metrics_address: listening.Address
    store_address: listening.Address
    seeds: tuple[listening.Address, ...] = ()
    core_count: float = 1.0
    memory_bytes: int = 300_000_000
    bounds: FleetBounds = FleetBounds()


@attrs.frozen
class SettingsFault:
    """Error in a settings file; `path` names the invalid field."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"
