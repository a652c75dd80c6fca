"""Tests decoding of items published by the operator and the workers, and of the settings file."""

from __future__ import annotations

import json
from typing import Any

from expression import Result
import pytest

from sesamehold.platform import boot
from sesamehold.platform import published
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets
from sesamehold.version import routing

WORKER: dict[str, Any] = {
    "service": "huvo",
    "address": "10.128.0.9:8080",
    "zone": "hcm-a",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Jepu9.example",
            "prefix": "/cufi/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "aimMs": 2300,
            "priority": 1,
            "service": "huvo",
            "attempts": 2,
            "stages": [
                {"service": "kafi", "after": [], "bytes": 8000},
                {"service": "lovo", "after": [0], "bytes": 60000},
            ],
            "anonymous": False,
            "resumable": True,
            "gapAimMs": 300,
        },
        {
            "name": "r-2",
            "host": "jepu9.example",
            "prefix": "/cufi/deep/",
            "kind": "non_idempotent",
            "timeoutMs": 1500,
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
        },
    ],
    "services": [
        {"name": "huvo", "coldPerS": 22.0, "engine": {"slots": 128, "cacheTokens": 508419}},
        {
            "name": "kafi",
            "pieces": {
                "slots": 1,
                "queue": 2,
                "batch": 9,
                "callMs": 200.0,
                "itemMs": 18.5,
                "roomMb": 20.5,
                "handleS": 4.0,
                "linkMbps": 10000,
            },
        },
    ],
    "limits": {"headerBytes": 16384, "bodyBytes": 100, "headerMs": 3000, "idleMs": 15000},
    "tenants": [{"name": "bozi", "keys": ["k1", "k2"], "priority": 1}],
    "later": {"unknown": True},
}
BOOT = """
nodeName = "front-a-1"
ipAddress = "10.1.0.41"
zone = "hcm-a"
internalPorts = [7740, 7755]
seeds = ["10.1.0.41:8628", "10.2.0.25:8628"]
later = "unknown"
[listen]
front = "10.1.0.41:8625"
readiness = "10.1.0.41:8621"
[limits]
processorShare = 0.537
cores = 2
memoryMb = 256
[bounds]
graceS = 8
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraAttempts = 56
[platform]
address = "10.200.1.7:8624"
"""


def _decode(key: str, value: Any) -> tuple[directory_events.DirectoryEvent, ...]:
    data = value if isinstance(value, bytes) or value is None else json.dumps(value).encode()
    return published.decode(store_replica.StoreItem(key, data, 9), now_ms=1_000)


def test_worker_entry() -> None:
    """Checks the identity, times and units of a decoded target."""
    (event,) = _decode("servers/i-1", {**WORKER, "coldRemainingMs": 2500.0})
    assert event == directory_events.TargetPublished(
        targets.Target(
            target_id="i-1",
            born_ms=1_700_000_000_000,
            service="huvo",
            address="10.128.0.9:8080",
            zone="hcm-a",
            slots=128,
            cold_until_ms=3_500,
        )
    )


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"\xff\xfe", id="not-text"),
        pytest.param([1], id="not-an-object"),
        pytest.param({**WORKER, "state": "resting"}, id="unknown-state"),
        pytest.param({**WORKER, "service": 7}, id="service-of-another-type"),
        pytest.param({**WORKER, "slots": "many"}, id="slots-of-another-type"),
        pytest.param({**WORKER, "address": "nowhere"}, id="no-address"),
        pytest.param({k: v for k, v in WORKER.items() if k != "zone"}, id="field-missing"),
    ],
)
def test_malformed_target_entry_withdraws_the_target(value: Any) -> None:
    """Guards against using an invalid entry as a target, and against a crash of the decoder."""
    events = _decode("servers/i-1", value)
    assert events[0] == directory_events.TargetWithdrawn("i-1")
    assert isinstance(events[1], directory_events.InvalidItem)


@pytest.mark.parametrize(
    ("key", "value", "event"),
    [
        pytest.param("op/evacuate/z1", {}, directory_events.ZoneTakenOut("z1"), id="out"),
        pytest.param("op/evacuate/z1", None, directory_events.ZoneBroughtBack("z1"), id="back"),
        pytest.param("servers/i-1", None, directory_events.TargetWithdrawn("i-1"), id="gone"),
    ],
)
def test_operator_and_removal_events(
    key: str, value: Any, event: directory_events.DirectoryEvent
) -> None:
    """Checks the mapping of store keys to events."""
    assert _decode(key, value) == (event,)


def test_configuration() -> None:
    """Guards against decoding routes, services, keys or limits with the wrong unit or kind."""
    (event,) = _decode("op/config", CONFIGURATION)
    assert isinstance(event, directory_events.ConfigurationPublished)
    table = event.table
    assert table.version == 7
    deep = table.find_route("JEPU9.example", "/cufi/deep/x")
    assert deep is not None
    assert (deep.name, deep.kind) == ("r-2", routing.RequestKind.NON_IDEMPOTENT)
    assert [deep.pick_service(draw) for draw in (0.0, 0.89, 0.95)] == ["a", "a", "b"]
    route = table.find_route("jepu9.example", "/cufi/x")
    assert route is not None
    assert route.repeatable
    assert route.stages[1] == routing.Stage("lovo", (0,), 60_000)
    assert table.find_route("jepu9.example", "/other/") is None
    pool = table.services["kafi"].stage_pool
    assert pool is not None
    assert (pool.result_capacity_bytes, pool.retention_ms) == (20_500_000, 4_000)
    assert table.accounts_by_key["k2"] == routing.RoutedAccount("bozi", 1)
    assert (table.requires_key, table.limits.body_size_bytes) == (True, 100)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"{", id="not-json"),
        pytest.param({"routes": []}, id="no-version"),
        pytest.param(
            {"version": 1, "routes": [{**CONFIGURATION["routes"][0], "kind": "other"}]},
            id="unknown-kind",
        ),
    ],
)
def test_malformed_configuration_is_reported(value: Any) -> None:
    """Guards against a malformed configuration that crashes the process."""
    (event,) = _decode("op/config", value)
    assert isinstance(event, directory_events.InvalidItem)


def test_settings_file() -> None:
    """Checks that seeds, given as control addresses, are mapped to the internal peer port."""
    match boot.decode(BOOT):
        case Result(tag="ok", ok=config):
            assert str(config.peer_address) == "10.1.0.41:7740"
            assert [str(seed) for seed in config.seeds] == ["10.1.0.41:7740", "10.2.0.25:7740"]
            assert config.bounds.grace_ms == 8_000
            assert config.bounds.retry_window_ms == 10_000
            assert config.core_count == pytest.approx(1.074)
            assert config.memory_bytes == 256_000_000
        case Result(error=fault):
            raise AssertionError(fault)


@pytest.mark.parametrize(
    ("text", "part"),
    [
        pytest.param("nodeName = ", "not TOML", id="not-toml"),
        pytest.param(BOOT.replace("[7740, 7755]", "[]"), "malformed", id="no-port"),
        pytest.param(BOOT.replace('zone = "hcm-a"', ""), "zone", id="field-missing"),
        pytest.param(BOOT.replace("graceS = 8", "graceS = inf"), "malformed", id="infinite"),
    ],
)
def test_invalid_settings_file_is_rejected_with_a_reason(text: str, part: str) -> None:
    """Guards against a process that starts with an incomplete configuration."""
    decoded = boot.decode(text)
    assert decoded.is_error()
    assert part in str(decoded.error)
