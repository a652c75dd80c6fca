"""Guards what a gateway believes of routes and targets, while the store misbehaves."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import platform_stand_in as stand_in
import pytest

from sesamehold.process.gateway import daemon


async def _ok(exchange: stand_in.Exchange) -> None:
    exchange.send(200, b"answer")


def _site(count: int = 2) -> stand_in.Site:
    site = stand_in.Site()
    site.routes = [stand_in.route("svc", "idempotent")]
    for index in range(count):
        site.add_worker(f"i-{index}", "svc", _ok)
    site.publish()
    return site


def _usable(gateway: daemon.GatewayDaemon) -> set[str]:
    return {target.target_id for target in gateway.state.directory.usable("svc")}


async def _until(condition: Callable[[], bool], limit_s: float = 3.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_without_a_configuration_nothing_is_denied() -> None:
    """Guards against 404 or 401 of a host that knows nothing yet."""

    async def main() -> None:
        site = _site()
        site.store.failing = 503
        async with site:
            await site.start_gateway(ready=False)
            answer = await site.send(stand_in.request("/svc/x"))
            assert answer.startswith(b"HTTP/1.1 503")
            assert b"Retry-After" in answer
            ready = stand_in.request("/", method="GET", body=b"")
            answer = await site.send(ready, address=site.readiness)
            assert answer.startswith(b"HTTP/1.1 503")

    stand_in.run(main)


@pytest.mark.parametrize(
    ("change", "usable"),
    [
        pytest.param(
            lambda site: site.register("i-0", "svc", state="draining"), {"i-1"}, id="draining"
        ),
        pytest.param(lambda site: site.store.delete("servers/i-0"), {"i-1"}, id="gone"),
        pytest.param(lambda site: site.store.put("servers/i-0", b"\xff"), {"i-1"}, id="unreadable"),
        pytest.param(lambda site: site.store.put("op/evacuate/z1", {}), set(), id="evacuated"),
        pytest.param(
            lambda site: site.register("i-0", "svc", zone="z2"), {"i-0", "i-1"}, id="moved"
        ),
    ],
)
def test_change_is_followed(change: Callable[[stand_in.Site], None], usable: set[str]) -> None:
    """Guards against work for targets that leave."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _until(lambda: len(_usable(gateway)) == 2)
            change(site)
            await _until(lambda: _usable(gateway) == usable)

    stand_in.run(main)


def test_lost_history_is_read_again_in_pages() -> None:
    """Guards against a change that is missed when the store forgets it."""

    async def main() -> None:
        site = _site(count=7)
        site.store.page_size = 3
        async with site:
            gateway = await site.start_gateway()
            await _until(lambda: len(_usable(gateway)) == 7)
            site.store.compacted_below = site.store.revision + 2
            site.store.items["servers/i-0"] = (site.store.revision, None)
            del site.store.items["servers/i-0"]
            site.register("i-1", "svc", state="draining")
            await _until(lambda: _usable(gateway) == {f"i-{index}" for index in range(2, 7)})

    stand_in.run(main)


def test_older_configuration_does_not_come_back() -> None:
    """Guards against routes that revert."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            site.version = 8
            site.publish()
            await _until(
                lambda: gateway.state.table is not None and gateway.state.table.version == 9
            )
            site.version = 3
            site.publish()
            site.store.put("op/evacuate/z9", {})
            await _until(lambda: "z9" in gateway.state.directory.zones_out)
            assert gateway.state.table is not None
            assert gateway.state.table.version == 9

    stand_in.run(main)


def test_entries_that_lapse_while_the_store_is_away_stay_for_a_while() -> None:
    """Guards against a fleet without targets after an outage of the store."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _until(lambda: len(_usable(gateway)) == 2)
            site.store.failing = 503
            site.store.delete("servers/i-0")
            await asyncio.sleep(0.3)
            site.store.failing = None
            site.store.put("op/evacuate/z9", {})
            await _until(lambda: "z9" in gateway.state.directory.zones_out)
            assert _usable(gateway) == {"i-0", "i-1"}
            site.register("i-0", "svc")
            await asyncio.sleep(2.5)
            assert _usable(gateway) == {"i-0", "i-1"}

    stand_in.run(main)


def test_changes_that_come_together_share_a_call() -> None:
    """Guards the price of calls against one call for each of many changes."""

    async def main() -> None:
        site = _site(count=9)
        async with site:
            gateway = await site.start_gateway()
            await _until(lambda: len(_usable(gateway)) == 9)
            calls = len(site.store.calls)
            for index in range(8):
                site.register(f"i-{index}", "svc", state="draining")
                await asyncio.sleep(0.005)
            await _until(lambda: _usable(gateway) == {"i-8"})
            # The watch that waits, the one with the rest, and the next one.
            assert len(site.store.calls) - calls <= 3

    stand_in.run(main)
