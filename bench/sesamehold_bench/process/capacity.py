"""Renders docs/CAPACITY.md from the recorded measurements.

`python -m sesamehold_bench.process.capacity` writes the page; a test checks that it is current.
"""

from __future__ import annotations

from collections.abc import Sequence
import json
import pathlib
from typing import Any

import attrs
import cyclopts

MEASUREMENTS = pathlib.Path("docs/measurements")
PAGE = pathlib.Path("docs/CAPACITY.md")

# ---- design size ----
HOSTS = 1_000
TARGETS = 12_000
ACCOUNTS = 250
PIPELINES = 8
STAGES = 5
REQUESTS_PER_S = 36_000
TOKENS_PER_S = 11_000_000
CHANGES_PER_DAY = 6_700
HOST_EVENTS_PER_DAY = 97 + 2_400
SECONDS_PER_DAY = 86_400
DEADLINE_S = 3.0
RETENTION_S = 900
TOKEN_INTERVAL_S = 0.031

# ---- budgets of one host ----
CPU_BUDGET_PERCENT = 3.4
MEMORY_BUDGET_BYTES = 256_000_000
BYTES_BUDGET_PER_S = 2_000
SPREAD_BUDGET_MS = 5_000
PLATFORM_BUDGET_CALLS_PER_S = 2_000
VALUE_BUDGET_BYTES = 1_048_576
RELAY_BUDGET_CORE = 0.5
FIRST_TOKEN_BUDGET_MS = 400
TOKEN_GAP_BUDGET_MS = 31

# An assumption: the requirements do not state the fraction of requests that have a
# non-repeatable stage.
NON_REPEATABLE_FRACTION = 0.1
WITNESSES = 9


@attrs.frozen
class Line:
    """One line of the capacity table.

    Attributes:
        role: Role of the host that bears the cost.
        item: Resource or operation that has the cost.
        mechanism: Mechanism that implements the item.
        slope: Measured slope with its unit and residual.
        value: Value at the design size.
        budget: Budget, None for a line that only contributes to a sum.
        unit: Unit of value and budget.
        command: Command that produced the measurement.
    """

    role: str
    item: str
    mechanism: str
    slope: str
    value: float
    budget: float | None
    unit: str
    command: str


@attrs.frozen
class Inputs:
    """Recorded measurements."""

    decisions: dict[str, Any]
    membership: dict[str, Any]
    relay: dict[str, Any]
    sweep: dict[str, Any]
    policy: dict[str, Any]
    steady: list[dict[str, Any]]

    @classmethod
    def from_folder(cls, folder: pathlib.Path) -> Inputs:
        """Reads the measurements of a checkout."""

        def read(name: str) -> Any:
            return json.loads((folder / f"{name}.json").read_text("utf-8"))

        return cls(
            decisions=read("decisions"),
            membership=read("membership"),
            relay=read("relay"),
            sweep=read("bench_sweep"),
            policy=read("policy"),
            steady=read("steady-80"),
        )

    def row(self, hosts: int) -> dict[str, Any]:
        """Returns the membership row of a number of hosts."""
        rows = [row for run in self.membership["runs"] for row in run["rows"]]
        found: dict[str, Any] = next(row for row in rows if row["hosts"] == hosts)
        return found

    def restart(self, hosts: int) -> dict[str, Any]:
        """Returns the row of a simultaneous start of all hosts."""
        rows = [row for run in self.membership["runs"] for row in run["restarts"]]
        found: dict[str, Any] = next(row for row in rows if row["hosts"] == hosts)
        return found

    def design(self) -> dict[str, Any]:
        """Returns the row of the design-size configuration with 1,000 hosts."""
        runs = [run for run in self.membership["runs"] if run["rows"][0]["hosts"] == HOSTS]
        found: dict[str, Any] = runs[0]["design_size"]
        return found

    def bytes_at(self, variable: str, value: float) -> float:
        """Returns the fitted memory of a variable at a value."""
        fit = self.decisions["variables"][variable]["bytes_fit"]
        return float(fit["intercept"] + fit["slope"] * value)

    def slope(self, variable: str, unit: str) -> str:
        """Returns the slope of a variable's memory as text."""
        fit = self.decisions["variables"][variable]["bytes_fit"]
        return (
            f"{fit['slope']:,.0f} bytes per {unit}, residual {fit['residual']:.1%}, "
            f"order {fit['order']:.2f}"
        )

    def point(self, variable: str, value: int) -> dict[str, Any]:
        """Returns the measured point of a variable at a value."""
        points = self.decisions["variables"][variable]["points"]
        found: dict[str, Any] = next(point for point in points if point["x"] == value)
        return found


