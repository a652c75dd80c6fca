"""Tests that no request that a gateway has received ends without an answer at a planned stop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import platform_stand_in as stand_in
from platform_stand_in import Exchange
from platform_stand_in import Script
import pytest

from sesamehold.process.gateway import daemon
from sesamehold.process.gateway import settings

BALANCER_REMOVAL_MS = 200
BOUNDS = settings.FleetBounds(grace_ms=30_000)
# For requests that are open at the end of the grace.
SHORT = settings.FleetBounds(grace_ms=2_500)
BODY = b"x" * 4_000


@pytest.fixture(autouse=True)
def short_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(daemon, "BALANCER_REMOVAL_MS", BALANCER_REMOVAL_MS)


class Caller:
    """One connection to the gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def connect(
        cls, site: stand_in.GatewayEnvironment, receive_buffer_bytes: int | None = None
    ) -> Caller:
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer_bytes is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (site.ingress.ip, site.ingress.port))
        return cls(*await asyncio.open_connection(sock=sock, limit=4_096))

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def read_answer(self) -> bytes:
        """Returns the head and body of an answer with a length."""
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        return head + await self._reader.readexactly(length)

    async def read_some(self) -> bytes:
        return await self._reader.read(4_096)

    async def read_rest(self) -> bytes:
        """Returns all bytes until the end of the connection."""
        data = b""
        try:
            while chunk := await self._reader.read(65_536):
                data += chunk
        except ConnectionError:
            pass
        return data

    def close(self) -> None:
        self._writer.close()


def _keep(request_id: str = "9c41", body: bytes = BODY, **extra: str) -> bytes:
    """Returns a request on a connection that is kept."""
    fields = {"Deadline_Remaining": "9000", **extra}
    data = stand_in.request("/svc/x", request_id, body=body, **fields)
    return data.replace(b"Connection: close\r\n", b"")


def _chunked() -> bytes:
    head = _keep(body=b"").removesuffix(b"\r\n")
    chunk = b"%x\r\n%s\r\n" % (len(BODY) // 2, BODY[: len(BODY) // 2])
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + 2 * chunk + b"0\r\n\r\n"


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


async def _ok(exchange: Exchange) -> None:
    exchange.send(200, b"answer")


async def _silent(exchange: Exchange) -> None:
    await asyncio.sleep(30)


async def _begun_stream(exchange: Exchange) -> None:
    fields = {"Request-Id": exchange.request_id, "Server-Seal": "seal"}
    exchange.write_head(200, fields | {"Transfer-Encoding": "chunked"})
    exchange.writer.write(b"11\r\nid: 1\ndata: e1\n\n\n\r\n".replace(b"11", b"12"))
    await exchange.writer.drain()
    await asyncio.sleep(30)


def _site(
    script: Script, kind: str = "non_idempotent", **route: object
) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, timeoutMs=10_000, **route)]
    site.add_worker("i-0", "svc", script)
    site.publish()
    return site


def _unwritten_bytes(gateway: daemon.GatewayDaemon) -> int:
    server = gateway._listeners[1]._runner.server
    assert server is not None
    return sum(item.get_write_buffer_size() for item in server._connections.values())


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize(
    ("data", "sent_bytes"),
    [
        pytest.param(_keep(), 20, id="in-its-head"),
        pytest.param(_keep(), len(_keep()) - len(BODY), id="before-its-body"),
        pytest.param(_keep(), len(_keep()) - 10, id="in-its-body"),
        pytest.param(_chunked(), len(_chunked()) - 100, id="in-a-chunked-body"),
    ],
)
@pytest.mark.parametrize("kept", [False, True], ids=["first-request", "kept-connection"])
@pytest.mark.parametrize("others", [False, True], ids=["alone", "beside-a-running-request"])
def test_request_that_is_being_received_when_idle_connections_are_closed_gets_an_answer(
    data: bytes, sent_bytes: int, *, kept: bool, others: bool
) -> None:
    """Guards against dropped bytes of a request, and an end of the process before its answer."""

    async def main() -> None:
        async def script(exchange: Exchange) -> None:
            if exchange.request_id == "running":
                await asyncio.sleep(1.0)
            exchange.send(200, b"answer")

        site = _site(script)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            caller = await Caller.connect(site)
            if kept:
                caller.write(_keep("first"))
                assert _status(await caller.read_answer()) == 200
            if others:
                running = asyncio.create_task(
                    site.send(stand_in.request("/svc/x", "running", Deadline_Remaining="9000"))
                )
                await _until(lambda: len(site.workers["i-0"].exchanges) > kept)
            caller.write(data[:sent_bytes])
            await asyncio.sleep(0.05)
            gateway.start_drain()
            await _until(lambda: gateway.state.closed)
            await asyncio.sleep(0.2)
            caller.write(data[sent_bytes:])
            exited = asyncio.create_task(site.exit_gateway())
            answer = await caller.read_rest()
            assert _status(answer) == 503
            assert b"Retry-After" in answer
            assert b"Connection: close" in answer
            if others:
                assert (await running).endswith(b"answer")
            await exited

    stand_in.run(main)


