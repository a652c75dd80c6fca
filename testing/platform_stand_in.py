"""Fakes of the platform's store and workers, and a gateway on loopback that uses them."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import random
import socket
from typing import Any

from aiohttp import web
from expression import Ok
import uvloop

from sesamehold.platform import headers
from sesamehold.platform import stage_calls
from sesamehold.platform import store
from sesamehold.process import listening
from sesamehold.process.gateway import daemon
from sesamehold.process.gateway import decision_log
from sesamehold.process.gateway import settings as gateway_settings

HOST = "127.0.0.1"
KEY = "key-1"
STAGE_POOL = {
    "slots": 1,
    "queue": 2,
    "batch": 4,
    "callMs": 5.0,
    "itemMs": 1.0,
    "roomMb": 1.0,
    "handleS": 4.0,
}


# Below the ephemeral ports, which outgoing connections may take between this check and the bind.
PORTS = range(12_000, 32_000)


_untaken_ports: list[int] = []


LARGEST_HEAD_BYTES = 2 * 1_048_576


def free_port() -> int:
    """Returns a port that is free now and that this process was not given before."""
    while True:
        if not _untaken_ports:
            _untaken_ports.extend(random.sample(PORTS, len(PORTS)))
        port = _untaken_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port


StoreCopy = tuple[int, dict[str, tuple[int, bytes | None]]]


class StoreStandIn:
    """Fake key-value store with range reads and watches.

    While `failing` is set, every call is answered with that status. `restore` lets the store return
    from an older copy, which loses all changes since the copy and gives their revisions out again.
    An entry in `raw_entries` replaces the JSON text of its key in answers.
    """

    def __init__(self) -> None:
        self.items: dict[str, tuple[int, bytes | None]] = {}
        self.raw_entries: dict[str, str] = {}
        self.revision = 1
        self.era = 1
        self.failing: int | None = None
        self.compacted_below = 0
        self.page_size = 500
        self.changed = asyncio.Event()
        self.calls: list[str] = []
        self.address = f"{HOST}:{free_port()}"

    def put(self, key: str, value: Any) -> None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._set(key, data)

    def put_raw(self, key: str, text: str) -> None:
        """Stores an entry that is sent as this JSON text, which may be anything."""
        self.raw_entries[key] = text
        self._set(key, b"")

    def delete(self, key: str) -> None:
        self._set(key, None)

    def copy(self) -> StoreCopy:
        return self.revision, dict(self.items)

    def restore(self, copy: StoreCopy) -> None:
        self.era += 1
        self.revision, items = copy
        self.items = dict(items)
        self._wake_watches()

    def _set(self, key: str, data: bytes | None) -> None:
        self.revision += 1
        self.items[key] = (self.revision, data)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self) -> web.AppRunner:
        app = web.Application()
        app.router.add_get("/-/kv-range", self._range)
        app.router.add_get("/-/kv-watch", self._watch)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        address = listening.Address.parse(self.address)
        await web.TCPSite(runner, address.ip, address.port).start()
        return runner

    def _entry(self, key: str) -> Any:
        if key in self.raw_entries:
            return f"raw {key}"
        revision, data = self.items[key]
        if data is None:
            return {"key": key, "revision": revision, "tombstone": True}
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "revision": revision, "created": 1, "lease": 0}

    async def _range(self, request: web.Request) -> web.Response:
        self.calls.append("range")
        if self.failing is not None:
            return self._status(self.failing)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(
            key
            for key, (_, data) in self.items.items()
            if key.startswith(prefix) and key > after and data is not None
        )
        page = [self._entry(key) for key in keys[: self.page_size]]
        return self._document(
            {
                "items": page,
                "truncated": len(keys) > self.page_size,
                "storeRevision": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        self.calls.append("watch")
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["waitMs"]) / 1_000
        era = self.era
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.failing is None and not self._has_answer(prefix, after, era):
                    await self.changed.wait()
        if self.failing is not None or self.era != era:
            return self._status(self.failing or 503)
        if after < self.compacted_below or after > self.revision:
            return self._status(410)
        return self._document(
            {"events": self._events(prefix, after), "storeRevision": self.revision}
        )

    def _has_answer(self, prefix: str, after: int, era: int) -> bool:
        return self.era != era or after > self.revision or bool(self._events(prefix, after))

    def _status(self, status: int) -> web.Response:
        return web.Response(status=status, headers=self._headers())

    def _document(self, document: dict[str, Any]) -> web.Response:
        text = json.dumps(document)
        for key, raw in self.raw_entries.items():
            text = text.replace(json.dumps(f"raw {key}"), raw)
        return web.Response(text=text, content_type="application/json", headers=self._headers())

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    def _events(self, prefix: str, after: int) -> list[Any]:
        return [
            self._entry(key)
            for key, (revision, _) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]


Script = Callable[["Exchange"], Awaitable[None]]


class Exchange:
    """One request received by a scripted worker, with methods to answer it."""

    def __init__(self, head: bytes, body: bytes, writer: asyncio.StreamWriter, count: int) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.method, self.target, _ = lines[0].split(" ")
        self.headers = {
            name.lower(): value for name, _, value in (line.partition(": ") for line in lines[1:])
        }
        self.body = body
        self.writer = writer
        self.count = count

    @property
    def request_id(self) -> str:
        return self.headers.get("request-id", "")

    def send(self, status: int, body: bytes = b"", **extra: str) -> None:
        """Writes a response with `Content-Length`; `_` in header names becomes `-`."""
        fields = {"Request-Id": self.request_id, "Server-Seal": "seal"}
        fields |= {name.replace("_", "-"): value for name, value in extra.items()}
        fields["Content-Length"] = str(len(body))
        self.write_head(status, fields)
        self.writer.write(body)

    def write_head(self, status: int, fields: dict[str, str]) -> None:
        lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items() if v)]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    def reset(self) -> None:
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.writer.transport.abort()


def stage_results(exchange: Exchange) -> bytes:
    """Returns the body of the answer to a stage call, with a handle that names each piece."""
    items = json.loads(exchange.body)["items"]
    made = [
        {"handle": f"127.0.0.1:1/{item['id']}-{item['stage']}-{item['piece']}"} for item in items
    ]
    return json.dumps({"items": made}).encode()


class WorkerStandIn:
    """Fake worker that answers each request by a script, over persistent connections."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.exchanges: list[Exchange] = []
        self.connection_count = 0
        self.early_disconnect_count = 0
        self.server: asyncio.Server | None = None
        self.port = free_port()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> asyncio.Server:
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=LARGEST_HEAD_BYTES
        )
        return self.server

    def stop(self) -> None:
        """Refuses new connections from now on."""
        assert self.server is not None
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).removesuffix(b"\r\n\r\n")
                lower = head.lower()
                length = 0
                if b"content-length: " in lower:
                    length = int(lower.split(b"content-length: ")[1].split(b"\r\n")[0])
                body = await reader.readexactly(length)
                exchange = Exchange(head, body, writer, len(self.exchanges))
                self.exchanges.append(exchange)
                answer = asyncio.ensure_future(self.script(exchange))
                disconnected = asyncio.ensure_future(_wait_for_eof(reader))
                await asyncio.wait({answer, disconnected}, return_when=asyncio.FIRST_COMPLETED)
                if not answer.done():
                    self.early_disconnect_count += 1
                    answer.cancel()
                    return
                disconnected.cancel()
                await asyncio.gather(disconnected, return_exceptions=True)
                answer.result()
                if writer.is_closing():
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


