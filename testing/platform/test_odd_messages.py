"""Tests that odd messages of other hosts and odd answers of targets cost nothing but themselves."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import math
import random
import socket
from typing import Any

from expression import Error
from google.protobuf import message as protobuf_message
import hypothesis
from hypothesis import strategies
import platform_stand_in as stand_in
import pytest

from sesamehold.connection.gateway import gossip
from sesamehold.connection.gateway import peer_service
from sesamehold.connection.gateway import stage_codec
from sesamehold.connection.wire import gateway_pb2
from sesamehold.platform import headers
from sesamehold.platform import published
from sesamehold.platform import stage_calls
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import settings as gateway_settings
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import ports

_BEAT: dict[str, Any] = {
    "address": "127.0.0.1:9",
    "incarnation": 1,
    "beat": 1,
    "zone": "z1",
    "horizons": [1],
    "core_count": 1.0,
}


async def _ok(exchange: stand_in.Exchange) -> None:
    exchange.send(200, b"answer")


def _beat(**changes: Any) -> gateway_pb2.Gossip:
    wire = gateway_pb2.Gossip()
    wire.hosts.add(**{**_BEAT, **changes})
    return wire


def _statement(**changes: Any) -> gateway_pb2.Gossip:
    wire = gateway_pb2.Gossip()
    fields: dict[str, Any] = {"target_id": "i-0", "born_ms": 1, "max_rate_per_s": 2.0}
    wire.target_statements.add(**{**fields, **changes})
    return wire


def _load(**changes: Any) -> gateway_pb2.Gossip:
    wire = gateway_pb2.Gossip()
    fields: dict[str, Any] = {
        "address": "127.0.0.1:9",
        "incarnation": 1,
        "sequence": 1,
        "age_ms": 1,
        "targets": [7],
        "requests": [1],
        "tokens": [1],
    }
    wire.host_loads.add(**{**fields, **changes})
    return wire


def _slowdowns(**changes: Any) -> gateway_pb2.Gossip:
    fields: dict[str, Any] = {"engines": [7], "slowdown_percents": [150], "weights": [500]}
    item = gateway_pb2.EngineSlowdowns(**{**fields, **changes})
    return gateway_pb2.Gossip(engine_slowdowns=item)


ODD_GOSSIP = [
    *(
        pytest.param(_beat(address=text), id=f"address-{name}")
        for name, text in {
            "empty": "",
            "no-port": "127.0.0.1",
            "word": "word",
            "port-0": "127.0.0.1:0",
            "port-99999": "127.0.0.1:99999",
            "port-negative": "127.0.0.1:-1",
            "port-superscript": "127.0.0.1:²",
            "host-name": "no.such.host:80",
            "nul": "127.0.0.1\0:80",
            "long": "1" * 500 + ":80",
        }.items()
    ),
    *(
        pytest.param(_beat(core_count=value), id=f"cores-{value}")
        for value in (math.nan, math.inf, -math.inf, -1.0)
    ),
    pytest.param(_beat(horizons=[2**64 - 1]), id="horizon-64-bits"),
    pytest.param(_beat(incarnation=2**64 - 1, beat=2**64 - 1), id="beat-64-bits"),
    *(
        pytest.param(_statement(max_rate_per_s=value), id=f"rate-{value}")
        for value in (math.nan, math.inf, -math.inf, -1.0, 1e-45)
    ),
    pytest.param(_statement(born_ms=2**64 - 1), id="born-64-bits"),
    pytest.param(_statement(target_id=""), id="target-empty"),
    pytest.param(_statement(target_id="x" * 900), id="target-long"),
    pytest.param(_slowdowns(weights=[]), id="slowdown-weights-missing"),
    pytest.param(_slowdowns(slowdown_percents=[1, 2]), id="slowdown-left-over"),
    pytest.param(_slowdowns(slowdown_percents=[0]), id="slowdown-0"),
    pytest.param(_slowdowns(slowdown_percents=[2**32 - 1]), id="slowdown-huge"),
    pytest.param(_slowdowns(weights=[2**32 - 1]), id="slowdown-weight-huge"),
    pytest.param(
        _slowdowns(engines=range(200), slowdown_percents=[100] * 200, weights=[1] * 200),
        id="slowdown-many-engines",
    ),
    pytest.param(_load(address="word"), id="load-address"),
    pytest.param(_load(incarnation=2**64 - 1, sequence=2**64 - 1), id="load-64-bits"),
    pytest.param(_load(age_ms=2**32 - 1), id="load-age"),
    pytest.param(_load(requests=[]), id="load-requests-missing"),
    pytest.param(_load(tokens=[1, 2]), id="load-tokens-left-over"),
    pytest.param(_load(requests=[2**32 - 1]), id="load-requests-huge"),
    pytest.param(_load(tokens=[2**32 - 1]), id="load-tokens-huge"),
    pytest.param(_load(targets=[7, 7], requests=[1, 1], tokens=[1, 1]), id="load-target-twice"),
    pytest.param(
        _load(targets=range(200), requests=[1] * 200, tokens=[1] * 200), id="load-many-targets"
    ),
]


def _state() -> states.GatewayState:
    address = listening.Address(stand_in.HOST, 1)
    config = gateway_settings.GatewaySettings(
        "host-1", "z1", address, address, address, address, address
    )
    return states.GatewayState.from_config(config, clocks.SystemClock(), random.Random(1))


def _check_held(message: gossip.GossipMessage) -> None:
    """Passes a message through the code that holds its content; raises if it cannot."""
    state = _state()
    now_ms = state.clock.now_ms()
    state.hosts.merge(message.beats, now_ms)
    state.crashes.merge(message.crash_reports, now_ms)
    state.restrictions.merge(message.statements, now_ms)
    state.engine_load.merge(message.loads, now_ms)
    state.engine_slowdowns.merge(message.slowdowns)
    engine = targets.Target("i-0", 1, "s", "a:1", "z")
    work = state.engine_load.others(engine, 2, now_ms)
    assert math.isfinite(work.requests + work.tokens)
    state.hosts.leader(now_ms)
    state.crashes.take_blame_changes(now_ms)
    for address in state.hosts.alive(now_ms):
        parsed = listening.Address.parse(address)
        assert 0 < parsed.port < 65_536
        ipaddress.ip_address(parsed.ip)
    for statement in message.statements:
        target = targets.Target(statement.target_id, statement.born_ms, "s", "a:1", "z")
        for host_count in (1, 100):
            state.restrictions.try_acquire(target, host_count, now_ms)
    reply = gossip.GossipMessage(
        tuple(state.hosts.gossip_entries(now_ms)),
        tuple(state.crashes.reports(now_ms)),
        tuple(state.restrictions.reports(now_ms)),
        loads=tuple(state.engine_load.reports(now_ms)),
    )
    assert gossip.decode(gossip.encode(reply)) is not None


@pytest.mark.parametrize("wire", ODD_GOSSIP)
def test_odd_gossip_is_held_by_the_tables_that_use_it(wire: gateway_pb2.Gossip) -> None:
    """Guards against values of a datagram that break a later heartbeat or send."""
    message = gossip.decode(wire.SerializeToString())
    assert message is not None
    _check_held(message)


@pytest.mark.parametrize("wire", ODD_GOSSIP)
def test_odd_gossip_ends_no_heartbeats(wire: gateway_pb2.Gossip) -> None:
    """Guards against one datagram that makes a host silent for the other hosts."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        async with site, asyncio.timeout(6.0):
            gateway = await site.start_gateway(ready=False)
            peer = gateway.state.config.peer_address
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.bind((stand_in.HOST, 0))
                sender.setblocking(False)
                loop = asyncio.get_running_loop()
                sender.sendto(b"\xff\xff", (peer.ip, peer.port))
                sender.sendto(wire.SerializeToString(), (peer.ip, peer.port))
                await asyncio.sleep(0.15)
                beat = gateway.state.hosts.local.beat
                while gateway.state.hosts.local.beat < beat + 3:
                    await asyncio.sleep(0.01)
                question = gateway_pb2.Gossip(wants_answer=True)
                sender.sendto(question.SerializeToString(), (peer.ip, peer.port))
                answer = await asyncio.wait_for(loop.sock_recv(sender, 65_536), 1.0)
                assert gossip.decode(answer) is not None

    stand_in.run(main)


