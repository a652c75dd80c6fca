"""UDP endpoint of the gossip protocol between gateway hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import math
from typing import Any

import attrs
from google.protobuf import message as protobuf_message

from sesamehold.connection.wire import gateway_pb2
from sesamehold.process import listening
from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import hosts
from sesamehold.process.gateway import target_restrictions

# Fits the minimum MTU of IPv6 (1,280 bytes) including the IP and UDP headers.
MAX_SIZE_BYTES = 1_200
MAX_TARGET_ID_LENGTH = 200
# Weights of averages are sent in thousandths of an observation.
WEIGHT_FACTOR = 1_000


@attrs.frozen
class GossipMessage:
    """Content of one gossip datagram.

    Attributes:
        beats: Heartbeat entries of known hosts.
        crash_reports: Evidence on the causes of crashes of targets.
        statements: What targets stated about themselves.
        loads: Open work of hosts at engines.
        slowdowns: Averages of the sender on how slow engines are.
        wants_answer: Whether the receiver replies with its own entries.
        invalid_count: Entries that were left out because no host or target can have stated them.
    """

    beats: tuple[hosts.HostBeat, ...]
    crash_reports: tuple[crash_attribution.TraitReport, ...] = ()
    statements: tuple[target_restrictions.StatementReport, ...] = ()
    loads: tuple[engine_load.HostLoad, ...] = attrs.field(default=(), kw_only=True)
    slowdowns: tuple[engine_slowdowns.SlowdownReport, ...] = attrs.field(default=(), kw_only=True)
    wants_answer: bool = False
    invalid_count: int = 0


def encode(message: GossipMessage) -> bytes:
    """Encodes a message; hosts and loads beyond `MAX_SIZE_BYTES` are dropped from the end."""
    wire = gateway_pb2.Gossip(wants_answer=message.wants_answer)
    for report in message.crash_reports:
        wire.crash_evidence.add(
            is_prompt_part=report.trait.kind is crash_attribution.TraitKind.PROMPT_PART,
            digest=report.trait.digest,
            targets=[crash.target for crash in report.crash_ages_ms],
            ordinals=[crash.ordinal for crash in report.crash_ages_ms],
            ages_ms=report.crash_ages_ms.values(),
            requests=report.requests,
            completed_age_ms=report.completed_age_ms,
            depth=report.depth,
        )
    for statement in message.statements:
        wire.target_statements.add(
            target_id=statement.target_id,
            born_ms=statement.born_ms,
            max_rate_per_s=statement.max_rate_per_s,
            age_ms=statement.age_ms,
        )
    for beat in message.beats:
        wire.hosts.add(
            address=beat.address,
            incarnation=beat.incarnation,
            beat=beat.beat,
            zone=beat.zone,
            leaving=beat.leaving,
            horizons=beat.horizons,
            core_count=beat.core_count,
        )
    for average in message.slowdowns:
        wire.engine_slowdowns.engines.append(average.key)
        wire.engine_slowdowns.slowdown_percents.append(round(100 * average.slowdown))
        wire.engine_slowdowns.weights.append(round(WEIGHT_FACTOR * average.weight))
    for load in message.loads:
        wire.host_loads.add(
            address=load.address,
            incarnation=load.incarnation,
            sequence=load.sequence,
            age_ms=load.age_ms,
            targets=load.work.keys(),
            requests=[int(work.requests) for work in load.work.values()],
            tokens=[int(work.tokens) for work in load.work.values()],
        )
    while len(wire.host_loads) > 1 and wire.ByteSize() > MAX_SIZE_BYTES:
        wire.host_loads.pop()
    while len(wire.hosts) > 1 and wire.ByteSize() > MAX_SIZE_BYTES:
        wire.hosts.pop()
    return wire.SerializeToString()


def decode(data: bytes) -> GossipMessage | None:
    """Decodes a datagram without its invalid entries; returns None if it is malformed."""
    try:
        wire = gateway_pb2.Gossip.FromString(data)
    except protobuf_message.DecodeError:
        return None
    beats = tuple(
        hosts.HostBeat(
            address=item.address,
            incarnation=item.incarnation,
            beat=item.beat,
            zone=item.zone,
            leaving=item.leaving,
            horizons=tuple(item.horizons),
            core_count=item.core_count,
        )
        for item in wire.hosts
        if _is_valid_beat(item)
    )
    reports = tuple(_crash_report(item) for item in wire.crash_evidence)
    statements = tuple(
        target_restrictions.StatementReport(
            item.target_id,
            item.born_ms,
            item.max_rate_per_s if item.HasField("max_rate_per_s") else None,
            item.age_ms,
        )
        for item in wire.target_statements
        if _is_valid_statement(item)
    )
    loads = tuple(_host_load(item) for item in wire.host_loads if _is_valid_load(item))
    slowdowns = tuple(_slowdowns(wire.engine_slowdowns))
    entry_count = len(wire.hosts) + len(wire.target_statements) + len(wire.host_loads)
    entry_count += len(wire.engine_slowdowns.engines)
    return GossipMessage(
        beats,
        reports,
        statements,
        wire.wants_answer,
        entry_count - len(beats) - len(statements) - len(loads) - len(slowdowns),
        loads=loads,
        slowdowns=slowdowns,
    )


def _is_valid_beat(item: gateway_pb2.HostBeat) -> bool:
    return (
        _is_valid_address(item.address) and math.isfinite(item.core_count) and item.core_count >= 0
    )


def _is_valid_address(text: str) -> bool:
    try:
        listening.Address.parse_numeric(text)
    except ValueError:
        return False
    return True


def _is_valid_load(item: gateway_pb2.HostLoad) -> bool:
    return (
        _is_valid_address(item.address)
        and len(item.targets) == len(item.requests) == len(item.tokens)
        and len(item.targets) <= engine_load.MAX_ENGINES_PER_REPORT
        and all(count <= engine_load.MAX_REQUESTS for count in item.requests)
        and all(count <= engine_load.MAX_TOKENS for count in item.tokens)
    )


def _host_load(item: gateway_pb2.HostLoad) -> engine_load.HostLoad:
    work = {
        key: engine_load.EngineWork(requests, tokens)
        for key, requests, tokens in zip(item.targets, item.requests, item.tokens, strict=True)
    }
    return engine_load.HostLoad(item.address, item.incarnation, item.sequence, item.age_ms, work)


def _slowdowns(
    item: gateway_pb2.EngineSlowdowns,
) -> Iterator[engine_slowdowns.SlowdownReport]:
    """Yields the valid averages; lists of different lengths have none."""
    count = len(item.engines)
    if count > engine_slowdowns.MAX_REPORTED or not (
        count == len(item.slowdown_percents) == len(item.weights)
    ):
        return
    for key, percent, weight in zip(
        item.engines, item.slowdown_percents, item.weights, strict=True
    ):
        slowdown = percent / 100
        if (
            engine_slowdowns.MIN_RATIO <= slowdown <= engine_slowdowns.MAX_RATIO
            and weight <= WEIGHT_FACTOR * engine_slowdowns.MAX_WEIGHT
        ):
            yield engine_slowdowns.SlowdownReport(key, slowdown, weight / WEIGHT_FACTOR)


def _is_valid_statement(item: gateway_pb2.TargetStatement) -> bool:
    return (
        len(item.target_id) <= MAX_TARGET_ID_LENGTH
        and math.isfinite(item.max_rate_per_s)
        and item.max_rate_per_s >= 0
    )


def _crash_report(item: gateway_pb2.CrashEvidence) -> crash_attribution.TraitReport:
    kind = crash_attribution.TraitKind.REQUEST
    if item.is_prompt_part:
        kind = crash_attribution.TraitKind.PROMPT_PART
    crash_ages_ms = {
        crash_attribution.CrashId(target, ordinal): age_ms
        for target, ordinal, age_ms in zip(item.targets, item.ordinals, item.ages_ms, strict=False)
    }
    return crash_attribution.TraitReport(
        crash_attribution.Trait(kind, item.digest),
        crash_ages_ms,
        frozenset(item.requests),
        item.completed_age_ms if item.HasField("completed_age_ms") else None,
        item.depth,
    )


@attrs.define(eq=False)
class GossipEndpoint(asyncio.DatagramProtocol):
    """UDP socket for gossip messages.

    Attributes:
        on_message: Called with each well-formed message and its source address.
        on_malformed: Called with the number of invalid entries, None for a datagram that cannot be
            decoded, and the source address.
    """

    on_message: Callable[[GossipMessage, str], None]
    on_malformed: Callable[[int | None, str], None]
    _transport: asyncio.DatagramTransport | None = None
    _encoded: tuple[GossipMessage, bytes] | None = None

    async def start(self, address: listening.Address) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.ip, address.port))

    def send(self, addresses: Sequence[str], message: GossipMessage) -> None:
        """Sends a message to each address; a lost datagram is compensated by the next heartbeat."""
        if self._transport is None:
            return
        if self._encoded is None or self._encoded[0] is not message:
            self._encoded = (message, encode(message))
        data = self._encoded[1]
        for text in addresses:
            address = listening.Address.parse(text)
            self._transport.sendto(data, (address.ip, address.port))

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: Any) -> None:
        """Stores the transport once the socket is bound."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Decodes a datagram and passes it to the callback."""
        source = f"{addr[0]}:{addr[1]}"
        message = decode(data)
        if message is None:
            self.on_malformed(None, source)
            return
        if message.invalid_count:
            self.on_malformed(message.invalid_count, source)
        self.on_message(message, source)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as a closed port; missing heartbeats reveal a dead host."""
        del exc
