"""Tests what callers get of a stream whose target falls silent and goes on later."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json

import platform_stand_in as stand_in
from platform_stand_in import Exchange
from platform_stand_in import Script
import pytest

EVENTS = [b"id: %d\ndata: e%d\n\n" % (index, index) for index in range(1, 5)]
# Longer than the pause after which a stream counts as stalled.
SILENCE_S = 1.3


def _begin(exchange: Exchange) -> None:
    fields = {"Request-Id": exchange.request_id, "Server-Seal": "seal"}
    exchange.write_head(200, fields | {"Transfer-Encoding": "chunked"})


def _write(exchange: Exchange, data: bytes) -> None:
    exchange.writer.write(b"%x\r\n%s\r\n" % (len(data), data))


def _silent_after(event_count: int, cut_event: bytes = b"") -> Script:
    """Returns a script that pauses after some events and bytes of the next one."""

    async def script(exchange: Exchange) -> None:
        _begin(exchange)
        for event in EVENTS[:event_count]:
            _write(exchange, event)
        if cut_event:
            _write(exchange, cut_event)
        await asyncio.sleep(SILENCE_S)
        _write(exchange, b"".join(EVENTS[event_count:]).removeprefix(cut_event))
        exchange.writer.write(b"0\r\n\r\n")

    return script


async def _rest(exchange: Exchange) -> None:
    _begin(exchange)
    for event in EVENTS[int(exchange.headers.get("last-event-id", "0")) :]:
        _write(exchange, event)
    exchange.writer.write(b"0\r\n\r\n")


async def _queue(exchange: Exchange) -> None:
    await asyncio.sleep(30)


async def _full(exchange: Exchange) -> None:
    exchange.send(503, Not_Run="1", Server_Seal="")


async def _wants_nothing(exchange: Exchange) -> None:
    exchange.send(503, Not_Run="1", Server_Seal="", Retry_After="9")


async def _reset(exchange: Exchange) -> None:
    exchange.reset()


async def _error(exchange: Exchange) -> None:
    exchange.send(500, b"own error")


def _engines(first: Script, second: Script) -> stand_in.GatewayEnvironment:
    """Returns a site with two engines; the first one to get a request plays the first script."""
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", "streaming", resumable=True, gapAimMs=50, timeoutMs=8_000)]
    count = 0

    async def script(exchange: Exchange) -> None:
        nonlocal count
        count += 1
        await (first if count == 1 else second)(exchange)

    for index in range(2):
        site.add_worker(f"i-{index}", "svc", script)
    site.publish()
    return site


def _with_stages(site: stand_in.GatewayEnvironment) -> stand_in.GatewayEnvironment:
    """Adds a stage that fails whenever it is run again."""

    async def failing_stage(exchange: Exchange) -> None:
        if exchange.target.endswith("stage-free"):
            exchange.send(200, b"")
        elif exchange.count == 0:
            exchange.send(200, stand_in.stage_results(exchange))
        else:
            items = [{"reason": "error"} for _ in json.loads(exchange.body)["items"]]
            exchange.send(200, json.dumps({"items": items}).encode())

    site.routes[0]["stages"] = [{"service": "st", "after": [], "bytes": 10}]
    site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
    site.add_worker("i-st", "st", failing_stage)
    site.publish()
    return site


def _unreachable(site: stand_in.GatewayEnvironment) -> stand_in.GatewayEnvironment:
    """Registers a further target at an address where nothing listens."""
    site.workers["i-gone"] = stand_in.WorkerStandIn(_rest)
    site.register("i-gone", "svc")
    del site.workers["i-gone"]
    return site


SITES: dict[str, Callable[[Script], stand_in.GatewayEnvironment]] = {
    "the-other-is-full": lambda first: _engines(first, _full),
    "the-other-wants-nothing": lambda first: _engines(first, _wants_nothing),
    "the-other-crashes": lambda first: _engines(first, _reset),
    "the-other-fails": lambda first: _engines(first, _error),
    "the-other-queues-it": lambda first: _engines(first, _queue),
    "another-is-unreachable": lambda first: _unreachable(_engines(first, _full)),
    "the-stages-fail": lambda first: _with_stages(_engines(first, _rest)),
    "the-other-takes-it": lambda first: _engines(first, _rest),
}


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(_silent_after(0), id="before-its-first-event"),
        pytest.param(_silent_after(2), id="between-events"),
        pytest.param(_silent_after(2, b"id: 3\nda"), id="within-an-event"),
    ],
)
@pytest.mark.parametrize("site", SITES)
def test_stream_of_a_target_that_is_silent_for_a_second_is_not_cut(
    first: Script, site: str
) -> None:
    """Guards against giving up a silent target before another one has taken the stream over."""

    async def main() -> None:
        async with SITES[site](first) as environment:
            gateway = await environment.start_gateway()
            for _ in range(30):
                gateway.state.retry_budget.record_request("svc", gateway.state.clock.now_ms())
            data = stand_in.request("/svc/x", Deadline_Remaining="8000", Pieces="1", Piece_Key="k")
            async with asyncio.timeout(7):
                answer = await environment.send(data)
            assert answer.startswith(b"HTTP/1.1 200"), answer
            assert answer.endswith(b"0\r\n\r\n"), answer
            assert [answer.count(event) for event in EVENTS] == [1, 1, 1, 1]

    stand_in.run(main)


async def _late_full(exchange: Exchange) -> None:
    await asyncio.sleep(0.5)
    await _full(exchange)


async def _late_reset(exchange: Exchange) -> None:
    await asyncio.sleep(0.5)
    exchange.reset()


def _breaks_after(event_count: int, cut_event: bytes = b"") -> Script:
    """Returns a script that breaks off while another target is asked to go on."""

    async def script(exchange: Exchange) -> None:
        _begin(exchange)
        for event in EVENTS[:event_count]:
            _write(exchange, event)
        if cut_event:
            _write(exchange, cut_event)
        await asyncio.sleep(1.0)
        exchange.reset()

    return script


@pytest.mark.parametrize(
    "first",
    [
        pytest.param(_breaks_after(0), id="before-its-first-event"),
        pytest.param(_breaks_after(2), id="between-events"),
        pytest.param(_breaks_after(2, b"id: 3\nda"), id="within-an-event"),
    ],
)
@pytest.mark.parametrize(
    "second",
    [
        pytest.param(_late_full, id="the-other-is-full"),
        pytest.param(_late_reset, id="the-other-crashes"),
    ],
)
def test_stream_that_breaks_during_a_search_goes_on_where_it_may(
    first: Script, second: Script
) -> None:
    """Guards against a search that leaves out targets which could take the stream by then."""

    async def main() -> None:
        scripts = iter([first, second])

        async def script(exchange: Exchange) -> None:
            await next(scripts, _rest)(exchange)

        environment = _engines(script, script)
        environment.routes[0]["attempts"] = 5
        environment.publish()
        async with environment:
            gateway = await environment.start_gateway()
            for _ in range(60):
                gateway.state.retry_budget.record_request("svc", gateway.state.clock.now_ms())
            data = stand_in.request("/svc/x", Deadline_Remaining="8000")
            async with asyncio.timeout(7):
                answer = await environment.send(data)
            assert answer.endswith(b"0\r\n\r\n"), answer
            assert [answer.count(event) for event in EVENTS] == [1, 1, 1, 1]

    stand_in.run(main)


def test_stage_results_of_a_search_without_success_are_freed_at_once() -> None:
    """Guards against results that take up room until the end of a stream which cannot use them."""

    async def main() -> None:
        environment = _with_stages(_engines(_silent_after(2), _full))
        stage = environment.workers["i-st"]

        async def stage_worker(exchange: Exchange) -> None:
            is_free = exchange.target.endswith("stage-free")
            exchange.send(200, b"" if is_free else stand_in.stage_results(exchange))

        stage.script = stage_worker
        async with environment:
            await environment.start_gateway()
            data = stand_in.request("/svc/x", Deadline_Remaining="8000", Pieces="1", Piece_Key="k")
            sending = asyncio.create_task(environment.send(data))

            def calls(name: str) -> int:
                return sum(item.target.endswith(name) for item in stage.exchanges)

            while calls("stage-run") < 2:
                await asyncio.sleep(0.01)
            async with asyncio.timeout(0.4):
                while calls("stage-free") < 2:
                    await asyncio.sleep(0.01)
            assert (await sending).endswith(b"0\r\n\r\n")

    stand_in.run(main)


class Ending:
    """Plays a script and records when it ended, also if its connection was closed."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.started = asyncio.Event()
        self.ended = asyncio.Event()

    async def __call__(self, exchange: Exchange) -> None:
        self.started.set()
        try:
            await self.script(exchange)
        finally:
            self.ended.set()


# Time within which a target must be left after another one has the stream.
HANDOVER_LIMIT_S = 0.4


@pytest.mark.parametrize(
    ("second", "keeps_first"),
    [
        pytest.param(_rest, False, id="the-other-takes-it"),
        pytest.param(_queue, True, id="the-first-goes-on"),
    ],
)
def test_only_one_target_keeps_a_stream_that_stalled(second: Script, keeps_first: bool) -> None:
    """Guards against a request that stays at work at two targets."""

    async def main() -> None:
        first, other = Ending(_silent_after(2)), Ending(second)
        async with _engines(first, other) as environment:
            await environment.start_gateway()
            data = stand_in.request("/svc/x", Deadline_Remaining="8000")
            sending = asyncio.create_task(environment.send(data))
            await other.started.wait()
            kept, left = (first, other) if keeps_first else (other, first)
            if keeps_first:
                assert not left.ended.is_set()
                await kept.ended.wait()
            async with asyncio.timeout(HANDOVER_LIMIT_S):
                await left.ended.wait()
            assert (await sending).endswith(b"0\r\n\r\n")

    stand_in.run(main)
