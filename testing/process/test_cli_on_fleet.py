"""`sesamehold` commands against running hosts that use an example manifest."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
from typing import Any

import aiohttp
import attrs
import pytest
from sesamehold_bench.process import demo
from sesamehold_bench.process import local_fleet
from sesamehold_bench.version import fleet

import sesamehold
from sesamehold.process import cli_check
from sesamehold.process import cli_hosts
from sesamehold.process import credentials
from sesamehold.version import manifest

EXAMPLE = pathlib.Path(sesamehold.__file__).parents[2] / "examples" / "monedero" / "manifest.json"
SMALL = attrs.evolve(fleet.MONEDERO, host_count=2, engine_count=2)


async def _cli(*arguments: str) -> tuple[int, str]:
    credential = {cli_hosts.CREDENTIAL_VARIABLE: local_fleet.OPERATOR_CREDENTIAL}
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sesamehold.process.cli",
        *arguments,
        env=os.environ | credential,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    assert process.returncode is not None
    return process.returncode, (out + err).decode()


async def _answer(running: local_fleet.LocalFleet) -> dict[str, Any]:
    caller = running.addresses.hosts[0][0]
    account = running.deployment.accounts[0][0]
    answer = await demo.stream_request(
        running.session, caller, "fault-summary", account, {"prompt": "p"}
    )
    assert answer.answer is not None, answer.failure
    return answer.answer


async def _check(running: local_fleet.LocalFleet, path: pathlib.Path) -> None:
    roster = ("--manifest", str(path))
    assert (await _cli("check", str(path)))[0] == 0
    code, text = await _cli("status", *roster)
    assert code == 0, text
    assert "host-0" in text
    assert "host-1" in text
    request_id = (await _answer(running))["request_id"]
    first = ("--operator", running.addresses.hosts[0][1])
    code, text = await _cli("explain", request_id, *first)
    assert code == 0, text
    for words in ("power-of-two", "attempt-succeeded", "wait_ms=", "cost", "answered"):
        assert words in text
    code, text = await _cli("costs", *roster, "--by", "account", "--by", "partner", "--json")
    assert code == 0, text
    rows = json.loads(text)["result"]
    partners = [row["cost"] for row in rows if row["partner"]]
    assert len(partners) == 2
    assert min(partners) / sum(partners) == pytest.approx(0.25, abs=0.02)
    assert (await _cli("dump", *roster))[0] == 0
    running.children["host-0"].send_signal(signal.SIGUSR1)
    log = running.directory / "host-0.log"
    async with asyncio.timeout(10):
        while '"event": "state"' not in log.read_text():
            await asyncio.sleep(0.05)
    second = ("--operator", running.addresses.hosts[1][1])
    code, text = await _cli("drain", *second)
    assert code == 0, text
    assert await asyncio.wait_for(running.children["host-1"].process.wait(), 30) == 0
    code, text = await _cli("status", *roster)
    assert code == 3, text


def _example(running: local_fleet.LocalFleet) -> manifest.Manifest:
    """Returns the example manifest with the addresses and credentials of the test fleet."""
    example: manifest.Manifest = cli_check.load_manifest(EXAMPLE).ok
    addresses = running.addresses.targets
    pools = tuple(
        attrs.evolve(
            pool,
            targets=tuple(
                attrs.evolve(target, address=addresses[target.id])
                for target in pool.targets
                if target.id in addresses
            ),
        )
        for pool in example.pools
    )
    accounts = tuple(
        attrs.evolve(
            account,
            credential_salt=fleet.CREDENTIAL_SALT,
            credential_hash=credentials.hash_credential(
                fleet.CREDENTIAL_SALT, fleet.credential_of(account.name)
            ),
        )
        for account in example.accounts
    )
    return attrs.evolve(example, hosts=running.version.hosts, pools=pools, accounts=accounts)


def _write(path: pathlib.Path, version: manifest.Manifest) -> None:
    path.write_text(json.dumps(manifest.to_json(version)))


def test_commands_against_running_hosts(tmp_path: pathlib.Path) -> None:
    """Guards against a command-line tool that does not match the operator interface."""

    path = tmp_path / "manifest.json"

    async def run() -> None:
        async with aiohttp.ClientSession() as session:
            running = local_fleet.LocalFleet.from_config(SMALL, session)
            running.version = _example(running)
            _write(path, running.version)
            try:
                await running.start()
                await _check(running, path)
            finally:
                await running.stop()

    asyncio.run(run())