@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(
    wire=strategies.builds(
        lambda address, cores, rate, born: gateway_pb2.Gossip(
            hosts=[gateway_pb2.HostBeat(**{**_BEAT, "address": address, "core_count": cores})],
            target_statements=[
                gateway_pb2.TargetStatement(target_id="i", born_ms=born, max_rate_per_s=rate)
            ],
        ),
        strategies.text(max_size=20) | strategies.sampled_from(["1.2.3.4:80", "::1:80"]),
        strategies.floats(width=32),
        strategies.floats(width=32),
        strategies.integers(0, 2**64 - 1),
    ).map(lambda wire: wire.SerializeToString())
    | strategies.binary(max_size=200)
)
def test_any_datagram_is_dropped_or_held(wire: bytes) -> None:
    """Guards against datagrams that nobody thought of."""
    message = gossip.decode(wire)
    if message is not None:
        _check_held(message)


# ---- replicas ----------------------------------------------------------------------------------


@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(
    key=strategies.text(max_size=12).map("servers/".__add__) | strategies.just("op/config"),
    value=strategies.binary(max_size=40),
    revision=strategies.integers(0, 2**64 - 1),
    horizon=strategies.integers(0, 2**64 - 1),
)
def test_any_replica_part_is_merged_and_passed_on(
    key: str, value: bytes, revision: int, horizon: int
) -> None:
    """Guards against an item of another host that breaks the merge or its next copy."""
    part = gateway_pb2.ReplicaPart(horizon=horizon)
    part.items.add(key=key, value=value, revision=revision)
    watcher = directory_watcher.DirectoryWatcher(_state(), _SourceStub())
    peer_service.apply_reply(watcher, gateway_pb2.ReplicaReply(parts=[part]))
    asked = [gateway_pb2.ReplicaPart()]
    peer_service.replica_reply(watcher, asked).SerializeToString()