def test_requests_in_a_pipeline_are_all_answered_at_a_stop() -> None:
    """Guards against dropping requests that wait behind the current one of their connection."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(0.5)
            exchange.send(200, b"answer")

        site = _site(slow)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            caller = await Caller.connect(site)
            caller.write(_keep("r1") + _keep("r2") + _keep("r3"))
            await _until(lambda: bool(site.workers["i-0"].exchanges))
            gateway.start_drain()
            exited = asyncio.create_task(site.exit_gateway())
            answers = await caller.read_rest()
            heads = [line for line in answers.split(b"\r\n") if b"HTTP/1.1 " in line]
            assert [head.partition(b"HTTP/1.1 ")[2][:3] for head in heads] == [
                b"200",
                b"503",
                b"503",
            ]
            assert answers.count(b"Connection: close") == 1
            await exited

    stand_in.run(main)


def test_request_received_in_the_moment_of_closing_idle_connections_gets_an_answer() -> None:
    """Guards against taking a connection for idle whose request waits to be handled."""

    async def main() -> None:
        site = _site(_ok)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            caller = await Caller.connect(site)
            caller.write(_keep("first"))
            await caller.read_answer()
            listener = gateway._listeners[1]
            server = listener._runner.server
            assert server is not None
            (connection,) = server.connections
            caller.write(_keep("second"))
            async with asyncio.timeout(5):
                while not connection._messages:
                    await asyncio.sleep(0)
            listener.close_idle()
            assert _status(await caller.read_answer()) == 200

    stand_in.run(main)


def test_answer_in_the_write_buffer_is_delivered_before_the_process_ends() -> None:
    """Guards against a process that ends while a caller still reads its answer."""

    async def main() -> None:
        piece = b"y" * 32_768
        piece_count = 0

        async def large(exchange: Exchange) -> None:
            nonlocal piece_count
            fields = {"Request-Id": exchange.request_id, "Server-Seal": "seal"}
            exchange.write_head(200, fields | {"Transfer-Encoding": "chunked"})
            while not _unwritten_bytes(gateway):
                exchange.writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                piece_count += 1
                await exchange.writer.drain()
                await asyncio.sleep(0.001)
            exchange.writer.write(b"0\r\n\r\n")

        site = _site(large)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            caller = await Caller.connect(site, receive_buffer_bytes=4_096)
            caller.write(_keep())
            await _until(lambda: bool(gateway.state.open_requests))
            await _until(lambda: not gateway.state.open_requests)
            assert _unwritten_bytes(gateway)
            gateway.start_drain()
            exited = asyncio.create_task(site.exit_gateway())
            await asyncio.sleep(0.8)
            answer = await caller.read_rest()
            assert answer.count(b"y") >= piece_count * len(piece)
            assert answer.endswith(b"0\r\n\r\n")
            await exited

    stand_in.run(main)


async def _wait_for_target(site: stand_in.GatewayEnvironment) -> None:
    await _until(lambda: bool(site.workers["i-0"].exchanges))


async def _wait_for_stage(site: stand_in.GatewayEnvironment) -> None:
    await _until(lambda: bool(site.workers["i-1"].exchanges))


async def _wait_a_moment(site: stand_in.GatewayEnvironment) -> None:
    del site
    await asyncio.sleep(0.05)


@pytest.mark.parametrize(
    ("script", "kind", "data", "wait", "status"),
    [
        pytest.param(_silent, "non_idempotent", _keep(), _wait_for_target, 502, id="unsafe-sent"),
        pytest.param(_silent, "idempotent", _keep(), _wait_for_target, 502, id="safe-sent"),
        pytest.param(
            _silent,
            "non_idempotent",
            _keep(Pieces="1", Piece_Key="k"),
            _wait_for_stage,
            503,
            id="in-its-stages",
        ),
        pytest.param(
            _silent, "non_idempotent", _keep()[:-10], _wait_a_moment, 503, id="being-received"
        ),
        pytest.param(_begun_stream, "streaming", _keep(), _wait_for_target, 200, id="begun-stream"),
    ],
)
def test_request_that_is_open_at_the_end_of_the_grace_gets_a_true_answer(
    script: Script,
    kind: str,
    data: bytes,
    wait: Callable[[stand_in.GatewayEnvironment], Awaitable[None]],
    status: int,
) -> None:
    """Guards against closing a connection without an answer because the process has to end."""

    async def main() -> None:
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site = _site(script, kind, stages=stages if b"Pieces" in data else [])
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        site.add_worker("i-1", "st", _silent)
        site.publish()
        async with site:
            gateway = await site.start_gateway(bounds=SHORT)
            caller = await Caller.connect(site)
            caller.write(data)
            await wait(site)
            gateway.start_drain()
            async with asyncio.timeout(SHORT.grace_ms / 1_000):
                exited = asyncio.create_task(site.exit_gateway())
                answer = await caller.read_rest()
                await exited
            assert _status(answer) == status
            assert (b"Retry-After" in answer) == (status == 503)
            assert not answer.endswith(b"0\r\n\r\n")

    stand_in.run(main)


def test_requests_up_to_the_last_moment_of_a_stop_are_refused_truthfully() -> None:
    """Guards against late requests that get no answer, on new and on kept connections."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(1.2)
            exchange.send(200, b"answer")

        site = _site(slow)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            running = asyncio.create_task(
                site.send(stand_in.request("/svc/x", Deadline_Remaining="9000"))
            )
            await _wait_for_target(site)
            gateway.start_drain()
            await _until(lambda: gateway.state.closed)
            exited = asyncio.create_task(site.exit_gateway())
            answers = []
            while not exited.done():
                try:
                    caller = await Caller.connect(site)
                except ConnectionError:
                    break
                caller.write(_keep("late"))
                answers.append(await caller.read_rest())
                caller.close()
                await asyncio.sleep(0.002)
            await exited
            assert (await running).endswith(b"answer")
            assert len(answers) > 10
            assert {_status(answer) for answer in answers} == {503}
            assert len(site.workers["i-0"].exchanges) == 1

    stand_in.run(main)


