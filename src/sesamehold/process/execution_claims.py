"""Execution claims of one host: state and decisions, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
import enum

import attrs

from sesamehold.process import fleet_health
from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import roster


class KeyState(enum.Enum):
    """State of an execution key as reported by one host."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    FINISHED = "finished"
    FINISHED_WITHOUT_ANSWER = "finished-without-answer"


@attrs.frozen
class KeyReport:
    """State of an execution key at one host, with its stored answer.

    Attributes:
        state: State of the key.
        answer: The stored answer if the state is FINISHED.
        fingerprint: Hash of the request body; empty if unknown.
    """

    state: KeyState
    answer: outcomes.StoredAnswer | None = None
    fingerprint: bytes = b""


@attrs.define
class OpenClaim:
    """A claim of this host from its first vote until it is released or finished.

    Attributes:
        claim: The claim.
        opened_ms: Time at which the first vote was requested.
        deadline_ms: Deadline of the request.
        witnesses: Witnesses whose votes are requested; those of the newest set come first.
        granted: Whether a majority of every witness set granted the claim.
    """

    claim: witness.Claim
    opened_ms: int
    deadline_ms: int
    witnesses: tuple[manifest.Host, ...]
    granted: bool = False


@attrs.define
class HostClaims:
    """Claims, votes and stored answers of one host."""

    host_id: str
    incarnation: int
    quorum_check: fleet_health.Quorum
    pauses: fleet_health.PauseDetector
    memory: witness.ClaimMemory
    answers: outcomes.OutcomeStore = attrs.field(factory=outcomes.OutcomeStore)
    policy: manifest.Policy = manifest.Policy()
    window: roster.RosterWindow = roster.RosterWindow(0)
    _open: dict[str, OpenClaim] = attrs.field(factory=dict)
    _claim_count: int = 0

    @classmethod
    def from_config(
        cls,
        host_id: str,
        quorum_check: fleet_health.Quorum,
        pauses: fleet_health.PauseDetector,
        now_ms: int,
        wall_ms: int,
    ) -> HostClaims:
        """Returns the state of a host that has just started."""
        memory = witness.ClaimMemory(started_ms=now_ms, started_wall_ms=wall_ms)
        return cls(host_id, wall_ms, quorum_check, pauses, memory)

    def configure(
        self,
        version: manifest.Manifest,
        now_ms: int,
        wall_ms: int,
        past: Iterable[tuple[roster.Roster, int]] = (),
    ) -> None:
        """Applies the roster and the policy of a newly accepted configuration version.

        Args:
            version: The accepted version.
            now_ms: Monotonic time.
            wall_ms: Unix time.
            past: Earlier rosters known to peers, each with the time at which it was superseded.
        """
        newest = roster.Roster.from_manifest(version)
        previous = self.window.current
        if previous is None or previous.host(self.host_id) is None:
            # The other witnesses may have granted claims before this host joined the roster.
            self.memory.restart(now_ms, wall_ms)
        self.policy = version.policy
        window = self.window.accept(newest, version.policy.key_retention_ms, now_ms)
        self.window = window.add_superseded(past)
        self.memory.retention_ms = version.policy.key_retention_ms
        self.memory.clock_skew_ms = version.policy.clock_skew_ms
        self.answers.retention_ms = version.policy.key_retention_ms

    # ---- as claimant ----

    def open_claim(
        self, key: ids.ExecutionKey, fingerprint: bytes, now_ms: int, wait_ms: int
    ) -> OpenClaim:
        """Opens a claim with the witnesses of all rosters in the current overlap window."""
        # Unique across hosts and restarts, even if hosts share a random seed.
        self._claim_count += 1
        claim_id = f"{self.host_id}/{self.incarnation}/{self._claim_count}"
        claimant = witness.Claimant(self.host_id, self.incarnation, claim_id)
        hosts_by_id = {
            host.id: host
            for hosts in self.window.witness_sets(key.scoped, now_ms)
            for host in hosts
        }
        opened = OpenClaim(
            claim=witness.Claim(key, claimant, fingerprint),
            opened_ms=now_ms,
            deadline_ms=now_ms + wait_ms,
            witnesses=tuple(hosts_by_id.values()),
        )
        self._open[claim_id] = opened
        return opened

    def grant(self, claim_id: str) -> None:
        """Marks a claim as granted by its witnesses, unless it has been withdrawn."""
        opened = self._open.get(claim_id)
        if opened is not None:
            opened.granted = True

    def may_dispatch(self, claim_id: str, now_ms: int) -> bool:
        """Returns whether a claim may be used now; call it right before the dispatch.

        A pause of the process since the first vote request invalidates the claim, because its
        rosters may have left the overlap window of other hosts during the pause.
        """
        opened = self._open.get(claim_id)
        return (
            opened is not None
            and opened.granted
            and now_ms < opened.deadline_ms
            and self.quorum_check.has_quorum(now_ms)
            and not self.pauses.paused_since(opened.opened_ms)
        )

    def withdraw(self, claim_id: str) -> OpenClaim | None:
        """Ends a claim without a dispatch; it cannot be used afterwards."""
        return self._open.pop(claim_id, None)

    def complete(
        self, claim_id: str, answer: outcomes.StoredAnswer, now_ms: int
    ) -> OpenClaim | None:
        """Ends a claim and stores its answer."""
        opened = self._open.pop(claim_id, None)
        if opened is not None:
            claim = opened.claim
            self.answers.put_owned(claim.key, claim.fingerprint, answer, now_ms)
        return opened

    def is_open(self, key: ids.ExecutionKey) -> bool:
        """Returns whether a granted claim of this host holds the key."""
        return any(
            opened.granted and opened.claim.key.scoped == key.scoped
            for opened in self._open.values()
        )

    # ---- as witness and as holder of answers ----

    def vote(
        self, claim: witness.Claim, roster_hash: bytes, now_ms: int, wall_ms: int
    ) -> witness.Vote:
        """Votes on a claim of any host, including this one."""
        conditions = witness.Conditions(
            has_quorum=self.quorum_check.has_quorum(now_ms),
            knows_roster=self.window.accepts_claims_under(roster_hash, now_ms),
        )
        return self.memory.vote(claim, conditions, now_ms, wall_ms)

    def record_finished(
        self, claim: witness.Claim, answer: outcomes.StoredAnswer | None, now_ms: int
    ) -> None:
        """Records that a claim is finished and stores a copy of its answer, if there is one."""
        self.memory.finish(claim, now_ms)
        if answer is not None:
            self.answers.put_copy(claim.key, claim.fingerprint, answer, now_ms)

    def report(self, key: ids.ExecutionKey, now_ms: int) -> KeyReport:
        """Returns the state of a key as known to this host."""
        outcome = self.answers.find(key, now_ms)
        if outcome is not None and outcome.answer is not None:
            return KeyReport(KeyState.FINISHED, outcome.answer, outcome.fingerprint)
        if self.is_open(key):
            return KeyReport(KeyState.RUNNING)
        record = self.memory.find(key, now_ms)
        if outcome is not None or (record is not None and record.finished_ms is not None):
            known = outcome.fingerprint if outcome is not None else b""
            return KeyReport(KeyState.FINISHED_WITHOUT_ANSWER, None, known)
        return KeyReport(KeyState.UNKNOWN)

    # ---- handover at shutdown ----

    def successor(self, key: ids.ExecutionKey) -> manifest.Host | None:
        """Returns the host that receives the record of a key when this host leaves."""
        if self.window.current is None:
            return None
        before = {host.id for host in self.window.current.witnesses(key.scoped)}
        rest = self.window.current.without(self.host_id)
        after = rest.witnesses(key.scoped)
        joined = (host for host in after if host.id not in before)
        return next(joined, after[0] if after else None)

    def handover(self, now_ms: int) -> dict[str, list[HandoverItem]]:
        """Returns records and answers to hand over, by the peer address of the receiver."""
        batches: dict[str, list[HandoverItem]] = {}
        for record in self.memory.records():
            receiver = self.successor(record.key)
            if receiver is None:
                continue
            outcome = self.answers.find(record.key, now_ms)
            answer = outcome.answer if outcome is not None else None
            if answer is not None and len(answer.body) > outcomes.MAX_COPY_BYTES:
                answer = None
            batches.setdefault(receiver.peer_address, []).append(HandoverItem(record, answer))
        return batches

    def import_handover(self, items: list[HandoverItem], now_ms: int) -> int:
        """Imports the records and answers of a leaving host; returns the number of new records."""
        accepted = 0
        for item in items:
            accepted += self.memory.import_record(item.record, now_ms)
            if item.answer is not None:
                self.answers.put_copy(item.record.key, item.record.fingerprint, item.answer, now_ms)
        return accepted


@attrs.frozen
class HandoverItem:
    """A witness record and its answer, None if the leaving host has no answer to hand over."""

    record: witness.Record
    answer: outcomes.StoredAnswer | None
