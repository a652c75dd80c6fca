"""Tests the path of a request through a gateway with misbehaving workers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json

import platform_stand_in as stand_in
from platform_stand_in import Exchange
from platform_stand_in import Script
import pytest

EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 5)]


async def _ok(exchange: Exchange) -> None:
    exchange.send(200, b"answer")


async def _unsealed(exchange: Exchange) -> None:
    exchange.send(200, b"forged", Server_Seal="")


async def _short(exchange: Exchange) -> None:
    exchange.write_head(
        200, {"Request-Id": exchange.request_id, "Server-Seal": "s", "Content-Length": "90"}
    )
    exchange.writer.write(b"too short")
    exchange.writer.close()


async def _unframed_reset(exchange: Exchange) -> None:
    exchange.write_head(200, {"Request-Id": exchange.request_id, "Server-Seal": "s"})
    exchange.writer.write(b"only a part")
    await exchange.writer.drain()
    await asyncio.sleep(0.05)
    exchange.reset()


async def _unframed(exchange: Exchange) -> None:
    exchange.write_head(200, {"Request-Id": exchange.request_id, "Server-Seal": "s"})
    exchange.writer.write(b"answer")
    await exchange.writer.drain()
    exchange.writer.close()


async def _not_http(exchange: Exchange) -> None:
    exchange.writer.write(b"\x00\x01 nothing like HTTP\r\n\r\n")


async def _reset(exchange: Exchange) -> None:
    exchange.reset()


async def _close(exchange: Exchange) -> None:
    exchange.writer.close()


async def _full(exchange: Exchange) -> None:
    exchange.send(503, Not_Run="1", Server_Seal="")


async def _error(exchange: Exchange) -> None:
    exchange.send(500, b"own error")


async def _ambiguous_503(exchange: Exchange) -> None:
    exchange.send(503, b"may have run")


async def _late_answer_first(exchange: Exchange) -> None:
    exchange.send(200, b"other", Request_Id="other")
    exchange.send(200, b"answer")


async def _extra_answer(exchange: Exchange) -> None:
    exchange.send(200, b"answer")
    exchange.send(200, b"extra")


async def _encoded(exchange: Exchange) -> None:
    exchange.send(200, b"zipped", Content_Encoding="gzip")


def _site(kind: str, scripts: list[Script], **route: object) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", kind, **route)]
    for index, script in enumerate(scripts):
        site.add_worker(f"i-{index}", "svc", script)
    site.publish()
    return site


def _status(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1]) if answer.startswith(b"HTTP/1.") else 0


@pytest.mark.parametrize(
    ("kind", "script", "status", "runs"),
    [
        pytest.param("idempotent", _ok, 200, 1, id="safe-answered"),
        pytest.param("idempotent", _reset, 200, 2, id="safe-reset"),
        pytest.param("idempotent", _close, 200, 2, id="safe-closed"),
        pytest.param("idempotent", _short, 200, 2, id="safe-short-body"),
        pytest.param("idempotent", _unframed_reset, 200, 2, id="safe-reset-without-length"),
        pytest.param("idempotent", _unframed, 200, 1, id="safe-whole-without-length"),
        pytest.param("non_idempotent", _unframed_reset, 502, 1, id="unsafe-reset-without-length"),
        pytest.param("idempotent", _unsealed, 200, 2, id="safe-unsealed"),
        pytest.param("idempotent", _encoded, 200, 2, id="safe-encoded"),
        pytest.param("idempotent", _not_http, 200, 2, id="safe-not-http"),
        pytest.param("idempotent", _error, 200, 2, id="safe-error"),
        pytest.param("idempotent", _late_answer_first, 200, 1, id="safe-late-answer-first"),
        pytest.param("non_idempotent", _ok, 200, 1, id="unsafe-answered"),
        pytest.param("non_idempotent", _reset, 502, 1, id="unsafe-reset"),
        pytest.param("non_idempotent", _close, 502, 1, id="unsafe-closed"),
        pytest.param("non_idempotent", _short, 502, 1, id="unsafe-short-body"),
        pytest.param("non_idempotent", _unsealed, 502, 1, id="unsafe-unsealed"),
        pytest.param("non_idempotent", _error, 500, 1, id="unsafe-error-is-passed"),
        pytest.param("non_idempotent", _ambiguous_503, 502, 1, id="unsafe-503-may-have-run"),
        pytest.param("non_idempotent", _full, 200, 2, id="unsafe-full"),
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_first_target_misbehaves(
    kind: str, script: Script, status: int, runs: int, method: str
) -> None:
    """Guards at-most-once execution by route kind, whatever the method, and complete answers."""
    count = 0

    async def first_then_ok(exchange: Exchange) -> None:
        nonlocal count
        count += 1
        await (script if count == 1 else _ok)(exchange)

    async def main() -> None:
        site = _site(kind, [first_then_ok, first_then_ok])
        async with site:
            gateway = await site.start_gateway()
            # Earlier requests fill the retry budget.
            for index in range(30):
                gateway.state.retry_budget.record_request(
                    "svc", gateway.state.clock.now_ms() - index
                )
            answer = await site.send(stand_in.request("/svc/x", method=method))
            assert _status(answer) == status, answer
            assert count == runs
            if status == 200:
                assert answer.endswith(b"answer")

    stand_in.run(main)


def test_broken_keep_alive_connection_does_not_retry_unsafe_requests() -> None:
    """Guards against an HTTP client library that retries GET automatically."""

    async def main() -> None:
        site = _site("non_idempotent", [])
        seen: list[str] = []

        async def script(exchange: Exchange) -> None:
            seen.append(exchange.request_id)
            if len(seen) == 2:
                exchange.reset()
            else:
                exchange.send(200, b"answer", Keep_Alive="timeout=60")

        site.add_worker("i-0", "svc", script)
        site.publish()
        async with site:
            await site.start_gateway()
            first = await site.send(stand_in.request("/svc/x", "r1", method="GET", body=b""))
            second = await site.send(stand_in.request("/svc/x", "r2", method="GET", body=b""))
            assert (_status(first), _status(second)) == (200, 502)
            assert seen == ["r1", "r2"]

    stand_in.run(main)


def test_bytes_after_an_answer_do_not_reach_another_request() -> None:
    """Guards against delivering an answer to the wrong caller."""

    async def main() -> None:
        site = _site("idempotent", [_extra_answer])
        async with site:
            await site.start_gateway()
            answers = [
                await site.send(stand_in.request("/svc/x", f"r{index}")) for index in range(5)
            ]
            for index, answer in enumerate(answers):
                assert answer.endswith(b"answer")
                assert f"Request-Id: r{index}\r\n".encode() in answer

    stand_in.run(main)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        pytest.param(stand_in.request("/none/x"), 404, id="no-route"),
        pytest.param(stand_in.request("/svc/x", key="wrong"), 401, id="unknown-key"),
        pytest.param(stand_in.request("/svc/x", key=None), 401, id="no-key"),
        pytest.param(stand_in.request("/svc/x", body=b"x" * 100_001), 413, id="too-large"),
        pytest.param(stand_in.request("/svc/x", Pieces="x"), 400, id="malformed-header"),
        pytest.param(b"nonsense\r\n\r\n", 400, id="not-http"),
    ],
)
def test_refused_request_reaches_no_target(data: bytes, status: int) -> None:
    """Guards against forwarding requests that must be refused."""

    async def main() -> None:
        site = _site("idempotent", [_ok])
        async with site:
            await site.start_gateway()
            answer = await site.send(data)
            assert _status(answer) == status, answer
            assert not site.workers["i-0"].exchanges

    stand_in.run(main)


def test_request_is_forwarded_unchanged_with_its_account() -> None:
    """Checks path, query, body and account, and that the key is not forwarded."""

    async def main() -> None:
        site = _site("non_idempotent", [_ok])
        async with site:
            await site.start_gateway()
            await site.send(stand_in.request("/svc/a%2Fb//c?q=%20&r", Tenant="forged", X_Own="1"))
            (exchange,) = site.workers["i-0"].exchanges
            assert exchange.target == "/svc/a%2Fb//c?q=%20&r"
            assert exchange.body == b"body"
            assert exchange.headers["tenant"] == "bozi"
            assert exchange.headers["expect-instance"] == "i-0"
            assert exchange.headers["x-own"] == "1"
            assert 0 < int(exchange.headers["deadline-remaining"]) <= 2_000
            assert "authorization" not in exchange.headers

    stand_in.run(main)


def _stream(events: list[bytes], *, end: str) -> Script:
    async def script(exchange: Exchange) -> None:
        last = int(exchange.headers.get("last-event-id", "0"))
        exchange.write_head(
            200,
            {
                "Request-Id": exchange.request_id,
                "Server-Seal": f"seal-{exchange.count}",
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            },
        )
        rest = [event for index, event in enumerate(EVENTS, start=1) if index > last]
        for event in events if end != "whole" else rest:
            exchange.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await exchange.writer.drain()
            await asyncio.sleep(0.01)
        if end == "whole":
            exchange.writer.write(b"0\r\n\r\n")
        elif end == "reset":
            exchange.reset()
        else:
            await asyncio.sleep(30)

    return script


@pytest.mark.parametrize("end", ["reset", "silent"])
def test_resumable_stream_resumes_on_another_target(end: str) -> None:
    """Guards against a missing, duplicate or truncated event after a reset or a stall."""

    async def main() -> None:
        count = 0
        broken = _stream([*EVENTS[:2], b"id: 3\nda"], end=end)
        whole = _stream([], end="whole")

        async def script(exchange: Exchange) -> None:
            nonlocal count
            count += 1
            await (broken if count == 1 else whole)(exchange)

        site = _site("streaming", [script, script], resumable=True, gapAimMs=50)
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x"))
            head, _, body = answer.partition(b"\r\n\r\n")
            assert head.count(b"Server-Seal: seal-0") == 1
            payload = b"".join(
                line for line in body.splitlines(keepends=True) if not _is_chunk_size(line)
            )
            assert payload.replace(b"\r\n", b"") == b"".join(EVENTS)
            assert body.endswith(b"0\r\n\r\n")

    stand_in.run(main)


def _is_chunk_size(line: bytes) -> bool:
    return line.endswith(b"\r\n") and line.strip().isalnum() and len(line) <= 6


def test_broken_non_resumable_stream_does_not_look_complete() -> None:
    """Guards against a partial answer that looks complete to the caller, and a second run."""

    async def main() -> None:
        script = _stream(EVENTS[:2], end="reset")
        site = _site("streaming", [script, script])
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x"))
            assert not answer.endswith(b"0\r\n\r\n")
            assert sum(len(worker.exchanges) for worker in site.workers.values()) == 1

    stand_in.run(main)


def test_target_request_is_aborted_when_the_caller_disconnects() -> None:
    """Guards against work for callers that have disconnected."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(30)

        site = _site("idempotent", [slow])
        async with site:
            await site.start_gateway()
            _, writer = await asyncio.open_connection(site.ingress.ip, site.ingress.port)
            writer.write(stand_in.request("/svc/x"))
            while not site.workers["i-0"].exchanges:
                await asyncio.sleep(0.01)
            writer.close()
            async with asyncio.timeout(0.5):
                while not site.workers["i-0"].early_disconnect_count:
                    await asyncio.sleep(0.01)

    stand_in.run(main)


