"""Factories of requests, manifests and settings shared by the tests."""

from __future__ import annotations

from collections.abc import Sequence
import copy
from typing import Any

from sesamehold.process import retry_budget
from sesamehold.request import deadline
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import schema_faults

REQUEST_ID = ids.uuid7(1_700_000_000_000, 7)


def stage(name: str, *, repeatable: bool = True) -> manifest.Stage:
    """Returns a stage whose pool has the same name."""
    kind = manifest.StageKind.GENERATE if name == "generate" else manifest.StageKind.SERVICE
    return manifest.Stage(name=name, kind=kind, pool=name, repeatable=repeatable)


def pipeline(*stages: manifest.Stage) -> manifest.Pipeline:
    """Returns a pipeline of the given stages."""
    return manifest.Pipeline(name="pipeline", owner="owner", stages=stages)


def request(
    *stages: manifest.Stage,
    deadline_ms: int = 3_000,
    key: ids.ExecutionKey | None = None,
    first_submission: bool = False,
) -> execution.Request:
    """Returns an admitted request."""
    return execution.Request(
        request_id=REQUEST_ID,
        account="account",
        pipeline=pipeline(*stages),
        body={"prompt": "p"},
        deadline=deadline.Deadline(deadline_ms),
        key=key,
        fingerprint=b"fingerprint",
        first_submission=first_submission,
    )


def budget(burst: float = 10.0) -> retry_budget.FractionRetryBudget:
    """Returns a retry budget with a fraction of 0.1 and the given burst."""
    return retry_budget.FractionRetryBudget(fraction=0.1, burst=burst)


def manifest_document() -> dict[str, Any]:
    """Returns a small valid manifest as parsed JSON."""
    hosts = [
        {
            "id": f"host-{index}",
            "zone": "zone-a" if index % 2 == 0 else "zone-b",
            "peer_address": f"10.0.0.{index + 1}:7003",
            "operator_address": f"10.0.0.{index + 1}:7002",
        }
        for index in range(3)
    ]
    partners = [{"partner": "bars", "fraction": 0.5}, {"partner": "tolls", "fraction": 0.5}]
    account = {"partners": partners, "credential_salt": "5e5a", "credential_hash": "ab" * 32}
    pools = [
        _pool_document(index, name)
        for index, name in enumerate(("language-model", "encode", "retrieve"))
    ]
    stages = [
        {"name": "encode", "kind": "encode", "pool": "encode"},
        {"name": "retrieve", "kind": "retrieve", "pool": "retrieve"},
        {
            "name": "generate",
            "kind": "generate",
            "pool": "language-model",
            "path": "/v1/completions",
            "model": "chat",
            "adapter": "form",
        },
    ]
    return {
        "version": 7,
        "zones": [
            {"name": "zone-a", "region": "region-1", "in_service": True},
            {"name": "zone-b", "region": "region-1"},
        ],
        "hosts": hosts,
        "accounts": [
            {"name": "owner", **copy.deepcopy(account)},
            {"name": "guest", **copy.deepcopy(account)},
        ],
        "models": [{"name": "chat", "versions": ["1"], "adapters": ["form"]}],
        "pools": pools,
        "pipelines": [
            {
                "name": "summary",
                "owner": "owner",
                "stages": stages,
                "default_deadline_ms": 3_000,
                "callers": [],
            }
        ],
    }


def settings_document() -> dict[str, Any]:
    """Returns valid settings as parsed JSON."""
    return {
        "host_id": "host-0",
        "zone": "zone-a",
        "caller_address": "10.0.0.1:7001",
        "operator_address": "10.0.0.1:7002",
        "peer_address": "10.0.0.1:7003",
        "platform_address": "10.0.9.1:80",
        "operator_credential": "operator-credential-0",
        "peer_keys": ["peer-key-number-one"],
        "seeds": ["10.0.0.2:7003"],
        "limits": {"idle_ms": 5_000},
        "caller_tls": {"certificate_path": "c.pem", "key_path": "k.pem"},
        "random_seed": None,
    }


def _pool_document(index: int, name: str) -> dict[str, Any]:
    targets = [
        {
            "id": f"{name}-{number}",
            "address": f"10.0.{index + 1}.{number + 1}:80",
            "zone": "zone-a" if number % 2 == 0 else "zone-b",
        }
        for number in range(2)
    ]
    return {
        "name": name,
        "kind": "engine" if name == "language-model" else "service",
        "owner": "owner",
        "targets": targets,
        "capacity_warm": 16,
        "capacity_cold": 2,
        "max_service_ms": 30_000,
    }


def set_value(document: Any, path: str, value: Any) -> None:
    """Sets the value at a dotted path, such as `pools.0.capacity_cold`, in place."""
    *parents, last = [int(part) if part.isdigit() else part for part in path.split(".")]
    for part in parents:
        document = document[part]
    document[last] = value


def leaf_paths(document: Any, prefix: str = "") -> list[str]:
    """Returns the dotted paths of all values of a document, nested containers included."""
    if not isinstance(document, dict | list):
        return []
    items = document.items() if isinstance(document, dict) else enumerate(document)
    paths: list[str] = []
    for key, value in items:
        paths += [f"{prefix}{key}", *leaf_paths(value, f"{prefix}{key}.")]
    return paths


def assert_fault(faults: Sequence[manifest.ManifestFault], path: str, wanted: str) -> None:
    """Asserts that the faults contain one that matches `[path: ]reason[; nearest name]`.

    Args:
        faults: Faults reported by the validation.
        path: Dotted path that was changed; the fault is expected there unless `wanted` names
            another path.
        wanted: Expected fault; `reason` is a part of the reported reason.
    """
    expected_path, _, rest = wanted.rpartition(": ")
    reason, _, nearest = rest.partition("; ")
    parts = [int(part) if part.isdigit() else part for part in path.split(".")]
    expected_path = expected_path or schema_faults.format_path(parts)
    found = [fault for fault in faults if fault.path == expected_path and reason in fault.reason]
    assert found, (wanted, faults)
    assert not nearest or found[0].nearest == nearest