def _memory_lines(inputs: Inputs) -> list[Line]:
    requests = REQUESTS_PER_S / HOSTS
    claims = requests * NON_REPEATABLE_FRACTION * WITNESSES * RETENTION_S
    streams = TOKENS_PER_S / HOSTS * TOKEN_INTERVAL_S
    cells = ACCOUNTS * PIPELINES * STAGES
    command = inputs.decisions["command"]

    def line(role: str, item: str, mechanism: str, slope: str, value: float) -> Line:
        return Line(role, item, mechanism, slope, value, None, "bytes", command)

    stream_slope = inputs.sweep["live_streams"]["fit"]["slope"]
    return [
        line(
            "claim witness",
            f"{claims:,.0f} records ({NON_REPEATABLE_FRACTION:.0%} of requests, 15 min)",
            "ClaimMemory, finished records expire",
            inputs.slope("claims", "record"),
            inputs.bytes_at("claims", claims),
        ),
        line(
            "ledger",
            f"{cells:,} cells",
            "cumulative counters by account, pipeline, stage",
            inputs.slope("cost_cells", "cell, ids of booked attempts included"),
            inputs.bytes_at("cost_cells", cells),
        ),
        line(
            "router",
            f"{TARGETS:,} targets, subset kept in full",
            "subset by rendezvous",
            inputs.slope("targets", "target"),
            float(inputs.point("targets", TARGETS)["state_bytes"]),
        ),
        line(
            "router",
            "10,000 crash suspects",
            "bounded table",
            inputs.slope("suspects", "suspect"),
            inputs.bytes_at("suspects", 10_000),
        ),
        line(
            "caller's side",
            "2,000 traces for explain",
            "bounded store",
            inputs.slope("traces", "trace"),
            inputs.bytes_at("traces", 2_000),
        ),
        Line(
            "caller's side",
            f"{streams:,.0f} live streams",
            "RequestExecution and driver",
            f"{stream_slope:,.0f} bytes per stream, residual "
            f"{inputs.sweep['live_streams']['fit']['residual']:.1%}",
            stream_slope * streams,
            None,
            "bytes",
            "sesamehold-bench sweep",
        ),
        Line(
            "member, reader",
            "membership and configuration of 1,000 hosts, 12,000 targets",
            "FleetView, content-addressed sections",
            "measured at that size",
            float(inputs.design()["memory_bytes"]),
            None,
            "bytes",
            inputs.membership["runs"][1]["command"],
        ),
    ]


