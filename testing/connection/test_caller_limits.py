"""Tests of the caller API with malformed, slow and oversized requests over loopback."""

from __future__ import annotations

import asyncio
import json
import random
import re
import tracemalloc

import caller_host
import hypothesis
from hypothesis import strategies
import pytest

from sesamehold.connection import submission
from sesamehold.process import receive_budget

# Exceeds the capacity of both socket buffers.
ENDLESS_PIECES = 100_000
CHUNKED = "Transfer-Encoding: chunked"


@pytest.mark.parametrize(
    ("data", "status", "kind"),
    [
        pytest.param(caller_host.post(b"{"), 400, "bad-request", id="bad-json"),
        pytest.param(caller_host.post(b"[]"), 400, "bad-request", id="not-an-object"),
        pytest.param(caller_host.post(b"\xff\xfe{}"), 400, "bad-request", id="not-utf-8"),
        pytest.param(caller_host.post(b"[" * 2_000), 400, "bad-request", id="deep"),
        pytest.param(
            caller_host.post(b"{}", "Content-Type: text/xml"), 415, "unsupported-content", id="xml"
        ),
        pytest.param(
            caller_host.post(b"{}", "Content-Encoding: gzip"), 415, "unsupported-content", id="gzip"
        ),
        pytest.param(caller_host.post(b" " * 3_000), 413, "too-large", id="large-body"),
        pytest.param(
            caller_host.post(b"c00\r\n" + b" " * 3_072 + b"\r\n0\r\n\r\n", CHUNKED),
            413,
            "too-large",
            id="large-chunked",
        ),
        pytest.param(
            caller_host.post(b"zz\r\n{}\r\n", CHUNKED), 400, "bad-request", id="malformed-chunk"
        ),
        pytest.param(
            caller_host.post(b"{", "Content-Length: 9"), 408, "body-timeout", id="body-stops"
        ),
        pytest.param(
            caller_host.post(b"{}", "X: " + "a" * 2_000), 431, "head-too-large", id="long-header"
        ),
        pytest.param(
            caller_host.post(b"{}", *[f"X-{i}: 1" for i in range(30)]),
            431,
            "head-too-large",
            id="many-headers",
        ),
        pytest.param(b"\x16\x03\x01garbage\r\n\r\n", 400, "bad-request", id="not-http"),
        pytest.param(caller_host.post(path="/nowhere"), 404, "not-found", id="unknown-path"),
        pytest.param(caller_host.post(path="/healthz"), 400, "bad-request", id="wrong-method"),
        pytest.param(
            caller_host.post(path="/v1/pipelines/x/requests"), 404, "not-found", id="pipeline"
        ),
        pytest.param(
            caller_host.post(b"{}", "Sesamehold-Deadline-Ms: 1e3"),
            400,
            "bad-request",
            id="deadline",
        ),
        pytest.param(
            caller_host.post().replace(b"owner:secret", b"owner:\xff\xfe"),
            401,
            "unauthenticated",
            id="latin",
        ),
        pytest.param(
            caller_host.post()
            .replace(b"POST", b"GET")
            .replace(caller_host.PATH.encode(), b"/v1/requests/x/explanation"),
            404,
            "not-found",
            id="no-explanation",
        ),
    ],
)
def test_refusal_is_a_problem_that_says_not_run(data: bytes, status: int, kind: str) -> None:
    """Guards against refusals without `ran`, and against requests that bypass a limit."""

    async def check(host: caller_host.Host) -> None:
        head, _, body = (await host.exchange(data)).partition(b"\r\n\r\n")
        # The response is HTTP/1.0 if the version of the request could not be parsed.
        assert head.split()[1] == str(status).encode(), head
        assert b"application/problem+json" in head
        problem = json.loads(body)
        assert problem["type"].endswith(kind)
        assert problem["status"] == status
        assert problem["ran"] == "no"

    caller_host.run(check)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b"2\r\n{}\r\n0\r\n\r\n", id="no-trailer"),
        pytest.param(b"2\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n", id="trailer"),
        pytest.param(b'b\r\n{"a":0\r\n\r\n}\r\n0;last\r\n\r\n', id="content-like-an-end"),
    ],
)
def test_request_behind_chunks_is_answered_before_garbage(body: bytes) -> None:
    """Guards against a sound request that is lost for an error in what was received with it."""

    async def check(host: caller_host.Host) -> None:
        data = caller_host.post(body, CHUNKED)
        behind = caller_host.post(path="/healthz").replace(b"POST", b"GET")
        behind = behind.replace(b"Content-Length: 2\r\n", b"").removesuffix(b"{}")
        answer = await host.exchange(data + behind + b"G@RBAGE\r\n\r\n")
        assert answer.count(b"HTTP/1.1 ") + answer.count(b"HTTP/1.0 ") == 3, answer
        assert b'{"ready": true}' in answer

    caller_host.run(check)


