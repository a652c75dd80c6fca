"""Tests how eras of the store are read, and how forms of its items are compared."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web
import platform_stand_in as stand_in
import pytest

from sesamehold.platform import published
from sesamehold.platform import store
from sesamehold.process import listening
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import item_order
from sesamehold.process.gateway import store_replica


@pytest.mark.parametrize(
    ("eras", "outcome"),
    [
        pytest.param(("3", "3"), 3, id="one-era"),
        pytest.param((None, None), 0, id="store-without-eras"),
        pytest.param(("3", "4"), "era changed between pages", id="return-between-pages"),
        pytest.param(("x", "x"), "malformed answer: ValueError", id="no-number"),
        pytest.param(("-1", "-1"), "malformed answer: ValueError", id="negative"),
        pytest.param((str(2**20), str(2**20)), "malformed answer: ValueError", id="too-large"),
    ],
)
def test_listing_has_the_era_of_all_its_pages(
    eras: tuple[str | None, str | None], outcome: int | str
) -> None:
    """Guards against a listing that joins items from before and after a return of the store."""
    headers = [{} if era is None else {"Store-Era": era} for era in eras]

    async def answer(request: web.Request) -> web.Response:
        index = int("after" in request.query)
        item = {"key": f"k{index}", "value": "", "revision": 4 - index}
        document = {"items": [item], "truncated": index == 0, "storeRevision": 7}
        return web.json_response(document, headers=headers[index])

    async def main() -> None:
        app = web.Application()
        app.router.add_get("/-/kv-range", answer)
        runner = web.AppRunner(app)
        await runner.setup()
        address = listening.Address(stand_in.HOST, stand_in.free_port())
        await web.TCPSite(runner, address.ip, address.port).start()
        client = store.PlatformStore.from_config(address)
        try:
            listing = await client.list_items("")
        finally:
            await client.close()
            await runner.cleanup()
        if listing.is_ok():
            assert {listing.ok.era, *(item.era for item in listing.ok.items)} == {outcome}
        else:
            assert listing.error.reason == outcome

    stand_in.run(main)


class _Decoder:
    """Decodes items as the store's client does, without a connection."""

    def decode(
        self, item: store_replica.StoreItem, now_ms: int
    ) -> tuple[directory_events.DirectoryEvent, ...]:
        return published.decode(item, now_ms)


def _configuration(version: int) -> dict[str, Any]:
    return {"version": version, "routes": [], "services": []}


def _target(born: int, state: str = "ready") -> dict[str, Any]:
    fields = {"service": "svc", "address": "10.0.0.1:80", "zone": "z1"}
    return {**fields, "state": state, "born": born}


OLDER, NEWER, UNKNOWN = (
    store_replica.ItemAge.OLDER,
    store_replica.ItemAge.NEWER,
    store_replica.ItemAge.UNKNOWN,
)


@pytest.mark.parametrize(
    ("key", "item", "known", "age"),
    [
        pytest.param("op/config", _configuration(9), _configuration(8), NEWER, id="version-up"),
        pytest.param("op/config", _configuration(7), _configuration(8), OLDER, id="version-down"),
        pytest.param("op/config", _configuration(8), _configuration(8), UNKNOWN, id="version-same"),
        pytest.param("op/config", b"\xff", _configuration(8), UNKNOWN, id="unreadable"),
        pytest.param("servers/i", _target(2), _target(1, "draining"), NEWER, id="started-again"),
        pytest.param("servers/i", _target(1), _target(2), OLDER, id="earlier-start"),
        pytest.param("servers/i", _target(1, "draining"), _target(1), NEWER, id="drains"),
        pytest.param("servers/i", _target(1), _target(1, "draining"), OLDER, id="drained"),
        pytest.param("servers/i", _target(0, "draining"), _target(0), UNKNOWN, id="start-unknown"),
        pytest.param("servers/i", b"\xff", _target(1), UNKNOWN, id="target-unreadable"),
        pytest.param("op/evacuate/z1", {}, {"a": 1}, UNKNOWN, id="zone"),
    ],
)
def test_age_of_an_item_follows_from_what_it_says(
    key: str, item: Any, known: Any, age: store_replica.ItemAge
) -> None:
    """Guards against a confirmed change that waits, or is undone, after a return of the store."""
    order = item_order.DirectoryItemOrder(_Decoder())  # type: ignore[arg-type]
    forms = [
        store_replica.StoreItem(key, value if isinstance(value, bytes) else _encode(value), 5)
        for value in (item, known)
    ]
    assert order.age(*forms) is age


def _encode(value: Any) -> bytes:
    return json.dumps(value).encode()
