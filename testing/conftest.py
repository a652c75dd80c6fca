"""Deselects exactly the tests listed in KNOWN-RED.txt and reports them in the summary."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_deselected = pytest.StashKey[list[str]]()


def _known_red_tests() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test: ") for line in lines if line.startswith("test: ")}


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red", action="store_true", help="run the tests listed in KNOWN-RED.txt as well"
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    if config.getoption("--known-red"):
        return
    known_red = _known_red_tests()
    deselected = [item for item in items if item.nodeid in known_red]
    items[:] = [item for item in items if item.nodeid not in known_red]
    config.hook.pytest_deselected(items=deselected)
    config.stash[_deselected] = [item.nodeid for item in deselected]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for name in config.stash.get(_deselected, []):
        terminalreporter.write_line(f"KNOWN RED, not run: {name}")
