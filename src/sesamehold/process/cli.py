"""`sesamehold`: the command-line tool of operators.

Exit codes: 0 success, 1 fault found, 2 bad usage or file, 3 host unreachable.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import sys
from typing import Annotated
from typing import Literal
from typing import TypeAlias

import cyclopts
from expression import Result
import uvloop

from sesamehold.connection import operator_client
from sesamehold.process import cli_check
from sesamehold.process import cli_explain
from sesamehold.process import cli_fleet
from sesamehold.process import cli_hosts
from sesamehold.process import cli_output
from sesamehold.process import cli_story

app = cyclopts.App(name="sesamehold", help=__doc__, result_action="return_value")
app.register_install_completion_command()

Operators: TypeAlias = Annotated[
    tuple[str, ...],
    cyclopts.Parameter(name="--operator", help="Operator address of a host, `ip:port`."),
]
ManifestFile: TypeAlias = Annotated[
    pathlib.Path | None,
    cyclopts.Parameter(name="--manifest", help="Call all hosts in this manifest's roster."),
]
CredentialFile: TypeAlias = Annotated[
    pathlib.Path | None,
    cyclopts.Parameter(
        help=f"File with the operator credential; otherwise {cli_hosts.CREDENTIAL_VARIABLE}."
    ),
]
AsJson: TypeAlias = Annotated[
    bool, cyclopts.Parameter(name="--json", negative=(), help="Write the output as JSON.")
]
Columns: TypeAlias = Annotated[
    tuple[Literal["account", "partner", "pipeline", "stage", "pool"], ...],
    cyclopts.Parameter(help="Columns to group by."),
]

_Command = Callable[[operator_client.OperatorClient, tuple[str, ...]], Awaitable[cli_output.Report]]


@app.command
def check(file: pathlib.Path, *, as_json: AsJson = False) -> int:
    """Checks a manifest or a settings file and lists all its faults."""
    return cli_output.emit(cli_check.check(file), as_json=as_json)


@app.command
def diff(old: pathlib.Path, new: pathlib.Path, *, as_json: AsJson = False) -> int:
    """Shows the effects of replacing one manifest by another."""
    return cli_output.emit(cli_check.diff(old, new), as_json=as_json)


@app.command
def schema(*, settings: bool = False, as_json: AsJson = False) -> int:
    """Prints the JSON schema of the manifest, or of the settings."""
    return cli_output.emit(cli_check.schemas(of_settings=settings), as_json=as_json)


@app.command
def story(request_id: str, files: tuple[pathlib.Path, ...], *, as_json: AsJson = False) -> int:
    """Shows the log records of a forwarded request, from log files of gateway hosts."""
    return cli_output.emit(cli_story.story(request_id, files), as_json=as_json)


@app.command
def status(
    *,
    operator: Operators = (),
    manifest: ManifestFile = None,
    credential_file: CredentialFile = None,
    as_json: AsJson = False,
) -> int:
    """Shows the status of hosts, one line per host."""

    async def command(
        client: operator_client.OperatorClient, addresses: tuple[str, ...]
    ) -> cli_output.Report:
        return cli_fleet.status_report(await cli_fleet.call_hosts(client, addresses, "/v1/status"))

    return _run(command, operator, manifest, credential_file, as_json=as_json)


@app.command
def dump(
    *,
    operator: Operators = (),
    manifest: ManifestFile = None,
    credential_file: CredentialFile = None,
    as_json: AsJson = False,
) -> int:
    """Prints the decision state of hosts, without request contents or secrets."""

    async def command(
        client: operator_client.OperatorClient, addresses: tuple[str, ...]
    ) -> cli_output.Report:
        return cli_fleet.document_report(await cli_fleet.call_hosts(client, addresses, "/v1/dump"))

    return _run(command, operator, manifest, credential_file, as_json=as_json)


@app.command
def drain(
    *,
    operator: Operators = (),
    manifest: ManifestFile = None,
    credential_file: CredentialFile = None,
    as_json: AsJson = False,
) -> int:
    """Begins a graceful shutdown of hosts, which finish running requests first."""

    async def command(
        client: operator_client.OperatorClient, addresses: tuple[str, ...]
    ) -> cli_output.Report:
        answers = await cli_fleet.call_hosts(client, addresses, "/v1/drain", post=True)
        return cli_fleet.drain_report(answers)

    return _run(command, operator, manifest, credential_file, as_json=as_json)


@app.command
def costs(
    *,
    by: Columns = ("account", "partner", "pipeline", "stage"),
    operator: Operators = (),
    manifest: ManifestFile = None,
    credential_file: CredentialFile = None,
    as_json: AsJson = False,
) -> int:
    """Sums costs over hosts, in millionths of the venture's currency."""

    async def command(
        client: operator_client.OperatorClient, addresses: tuple[str, ...]
    ) -> cli_output.Report:
        return cli_fleet.costs_report(
            await cli_fleet.call_hosts(client, addresses, "/v1/costs"), by
        )

    return _run(command, operator, manifest, credential_file, as_json=as_json)


@app.command
def explain(
    request_id: str,
    *,
    operator: Operators = (),
    manifest: ManifestFile = None,
    credential_file: CredentialFile = None,
    as_json: AsJson = False,
) -> int:
    """Shows the stages, attempts, targets, waits, costs and decision rules of a request."""
    if not (request_id.isascii() and request_id.isalnum()):
        return cli_output.emit(cli_output.usage_error("Not a request id."), as_json=as_json)

    async def command(
        client: operator_client.OperatorClient, addresses: tuple[str, ...]
    ) -> cli_output.Report:
        return await cli_explain.explain(client, addresses, request_id)

    return _run(command, operator, manifest, credential_file, as_json=as_json)


def _run(
    command: _Command,
    operators: tuple[str, ...],
    manifest_file: pathlib.Path | None,
    credential_file: pathlib.Path | None,
    *,
    as_json: bool,
) -> int:
    match cli_hosts.select(operators, manifest_file, credential_file, os.environ):
        case Result(tag="ok", ok=selection):
            report = uvloop.run(_with_client(command, selection))
        case Result(error=report):
            pass
    return cli_output.emit(report, as_json=as_json)


async def _with_client(command: _Command, selection: cli_hosts.Selection) -> cli_output.Report:
    client = operator_client.OperatorClient.from_credential(selection.credential)
    try:
        return await command(client, selection.addresses)
    finally:
        await client.close()


def run(arguments: list[str] | None = None) -> int:
    """Runs one command line and returns its exit code."""
    try:
        result = app(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        # cyclopts has already printed the error.
        return int(cli_output.ExitCode.BAD_USAGE)
    return result if isinstance(result, int) else int(cli_output.ExitCode.OK)


def main() -> None:
    """Entry point of `sesamehold`."""
    sys.exit(run())


if __name__ == "__main__":
    main()
