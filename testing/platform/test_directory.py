"""Tests the gateway's view of routes and targets under store failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs
import platform_stand_in as stand_in
import pytest

from sesamehold.process.gateway import daemon


async def _ok(exchange: stand_in.Exchange) -> None:
    exchange.send(200, b"answer")


def _site(count: int = 2) -> stand_in.GatewayEnvironment:
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", "idempotent")]
    for index in range(count):
        site.add_worker(f"i-{index}", "svc", _ok)
    site.publish()
    return site


def _usable(gateway: daemon.GatewayDaemon) -> set[str]:
    return {target.target_id for target in gateway.state.directory.usable("svc")}


async def _wait_until(condition: Callable[[], bool], limit_s: float = 3.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_requests_get_503_before_the_first_configuration() -> None:
    """Guards against 404 or 401 from a host that has no configuration yet."""

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
def test_published_change_is_applied(
    change: Callable[[stand_in.GatewayEnvironment], None], usable: set[str]
) -> None:
    """Guards against sending work to targets that are draining, removed or out of service."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _wait_until(lambda: len(_usable(gateway)) == 2)
            change(site)
            await _wait_until(lambda: _usable(gateway) == usable)

    stand_in.run(main)


def test_store_is_listed_again_in_pages_after_history_loss() -> None:
    """Guards against missing a change that was compacted out of the store history."""

    async def main() -> None:
        site = _site(count=7)
        site.store.page_size = 3
        async with site:
            gateway = await site.start_gateway()
            await _wait_until(lambda: len(_usable(gateway)) == 7)
            site.store.compacted_below = site.store.revision + 2
            site.store.items["servers/i-0"] = (site.store.revision, None)
            del site.store.items["servers/i-0"]
            site.register("i-1", "svc", state="draining")
            await _wait_until(lambda: _usable(gateway) == {f"i-{index}" for index in range(2, 7)})

    stand_in.run(main)


def test_older_configuration_is_ignored() -> None:
    """Guards against routes that revert to an older version."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            site.version = 8
            site.publish()
            await _wait_until(
                lambda: gateway.state.table is not None and gateway.state.table.version == 9
            )
            site.version = 3
            site.publish()
            site.store.put("op/evacuate/z9", {})
            await _wait_until(lambda: "z9" in gateway.state.directory.zones_out)
            assert gateway.state.table is not None
            assert gateway.state.table.version == 9

    stand_in.run(main)


def test_targets_removed_during_a_store_outage_are_retained_temporarily() -> None:
    """Guards against a fleet without targets after a store outage."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _wait_until(lambda: len(_usable(gateway)) == 2)
            site.store.failing = 503
            site.store.delete("servers/i-0")
            await asyncio.sleep(0.3)
            site.store.failing = None
            site.store.put("op/evacuate/z9", {})
            await _wait_until(lambda: "z9" in gateway.state.directory.zones_out)
            assert _usable(gateway) == {"i-0", "i-1"}
            site.register("i-0", "svc")
            await asyncio.sleep(2.5)
            assert _usable(gateway) == {"i-0", "i-1"}

    stand_in.run(main)


def test_changes_in_quick_succession_share_watch_calls() -> None:
    """Guards against one charged call for each of many changes."""

    async def main() -> None:
        site = _site(count=9)
        async with site:
            gateway = await site.start_gateway()
            await _wait_until(lambda: len(_usable(gateway)) == 9)
            calls = len(site.store.calls)
            for index in range(8):
                site.register(f"i-{index}", "svc", state="draining")
                await asyncio.sleep(0.005)
            await _wait_until(lambda: _usable(gateway) == {"i-8"})
            # The pending watch, the watch that returns the remaining changes, and the next watch.
            assert len(site.store.calls) - calls <= 3

    stand_in.run(main)


def _view(gateway: daemon.GatewayDaemon) -> tuple[frozenset[str], frozenset[str]]:
    """Returns the names of the routes in force and of the targets that may be used."""
    table = gateway.state.table
    groups = () if table is None else table.routes_by_host.values()
    return frozenset(route.name for group in groups for route in group), frozenset(_usable(gateway))


def _add_route(site: stand_in.GatewayEnvironment, name: str) -> None:
    site.routes = [*site.routes, stand_in.route(name, "idempotent")]
    site.publish()


@attrs.frozen
class _Return:
    """Return of the store from a copy that was taken before `lost` was written.

    Attributes:
        lost: Changes that the store acknowledges and loses.
        written: Changes after the return.
        routes: Routes that must be in force at the end.
        usable: Targets that must be usable at the end.
        has_outage: Whether calls fail before the store returns.
    """

    lost: Callable[[stand_in.GatewayEnvironment], None] = lambda site: None
    written: Callable[[stand_in.GatewayEnvironment], None] = lambda site: None
    routes: frozenset[str] = frozenset({"svc"})
    usable: frozenset[str] = frozenset({"i-0", "i-1"})
    has_outage: bool = True

    @property
    def view(self) -> tuple[frozenset[str], frozenset[str]]:
        return self.routes, self.usable


