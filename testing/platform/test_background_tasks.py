"""Tests that the background tasks of a gateway go on after an unexpected error."""

from __future__ import annotations

import asyncio
from typing import Any

import logbook
import platform_stand_in as stand_in
import pytest

from sesamehold.connection.gateway import fleet
from sesamehold.connection.gateway import target_pool
from sesamehold.platform import stage_calls
from sesamehold.platform import store
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import stage_scheduler


async def _ok(exchange: stand_in.Exchange) -> None:
    exchange.send(200, b"answer")


def _site() -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", "idempotent")]
    site.add_worker("i-0", "svc", _ok)
    site.publish()
    return site


@pytest.mark.parametrize(
    ("task", "owner", "method"),
    [
        pytest.param("watch", store.PlatformStore, "list_items", id="listing"),
        pytest.param("watch", store.PlatformStore, "watch", id="watch"),
        pytest.param("heartbeats", hosts.HostTable, "next_heartbeat", id="heartbeats"),
        pytest.param("replica-sync", fleet.Fleet, "_peer_with_newer_data", id="replica-sync"),
        pytest.param("tick", target_pool.TargetPool, "close_idle", id="tick"),
    ],
)
def test_task_goes_on_after_an_unexpected_error(
    task: str, owner: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a background task that ends silently while the process serves on."""
    original = getattr(owner, method)
    calls = 0

    def fail_once(*args: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise OverflowError("an odd value " + "x" * 10_000)
        return original(*args)

    monkeypatch.setattr(owner, method, fail_once)

    async def main() -> None:
        site = _site()
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            while calls < 2:
                await asyncio.sleep(0.01)
            count = gateway.state.metrics.registry.get_sample_value(
                "sesamehold_task_failures_total", {"task": task}
            )
            assert count == 1

    with logbook.TestHandler() as handler:
        stand_in.run(main)
    (record,) = [item for item in handler.records if item.message == "task.failed"]
    assert (record.extra["task"], record.extra["error"]) == (task, "OverflowError")
    assert len(record.extra["reason"]) <= 300


def test_item_that_raises_an_unexpected_error_costs_no_other_item(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against items that are kept in the replica but never applied."""
    original = store.PlatformStore.decode

    def fail_for_one(self: store.PlatformStore, item: Any, now_ms: int) -> Any:
        if item.key == "servers/a-odd":
            raise OverflowError("an odd value")
        return original(self, item, now_ms)

    monkeypatch.setattr(store.PlatformStore, "decode", fail_for_one)

    async def main() -> None:
        site = _site()
        site.store.put("servers/a-odd", {})
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            count = gateway.state.metrics.registry.get_sample_value(
                "sesamehold_invalid_items_total", {"kind": "unexpected"}
            )
            assert count == 1

    with logbook.TestHandler() as handler:
        stand_in.run(main)
    (record,) = [item for item in handler.records if item.message == "item.unreadable"]
    assert record.extra["key"] == "servers/a-odd"


@pytest.mark.parametrize(
    ("key", "value", "kind"),
    [
        pytest.param("servers/a-odd", b"{", "item", id="value"),
        pytest.param("servers/a-odd", None, "entry", id="entry"),
    ],
)
def test_invalid_item_is_logged_and_counted(key: str, value: bytes | None, kind: str) -> None:
    """Guards against odd entries that leave no trace."""

    async def main() -> None:
        site = _site()
        if value is None:
            site.store.put_raw(key, '{"key": 7, "revision": 1}')
        else:
            site.store.put(key, value)
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            count = gateway.state.metrics.registry.get_sample_value(
                "sesamehold_invalid_items_total", {"kind": kind}
            )
            assert count == 1

    with logbook.TestHandler() as handler:
        stand_in.run(main)
    assert [item for item in handler.records if item.message == "item.unreadable"]


async def _stage_worker(exchange: stand_in.Exchange) -> None:
    is_free = exchange.target.endswith("stage-free")
    exchange.send(200, b"" if is_free else stand_in.stage_results(exchange))


@pytest.mark.parametrize(
    ("owner", "method"),
    [
        pytest.param(stage_scheduler.StageScheduler, "plan", id="plan"),
        pytest.param(stage_calls.PlatformStageCalls, "decode_results", id="call"),
    ],
)
def test_stages_go_on_after_an_unexpected_error(
    owner: type, method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against requests that wait for stages that nobody plans any more."""
    original = getattr(owner, method)
    calls = 0

    def fail_once(*args: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == 1:
            raise OverflowError("an odd value")
        return original(*args)

    monkeypatch.setattr(owner, method, fail_once)

    async def main() -> None:
        site = _site()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [stand_in.route("svc", "idempotent", stages=stages)]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        site.add_worker("i-1", "st", _stage_worker)
        site.publish()
        async with site, asyncio.timeout(6.0):
            await site.start_gateway()
            data = stand_in.request("/svc/x", "r1", Pieces="1", Piece_Key="k")
            assert (await site.send(data)).startswith(b"HTTP/1.1 200")

    with logbook.TestHandler() as handler:
        stand_in.run(main)
    assert [item for item in handler.records if item.message == "stage.error"]
