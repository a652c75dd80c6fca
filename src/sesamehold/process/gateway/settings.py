"""Settings of a gateway process and the figures that its operator holds it to."""

from __future__ import annotations

import attrs

from sesamehold.process import listening


@attrs.frozen
class FleetBounds:
    """Figures that the operator sets for the whole fleet.

    Attributes:
        grace_ms: Time between SIGTERM and the kill.
        contact_ms: Undisturbed time after which a host is held to the other figures.
        retry_ratio: Repeated sends to a service per request for it, over all hosts.
        retry_window_ms: Window over which repeated sends are summed.
        retry_extra: Repeated sends of a window that need no requests, over all hosts.
    """

    grace_ms: int = 8_000
    contact_ms: int = 3_000
    retry_ratio: float = 0.1
    retry_window_ms: int = 10_000
    retry_extra: int = 10


@attrs.frozen
class GatewaySettings:
    """Settings of one gateway process.

    Attributes:
        host_id: Name of this host in logs.
        zone: Availability zone of this host.
        ingress_address: Listens for callers.
        readiness_address: Answers the balancer whether this host wants new connections.
        peer_address: Listens for other hosts, TCP and UDP.
        metrics_address: Serves metrics and the state dump.
        store_address: Configuration store.
        seeds: Peer addresses of some hosts, which may be stale or down.
        core_count: Processor time that this host has, in cores.
        bounds: Figures for the whole fleet.
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
    bounds: FleetBounds = FleetBounds()


@attrs.frozen
class SettingsFault:
    """A settings file that cannot be used; `path` names the field."""

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"
