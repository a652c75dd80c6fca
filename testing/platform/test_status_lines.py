"""Tests answers whose status is none, at every place that reads the head of an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import json
import re
from typing import TypeAlias

import aiohttp
import attrs
import factories
import platform_stand_in as stand_in
import pytest

from sesamehold.connection import answer_protocol
from sesamehold.connection import operator_client
from sesamehold.connection import platform_http
from sesamehold.connection import target_http
from sesamehold.connection import target_sessions
from sesamehold.connection.gateway import target_pool
from sesamehold.platform import headers
from sesamehold.platform import store
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import targets
from sesamehold.request import calls
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.request.gateway import messages
from sesamehold.version import manifest

INVALID = ["000", "001", "099", "101", "600", "999"]
MALFORMED = ["", "2", "20x", "-200", "+200", "0200", "1e2", "2000", " 200"]
EVENTS = b"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
ATTEMPT = ids.AttemptId(factories.REQUEST_ID, 0, 1)
# Fails the test if a place waits for another answer; a place that does not is done at once.
WAIT_S = 5.0


def _answer(status: str, body: bytes, *fields: str) -> bytes:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def _site(
    kind: str, script: stand_in.Script, worker_count: int = 2, **route: object
) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, attempts=2, **route)]
    for index in range(worker_count):
        site.add_worker(f"i-{index}", "svc", script)
    site.publish()
    return site


@pytest.mark.parametrize("not_run", [False, True])
@pytest.mark.parametrize("status", INVALID + MALFORMED)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
def test_answer_with_an_invalid_status_is_no_answer(
    kind: str, status: str, *, not_run: bool
) -> None:
    """Guards against its status at a caller, a wait until the deadline, and a false "not run"."""

    async def main() -> None:
        runs = 0

        async def script(exchange: stand_in.Exchange) -> None:
            nonlocal runs
            runs += 1
            fields = [f"Request-Id: {exchange.request_id}", "Server-Seal: s"]
            if runs == 1:
                fields += ["Not-Run: 1"] if not_run else []
                exchange.writer.write(_answer(status, EVENTS, *fields))
            else:
                exchange.writer.write(_answer("200", EVENTS, *fields))

        async with _site(kind, script) as site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1"))
        if kind == "idempotent":
            assert answer.startswith(b"HTTP/1.1 200"), answer
            assert answer.endswith(EVENTS)
        else:
            assert answer.startswith(b"HTTP/1.1 502"), answer
            assert runs == 1

    stand_in.run(main)


@pytest.mark.parametrize("status", INVALID)
def test_answer_with_an_invalid_status_behind_an_answer_is_not_taken_for_the_next(
    status: str,
) -> None:
    """Guards against a kept connection on which such an answer came while it was idle or in use."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            fields = [f"Request-Id: {exchange.request_id}", "Server-Seal: s"]
            kept = [*fields, "Keep-Alive: timeout=60"]
            answer = _answer("200", EVENTS, *kept)
            if exchange.request_id == "r0":
                answer += _answer(status, b"other", *fields)
            exchange.writer.write(answer)

        async with _site("non_idempotent", script, worker_count=1) as site:
            await site.start_gateway()
            for index in range(3):
                answer = await site.send(stand_in.request("/svc/x", f"r{index}"))
                assert answer.startswith(b"HTTP/1.1 200"), answer
                assert answer.endswith(EVENTS)

    stand_in.run(main)


@pytest.mark.parametrize("status", INVALID)
def test_answer_with_an_invalid_status_is_no_part_of_the_answer_before(status: str) -> None:
    """Guards against a second answer that only counts as one if its status is valid."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            fields = [f"Request-Id: {exchange.request_id}", "Server-Seal: s"]
            exchange.writer.write("\r\n".join(["HTTP/1.1 200 X", *fields, "", "part"]).encode())
            exchange.writer.write(_answer(status, b"other", *fields))
            await exchange.writer.drain()
            exchange.writer.close()

        async with _site("non_idempotent", script) as site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1"))
        assert answer.startswith(b"HTTP/1.1 502"), answer

    stand_in.run(main)


@pytest.mark.parametrize("status", ["100", "102", "103", "199"])
def test_interim_answer_is_waited_behind(status: str) -> None:
    """Guards against a sound answer that is refused for the interim one before it."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.writer.write(f"HTTP/1.1 {status} X\r\n\r\n".encode())
            exchange.send(200, b"answer")

        async with _site("non_idempotent", script) as site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1"))
        assert answer.startswith(b"HTTP/1.1 200"), answer

    stand_in.run(main)


