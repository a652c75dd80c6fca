"""Selects the peer to fetch a newer configuration version from."""

from __future__ import annotations

import attrs

from sesamehold.process import messages

MAX_SOURCES = 8
RETRY_MS = 500


@attrs.define
class ConfigurationFollower:
    """Tracks the newest version that peers have announced, and the addresses that serve it."""

    newest: messages.Digest = messages.Digest(0, b"")
    _sources: list[str] = attrs.field(factory=list)
    _retry_at_ms: int = 0

    def add_source(self, digest: messages.Digest, source: str) -> None:
        """Records that the peer at address `source` has a version in force."""
        if digest.version < self.newest.version or not digest.version:
            return
        if digest.version > self.newest.version:
            self.newest = digest
            self._sources = []
            self._retry_at_ms = 0
        if source not in self._sources and len(self._sources) < MAX_SOURCES:
            self._sources.append(source)

    def next_source(self, version_in_force: int, now_ms: int) -> str | None:
        """Returns the address to fetch from, None if there is nothing to fetch or no source now."""
        if self.newest.version <= version_in_force or now_ms < self._retry_at_ms:
            return None
        return self._sources[0] if self._sources else None

    def on_fetch_failure(self, source: str, now_ms: int) -> None:
        """Removes a source after a failed fetch; waits `RETRY_MS` once none is left."""
        if source in self._sources:
            self._sources.remove(source)
        if not self._sources:
            self._retry_at_ms = now_ms + RETRY_MS

    def on_refused(self) -> None:
        """Stops fetching the newest version, which this host refused, until a later one appears."""
        self._sources = []
