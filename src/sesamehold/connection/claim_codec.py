"""Conversion between claim types and the protobuf messages of the claim protocol."""

from __future__ import annotations

from sesamehold.connection.wire import peer_pb2
from sesamehold.process import execution_claims
from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import ids

_STATES = {
    execution_claims.KeyState.UNKNOWN: peer_pb2.OutcomeReply.UNKNOWN,
    execution_claims.KeyState.RUNNING: peer_pb2.OutcomeReply.RUNNING,
    execution_claims.KeyState.FINISHED: peer_pb2.OutcomeReply.FINISHED,
    execution_claims.KeyState.FINISHED_WITHOUT_ANSWER: (
        peer_pb2.OutcomeReply.FINISHED_WITHOUT_ANSWER
    ),
}
_STATES_BY_NUMBER = {number: state for state, number in _STATES.items()}


def key_to_wire(key: ids.ExecutionKey) -> peer_pb2.Key:
    """Encodes an execution key."""
    return peer_pb2.Key(
        account=key.account,
        text=key.text,
        created_wall_ms=key.created_wall_ms or 0,
        has_created=key.created_wall_ms is not None,
    )


def key_from_wire(message: peer_pb2.Key) -> ids.ExecutionKey:
    """Decodes an execution key; `host_generated` is not transmitted; only the claimant knows it."""
    created = message.created_wall_ms if message.has_created else None
    return ids.ExecutionKey(message.account, message.text, created, host_generated=False)


def claim_to_wire(
    claim: witness.Claim, roster_version: int, roster_hash: bytes
) -> peer_pb2.ClaimRequest:
    """Encodes a claim together with the claimant's roster."""
    return peer_pb2.ClaimRequest(
        key=key_to_wire(claim.key),
        claimant=claim.claimant.host_id,
        claimant_incarnation=claim.claimant.incarnation,
        claim_id=claim.claimant.claim_id,
        fingerprint=claim.fingerprint,
        roster_version=roster_version,
        roster_hash=roster_hash,
    )


def claim_from_wire(message: peer_pb2.ClaimRequest) -> witness.Claim:
    """Decodes a claim."""
    claimant = witness.Claimant(message.claimant, message.claimant_incarnation, message.claim_id)
    return witness.Claim(key_from_wire(message.key), claimant, message.fingerprint)


def vote_to_wire(vote: witness.Vote) -> peer_pb2.ClaimReply:
    """Encodes a vote."""
    match vote:
        case witness.Granted():
            return peer_pb2.ClaimReply(verdict=peer_pb2.ClaimReply.GRANTED)
        case witness.Abstained(reason=reason):
            return peer_pb2.ClaimReply(verdict=peer_pb2.ClaimReply.ABSTAIN, reason=reason)
        case witness.Held():
            return peer_pb2.ClaimReply(
                verdict=peer_pb2.ClaimReply.HELD,
                holder=vote.claimant.host_id,
                holder_incarnation=vote.claimant.incarnation,
                holder_claim_id=vote.claimant.claim_id,
                finished=vote.finished,
                fingerprint=vote.fingerprint,
            )


def vote_from_wire(message: peer_pb2.ClaimReply) -> witness.Vote:
    """Decodes a vote; an unknown verdict of a newer protocol version counts as abstention."""
    if message.verdict == peer_pb2.ClaimReply.GRANTED:
        return witness.Granted()
    if message.verdict == peer_pb2.ClaimReply.HELD:
        claimant = witness.Claimant(
            message.holder, message.holder_incarnation, message.holder_claim_id
        )
        return witness.Held(claimant, message.finished, message.fingerprint)
    return witness.Abstained(message.reason)


def answer_to_wire(answer: outcomes.StoredAnswer) -> peer_pb2.StoredAnswer:
    """Encodes a stored response."""
    return peer_pb2.StoredAnswer(
        status=answer.status, content_type=answer.content_type, body=answer.body
    )


def answer_from_wire(message: peer_pb2.StoredAnswer) -> outcomes.StoredAnswer:
    """Decodes a stored response."""
    return outcomes.StoredAnswer(message.status, message.content_type, message.body)


def report_to_wire(report: execution_claims.KeyReport) -> peer_pb2.OutcomeReply:
    """Encodes the state and outcome of a key."""
    return peer_pb2.OutcomeReply(
        state=_STATES[report.state],
        answer=answer_to_wire(report.answer) if report.answer is not None else None,
        fingerprint=report.fingerprint,
    )


def report_from_wire(message: peer_pb2.OutcomeReply) -> execution_claims.KeyReport:
    """Decodes the state and outcome of a key; an unknown state counts as `UNKNOWN`."""
    answer = answer_from_wire(message.answer) if message.HasField("answer") else None
    state = _STATES_BY_NUMBER.get(message.state, execution_claims.KeyState.UNKNOWN)
    return execution_claims.KeyReport(state, answer, message.fingerprint)


def handover_to_wire(item: execution_claims.HandoverItem, now_ms: int) -> peer_pb2.WitnessRecord:
    """Encodes one handed-over witness record; its finish time is sent as an age."""
    record = item.record
    finished_ms = record.finished_ms
    return peer_pb2.WitnessRecord(
        key=key_to_wire(record.key),
        holder=record.claimant.host_id,
        holder_incarnation=record.claimant.incarnation,
        claim_id=record.claimant.claim_id,
        fingerprint=record.fingerprint,
        finished=finished_ms is not None,
        age_ms=0 if finished_ms is None else max(0, now_ms - finished_ms),
        answer=answer_to_wire(item.answer) if item.answer is not None else None,
    )


def handover_from_wire(
    message: peer_pb2.WitnessRecord, now_ms: int
) -> execution_claims.HandoverItem:
    """Decodes one handed-over record; its age is converted to this host's clock."""
    record = witness.Record(
        key=key_from_wire(message.key),
        claimant=witness.Claimant(message.holder, message.holder_incarnation, message.claim_id),
        fingerprint=message.fingerprint,
        finished_ms=now_ms - message.age_ms if message.finished else None,
        imported=True,
    )
    answer = answer_from_wire(message.answer) if message.HasField("answer") else None
    return execution_claims.HandoverItem(record, answer)
