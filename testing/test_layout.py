"""Checks that imports keep to the layout by life span and to the other architecture rules."""

from __future__ import annotations

import ast
import pathlib

import pytest

import sesamehold

ROOT = pathlib.Path(sesamehold.__file__).parent
PACKAGES_BY_LIFETIME = ("request", "connection", "version", "process")
# Modules with only value types, which longer-lived packages may import.
VALUE_TYPE_MODULES = {
    "sesamehold.request.errors",
    "sesamehold.request.events",
    "sesamehold.request.ids",
    "sesamehold.request.deadline",
    "sesamehold.request.execution",
    "sesamehold.request.calls",
    "sesamehold.request.gateway.messages",
    "sesamehold.request.gateway.ports",
}
# Modules that wire the components of a process together.
COMPOSITION_ROOTS = {
    "process/components.py",
    "process/daemon.py",
    "process/cli.py",
    "process/gateway/daemon.py",
}
# The adapter converts between platform formats and the types of all four packages.
ADAPTER = "platform"
FORBIDDEN = {"threading", "multiprocessing", "subprocess", "concurrent.futures", "dataclasses"}
TRANSPORTS = {"aiohttp", "grpclib", "asyncio"}


def _modules() -> list[pathlib.Path]:
    return [path for path in sorted(ROOT.rglob("*.py")) if "wire" not in path.parts]


def _imports(path: pathlib.Path) -> set[str]:
    names: set[str] = set()
    for item in ast.walk(ast.parse(path.read_text())):
        if isinstance(item, ast.Import):
            names.update(alias.name for alias in item.names)
        elif isinstance(item, ast.ImportFrom) and item.module is not None:
            names.update(f"{item.module}.{alias.name}" for alias in item.names)
    return names


def _package(name: str) -> str | None:
    parts = name.split(".")
    return parts[1] if parts[0] == "sesamehold" and len(parts) > 1 else None


@pytest.mark.parametrize("path", _modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_longer_lived_package_does_not_import_shorter_lived(path: pathlib.Path) -> None:
    relative = str(path.relative_to(ROOT))
    if relative in COMPOSITION_ROOTS or path.parent == ROOT or path.parent.name == ADAPTER:
        return
    lifetime_index = PACKAGES_BY_LIFETIME.index(path.relative_to(ROOT).parts[0])
    for name in _imports(path):
        package = _package(name)
        if package in PACKAGES_BY_LIFETIME and PACKAGES_BY_LIFETIME.index(package) < lifetime_index:
            allowed = name in VALUE_TYPE_MODULES or _is_owned_by_registry(lifetime_index, package)
            assert allowed, f"{relative} imports {name}"


def _is_owned_by_registry(lifetime_index: int, package: str) -> bool:
    # A connection starts requests, and the process holds the active version. Both are entries of
    # registries that the process owns and clears.
    return (PACKAGES_BY_LIFETIME[lifetime_index], package) in {
        ("connection", "request"),
        ("process", "version"),
    }


@pytest.mark.parametrize("path", _modules(), ids=lambda path: str(path.relative_to(ROOT)))
def test_no_threads_subprocesses_or_dataclasses(path: pathlib.Path) -> None:
    assert not _imports(path) & FORBIDDEN


@pytest.mark.parametrize(
    "module",
    [
        "request/execution.py",
        "request/events.py",
        "request/stream.py",
        "request/deadline.py",
        "connection/liveness.py",
        "connection/status_line.py",
        "connection/request_meter.py",
        "process/dispatch.py",
        "process/retry_budget.py",
        "process/cost_table.py",
        "process/dump.py",
        "process/explanations.py",
        "process/ledger.py",
        "process/admission.py",
        "process/concurrency.py",
        "process/latency.py",
        "process/policy_dispatcher.py",
        "process/pool_queues.py",
        "process/prefix_index.py",
        "process/suspects.py",
        "process/target_selector.py",
        "process/target_state.py",
        "process/target_table.py",
        "request/policies.py",
        "request/selection.py",
        "process/execution_claims.py",
        "process/outcomes.py",
        "process/fleet_health.py",
        "process/witness.py",
        "request/claim_round.py",
        "version/roster.py",
        "version/manifest.py",
        "version/shares.py",
        "version/subset.py",
        "version/acceptance.py",
        "version/sections.py",
        "process/configuration.py",
        "process/configuration_follower.py",
        "process/dissemination.py",
        "process/fleet_view.py",
        "process/membership.py",
        "process/messages.py",
        "process/notices.py",
        "process/pause.py",
        "process/quorum.py",
        "process/reader_choice.py",
        "process/receive_budget.py",
        "process/startup.py",
        "process/ledger_copies.py",
        "process/ledger_replication.py",
        "process/partner_split.py",
        "process/settings.py",
        "process/gateway/caller_limits.py",
        "process/gateway/cold_rate_limit.py",
        "process/gateway/crash_attribution.py",
        "process/gateway/target_restrictions.py",
        "process/gateway/directory_events.py",
        "process/gateway/engine_choice.py",
        "process/gateway/engine_load.py",
        "process/gateway/engine_slowdowns.py",
        "process/gateway/hosts.py",
        "process/gateway/item_order.py",
        "process/gateway/retry_budget.py",
        "process/gateway/route_latency.py",
        "process/gateway/settings.py",
        "process/gateway/sliding_window.py",
        "process/gateway/stage_job.py",
        "process/gateway/stage_scheduler.py",
        "process/gateway/store_replica.py",
        "process/gateway/target_ranking.py",
        "process/gateway/targets.py",
        "request/gateway/attempts.py",
        "request/gateway/event_stream.py",
        "request/gateway/messages.py",
        "version/routing.py",
        "version/constraints.py",
        "version/difference.py",
        "version/model_schema.py",
        "version/schema.py",
        "version/schema_faults.py",
        "version/validation.py",
    ],
)
def test_decisions_import_no_transport(module: str) -> None:
    roots = {name.split(".")[0] for name in _imports(ROOT / module)}
    assert not roots & TRANSPORTS


def _wire_names() -> set[str]:
    """Returns the header names and paths that may occur only in the adapter."""
    texts: set[str] = set()
    for item in ast.walk(ast.parse((ROOT / ADAPTER / "names.py").read_text())):
        if isinstance(item, ast.Constant) and isinstance(item.value, (bytes, str)):
            value = item.value
            text = value.decode() if isinstance(value, bytes) else value
            # Single words such as "model" and "hold" are skipped: they are general terms, too.
            if "-" in text or "/" in text or "_" in text:
                texts.add(text.lower())
    return texts


@pytest.mark.parametrize(
    "path",
    [path for path in _modules() if path.parent.name != ADAPTER],
    ids=lambda path: str(path.relative_to(ROOT)),
)
def test_only_adapter_depends_on_platform(path: pathlib.Path) -> None:
    """Guards against platform header names and paths outside the adapter."""
    assert not any(name.startswith("sesamehold.platform") for name in _imports(path))
    shared = {"authorization"}
    texts = {
        item.value.lower() if isinstance(item.value, str) else item.value.decode("latin-1").lower()
        for item in ast.walk(ast.parse(path.read_text()))
        if isinstance(item, ast.Constant) and isinstance(item.value, (bytes, str))
    }
    assert not texts & (_wire_names() - shared)


def test_adapter_is_small() -> None:
    """Guards against decision logic in the adapter: it must stay under a tenth of the code."""
    lines = {path: len(path.read_text().splitlines()) for path in _modules()}
    adapter = sum(count for path, count in lines.items() if path.parent.name == ADAPTER)
    assert adapter * 10 < sum(lines.values())
