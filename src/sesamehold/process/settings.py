"""Settings of one daemon, read from a file of JSON with comments."""

from __future__ import annotations

import enum
import pathlib

import attrs
import cattrs
from expression import Error
from expression import Ok
from expression import Result
import json5

from sesamehold.version import manifest


@attrs.frozen
class Address:
    """IP address and port.

    >>> Address.parse("127.0.0.1:80")
    Address(ip='127.0.0.1', port=80)
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parses `ip:port`; raises ValueError for any other text."""
        ip, _, port = text.rpartition(":")
        return cls(ip, int(port))

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@attrs.frozen
class CallerLimits:
    """Limits on what callers may send.

    Attributes:
        body_size_bytes: Largest request body.
        header_size_bytes: Largest single header line.
        open_requests: Requests that are open at once.
        idle_ms: Time without progress after which a caller's connection is cut.
    """

    body_size_bytes: int = 1_048_576
    header_size_bytes: int = 8_190
    open_requests: int = 2_000
    idle_ms: int = 30_000


@attrs.frozen
class Tls:
    """Certificate files in PEM format; reloaded when they change."""

    certificate_path: str
    key_path: str
    authority_path: str | None = None


class DispatcherKind(enum.Enum):
    """Which dispatcher assigns targets; all but `policy` are baselines for experiments."""

    POLICY = "policy"
    ROUND_ROBIN = "round-robin"
    RANDOM = "random"
    LEAST_OUTSTANDING = "least-outstanding"
    FIXED_LIMITS = "fixed-limits"
    NO_EARLY_REFUSAL = "no-early-refusal"


@attrs.frozen
class Settings:
    """Settings of one daemon.

    Attributes:
        host_id: Id of this host in the manifest's roster.
        zone: Availability zone of this host.
        caller_address: Listens for callers, `ip:port`.
        operator_address: Listens for operators, `ip:port`.
        peer_address: Listens for other hosts, TCP and UDP, `ip:port`.
        platform_address: Configuration service, `ip:port`.
        operator_credential: Credential that operators present.
        peer_keys: One or two keys of at least 16 characters; the first one seals, all open.
        seeds: Peer addresses to contact at start.
        statsd_address: Address of the statsd daemon, `ip:port`.
        caller_tls: Certificate for callers.
        peer_tls: Certificate for traffic between hosts.
        limits: Limits on what callers may send.
        drain_ms: Longest time that a graceful shutdown waits for running requests.
        random_seed: Seed of all random decisions; the wall clock if absent.
        dispatcher: Dispatch policy, or a baseline to compare it with.
    """

    host_id: str
    zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    platform_address: str
    operator_credential: str
    peer_keys: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    statsd_address: str | None = None
    caller_tls: Tls | None = None
    peer_tls: Tls | None = None
    limits: CallerLimits = CallerLimits()
    drain_ms: int = 60_000
    random_seed: int | None = None
    dispatcher: DispatcherKind = DispatcherKind.POLICY


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def from_text(text: str) -> Result[Settings, tuple[manifest.ManifestFault, ...]]:
    """Parses settings; returns all faults at once if there are any."""
    try:
        data = json5.loads(text)
    except ValueError as error:
        return Error((manifest.ManifestFault("$", f"not JSON with comments: {error}"),))
    try:
        return Ok(_CONVERTER.structure(data, Settings))
    except cattrs.BaseValidationError as error:
        return Error(
            tuple(
                manifest.ManifestFault(text.rpartition(" @ ")[2], text.rpartition(" @ ")[0])
                for text in cattrs.transform_error(error)
            )
        )


def from_file(path: pathlib.Path) -> Result[Settings, tuple[manifest.ManifestFault, ...]]:
    """Reads and parses a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Error((manifest.ManifestFault(str(path), f"cannot be read: {error.strerror}"),))
    return from_text(text)