@pytest.mark.parametrize(
    ("kind", "status"),
    [
        pytest.param("idempotent", 504, id="safe"),
        pytest.param("non_idempotent", 504, id="unsafe"),
    ],
)
def test_route_timeout_is_answered_with_504(kind: str, status: int) -> None:
    """Guards against callers that wait longer than the timeout set by the operator."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(30)

        site = _site(kind, [slow], timeoutMs=200)
        async with site:
            await site.start_gateway()
            async with asyncio.timeout(0.7):
                answer = await site.send(stand_in.request("/svc/x"))
            assert _status(answer) == status

    stand_in.run(main)


def test_request_that_crashes_its_targets_is_refused() -> None:
    """Guards against a request that is resubmitted and crashes one target after another."""

    async def main() -> None:
        site = _site("non_idempotent", [_reset, _reset])
        async with site:
            await site.start_gateway()
            statuses = [
                _status(await site.send(stand_in.request("/svc/x", f"r{index}")))
                for index in range(6)
            ]
            assert statuses == [502, 502, 502, 503, 503, 503]

    stand_in.run(main)


async def _stage_worker(exchange: Exchange) -> None:
    if exchange.target.endswith("stage-free"):
        exchange.send(200, b"")
        return
    exchange.send(200, stand_in.stage_results(exchange))


def test_stages_run_before_the_request_and_are_freed_after_it() -> None:
    """Checks the stage chain from the piece counts of the caller to the inputs of the engine."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [
            stand_in.route(
                "svc",
                "non_idempotent",
                stages=[
                    {"service": "st", "after": [], "bytes": 10},
                    {"service": "st", "after": [0], "bytes": 10},
                ],
            )
        ]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        engine = site.add_worker("i-0", "svc", _ok)
        stage = site.add_worker("i-1", "st", _stage_worker)
        site.publish()
        async with site:
            await site.start_gateway()
            data = stand_in.request("/svc/x", "r1", Pieces="2,1", Piece_Key="k")
            assert _status(await site.send(data)) == 200
            assert engine.exchanges[0].headers["inputs"] == "127.0.0.1:1/r1-1-0"
            runs = [item for item in stage.exchanges if item.target.endswith("stage-run")]
            pieces = [item for run in runs for item in json.loads(run.body)["items"]]
            assert [item.get("key") for item in pieces] == ["k", "k", None]
            assert len(pieces[2]["inputs"]) == 2
            await asyncio.sleep(0.1)
            frees = [item for item in stage.exchanges if item.target.endswith("stage-free")]
            freed = [handle for free in frees for handle in json.loads(free.body)["handles"]]
            assert len(freed) == len(set(freed)) == 3

    stand_in.run(main)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param(lambda site: site.store.delete("servers/i-1"), id="gone"),
        pytest.param(lambda site: site.register("i-1", "st", state="draining"), id="draining"),
        pytest.param(lambda site: site.store.put("op/evacuate/z2", {}), id="zone-is-out"),
    ],
)
def test_request_whose_stage_has_no_usable_target_is_refused(
    change: Callable[[stand_in.GatewayEnvironment], None],
) -> None:
    """Guards against requests that are held until their deadline although nothing can serve them.

    The first one is held while the target may be about to come back, the others are not.
    """

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [stand_in.route("svc", "non_idempotent", stages=stages, timeoutMs=30_000)]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        engine = site.add_worker("i-0", "svc", _ok)
        stage = site.add_worker("i-1", "st", _stage_worker, zone="z2")
        site.publish()
        async with site:
            gateway = await site.start_gateway()
            change(site)
            async with asyncio.timeout(5):
                while gateway.state.directory.usable("st"):
                    await asyncio.sleep(0.01)
            for request_id in ("r1", "r2"):
                data = stand_in.request(
                    "/svc/x", request_id, Pieces="1", Piece_Key="k", Deadline_Remaining="25000"
                )
                async with asyncio.timeout(8):
                    answer = await site.send(data)
                assert _status(answer) == 503
                assert b"\r\nRetry-After" in answer
            assert not engine.exchanges
            assert not stage.exchanges

    stand_in.run(main)


