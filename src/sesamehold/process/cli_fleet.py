"""Implementation of `status`, `dump`, `drain` and `costs`, which call running hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import json
from typing import Any
from typing import Protocol

import attrs
from expression import Result

from sesamehold.process import cli_output
from sesamehold.process import cost_table
from sesamehold.process import ledger

MAX_PARALLEL_CALLS = 32


@attrs.frozen
class HostFault:
    """A failed call to a host.

    Attributes:
        address: Operator address.
        reason: Error message.
        reachable: False if no response arrived.
    """

    address: str
    reason: str
    reachable: bool


class OperatorCaller(Protocol):
    """Client of the operator interfaces of hosts."""

    async def get(self, address: str, path: str) -> Result[Any, HostFault]:
        """Returns the JSON document at a path."""

    async def post(self, address: str, path: str) -> Result[Any, HostFault]:
        """Sends a command to a path and returns the JSON response."""


@attrs.frozen
class Answers:
    """Responses by operator address, and the faults of the other hosts."""

    documents: dict[str, Any]
    faults: tuple[HostFault, ...]

    @property
    def code(self) -> cli_output.ExitCode:
        """Returns the exit code for the most severe fault."""
        if any(not fault.reachable for fault in self.faults):
            return cli_output.ExitCode.UNREACHABLE
        return cli_output.ExitCode.FAULT_FOUND if self.faults else cli_output.ExitCode.OK

    @property
    def problems(self) -> tuple[str, ...]:
        """Returns the faults as lines."""
        return tuple(f"{fault.address}: {fault.reason}" for fault in self.faults)


async def call_hosts(
    caller: OperatorCaller, addresses: Sequence[str], path: str, *, post: bool = False
) -> Answers:
    """Calls all hosts, at most `MAX_PARALLEL_CALLS` at once; POST if `post`, else GET."""
    limit = asyncio.Semaphore(MAX_PARALLEL_CALLS)

    async def call_host(address: str) -> Result[Any, HostFault]:
        async with limit:
            return await (caller.post if post else caller.get)(address, path)

    documents: dict[str, Any] = {}
    faults: list[HostFault] = []
    results = await asyncio.gather(*(call_host(address) for address in addresses))
    for address, result in zip(addresses, results, strict=True):
        match result:
            case Result(tag="ok", ok=document):
                documents[address] = document
            case Result(error=fault):
                faults.append(fault)
    return Answers(documents, tuple(faults))


def status_report(answers: Answers) -> cli_output.Report:
    """Shows one line per host; reports a fault if the hosts have different versions in force."""
    rows = [{"operator": address, **document} for address, document in answers.documents.items()]
    columns = list(dict.fromkeys(name for row in rows for name in row))
    versions = {row.get("configuration_version") for row in rows}
    problems = answers.problems
    code = answers.code
    if len(versions) > 1:
        problems += ("The hosts have different configuration versions in force.",)
        code = max(code, cli_output.ExitCode.FAULT_FOUND)
    lines = cli_output.table(rows, columns) if rows else ()
    return cli_output.Report(code, lines, _document(answers, rows), problems)


def document_report(answers: Answers) -> cli_output.Report:
    """Shows the full document of each host."""
    text = json.dumps(answers.documents, indent=2)
    document = _document(answers, answers.documents)
    lines = tuple(text.splitlines())
    return cli_output.Report(answers.code, lines, document, answers.problems)


def drain_report(answers: Answers) -> cli_output.Report:
    """Shows which hosts have begun a graceful shutdown."""
    lines = tuple(f"{address}: draining" for address in answers.documents)
    document = _document(answers, list(answers.documents))
    return cli_output.Report(answers.code, lines, document, answers.problems)


def costs_report(answers: Answers, by: Sequence[str]) -> cli_output.Report:
    """Merges the ledgers and ledger copies of all hosts that responded, and groups their costs."""
    ledgers: list[ledger.HostLedger] = []
    faults = list(answers.faults)
    for address, document in answers.documents.items():
        try:
            ledgers += cost_table.from_documents(document["ledgers"])
        except (ValueError, KeyError, TypeError):
            faults.append(HostFault(address, "returned costs in another format", reachable=True))
    merged = Answers(answers.documents, tuple(faults))
    rows = cost_table.group(cost_table.to_rows(ledger.merge(ledgers)), by)
    columns = [*by, *(field.name for field in attrs.fields(ledger.CostTotals))]
    lines = cli_output.table(rows, columns)
    document = _document(merged, rows)
    return cli_output.Report(merged.code, lines, document, merged.problems)


def _document(answers: Answers, result: Any) -> dict[str, Any]:
    return {"result": result, "faults": [attrs.asdict(fault) for fault in answers.faults]}
