"""Settings of one daemon, read from a file in JSON with comments (JSON5)."""

from __future__ import annotations

import enum
import functools
import importlib.resources
import json
import pathlib
import re
from typing import Any
from typing import TypeAlias

import attrs
from expression import Error
from expression import Ok
from expression import Result
import json5

from sesamehold.process import listening
from sesamehold.version import constraints
from sesamehold.version import manifest
from sesamehold.version import model_schema
from sesamehold.version import schema_faults

FILE_NAME = "settings.schema.json"
TITLE = "Settings of sesameholdd"
# Minimum length of the operator credential and the peer keys, which are the only protection of the
# interfaces that use them.
MIN_SECRET_LENGTH = 16
MAX_SECRET_LENGTH = 1_000
# Checked before parsing, because the JSON5 parser takes 23 s for a text of 1 MB.
MAX_TEXT_LENGTH = 65_536

_ERROR_LINE_PATTERN = re.compile(r"^<string>:(\d+)")


@attrs.frozen
class Tls:
    """Certificate files in PEM format; reloaded when they change.

    Attributes:
        certificate_path: Certificate chain of this host.
        key_path: Private key of the certificate.
        authority_path: Certificates of the authority that the other side is checked against.
    """

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
        memory_bytes: Memory of this host for the daemon.
        balancer_grace_ms: Time that a graceful shutdown serves new requests after this host
            reports that it is not ready, because the balancer still sends some.
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
    operator_credential: str = attrs.field(repr=False)
    peer_keys: tuple[str, ...] = attrs.field(repr=False)
    seeds: tuple[str, ...] = ()
    statsd_address: str | None = None
    caller_tls: Tls | None = None
    peer_tls: Tls | None = None
    limits: listening.CallerLimits = listening.CallerLimits()
    memory_bytes: int = 256_000_000
    balancer_grace_ms: int = 5_000
    drain_ms: int = 60_000
    random_seed: int | None = None
    dispatcher: DispatcherKind = DispatcherKind.POLICY


CONSTRAINTS: model_schema.ConstraintTable = {
    listening.CallerLimits: {
        "body_size_bytes": constraints.Constraint(minimum=1_024, maximum=1_073_741_824),
        "header_size_bytes": constraints.Constraint(minimum=1_024, maximum=1_048_576),
        "header_count": constraints.Constraint(minimum=16, maximum=1_024),
        "open_requests": constraints.COUNT,
        "open_streams": constraints.COUNT,
        "idle_ms": constraints.Constraint(minimum=100, maximum=86_400_000),
    },
    Settings: {
        "host_id": constraints.NAME,
        "zone": constraints.NAME,
        "caller_address": constraints.ADDRESS,
        "operator_address": constraints.ADDRESS,
        "peer_address": constraints.ADDRESS,
        "platform_address": constraints.ADDRESS,
        "operator_credential": constraints.Constraint(
            min_length=MIN_SECRET_LENGTH, max_length=MAX_SECRET_LENGTH
        ),
        "peer_keys": constraints.Constraint(
            min_items=1,
            max_items=2,
            items=constraints.Constraint(
                min_length=MIN_SECRET_LENGTH, max_length=MAX_SECRET_LENGTH
            ),
        ),
        "seeds": constraints.Constraint(items=constraints.ADDRESS),
        "statsd_address": constraints.ADDRESS,
        "memory_bytes": constraints.Constraint(minimum=100_000_000, maximum=1_000_000_000_000),
        "balancer_grace_ms": constraints.Constraint(minimum=0, maximum=600_000),
        "drain_ms": constraints.Constraint(minimum=0, maximum=86_400_000),
    },
}

Faults: TypeAlias = tuple[manifest.ManifestFault, ...]

_CONVERTER = manifest.strict_converter()


def generate_schema() -> dict[str, Any]:
    """Returns the JSON schema generated from the model."""
    return model_schema.generate(Settings, TITLE, CONSTRAINTS)


@functools.cache
def published_schema() -> dict[str, Any]:
    """Returns the schema that is packaged with this module."""
    text = importlib.resources.files(__package__).joinpath(FILE_NAME).read_text("utf-8")
    document: dict[str, Any] = json.loads(text)
    return document


def from_text(text: str) -> Result[Settings, Faults]:
    """Parses settings; returns all faults at once if there are any."""
    if len(text) > MAX_TEXT_LENGTH:
        reason = f"longer than {MAX_TEXT_LENGTH} characters, the maximum for a settings file"
        return Error((manifest.ManifestFault("$", reason),))
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        # Reports only the line: the parser's message quotes the text, which may hold secrets.
        match = _ERROR_LINE_PATTERN.match(str(error))
        position = f" at line {match[1]}" if match else ""
        return Error((manifest.ManifestFault("$", f"not JSON with comments{position}"),))
    faults = schema_faults.SchemaChecker(published_schema()).faults(data)
    faults += _duplicate_addresses(data) if isinstance(data, dict) else ()
    if faults:
        return Error(faults)
    return Ok(_CONVERTER.structure(data, Settings))


def from_file(path: pathlib.Path) -> Result[Settings, Faults]:
    """Reads and parses a settings file."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        return Error((manifest.ManifestFault(str(path), f"cannot be read: {error.strerror}"),))
    except UnicodeDecodeError:
        return Error((manifest.ManifestFault(str(path), "is not UTF-8 text"),))
    return from_text(text)


def _duplicate_addresses(data: dict[str, Any]) -> Faults:
    seen: dict[str, str] = {}
    faults = []
    for name in ("caller_address", "operator_address", "peer_address"):
        address = data.get(name)
        if not isinstance(address, str):
            continue
        if address in seen:
            reason = f"is the same as {seen[address]}; each interface needs a separate address"
            faults.append(manifest.ManifestFault(name, reason))
        seen.setdefault(address, name)
    return tuple(faults)
