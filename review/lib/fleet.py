"""Stand-ins for the platform, the workers and the clients, and entry hosts as separate processes.

Only the standard library is used. All addresses are loopback addresses: every machine has an
address of its own, so that all of them can use the same ports. Workers and the store follow
PROTOCOL.md; what a case needs beyond that is passed in by the case.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib import parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
KEY = "key-of-tenant-1"
TENANT = "tenant-1"
HOST_NAME = "service.example"
HEARTBEAT_S = 1.2
# The platform starts a process that ended again after a short delay.
RESTART_DELAY_S = 0.5
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
METRICS_PORT = 9464


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the time since the start of the case."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Writes one line with its time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Addresses:
    """Loopback addresses of one run, and ports that are free on all of them."""

    def __init__(self) -> None:
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._next = 1
        self._ports = random.sample(range(12_000, 30_000), 2_000)

    def ip(self) -> str:
        """Returns the next address."""
        self._next += 1
        return f"{self._net}.{self._next}"

    def port(self, ips: list[str]) -> int:
        """Returns a port that is free on the addresses."""
        while True:
            port = self._ports.pop()
            if all(self._is_free(ip, port) for ip in ips):
                return port

    @staticmethod
    def _is_free(ip: str, port: int) -> bool:
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
            return True


class Message:
    """A request or an answer that was read from a connection."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def path(self) -> str:
        """Returns the path of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Returns the status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def request_id(self) -> str:
        """Returns the request id."""
        return self.headers.get("request-id", "")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message whose body has a length, chunks, or neither and then no body."""
    first, headers = await read_head(reader)
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    return Message(first, headers, body)


def answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", *(f"{name}: {text}" for name, text in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: range reads and watches over a single revision counter."""

    def __init__(self, addresses: Addresses) -> None:
        self.ip = addresses.ip()
        self.port = addresses.port([self.ip])
        self.revision = 10
        self._items: dict[str, tuple[int, bytes | None]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Returns the address."""
        return f"{self.ip}:{self.port}"

    def put(self, key: str, document: dict[str, Any]) -> None:
        """Writes an item."""
        self._set(key, json.dumps(document).encode())

    def delete(self, key: str) -> None:
        """Deletes an item."""
        if self._items.get(key, (0, None))[1] is not None:
            self._set(key, None)

    def _set(self, key: str, value: bytes | None) -> None:
        self.revision += 1
        self._items[key] = (self.revision, value)
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to serve."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        url = parse.urlsplit(request.path)
        query = {name: values[0] for name, values in parse.parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(
                key
                for key, (_, value) in self._items.items()
                if value is not None and key.startswith(prefix) and key > after
            )
            document = {
                "items": [self._entry(key) for key in keys],
                "truncated": False,
                "storeRevision": self.revision,
            }
        elif url.path == "/-/kv-watch":
            after_revision = int(query["after"])
            end_s = time.monotonic() + int(query["waitMs"]) / 1_000
            while not (events := self._since(query.get("prefix", ""), after_revision)):
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
            document = {"events": events, "storeRevision": self.revision}
        else:
            return answer(404, {})
        body = json.dumps(document).encode()
        return answer(200, {"Content-Type": "application/json"}, body)

    def _since(self, prefix: str, after: int) -> list[dict[str, Any]]:
        keys = [
            key
            for key, (revision, _) in self._items.items()
            if revision > after and key.startswith(prefix)
        ]
        return [self._entry(key) for key in sorted(keys, key=lambda key: self._items[key][0])]

    def _entry(self, key: str) -> dict[str, Any]:
        revision, value = self._items[key]
        if value is None:
            return {"key": key, "revision": revision, "tombstone": True}
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "created": revision, "lease": 7}


class Exchange:
    """One request at a worker, and the connection on which its answer goes."""

    def __init__(self, worker: Worker, request: Message, writer: asyncio.StreamWriter) -> None:
        self.worker = worker
        self.request = request
        self.writer = writer

    async def send(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Sends an answer."""
        headers = {"Request-Id": self.request.request_id, **headers}
        if status < 400:
            headers.setdefault("Server-Seal", f"seal-{self.request.request_id}")
        self.writer.write(answer(status, headers, body))
        await self.writer.drain()


Handler = Callable[[Exchange], Awaitable[None]]


class Worker:
    """A worker: registers itself, sends heartbeats, and serves one request at a time a connection.

    `handle` answers a request; it may call `crash`, which resets all connections, and starts the
    worker again as a new incarnation after `crash_s`.
    """

    def __init__(
        self, store: Store, addresses: Addresses, service: str, zone: str, handle: Handler
    ) -> None:
        self._store = store
        self.service = service
        self.zone = zone
        self.ip = addresses.ip()
        self.port = addresses.port([self.ip])
        self.slots = 8
        self.crash_s = 2.0
        self.target_id = ""
        self.fields: dict[str, Any] = {"state": "ready", "coldRemainingMs": 0}
        self._handle = handle
        self._sequence = 0
        self._born_ms = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_up(self) -> bool:
        """Returns whether the worker runs."""
        return self._server is not None

    def spawn(self, work: Any) -> None:
        """Runs a task that ends with the case."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def start(self) -> None:
        """Starts a new incarnation."""
        self.target_id = f"i-{secrets.token_hex(5)}"
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.spawn(self._beat(self.target_id))

    def write_entry(self) -> None:
        """Writes the entry of this incarnation to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "sequence": self._sequence,
            "born": self._born_ms,
            **self.fields,
        }
        self._store.put(f"servers/{self.target_id}", entry)

    async def _beat(self, target_id: str) -> None:
        while self.target_id == target_id and self.is_up:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self) -> None:
        """Ends this incarnation at once; its entry lapses after three heartbeats."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self.spawn(self._lapse(self.target_id))
        self.spawn(self._restart())

    async def _lapse(self, target_id: str) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self._store.delete(f"servers/{target_id}")

    async def _restart(self) -> None:
        await asyncio.sleep(self.crash_s)
        await self.start()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                exchange = Exchange(self, request, writer)
                if request.headers.get("expect-instance", self.target_id) != self.target_id:
                    await exchange.send(421, {"Instance-Id": self.target_id})
                    continue
                await self._handle(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class EntryHost:
    """One machine: a process of the deploy file with a settings file of its own."""

    def __init__(self, fleet: Fleet, index: int, ip: str, zone: str) -> None:
        self.name = f"front-{zone}-{index}"
        self.ip = ip
        self.zone = zone
        self._fleet = fleet
        self._process: subprocess.Popen[bytes] | None = None
        self.log_path = fleet.folder / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        fleet = self._fleet
        path = fleet.folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SESAMEHOLD_NODE_FILE": str(path),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "src/entry_host.py"],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def exit_status(self) -> int | None:
        """Returns the exit status, None while the process runs."""
        return None if self._process is None else self._process.poll()

    async def wait_end(self, timeout_s: float) -> None:
        """Waits until the process has ended; kills it after a time."""
        end_s = time.monotonic() + timeout_s
        while self.exit_status() is None and self._process is not None:
            if time.monotonic() > end_s:
                self._process.kill()
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        """Asks the process whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self._fleet.readiness_port)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            reply = await read_message(reader)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return reply.status == 200

    def resident_mb(self) -> float:
        """Returns the resident memory of the process, 0 if it does not run."""
        if self._process is None or self._process.poll() is not None:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text(encoding="ascii")
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _settings(self) -> str:
        fleet = self._fleet
        seeds = [f"{host.ip}:{fleet.control_port}" for host in fleet.hosts[:3]]
        zones = "\n".join(f'{zone} = "region-1"' for zone in fleet.zones)
        bounds = "\n".join(f"{name} = {json.dumps(value)}" for name, value in BOUNDS.items())
        first = fleet.internal_port
        return f"""
nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "{self.ip}"
zone = "{self.zone}"
region = "region-1"
internalPorts = [{first}, {first + 15}]
seeds = {json.dumps(seeds)}
bootstrap = true
toleranceCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
[zones]
{zones}
[listen]
front = "{self.ip}:{fleet.front_port}"
readiness = "{self.ip}:{fleet.readiness_port}"
control = "{self.ip}:{fleet.control_port}"
[limits]
processorShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{fleet.store.address}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
expiryMinimumMs = 1000
"""


