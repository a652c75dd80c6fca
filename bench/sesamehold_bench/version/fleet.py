"""Manifests of small fleets that run on loopback addresses."""

from __future__ import annotations

import attrs

from sesamehold.process import credentials
from sesamehold.version import manifest

# All processes of a local fleet share one clock. Witnesses abstain for twice this time after they
# start, so with the default of 2 s all orders would be refused at the start of a run.
CLOCK_SKEW_MS = 50

CREDENTIAL_SALT = "5e5a"


@attrs.frozen
class ServicePool:
    """Size and behaviour of one pool of application services."""

    name: str
    kind: manifest.StageKind
    target_count: int
    capacity: int = 32
    service_ms: float = 5.0
    reports_load: bool = True
    repeatable: bool = True
    max_service_ms: int = 30_000


@attrs.frozen
class Deployment:
    """Shape of a deployment, independent of addresses.

    Attributes:
        name: Short name.
        zones: Availability zones, all in one region.
        host_count: Number of entry hosts.
        engine_count: Number of engines of the language model pool.
        engine_capacity: Concurrent generations of one warm engine.
        engine_capacity_cold: Concurrent generations of one cold engine.
        services: Pools of application services.
        accounts: Client accounts with their weights.
        max_tokens: Tokens of one generated answer.
        engine_step_base_ms: Duration of one decoding step with an empty batch.
        engine_step_per_request_ms: Additional time of a step for each running generation.
        engine_cold_ms: Duration of a cold phase.
    """

    name: str
    zones: tuple[str, ...]
    host_count: int
    engine_count: int
    engine_capacity: int
    engine_capacity_cold: int
    services: tuple[ServicePool, ...]
    accounts: tuple[tuple[str, float], ...]
    max_tokens: int = 32
    engine_step_base_ms: float = 4.0
    engine_step_per_request_ms: float = 0.2
    engine_cold_ms: int = 2_000

    @property
    def engine_requests_per_s(self) -> float:
        """Returns the generations per second that the warm engines complete with full batches."""
        step_ms = self.engine_step_base_ms + self.engine_step_per_request_ms * self.engine_capacity
        batch_per_s = 1_000 / (step_ms * self.max_tokens)
        return self.engine_count * self.engine_capacity * batch_per_s


def _services(target_count: int) -> tuple[ServicePool, ...]:
    return (
        ServicePool("encoder", manifest.StageKind.ENCODE, target_count),
        ServicePool("retriever", manifest.StageKind.RETRIEVE, target_count),
        ServicePool("reranker", manifest.StageKind.RERANK, target_count),
        ServicePool(
            "orders",
            manifest.StageKind.SERVICE,
            target_count,
            reports_load=False,
            repeatable=False,
        ),
    )


ASSOCIATION = Deployment(
    name="association",
    zones=("zone-a", "zone-b", "zone-c", "zone-d"),
    host_count=3,
    engine_count=6,
    engine_capacity=16,
    engine_capacity_cold=2,
    services=_services(4),
    accounts=(("hanoi", 4.0), ("saigon", 4.0), ("danang", 1.0), ("hue", 1.0), ("dalat", 1.0)),
)

MONEDERO = Deployment(
    name="monedero",
    zones=("zone-a", "zone-b", "zone-c"),
    host_count=3,
    engine_count=9,
    engine_capacity=16,
    engine_capacity_cold=2,
    services=_services(3),
    accounts=(
        ("dispatch", 4.0),
        ("technicians", 4.0),
        ("parts", 1.0),
        ("kiosks", 1.0),
        ("audit", 1.0),
    ),
)


# The smallest fleet for failure tests. Each capacity is sufficient for the load of all hosts
# together, so that a target refuses only when a test makes it do so.
SMALL = Deployment(
    name="small",
    zones=("zone-a", "zone-b", "zone-c"),
    host_count=3,
    engine_count=3,
    engine_capacity=100,
    engine_capacity_cold=2,
    services=tuple(
        attrs.evolve(pool, target_count=count, capacity=400, max_service_ms=2_000)
        for pool, count in zip(_services(1), (2, 1, 1, 2), strict=True)
    ),
    accounts=(("small-1", 2.0), ("small-2", 1.0)),
    max_tokens=24,
)


@attrs.frozen
class Addresses:
    """Loopback addresses of a fleet, as `ip:port`.

    Attributes:
        hosts: Client, operator and peer address of each host.
        targets: Address of each target, by target ID.
    """

    hosts: tuple[tuple[str, str, str], ...]
    targets: dict[str, str]


def credential_of(account: str) -> str:
    """Returns the test credential of an account."""
    return f"{account}:secret-of-{account}"


