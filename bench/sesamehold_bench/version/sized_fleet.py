"""Manifests for any number of hosts, with the proportions of the design size."""

from __future__ import annotations

from sesamehold.version import manifest

REGION_COUNT = 4
ZONE_COUNT = 14
TARGETS_PER_HOST = 12
POOL_COUNT = 28


def address(index: int) -> str:
    """Returns the peer address of a host."""
    return f"10.{index // 65_536}.{index // 256 % 256}.{index % 256}:7000"


def build(
    host_count: int, version: int = 1, *, target_count: int = 0, account_count: int = 5
) -> manifest.Manifest:
    """Returns a manifest; fleets of up to 9 hosts use one region with three availability zones."""
    zone_count, region_count = (3, 1) if host_count <= 9 else (ZONE_COUNT, REGION_COUNT)
    zones = tuple(
        manifest.Zone(f"zone-{index}", f"region-{index % region_count}")
        for index in range(zone_count)
    )
    accounts = tuple(
        manifest.Account(
            name=f"account-{index}",
            partners=(manifest.PartnerShare("partner-1", 1.0),),
            credential_salt="5e5a",
            credential_hash=f"{index:064x}",
        )
        for index in range(account_count)
    )
    return manifest.Manifest(
        version=version,
        zones=zones,
        hosts=tuple(
            manifest.Host(
                id=f"host-{index}",
                zone=zones[index % zone_count].name,
                peer_address=address(index),
                operator_address=address(index).replace("7000", "7001"),
            )
            for index in range(host_count)
        ),
        accounts=accounts,
        models=(manifest.Model("chat", ("1",)),),
        pools=_pools(target_count, zones),
        pipelines=(),
    )


def _pools(target_count: int, zones: tuple[manifest.Zone, ...]) -> tuple[manifest.Pool, ...]:
    return tuple(
        manifest.Pool(
            name=f"pool-{pool}",
            kind=manifest.PoolKind.ENGINE,
            owner="account-0",
            targets=tuple(
                manifest.Target(
                    id=f"target-{index}",
                    address=f"10.200.{index // 256}.{index % 256}:80",
                    zone=zones[index % len(zones)].name,
                )
                for index in range(pool, target_count, POOL_COUNT)
            ),
            capacity_warm=16,
            capacity_cold=2,
        )
        for pool in range(min(POOL_COUNT, target_count))
    )
