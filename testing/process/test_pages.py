"""The examples and the pages in docs/ match the code."""

from __future__ import annotations

import ast
import asyncio
import json
import pathlib
import re
import socket
from typing import Any

import attrs
import caller_host
import factories
import pytest
from sesamehold_bench.version import fleet

import sesamehold
from sesamehold.process import cli_check
from sesamehold.process import cli_explain
from sesamehold.process import dump
from sesamehold.process import explanations
from sesamehold.process import metrics
from sesamehold.process import settings
from sesamehold.request import calls
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.version import manifest

SOURCE = pathlib.Path(sesamehold.__file__).parent
ROOT = SOURCE.parents[1]
METHODS = {"count", "gauge", "timing"}


def _possible_names(argument: ast.expr) -> set[str]:
    """Returns the names that an expression can evaluate to; f-string placeholders become `*`."""
    if isinstance(argument, ast.IfExp):
        return _possible_names(argument.body) | _possible_names(argument.orelse)
    if isinstance(argument, (ast.JoinedStr, ast.Constant)):
        return {re.sub(r"\{.*?\}", "*", ast.unparse(argument).strip("f'\""))}
    return set()


def _names_in(item: ast.AST) -> set[str]:
    if isinstance(item, ast.Call) and item.args and isinstance(item.func, ast.Attribute):
        found = _possible_names(item.args[0]) if item.func.attr in METHODS else set()
        return {name for name in found if "." in name}
    if isinstance(item, ast.FunctionDef) and item.name == "gauges":
        keys = [key for part in ast.walk(item) if isinstance(part, ast.Dict) for key in part.keys]
        return {name for key in keys if key is not None for name in _possible_names(key)}
    return set()


def _metric_names() -> set[str]:
    trees = [ast.parse(path.read_text()) for path in SOURCE.rglob("*.py")]
    return {name for tree in trees for item in ast.walk(tree) for name in _names_in(item)}


def test_every_counted_name_is_listed() -> None:
    """Guards against undocumented metrics and against documented ones that do not exist."""
    page = (ROOT / "docs" / "metrics.md").read_text()
    listed = {re.sub(r"<\w+>", "*", name) for name in re.findall(r"^\| `([^`]+)`", page, re.M)}
    assert _metric_names() == listed


@pytest.mark.parametrize("page", sorted((ROOT / "docs").rglob("*.md")), ids=lambda page: page.stem)
def test_page_names_only_what_exists(page: pathlib.Path) -> None:
    """Guards against pages that name links, commands or counters that do not exist."""
    text = page.read_text()
    for link in re.findall(r"\]\(([^)#:]+)(?:#[^)]*)?\)", text):
        assert (page.parent / link).exists(), link
    commands = set(re.findall(r"`sesamehold (\w+)", text))
    known = {"check", "diff", "schema", "status", "dump", "drain", "explain", "costs", "story"}
    assert commands <= known
    if page.parent.name == "operations":
        patterns = [name.replace("*", r"[\w-]+") for name in _metric_names()]
        prefixes = {name.partition(".")[0] for name in _metric_names()}
        for name in re.findall(r"`([a-z]+\.[a-z_.-]+)`", text):
            if name.partition(".")[0] in prefixes:
                assert any(re.fullmatch(pattern, name) for pattern in patterns), name


@pytest.mark.parametrize(
    "deployment", [fleet.ASSOCIATION, fleet.MONEDERO], ids=lambda deployment: deployment.name
)
def test_example_is_sound_and_has_the_size_of_its_deployment(deployment: fleet.Deployment) -> None:
    """Guards against examples with faults or with sizes other than those of the deployment."""
    directory = ROOT / "examples" / deployment.name
    for name in ("manifest.json", "settings.json5"):
        report = cli_check.check(directory / name)
        assert report.code == 0, report.lines
    version: manifest.Manifest = cli_check.load_manifest(directory / "manifest.json").ok
    assert [zone.name for zone in version.zones] == list(deployment.zones)
    assert len(version.hosts) in (8, 9)
    assert len(version.accounts) == 5
    sizes = [len(pool.targets) for pool in version.pools]
    assert sizes == [deployment.engine_count, *(s.target_count for s in deployment.services)]
    assert sum(pool.reports_load for pool in version.pools[1:]) == 3
    config: settings.Settings = settings.from_file(directory / "settings.json5").ok
    host = version.hosts[0]
    assert (config.host_id, config.zone) == (host.id, host.zone)
    assert (config.peer_address, config.operator_address) == (
        host.peer_address,
        host.operator_address,
    )


def _fault(fault: events.AttemptFault, ran: errors.RunStatus) -> calls.CallFault:
    return calls.CallFault(fault, ran)


