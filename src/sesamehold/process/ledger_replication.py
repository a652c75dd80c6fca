"""Decides which cost rows go to which peer."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from sesamehold.process import ledger
from sesamehold.version import manifest
from sesamehold.version import rendezvous

# A killed host loses at most 5 s of costs: one interval, and a second in which a peer that does not
# answer is given up and the next one is tried.
INTERVAL_MS = 4_000
PUSH_TIMEOUT_MS = 400
MAX_TRIES = 2
# A restarted peer has lost its copy without noticing; a full push every 5 min restores it. The
# preferred peer is tried again then. Full pushes are rare because they can have 10,000 rows.
FULL_PUSH_INTERVALS = 75


@attrs.frozen
class Push:
    """Rows for one peer.

    Attributes:
        peer: Host that holds the copy.
        sequence: Number of this push, from 1.
        rows: Cumulative counters of the rows.
    """

    peer: manifest.Host
    sequence: int
    rows: ledger.Rows


@attrs.define
class LedgerReplication:
    """Replicates the ledger of one host to one peer, changed rows only."""

    host_id: str
    zone: str
    _pending: set[ledger.CostKey] = attrs.field(factory=set)
    _peer_id: str | None = None
    _skipped: int = 0
    _sequence: int = 0
    _since_full: int = 0

    def next_push(self, hosts: Iterable[manifest.Host], book: ledger.Ledger) -> Push | None:
        """Returns what to push now, None if there is no peer or nothing to push."""
        self._pending.update(book.take_changed())
        self._since_full += 1
        if self._since_full >= FULL_PUSH_INTERVALS:
            self._skipped = 0
            self._peer_id = None
        peer = self.peer(hosts)
        if peer is None:
            return None
        if peer.id != self._peer_id:
            self._peer_id = peer.id
            self._since_full = 0
            self._pending.update(book.totals)
        if not self._pending:
            return None
        self._sequence += 1
        rows = {key: attrs.evolve(book.totals[key]) for key in self._pending}
        self._pending.clear()
        return Push(peer, self._sequence, rows)

    def peer(self, hosts: Iterable[manifest.Host]) -> manifest.Host | None:
        """Returns the host that gets the next push, None without other hosts."""
        peers = self._peers(hosts)
        return peers[self._skipped % len(peers)] if peers else None

    def fail(self, push: Push) -> None:
        """Notes that the peer may not hold the push; the next push goes to the next peer."""
        self._skipped += 1
        self._pending.update(push.rows)

    def _peers(self, hosts: Iterable[manifest.Host]) -> list[manifest.Host]:
        others = {host.id: host for host in hosts if host.id != self.host_id}
        order = rendezvous.ranked(others, f"ledger:{self.host_id}")
        # Hosts of other zones first: a zone that fails as a whole must not take the copy with it.
        return sorted((others[name] for name in order), key=lambda host: host.zone == self.zone)
