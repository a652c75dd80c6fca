"""Sweeps of one host's decision state: bytes and CPU time by one variable at a time.

The production decision code runs in one process without I/O. Bytes are the allocations that
tracemalloc reports; CPU time is measured in a separate run without it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import gc
import json
import pathlib
import random
import sys
import time
import tracemalloc
from typing import Any

import attrs
import cyclopts

from sesamehold.connection import ledger_peer
from sesamehold.connection import peer_codec
from sesamehold.connection import seal
from sesamehold.process import clock as clocks
from sesamehold.process import credentials
from sesamehold.process import explanations
from sesamehold.process import fleet_view
from sesamehold.process import ledger
from sesamehold.process import policy_dispatcher
from sesamehold.process import suspects
from sesamehold.process import witness
from sesamehold.request import ids
from sesamehold.request import selection
from sesamehold.version import manifest
from sesamehold.version import roster
from sesamehold.version import validation
from sesamehold_bench.process import sweep
from sesamehold_bench.version import sized_fleet

COMMAND = "python -m sesamehold_bench.process.decision_sweep"
SEED = 1
WALL_MS = 1_700_000_000_000
KEY_AGE_MS = 1_000
# Interval of the cost pushes in ledger_peer.
LEDGER_INTERVAL_S = 4

CLAIM_COUNTS = (1_000, 2_000, 4_000, 8_000)
SUSPECT_COUNTS = (1_000, 2_500, 5_000, 10_000)
CELL_COUNTS = (250, 1_000, 4_000, 8_000)
TRACE_COUNTS = (250, 500, 1_000, 2_000)
TARGET_COUNTS = (20, 500, 2_000, 6_000, 12_000)
ACCOUNT_COUNTS = (5, 50, 125, 250)
HOST_COUNTS = (9, 100, 300, 1_000)


@attrs.frozen
class Point:
    """One measured point.

    Attributes:
        x: Value of the variable.
        state_bytes: Memory of the state.
        cpu_ms: CPU time to build the state or to do the work once.
    """

    x: int
    state_bytes: int
    cpu_ms: float


@attrs.frozen
class Variable:
    """A variable to sweep.

    Attributes:
        name: Name in the recorded measurements.
        values: Values to measure at.
        build: Builds the state for a value; its CPU time and allocations are measured.
    """

    name: str
    values: Sequence[int]
    build: Callable[[int], object]


def _key(number: int) -> ids.ExecutionKey:
    return ids.ExecutionKey.from_host("account-0", ids.uuid7(WALL_MS + KEY_AGE_MS * 10, number))


def _claim_memory(count: int) -> object:
    memory = witness.ClaimMemory(0, WALL_MS)
    conditions = witness.Conditions(has_quorum=True, knows_roster=True)
    for number in range(count):
        claimant = witness.Claimant("host-1", 1, f"{number:032x}")
        claim = witness.Claim(_key(number), claimant, b"f" * 16)
        memory.vote(claim, conditions, 20_000, WALL_MS + 20_000)
    if len(memory) != count:
        raise RuntimeError(f"{len(memory)} of {count} claims were recorded")
    return memory


def _suspect_table(count: int) -> object:
    table = suspects.SuspectTable()
    for number in range(count):
        table.record_crash(number.to_bytes(16, "big"), "generate", 0, 1)
    table.take_changes(1)
    return table


def _ledger(cell_count: int) -> object:
    book = ledger.Ledger()
    for number in range(cell_count):
        book.book(
            ledger.CostEntry(
                attempt=f"{number:032x}/0/1",
                account=f"account-{number // 32}",
                pipeline=f"pipeline-{number // 4 % 8}",
                stage=f"stage-{number % 4}",
                pool=f"pool-{number % 4}",
                units=1,
                cost=1,
                wasted=False,
            )
        )
    return book


def _explanation_store(count: int) -> object:
    store = explanations.Explanations()
    for number in range(count):
        # A request of four stages produces about 14 records.
        records = [
            explanations.TraceRecord(index, "attempt", "power-of-two", {"stage": "s", "load": 0.5})
            for index in range(14)
        ]
        store.open(explanations.Trace(f"{number:032x}", "account", "pipeline", 0, records))
    return store


def _dispatcher(target_count: int) -> object:
    # A tenth of the hosts of the design size keeps the ratio of 12 targets to a host.
    host_count = max(9, target_count // 12)
    version = sized_fleet.build(host_count, target_count=target_count)
    dispatcher = policy_dispatcher.PolicyDispatcher.from_config(
        "host-0", "zone-0", selection.LoadAwareSelector(selection.random_source("sweep"))
    )
    dispatcher.configure(version, 0)
    return dispatcher


def _credential_table(count: int) -> object:
    version = sized_fleet.build(9, account_count=count)
    table = credentials.CredentialTable()
    table.configure(version)
    for account in version.accounts:
        table.account_of(f"{account.name}:wrong")
    return table


def _fleet_view(host_count: int) -> object:
    document = json.loads(json.dumps(manifest.to_json(sized_fleet.build(host_count))))
    view = fleet_view.FleetView.create("host-0", clocks.ManualClock(), random.Random(SEED))
    view.offer_document(document)
    return view


def _witness_sets(host_count: int) -> object:
    version = sized_fleet.build(host_count)
    window = roster.RosterWindow(0).accept(roster.Roster.from_manifest(version), 900_000, 0)
    started = time.process_time()
    for number in range(100):
        window.witness_sets(f"account-0:{number}", 0)
    # Counts only the witness sets of 100 claims, not the construction of the roster.
    return _TimedState(window, (time.process_time() - started) * 1_000)


@attrs.frozen
class _TimedState:
    state: object
    cpu_ms: float


VARIABLES = (
    Variable("claims", CLAIM_COUNTS, _claim_memory),
    Variable("suspects", SUSPECT_COUNTS, _suspect_table),
    Variable("cost_cells", CELL_COUNTS, _ledger),
    Variable("traces", TRACE_COUNTS, _explanation_store),
    Variable("targets", TARGET_COUNTS, _dispatcher),
    Variable("accounts", ACCOUNT_COUNTS, _credential_table),
    Variable("fleet_hosts", HOST_COUNTS, _fleet_view),
    Variable("witness_sets_of_100_keys", HOST_COUNTS, _witness_sets),
)


def measure(variable: Variable, value: int) -> Point:
    """Measures memory and CPU time for one value of a variable."""
    gc.collect()
    started = time.process_time()
    built = variable.build(value)
    cpu_ms = (time.process_time() - started) * 1_000
    if isinstance(built, _TimedState):
        cpu_ms = built.cpu_ms
    del built
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = variable.build(value)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return Point(value, max(1, after - before), max(0.001, round(cpu_ms, 3)))


@attrs.frozen
class Reconfiguration:
    """Cost of a new version at 1,000 hosts, 12,000 targets and 250 accounts.

    Attributes:
        manifest_bytes: Size of the published manifest.
        validate_ms: CPU time of the cross-field validation rules.
        first_ms: CPU time of the dispatcher to apply its first version.
        one_target_ms: CPU time of the dispatcher to apply a change of one target.
        one_host_ms: CPU time of the dispatcher to apply the removal of one host.
    """

    manifest_bytes: int
    validate_ms: float
    first_ms: float
    one_target_ms: float
    one_host_ms: float


def _measure_cpu_ms(work: Callable[[], object]) -> float:
    gc.collect()
    started = time.process_time()
    work()
    return round((time.process_time() - started) * 1_000, 1)


def measure_reconfiguration() -> Reconfiguration:
    """Measures the CPU time that one host spends on new versions at the design size."""
    version = sized_fleet.build(1_000, target_count=12_000, account_count=250)
    pools = version.pools
    target = attrs.evolve(pools[0].targets[0], leaving=True)
    pool = attrs.evolve(pools[0], targets=(target, *pools[0].targets[1:]))
    one_target = attrs.evolve(version, version=2, pools=(pool, *pools[1:]))
    one_host = attrs.evolve(one_target, version=3, hosts=version.hosts[:-1])
    dispatcher = policy_dispatcher.PolicyDispatcher.from_config(
        "host-0", "zone-0", selection.LoadAwareSelector(selection.random_source("sweep"))
    )
    text = json.dumps(manifest.to_json(version), separators=(",", ":"))
    validation.validate(version)
    return Reconfiguration(
        manifest_bytes=len(text),
        validate_ms=_measure_cpu_ms(lambda: validation.validate(one_target)),
        first_ms=_measure_cpu_ms(lambda: dispatcher.configure(version, 0)),
        one_target_ms=_measure_cpu_ms(lambda: dispatcher.configure(one_target, 1_000)),
        one_host_ms=_measure_cpu_ms(lambda: dispatcher.configure(one_host, 2_000)),
    )


def measure_ledger_bytes_per_s() -> float:
    """Returns the bytes of cost pushes of one host at its peak of 36 requests a second.

    Requests are spread evenly over 250 accounts and 8 pipelines of 5 stages, the distribution that
    changes the most ledger cells.
    """
    rng = random.Random(SEED)
    book = ledger.Ledger()
    requests = 36 * LEDGER_INTERVAL_S
    for number in range(requests):
        account, pipeline = f"account-{rng.randrange(250)}", f"pipeline-{rng.randrange(8)}"
        for stage in range(5):
            attempt = f"{number:032x}/{stage}/1"
            name = f"stage-{stage}"
            book.book(ledger.CostEntry(attempt, account, pipeline, name, name, 7, 21, wasted=False))
    rows = {key: book.totals[key] for key in book.take_changed()}
    message = ledger_peer.encode(ledger.Origin("host-0", WALL_MS), 1, rows)
    codec = peer_codec.SealedCodec(seal.Sealer.from_keys(("key-of-the-sweep",)))
    return round(len(codec.encode(message, type(message))) / LEDGER_INTERVAL_S, 1)


async def measure_idle_bytes() -> int:
    """Returns the resident memory of a process that has only imported the daemon's modules."""
    code = "import sesamehold.process.daemon, sys; print(open('/proc/self/status').read())"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
    )
    output, _ = await process.communicate()
    line = next(line for line in output.decode().splitlines() if line.startswith("VmRSS:"))
    return int(line.split()[1]) * 1_024


def run() -> dict[str, Any]:
    """Runs all sweeps; returns points and fits by variable."""
    result: dict[str, Any] = {
        "command": COMMAND,
        "seed": SEED,
        "reconfigure": attrs.asdict(measure_reconfiguration()),
        "ledger_bytes_per_s": measure_ledger_bytes_per_s(),
        "idle_process_bytes": asyncio.run(measure_idle_bytes()),
        "variables": {},
    }
    for variable in VARIABLES:
        points = [measure(variable, value) for value in variable.values]
        result["variables"][variable.name] = {
            "points": [attrs.asdict(point) for point in points],
            "bytes_fit": attrs.asdict(
                sweep.fit([sweep.Row(point.x, point.state_bytes) for point in points])
            ),
            "cpu_fit": attrs.asdict(
                sweep.fit([sweep.Row(point.x, point.cpu_ms) for point in points])
            ),
        }
    return result


app = cyclopts.App(name="decision-sweep", help=__doc__, result_action="return_value")


@app.default
def main(*, output: pathlib.Path = pathlib.Path("docs/measurements/decisions.json")) -> int:
    """Runs the sweeps and writes them as JSON."""
    output.write_text(json.dumps(run(), indent=1) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    app()
