"""Replication of cost rows: decides which rows are pushed to which peer."""

from __future__ import annotations

from collections.abc import Iterable
import itertools

import attrs

from sesamehold.process import ledger
from sesamehold.version import manifest
from sesamehold.version import rendezvous

# A killed host loses at most 5 s of costs: one interval, and one second in which the push to an
# unresponsive peer times out and the next peer is tried.
INTERVAL_MS = 4_000
PUSH_TIMEOUT_MS = 400
MAX_TRIES = 2
# A peer that restarts loses its copy without reporting so. After this many intervals, all rows are
# sent again to restore it, and the preferred peer is tried again.
REFRESH_INTERVALS = 75
# Encoding 500 rows takes 2 ms; encoding all 30,000 rows of the design size would block streams for
# 100 ms.
MAX_ROWS = 500


@attrs.frozen
class Push:
    """Rows for one peer.

    Attributes:
        peer: Host that receives the rows.
        sequence: Sequence number of this push, starting at 1.
        rows: Cumulative counters of the rows.
    """

    peer: manifest.Host
    sequence: int
    rows: ledger.CostRows


@attrs.define
class LedgerReplication:
    """Replicates the ledger of one host to one peer, changed rows first.

    Rows that a new or restarted peer lacks are sent in the background, one push per interval.
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

    def begin_interval(self, local_ledger: ledger.Ledger) -> None:
        """Starts an interval: collects the rows that changed since the last one."""
        self._changed.update(dict.fromkeys(local_ledger.take_changed()))
        self._background_due = True
        self._intervals += 1
        if self._intervals >= REFRESH_INTERVALS:
            self._intervals = 0
            self._skipped = 0
            self._peer_id = None

    def next_push(self, hosts: Iterable[manifest.Host], local_ledger: ledger.Ledger) -> Push | None:
        """Returns the next push, None if there is no peer or nothing left in this interval."""
        peer = self.peer(hosts)
        if peer is None:
            return None
        if peer.id != self._peer_id:
            self._peer_id = peer.id
            self._background = dict.fromkeys(local_ledger.totals)
        keys = self._next_keys()
        if not keys:
            return None
        self._sequence += 1
        rows = {key: attrs.evolve(local_ledger.totals[key]) for key in keys}
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
        """Returns the host that receives the next push, None without other hosts."""
        peers = self._peers(hosts)
        return peers[self._skipped % len(peers)] if peers else None

    def fail(self, push: Push) -> None:
        """Records that a push failed; its rows are sent again to the next peer."""
        self._skipped += 1
        self._changed.update(dict.fromkeys(push.rows))

    def _peers(self, hosts: Iterable[manifest.Host]) -> list[manifest.Host]:
        others = {host.id: host for host in hosts if host.id != self.host_id}
        order = rendezvous.ranked(others, f"ledger:{self.host_id}")
        # Hosts of other zones come first, so that the copy survives the failure of a whole zone.
        return sorted((others[name] for name in order), key=lambda host: host.zone == self.zone)