@pytest.mark.parametrize(
    ("event_count", "expected"),
    [
        pytest.param(0, b"HTTP/1.1 502", id="before-its-first-event"),
        pytest.param(1, b"data: 1\n\n\r\n", id="after-its-first-event"),
    ],
)
def test_stream_whose_stages_cannot_be_done_again(event_count: int, expected: bytes) -> None:
    """Guards against a refusal within a stream, and one that falsely claims nothing has run."""

    async def main() -> None:
        async def failing_stage(exchange: Exchange) -> None:
            if exchange.count == 0 or exchange.target.endswith("stage-free"):
                await _stage_worker(exchange)
                return
            items = [{"reason": "error"} for _ in json.loads(exchange.body)["items"]]
            exchange.send(200, json.dumps({"items": items}).encode())

        async def breaking(exchange: Exchange) -> None:
            fields = {"Request-Id": exchange.request_id, "Server-Seal": "seal"}
            exchange.write_head(200, fields | {"Transfer-Encoding": "chunked"})
            for index in range(1, event_count + 1):
                data = f"id: {index}\ndata: {index}\n\n".encode()
                exchange.writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await asyncio.sleep(0.2)
            exchange.reset()

        site = stand_in.GatewayEnvironment()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [stand_in.route("svc", "streaming", resumable=True, stages=stages)]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        site.add_worker("i-0", "svc", breaking)
        site.add_worker("i-1", "st", failing_stage)
        site.publish()
        async with site:
            await site.start_gateway()
            answer = await site.send(stand_in.request("/svc/x", "r1", Pieces="1", Piece_Key="k"))
            assert answer.endswith(expected) or answer.startswith(expected)
            assert answer.count(b"HTTP/1.1") == 1
            assert b"Retry-After" not in answer

    stand_in.run(main)