class _SourceStub:
    """Directory source whose items mean nothing."""

    def prefixes(self) -> tuple[str, ...]:
        return ("",)

    def decode(self, item: Any, now_ms: int) -> tuple[Any, ...]:
        return published.decode(item, now_ms)

    async def list_items(self, prefix: str) -> Any:
        raise NotImplementedError

    async def watch(self, prefix: str, after_revision: int, wait_ms: int) -> Any:
        raise NotImplementedError

    def close_idle(self) -> None:
        raise NotImplementedError


@hypothesis.settings(max_examples=100, deadline=None, database=None)
@hypothesis.given(data=strategies.binary(max_size=200))
def test_any_bytes_of_a_peer_call_are_refused_or_decoded(data: bytes) -> None:
    """Guards against a peer message that a codec raises for."""
    for kind, decode in (
        (gateway_pb2.StageRequest, stage_codec.request_from_wire),
        (gateway_pb2.StageOutcome, stage_codec.outcome_from_wire),
        (gateway_pb2.StageProgress, stage_codec.progress_from_wire),
        (gateway_pb2.ReplicaPart, peer_service.update_from_wire),
    ):
        try:
            wire = kind.FromString(data)
        except protobuf_message.DecodeError:
            continue
        decode(wire)


# ---- answers of targets ------------------------------------------------------------------------

_DIGITS_400 = b"9" * 400
_DIGITS_5000 = b"9" * 5_000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        pytest.param(name, value, id=f"{name.decode()}-{label}")
        for name, prefix in (
            (b"Keep-Alive", b"timeout="),
            (b"Server-Load", b"1,2,"),
            (b"Server-Limit", b""),
            (b"Retry-After", b""),
            (b"Server-Leaving", b""),
        )
        for label, value in {
            "400-digits": prefix + _DIGITS_400,
            "5000-digits": prefix + _DIGITS_5000,
            "superscript": prefix + "²".encode("latin-1"),
            "arabic-digits": prefix + "٨".encode(),
            "negative": prefix + b"-1",
            "infinite": prefix + b"inf",
        }.items()
    ],
)
def test_odd_header_of_a_target_costs_no_answer(name: bytes, value: bytes) -> None:
    """Guards against a sound answer that is lost for an odd value beside it."""

    async def answer(exchange: stand_in.Exchange) -> None:
        fields = {
            "Request-Id": exchange.request_id,
            "Server-Seal": "seal",
            "Content-Length": "6",
        }
        lines = [b"HTTP/1.1 200 X", *(f"{k}: {v}".encode() for k, v in fields.items())]
        lines.append(name + b": " + value)
        exchange.writer.write(b"\r\n".join(lines) + b"\r\n\r\nanswer")

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "non_idempotent")]
        site.add_worker("i-0", "svc", answer)
        site.publish()
        async with site, asyncio.timeout(6.0):
            await site.start_gateway()
            received = await site.send(stand_in.request("/svc/x"))
            assert received.startswith(b"HTTP/1.1 200")
            assert received.endswith(b"answer")

    stand_in.run(main)


@pytest.mark.parametrize(
    ("pieces", "status"),
    [
        pytest.param("5000000", b"400", id="too-many"),
        pytest.param("-1", b"400", id="negative"),
        pytest.param("4096", b"503", id="more-than-the-stage-can-do-in-time"),
    ],
)
def test_odd_number_of_pieces_stalls_no_other_request(pieces: str, status: bytes) -> None:
    """Guards against one request whose pieces occupy the loop of the host."""

    async def main() -> None:
        site = stand_in.GatewayEnvironment()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [
            stand_in.route("svc", "idempotent", stages=stages),
            stand_in.route("plain", "idempotent"),
        ]
        site.services["st"] = {"name": "st", "pieces": stand_in.STAGE_POOL}
        for target_id, service in (("i-0", "svc"), ("i-1", "st"), ("i-2", "plain")):
            site.add_worker(target_id, service, _ok)
        site.publish()
        async with site, asyncio.timeout(6.0):
            await site.start_gateway()
            data = stand_in.request("/svc/x", "r1", Pieces=pieces, Piece_Key="k")
            odd = asyncio.create_task(site.send(data))
            await asyncio.sleep(0.02)
            answer = await site.send(stand_in.request("/plain/x", "r2"))
            assert answer.startswith(b"HTTP/1.1 200")
            assert (await odd).split()[1] == status

    stand_in.run(main)


