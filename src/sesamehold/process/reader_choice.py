"""Chooses the hosts that watch the platform's configuration service."""

from __future__ import annotations

from collections.abc import Callable

from sesamehold.version import manifest
from sesamehold.version import rendezvous

READERS_PER_REGION = 3
_KEY = "configuration-readers"


def readers(version: manifest.Manifest, is_live: Callable[[str], bool]) -> set[str]:
    """Returns the first live hosts of each region in rendezvous order.

    Args:
        version: Manifest in force.
        is_live: Tells whether a host can be a reader.
    """
    regions = {zone.name: zone.region for zone in version.zones}
    members: dict[str, list[str]] = {}
    for host in version.hosts:
        if is_live(host.id):
            members.setdefault(regions.get(host.zone, host.zone), []).append(host.id)
    return {
        host_id
        for names in members.values()
        for host_id in rendezvous.ranked(names, _KEY)[:READERS_PER_REGION]
    }
