"""Cost and speed of membership and configuration distribution by number of hosts.

The decision state of all hosts runs in one process with a simulated clock; datagrams are encoded
and sealed as in production. The measurements exclude sockets and kernel time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import pathlib
import random
import sys
import time
import tracemalloc
from typing import Annotated
from typing import Any

import attrs
import cyclopts
from expression import Result

from sesamehold.connection import configuration_exchange
from sesamehold.connection import peer_client
from sesamehold.connection import peer_server
from sesamehold.connection import seal
from sesamehold.process import clock as clocks
from sesamehold.process import configuration
from sesamehold.process import fleet_view
from sesamehold.version import manifest
from sesamehold.version import sections
from sesamehold_bench.process import local_fleet
from sesamehold_bench.process import view_network
from sesamehold_bench.version import sized_fleet

COMMAND = "python -m sesamehold_bench.process.membership_sweep"
HOST_COUNTS = (3, 9, 30, 100, 300, 1_000)
RESTART_COUNTS = (9, 100, 1_000)
UDP_HEADER_BYTES = 28
WARM_UP_MS = 8_000
STEADY_MS = 10_000
SPREAD_WINDOW_MS = 6_000
DETECTION_LIMIT_MS = 45_000
RESTART_LIMIT_MS = 10_000
RESTART_STEP_MS = 250
# Event rates of the design size.
CHANGES_PER_S = 6_700 / 86_400
HOST_EVENTS_PER_S = (97 + 2_400) / 86_400
_MEMORY_VIEW_COUNT = 2


@attrs.frozen
class Row:
    """Measurements for one number of hosts.

    Attributes:
        hosts: Number of hosts.
        sent_per_s: Datagrams that one host sends in a second while idle, by kind.
        sent_bytes_per_s: Size of these datagrams without UDP and IP headers, by kind.
        steady_bytes_per_s: Sum of the sizes over all kinds.
        steady_bytes_with_headers_per_s: Sum with 28 bytes of UDP and IP headers per datagram.
        cpu_percent: CPU time of one idle host, in percent of a core.
        platform_calls_per_s: Calls of the whole idle fleet to the configuration service.
        spread_ms: Time from publication until a version is in force: p50, p99, maximum.
        change_bytes: Additional datagram bytes that one host sends because of one change.
        detection_ms: Time from a crash until the other hosts mark the host unreachable: first,
            p50, last.
        crash_bytes: Additional datagram bytes that one host sends because of one crash.
    """

    hosts: int
    sent_per_s: dict[str, float]
    sent_bytes_per_s: dict[str, float]
    steady_bytes_per_s: float
    steady_bytes_with_headers_per_s: float
    cpu_percent: float
    platform_calls_per_s: float
    spread_ms: tuple[int, int, int]
    change_bytes: float
    detection_ms: tuple[int, int, int]
    crash_bytes: float


@attrs.frozen
class RestartRow:
    """Measurements of a start of all hosts within 100 ms, when no peer has a version yet.

    Attributes:
        hosts: Number of hosts.
        platform_calls: Calls to the configuration service until all hosts were ready.
        peak_calls_per_s: Maximum number of calls within one second.
        ready_ms: Time until all hosts were ready, in steps of 250 ms; None if the limit passed.
        sent_bytes_per_host: Bytes of datagrams and configuration replies until then.
        cpu_ms_per_host: CPU time until then.
    """

    hosts: int
    platform_calls: int
    peak_calls_per_s: int
    ready_ms: int | None
    sent_bytes_per_host: int
    cpu_ms_per_host: float


@attrs.frozen
class DesignSizeRow:
    """Cost of one configuration at the design size.

    Attributes:
        manifest_bytes: Size of all sections.
        section_count: Number of sections.
        one_target_bytes: Encoded answer for a version that changes one target.
        one_account_bytes: Encoded answer for a version that changes one account.
        split_ms: CPU time of a reader to split a published manifest into sections.
        apply_ms: CPU time of another host to apply a change of one target.
        memory_bytes: Memory of the fleet view of one host (tracemalloc).
        fetch_sent_bytes: TCP payload that the client sends for one fetch on a new connection.
        fetch_received_bytes: TCP payload that the client receives for a change of one target.
        total_bytes_per_s: Bytes that one of 1,000 hosts sends at the rates of the design size.
    """

    manifest_bytes: int
    section_count: int
    one_target_bytes: int
    one_account_bytes: int
    split_ms: float
    apply_ms: float
    memory_bytes: int
    fetch_sent_bytes: int
    fetch_received_bytes: int
    total_bytes_per_s: float | None = None


def sweep(host_counts: tuple[int, ...], seed: int) -> list[Row]:
    """Returns one row for each number of hosts."""
    rows: list[Row] = []
    for host_count in host_counts:
        rows.append(measure(host_count, seed))
        print(f"{host_count} hosts measured", file=sys.stderr)
    return rows


def measure(host_count: int, seed: int) -> Row:
    """Measures one number of hosts."""
    network = view_network.ViewNetwork(random.Random(seed))
    network.start_warm(_split_sections(sized_fleet.build(host_count)))
    network.run(WARM_UP_MS)
    calls = network.platform_calls
    sent, size, cpu_ns = _measure_window(network, STEADY_MS)
    seconds = host_count * STEADY_MS / 1_000
    steady = sum(size.values()) / seconds
    calls_per_s = (network.platform_calls - calls) / (STEADY_MS / 1_000)
    spread, change_bytes = _measure_change(network, host_count, steady)
    detection, crash_bytes = _measure_crash(network, host_count, steady)
    return Row(
        hosts=host_count,
        sent_per_s={kind: round(count / seconds, 3) for kind, count in sent.items()},
        sent_bytes_per_s={kind: round(count / seconds, 1) for kind, count in size.items()},
        steady_bytes_per_s=round(steady, 1),
        steady_bytes_with_headers_per_s=round(
            steady + sum(sent.values()) * UDP_HEADER_BYTES / seconds, 1
        ),
        cpu_percent=round(cpu_ns / 1e9 / seconds * 100, 3),
        platform_calls_per_s=calls_per_s,
        spread_ms=spread,
        change_bytes=round(change_bytes, 1),
        detection_ms=detection,
        crash_bytes=round(crash_bytes, 1),
    )


def _measure_window(
    network: view_network.ViewNetwork, duration_ms: int
) -> tuple[dict[str, int], dict[str, int], int]:
    network.sent.clear()
    network.sent_bytes.clear()
    network.cpu_ns = 0
    network.run(duration_ms)
    return dict(network.sent), dict(network.sent_bytes), network.cpu_ns


def _measure_change(
    network: view_network.ViewNetwork, host_count: int, steady: float
) -> tuple[tuple[int, int, int], float]:
    published_ms = network.clock.now_ms()
    network.publish(sized_fleet.build(host_count, 2, account_count=6))
    _, size, _ = _measure_window(network, SPREAD_WINDOW_MS)
    size.pop("ConfigurationReply", None)
    times = sorted(
        host.versions[-1][0] - published_ms
        for host in network.running()
        if host.versions[-1][1] == 2
    )
    if len(times) != host_count:
        raise RuntimeError(f"{host_count - len(times)} hosts did not apply the change")
    extra = sum(size.values()) / host_count - steady * SPREAD_WINDOW_MS / 1_000
    return (_quantile(times, 0.5), _quantile(times, 0.99), times[-1]), extra


def _measure_crash(
    network: view_network.ViewNetwork, host_count: int, steady: float
) -> tuple[tuple[int, int, int], float]:
    crashed_id = f"host-{host_count // 2}"
    network.crash(crashed_id)
    crashed_ms = network.clock.now_ms()
    network.sent_bytes.clear()
    detected_ms: dict[str, int] = {}
    while (
        len(detected_ms) < host_count - 1
        and network.clock.now_ms() < crashed_ms + DETECTION_LIMIT_MS
    ):
        network.run(100)
        for host in network.running():
            state = host.view.membership.members[crashed_id].state
            if host.view.host_id not in detected_ms and state.name == "UNREACHABLE":
                detected_ms[host.view.host_id] = network.clock.now_ms() - crashed_ms
    if len(detected_ms) < host_count - 1:
        raise RuntimeError("not every host detected the crash before the time limit")
    elapsed_ms = network.clock.now_ms() - crashed_ms
    extra = sum(network.sent_bytes.values()) / host_count - steady * elapsed_ms / 1_000
    times = sorted(detected_ms.values())
    return (times[0], _quantile(times, 0.5), times[-1]), extra


def measure_restart(host_count: int, seed: int) -> RestartRow:
    """Measures the start of all hosts at once."""
    network = view_network.ViewNetwork(random.Random(seed))
    version = sized_fleet.build(host_count)
    network.published = version
    for host in version.hosts:
        network.start(host.id, host.peer_address)
    calls: list[int] = [0]
    ready_ms: int | None = None
    while ready_ms is None and network.clock.now_ms() < RESTART_LIMIT_MS:
        network.run(RESTART_STEP_MS)
        calls.append(network.platform_calls)
        if all(host.view.is_ready() for host in network.running()):
            ready_ms = network.clock.now_ms()
    steps = 1_000 // RESTART_STEP_MS
    return RestartRow(
        hosts=host_count,
        platform_calls=calls[-1],
        peak_calls_per_s=max(
            later - calls[max(0, index - steps)] for index, later in enumerate(calls)
        ),
        ready_ms=ready_ms,
        sent_bytes_per_host=sum(network.sent_bytes.values()) // host_count,
        cpu_ms_per_host=round(network.cpu_ns / 1e6 / host_count, 1),
    )


def measure_design_size() -> DesignSizeRow:
    """Measures one configuration of 1,000 hosts and 12,000 targets."""
    version = sized_fleet.build(1_000, target_count=12_000, account_count=250)
    document = json.loads(json.dumps(manifest.to_json(version)))
    old = configuration.ConfigurationState()
    split_ms = _cpu_ms(lambda: old.offer_document(document, 0))
    new = configuration.ConfigurationState()
    new.offer_document(document, 0)
    new.offer(_split_sections(_with_one_target_changed(version)), 0)
    answer = new.answer(old.query(), 0)
    other = configuration.ConfigurationState()
    other.offer_document(document, 0)
    other.offer(_split_sections(_with_one_account_changed(version)), 0)
    in_force = new.in_force
    if in_force is None:
        raise RuntimeError("the configuration state rejected the version")
    sent, received = asyncio.run(_measure_fetch(new, old.query()))
    return DesignSizeRow(
        manifest_bytes=sum(len(part.content) for part in in_force.sections.values()),
        section_count=len(in_force.sections),
        one_target_bytes=_encoded_size(answer),
        one_account_bytes=_encoded_size(other.answer(old.query(), 0)),
        split_ms=round(split_ms, 1),
        apply_ms=round(_cpu_ms(lambda: old.apply(answer, 0)), 1),
        memory_bytes=_memory_bytes(document),
        fetch_sent_bytes=sent,
        fetch_received_bytes=received,
    )


def with_total(design: DesignSizeRow, row: Row) -> DesignSizeRow:
    """Adds the bytes that one host sends in total at the rates of the design size.

    On average, a host fetches each change once and serves it to one other host.
    """
    fetch = design.fetch_sent_bytes + design.fetch_received_bytes
    total = (
        row.steady_bytes_with_headers_per_s
        + CHANGES_PER_S * (max(0.0, row.change_bytes) + fetch)
        + HOST_EVENTS_PER_S * max(0.0, row.crash_bytes)
    )
    return attrs.evolve(design, total_bytes_per_s=round(total, 1))


def _split_sections(version: manifest.Manifest) -> sections.SectionSet:
    match sections.split(version):
        case Result(tag="ok", ok=candidate):
            return candidate
        case Result(error=faults):
            raise RuntimeError(str(faults))


def _with_one_target_changed(version: manifest.Manifest) -> manifest.Manifest:
    pool = version.pools[0]
    targets = (attrs.evolve(pool.targets[0], leaving=True), *pool.targets[1:])
    pools = (attrs.evolve(pool, targets=targets), *version.pools[1:])
    return attrs.evolve(version, version=2, pools=pools)


def _with_one_account_changed(version: manifest.Manifest) -> manifest.Manifest:
    accounts = (attrs.evolve(version.accounts[0], weight=2.0), *version.accounts[1:])
    return attrs.evolve(version, version=2, accounts=accounts)


def _encoded_size(answer: configuration.SectionsAnswer) -> int:
    return int(configuration_exchange.reply_to_wire(answer).ByteSize())


def _cpu_ms(work: Callable[[], object]) -> float:
    started_s = time.process_time()
    work()
    return (time.process_time() - started_s) * 1_000


def _memory_bytes(document: Any) -> int:
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        views = [
            fleet_view.FleetView.create(f"host-{index}", clocks.ManualClock(), random.Random(index))
            for index in range(_MEMORY_VIEW_COUNT)
        ]
        for view in views:
            view.offer_document(json.loads(json.dumps(document)))
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return (after - before) // len(views)


async def _measure_fetch(
    state: configuration.ConfigurationState, query: configuration.SectionsQuery
) -> tuple[int, int]:
    """Fetches over gRPC through a TCP proxy; returns the bytes sent and received."""
    server_address, relay_address = local_fleet.free_addresses(2)
    sealer = seal.Sealer.from_keys(("key-of-the-sweep",))
    absent: Any = peer_server.UnavailableHandler()
    handler = configuration_exchange.ConfigurationService(state, clocks.ManualClock())
    server = peer_server.PeerServer.from_service(
        peer_server.PeerService(absent, handler, absent, absent), sealer
    )
    await server.start("127.0.0.1", int(server_address.rpartition(":")[2]), None)
    counts = [0, 0]

    async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, index: int) -> None:
        while data := await reader.read(65_536):
            counts[index] += len(data)
            writer.write(data)
        writer.close()

    async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        port = int(server_address.rpartition(":")[2])
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.gather(copy(reader, server_writer, 0), copy(server_reader, writer, 1))

    port = int(relay_address.rpartition(":")[2])
    listener = await asyncio.start_server(relay, "127.0.0.1", port)
    peers = configuration_exchange.ConfigurationPeers(lambda: peer_client.PeerClient(sealer))
    result = await peers.fetch(relay_address, query, 5_000)
    await asyncio.sleep(0.1)
    listener.close()
    await server.close()
    if result.is_error():
        raise RuntimeError(str(result))
    return counts[0], counts[1]


def _quantile(ordered: list[int], fraction: float) -> int:
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


app = cyclopts.App(help=__doc__, result_action="return_value")


@app.default
def main(
    *,
    seed: int = 1,
    output: pathlib.Path | None = None,
    hosts: Annotated[tuple[int, ...], cyclopts.Parameter(consume_multiple=True)] = HOST_COUNTS,
    restarts: Annotated[
        tuple[int, ...], cyclopts.Parameter(consume_multiple=True)
    ] = RESTART_COUNTS,
) -> int:
    """Prints the measurements as JSON, or writes them to a file.

    Args:
        seed: Seed of all random decisions.
        output: File to write.
        hosts: Fleet sizes to measure in steady state.
        restarts: Fleet sizes to measure with a simultaneous start of all hosts.
    """
    design = measure_design_size()
    rows = sweep(hosts, seed)
    document = {
        "command": f"{COMMAND} --seed {seed} --hosts {' '.join(map(str, hosts))}"
        f" --restarts {' '.join(map(str, restarts))}",
        "seed": seed,
        "rows": [attrs.asdict(row) for row in rows],
        "restarts": [attrs.asdict(measure_restart(count, seed)) for count in restarts],
        "design_size": attrs.asdict(with_total(design, rows[-1])),
    }
    text = json.dumps(document, indent=2)
    if output is None:
        print(text)
    else:
        output.write_text(f"{text}\n")
    return 0


if __name__ == "__main__":
    sys.exit(app())
