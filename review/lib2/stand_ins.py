"""Stand-ins for the platform's store, workers and clients, and entry hosts as real processes.

They use the standard library alone, so nothing has to be built for them.
"""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).parents[2]
FRONT_PORT, READINESS_PORT, CONTROL_PORT, PEER_PORT = 8625, 8621, 8628, 7740
START_S = time.monotonic()
# One loopback network for each run, so that runs beside each other do not meet.
NETWORK = f"127.{20 + os.getpid() % 200}"


def now() -> float:
    """Returns the seconds since the start of the script."""
    return time.monotonic() - START_S


def ip(number: int) -> str:
    """Returns the loopback address with a number."""
    return f"{NETWORK}.{number // 200}.{1 + number % 200}"


def free_port(address: str) -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


class Record:
    """Lines of `record.txt`: what was sent, answered and run."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")

    def write(self, what: str, **fields: Any) -> None:
        """Writes one line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{now():8.3f} {what} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self.file.close()


# ---- HTTP ----------------------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Reads the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_request_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Reads the body of a request."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def _in_chunks(body: bytes, chunk_bytes: int) -> bytes:
    parts = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"


class Answer:
    """An answer as its client saw it."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.whole = False
        self.sent_s = 0.0
        self.ended_s = 0.0


class Connection:
    """Connection of a client to an entry host."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connects."""
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(self.address, FRONT_PORT)

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = self.reader = None

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        limit_s: float,
        *,
        chunk_bytes: int = 0,
    ) -> Answer:
        """Sends one request and reads its answer; sends the body in chunks of a size, if given."""
        answer = Answer()
        lines = [f"{method} {path} HTTP/1.1", *(f"{key}: {v}" for key, v in headers.items())]
        if chunk_bytes:
            lines.append("Transfer-Encoding: chunked")
            body = _in_chunks(body, chunk_bytes)
        elif body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        answer.sent_s = now()
        try:
            async with asyncio.timeout(limit_s):
                if self.writer is None:
                    await self.open()
                assert self.writer is not None
                assert self.reader is not None
                self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                await self.read_answer(self.reader, answer)
        except (OSError, EOFError, TimeoutError, ValueError, asyncio.LimitOverrunError):
            self.close()
        answer.ended_s = now()
        if not answer.whole or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read_answer(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        """Reads one answer."""
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readline()
        elif "content-length" in answer.headers:
            left = int(answer.headers["content-length"])
            while left:
                data = await reader.read(left)
                if not data:
                    return
                answer.body += data
                left -= len(data)
        else:
            answer.body = await reader.read()
        answer.whole = True


# ---- the platform's store ------------------------------------------------------------------------


class Store:
    """Readable store: range reads and watches over HTTP."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.items: dict[str, tuple[int, bytes | None]] = {}
        self.revision = 10
        self.changed = asyncio.Event()
        self.address = ""
        self._writers: dict[str, set[asyncio.StreamWriter]] = {}

    async def start(self, host: str) -> asyncio.Server:
        """Listens on an address, beside those on which it listens already."""
        port = free_port(host)
        self.address = f"{host}:{port}"
        return await asyncio.start_server(self._serve, host, port)

    def close_connections(self, host: str) -> None:
        """Closes the connections to one of the addresses."""
        for writer in self._writers.pop(host, set()):
            writer.close()

    def put(self, key: str, value: Any) -> None:
        """Writes an item."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._set(key, data)

    def delete(self, key: str) -> None:
        """Removes an item."""
        self._set(key, None)

    def _set(self, key: str, data: bytes | None) -> None:
        self.revision += 1
        self.items[key] = (self.revision, data)
        self.record.write("store", key=key, revision=self.revision, deleted=data is None)
        self.changed.set()
        self.changed = asyncio.Event()

    def _entry(self, key: str) -> dict[str, Any]:
        revision, data = self.items[key]
        if data is None:
            return {"key": key, "revision": revision, "tombstone": True}
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "created": revision, "lease": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = writer.get_extra_info("sockname")[0]
        self._writers.setdefault(host, set()).add(writer)
        try:
            while True:
                first, _ = await read_head(reader)
                url = parse.urlsplit(first.split(" ")[1])
                query = dict(parse.parse_qsl(url.query, keep_blank_values=True))
                await self._answer(url.path, query, writer)
        except (OSError, EOFError):
            writer.close()
        finally:
            self._writers.get(host, set()).discard(writer)

    async def _answer(self, path: str, query: dict[str, str], writer: Any) -> None:
        prefix = query.get("prefix", "")
        document: dict[str, Any]
        if path == "/-/kv-range":
            entries = [
                self._entry(key)
                for key, (_, data) in sorted(self.items.items())
                if data is not None and key.startswith(prefix) and key > query.get("after", "")
            ]
            document = {"items": entries[:500], "truncated": len(entries) > 500}
        else:
            after = int(query["after"])
            try:
                async with asyncio.timeout(int(query["waitMs"]) / 1_000):
                    while not self._events(prefix, after):
                        await self.changed.wait()
            except TimeoutError:
                pass
            document = {"events": self._events(prefix, after)}
        document["storeRevision"] = self.revision
        body = json.dumps(document).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
        writer.write(head.encode() + b"\r\n\r\n" + body)
        await writer.drain()

    def _events(self, prefix: str, after: int) -> list[dict[str, Any]]:
        changed = sorted(
            (revision, key) for key, (revision, _) in self.items.items() if revision > after
        )
        return [self._entry(key) for _, key in changed if key.startswith(prefix)]


# ---- workers -------------------------------------------------------------------------------------

Handler = Callable[["Worker", str, dict[str, str], bytes, asyncio.StreamWriter], Awaitable[bool]]


class Worker:
    """A worker; its handler answers each request and returns whether the connection stays."""

    def __init__(
        self, store: Store, service: str, name: str, address: str, zone: str, handler: Handler
    ) -> None:
        self.store = store
        self.service = service
        self.name = name
        self.ip = address
        self.zone = zone
        self.handler = handler
        self.port = 0
        self.life = 0
        self.worker_id = ""
        self.sequence = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task[None] | None = None

    async def start(self, *, worker_id: str | None = None) -> None:
        """Starts a new incarnation."""
        self.life += 1
        self.worker_id = worker_id or f"i-{self.name}-{self.life}"
        self.born_ms = int(time.time() * 1_000)
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.beats = asyncio.create_task(self._beat(self.worker_id))

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Returns what the worker writes about itself."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": 1,
            "slots": 128,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }

    async def _beat(self, worker_id: str) -> None:
        # Only changes are written; the counter alone is none.
        self.store.put(f"servers/{worker_id}", self.entry())

    def crash(self) -> None:
        """Ends the process: resets all connections and accepts no more."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.writers.clear()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_request_body(reader, headers)
                expected = headers.get("expect-instance")
                if expected is not None and expected != self.worker_id:
                    lines = "HTTP/1.1 421 X\r\nNot-Run: 1\r\nContent-Length: 0"
                    writer.write(
                        f"{lines}\r\nRequest-Id: {headers.get('request-id', '')}\r\n\r\n".encode()
                    )
                    continue
                work = asyncio.ensure_future(self.handler(self, first, headers, body, writer))
                closed = asyncio.ensure_future(_wait_for_close(reader))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                closed.cancel()
                if not work.done():
                    work.cancel()
                    return
                if not work.result():
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def _wait_for_close(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


# ---- entry hosts ---------------------------------------------------------------------------------

BOUNDS = """
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
downgradeMs = 250
outerBoundMs = 5000
strictRevocation = false
revocationMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetExtraAttempts = 56
coldOvershoot = 1.5
coldSlack = 5
evacuationMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 6.7
"""


class Host:
    """An entry host: the program of the deploy file with its own loopback address."""

    def __init__(
        self, index: int, zone: str, store_address: str, seeds: list[str], folder: pathlib.Path
    ) -> None:
        self.index = index
        self.ip = ip(index)
        self.zone = zone
        self.store_address = store_address
        self.seeds = seeds
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> str:
        """Returns the settings file."""
        seeds = ", ".join(f'"{address}:{CONTROL_PORT}"' for address in self.seeds)
        return f"""