async def _wait_for_eof(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)


def route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Returns a route with the prefix `/NAME/` to the service of the same name."""
    return {
        "name": name,
        "host": "h.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3_000,
        "aimMs": 400,
        "priority": 1,
        "service": name,
        "attempts": 2,
        **changes,
    }


class GatewayEnvironment:
    """A fake store, fake workers and one gateway that is connected to them."""

    def __init__(self) -> None:
        self.store = StoreStandIn()
        self.workers: dict[str, WorkerStandIn] = {}
        self.routes: list[dict[str, Any]] = []
        self.services: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.ingress = listening.Address(HOST, free_port())
        self.readiness = listening.Address(HOST, free_port())
        self.metrics = listening.Address(HOST, free_port())
        self.gateway: daemon.GatewayDaemon | None = None
        self._stack = contextlib.AsyncExitStack()
        self.gateway_task: asyncio.Task[None] | None = None

    def add_worker(
        self, target_id: str, service: str, script: Script, **fields: Any
    ) -> WorkerStandIn:
        worker = self.workers[target_id] = WorkerStandIn(script)
        self.services.setdefault(service, {"name": service})
        self.register(target_id, service, **fields)
        return worker

    def register(self, target_id: str, service: str, **fields: Any) -> None:
        entry = {
            "service": service,
            "address": self.workers[target_id].address,
            "zone": "z1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
            **fields,
        }
        self.store.put(f"servers/{target_id}", entry)

    def publish(self, **changes: Any) -> None:
        self.version += 1
        self.store.put(
            "op/config",
            {
                "version": self.version,
                "routes": self.routes,
                "services": list(self.services.values()),
                "limits": {"bodyBytes": 100_000, "idleMs": 2_000},
                "tenants": [{"name": "bozi", "keys": [KEY], "priority": 1}],
                **changes,
            },
        )

    async def __aenter__(self) -> GatewayEnvironment:
        runner = await self.store.start()
        self._stack.push_async_callback(runner.cleanup)
        for worker in self.workers.values():
            server = await worker.start()
            self._stack.callback(server.close)
        return self

    async def __aexit__(self, *error: object) -> None:
        if self.gateway is not None and self.gateway_task is not None:
            self.gateway._stopped.set()
            await asyncio.gather(self.gateway_task, return_exceptions=True)
        await self._stack.aclose()

    async def start_gateway(
        self,
        *,
        ready: bool = True,
        bounds: gateway_settings.FleetBounds = gateway_settings.FleetBounds(),  # noqa: B008
    ) -> daemon.GatewayDaemon:
        config = gateway_settings.GatewaySettings(
            host_id="host-1",
            zone="z1",
            ingress_address=self.ingress,
            readiness_address=self.readiness,
            peer_address=listening.Address(HOST, free_port()),
            metrics_address=self.metrics,
            store_address=listening.Address.parse(self.store.address),
            bounds=bounds,
        )
        platform_store = store.PlatformStore.from_config(config.store_address)
        adapter = daemon.Adapter(
            source=platform_store,
            requests=headers.PlatformHeaders(),
            stages=stage_calls.PlatformStageCalls(),
            reload=lambda: Ok(config),
            close=platform_store.close,
        )
        output = decision_log.BoundedOutput()
        self.gateway = daemon.GatewayDaemon.from_config(config, adapter, output)
        self.gateway_task = asyncio.create_task(self.gateway.run())
        while not self.gateway._listeners or (ready and not self.gateway.state.is_ready()):
            if self.gateway_task.done():
                # Raises the error that ended it, such as an address that is in use.
                await self.gateway_task
            await asyncio.sleep(0.01)
        # As if it had run for long: a process that has just started hardly retries.
        self.gateway.state.retry_budget.started_ms -= bounds.retry_window_ms
        return self.gateway

    async def exit_gateway(self) -> None:
        """Waits until the gateway has stopped, and cuts what is open as the end of a process does.

        Bytes in the write buffers of the process are lost, those in the kernel are not.
        """
        assert self.gateway is not None
        assert self.gateway_task is not None
        await self.gateway_task
        for listener in self.gateway._listeners:
            server = listener._runner.server
            assert server is not None
            for transport in list(server._connections.values()):
                transport.abort()

    async def send(self, data: bytes, *, address: listening.Address | None = None) -> bytes:
        """Sends bytes on a new connection and returns everything received until it is closed."""
        target = address or self.ingress
        reader, writer = await asyncio.open_connection(target.ip, target.port)
        writer.write(data)
        try:
            return await reader.read(-1)
        except ConnectionError:
            return b"reset"
        finally:
            writer.close()


def request(
    target: str,
    request_id: str = "9c41",
    *,
    method: str = "POST",
    key: str | None = KEY,
    body: bytes = b"body",
    **extra: str,
) -> bytes:
    """Returns request bytes with `Connection: close`."""
    fields = {
        "Host": "h.example",
        "Request-Id": request_id,
        "Deadline-Remaining": "2000",
        "Connection": "close",
    }
    if key is not None:
        fields["Authorization"] = f"Bearer {key}"
    if body:
        fields["Content-Length"] = str(len(body))
    fields |= {name.replace("_", "-"): value for name, value in extra.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Runs a test on uvloop, the event loop used in production."""
    uvloop.run(main())  # type: ignore[arg-type]
