"""Tests that an odd entry of another writer in the store costs nothing but itself."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Callable
import json
import re
from typing import Any

import hypothesis
from hypothesis import strategies
import platform_stand_in as stand_in
import pytest

from sesamehold.connection.gateway import gossip
from sesamehold.connection.gateway import stage_codec
from sesamehold.platform import published
from sesamehold.platform import stage_calls
from sesamehold.process import listening
from sesamehold.process.gateway import daemon
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import target_restrictions
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

ODD_KEY = "servers/a-odd"
WORKER = {
    "service": '"svc"',
    "address": '"10.128.0.9:8080"',
    "zone": '"z1"',
    "version": '"v1"',
    "slots": "6",
    "state": '"ready"',
    "coldRemainingMs": "0",
    "sequence": "1",
    "born": "1",
}
NESTED = "[" * 200_000 + "]" * 200_000
LONG_TEXT = json.dumps("x" * 100_000)
MAX_REASON_LENGTH = 300


def _object(fields: dict[str, str]) -> str:
    return "{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}"


def _worker(**changes: str) -> bytes:
    return _object({**WORKER, **changes}).encode()


def _entry(key: str = ODD_KEY, **changes: str | None) -> str:
    fields: dict[str, str | None] = {
        "key": json.dumps(key),
        "value": json.dumps(base64.b64encode(_worker()).decode()),
        "revision": "3",
        "created": "1",
        "lease": "0",
        **changes,
    }
    return _object({name: text for name, text in fields.items() if text is not None})


_ODD_NUMBERS = {
    "too-large": "1e999",
    "too-small": "-1e999",
    "not-a-number": "NaN",
    "400-digits": "1" + "0" * 400,
    "400-digits-negative": "-1" + "0" * 400,
    "5000-digits": "1" + "0" * 5_000,
    "text": '"1"',
    "boolean": "true",
    "null": "null",
    "list": "[1]",
    "nested": NESTED,
}
_ODD_WHOLE_NUMBERS = {"fraction": "1.5", "negative": "-1", "beyond-64-bits": str(2**64)}
_ODD_ADDRESSES = {
    "port-0": "10.128.0.9:0",
    "port-99999": "10.128.0.9:99999",
    "port-of-16-digits": "10.128.0.9:1234567890123456",
    "port-negative": "10.128.0.9:-1",
    "port-with-sign": "10.128.0.9:+80",
    "port-with-space": "10.128.0.9: 80",
    "port-superscript": "10.128.0.9:²",
    "port-arabic-digits": "10.128.0.9:٨٠",
    "no-port": "10.128.0.9:",
    "host-name": "localhost:80",
    "no-host": ":80",
    "ip-too-large": "999.1.1.1:80",
    "ip-too-short": "10.1:80",
    "ip-version-6": "[::1]:80",
    "ip-unspecified": "0.0.0.0:80",
    "ip-multicast": "224.0.0.1:80",
    "line-break": "10.0.0.1\r\nX: y:80",
    "surrogate": "10.0.0.\ud800:80",
}
ODD_VALUES: dict[str, bytes] = {
    **{f"cold-{name}": _worker(coldRemainingMs=text) for name, text in _ODD_NUMBERS.items()},
    **{f"slots-{name}": _worker(slots=text) for name, text in _ODD_NUMBERS.items()},
    **{f"born-{name}": _worker(born=text) for name, text in _ODD_NUMBERS.items()},
    **{f"slots-{name}": _worker(slots=text) for name, text in _ODD_WHOLE_NUMBERS.items()},
    **{f"born-{name}": _worker(born=text) for name, text in _ODD_WHOLE_NUMBERS.items()},
    **{
        f"address-{name}": _worker(address=json.dumps(text))
        for name, text in _ODD_ADDRESSES.items()
    },
    **{
        f"{field}-{name}": _worker(**{field: text})
        for field in ("service", "address", "zone", "state")
        for name, text in {
            "surrogate": '"\\ud800"',
            "nul": '"a\\u0000b"',
            "long": LONG_TEXT,
            "nested": NESTED,
            "number": "1e999",
        }.items()
    },
    "nested": NESTED.encode(),
    "nested-objects": (b'{"a":' * 200_000) + b"1" + b"}" * 200_000,
    "nested-in-unread-field": _worker(later=NESTED),
    "duplicate-field": _worker()[:-1] + b',"address":"10.128.0.9:99999"}',
    "empty": b"",
    "null": b"null",
    "list": b"[1]",
    "not-text": b"\xff\xfe\x00",
}
ODD_KEYS = {
    "no-id": "servers/",
    "line-break": "servers/a\r\nX: y",
    "surrogate": "servers/a\ud800",
    "nul": "servers/a\x00b",
    "space": "servers/a b",
    "not-ascii": "servers/é",
    "long": "servers/" + "a" * 100_000,
}
_ODD_ENTRIES = {
    **{
        f"revision-{name}": _entry(revision=text)
        for name, text in {**_ODD_NUMBERS, **_ODD_WHOLE_NUMBERS}.items()
        if name != "nested"
    },
    "revision-missing": _entry(revision=None),
    "value-missing": _entry(value=None),
    "value-null": _entry(value="null"),
    "value-number": _entry(value="7"),
    "value-list": _entry(value="[]"),
    "value-no-base64": _entry(value='"***"'),
    "value-not-ascii": _entry(value='"é"'),
    "value-surrogate": _entry(value='"\\ud800"'),
    "key-missing": _object({"value": '""', "revision": "3"}),
    "key-null": _object({"key": "null", "value": '""', "revision": "3"}),
    "key-number": _object({"key": "7", "value": '""', "revision": "3"}),
    "key-list": _object({"key": "[]", "value": '""', "revision": "3"}),
    "key-empty": _object({"key": '""', "value": '""', "revision": "3"}),
    "entry-null": "null",
    "entry-number": "7",
    "entry-text": '"text"',
    "entry-list": "[]",
}


def _put_value(value: bytes) -> Callable[[stand_in.StoreStandIn], None]:
    return lambda served: served.put(ODD_KEY, value)


def _put_key(key: str) -> Callable[[stand_in.StoreStandIn], None]:
    return lambda served: served.put(key, _worker())


def _put_raw(text: str) -> Callable[[stand_in.StoreStandIn], None]:
    return lambda served: served.put_raw(ODD_KEY, text)


ODD_ENTRIES = [
    *(pytest.param(_put_value(value), id=name) for name, value in ODD_VALUES.items()),
    *(pytest.param(_put_key(key), id=f"key-{name}") for name, key in ODD_KEYS.items()),
    *(pytest.param(_put_raw(text), id=f"entry-{name}") for name, text in _ODD_ENTRIES.items()),
]


async def _ok(exchange: stand_in.Exchange) -> None:
    exchange.send(200, b"answer")


def _site() -> stand_in.GatewayEnvironment:
    """Returns a site whose target `i-0` is registered and whose target `i-1` is not yet."""
    site = stand_in.GatewayEnvironment()
    site.routes = [stand_in.route("svc", "idempotent")]
    for target_id in ("i-0", "i-1"):
        site.add_worker(target_id, "svc", _ok)
    site.store.delete("servers/i-1")
    site.publish()
    return site


def _usable(gateway: daemon.GatewayDaemon) -> set[str]:
    return {target.target_id for target in gateway.state.directory.usable("svc")}


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(3.0):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture(autouse=True)
def _quick_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(directory_watcher, "CHANGE_DELAY_FRACTION", 0.01)


@pytest.mark.parametrize("is_listed", [True, False], ids=["listing", "watch"])
@pytest.mark.parametrize("put_odd", ODD_ENTRIES)
def test_odd_entry_ends_no_watch_and_names_no_target(
    put_odd: Callable[[stand_in.StoreStandIn], None], is_listed: bool
) -> None:
    """Guards against one entry that costs the entries beside it, or all later changes."""

    async def main() -> None:
        site = _site()
        async with site, asyncio.timeout(6.0):
            if is_listed:
                put_odd(site.store)
            gateway = await site.start_gateway()
            if not is_listed:
                put_odd(site.store)
            site.register("i-1", "svc")
            await _wait_until(lambda: _usable(gateway) == {"i-0", "i-1"})
            site.register("i-0", "svc", state="draining")
            await _wait_until(lambda: _usable(gateway) == {"i-1"})
            assert (await site.send(stand_in.request("/svc/x"))).startswith(b"HTTP/1.1 200")

    stand_in.run(main)


@pytest.mark.parametrize(
    "put_odd",
    [
        pytest.param(lambda served: served.put("servers/i-0", b"{"), id="unreadable"),
        pytest.param(
            lambda served: served.put("servers/i-0", _worker(coldRemainingMs="1e999")), id="number"
        ),
        pytest.param(
            lambda served: served.put("servers/i-0", _worker(address='"10.0.0.1:0"')), id="port"
        ),
        pytest.param(
            lambda served: served.put_raw("servers/i-0", _entry("servers/i-0", revision="1e999")),
            id="revision",
        ),
        pytest.param(
            lambda served: served.put_raw("servers/i-0", _entry("servers/i-0", value=None)),
            id="value",
        ),
    ],
)
def test_target_whose_entry_becomes_odd_is_unused_until_it_is_valid_again(
    put_odd: Callable[[stand_in.StoreStandIn], None],
) -> None:
    """Guards against sends to a target whose entry no longer describes one."""

    async def main() -> None:
        site = _site()
        site.register("i-1", "svc")
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            await _wait_until(lambda: _usable(gateway) == {"i-0", "i-1"})
            put_odd(site.store)
            await _wait_until(lambda: _usable(gateway) == {"i-1"})
            site.store.raw_entries.clear()
            site.register("i-0", "svc")
            await _wait_until(lambda: _usable(gateway) == {"i-0", "i-1"})

    stand_in.run(main)


@pytest.mark.parametrize("is_listed", [True, False], ids=["listing", "watch"])
@pytest.mark.parametrize(
    "changes",
    [
        pytest.param({"value": None}, id="value-missing"),
        pytest.param({"value": '"\\ud800"'}, id="value-surrogate"),
        pytest.param({"revision": "1e999"}, id="revision-too-large"),
        pytest.param({"revision": None}, id="revision-missing"),
    ],
)
def test_odd_entry_of_an_evacuation_takes_the_zone_out(
    changes: dict[str, str | None], is_listed: bool
) -> None:
    """Guards against sends to a zone that is taken out by an entry that is partly unreadable."""

    async def main() -> None:
        site = _site()
        key = "op/evacuate/z9"
        async with site, asyncio.timeout(6.0):
            if is_listed:
                site.store.put_raw(key, _entry(key, **changes))
            gateway = await site.start_gateway()
            if not is_listed:
                site.store.put_raw(key, _entry(key, **changes))
            await _wait_until(lambda: gateway.state.directory.zones_out == {"z9"})

    stand_in.run(main)


def test_page_without_a_readable_key_is_no_end_of_the_listing() -> None:
    """Guards against a listing that is taken for complete and withdraws the targets after it."""

    async def main() -> None:
        site = _site()
        site.store.page_size = 3
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            for index in range(3):
                site.store.put_raw(f"a{index}", "null")
            site.store.compacted_below = site.store.revision + 1
            site.store.put("op/evacuate/z9", {})
            calls = site.store.calls
            await _wait_until(lambda: calls[-2:] == ["range", "range"])
            assert _usable(gateway) == {"i-0"}
            for index in range(3):
                del site.store.raw_entries[f"a{index}"]
            await _wait_until(lambda: gateway.state.directory.zones_out == {"z9"})
            assert _usable(gateway) == {"i-0"}

    stand_in.run(main)


CONFIGURATION: dict[str, str] = {
    "version": "7",
    "routes": _object(
        {
            "name": '"r"',
            "host": '"h.example"',
            "prefix": '"/svc/"',
            "kind": '"idempotent"',
            "timeoutMs": "1000",
            "service": '"svc"',
        }
    ).join("[]"),
}


def _configuration_with(path: str, text: str) -> bytes:
    """Returns a configuration with one odd field; the path names its section and field."""
    section, _, field = path.rpartition(".")
    if not section:
        return _object({**CONFIGURATION, field: text}).encode()
    route = {**json.loads(CONFIGURATION["routes"])[0], "stages": [{"service": "st"}]}
    service = {
        "name": "svc",
        "pieces": {"slots": 1, "batch": 1, "callMs": 1, "itemMs": 1, "roomMb": 1, "handleS": 1},
        "engine": {"slots": 1, "cacheTokens": 1},
    }
    document: dict[str, Any] = {
        "version": 7,
        "routes": [route],
        "services": [service],
        "limits": {},
        "tenants": [{"name": "a", "keys": ["k"]}],
    }
    part: Any = document
    for name in section.split("."):
        part = part[name][0] if isinstance(part[name], list) else part[name]
    part[field] = "ODD"
    return json.dumps(document).replace('"ODD"', text).encode()


_CONFIGURATION_NUMBERS = [
    "version",
    "routes.timeoutMs",
    "routes.aimMs",
    "routes.gapAimMs",
    "routes.priority",
    "routes.attempts",
    "routes.stages.bytes",
    "services.connectionLimit",
    "services.coldPerS",
    "services.pieces.slots",
    "services.pieces.batch",
    "services.pieces.callMs",
    "services.pieces.itemMs",
    "services.pieces.roomMb",
    "services.pieces.handleS",
    "services.engine.cacheTokens",
    "limits.idleMs",
    "limits.headerMs",
    "tenants.priority",
]


@pytest.mark.parametrize("name", ["too-large", "not-a-number", "400-digits", "list", "nested"])
@pytest.mark.parametrize("path", _CONFIGURATION_NUMBERS)
def test_configuration_with_an_odd_number_is_reported(path: str, name: str) -> None:
    """Guards against a configuration whose numbers break the code that computes with them."""
    value = _configuration_with(path, _ODD_NUMBERS[name])
    (event,) = published.decode(store_replica.StoreItem("op/config", value, 9), now_ms=1_000)
    assert isinstance(event, directory_events.InvalidItem)
    assert len(event.reason) <= MAX_REASON_LENGTH


@pytest.mark.parametrize(
    "path",
    ["routes.name", "routes.host", "routes.service", "services.name", "tenants.name"],
)
def test_configuration_with_a_lone_surrogate_is_reported(path: str) -> None:
    """Guards against a name that no header, message or metric can hold."""
    value = _configuration_with(path, '"a\\ud800"')
    (event,) = published.decode(store_replica.StoreItem("op/config", value, 9), now_ms=1_000)
    assert isinstance(event, directory_events.InvalidItem)


def test_odd_configuration_leaves_the_one_in_force_and_the_watch() -> None:
    """Guards against a configuration that ends the watch with an uncaught overflow."""

    async def main() -> None:
        site = _site()
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway()
            value = _configuration_with("routes.timeoutMs", "1e999")
            site.store.put("op/config", value)
            site.register("i-1", "svc")
            await _wait_until(lambda: _usable(gateway) == {"i-0", "i-1"})
            assert gateway.state.table is not None
            assert gateway.state.table.version == 1
            site.publish()
            await _wait_until(lambda: gateway.state.table.version == 2)  # type: ignore[union-attr]

    stand_in.run(main)


# ---- decoders ----------------------------------------------------------------------------------


def _check_usable(target: targets.Target) -> None:
    """Passes a target through the code that holds its fields; raises if one cannot."""
    address = listening.Address.parse(target.address)
    assert 0 < address.port < 65_536
    assert re.fullmatch(r"[0-9]{1,3}(\.[0-9]{1,3}){3}", address.ip)
    statement = target_restrictions.StatementReport(target.target_id, target.born_ms, 1.0, 1)
    gossip.encode(gossip.GossipMessage((), statements=(statement,)))
    piece = ports.CompletedPiece(0, 0, "h", target.target_id, target.born_ms)
    stage_codec.progress_to_wire("r", [piece]).SerializeToString()
    head = stage_calls.PlatformStageCalls().encode_free_call(target, ["h"])
    assert head.count(b"\r\n") == 6
    json.dumps([target.service, target.zone], ensure_ascii=False).encode()
    assert target.slots >= 0
    assert 0 <= target.cold_until_ms < 2**64


def _check_target_events(key: str, value: bytes) -> None:
    events = published.decode(store_replica.StoreItem(key, value, 9), now_ms=1_000)
    match events:
        case (directory_events.TargetPublished(target=target),):
            _check_usable(target)
        case (directory_events.TargetWithdrawn(), directory_events.InvalidItem(reason=reason)):
            assert len(reason) <= MAX_REASON_LENGTH
        case _:
            raise AssertionError(events)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        *(pytest.param(ODD_KEY, value, id=name) for name, value in ODD_VALUES.items()),
        *(pytest.param(key, _worker(), id=f"key-{name}") for name, key in ODD_KEYS.items()),
    ],
)
def test_odd_entry_is_decoded_as_invalid_with_a_short_reason(key: str, value: bytes) -> None:
    """Guards against a target that later code cannot hold, and against long log lines."""
    events = published.decode(store_replica.StoreItem(key, value, 9), now_ms=1_000)
    assert [type(event) for event in events] == [
        directory_events.TargetWithdrawn,
        directory_events.InvalidItem,
    ]
    _check_target_events(key, value)


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.integers(min_value=10**300, max_value=10**400)
    | strategies.floats()
    | strategies.text(strategies.characters(codec=None), max_size=20)
    | strategies.sampled_from(["1.2.3.4:80", "1.2.3.4:65536", "ready", "draining"]),
    lambda children: (
        strategies.lists(children, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), children, max_size=3)
    ),
    max_leaves=6,
)


@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(
    field=strategies.sampled_from([*WORKER, "later"]),
    odd=JSON_VALUES,
    key=strategies.sampled_from([ODD_KEY]) | strategies.text(max_size=8).map("servers/".__add__),
)
def test_any_field_of_an_entry_is_valid_or_reported(field: str, odd: Any, key: str) -> None:
    """Guards against values that nobody thought of."""
    _check_target_events(key, _worker(**{field: json.dumps(odd)}))


@hypothesis.settings(max_examples=150, deadline=None, database=None)
@hypothesis.given(
    key=strategies.sampled_from([ODD_KEY, "op/config", "op/evacuate/z1", "other"]),
    value=strategies.binary(max_size=60) | JSON_VALUES.map(lambda odd: json.dumps(odd).encode()),
)
def test_any_value_is_decoded_without_an_error(key: str, value: bytes) -> None:
    """Guards against bytes that a decoder raises for."""
    events = published.decode(store_replica.StoreItem(key, value, 9), now_ms=1_000)
    assert all(
        len(event.reason) <= MAX_REASON_LENGTH
        for event in events
        if isinstance(event, directory_events.InvalidItem)
    )


@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(path=strategies.sampled_from(_CONFIGURATION_NUMBERS), odd=JSON_VALUES)
def test_any_number_of_a_configuration_is_valid_or_reported(path: str, odd: Any) -> None:
    """Guards against a configuration that a decoder raises for."""
    value = _configuration_with(path, json.dumps(odd))
    (event,) = published.decode(store_replica.StoreItem("op/config", value, 9), now_ms=1_000)
    assert isinstance(event, directory_events.ConfigurationPublished | directory_events.InvalidItem)
