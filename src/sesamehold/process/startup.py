"""Decides when a host that has just started may take traffic."""

from __future__ import annotations

import attrs

STARTUP_WAIT_MS = 5_000
# Paces the pings at start: 1,000 hosts are asked within 2 s.
PINGS_PER_TICK = 50


@attrs.define
class StartupCheck:
    """Waits until a majority of the roster has told its version, or for `STARTUP_WAIT_MS`."""

    _started_ms: int
    _heard: set[str] = attrs.field(factory=set)
    _asked: set[str] = attrs.field(factory=set)
    _newest_version: int = 0
    ready: bool = False

    def note(self, host_id: str, version: int) -> None:
        """Notes the version that is in force at a peer."""
        if not self.ready:
            self._heard.add(host_id)
            self._newest_version = max(self._newest_version, version)

    def to_ask(self, host_ids: list[str]) -> list[str]:
        """Returns the hosts to ping now."""
        if self.ready:
            return []
        chosen = [host_id for host_id in host_ids if host_id not in self._asked]
        chosen = chosen[:PINGS_PER_TICK]
        self._asked.update(chosen)
        return chosen

    def is_ready(self, host_ids: set[str], version_in_force: int, now_ms: int) -> bool:
        """Returns whether this host may take traffic; once ready, it stays so.

        Args:
            host_ids: The roster in force.
            version_in_force: Version in force here, 0 if there is none.
            now_ms: Monotonic time.
        """
        if not self.ready and version_in_force:
            majority = 2 * len((self._heard & host_ids) | {""}) > len(host_ids)
            current = majority and version_in_force >= self._newest_version
            self.ready = current or now_ms - self._started_ms >= STARTUP_WAIT_MS
            if self.ready:
                self._heard.clear()
                self._asked.clear()
        return self.ready
