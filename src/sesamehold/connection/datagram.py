"""UDP endpoint for authenticated protobuf messages of at most 1,200 bytes between hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result
from google.protobuf import message as protobuf_message

from sesamehold.connection import seal
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import listening
from sesamehold.process import messages

# Fits the minimum MTU of IPv6 (1,280 bytes) including the IP and UDP headers.
MAX_SIZE_BYTES = 1_200
_MESSAGE_TYPE = "datagram"
_STATES = {int(state) for state in messages.MemberState}


@attrs.frozen
class Malformed:
    """A datagram that is authentic but cannot be decoded."""

    reason: str


def encode(envelope: messages.Envelope, sealer: seal.Sealer) -> bytes:
    """Encodes and seals an envelope; member updates beyond `MAX_SIZE_BYTES` are dropped."""
    wire = peer_pb2.Datagram(
        sender=envelope.sender,
        sender_incarnation=envelope.sender_incarnation,
        digest=_digest_to_wire(envelope.digest),
        evidence_ages=envelope.evidence_ages,
        roster_key=envelope.roster_key,
    )
    _body_to_wire(wire, envelope.body)
    for update in envelope.updates:
        wire.updates.add(
            host_id=update.host_id, incarnation=update.incarnation, state=int(update.state)
        )
    while wire.updates and wire.ByteSize() > MAX_SIZE_BYTES - seal.HEADER_SIZE_BYTES:
        wire.updates.pop()
    return sealer.seal(_MESSAGE_TYPE, wire.SerializeToString())


def decode(
    data: bytes, sealer: seal.Sealer
) -> Result[messages.Envelope, seal.NotAuthentic | Malformed]:
    """Authenticates and decodes a datagram."""
    match sealer.open(_MESSAGE_TYPE, data):
        case Result(tag="ok", ok=payload):
            pass
        case Result(error=error):
            return Error(error)
    try:
        wire = peer_pb2.Datagram.FromString(payload)
    except protobuf_message.DecodeError:
        return Error(Malformed("not a datagram"))
    body = _body_from_wire(wire)
    if body is None:
        return Error(Malformed("no body of a known type"))
    return Ok(
        messages.Envelope(
            sender=wire.sender,
            sender_incarnation=wire.sender_incarnation,
            digest=messages.Digest(wire.digest.version, wire.digest.content_hash),
            body=body,
            updates=tuple(
                messages.MemberUpdate(
                    update.host_id, update.incarnation, messages.MemberState(update.state)
                )
                for update in wire.updates
                if update.state in _STATES
            ),
            roster_key=wire.roster_key,
            evidence_ages=wire.evidence_ages,
        )
    )


def _digest_to_wire(digest: messages.Digest) -> peer_pb2.Digest:
    return peer_pb2.Digest(version=digest.version, content_hash=digest.content_hash)


def _body_to_wire(wire: peer_pb2.Datagram, body: messages.Body) -> None:
    match body:
        case messages.Ping(sequence=sequence):
            wire.ping.sequence = sequence
        case messages.PingRequest(sequence=sequence, target_host_id=target):
            wire.ping_request.CopyFrom(
                peer_pb2.PingRequest(sequence=sequence, target_host_id=target)
            )
        case messages.Ack(sequence=sequence, subject_host_id=subject):
            wire.ack.CopyFrom(peer_pb2.Ack(sequence=sequence, subject_host_id=subject))
        case messages.Confirm(sequence=sequence):
            wire.confirm.sequence = sequence
        case messages.Notice():
            wire.notice.CopyFrom(_notice_to_wire(body))


def _notice_to_wire(notice: messages.Notice) -> peer_pb2.Notice:
    wire = peer_pb2.Notice(
        notice_id=notice.notice_id, origin=notice.origin, hop_count=notice.hop_count
    )
    match notice.body:
        case messages.ConfigurationNotice(digest=digest):
            wire.configuration.CopyFrom(_digest_to_wire(digest))
        case messages.TargetColdNotice() as cold:
            wire.target_cold.CopyFrom(peer_pb2.TargetCold(**attrs.asdict(cold)))
        case messages.CrashSuspicionNotice() as suspicion:
            wire.suspicion.CopyFrom(peer_pb2.CrashSuspicion(**attrs.asdict(suspicion)))
        case messages.LeavingNotice() as leaving:
            wire.leaving.CopyFrom(peer_pb2.MemberUpdate(**attrs.asdict(leaving)))
    return wire


def _body_from_wire(wire: peer_pb2.Datagram) -> messages.Body | None:
    match wire.WhichOneof("body"):
        case "ping":
            return messages.Ping(wire.ping.sequence)
        case "ping_request":
            request = wire.ping_request
            return messages.PingRequest(request.sequence, request.target_host_id)
        case "ack":
            return messages.Ack(wire.ack.sequence, wire.ack.subject_host_id)
        case "confirm":
            return messages.Confirm(wire.confirm.sequence)
        case "notice":
            return _notice_from_wire(wire.notice)
        case _:
            return None


def _notice_from_wire(wire: peer_pb2.Notice) -> messages.Notice | None:
    body: messages.NoticeBody
    match wire.WhichOneof("body"):
        case "configuration":
            digest = messages.Digest(wire.configuration.version, wire.configuration.content_hash)
            body = messages.ConfigurationNotice(digest)
        case "target_cold":
            cold = wire.target_cold
            body = messages.TargetColdNotice(cold.target_id, cold.start_id, cold.cold)
        case "suspicion":
            item = wire.suspicion
            body = messages.CrashSuspicionNotice(
                item.fingerprint, item.crash_count, item.stage, item.age_ms
            )
        case "leaving":
            body = messages.LeavingNotice(wire.leaving.host_id, wire.leaving.incarnation)
        case _:
            return None
    return messages.Notice(wire.notice_id, wire.origin, wire.hop_count, body)


@attrs.define(eq=False)
class DatagramEndpoint(asyncio.DatagramProtocol):
    """UDP socket for messages between hosts.

    Attributes:
        on_envelope: Called with each decoded envelope and its source address.
        count: Increments a metric by name, for datagrams, bytes and errors.
    """

    _sealer: seal.Sealer
    on_envelope: Callable[[messages.Envelope, str], None]
    count: Callable[[str, int], None]
    _transport: asyncio.DatagramTransport | None = None

    async def start(self, address: listening.Address) -> None:
        """Binds the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(address.ip, address.port))

    def send(self, outgoing: messages.Outgoing) -> None:
        """Sends one datagram; the protocol treats a datagram that cannot be sent as lost."""
        if self._transport is None:
            return
        data = encode(outgoing.envelope, self._sealer)
        if len(data) > MAX_SIZE_BYTES:
            self.count("datagram.too_large", 1)
            return
        address = listening.Address.parse(outgoing.address)
        self._transport.sendto(data, (address.ip, address.port))
        self.count("datagram.sent", 1)
        self.count("datagram.sent_bytes", len(data))

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
        match decode(data, self._sealer):
            case Result(tag="ok", ok=envelope):
                self.count("datagram.received", 1)
                self.on_envelope(envelope, f"{addr[0]}:{addr[1]}")
            case Result(error=seal.NotAuthentic()):
                self.count("datagram.not_authentic", 1)
            case _:
                self.count("datagram.malformed", 1)

    def error_received(self, exc: Exception) -> None:
        """Counts an error reported by the operating system, such as a closed port."""
        del exc
        self.count("datagram.errors", 1)
