"""Passes over exactly the tests that KNOWN-RED.txt lists, and prints them."""

from __future__ import annotations

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
_passed_over = pytest.StashKey[list[str]]()


def _listed() -> set[str]:
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
    listed = _listed()
    passed_over = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=passed_over)
    config.stash[_passed_over] = [item.nodeid for item in passed_over]


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for name in config.stash.get(_passed_over, []):
        terminalreporter.write_line(f"KNOWN RED, not run: {name}")
