"""Selection of the hosts and the credential for a command."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
import pathlib

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import cli_check
from sesamehold.process import cli_output
from sesamehold.version import constraints

CREDENTIAL_VARIABLE = "SESAMEHOLD_OPERATOR_CREDENTIAL"


@attrs.frozen
class Selection:
    """Operator addresses of the selected hosts and the credential to call them with."""

    addresses: tuple[str, ...]
    credential: str = attrs.field(repr=False)


def select(
    operators: Sequence[str],
    manifest_file: pathlib.Path | None,
    credential_file: pathlib.Path | None,
    environment: Mapping[str, str],
) -> Result[Selection, cli_output.Report]:
    """Returns the hosts that a command calls, and the credential.

    Args:
        operators: Operator addresses, `ip:port`.
        manifest_file: Manifest; all hosts of its roster are selected.
        credential_file: File with the credential; the environment is used if absent.
        environment: Environment variables.
    """
    credential = _credential(credential_file, environment)
    if credential is None:
        text = f"No credential: set {CREDENTIAL_VARIABLE} or give --credential-file."
        return Error(cli_output.usage_error(text))
    malformed = [address for address in operators if not constraints.is_address(address)]
    if malformed:
        return Error(cli_output.usage_error(f"Not an address of the form ip:port: {malformed[0]}"))
    if manifest_file is None:
        if not operators:
            return Error(cli_output.usage_error("Name hosts with --operator or --manifest."))
        return Ok(Selection(tuple(dict.fromkeys(operators)), credential))
    match cli_check.load_manifest(manifest_file):
        case Result(tag="ok", ok=version):
            roster = [host.operator_address for host in version.hosts]
            return Ok(Selection(tuple(dict.fromkeys([*operators, *roster])), credential))
        case Result(error=report):
            return Error(attrs.evolve(report, code=cli_output.ExitCode.BAD_USAGE))


def _credential(path: pathlib.Path | None, environment: Mapping[str, str]) -> str | None:
    if path is None:
        return environment.get(CREDENTIAL_VARIABLE, "").strip() or None
    try:
        return path.read_text(encoding="utf-8").strip() or None
    except (OSError, UnicodeDecodeError):
        return None
