"""Handover of witness records and stored answers during a graceful shutdown."""

from __future__ import annotations

import pytest

from sesamehold.connection import claim_codec
from sesamehold.process import execution_claims
from sesamehold.process import fleet_health
from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import ids
from sesamehold.version import manifest

NOW_MS = 2_000_000
ANSWER = outcomes.StoredAnswer(200, "application/json", b'{"a": 1}')
FLEET = manifest.Manifest(
    1,
    (),
    tuple(manifest.Host(f"h{i}", f"z{i % 3}", f"127.0.0.1:{i}", "") for i in range(12)),
    (),
    (),
    (),
    (),
)


def _host(host_id: str) -> execution_claims.HostClaims:
    single_host = fleet_health.SINGLE_HOST_FLEET
    claims = execution_claims.HostClaims.from_config(
        host_id, single_host, single_host, 0, 1_700_000_000_000
    )
    claims.configure(FLEET, 0, 1_700_000_000_000)
    return claims


@pytest.mark.parametrize("finished", [False, True], ids=["running-key", "finished-key"])
def test_successor_returns_the_holder_and_the_answer(finished: bool) -> None:
    """Guards against a graceful shutdown that loses a vote or a stored answer."""
    key = ids.ExecutionKey.from_caller("a", "order-1")
    claimant = witness.Claimant("h0", 1, "h0/1/1")
    claim = witness.Claim(key, claimant, b"f")
    roster = _host("h0").window.current
    assert roster is not None
    before = roster.witnesses(key.scoped)
    leaving = _host(before[2].id)
    assert leaving.vote(claim, roster.content_hash, NOW_MS, 0) == witness.Granted()
    if finished:
        leaving.record_finished(claim, ANSWER, NOW_MS)

    ((address, items),) = leaving.handover(NOW_MS + 500).items()

    receiver = next(host for host in FLEET.hosts if host.peer_address == address)
    assert receiver not in before
    assert receiver in roster.without(leaving.host_id).witnesses(key.scoped)
    successor = _host(receiver.id)
    sent = [claim_codec.handover_to_wire(item, NOW_MS + 500) for item in items]
    assert (
        successor.import_handover([claim_codec.handover_from_wire(item, 700) for item in sent], 700)
        == 1
    )
    other = witness.Claim(key, witness.Claimant("h5", 1, "h5/1/1"), b"f")
    vote = successor.vote(other, roster.content_hash, 700, 0)
    assert vote == witness.Held(claimant, finished, b"f")
    report = successor.report(key, 700)
    assert report.answer == (ANSWER if finished else None)
    record = successor.memory.find(key, 700)
    assert record is not None
    assert record.finished_ms == (200 if finished else None)
