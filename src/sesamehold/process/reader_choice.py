"""Selects the hosts that watch the platform's configuration service."""

from __future__ import annotations

from collections.abc import Callable
import itertools

import attrs

from sesamehold.version import manifest
from sesamehold.version import rendezvous

READERS_PER_REGION = 3
_RENDEZVOUS_KEY = "configuration-readers"


@attrs.frozen
class ReaderOrder:
    """Hosts of each region in rendezvous-hash order.

    The order is computed once per configuration version, because hashing 1,000 names every second
    took more CPU time than all probes.
    """

    _regions: tuple[tuple[str, ...], ...] = ()

    @classmethod
    def from_manifest(cls, version: manifest.Manifest) -> ReaderOrder:
        """Returns the order for the roster of a configuration version."""
        regions = {zone.name: zone.region for zone in version.zones}
        members: dict[str, list[str]] = {}
        for host in version.hosts:
            members.setdefault(regions.get(host.zone, host.zone), []).append(host.id)
        return cls(
            tuple(tuple(rendezvous.ranked(names, _RENDEZVOUS_KEY)) for names in members.values())
        )

    def readers(self, is_live: Callable[[str], bool]) -> set[str]:
        """Returns the first `READERS_PER_REGION` live hosts of each region."""
        return {
            host_id
            for ranked in self._regions
            for host_id in itertools.islice(filter(is_live, ranked), READERS_PER_REGION)
        }
