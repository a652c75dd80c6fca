"""Tests a gateway whose engines crash under requests that share one part of their prompts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import platform_stand_in as stand_in
import pytest

WORKER_COUNT = 6
STREAMING_WORKER_COUNT = 14
CRASHING_REQUEST_COUNT = 12
# Three crashes prove the cause, and the sends of two requests may overlap with the third.
MAX_CRASHES = 5
EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 7)]
LAST_CHUNK = b"0\r\n\r\n"


class EnginesWithFatalPart:
    """Engines that crash, and restart as a new incarnation, under any request with one part."""

    def __init__(self, fault: str, worker_count: int = WORKER_COUNT) -> None:
        self.site = stand_in.GatewayEnvironment()
        self.site.routes = [stand_in.route("svc", "idempotent", attempts=2)]
        self.crash_count = 0
        self._fault = fault
        for index in range(worker_count):
            target_id = f"i-{index}"
            self.site.add_worker(target_id, "svc", self._script(target_id))
        self.site.publish()

    def _script(self, target_id: str) -> stand_in.Script:
        async def answer(exchange: stand_in.Exchange) -> None:
            if "dead:" not in exchange.headers["prompt-prefix"]:
                exchange.send(200, b"answer")
                return
            self.crash_count += 1
            if self._fault != "before the head":
                fields = {"Request-Id": exchange.request_id, "Server-Seal": "s"}
                if self._fault == "in the body":
                    fields["Content-Length"] = "9"
                exchange.write_head(200, fields)
                await exchange.writer.drain()
                await asyncio.sleep(0.01)
            exchange.reset()
            self.site.register(target_id, "svc", born=1 + self.crash_count)

        return answer

    async def send(self, index: int, parts: list[str]) -> int:
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own{index}"])
        data = stand_in.request(
            "/svc/x",
            f"r{index}",
            body=b"body %d" % index,
            Model="m",
            Token_Counts="300,5",
            Prompt_Prefix=prefix,
        )
        answer = await self.site.send(data)
        return int(answer.split(b" ", 2)[1])


@pytest.mark.parametrize("fault", ["before the head", "after the head", "in the body"])
@pytest.mark.parametrize(
    "parts",
    [
        pytest.param(["dead", "shared"], id="first-part"),
        pytest.param(["shared", "dead"], id="second-part"),
        pytest.param(["shared", "chapter", "dead"], id="third-part"),
    ],
)
def test_different_requests_with_a_fatal_prompt_part_crash_few_engines(
    fault: str, parts: list[str]
) -> None:
    """Guards against crash suspects that are counted by whole requests only."""

    async def main() -> None:
        engines = EnginesWithFatalPart(fault)
        sound_parts = [part for part in parts if part != "dead"]
        async with engines.site:
            await engines.site.start_gateway()
            assert await engines.send(0, sound_parts) == 200
            statuses = []
            for index in range(1, 1 + CRASHING_REQUEST_COUNT):
                statuses.append(await engines.send(index, parts))
                await asyncio.sleep(0.02)
            assert engines.crash_count <= MAX_CRASHES
            assert statuses[-5:] == [503] * 5
            # Other requests with the same account, route and remaining parts are still served.
            for index in range(20, 25):
                assert await engines.send(index, sound_parts) == 200

    stand_in.run(main)


class StreamingEngines(EnginesWithFatalPart):
    """Engines that crash for good under a fatal part after some events of each run.

    Args:
        event_count: Events of a run before the crash; with all of them, only the end is missing.
        has_chunks: Whether streams have chunks; without them they end with their connection.
        resumable: Whether another engine may go on with a stream.
    """

    def __init__(self, event_count: int, *, has_chunks: bool, resumable: bool) -> None:
        super().__init__("between events", STREAMING_WORKER_COUNT)
        self._event_count = event_count
        self._has_chunks = has_chunks
        self.site.routes = [
            stand_in.route("svc", "streaming", attempts=2, resumable=resumable, gapAimMs=300)
        ]
        self.site.publish()

    def _script(self, target_id: str) -> stand_in.Script:
        async def answer(exchange: stand_in.Exchange) -> None:
            is_fatal = "dead:" in exchange.headers["prompt-prefix"]
            fields = {"Request-Id": exchange.request_id, "Server-Seal": "s"}
            if self._has_chunks:
                fields["Transfer-Encoding"] = "chunked"
            exchange.write_head(200, fields)
            first = int(exchange.headers.get("last-event-id", "0"))
            for count, event in enumerate(EVENTS[first:], start=1):
                self._write(exchange, event)
                await exchange.writer.drain()
                await asyncio.sleep(0.01)
                if is_fatal and count == self._event_count:
                    self._crash(exchange, target_id)
                    return
            if self._has_chunks:
                exchange.writer.write(LAST_CHUNK)
            else:
                exchange.writer.close()

        return answer

    def _write(self, exchange: stand_in.Exchange, event: bytes) -> None:
        exchange.writer.write(b"%x\r\n%b\r\n" % (len(event), event) if self._has_chunks else event)

    def _crash(self, exchange: stand_in.Exchange, target_id: str) -> None:
        self.crash_count += 1
        exchange.reset()
        self.site.workers[target_id].stop()


@pytest.mark.parametrize("event_count", [1, 3, len(EVENTS)])
@pytest.mark.parametrize("has_chunks", [True, False], ids=["chunks", "until-close"])
@pytest.mark.parametrize("resumable", [True, False], ids=["resumable", "not-resumable"])
@pytest.mark.parametrize(
    "own_index",
    [
        pytest.param(lambda index: index, id="different-requests"),
        pytest.param(lambda index: 1, id="one-request-again"),
    ],
)
def test_streams_that_crash_engines_between_their_events_crash_few(
    event_count: int, has_chunks: bool, resumable: bool, own_index: Callable[[int], int]
) -> None:
    """Guards against crashes that are not attributed because a stream has begun."""

    async def main() -> None:
        engines = StreamingEngines(event_count, has_chunks=has_chunks, resumable=resumable)
        async with engines.site:
            await engines.site.start_gateway()
            assert await engines.send(0, ["shared"]) == 200
            statuses = []
            for index in range(1, 1 + CRASHING_REQUEST_COUNT):
                statuses.append(await engines.send(own_index(index), ["shared", "dead"]))
                await asyncio.sleep(0.02)
            assert engines.crash_count <= MAX_CRASHES
            assert statuses[-5:] == [503] * 5
            for index in range(20, 25):
                assert await engines.send(index, ["shared"]) == 200

    stand_in.run(main)
