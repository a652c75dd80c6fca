"""Tests the comparison of manifests: every change is described by its effect."""

from __future__ import annotations

from typing import Any

import factories
import pytest

from sesamehold.version import difference
from sesamehold.version import manifest


def _effects(path: str, value: Any) -> list[str]:
    old = factories.manifest_document()
    new = factories.manifest_document()
    new["version"] = 8
    factories.set_value(new, path, value)
    found = difference.effects(manifest.from_json(old).ok, manifest.from_json(new).ok)
    return [str(effect) for effect in found]


def _target(index: int) -> dict[str, Any]:
    return {"id": f"new-{index}", "address": f"10.9.0.{index}:80", "zone": "zone-a"}


@pytest.mark.parametrize(
    ("path", "value", "text"),
    [
        pytest.param("version", 9, None, id="version-only"),
        pytest.param("version", 7, None, id="same"),
        pytest.param(
            "zones.0.in_service",
            False,
            "zone zone-a: is taken out; 3 targets and 2 hosts get no new work.",
            id="zone-out",
        ),
        pytest.param(
            "accounts.0.requests_per_s",
            5.0,
            "account owner: requests_per_s changes from 1000.0 to 5.0.",
            id="account-limit",
        ),
        pytest.param(
            "accounts.0.credential_hash",
            "cd" * 32,
            "account owner: has another credential; the previous one is refused.",
            id="credential-without-hash",
        ),
        pytest.param(
            "accounts.0.partners",
            [{"partner": "bars", "fraction": 1.0}],
            "account owner: new cost is split bars 1 instead of bars 0.5, tolls 0.5.",
            id="partner-split",
        ),
        pytest.param(
            "pools.1.targets",
            [_target(1)],
            "pool encode: gains 1 targets (new-1).",
            id="target-added",
        ),
        pytest.param(
            "pools.1.targets.0.leaving",
            True,
            "pool encode: 1 targets (encode-0) get no new work because they are leaving.",
            id="target-leaving",
        ),
        pytest.param(
            "pipelines.0.stages.0.pool",
            "retrieve",
            "pipeline summary, stage encode: pool changes from encode to retrieve.",
            id="stage-pool",
        ),
        pytest.param("hosts", [], "host host-0: leaves the roster.", id="roster"),
        pytest.param(
            "policy",
            {"retry_fraction": 0.2},
            "policy: retry_fraction changes from 0.1 to 0.2.",
            id="policy",
        ),
    ],
)
def test_change_is_described_by_its_effect(path: str, value: Any, text: str | None) -> None:
    """Guards against a change that the comparison hides from operators before publication."""
    effects = _effects(path, value)
    assert (text in effects) if text else effects == []


def test_credentials_are_not_shown() -> None:
    assert "cd" * 32 not in str(_effects("accounts.0.credential_hash", "cd" * 32))
