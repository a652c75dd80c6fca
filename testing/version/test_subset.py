from __future__ import annotations

import random

import pytest

from sesamehold.version import manifest
from sesamehold.version import subset


def _version(
    hosts: list[int], targets: list[int], zones: int = 3, regions: int = 1
) -> manifest.Manifest:
    names = [f"z{index}" for index in range(zones)]
    return manifest.Manifest(
        version=1,
        zones=tuple(manifest.Zone(z, f"r{i % regions}") for i, z in enumerate(names)),
        hosts=tuple(manifest.Host(f"h{n}", names[n % zones], "", "") for n in hosts),
        accounts=(),
        models=(),
        pools=(
            manifest.Pool(
                "p",
                manifest.PoolKind.ENGINE,
                "a",
                tuple(manifest.Target(f"t{n}", "", names[n % zones]) for n in targets),
                16,
                2,
            ),
        ),
        pipelines=(),
    )


def _index(version: manifest.Manifest) -> subset.SubsetIndex:
    index = subset.SubsetIndex()
    index.configure(version)
    return index


# A host without targets of a pool would fail its requests; too many hosts would overload a target.
@pytest.mark.parametrize(
    ("hosts", "targets", "zones", "regions", "per_target", "per_host"),
    [
        pytest.param(9, 30, 3, 1, (9, 9), (30, 30), id="small fleet uses all"),
        pytest.param(120, 600, 3, 1, (12, 12), (30, 100), id="large fleet"),
        pytest.param(120, 600, 4, 2, (12, 12), (16, 100), id="two regions"),
        pytest.param(120, 40, 3, 1, (48, 48), (16, 40), id="few targets for many hosts"),
        pytest.param(120, 4, 3, 1, (120, 120), (4, 4), id="tiny pool"),
    ],
)
def test_subset_sizes_are_within_bounds(
    hosts: int,
    targets: int,
    zones: int,
    regions: int,
    per_target: tuple[int, int],
    per_host: tuple[int, int],
) -> None:
    index = _index(_version(list(range(hosts)), list(range(targets)), zones, regions))
    host_counts = [len(index.hosts_of(f"t{n}")) for n in range(targets)]
    target_counts = [len(index.targets_of(f"h{n}")) for n in range(hosts)]
    assert (min(host_counts), max(host_counts)) == per_target
    assert per_host[0] <= min(target_counts)
    assert max(target_counts) <= per_host[1]


def test_hosts_are_spread_evenly_over_zones() -> None:
    index = _index(_version(list(range(120)), list(range(200)), zones=3))
    for number in range(200):
        zones = [int(host[1:]) % 3 for host in index.hosts_of(f"t{number}")]
        assert [zones.count(zone) for zone in range(3)] == [4, 4, 4]


def test_incremental_update_equals_full_ranking() -> None:
    rng = random.Random(5)
    hosts, targets = list(range(90)), list(range(150))
    index = _index(_version(hosts, targets))
    for step in range(60):
        hosts.remove(rng.choice(hosts))
        if step % 3:
            hosts.append(1_000 + step)
        if step % 5 == 0:
            targets.remove(rng.choice(targets))
            targets.append(1_000 + step)
        version = _version(hosts, targets)
        index.configure(version)
    full = _index(version)
    for number in targets:
        assert index.hosts_of(f"t{number}") == full.hosts_of(f"t{number}")
    for number in hosts:
        assert index.targets_of(f"h{number}") == full.targets_of(f"h{number}")


def test_removed_host_affects_only_its_own_targets() -> None:
    before = _index(_version(list(range(120)), list(range(200))))
    after = _index(_version(list(range(1, 120)), list(range(200))))
    for number in range(200):
        old, new = before.hosts_of(f"t{number}"), after.hosts_of(f"t{number}")
        assert len(set(old) - set(new)) == ("h0" in old)
