"""Tracks the requests that were running when targets crashed."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

MAX_SUSPECTS = 10_000
RETENTION_MS = 600_000
# The first crash may be caused by another request; at the second one, the request ran alone.
REFUSED_CRASHES = 2


@attrs.frozen
class Suspicion:
    """Crashes during which a request was running.

    Attributes:
        fingerprint: Hash of account, pipeline and request body.
        stage: Stage that ran during the last crash.
        crashes: Number of crashes; 0 in a notice means that the request was cleared.
        age_ms: Time since the last crash.
    """

    fingerprint: bytes
    stage: str
    crashes: int
    age_ms: int


@attrs.define
class _Record:
    stage: str
    crashes: int
    crashed_ms: int


@attrs.define
class SuspectTable:
    """Bounded table of suspects by fingerprint; the oldest entries are evicted first."""

    limit: int = MAX_SUSPECTS
    _records: collections.OrderedDict[bytes, _Record] = attrs.field(factory=collections.OrderedDict)
    _changed: dict[bytes, tuple[str, int]] = attrs.field(factory=dict)

    def record_crash(self, fingerprint: bytes, stage: str, granted_ms: int, now_ms: int) -> None:
        """Records that a running attempt of the request lost its connection.

        Identical requests that run in parallel report the same crash several times, so only
        attempts granted after the last counted crash are counted.
        """
        if not fingerprint:
            return
        record = self._retained_record(fingerprint, now_ms)
        if record is not None and granted_ms < record.crashed_ms:
            return
        crashes = record.crashes if record is not None else 0
        self._put(fingerprint, _Record(stage, crashes + 1, now_ms))
        self._note_change(fingerprint, stage, now_ms)

    def record_success(self, fingerprint: bytes, stage: str, now_ms: int) -> None:
        """Clears a request that succeeded in the stage of its last crash."""
        record = self._records.get(fingerprint)
        if record is not None and record.stage == stage:
            del self._records[fingerprint]
            self._note_change(fingerprint, stage, now_ms)

    def crashes(self, fingerprint: bytes, now_ms: int) -> int:
        """Returns the number of crashes of the request within the retention period."""
        record = self._retained_record(fingerprint, now_ms)
        return record.crashes if record is not None else 0

    def must_run_alone(self, fingerprint: bytes, stage: str, now_ms: int) -> bool:
        """Returns whether the request must not share a target with others in this stage."""
        record = self._retained_record(fingerprint, now_ms)
        return record is not None and record.stage == stage

    def merge(self, suspicions: Iterable[Suspicion], now_ms: int) -> None:
        """Merges suspicions of other hosts; the higher number of crashes is kept."""
        for suspicion in suspicions:
            known = self._records.get(suspicion.fingerprint)
            crashed_ms = now_ms - suspicion.age_ms
            if suspicion.crashes == 0:
                if known is not None and known.crashed_ms <= crashed_ms:
                    del self._records[suspicion.fingerprint]
            elif suspicion.age_ms < RETENTION_MS:
                crashes = max(suspicion.crashes, known.crashes if known is not None else 0)
                record = _Record(suspicion.stage, crashes, crashed_ms)
                self._put(suspicion.fingerprint, record)

    def export(self, now_ms: int) -> list[Suspicion]:
        """Returns all suspicions within the retention period, for a handover."""
        return [
            Suspicion(fingerprint, record.stage, record.crashes, now_ms - record.crashed_ms)
            for fingerprint, record in self._records.items()
            if self._is_retained(record, now_ms)
        ]

    def take_changes(self, now_ms: int) -> list[Suspicion]:
        """Returns the suspicions that changed on this host since the last call, for notices."""
        changed, self._changed = self._changed, {}
        return [
            Suspicion(fingerprint, stage, self.crashes(fingerprint, now_ms), now_ms - changed_ms)
            for fingerprint, (stage, changed_ms) in changed.items()
        ]

    def __len__(self) -> int:
        return len(self._records)

    def _put(self, fingerprint: bytes, record: _Record) -> None:
        self._records[fingerprint] = record
        self._records.move_to_end(fingerprint)
        if len(self._records) > self.limit:
            self._records.popitem(last=False)

    def _note_change(self, fingerprint: bytes, stage: str, now_ms: int) -> None:
        if len(self._changed) < self.limit:
            self._changed[fingerprint] = (stage, now_ms)

    def _retained_record(self, fingerprint: bytes, now_ms: int) -> _Record | None:
        record = self._records.get(fingerprint)
        if record is None or self._is_retained(record, now_ms):
            return record
        del self._records[fingerprint]
        return None

    def _is_retained(self, record: _Record, now_ms: int) -> bool:
        return now_ms - record.crashed_ms < RETENTION_MS