def test_request_late_in_the_drain_is_refused_immediately() -> None:
    """Guards against accepting requests that the process exit would then cut off."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(4.0)
            exchange.send(200, b"answer")

        site = _site("non_idempotent", [slow], timeoutMs=10_000)
        async with site:
            gateway = await site.start_gateway()
            data = stand_in.request("/svc/x", Deadline_Remaining="9000")
            running = asyncio.create_task(site.send(data))
            while not site.workers["i-0"].exchanges:
                await asyncio.sleep(0.01)
            reader, idle = await asyncio.open_connection(site.ingress.ip, site.ingress.port)
            gateway.start_drain()
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            idle.close()
            answer = await site.send(stand_in.request("/svc/x", "r2"))
            assert _status(answer) == 503
            assert b"Connection: close" in answer
            assert (await running).endswith(b"answer")
            assert len(site.workers["i-0"].exchanges) == 1

    stand_in.run(main)


def test_drain_completes_running_requests() -> None:
    """Checks that a planned stop completes running requests and fails the readiness check."""

    async def main() -> None:
        async def slow(exchange: Exchange) -> None:
            await asyncio.sleep(0.4)
            exchange.send(200, b"answer")

        site = _site("non_idempotent", [slow])
        async with site:
            gateway = await site.start_gateway()
            ready = stand_in.request("/", method="GET", body=b"")
            assert _status(await site.send(ready, address=site.readiness)) == 200
            pending = asyncio.create_task(site.send(stand_in.request("/svc/x")))
            while not site.workers["i-0"].exchanges:
                await asyncio.sleep(0.01)
            gateway.start_drain()
            assert _status(await site.send(ready, address=site.readiness)) == 503
            assert (await pending).endswith(b"answer")

    stand_in.run(main)


def test_gateway_whose_address_is_in_use_ends_its_start() -> None:
    """Guards against tests that wait for ever for a gateway that has ended."""

    async def main() -> None:
        site = _site("idempotent", [_ok])
        async with site:
            blocker = await asyncio.start_server(
                lambda *_: None, site.ingress.ip, site.ingress.port
            )
            async with blocker, asyncio.timeout(10):
                with pytest.raises(OSError, match="address already in use"):
                    await site.start_gateway()

    stand_in.run(main)


def test_no_port_is_given_twice() -> None:
    """Guards against two stand-ins of one test that are started on the same port."""
    count = len(stand_in.PORTS) // 4
    assert len({stand_in.free_port() for _ in range(count)}) == count
