"""Tests the bounds of the claim memory and of the outcome store."""

from __future__ import annotations

import pytest

from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import ids

WALL_MS = 1_700_000_000_000
RETENTION_MS = 10_000
SKEW_MS = 100
CONDITIONS = witness.Conditions(has_quorum=True, knows_roster=True)


def _claim(number: int, host: str = "h", *, created_ms: int = 10_000) -> witness.Claim:
    key = ids.ExecutionKey.from_caller("a", ids.uuid7(WALL_MS + created_ms, number))
    return witness.Claim(key, witness.Claimant(host, 1, f"{host}-{number}"), b"f")


def _memory(max_records: int = 2) -> witness.ClaimMemory:
    return witness.ClaimMemory(0, WALL_MS, RETENTION_MS, SKEW_MS, max_records)


def _vote(memory: witness.ClaimMemory, claim: witness.Claim, now_ms: int) -> witness.Vote:
    return memory.vote(claim, CONDITIONS, now_ms, WALL_MS + now_ms)


@pytest.mark.parametrize(
    ("finished", "now_ms", "expected"),
    [
        pytest.param(False, 15_000, witness.Abstained("full"), id="unfinished-records-stay"),
        pytest.param(True, 15_000, witness.Abstained("full"), id="finished-but-retained"),
        pytest.param(True, 20_300, witness.Granted(), id="finished-and-expired"),
    ],
)
def test_full_memory_abstains_rather_than_evict(
    finished: bool, now_ms: int, expected: witness.Vote
) -> None:
    """Guards against a second grant for a key whose record was evicted."""
    memory = _memory()
    for number in range(2):
        assert _vote(memory, _claim(number), 10_000) == witness.Granted()
        if finished:
            memory.finish(_claim(number), 10_000)
    assert _vote(memory, _claim(2, created_ms=now_ms), now_ms) == expected


@pytest.mark.parametrize(
    ("created_ms", "now_ms", "conditions", "expected"),
    [
        pytest.param(200, 300, CONDITIONS, "key-may-be-older", id="key-near-the-start"),
        pytest.param(201, 10_400, CONDITIONS, "key-expired", id="expired-key"),
        pytest.param(
            500, 600, witness.Conditions(False, True), "no-quorum", id="host-without-quorum"
        ),
        pytest.param(
            500, 600, witness.Conditions(True, False), "unknown-roster", id="unknown-roster"
        ),
    ],
)
def test_witness_abstains(
    created_ms: int, now_ms: int, conditions: witness.Conditions, expected: str
) -> None:
    """Guards against votes of a witness that may have missed an earlier claim."""
    claim = _claim(1, created_ms=created_ms)
    vote = _memory().vote(claim, conditions, now_ms, WALL_MS + now_ms)
    assert vote == witness.Abstained(expected)


def test_released_claim_id_is_never_granted_again() -> None:
    """Guards against a delayed claim message that leaves a record which is never removed."""
    memory = _memory()
    memory.release(_claim(1).key, "h-1", 10_000)
    assert _vote(memory, _claim(1), 10_001) == witness.Abstained("released")


def test_imported_record_grants_no_claim_and_returns_its_holder() -> None:
    """Guards against two votes for one claim after a handover, by the old and the new witness."""
    memory = _memory()
    claim = _claim(1)
    memory.import_record(witness.Record(claim.key, claim.claimant, claim.fingerprint), 10_000)
    assert _vote(memory, claim, 10_001) == witness.Held(claim.claimant, False, b"f")


@pytest.mark.parametrize(
    ("size_bytes", "owned", "copied"),
    [
        pytest.param(outcomes.MAX_COPY_BYTES, True, True, id="small-answer"),
        pytest.param(outcomes.MAX_COPY_BYTES + 1, True, False, id="too-large-for-a-copy"),
        pytest.param(outcomes.MAX_OWNED_BYTES + 1, False, False, id="too-large-for-the-owner"),
    ],
)
def test_large_answers_are_not_stored(size_bytes: int, owned: bool, copied: bool) -> None:
    """Guards against answers that exhaust the memory of the host."""
    answer = outcomes.StoredAnswer(200, "text/plain", b"x" * size_bytes)
    stores = (outcomes.OutcomeStore(), outcomes.OutcomeStore())
    key = _claim(1).key
    assert (stores[0].put_owned(key, b"f", answer, 0).answer is not None) is owned
    assert (stores[1].put_copy(key, b"f", answer, 0).answer is not None) is copied


def test_oldest_answer_is_evicted_and_first_answer_is_kept() -> None:
    """Guards against an unbounded store and against a stored answer that is replaced."""
    store = outcomes.OutcomeStore(max_total_bytes=10)
    for number in range(3):
        answer = outcomes.StoredAnswer(200, "text/plain", bytes([number]) * 5)
        store.put_owned(_claim(number).key, b"f", answer, number)
        store.put_owned(_claim(number).key, b"f", outcomes.StoredAnswer(200, "", b"2"), number)
    assert store.total_bytes == 10
    assert store.find(_claim(0).key, 3) is None
    kept = store.find(_claim(2).key, 3)
    assert kept is not None
    assert kept.answer == outcomes.StoredAnswer(200, "text/plain", b"\x02" * 5)