@pytest.mark.parametrize("status", [200, 201, 299, 300, 404, 499, 500, 599])
def test_valid_status_reaches_the_caller(status: int) -> None:
    """Guards against an unusual but valid status that is refused."""

    async def main() -> None:
        async def script(exchange: stand_in.Exchange) -> None:
            exchange.send(status, b"answer")

        async with _site("non_idempotent", script) as site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1"))
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer
        assert answer.endswith(b"answer")

    stand_in.run(main)


class _Observer:
    def on_answer(self, target: targets.Target, head: messages.AnswerHead, sent_ms: int) -> None:
        raise AssertionError(f"taken for an answer: {head.status}")

    def on_extra_bytes(
        self, target: targets.Target, where: messages.ExtraBytes, request_id: str | None = None
    ) -> None:
        pass


def _stage_target(address: str) -> targets.Target:
    return targets.Target("i-0", 1, "st", address, "z1")


async def _ask_stage(address: str) -> str:
    pool = target_pool.TargetPool(headers.PlatformHeaders(), clocks.SystemClock(), _Observer())
    head = b"POST /stage-run HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
    sent = await pool.send(_stage_target(address), head, None, reuse=False)
    assert sent.error.sent
    assert not sent.error.connection_broken
    return sent.error.kind


async def _ask_store(address: str) -> str:
    client = store.PlatformStore.from_config(listening.Address.parse(address))
    try:
        listing = await client.list_items("")
        watched = await client.watch("", 1, 1_000)
    finally:
        await client.close()
    assert listing.error.reason == watched.error.reason
    return listing.error.reason


async def _ask_configuration(address: str) -> str:
    connector = answer_protocol.AnswerConnector()
    client = platform_http.PlatformClient.from_connector(address, connector)
    try:
        return (await client.read("manifest")).error.reason
    finally:
        await client.close()


async def _ask_operator(address: str) -> str:
    client = operator_client.OperatorClient.from_credential("c")
    try:
        return (await client.get(address, "/v1/state")).error.reason
    finally:
        await client.close()


async def _discard(pieces: Sequence[calls.Piece]) -> bool:
    return True


async def _ask_target(address: str) -> str:
    """Sends a call of the product's own path, and asks for its outcome."""
    stage = attrs.evolve(factories.stage("svc"), path="/v1/run")
    target = manifest.Target("i-0", address, "zone-a")
    call = calls.TargetCall(
        attempt=ATTEMPT,
        target=target,
        stage=stage,
        body={},
        remaining_ms=60_000,
        priority=0,
        account="account",
        key=None,
        resume_index=0,
        resume_text="",
        before_write=lambda: True,
    )
    connector = target_http.HttpTargetConnector.from_config(4, clocks.SystemClock())
    try:
        called = await connector.call(call, _discard)
        assert called.error.fault is events.AttemptFault.BAD_ANSWER
        return called.error.ran.value
    finally:
        await connector.close()


async def _probe_target(address: str) -> str:
    sessions = target_sessions.TargetSessions.from_config(4, aiohttp.TraceConfig())
    try:
        return str(await sessions.probe(address))
    finally:
        await sessions.close()


Place: TypeAlias = Callable[[str], Awaitable[str]]
PLACES = [
    pytest.param(_ask_stage, "invalid-status", id="stage-call"),
    pytest.param(_ask_store, "ClientResponseError", id="store"),
    pytest.param(_ask_configuration, "ClientResponseError", id="configuration"),
    pytest.param(_ask_operator, "unreachable (ClientResponseError)", id="operator"),
    pytest.param(_ask_target, errors.RunStatus.UNKNOWN.value, id="target"),
    pytest.param(_probe_target, "False", id="probe"),
]


@pytest.mark.parametrize("status", INVALID + MALFORMED)
@pytest.mark.parametrize(("ask", "outcome"), PLACES)
def test_no_place_takes_an_invalid_status_for_an_answer(
    ask: Place, outcome: str, status: str
) -> None:
    """Guards against a place that reads a status by a rule of its own.

    The body would be a success at each of the places, and the headers say that nothing has run.
    """

    async def main() -> None:
        connection_count = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal connection_count
            connection_count += 1
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(length.group(1)) if length else 0)
            document = {"attempt": ATTEMPT.encode(), "output": {}, "version": 1, "value": {}}
            document |= {"items": [], "events": [], "storeRevision": 1}
            fields = [f"{target_http.ATTEMPT_HEADER}: {ATTEMPT.encode()}", "Store-Era: 1"]
            fields += [f"{target_http.RAN_HEADER}: {errors.RunStatus.NO.value}"]
            fields += ["Content-Type: application/json"]
            writer.write(_answer(status, json.dumps(document).encode(), *fields))
            # Open until the other side closes the connection.
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, stand_in.HOST, 0)
        port = server.sockets[0].getsockname()[1]
        async with server, asyncio.timeout(WAIT_S):
            assert await ask(f"{stand_in.HOST}:{port}") == outcome

    stand_in.run(main)
