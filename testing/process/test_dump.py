"""The state dump is bounded and contains no secrets or request contents."""

from __future__ import annotations

import io
import json
import logging
from typing import Any

import attrs
import caller_host
import pytest

from sesamehold.process import daemon
from sesamehold.process import dump
from sesamehold.process import ledger
from sesamehold.process import logs

PLANTED = "planted0secret"
PLANTED_HEX = "ab0cd1ef" * 8


def _plant(node: Any) -> None:
    config = attrs.evolve(
        node.config, operator_credential=PLANTED, peer_keys=(PLANTED, PLANTED + "2")
    )
    version = attrs.evolve(
        node.version,
        accounts=tuple(
            attrs.evolve(account, credential_salt=PLANTED_HEX) for account in node.version.accounts
        ),
    )
    node.config, node.version = config, version


def _log_lines(node: Any) -> list[str]:
    stream = io.StringIO()
    handler = logs.handler()
    handler.stream = stream
    with handler.applicationbound():
        daemon.log_state(node)
    return stream.getvalue().splitlines()


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(caller_host.post(json.dumps({"prompt": PLANTED}).encode()), id="body"),
        pytest.param(caller_host.post(b"{}", f"Idempotency-Key: {PLANTED}"), id="key"),
        pytest.param(caller_host.post(b"{}", f"X-Other: {PLANTED}"), id="header"),
        pytest.param(
            caller_host.post(b"{}").replace(b"owner:secret", f"owner:{PLANTED}".encode()),
            id="caller-credential",
        ),
        pytest.param(caller_host.post(path=f"/v1/pipelines/{PLANTED}/requests"), id="pipeline"),
        pytest.param(
            caller_host.post(b"{}", f"Sesamehold-Deadline-Ms: {PLANTED}"), id="malformed-header"
        ),
        pytest.param(caller_host.post(f"{{{PLANTED}".encode()), id="malformed-body"),
    ],
)
def test_secrets_do_not_leak(
    data: bytes, caplog: pytest.LogCaptureFixture, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against secrets in the dump, log lines, traces and object representations."""

    async def check(host: caller_host.Host) -> None:
        await host.exchange(data)
        _plant(host.node)
        (line,) = _log_lines(host.node)
        assert json.loads(line)["state"]["status"]["host_id"] == "host-0"
        traces = [attrs.asdict(trace) for trace in host.node.explanations._traces.values()]
        output = line + json.dumps(dump.state(host.node)) + json.dumps(traces)
        output += repr(host.node.config) + json.dumps(dump.status(host.node))
        assert PLANTED not in output
        assert PLANTED_HEX not in output

    with caplog.at_level(logging.DEBUG):
        caller_host.run(check)
    assert PLANTED not in caplog.text
    assert PLANTED not in "".join(capsys.readouterr())


def test_dump_is_bounded() -> None:
    """Guards against a dump that grows with the number of counters and ledger rows."""
    node = caller_host.build_node()
    for number in range(5_000):
        node.metrics.count(f"counter-{number}")
        key = ledger.CostKey("owner", "bars", "summary", f"stage-{number}", "pool")
        node.ledger.totals[key] = ledger.CostTotals(1, 1, 1, 1)
    assert len(json.dumps(dump.state(node))) < 512 * 1_024