def build(deployment: Deployment, addresses: Addresses, version: int = 1) -> manifest.Manifest:
    """Returns the manifest of a deployment."""
    zones = tuple(manifest.Zone(name=name, region="region-1") for name in deployment.zones)
    return manifest.Manifest(
        version=version,
        zones=zones,
        hosts=tuple(
            manifest.Host(
                id=f"host-{index}",
                zone=zone_of(deployment, index),
                peer_address=peer,
                operator_address=operator,
            )
            for index, (_, operator, peer) in enumerate(addresses.hosts)
        ),
        accounts=tuple(_account(name, weight) for name, weight in deployment.accounts),
        models=(manifest.Model(name="chat", versions=("1",), weights_size_bytes=1_000_000),),
        pools=(_engine_pool(deployment, addresses), *_service_pools(deployment, addresses)),
        pipelines=_pipelines(deployment),
        policy=manifest.Policy(clock_skew_ms=CLOCK_SKEW_MS),
    )


def zone_of(deployment: Deployment, index: int) -> str:
    """Returns the availability zone of the host or target with this index."""
    return deployment.zones[index % len(deployment.zones)]


def engine_id(index: int) -> str:
    """Returns the target ID of an engine."""
    return f"engine-{index}"


def service_id(pool: str, index: int) -> str:
    """Returns the target ID of a service."""
    return f"{pool}-{index}"


def _account(name: str, weight: float) -> manifest.Account:
    return manifest.Account(
        name=name,
        partners=(
            manifest.PartnerShare("partner-1", 0.5),
            manifest.PartnerShare("partner-2", 0.5),
        ),
        credential_salt=CREDENTIAL_SALT,
        credential_hash=credentials.hash_credential(CREDENTIAL_SALT, credential_of(name)),
        weight=weight,
    )


def _engine_pool(deployment: Deployment, addresses: Addresses) -> manifest.Pool:
    return manifest.Pool(
        name="language-model",
        kind=manifest.PoolKind.ENGINE,
        owner=deployment.accounts[0][0],
        targets=tuple(
            manifest.Target(
                id=engine_id(index),
                address=addresses.targets[engine_id(index)],
                zone=zone_of(deployment, index),
            )
            for index in range(deployment.engine_count)
        ),
        capacity_warm=deployment.engine_capacity,
        capacity_cold=deployment.engine_capacity_cold,
        cost_per_unit=3,
    )


def _service_pools(deployment: Deployment, addresses: Addresses) -> tuple[manifest.Pool, ...]:
    return tuple(
        manifest.Pool(
            name=pool.name,
            kind=manifest.PoolKind.SERVICE,
            owner=deployment.accounts[0][0],
            targets=tuple(
                manifest.Target(
                    id=service_id(pool.name, index),
                    address=addresses.targets[service_id(pool.name, index)],
                    zone=zone_of(deployment, index),
                )
                for index in range(pool.target_count)
            ),
            capacity_warm=pool.capacity,
            capacity_cold=max(1, pool.capacity // 8),
            max_service_ms=pool.max_service_ms,
            reports_load=pool.reports_load,
            readback=not pool.repeatable,
            cost_per_unit=10,
        )
        for pool in deployment.services
    )


def _pipelines(deployment: Deployment) -> tuple[manifest.Pipeline, ...]:
    owner = deployment.accounts[0][0]
    stages = tuple(
        manifest.Stage(name=pool.kind.value, kind=pool.kind, pool=pool.name)
        for pool in deployment.services
        if pool.repeatable
    )
    generate = manifest.Stage(
        name="generate",
        kind=manifest.StageKind.GENERATE,
        pool="language-model",
        path="/v1/completions",
        model="chat",
        max_tokens=deployment.max_tokens,
    )
    order = tuple(
        manifest.Stage(name="order", kind=pool.kind, pool=pool.name, repeatable=False)
        for pool in deployment.services
        if not pool.repeatable
    )
    return (
        manifest.Pipeline(name="summary", owner=owner, stages=(*stages, generate)),
        manifest.Pipeline(name="order", owner=owner, stages=(*stages[:2], *order)),
    )


def with_zone(version: manifest.Manifest, zone: str, *, in_service: bool) -> manifest.Manifest:
    """Returns the next manifest version, with one availability zone in or out of service."""
    zones = tuple(
        attrs.evolve(item, in_service=in_service) if item.name == zone else item
        for item in version.zones
    )
    return attrs.evolve(version, version=version.version + 1, zones=zones)


def with_all_zones(version: manifest.Manifest) -> manifest.Manifest:
    """Returns the next manifest version, with all availability zones in service."""
    zones = tuple(attrs.evolve(zone, in_service=True) for zone in version.zones)
    return attrs.evolve(version, version=version.version + 1, zones=zones)