def test_connection_is_kept_for_more_requests() -> None:
    async def check(host: caller_host.Host) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
        for _ in range(3):
            writer.write(caller_host.post(b'{"prompt": "p"}'))
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            assert b"outputs" in await reader.readexactly(length)
        writer.close()

    caller_host.run(check)


@pytest.mark.parametrize(
    ("account", "status"),
    [pytest.param("owner", b"200", id="own"), pytest.param("guest", b"404", id="other-account")],
)
def test_account_reads_explanations_of_its_own_requests(account: str, status: bytes) -> None:
    """Guards against accounts that can read the explanations of other accounts."""

    async def check(host: caller_host.Host) -> None:
        answer = await host.exchange(caller_host.post(b"{}"))
        request_id = re.search(rb"Sesamehold-Request: (\w+)", answer)
        assert request_id is not None
        path = f"/v1/requests/{request_id[1].decode()}/explanation"
        data = caller_host.post(path=path).replace(b"POST", b"GET")
        answer = await host.exchange(data.replace(b"owner:secret", f"{account}:secret".encode()))
        assert answer.split()[1] == status
        assert (b"least-outstanding" in answer) is (status == b"200")

    caller_host.run(check)


LARGE_HEAD = tuple(f"X-{number}: {'a' * 1_000}" for number in range(13))


@pytest.mark.parametrize(
    ("data", "is_large"),
    [
        pytest.param(caller_host.post(b"{}"), False, id="small-head"),
        pytest.param(caller_host.post(b"{}", *LARGE_HEAD), True, id="large-head-and-body"),
        pytest.param(
            caller_host.post(b'{"list": [%s{}]}' % (b"{}," * 600)), True, id="body-of-many-objects"
        ),
        pytest.param(
            caller_host.post(b"", *LARGE_HEAD, path="/healthz").replace(b"POST", b"GET"),
            True,
            id="large-head",
        ),
    ],
)
def test_large_request_is_refused_while_others_hold_the_memory(
    data: bytes, *, is_large: bool
) -> None:
    """Guards against open requests whose heads and bodies nobody counts."""

    async def check(host: caller_host.Host) -> None:
        budget = host.node.receive_budget
        others = receive_budget.Holding(lambda: None)
        assert budget.admit(others, budget.capacity_bytes)
        answer = await host.exchange(data)
        assert answer.split()[1] == (b"503" if is_large else b"200"), answer
        assert (b"Retry-After" in answer) is is_large
        assert (b'"ran":"no"' in answer.replace(b" ", b"")) is is_large
        budget.end_admitted(others)
        assert (await host.exchange(data)).startswith(b"HTTP/1.1 200")
        while budget.used_bytes:
            await asyncio.sleep(0.01)

    caller_host.run(check)