REFUSED_COLD = _fault(events.AttemptFault.REFUSED_COLD, errors.RunStatus.NO)
LOST = _fault(events.AttemptFault.CONNECTION_LOST, errors.RunStatus.UNKNOWN)


@pytest.mark.parametrize(
    ("faults", "status", "counter", "lines"),
    [
        pytest.param(
            [REFUSED_COLD],
            b"200",
            "attempts.failed.refused-cold",
            ["attempt-failed refused-cold", "ran=no", "attempt-succeeded"],
            id="target-cold",
        ),
        pytest.param(
            [LOST] * 9,
            b"502",
            "requests.failed.stage-failed",
            ["attempt-failed connection-lost", "failed stage-failed"],
            id="crashing-request",
        ),
    ],
)
def test_fault_appears_as_documented(
    faults: list[calls.CallFault], status: bytes, counter: str, lines: list[str]
) -> None:
    """Guards against counters and `explain` lines that differ from the operations pages."""

    async def check(host: caller_host.Host) -> None:
        host.targets.faults = list(faults)
        answer = await host.exchange(caller_host.post(b"{}"))
        assert answer.split()[1] == status
        assert host.node.metrics.counters[counter] >= 1
        (trace,) = host.node.explanations._traces.values()
        text = " ".join("\n".join(cli_explain.render(explanations.to_document(trace))).split())
        assert all(line in text for line in lines), text
        attempts = [item for item in trace.records if item.kind == "attempt-failed"]
        assert len(attempts) <= 6

    caller_host.run(check)


def test_zone_out_appears_as_documented() -> None:
    """Guards against new attempts in a zone that is out, which the operations page rules out."""

    async def check(host: caller_host.Host) -> None:
        version = host.node.version
        assert version is not None
        out = attrs.evolve(version.zones[0], in_service=False)
        host.node.configure(attrs.evolve(version, zones=(out, *version.zones[1:])))
        await asyncio.gather(*(host.exchange(caller_host.post(b"{}")) for _ in range(5)))
        records = [r for t in host.node.explanations._traces.values() for r in t.records]
        targets = {r.figures["target"] for r in records if r.kind == "attempt"}
        assert targets == {"encode-1", "retrieve-1", "language-model-1"}
        assert dump.state(host.node)["configuration"]["zones_out"] == ["zone-a"]

    caller_host.run(check)


def test_metrics_work_while_statsd_is_down() -> None:
    """Guards against metrics that raise or block while the statsd daemon is down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as closed:
        closed.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{closed.getsockname()[1]}"
    document: dict[str, Any] = {**factories.settings_document(), "statsd_address": address}
    sink = metrics.Metrics.from_config(settings.from_text(json.dumps(document)).ok)
    for _ in range(3):
        sink.count("requests.admitted")
        sink.timing("requests.duration_ms", 1.0)
        sink.flush()
    assert sink.counters["requests.admitted"] == 3


def test_design_page_lists_every_module() -> None:
    """Guards against module tables that miss an added, renamed or removed module."""
    page = (ROOT / "docs" / "design.md").read_text()
    listed = set(re.findall(r"`([a-z_0-9]+\.py)`", page))
    modules = {
        path.name
        for path in SOURCE.rglob("*.py")
        if path.name != "__init__.py" and path.parent.name != "wire"
    }
    # The page lists the modules of the command line by a pattern, `cli_*.py`.
    assert {name for name in modules if not name.startswith("cli_")} == listed


def _logged_events() -> set[str]:
    events = set()
    for path in SOURCE.rglob("*.py"):
        for item in ast.walk(ast.parse(path.read_text())):
            if isinstance(item, ast.Call) and isinstance(item.func, ast.Attribute):
                is_log = item.func.attr in {"_log", "write"} and item.args
                if is_log and isinstance(item.args[0], ast.Constant):
                    value = item.args[0].value
                    if isinstance(value, str) and re.fullmatch(r"[a-z]+\.[a-z-]+", value):
                        events.add(value)
    return events | {"log.suppressed"}


def test_every_event_of_the_gateway_is_listed() -> None:
    """Guards against undocumented log events and against documented ones that do not exist."""
    page = (ROOT / "docs" / "gateway-reference.md").read_text()
    listed = set(re.findall(r"^\| `([a-z]+\.[a-z-]+)` ", page, re.M))
    assert _logged_events() == listed


def test_every_metric_of_the_gateway_is_listed() -> None:
    """Guards against undocumented metrics and against documented ones that do not exist."""
    page = (ROOT / "docs" / "gateway-reference.md").read_text()
    listed = set(re.findall(r"^\| `(sesamehold_[a-z_]+)` ", page, re.M))
    source = (SOURCE / "process" / "gateway" / "metrics.py").read_text()
    assert set(re.findall(r'"(sesamehold_[a-z_]+)"', source)) == listed