@pytest.mark.parametrize(
    ("route_name", "status"),
    [pytest.param("slow", 503, id="too-slow"), pytest.param("quick", 200, id="quick-enough")],
)
def test_request_that_cannot_be_done_within_the_grace_is_refused_at_once(
    route_name: str, status: int
) -> None:
    """Guards against taking work after SIGTERM that the end of the process will cut."""

    async def main() -> None:
        async def script(exchange: Exchange) -> None:
            is_slow = exchange.target.startswith("/slow/")
            await asyncio.sleep(3.0 if is_slow else 0.0)
            exchange.send(200, b"answer")

        site = stand_in.GatewayEnvironment()
        site.routes = [
            stand_in.route(name, "non_idempotent", service="svc", timeoutMs=10_000)
            for name in ("slow", "quick")
        ]
        site.add_worker("i-0", "svc", script)
        site.publish()

        def data() -> bytes:
            return stand_in.request(f"/{route_name}/x", Deadline_Remaining="9000")

        async with site:
            gateway = await site.start_gateway(bounds=SHORT)
            earlier = await asyncio.gather(*(site.send(data()) for _ in range(8)))
            assert {_status(answer) for answer in earlier} == {200}
            gateway.start_drain()
            answer = await site.send(data())
            assert _status(answer) == status
            assert (b"Retry-After" in answer) == (status == 503)

    stand_in.run(main)


def test_deadline_that_passes_while_a_caller_reads_its_answer_adds_no_second_answer() -> None:
    """Guards against a refusal that is written behind the bytes of a complete answer."""

    async def main() -> None:
        async def large(exchange: Exchange) -> None:
            exchange.send(200, b"y" * 250_000)

        site = _site(large)
        async with site:
            gateway = await site.start_gateway(bounds=BOUNDS)
            caller = await Caller.connect(site, receive_buffer_bytes=4_096)
            # Earlier answers fill the buffers of the kernel.
            caller.write(_keep("r", Deadline_Remaining="1500") * 40)
            await _until(lambda: _unwritten_bytes(gateway) > 100_000)
            await asyncio.sleep(2.0)
            answers = await caller.read_rest()
            for answer in answers.split(b"HTTP/1.1 ")[1:]:
                head, _, body = answer.partition(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                assert head[:3] in {b"200", b"504"}
                assert len(body) <= length
            assert answers.count(b"too-late") == 0

    stand_in.run(main)


def test_request_whose_head_is_incomplete_at_the_end_of_the_grace_is_refused() -> None:
    """Guards against closing a connection without an answer on which a request has begun."""

    async def main() -> None:
        site = _site(_ok)
        async with site:
            gateway = await site.start_gateway(bounds=SHORT)
            caller = await Caller.connect(site)
            caller.write(_keep()[:20])
            await asyncio.sleep(0.05)
            gateway.start_drain()
            exited = asyncio.create_task(site.exit_gateway())
            assert _status(await caller.read_rest()) == 503
            await exited

    stand_in.run(main)


def test_request_on_a_connection_opened_late_in_a_stop_is_refused_and_not_dropped() -> None:
    """Guards against a process that ends while a connection is about to carry a request."""

    async def main() -> None:
        site = _site(_ok)
        async with site:
            gateway = await site.start_gateway()
            gateway.start_drain()
            await asyncio.sleep(BALANCER_REMOVAL_MS / 2 / 1_000)
            caller = await Caller.connect(site)
            await asyncio.sleep(BALANCER_REMOVAL_MS * 1.5 / 1_000)
            assert not gateway._stopped.is_set()
            caller.write(_keep())
            assert _status(await caller.read_rest()) == 503
            caller.close()

    stand_in.run(main)
