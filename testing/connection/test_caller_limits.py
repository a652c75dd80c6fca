"""The callers' interface against malformed, slow and excessive requests over loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import random
from typing import Any

import attrs
from expression import Ok
import factories
import hypothesis
from hypothesis import strategies
import pytest

from sesamehold.connection import caller_http
from sesamehold.connection import http_listener
from sesamehold.connection import submission
from sesamehold.process import clock
from sesamehold.process import credentials
from sesamehold.process import local_claims
from sesamehold.process import node as nodes
from sesamehold.process import settings
from sesamehold.request import calls
from sesamehold.request import driver
from sesamehold.request import events
from sesamehold.version import manifest

CREDENTIAL = "owner:secret"
PATH = "/v1/pipelines/summary/requests"
IDLE_MS = 300
# More than the buffers of both sockets hold.
ENDLESS_PIECES = 100_000


@attrs.define
class _Targets:
    """Answers every stage; the streamed one sends `piece_count` pieces of 1 KB."""

    piece_count: int = 2
    sent: int = 0

    async def call(self, call: calls.TargetCall, on_pieces: calls.PieceHandler) -> Any:
        assert call.before_write()
        if call.stage.kind is not manifest.StageKind.GENERATE:
            return Ok(calls.CallSuccess({}, events.Usage(1), None))
        for index in range(self.piece_count):
            await on_pieces([calls.Piece(index, 1, "x" * 1_000)])
            self.sent += 1
            await asyncio.sleep(0)
        return Ok(calls.CallSuccess({"text": ""}, events.Usage(self.piece_count), None))

    async def cancel(self, target: Any, attempt: Any) -> None:
        return None


@attrs.define(eq=False)
class _Host:
    node: nodes.Node
    targets: _Targets
    port: int

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes and returns all that comes back until the connection ends or is idle."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = b""
        try:
            async with asyncio.timeout(5 * IDLE_MS / 1_000):
                while chunk := await reader.read(65_536):
                    answer += chunk
                    if b"\r\n\r\n" in answer and b'"ran"' in answer:
                        break
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return answer


def _host() -> nodes.Node:
    document = factories.settings_document()
    document["limits"] = {
        "idle_ms": IDLE_MS,
        "body_size_bytes": 2_048,
        "header_size_bytes": 1_024,
        "header_count": 16,
        "open_streams": 1,
    }
    node = nodes.Node.from_config(settings.from_text(json.dumps(document)).ok, clock.SystemClock())
    version = factories.manifest_document()
    for account in version["accounts"]:
        given = f"{account['name']}:secret"
        account["credential_hash"] = credentials.hash_credential("5e5a", given)
    node.configure(manifest.from_json(version).ok)
    return node


def _run(check: Callable[[_Host], Awaitable[None]], piece_count: int = 2) -> None:
    async def run() -> None:
        node, targets = _host(), _Targets(piece_count)
        services = driver.Services(
            clock=node.clock,
            slots=node.slots,
            targets=targets,
            claims=local_claims.LocalClaims(),
            ledger=node.ledger,
            metrics=node.metrics,
        )
        listener = await http_listener.HttpListener.start(
            caller_http.CallerApi(node, services).application(),
            "127.0.0.1:0",
            node.config.limits,
            None,
        )
        try:
            await check(_Host(node, targets, listener.port))
        finally:
            await listener.close()

    asyncio.run(run())


def _post(body: bytes = b"{}", *headers: str, path: str = PATH) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Authorization: Bearer {CREDENTIAL}", *headers]
    if not any(line.startswith(("Content-Length", "Transfer-Encoding")) for line in lines):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


CHUNKED = "Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        pytest.param(_post(b"{"), 400, "bad-request", id="bad-json"),
        pytest.param(_post(b"[]"), 400, "bad-request", id="not-an-object"),
        pytest.param(_post(b"\xff\xfe{}"), 400, "bad-request", id="not-utf-8"),
        pytest.param(_post(b"[" * 2_000), 400, "bad-request", id="deep"),
        pytest.param(_post(b"{}", "Content-Type: text/xml"), 415, "unsupported-content", id="xml"),
        pytest.param(_post(b"{}", "Content-Encoding: gzip"), 415, "unsupported-content", id="gzip"),
        pytest.param(_post(b" " * 3_000), 413, "too-large", id="large-body"),
        pytest.param(
            _post(b"c00\r\n" + b" " * 3_072 + b"\r\n0\r\n\r\n", CHUNKED),
            413,
            "too-large",
            id="large-chunked",
        ),
        pytest.param(_post(b"zz\r\n{}\r\n", CHUNKED), 400, "bad-request", id="malformed-chunk"),
        pytest.param(_post(b"{", "Content-Length: 9"), 408, "body-timeout", id="body-stops"),
        pytest.param(_post(b"{}", "X: " + "a" * 2_000), 400, "bad-request", id="long-header"),
        pytest.param(
            _post(b"{}", *[f"X-{i}: 1" for i in range(30)]), 400, "bad-request", id="many-headers"
        ),
        pytest.param(b"\x16\x03\x01garbage\r\n\r\n", 400, "bad-request", id="not-http"),
        pytest.param(_post(path="/nowhere"), 404, "not-found", id="unknown-path"),
        pytest.param(_post(path="/healthz"), 400, "bad-request", id="wrong-method"),
        pytest.param(_post(path="/v1/pipelines/x/requests"), 404, "not-found", id="pipeline"),
        pytest.param(
            _post(b"{}", "Sesamehold-Deadline-Ms: 1e3"), 400, "bad-request", id="deadline"
        ),
        pytest.param(
            _post().replace(b"owner:secret", b"owner:\xff\xfe"), 401, "unauthenticated", id="latin"
        ),
        pytest.param(
            _post().replace(b"POST", b"GET").replace(PATH.encode(), b"/v1/requests/x/explanation"),
            404,
            "not-found",
            id="no-explanation",
        ),
    ],
)
def test_refusal_is_a_problem_that_says_not_run(data: bytes, status: int, kind: str) -> None:
    """Guards against refusals without `ran`, and against requests that slip through a limit."""

    async def check(host: _Host) -> None:
        head, _, body = (await host.exchange(data)).partition(b"\r\n\r\n")
        # A request whose version could not be read is answered with HTTP/1.0.
        assert head.split()[1] == str(status).encode(), head
        assert b"application/problem+json" in head
        problem = json.loads(body)
        assert problem["type"].endswith(kind)
        assert problem["status"] == status
        assert problem["ran"] == "no"

    _run(check)


def test_connection_is_kept_for_more_requests() -> None:
    async def check(host: _Host) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
        for _ in range(3):
            writer.write(_post(b'{"prompt": "p"}'))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            assert b"outputs" in await reader.readexactly(length)
        writer.close()

    _run(check)


def test_idle_connection_is_cut() -> None:
    """Guards against connections that hold a file descriptor and never send a request."""

    async def check(host: _Host) -> None:
        for start in (b"", b"POST / HTTP/1.1\r\nHost"):
            reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
            writer.write(start)
            async with asyncio.timeout(20 * IDLE_MS / 1_000):
                assert await reader.read() == b""
            writer.close()

    _run(check)


def test_slow_reader_is_cut_and_memory_stays_bounded() -> None:
    """Guards against a caller that does not read: its buffer must not grow, its target be freed."""

    async def check(host: _Host) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", host.port, limit=1_024)
        writer.write(_post(b"{}", "Accept: text/event-stream", "Sesamehold-Deadline-Ms: 60000"))
        second = await _second_stream(host)
        assert b"429" in second.partition(b"\r\n")[0]
        async with asyncio.timeout(30):
            while host.node.metrics.counters["callers.cut_slow"] == 0 or len(host.node.requests):
                await asyncio.sleep(0.02)
        assert host.targets.sent < ENDLESS_PIECES / 2
        assert host.node.metrics.counters["requests.failed.cancelled"] == 1
        assert not [name for name in host.node.metrics.counters if name.startswith("attempts.")]
        writer.close()

    _run(check, ENDLESS_PIECES)


async def _second_stream(host: _Host) -> bytes:
    while len(host.node.requests) == 0:
        await asyncio.sleep(0.01)
    return await host.exchange(_post(b"{}", "Accept: text/event-stream"))


def _mutate(source: random.Random) -> bytes:
    data = bytearray(_post(b'{"prompt": "p"}', "Idempotency-Key: k", "Sesamehold-Priority: 1"))
    for _ in range(source.randint(1, 6)):
        place = source.randrange(len(data))
        match source.randrange(3):
            case 0:
                data[place] = source.randrange(256)
            case 1:
                del data[place : place + source.randint(1, 9)]
            case _:
                data[place:place] = source.randbytes(source.randint(1, 9))
    return bytes(data)


def test_malformed_requests_get_answers_without_internal_errors() -> None:
    """Guards against a traceback for any bytes that a caller may send: 1,000 mutated requests."""

    async def check(host: _Host) -> None:
        source = random.Random(20261204)
        for _ in range(20):
            batch = [host.exchange(_mutate(source)) for _ in range(50)]
            for answer in await asyncio.gather(*batch):
                head, _, body = answer.partition(b"\r\n\r\n")
                assert b" 500 " not in head.partition(b"\r\n")[0], answer
                if answer and not head.startswith(b"HTTP/1.1 200"):
                    assert json.loads(body)["ran"] in ("no", "unknown"), answer

    _run(check)


@hypothesis.settings(max_examples=1_000, derandomize=True, deadline=None)
@hypothesis.given(
    headers=strategies.dictionaries(
        strategies.sampled_from(
            [
                submission.DEADLINE_HEADER,
                submission.PRIORITY_HEADER,
                submission.SUBMISSION_HEADER,
                submission.KEY_HEADER,
                "Authorization",
                "Accept",
            ]
        ),
        strategies.text(max_size=250),
    ),
    body=strategies.binary(max_size=60) | strategies.from_regex(rb'\{"[a-z]*": ?[\[{"\d].*'),
)
def test_any_headers_and_body_decode_to_a_typed_result(
    headers: dict[str, str], body: bytes
) -> None:
    result = submission.decode("p", headers, body)
    assert result.is_ok() or result.error.ran.value == "no"
