"""Decides which cost rows go to which peer."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import attrs

from sesamehold.process import ledger
from sesamehold.version import manifest
from sesamehold.version import rendezvous

# A killed host loses at most 5 s of costs: one interval, and a second in which a peer that does not
# answer is given up and the next one is tried.
INTERVAL_MS = 4_000
PUSH_TIMEOUT_MS = 400
MAX_TRIES = 2
# A restarted peer has lost its copy without noticing; sending all rows again restores it. The
# preferred peer is tried again then.
REFRESH_INTERVALS = 75
# Encoding 500 rows takes 2 ms; all 30,000 rows of the design size would hold up streams for 100 ms.
MAX_ROWS = 500


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
    """Replicates the ledger of one host to one peer, changed rows first.

    Rows that a new or restarted peer lacks follow in the background, one push for each interval.
    """

    host_id: str
    zone: str
    _changed: dict[ledger.CostKey, None] = attrs.field(factory=dict)
    _background: dict[ledger.CostKey, None] = attrs.field(factory=dict)
    _background_due: bool = False
    _peer_id: str | None = None
    _skipped: int = 0
    _sequence: int = 0
    _intervals: int = 0

    def begin_interval(self, book: ledger.Ledger) -> None:
        """Takes over the rows that changed since the last interval."""
        self._changed.update(dict.fromkeys(book.take_changed()))
        self._background_due = True
        self._intervals += 1
        if self._intervals >= REFRESH_INTERVALS:
            self._intervals = 0
            self._skipped = 0
            self._peer_id = None

    def next_push(self, hosts: Iterable[manifest.Host], book: ledger.Ledger) -> Push | None:
        """Returns what to push now, None if there is no peer or nothing more in this interval."""
        peer = self.peer(hosts)
        if peer is None:
            return None
        if peer.id != self._peer_id:
            self._peer_id = peer.id
            self._background = dict.fromkeys(book.totals)
        keys = self._next_keys()
        if not keys:
            return None
        self._sequence += 1
        rows = {key: attrs.evolve(book.totals[key]) for key in keys}
        return Push(peer, self._sequence, rows)

    def _next_keys(self) -> list[ledger.CostKey]:
        if self._changed:
            keys = list(itertools.islice(self._changed, MAX_ROWS))
        elif self._background_due:
            self._background_due = False
            keys = list(itertools.islice(self._background, MAX_ROWS))
        else:
            return []
        for key in keys:
            self._changed.pop(key, None)
            self._background.pop(key, None)
        return keys

    def peer(self, hosts: Iterable[manifest.Host]) -> manifest.Host | None:
        """Returns the host that gets the next push, None without other hosts."""
        peers = self._peers(hosts)
        return peers[self._skipped % len(peers)] if peers else None

    def fail(self, push: Push) -> None:
        """Notes that the peer may not hold the push; the next push goes to the next peer."""
        self._skipped += 1
        self._changed.update(dict.fromkeys(push.rows))

    def _peers(self, hosts: Iterable[manifest.Host]) -> list[manifest.Host]:
        others = {host.id: host for host in hosts if host.id != self.host_id}
        order = rendezvous.ranked(others, f"ledger:{self.host_id}")
        # Hosts of other zones first: a zone that fails as a whole must not take the copy with it.
        return sorted((others[name] for name in order), key=lambda host: host.zone == self.zone)
