"""Witness sets and the overlap window of rosters."""

from __future__ import annotations

import collections

import pytest

from sesamehold.version import manifest
from sesamehold.version import roster


def _roster(version: int, zones: dict[str, int]) -> roster.Roster:
    hosts = tuple(
        manifest.Host(f"{zone}-{index}", zone, "127.0.0.1:1", "127.0.0.1:2")
        for zone, count in zones.items()
        for index in range(count)
    )
    return roster.Roster(version, hosts)


@pytest.mark.parametrize(
    ("zones", "size", "largest"),
    [
        pytest.param({"a": 1}, 1, 1, id="one-host"),
        pytest.param({"a": 3, "b": 3, "c": 3}, 9, 3, id="nine-hosts-are-all-witnesses"),
        pytest.param({"a": 40, "b": 40, "c": 40}, 9, 3, id="three-zones"),
        pytest.param({"a": 90, "b": 90, "c": 1}, 9, 4, id="small-zone"),
        pytest.param({f"z{index}": 70 for index in range(14)}, 9, 1, id="design-size"),
    ],
)
def test_witnesses_are_balanced_over_zones(zones: dict[str, int], size: int, largest: int) -> None:
    """Guards against a zone whose loss takes more witnesses than it must."""
    for number in range(50):
        witnesses = _roster(1, zones).witnesses(f"key-{number}")
        counts = collections.Counter(host.zone for host in witnesses)
        assert (len(witnesses), max(counts.values())) == (size, largest)


@pytest.mark.parametrize(
    ("at_ms", "sets", "accepted"),
    [
        pytest.param(10, 2, True, id="just-superseded"),
        pytest.param(1_500, 2, False, id="witnesses-refuse-before-claimants-drop"),
        pytest.param(3_500, 1, False, id="outside-the-window"),
    ],
)
def test_superseded_roster_leaves_the_window_in_two_steps(
    at_ms: int, sets: int, accepted: bool
) -> None:
    """Guards against a claim under the new roster alone while old claims may still be granted."""
    old, new = _roster(1, {"a": 3}), _roster(2, {"a": 2, "b": 1})
    window = roster.RosterWindow(0).accept(old, 1_000, -5_000).accept(new, 1_000, 0)
    assert len(window.witness_sets("key", at_ms)) == sets
    assert window.knows(old.content_hash, at_ms) is accepted
    assert window.knows(new.content_hash, at_ms)


def test_version_with_the_same_hosts_adds_no_witness_set() -> None:
    """Guards against claims that need more votes after each unrelated change of the manifest."""
    window = roster.RosterWindow(0)
    for version in range(1, 4):
        window = window.accept(_roster(version, {"a": 12}), 1_000, version)
    assert len(window.witness_sets("key", 10)) == 1
