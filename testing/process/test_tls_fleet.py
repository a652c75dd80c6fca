"""Daemons whose peer connections use TLS."""

from __future__ import annotations

from collections.abc import Iterator
import pathlib

import attrs
import certificates
import fleet_session
import pytest
from sesamehold_bench.request import load_request


@pytest.fixture
def session(tmp_path: pathlib.Path) -> Iterator[fleet_session.FleetSession]:
    files = certificates.Authority.create().issue(tmp_path, "peer")
    with fleet_session.small_fleet(peer_tls=attrs.asdict(files)) as running:
        yield running


def test_key_sent_through_all_hosts_runs_once_over_tls(
    session: fleet_session.FleetSession,
) -> None:
    """Guards against hosts that cannot reach witnesses over TLS, which stops execution claims."""
    key = session.new_key()
    plans = [session.plan("order", host, key=key, prompt="part 7") for host in range(3)]
    outcomes = [session.run(session.send(plan))[0] for plan in plans]
    assert {outcome.kind for outcome in outcomes} == {load_request.ANSWERED}
    assert session.run(session.violations(outcomes)) == []
