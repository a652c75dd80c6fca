"""Typed values of the datagrams between hosts; `connection.datagram` encodes them."""

from __future__ import annotations

import enum
from typing import TypeAlias

import attrs


class MemberState(enum.IntEnum):
    """State of a host in the failure detector.

    The order is the precedence of two updates with the same incarnation.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    UNREACHABLE = 3
    LEFT = 4


@attrs.frozen
class MemberUpdate:
    """What a host says about a member of the roster."""

    host_id: str
    incarnation: int
    state: MemberState


@attrs.frozen
class Digest:
    """A configuration version and the hash of its content; version 0 stands for none."""

    version: int
    content_hash: bytes


@attrs.frozen
class Ping:
    """Asks the receiver for an acknowledgement."""

    sequence: int


@attrs.frozen
class PingRequest:
    """Asks the receiver to probe another host."""

    sequence: int
    target_host_id: str


@attrs.frozen
class Ack:
    """Acknowledges a probe; `subject_host_id` is the host that was probed."""

    sequence: int
    subject_host_id: str


@attrs.frozen
class Confirm:
    """Answers an acknowledgement, so that its sender can bound the age of this datagram."""

    sequence: int


@attrs.frozen
class ConfigurationNotice:
    """A new configuration version is in force at the sender."""

    digest: Digest


@attrs.frozen
class TargetColdNotice:
    """A target turned cold or warm."""

    target_id: str
    start_id: str
    cold: bool


@attrs.frozen
class CrashSuspicionNotice:
    """A request is suspected to crash targets; a count of 0 clears it."""

    fingerprint: bytes
    crash_count: int
    stage: str
    age_ms: int


@attrs.frozen
class LeavingNotice:
    """A host has begun its graceful shutdown."""

    host_id: str
    incarnation: int


NoticeBody: TypeAlias = (
    ConfigurationNotice | TargetColdNotice | CrashSuspicionNotice | LeavingNotice
)


@attrs.frozen
class Notice:
    """An urgent message that hosts forward."""

    notice_id: int
    origin: str
    hop_count: int
    body: NoticeBody


Body: TypeAlias = Ping | PingRequest | Ack | Confirm | Notice


@attrs.frozen
class Envelope:
    """One datagram.

    Attributes:
        sender: Host id of the sender.
        sender_incarnation: Incarnation of the sender.
        digest: Configuration that is in force at the sender.
        body: The message.
        updates: Piggybacked membership updates.
        roster_key: Identifies the roster that `evidence_ages` is indexed by.
        evidence_ages: See `quorum.Evidence`; empty for messages that carry none.
    """

    sender: str
    sender_incarnation: int
    digest: Digest
    body: Body
    updates: tuple[MemberUpdate, ...] = ()
    roster_key: int = 0
    evidence_ages: bytes = b""


@attrs.frozen
class Send:
    """A message to one host, before its envelope is filled in."""

    host_id: str
    body: Body


@attrs.frozen
class Outgoing:
    """An envelope and the peer address `ip:port` that it goes to."""

    address: str
    envelope: Envelope
