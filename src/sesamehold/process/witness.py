"""Claim memory of a witness: records the first claim of each execution key."""

from __future__ import annotations

from collections.abc import Iterator
import enum
from typing import TypeAlias

import attrs

from sesamehold.request import ids

MAX_RECORDS = 100_000
MAX_RELEASED = 100_000


class AbstainReason(enum.Enum):
    """Reason for which a witness abstains."""

    RELEASED = "released"
    NO_QUORUM = "no-quorum"
    UNKNOWN_ROSTER = "unknown-roster"
    KEY_MAY_BE_OLDER = "key-may-be-older"
    KEY_EXPIRED = "key-expired"
    FULL = "full"


@attrs.frozen
class Claimant:
    """Identity of a claim: the claiming host, its incarnation and the claim id."""

    host_id: str
    incarnation: int
    claim_id: str


@attrs.frozen
class Claim:
    """A claim as sent to a witness."""

    key: ids.ExecutionKey
    claimant: Claimant
    fingerprint: bytes


@attrs.frozen
class Granted:
    """The witness recorded the claim as the first claim of its key."""


@attrs.frozen
class Held:
    """The witness has a record of the key that it does not grant to this claim."""

    claimant: Claimant
    finished: bool
    fingerprint: bytes


@attrs.frozen
class Abstained:
    """The witness abstains from the vote."""

    reason: str


Vote: TypeAlias = Granted | Held | Abstained


@attrs.frozen
class Conditions:
    """State of the witness's host at the time of a vote.

    Attributes:
        has_quorum: Whether a majority of the roster is alive.
        knows_roster: Whether the newest roster of the claimant is in the overlap window.
    """

    has_quorum: bool
    knows_roster: bool


@attrs.frozen
class Record:
    """First claim of an execution key.

    Attributes:
        key: The execution key.
        claimant: Holder of the key; never changes.
        fingerprint: Hash of the request body.
        finished_ms: Time at which the witness learned that the key is finished, None before.
        imported: True if the record was copied from another host; such a record grants no claim.
    """

    key: ids.ExecutionKey
    claimant: Claimant
    fingerprint: bytes
    finished_ms: int | None = None
    imported: bool = False