async def _return_store(
    site: stand_in.GatewayEnvironment, gateway: daemon.GatewayDaemon, case: _Return
) -> None:
    await _wait_until(lambda: len(_usable(gateway)) == 2)
    copy = site.store.copy()
    case.lost(site)
    site.store.put("op/evacuate/z8", {})
    await _wait_until(lambda: "z8" in gateway.state.directory.zones_out)
    if case.has_outage:
        site.store.failing = 503
        count = len(site.store.calls)
        await _wait_until(lambda: len(site.store.calls) > count)
    site.store.restore(copy)
    site.store.failing = None


def _publish_again_and_add(site: stand_in.GatewayEnvironment) -> None:
    site.version -= 1
    site.publish()
    _add_route(site, "third")


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            _Return(
                lost=lambda site: _add_route(site, "second"),
                written=_publish_again_and_add,
                routes=frozenset({"svc", "second", "third"}),
            ),
            id="route-added",
        ),
        pytest.param(
            _Return(
                lost=lambda site: _add_route(site, "second"),
                written=lambda site: _add_route(site, "third"),
                routes=frozenset({"svc", "second", "third"}),
            ),
            id="route-added-at-the-revision-of-a-lost-one",
        ),
        pytest.param(
            _Return(
                written=lambda site: site.register("i-0", "svc", state="draining"),
                usable=frozenset({"i-1"}),
            ),
            id="target-drains",
        ),
        pytest.param(
            _Return(
                written=lambda site: site.register("i-0", "svc", state="draining"),
                usable=frozenset({"i-1"}),
                has_outage=False,
            ),
            id="return-between-two-calls",
        ),
        pytest.param(
            _Return(
                lost=lambda site: site.store.delete("servers/i-0"),
                written=lambda site: site.register("i-0", "svc", born=2),
            ),
            id="target-starts-again",
        ),
        pytest.param(
            _Return(
                lost=lambda site: site.store.put("op/evacuate/z1", {}),
                written=lambda site: site.store.put("op/evacuate/z1", {}),
                usable=frozenset(),
            ),
            id="zone-out",
        ),
    ],
)
def test_change_after_the_store_returned_from_an_older_copy_is_in_force(case: _Return) -> None:
    """Guards against changes that are skipped because their revisions were given out before."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _return_store(site, gateway, case)
            case.written(site)
            await _wait_until(lambda: _view(gateway) == case.view, 5.0)
            await asyncio.sleep(0.5)
            assert _view(gateway) == case.view

    stand_in.run(main)


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            _Return(
                lost=lambda site: _add_route(site, "second"),
                routes=frozenset({"svc", "second"}),
            ),
            id="route-added",
        ),
        pytest.param(
            _Return(
                lost=lambda site: site.register("i-0", "svc", state="draining"),
                usable=frozenset({"i-1"}),
            ),
            id="target-drains",
        ),
        pytest.param(
            _Return(lost=lambda site: site.store.delete("servers/i-0"), usable=frozenset({"i-1"})),
            id="target-left",
        ),
        pytest.param(
            _Return(lost=lambda site: site.store.put("op/evacuate/z1", {}), usable=frozenset()),
            id="zone-out",
        ),
    ],
)
def test_older_copy_of_the_store_takes_nothing_back(case: _Return) -> None:
    """Guards against a lost change that is undone before it is written again."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            await _return_store(site, gateway, case)
            for _ in range(15):
                await asyncio.sleep(0.1)
                assert _view(gateway) == case.view

    stand_in.run(main)


def test_lost_change_that_nobody_writes_again_is_undone_in_time() -> None:
    """Guards against a zone that stays out of service although the store does not say so."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            case = _Return(lost=lambda site: site.store.put("op/evacuate/z1", {}))
            await _return_store(site, gateway, case)
            await _wait_until(lambda: _view(gateway) == case.view, 6.0)

    stand_in.run(main)


def test_store_that_returned_from_an_older_copy_is_listed_once() -> None:
    """Guards against a host that lists the store again and again after its return."""

    async def main() -> None:
        site = _site()
        async with site:
            gateway = await site.start_gateway()
            copy = site.store.copy()
            site.store.put("op/evacuate/z8", {})
            await _wait_until(lambda: "z8" in gateway.state.directory.zones_out)
            site.store.calls.clear()
            # A watch that ends without a change is followed by the next one without a delay.
            await _wait_until(lambda: site.store.calls.count("watch") == 2, 4.0)
            site.store.restore(copy)
            site.store.calls.clear()
            await asyncio.sleep(1.0)
            assert site.store.calls.count("range") == 1
            assert len(site.store.calls) <= 3

    stand_in.run(main)