# Bounds of the deployment quaytab-hub, from its sheet in SYSTEM.md.
BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "acknowledgeMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configurationMs": 2000,
    "downgradeMs": 250,
    "outerBoundMs": 5000,
    "strictRevocation": False,
    "revocationMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraAttempts": 56,
    "coldOvershoot": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "reuseWindowS": 6.7,
}


class Fleet:
    """Entry hosts, workers and the store of one case."""

    def __init__(self, record: Record, zone_counts: dict[str, int]) -> None:
        self.record = record
        self.addresses = Addresses()
        self.zones = list(zone_counts)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.store = Store(self.addresses)
        self.workers: list[Worker] = []
        ips = [(self.addresses.ip(), zone) for zone, n in zone_counts.items() for _ in range(n)]
        all_ips = [ip for ip, _ in ips]
        self.front_port = self.addresses.port(all_ips)
        self.readiness_port = self.addresses.port(all_ips)
        self.control_port = self.addresses.port(all_ips)
        self.internal_port = self.addresses.port(all_ips)
        self.hosts: list[EntryHost] = []
        for index, (ip, zone) in enumerate(ips):
            self.hosts.append(EntryHost(self, index, ip, zone))

    def add_worker(self, service: str, zone: str, handle: Handler) -> Worker:
        """Adds a worker; it starts with the fleet."""
        worker = Worker(self.store, self.addresses, service, zone, handle)
        self.workers.append(worker)
        return worker

    async def start(self, configuration: dict[str, Any]) -> None:
        """Starts everything, and waits until all hosts are ready and know each other."""
        self.store.put("op/config", configuration)
        await self.store.start()
        for worker in self.workers:
            await worker.start()
        for host in self.hosts:
            host.start()
        await self.wait_ready(30.0)
        # Hosts that start together know each other after a few heartbeats of 0.1 s.
        await asyncio.sleep(2.5)

    async def wait_ready(self, timeout_s: float) -> None:
        """Waits until all hosts are ready."""
        end_s = time.monotonic() + timeout_s
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > end_s:
                    raise CaseError(f"{host.name} is not ready: {self.log_tail(host)}")
                await asyncio.sleep(0.05)

    @staticmethod
    def log_tail(host: EntryHost) -> str:
        """Returns the end of the output of a process."""
        return host.log_path.read_bytes()[-500:].decode("utf-8", "replace")

    async def stop(self) -> None:
        """Ends all processes that the case started, by their ids."""
        for host in self.hosts:
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            await host.wait_end(5.0)
        self._temporary.cleanup()


def route(name: str, service: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "aimMs": 400,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        **fields,
    }


def configuration(routes: list[dict[str, Any]], **fields: Any) -> dict[str, Any]:
    """Returns a configuration with the services of its routes."""
    names = sorted({item["service"] for item in routes})
    services = [
        {
            "name": name,
            "healthPath": "/health",
            "connectionLimit": 500,
            "protocol": "h1",
            "tls": False,
            "coldS": 0.0,
            "coldPerS": 0.0,
        }
        for name in names
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000},
        "tenants": [{"name": TENANT, "keys": [KEY], "priority": 1}],
        **fields,
    }


def request_bytes(
    method: str, path: str, request_id: str, body: bytes = b"", **headers: str
) -> bytes:
    """Encodes a request of a client; names of further headers have underscores for dashes."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Authorization: Bearer {KEY}",
    ]
    fields = {"Deadline_Remaining": "3000", **headers}
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(host: EntryHost, port: int, request: bytes, timeout_s: float = 5.0) -> Message | None:
    """Sends a request on a new connection; returns None if no complete answer comes."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host.ip, port)
            writer.write(request)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


def new_id() -> str:
    """Returns a request id."""
    return secrets.token_hex(8)


def is_troubled() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: str, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(pathlib.Path(folder).resolve().parent)

    async def run() -> bool:
        async with asyncio.timeout(115):
            return await play(record)

    status = EXIT_NOT_RUN
    try:
        status = EXIT_BROKEN if asyncio.run(run()) else EXIT_HELD
    except Exception as error:  # noqa: BLE001
        # An exit status of 1 would say that the rule was broken.
        record.write(f"could not run: {type(error).__name__}: {error}")
    record.write(f"exit {status}")
    record.close()
    print(f"exit {status}; see record.txt")
    sys.exit(status)
