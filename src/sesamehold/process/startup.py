"""Decides when a newly started host is ready for traffic."""

from __future__ import annotations

import attrs

STARTUP_WAIT_MS = 5_000
# Rate limit for pings at startup; at one tick per 100 ms, 1,000 hosts are pinged within 2 s.
PINGS_PER_TICK = 50


@attrs.define
class StartupCheck:
    """Waits until a majority of the roster has reported its version, at most `STARTUP_WAIT_MS`."""

    _started_ms: int
    _responded: set[str] = attrs.field(factory=set)
    _pinged: set[str] = attrs.field(factory=set)
    _newest_version: int = 0
    ready: bool = False

    def record_version(self, host_id: str, version: int) -> None:
        """Records the version in force at a peer."""
        if not self.ready:
            self._responded.add(host_id)
            self._newest_version = max(self._newest_version, version)

    def next_pings(self, host_ids: list[str]) -> list[str]:
        """Returns the next hosts to ping, at most `PINGS_PER_TICK`; each is returned once."""
        if self.ready:
            return []
        chosen = [host_id for host_id in host_ids if host_id not in self._pinged]
        chosen = chosen[:PINGS_PER_TICK]
        self._pinged.update(chosen)
        return chosen

    def is_ready(self, host_ids: set[str], version_in_force: int, now_ms: int) -> bool:
        """Returns whether this host is ready for traffic; once ready, it stays ready.

        Args:
            host_ids: The roster in force.
            version_in_force: Version in force on this host, 0 if there is none.
            now_ms: Monotonic time.
        """
        if not self.ready and version_in_force:
            majority = 2 * len((self._responded & host_ids) | {""}) > len(host_ids)
            current = majority and version_in_force >= self._newest_version
            self.ready = current or now_ms - self._started_ms >= STARTUP_WAIT_MS
            if self.ready:
                self._responded.clear()
                self._pinged.clear()
        return self.ready
