"""Server side of the claim protocol: votes on claims and reports outcomes."""

from __future__ import annotations

import attrs

from sesamehold.connection import claim_codec
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import clock as clocks
from sesamehold.process import execution_claims
from sesamehold.process import key_waiters
from sesamehold.process import witness
from sesamehold.request import ids


@attrs.frozen
class HostClaimHandler:
    """Implements `peer_server.ClaimHandler` for the local host."""

    _claims: execution_claims.HostClaims
    _waiters: key_waiters.KeyWaiters
    _clock: clocks.Clock

    async def claim(self, request: peer_pb2.ClaimRequest) -> peer_pb2.ClaimReply:
        """Votes on a claim."""
        vote = self._claims.vote(
            claim_codec.claim_from_wire(request),
            request.roster_hash,
            self._clock.now_ms(),
            self._clock.wall_ms(),
        )
        return claim_codec.vote_to_wire(vote)

    async def release(self, request: peer_pb2.ReleaseRequest) -> None:
        """Removes the record of a claim under which nothing was dispatched."""
        key = claim_codec.key_from_wire(request.key)
        self._claims.memory.release(key, request.claim_id, self._clock.now_ms())

    async def finish(self, request: peer_pb2.FinishRequest) -> None:
        """Records that a key is finished."""
        claim = witness.Claim(
            claim_codec.key_from_wire(request.key),
            # The request names no holder. None is needed: a record created from it is always
            # finished, and finished records are looked up at all witnesses.
            witness.Claimant("", 0, request.claim_id),
            request.fingerprint,
        )
        answer = (
            claim_codec.answer_from_wire(request.answer) if request.HasField("answer") else None
        )
        self._claims.record_finished(claim, answer, self._clock.now_ms())
        self._waiters.wake(claim.key.scoped)

    async def outcome(self, request: peer_pb2.OutcomeRequest) -> peer_pb2.OutcomeReply:
        """Returns the outcome of a key; waits for an execution that is still running."""
        key = claim_codec.key_from_wire(request.key)
        report = await self.report(key, request.wait_ms)
        return claim_codec.report_to_wire(report)

    async def handover(self, request: peer_pb2.HandoverRequest) -> peer_pb2.HandoverReply:
        """Imports the witness records of a host that is shutting down."""
        now_ms = self._clock.now_ms()
        items = [claim_codec.handover_from_wire(item, now_ms) for item in request.records]
        return peer_pb2.HandoverReply(accepted_records=self._claims.import_handover(items, now_ms))

    async def report(self, key: ids.ExecutionKey, wait_ms: int) -> execution_claims.KeyReport:
        """Returns the state of a key; waits up to `wait_ms` if it is running on this host."""
        report = self._claims.report(key, self._clock.now_ms())
        if report.state is not execution_claims.KeyState.RUNNING or wait_ms <= 0:
            return report
        await self._waiters.wait(key.scoped, wait_ms)
        return self._claims.report(key, self._clock.now_ms())