def _cpu_lines(inputs: Inputs) -> list[Line]:
    changes_per_s = CHANGES_PER_DAY / SECONDS_PER_DAY
    events_per_s = HOST_EVENTS_PER_DAY / SECONDS_PER_DAY
    claims_per_s = REQUESTS_PER_S / HOSTS * NON_REPEATABLE_FRACTION
    member = inputs.row(HOSTS)
    design = inputs.design()
    configure = inputs.decisions["reconfigure"]
    membership_command = inputs.membership["runs"][1]["command"]
    command = inputs.decisions["command"]
    claim_points = inputs.decisions["variables"]["claims"]["points"][-1]
    vote_ms = claim_points["cpu_ms"] / claim_points["x"]
    sets_ms = inputs.point("witness_sets_of_100_keys", HOSTS)["cpu_ms"] / 100

    def line(role: str, item: str, mechanism: str, slope: str, value: float, run: str) -> Line:
        return Line(role, item, mechanism, slope, value, None, "% of a core", run)

    return [
        line(
            "member",
            "probes with evidence of 1,000 hosts",
            "SWIM-style probing, one a second",
            "measured at that size",
            member["cpu_percent"],
            membership_command,
        ),
        line(
            "reader",
            f"{CHANGES_PER_DAY:,} changes a day: take over changed sections",
            "sections from a peer",
            f"{design['apply_ms']:.1f} ms each",
            design["apply_ms"] * changes_per_s / 10,
            membership_command,
        ),
        line(
            "reader",
            "validation of each change",
            "cross-field rules over the whole manifest",
            f"{configure['validate_ms']:.1f} ms each",
            configure["validate_ms"] * changes_per_s / 10,
            command,
        ),
        line(
            "router",
            "new version with the same hosts",
            "incremental subset, slots kept",
            f"{configure['one_target_ms']:.1f} ms each",
            configure["one_target_ms"] * changes_per_s / 10,
            command,
        ),
        line(
            "router",
            f"{HOST_EVENTS_PER_DAY:,} changes of the host list a day",
            "incremental subset, slots dealt anew",
            f"{configure['one_host_ms']:.1f} ms each",
            configure["one_host_ms"] * events_per_s / 10,
            command,
        ),
        line(
            "claim owner",
            f"{claims_per_s:.1f} claims a second: witness sets",
            "rendezvous order over the roster",
            f"{sets_ms:.2f} ms each at 1,000 hosts",
            sets_ms * claims_per_s / 10,
            command,
        ),
        line(
            "claim witness",
            f"{claims_per_s * WITNESSES:.0f} votes a second, without the calls",
            "ClaimMemory",
            f"{vote_ms * 1_000:.0f} µs each",
            vote_ms * claims_per_s * WITNESSES / 10,
            command,
        ),
    ]


def _budget_lines(inputs: Inputs, cpu: Sequence[Line], memory: Sequence[Line]) -> list[Line]:
    member = inputs.row(HOSTS)
    design = inputs.design()
    command = inputs.membership["runs"][1]["command"]
    restart = inputs.restart(HOSTS)
    relay = inputs.relay["at_size"]
    slowest = max(inputs.steady, key=lambda run: run["first_piece_ms"]["p95"])
    widest = max(inputs.steady, key=lambda run: run["gap_ms"]["p95"])
    return [
        Line(
            "caller's side",
            f"first piece, p95, at 80 % load of the stand-ins ({slowest['deployment']})",
            "dispatch policy",
            "3 hosts, not at size; the engine's own time included",
            slowest["first_piece_ms"]["p95"],
            FIRST_TOKEN_BUDGET_MS,
            "ms",
            slowest["command"],
        ),
        Line(
            "caller's side",
            f"gap between pieces, p95, at 80 % load of the stand-ins ({widest['deployment']})",
            "relay",
            "3 hosts, not at size; the engine's own time included",
            widest["gap_ms"]["p95"],
            TOKEN_GAP_BUDGET_MS,
            "ms",
            widest["command"],
        ),
        Line(
            "every host",
            "processor time for control, sum of the lines below",
            "see below",
            "sum",
            sum(line.value for line in cpu),
            CPU_BUDGET_PERCENT,
            "% of a core",
            "see below",
        ),
        Line(
            "every host",
            "memory of decision state, sum of the lines below, and of the loaded modules",
            "see below",
            "sum",
            sum(line.value for line in memory) + inputs.decisions["idle_process_bytes"],
            MEMORY_BUDGET_BYTES,
            "bytes",
            "see below",
        ),
        Line(
            "member, reader",
            "bytes sent: probes, changes, host events, cost pushes",
            "UDP probes, notices, sections, compressed rows",
            f"{design['total_bytes_per_s']:,.0f} with 1,000 hosts in one process, cost pushes "
            f"{inputs.decisions['ledger_bytes_per_s']:,.0f} with evenly spread accounts",
            design["total_bytes_per_s"] + inputs.decisions["ledger_bytes_per_s"],
            BYTES_BUDGET_PER_S,
            "bytes/s",
            command,
        ),
        Line(
            "reader",
            "a change in force on all hosts, largest of the run",
            "fan-out 4, repair by probe digest",
            f"p50 {member['spread_ms'][0]} ms, p99 {member['spread_ms'][1]} ms",
            member["spread_ms"][2],
            SPREAD_BUDGET_MS,
            "ms",
            command,
        ),
        Line(
            "reader",
            "calls to the configuration service, steady",
            "3 readers in each region",
            "0.9 at 9 hosts, 3.5 at 100 hosts",
            member["platform_calls_per_s"],
            PLATFORM_BUDGET_CALLS_PER_S,
            "calls/s",
            command,
        ),
        Line(
            "reader",
            "calls in the busiest second of a start of all 1,000 hosts",
            "peers before the platform",
            f"{restart['platform_calls']} calls in all",
            restart["peak_calls_per_s"],
            PLATFORM_BUDGET_CALLS_PER_S,
            "calls/s",
            inputs.membership["runs"][2]["command"],
        ),
        Line(
            "build pipeline",
            "manifest of 1,000 hosts, 12,000 targets, 250 accounts",
            "one value, defaults left out",
            "measured at that size",
            inputs.decisions["reconfigure"]["manifest_bytes"],
            VALUE_BUDGET_BYTES,
            "bytes",
            inputs.decisions["command"],
        ),
        Line(
            "caller's side",
            f"relay of {relay['tokens_per_s']:,.0f} tokens/s and "
            f"{relay['requests_per_s']:.1f} requests/s",
            "aiohttp on both sides",
            f"{inputs.relay['token_us']:.1f} µs a token, {inputs.relay['request_us']:,.0f} µs a "
            "request of four stages",
            relay["core_fraction"],
            RELAY_BUDGET_CORE,
            "cores",
            inputs.relay["command"],
        ),
    ]


