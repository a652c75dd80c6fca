"""Decides from which peer to fetch a newer configuration version."""

from __future__ import annotations

import attrs

from sesamehold.process import messages

MAX_SOURCES = 8
RETRY_MS = 500


@attrs.define
class ConfigurationFollower:
    """Remembers the newest version that peers have announced, and who has it."""

    newest: messages.Digest = messages.Digest(0, b"")
    _sources: list[str] = attrs.field(factory=list)
    _not_before_ms: int = 0

    def note(self, digest: messages.Digest, source: str) -> None:
        """Notes that the peer at address `source` has a version in force."""
        if digest.version < self.newest.version or not digest.version:
            return
        if digest.version > self.newest.version:
            self.newest = digest
            self._sources = []
            self._not_before_ms = 0
        if source not in self._sources and len(self._sources) < MAX_SOURCES:
            self._sources.append(source)

    def next_source(self, version_in_force: int, now_ms: int) -> str | None:
        """Returns the address to fetch from now, None if there is nothing to fetch."""
        if self.newest.version <= version_in_force or now_ms < self._not_before_ms:
            return None
        return self._sources[0] if self._sources else None

    def on_failure(self, source: str, now_ms: int) -> None:
        """Notes that a fetch failed; another peer is asked next."""
        if source in self._sources:
            self._sources.remove(source)
        if not self._sources:
            self._not_before_ms = now_ms + RETRY_MS

    def on_refused(self) -> None:
        """Notes that the newest version was refused here; a later one is waited for."""
        self._sources = []
