"""Output and exit codes of `sesamehold` without a running host."""

from __future__ import annotations

import json
import pathlib

import factories
import pytest

from sesamehold.process import cli
from sesamehold.process import cli_hosts

WRONG = {"drain_s": 1, "operator_credential": "planted"}


@pytest.fixture
def files(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    monkeypatch.delenv(cli_hosts.CREDENTIAL_VARIABLE, raising=False)
    changed = factories.manifest_document()
    changed["version"] = 8
    changed["zones"][0]["in_service"] = False
    faulty = factories.manifest_document()
    faulty["pools"][0]["owner"] = "ownr"
    contents = {
        "old.json": factories.manifest_document(),
        "new.json": changed,
        "faulty.json": faulty,
        "settings.json": factories.settings_document(),
        "wrong.json": WRONG,
    }
    for name, content in contents.items():
        pathlib.Path(name).write_text(f"{json.dumps(content)}\n")
    pathlib.Path("twice.json").write_text('{"version": 1, "version": 2}')
    pathlib.Path("broken.json").write_text('{"zones": [')
    pathlib.Path("binary.json").write_bytes(b"\xff\xfe")
    pathlib.Path("credential").write_text("planted-credential\n")


UNREACHABLE = ["--operator", "127.0.0.1:1", "--credential-file", "credential"]


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
    [
        pytest.param(["check", "old.json"], 0, "no faults", id="sound-manifest"),
        pytest.param(["check", "settings.json"], 0, "no faults", id="sound-settings"),
        pytest.param(["check", "faulty.json"], 1, "did you mean 'owner'", id="faulty-manifest"),
        pytest.param(["check", "wrong.json"], 1, "did you mean 'drain_ms'", id="faulty-settings"),
        pytest.param(["check", "wrong.json", "--json"], 1, '"nearest": "drain_ms"', id="json"),
        pytest.param(["check", "none.json"], 2, "cannot be read", id="no-file"),
        pytest.param(["check", "twice.json"], 1, "more than once", id="repeated-field"),
        pytest.param(["check", "broken.json"], 1, "in this JSON file", id="broken-json"),
        pytest.param(["check", "binary.json"], 2, "not UTF-8", id="binary-file"),
        pytest.param(["check"], 2, "", id="no-argument"),
        pytest.param(["chek", "old.json"], 2, "", id="unknown-command"),
        pytest.param(["diff", "old.json", "new.json"], 0, "zone-a: is taken out", id="diff"),
        pytest.param(["diff", "old.json", "old.json"], 0, "Nothing changes", id="no-diff"),
        pytest.param(["diff", "old.json", "faulty.json"], 1, "unknown account", id="diff-faulty"),
        pytest.param(["schema"], 0, '"$defs"', id="schema"),
        pytest.param(["schema", "--settings"], 0, "peer_keys", id="settings-schema"),
        pytest.param(["status"], 2, "No credential", id="no-credential"),
        pytest.param(["status", "--credential-file", "credential"], 2, "Name hosts", id="no-hosts"),
        pytest.param(
            ["status", "--operator", "host", "--credential-file", "credential"],
            2,
            "ip:port",
            id="host-name",
        ),
        pytest.param(["status", *UNREACHABLE], 3, "unreachable", id="status-unreachable"),
        pytest.param(["costs", *UNREACHABLE], 3, "unreachable", id="costs-unreachable"),
        pytest.param(["explain", "0" * 32, *UNREACHABLE], 3, "unreachable", id="explain"),
        pytest.param(["explain", "../dump", *UNREACHABLE], 2, "Not a request id", id="bad-id"),
        pytest.param(["--help"], 0, "check", id="help"),
    ],
)
@pytest.mark.usefixtures("files")
def test_exit_code_and_output(
    arguments: list[str], code: int, words: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against changed exit codes, which scripts rely on, and against secrets in output."""
    assert cli.run(arguments) == code
    captured = capsys.readouterr()
    output = captured.out + captured.err
    assert words in output
    assert "planted" not in output
    if "--json" in arguments:
        json.loads(captured.out)