@attrs.define
class ClaimMemory:
    """Votes on claims; the first claim of a key wins.

    Attributes:
        started_ms: Monotonic time since which no claim sent to this witness can have been missed.
        started_wall_ms: The same time as Unix time.
        retention_ms: Time for which keys are valid and finished records are kept.
        clock_skew_ms: Maximum difference between the wall clocks of two hosts.
        max_records: Maximum number of records.
    """

    started_ms: int
    started_wall_ms: int
    retention_ms: int = 900_000
    clock_skew_ms: int = 2_000
    max_records: int = MAX_RECORDS
    _records: dict[str, Record] = attrs.field(factory=dict)
    _finished: dict[str, int] = attrs.field(factory=dict)
    _released: dict[str, int] = attrs.field(factory=dict)

    def restart(self, now_ms: int, wall_ms: int) -> None:
        """Records that claims before this time may be unknown; existing records are kept."""
        self.started_ms = now_ms
        self.started_wall_ms = wall_ms

    def vote(self, claim: Claim, conditions: Conditions, now_ms: int, wall_ms: int) -> Vote:
        """Grants the first claim of a key and returns its holder to all other claims."""
        record = self._records.get(claim.key.scoped)
        if record is not None and not self._expired(record, now_ms):
            return self._vote_on_record(record, claim)
        reason = self._abstain_reason(claim, conditions, now_ms, wall_ms)
        if reason is not None:
            return Abstained(reason.value)
        self._put(Record(claim.key, claim.claimant, claim.fingerprint))
        return Granted()

    def release(self, key: ids.ExecutionKey, claim_id: str, now_ms: int) -> None:
        """Removes the record if it belongs to this claim; the claim id is never granted again."""
        record = self._records.get(key.scoped)
        if record is not None and record.finished_ms is not None:
            return
        self._released[claim_id] = now_ms
        while len(self._released) > MAX_RELEASED:
            # An evicted id can at worst leave behind a record that no host uses.
            del self._released[next(iter(self._released))]
        if record is not None and record.claimant.claim_id == claim_id:
            del self._records[key.scoped]

    def finish(self, claim: Claim, now_ms: int) -> None:
        """Records that a claim is finished; imports a record if there is none for the key."""
        record = self._records.get(claim.key.scoped)
        if record is None:
            self.import_record(
                Record(claim.key, claim.claimant, claim.fingerprint, finished_ms=now_ms), now_ms
            )
        elif record.claimant.claim_id == claim.claimant.claim_id and record.finished_ms is None:
            self._put(attrs.evolve(record, finished_ms=now_ms))

    def import_record(self, record: Record, now_ms: int) -> bool:
        """Imports a record of another host; an existing record is never replaced."""
        known = self._records.get(record.key.scoped)
        if known is not None and not self._expired(known, now_ms):
            return False
        if record.claimant.claim_id in self._released or not self._has_room(now_ms):
            return False
        self._put(attrs.evolve(record, imported=True))
        return True

    def find(self, key: ids.ExecutionKey, now_ms: int) -> Record | None:
        """Returns the record of a key, None if there is none or it has expired."""
        record = self._records.get(key.scoped)
        return None if record is None or self._expired(record, now_ms) else record

    def records(self) -> Iterator[Record]:
        """Iterates over a snapshot of all records, for a handover."""
        return iter(list(self._records.values()))

    def __len__(self) -> int:
        return len(self._records)

    def _vote_on_record(self, record: Record, claim: Claim) -> Vote:
        same_claim = record.claimant == claim.claimant and not record.imported
        if same_claim and record.finished_ms is None:
            # The claimant repeated the call or retries it because the first reply was lost.
            return Granted()
        return Held(record.claimant, record.finished_ms is not None, record.fingerprint)

    def _abstain_reason(
        self, claim: Claim, conditions: Conditions, now_ms: int, wall_ms: int
    ) -> AbstainReason | None:
        if claim.claimant.claim_id in self._released:
            return AbstainReason.RELEASED
        if not conditions.has_quorum:
            return AbstainReason.NO_QUORUM
        if not conditions.knows_roster:
            return AbstainReason.UNKNOWN_ROSTER
        if self._may_be_older(claim.key, now_ms):
            return AbstainReason.KEY_MAY_BE_OLDER
        created = claim.key.created_wall_ms
        if created is not None and wall_ms - created > self.retention_ms + self.clock_skew_ms:
            return AbstainReason.KEY_EXPIRED
        return None if self._has_room(now_ms) else AbstainReason.FULL

    def _may_be_older(self, key: ids.ExecutionKey, now_ms: int) -> bool:
        if key.created_wall_ms is None:
            return now_ms - self.started_ms < self.retention_ms
        # The clock of the host that created the key may be ahead of ours by the skew, and a host
        # accepts keys that are ahead of its own clock by the skew.
        return key.created_wall_ms <= self.started_wall_ms + 2 * self.clock_skew_ms

    def _expired(self, record: Record, now_ms: int) -> bool:
        # A claimant may accept a key for up to twice the clock skew longer than its retention.
        kept_ms = self.retention_ms + 2 * self.clock_skew_ms
        return record.finished_ms is not None and now_ms - record.finished_ms > kept_ms

    def _has_room(self, now_ms: int) -> bool:
        if len(self._records) >= self.max_records:
            self._evict(now_ms)
        return len(self._records) < self.max_records

    def _evict(self, now_ms: int) -> None:
        # `_finished` is in order of finishing, so the loop stops at the first record to keep.
        for scoped_key in list(self._finished):
            record = self._records.get(scoped_key)
            if record is not None and not self._expired(record, now_ms):
                break
            del self._finished[scoped_key]
            self._records.pop(scoped_key, None)

    def _put(self, record: Record) -> None:
        self._records[record.key.scoped] = record
        self._finished.pop(record.key.scoped, None)
        if record.finished_ms is not None:
            self._finished[record.key.scoped] = record.finished_ms
