"""Message types of the datagrams between hosts; `connection.datagram` encodes them."""

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
    """A claim about the state of a roster member at one incarnation."""

    host_id: str
    incarnation: int
    state: MemberState


@attrs.frozen
class Digest:
    """A configuration version and its (shortened) content hash; version 0 means none."""

    version: int
    content_hash: bytes


@attrs.frozen
class Ping:
    """Requests an acknowledgement from the receiver."""

    sequence: int


@attrs.frozen
class PingRequest:
    """Requests an indirect probe: the receiver pings another host for the sender."""

    sequence: int
    target_host_id: str


@attrs.frozen
class Ack:
    """Acknowledges a probe; `subject_host_id` is the host that was probed."""

    sequence: int
    subject_host_id: str


@attrs.frozen
class Confirm:
    """Confirms an acknowledgement, so that the acknowledging host can bound this datagram's age."""

    sequence: int


@attrs.frozen
class ConfigurationNotice:
    """A new configuration version is in force at the sender."""

    digest: Digest


@attrs.frozen
class TargetColdNotice:
    """A target has become cold or warm."""

    target_id: str
    start_id: str
    cold: bool


@attrs.frozen
class CrashSuspicionNotice:
    """A request is suspected of crashing targets; a count of 0 withdraws the suspicion."""

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
    """An urgent message that is broadcast by forwarding it from host to host."""

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
        digest: Configuration in force at the sender.
        body: The message itself.
        updates: Piggybacked membership updates.
        roster_key: Identifies the roster whose order indexes `evidence_ages`.
        evidence_ages: See `quorum.LivenessEvidence`; empty for messages that carry none.
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
    """A message for one host, not yet wrapped in an envelope."""

    host_id: str
    body: Body


@attrs.frozen
class Outgoing:
    """An envelope and its destination, a peer address `ip:port`."""

    address: str
    envelope: Envelope
