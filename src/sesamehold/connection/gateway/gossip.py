"""UDP endpoint for the gossip between gateway processes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import attrs
from google.protobuf import message as protobuf_message

from sesamehold.connection.wire import gateway_pb2
from sesamehold.process import listening
from sesamehold.process import suspects
from sesamehold.process.gateway import hosts

# Fits the smallest path MTU of IPv6 (1,280 bytes) with its headers.
MAX_SIZE_BYTES = 1_200
MAX_SUSPICIONS = 8


@attrs.frozen
class Rumour:
    """Content of one datagram.

    Attributes:
        beats: Hosts and their beats.
        suspicions: Requests that seem to crash targets.
        wants_answer: Whether the receiver should send its own entries back.
    """

    beats: tuple[hosts.HostBeat, ...]
    suspicions: tuple[suspects.Suspicion, ...] = ()
    wants_answer: bool = False


def encode(rumour: Rumour) -> bytes:
    """Returns the datagram; entries that do not fit are left out."""
    wire = gateway_pb2.Gossip(wants_answer=rumour.wants_answer)
    for suspicion in rumour.suspicions[:MAX_SUSPICIONS]:
        wire.suspicions.add(
            fingerprint=suspicion.fingerprint,
            crash_count=suspicion.crashes,
            age_ms=suspicion.age_ms,
        )
    for beat in rumour.beats:
        wire.hosts.add(
            address=beat.address,
            incarnation=beat.incarnation,
            beat=beat.beat,
            zone=beat.zone,
            leaving=beat.leaving,
            horizons=beat.horizons,
            core_count=beat.core_count,
        )
    while len(wire.hosts) > 1 and wire.ByteSize() > MAX_SIZE_BYTES:
        wire.hosts.pop()
    return wire.SerializeToString()


def decode(data: bytes) -> Rumour | None:
    """Reads a datagram, None if it is malformed."""
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
    )
    found = tuple(
        suspects.Suspicion(item.fingerprint, "", item.crash_count, item.age_ms)
        for item in wire.suspicions
    )
    return Rumour(beats, found, wire.wants_answer)


@attrs.define(eq=False)
class GossipEndpoint(asyncio.DatagramProtocol):
    """Socket for gossip.

    Attributes:
        on_rumour: Called with each readable datagram and the address it came from.
    """

    on_rumour: Callable[[Rumour, str], None]
    malformed_count: int = 0
    _transport: asyncio.DatagramTransport | None = None
    _encoded: tuple[Rumour, bytes] | None = None

    async def start(self, address: listening.Address) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.ip, address.port))

    def send(self, addresses: Sequence[str], rumour: Rumour) -> None:
        """Sends one datagram to each address; a lost one is made up for by the next beat."""
        if self._transport is None:
            return
        if self._encoded is None or self._encoded[0] is not rumour:
            self._encoded = (rumour, encode(rumour))
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
        """Takes over the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Reads a datagram and passes it on."""
        rumour = decode(data)
        if rumour is None:
            self.malformed_count += 1
            return
        self.on_rumour(rumour, f"{addr[0]}:{addr[1]}")

    def error_received(self, exc: Exception) -> None:
        """Ignores errors such as a closed port; hosts that are silent are noticed by that."""
        del exc