def test_idle_connection_is_cut() -> None:
    """Guards against connections that occupy a file descriptor without sending a request."""

    async def check(host: caller_host.Host) -> None:
        for start in (b"", b"POST / HTTP/1.1\r\nHost"):
            reader, writer = await asyncio.open_connection("127.0.0.1", host.port)
            writer.write(start)
            async with asyncio.timeout(20 * caller_host.IDLE_MS / 1_000):
                assert await reader.read() == b""
            writer.close()

    caller_host.run(check)


def test_slow_reader_is_cut_and_memory_stays_bounded() -> None:
    """Guards against a caller that stops reading, which could fill memory and block its target."""

    async def check(host: caller_host.Host) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", host.port, limit=1_024)
        writer.write(
            caller_host.post(b"{}", "Accept: text/event-stream", "Sesamehold-Deadline-Ms: 60000")
        )
        second = await _open_second_stream(host)
        assert b"429" in second.partition(b"\r\n")[0]
        async with asyncio.timeout(30):
            while host.node.metrics.counters["callers.cut_slow"] == 0 or len(host.node.requests):
                await asyncio.sleep(0.02)
        assert host.targets.sent < ENDLESS_PIECES / 2, "pieces of 1 KB were buffered for the caller"
        assert host.node.metrics.counters["requests.failed.cancelled"] == 1
        assert not [name for name in host.node.metrics.counters if name.startswith("attempts.")]
        writer.close()

    caller_host.run(check, ENDLESS_PIECES)


async def _open_second_stream(host: caller_host.Host) -> bytes:
    while len(host.node.requests) == 0:
        await asyncio.sleep(0.01)
    return await host.exchange(caller_host.post(b"{}", "Accept: text/event-stream"))


def _mutated_request(rng: random.Random) -> bytes:
    data = bytearray(
        caller_host.post(b'{"prompt": "p"}', "Idempotency-Key: k", "Sesamehold-Priority: 1")
    )
    for _ in range(rng.randint(1, 6)):
        position = rng.randrange(len(data))
        match rng.randrange(3):
            case 0:
                data[position] = rng.randrange(256)
            case 1:
                del data[position : position + rng.randint(1, 9)]
            case _:
                data[position:position] = rng.randbytes(rng.randint(1, 9))
    return bytes(data)


def test_malformed_requests_get_answers_without_internal_errors() -> None:
    """Guards against internal errors on malformed input, with 1,000 mutated requests."""

    async def check(host: caller_host.Host) -> None:
        rng = random.Random(20261204)
        for _ in range(20):
            batch = [host.exchange(_mutated_request(rng)) for _ in range(50)]
            for answer in await asyncio.gather(*batch):
                head, _, body = answer.partition(b"\r\n\r\n")
                assert b" 500 " not in head.partition(b"\r\n")[0], answer
                if answer and not head.startswith(b"HTTP/1.1 200"):
                    assert json.loads(body)["ran"] in ("no", "unknown"), answer

    caller_host.run(check)


@pytest.mark.parametrize(
    "item",
    [
        pytest.param(b"{}", id="objects"),
        pytest.param(b"[]", id="arrays"),
        pytest.param(b'"ab"', id="strings"),
        pytest.param('"\N{GRINNING FACE}"'.encode(), id="wide-strings"),
        pytest.param(rb'"\ud83d\ude00' + b"a" * 40 + b'"', id="escaped-wide-strings"),
        pytest.param(b"1000000", id="integers"),
        pytest.param(b"0.1", id="floats"),
        pytest.param(b"[0]", id="arrays-of-one"),
        pytest.param(b'{"a":0}', id="objects-of-one"),
        pytest.param(b'{"a":0,"b":0,"c":0,"d":0,"e":0,"f":0}', id="objects-of-six"),
    ],
)
def test_decoded_body_takes_no_more_than_stated(item: bytes) -> None:
    """Guards against a small body that becomes a large document."""
    body = b'{"list": [%s]}' % b",".join([item] * 20_000)
    tracemalloc.start()
    try:
        document = json.loads(body)
        size_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert document
    assert size_bytes + len(body) <= submission.decoded_bytes(body)


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
