"""Implementation of `explain`, which shows the trace of one request."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from expression import Result

from sesamehold.process import cli_fleet
from sesamehold.process import cli_output


async def explain(
    caller: cli_fleet.OperatorCaller, addresses: Sequence[str], request_id: str
) -> cli_output.Report:
    """Queries the hosts in turn until one finds the request; each host also queries its peers."""
    faults: list[cli_fleet.HostFault] = []
    for address in addresses:
        match await caller.get(address, f"/v1/requests/{request_id}/explanation"):
            case Result(tag="ok", ok=document):
                lines = tuple(render(document))
                return cli_output.Report(cli_output.ExitCode.OK, lines, document)
            case Result(error=fault):
                faults.append(fault)
    answers = cli_fleet.Answers({}, tuple(faults))
    document = {"error": "not found", "faults": list(answers.problems)}
    return cli_output.Report(answers.code, (), document, answers.problems)


def render(document: Mapping[str, Any]) -> list[str]:
    """Returns an explanation as lines.

    >>> record = {"at_ms": 3, "kind": "attempt", "rule": "least-outstanding", "figures": {"n": 1}}
    >>> document = {"request_id": "r", "account": "a", "pipeline": "p", "records": [record]}
    >>> render(document)[1]
    '     3 ms  attempt            least-outstanding      n=1'
    """
    header = (
        f"request {document['request_id']} of account {document['account']}, pipeline "
        f"{document['pipeline']}, host {document.get('host_id', '-')}"
    )
    return [header, *(_line(record) for record in document["records"])]


def _line(record: Mapping[str, Any]) -> str:
    figures = " ".join(
        f"{name}={value}" for name, value in record["figures"].items() if value is not None
    )
    line = f"{record['at_ms']:>6} ms  {record['kind']:<18} {record['rule'] or '-':<22} {figures}"
    return line.rstrip()