nodeName = "front-{self.index}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ipAddress = "{self.ip}"
zone = "{self.zone}"
region = "r1"
internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
[zones]
z1 = "r1"
z2 = "r1"
[listen]
front = "{self.ip}:{FRONT_PORT}"
readiness = "{self.ip}:{READINESS_PORT}"
control = "{self.ip}:{CONTROL_PORT}"
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
{BOUNDS}
[platform]
address = "{self.store_address}"
form = "read"
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""

    @property
    def settings_path(self) -> pathlib.Path:
        """Returns the path of the settings file."""
        return self.folder / f"host-{self.index}.toml"

    def change_store(self, address: str) -> None:
        """Changes the settings file; the process is not told."""
        self.store_address = address
        self.settings_path.write_text(self.settings(), encoding="utf-8")

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        path = self.settings_path
        path.write_text(self.settings(), encoding="utf-8")
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SESAMEHOLD_NODE_FILE"] = str(path)
        with (self.folder / f"host-{self.index}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "src/entry_host.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def is_ready(self) -> bool:
        """Returns whether the readiness check gets a 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READINESS_PORT)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Waits until the host is ready."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()


def request_id() -> str:
    """Returns a new request id."""
    return f"{random.getrandbits(64):016x}"


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Returns a folder for settings and logs."""
    return tempfile.TemporaryDirectory(prefix="sesamehold-review-")


# ---- a path that can be cut ----------------------------------------------------------------------


class Path:
    """Way of one machine to the store; while it is cut, nothing passes in either direction.

    Connections that were open when it was cut stay silent for good, and so do those that are opened
    meanwhile: what was sent then is lost.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.address = ""
        self.target = ""
        self.is_cut = False
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, target: str) -> None:
        """Listens on an address and forwards to the target."""
        port = free_port(host)
        self.address = f"{host}:{port}"
        self.target = target
        await asyncio.start_server(self._serve, host, port)

    def cut(self) -> None:
        """Cuts the path."""
        self.is_cut = True
        self.number += 1
        self.record.write("cut")

    def heal(self) -> None:
        """Lets new connections pass again."""
        self.is_cut = False
        self.record.write("healed")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self.number
        if self.is_cut:
            # Opened during the cut: as if its first packet was lost.
            await reader.read()
            writer.close()
            return
        ip_text, _, port = self.target.rpartition(":")
        back_reader, back_writer = await asyncio.open_connection(ip_text, int(port))
        tasks = [
            asyncio.ensure_future(self._pump(reader, back_writer, number)),
            asyncio.ensure_future(self._pump(back_reader, writer, number)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        writer.close()
        back_writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if number == self.number:
                    writer.write(data)
        except OSError:
            return


# ---- parts of a configuration --------------------------------------------------------------------


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Returns a route with the prefix `/NAME/`."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3_000,
        "aimMs": 400,
        "priority": 1,
        "attempts": 1,
        **fields,
    }


def configuration(
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    key: str,
    version: int = 3,
) -> dict[str, Any]:
    """Returns a configuration with one tenant."""
    limits = {"headerBytes": 16_384, "bodyBytes": 4_194_304, "headerMs": 3_000, "idleMs": 15_000}
    tenants = [{"name": "tenant-1", "keys": [key], "priority": 1}]
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
        "tenants": tenants,
    }


class Tasks:
    """Tasks that run until they end by themselves."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait(self) -> None:
        """Waits until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)


# ---- start of a case -----------------------------------------------------------------------------


def main(folder: pathlib.Path, case: Callable[[Record], Any]) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.

    The logs of the hosts stay if the variable KEEP_LOGS names a folder.
    """

    async def run() -> int:
        record = Record(folder / "record.txt")
        with temporary_folder() as temporary:
            try:
                kept = os.environ.get("KEEP_LOGS")
                return int(await case(record).run(pathlib.Path(kept or temporary)))
            finally:
                record.close()

    try:
        code = asyncio.run(run())
    except Exception as error:  # noqa: BLE001
        print(f"could not run: {error!r}")
        code = 2
    sys.exit(code)
