"""Tests the set of rosters in each of which a claim needs a majority."""

from __future__ import annotations

import pytest

from sesamehold.version import manifest
from sesamehold.version import roster

RETENTION_MS = 1_000


def _roster(version: int, text: str) -> roster.Roster:
    hosts = [manifest.Host(name, "zone", f"{name}:1", f"{name}:2") for name in text]
    return roster.Roster.from_hosts(version, hosts)


@pytest.mark.parametrize(
    ("past", "now_ms", "expected"),
    [
        pytest.param([], 0, ["bcd"], id="nothing-learned"),
        pytest.param([("abc", 0)], 0, ["bcd", "abc"], id="predecessor-from-a-peer"),
        pytest.param([("bcd", 0)], 0, ["bcd"], id="same-hosts-count-once"),
        pytest.param([("abc", 0), ("abc", 0)], 0, ["bcd", "abc"], id="repeated-answer"),
        pytest.param([("abc", 0)], 3 * RETENTION_MS, ["bcd"], id="out-of-the-window"),
    ],
)
def test_starting_host_learns_superseded_rosters(
    past: list[tuple[str, int]], now_ms: int, expected: list[str]
) -> None:
    """Guards against a new claimant whose majority misses a claim made under an older roster."""
    window = roster.RosterWindow(0).accept(_roster(2, "bcd"), RETENTION_MS, 0)
    for text, superseded_ms in past:
        window = window.add_superseded([(_roster(1, text), superseded_ms)])
    found = ["".join(host.id for host in item.hosts) for item in window.rosters(now_ms)]
    assert found == expected