@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(
    status=strategies.integers(200, 599),
    pairs=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                [
                    b"Keep-Alive",
                    b"Server-Load",
                    b"Server-Limit",
                    b"Retry-After",
                    b"Server-Leaving",
                    b"Content-Length",
                    b"Request-Id",
                    b"Connection",
                ]
            ),
            strategies.binary(max_size=12)
            | strategies.integers().map(lambda number: b"%d" % number)
            | strategies.integers(10**300, 10**310).map(lambda number: b"timeout=%d" % number),
        ),
        max_size=4,
    ),
)
def test_any_answer_head_is_decoded(status: int, pairs: list[tuple[bytes, bytes]]) -> None:
    """Guards against headers of a target that the codec raises for."""
    head = headers.PlatformHeaders().decode_answer_head(status, tuple(pairs))
    assert head.idle_ms is None or math.isfinite(head.idle_ms * 0.5)


_NESTED = "[" * 200_000 + "]" * 200_000


@pytest.mark.parametrize(
    "body",
    [
        pytest.param(b'{"items":' + _NESTED.encode() + b"}", id="nested"),
        pytest.param(b'{"items":{"a":{"handle":"x"}}}', id="items-object"),
        pytest.param(b'{"items":"x"}', id="items-text"),
        pytest.param(b'{"items":null}', id="items-null"),
        pytest.param(b"1e999", id="number"),
        pytest.param(b"\xff", id="not-text"),
    ],
)
def test_odd_answer_to_a_stage_call_is_malformed(body: bytes) -> None:
    """Guards against an answer that ends the call with an uncaught error."""
    assert stage_calls.PlatformStageCalls().decode_results(body, 1) is None


@pytest.mark.parametrize(
    "item",
    [
        pytest.param("7", id="number"),
        pytest.param('{"handle":7}', id="handle-number"),
        pytest.param('{"handle":"a:1/\\ud800"}', id="handle-surrogate"),
        pytest.param('{"handle":"a:1/x\\r\\nX: y"}', id="handle-line-break"),
        pytest.param('{"handle":"a:1/x,b:1/y"}', id="handle-comma"),
        pytest.param('{"handle":""}', id="handle-empty"),
        pytest.param('{"reason":[]}', id="reason-list"),
        pytest.param('{"reason":"\\ud800"}', id="reason-surrogate"),
        pytest.param('{"reason":"' + "x" * 5_000 + '"}', id="reason-long"),
    ],
)
def test_odd_result_of_a_stage_call_costs_no_other_result(item: str) -> None:
    """Guards against results that no header, message or metric can hold."""
    body = f'{{"items":[{{"handle":"a:1/x"}},{item},{{"reason":"gone"}}]}}'.encode()
    assert stage_calls.PlatformStageCalls().decode_results(body, 3) == [
        ports.PieceResult("a:1/x"),
        ports.PieceResult(None, "malformed"),
        ports.PieceResult(None, "gone"),
    ]


_SMALL_JSON = strategies.recursive(
    strategies.none() | strategies.floats() | strategies.text(max_size=8),
    lambda children: (
        strategies.lists(children, max_size=2)
        | strategies.dictionaries(
            strategies.sampled_from(["items", "handle", "reason"]), children, max_size=2
        )
    ),
    max_leaves=5,
)


@hypothesis.settings(max_examples=200, deadline=None, database=None)
@hypothesis.given(
    body=strategies.binary(max_size=40)
    | _SMALL_JSON.map(lambda value: json.dumps({"items": [value]}).encode())
)
def test_any_results_of_a_stage_call_are_held_or_malformed(body: bytes) -> None:
    """Guards against results that the messages between hosts cannot hold."""
    results = stage_calls.PlatformStageCalls().decode_results(body, 1)
    for result in results or ():
        if result.handle is not None:
            piece = ports.CompletedPiece(0, 0, result.handle, "i", 1)
            stage_codec.progress_to_wire("r", [piece]).SerializeToString()
        outcome = Error(ports.StageFailure(f"stage-{result.reason}", 0))
        stage_codec.outcome_to_wire("r", outcome).SerializeToString()