def _number(value: float) -> str:
    if value >= 1_000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _verdict(line: Line) -> str:
    if line.budget is None:
        return ""
    margin = 1 - line.value / line.budget
    return f"{margin:.0%}" if margin >= 0 else f"**misses by {-margin:.0%}**"


def _table(lines: Sequence[Line]) -> list[str]:
    rows = [
        "| role | item | mechanism | slope | at size | budget | margin | measured by |",
        "| --- | --- | --- | --- | ---: | ---: | ---: | --- |",
    ]
    for line in lines:
        budget = "" if line.budget is None else f"{_number(line.budget)} {line.unit}"
        rows.append(
            f"| {line.role} | {line.item} | {line.mechanism} | {line.slope} | "
            f"{_number(line.value)} {line.unit} | {budget} | {_verdict(line)} | `{line.command}` |"
        )
    return rows


def page(inputs: Inputs, notes: str) -> str:
    """Returns the page: tables from the measurements, then the notes.

    Args:
        inputs: Recorded measurements.
        notes: Markdown text to append below the tables.
    """
    cpu = _cpu_lines(inputs)
    memory = _memory_lines(inputs)
    lines = [
        "# Capacity",
        "",
        "The tables are generated from `docs/measurements/` by `python -m "
        "sesamehold_bench.process.capacity`; a test checks that they are current. Values at size "
        "are for one host of 1,000.",
        "",
        "## Budgets",
        "",
        *_table(_budget_lines(inputs, cpu, memory)),
        "",
        "## Processor time for control",
        "",
        *_table(cpu),
        "",
        "## Memory",
        "",
        *_table(memory),
        "",
        notes.strip(),
        "",
    ]
    return "\n".join(lines)


app = cyclopts.App(name="capacity", help=__doc__, result_action="return_value")


@app.default
def main() -> int:
    """Writes docs/CAPACITY.md."""
    notes = (MEASUREMENTS.parent / "capacity-notes.md").read_text("utf-8")
    PAGE.write_text(page(Inputs.from_folder(MEASUREMENTS), notes), encoding="utf-8")
    return 0


if __name__ == "__main__":
    app()
