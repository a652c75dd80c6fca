"""Decodes the items that the operator and the workers publish in the platform's store."""

from __future__ import annotations

import ipaddress
import json
import re
from typing import Any

import attrs
import cattrs

from sesamehold.platform import names
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets
from sesamehold.version import routing

# Largest number that the messages between hosts hold.
MAX_NUMBER = 2**63 - 1
# The store limits keys, which hold the names of targets and zones, to this length.
MAX_NAME_LENGTH = 200
MAX_REASON_LENGTH = 200
_TARGET_ID = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")
_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535
_BYTES_PER_MB = 1_000_000
_MS_PER_S = 1_000

_KIND_BY_NAME = {
    "idempotent": routing.RequestKind.IDEMPOTENT,
    "non_idempotent": routing.RequestKind.NON_IDEMPOTENT,
    "streaming": routing.RequestKind.STREAMING,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class _Share:
    service: str
    weight: float


@attrs.frozen
class _Stage:
    service: str
    after: list[int] = attrs.field(factory=list)
    bytes: float = 0.0


@attrs.frozen
class _Route:
    name: str
    host: str
    prefix: str
    kind: str
    timeoutMs: float  # noqa: N815
    aimMs: float = 0.0  # noqa: N815
    priority: int = 0
    service: str = ""
    split: list[_Share] = attrs.field(factory=list)
    attempts: int = 1
    stages: list[_Stage] = attrs.field(factory=list)
    anonymous: bool = False
    resumable: bool = False
    gapAimMs: float = 0.0  # noqa: N815


@attrs.frozen
class _Pieces:
    # Capacity and timing of a stage service's workers, not the pieces of a request.
    slots: int
    batch: int
    callMs: float  # noqa: N815
    itemMs: float  # noqa: N815
    roomMb: float  # noqa: N815
    handleS: float  # noqa: N815
    queue: int = 0


@attrs.frozen
class _Engine:
    slots: int
    cacheTokens: int  # noqa: N815


@attrs.frozen
class _Service:
    name: str
    connectionLimit: int = 1_000  # noqa: N815
    coldPerS: float = 0.0  # noqa: N815
    pieces: _Pieces | None = None
    engine: _Engine | None = None


@attrs.frozen
class _Limits:
    headerBytes: int = 16_384  # noqa: N815
    bodyBytes: int = 4_194_304  # noqa: N815
    headerMs: int = 3_000  # noqa: N815
    idleMs: int = 15_000  # noqa: N815


@attrs.frozen
class _Tenant:
    name: str
    keys: list[str] = attrs.field(factory=list)
    priority: int | None = None


@attrs.frozen
class _Configuration:
    version: int
    routes: list[_Route] = attrs.field(factory=list)
    services: list[_Service] = attrs.field(factory=list)
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | None = None


@attrs.frozen
class _Worker:
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    coldRemainingMs: float = 0.0  # noqa: N815
    born: int = 0


_CONVERTER = cattrs.Converter()


class InvalidFieldError(ValueError):
    """A field of a published document holds what the gateway cannot hold."""


_DECODE_ERRORS = (
    cattrs.BaseValidationError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def decode(
    item: store_replica.StoreItem, now_ms: int
) -> tuple[directory_events.DirectoryEvent, ...]:
    """Decodes a store item into directory events.

    Args:
        item: The item.
        now_ms: Current monotonic time, the base of relative times in the item.
    """
    key = item.key
    if key.startswith(names.TARGET_KEYS):
        return _target_events(key.removeprefix(names.TARGET_KEYS), item, now_ms)
    if key.startswith(names.EVACUATION_KEYS):
        zone = key.removeprefix(names.EVACUATION_KEYS)
        if item.value is None:
            return (directory_events.ZoneBroughtBack(zone),)
        return (directory_events.ZoneTakenOut(zone),)
    if key == names.CONFIGURATION_KEY and item.value is not None:
        return _configuration_events(item)
    return ()


def _configuration_events(
    item: store_replica.StoreItem,
) -> tuple[directory_events.DirectoryEvent, ...]:
    try:
        document = json.loads(item.value or b"")
        wire = _CONVERTER.structure(document, _Configuration)
        _check_values(wire, "$")
        return (directory_events.ConfigurationPublished(_to_routing_table(wire)),)
    except _DECODE_ERRORS as error:
        return (_invalid_item(item.key, error),)


def _check_values(value: Any, path: str) -> None:
    """Raises InvalidFieldError for a number or text that later code cannot hold."""
    if isinstance(value, str):
        # Not escaped in messages between hosts, headers and metrics.
        if not value.isprintable():
            raise InvalidFieldError(f"{path} is not printable text")
    elif isinstance(value, (int, float)):
        # Also excludes NaN, which compares as False.
        if not -MAX_NUMBER <= value <= MAX_NUMBER:
            raise InvalidFieldError(f"{path} is out of range")
    elif isinstance(value, list):
        for index, item in enumerate(value):
            _check_values(item, f"{path}[{index}]")
    elif value is not None:
        for field in attrs.fields(type(value)):
            _check_values(getattr(value, field.name), f"{path}.{field.name}")


def _target_events(
    target_id: str, item: store_replica.StoreItem, now_ms: int
) -> tuple[directory_events.DirectoryEvent, ...]:
    withdrawn = directory_events.TargetWithdrawn(target_id)
    if item.value is None:
        return (withdrawn,)
    try:
        target = _decode_target(target_id, item.value, now_ms)
    except _DECODE_ERRORS as error:
        return (withdrawn, _invalid_item(item.key, error))
    return (directory_events.TargetPublished(target),)


def _decode_target(target_id: str, value: bytes, now_ms: int) -> targets.Target:
    if not _TARGET_ID.fullmatch(target_id):
        raise InvalidFieldError("the id is not visible ASCII text of at most 200 characters")
    document = json.loads(value)
    _check_target(document)
    wire = _CONVERTER.structure(document, _Worker)
    return targets.Target(
        target_id=target_id,
        born_ms=wire.born,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=wire.slots,
        draining=_DRAINING_BY_STATE[wire.state],
        cold_until_ms=now_ms + int(wire.coldRemainingMs) if wire.coldRemainingMs > 0 else 0,
    )


def _check_target(document: Any) -> None:
    # The converter would otherwise coerce numbers to strings and strings to numbers.
    if not isinstance(document, dict):
        raise InvalidFieldError("not an object")
    for name in ("service", "address", "zone", "state"):
        text = document.get(name)
        if not isinstance(text, str) or not text.isprintable() or len(text) > MAX_NAME_LENGTH:
            raise InvalidFieldError(f"{name} is not printable text of at most 200 characters")
    for name in ("slots", "coldRemainingMs", "born"):
        number = document.get(name, 0)
        if isinstance(number, bool) or not isinstance(number, (int, float)):
            raise InvalidFieldError(f"{name} is not a number")
        # Also excludes NaN, which compares as False.
        if not -MAX_NUMBER <= number <= MAX_NUMBER:
            raise InvalidFieldError(f"{name} is out of range")
        if name != "coldRemainingMs" and (number < 0 or number != int(number)):
            raise InvalidFieldError(f"{name} is not a whole number of at least 0")
    _check_address(document["address"])


def _check_address(text: str) -> None:
    ip_text, _, port = text.rpartition(":")
    ip = ipaddress.IPv4Address(ip_text)
    if ip.is_unspecified or ip.is_multicast:
        raise InvalidFieldError("the IP address is not that of a host")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        raise InvalidFieldError("the port is not a number from 1 to 65535")


def _invalid_item(key: str, error: Exception) -> directory_events.InvalidItem:
    if isinstance(error, cattrs.BaseValidationError):
        reason = "; ".join(cattrs.transform_error(error)[:3])
    else:
        reason = f"{type(error).__name__}: {error}"
    return directory_events.InvalidItem(key[:MAX_NAME_LENGTH], reason[:MAX_REASON_LENGTH])


def _to_routing_table(wire: _Configuration) -> routing.RoutingTable:
    tenants = wire.tenants or []
    accounts = {
        key: routing.RoutedAccount(tenant.name, tenant.priority)
        for tenant in tenants
        for key in tenant.keys
    }
    limits = routing.IngressLimits(
        header_size_bytes=wire.limits.headerBytes,
        body_size_bytes=wire.limits.bodyBytes,
        header_ms=wire.limits.headerMs,
        idle_ms=wire.limits.idleMs,
    )
    return routing.RoutingTable.from_parts(
        version=wire.version,
        routes=tuple(_to_route(route) for route in wire.routes),
        services=tuple(_to_service(service) for service in wire.services),
        accounts_by_key=accounts,
        requires_key=wire.tenants is not None,
        limits=limits,
    )


def _to_route(wire: _Route) -> routing.Route:
    shares = tuple(routing.ServiceShare(part.service, part.weight) for part in wire.split)
    return routing.Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        kind=_KIND_BY_NAME[wire.kind],
        timeout_ms=int(wire.timeoutMs),
        latency_goal_ms=int(wire.aimMs),
        priority=wire.priority,
        services=shares or (routing.ServiceShare(wire.service),),
        attempts=wire.attempts,
        stages=tuple(
            routing.Stage(stage.service, tuple(stage.after), int(stage.bytes))
            for stage in wire.stages
        ),
        anonymous=wire.anonymous,
        resumable=wire.resumable,
        event_gap_goal_ms=int(wire.gapAimMs),
    )


def _to_service(wire: _Service) -> routing.Service:
    stage_pool = None
    if wire.pieces is not None:
        stage_pool = routing.StagePool(
            slots=wire.pieces.slots,
            queue_limit=wire.pieces.queue,
            batch_size=wire.pieces.batch,
            call_ms=wire.pieces.callMs,
            piece_ms=wire.pieces.itemMs,
            result_capacity_bytes=int(wire.pieces.roomMb * _BYTES_PER_MB),
            retention_ms=int(wire.pieces.handleS * _MS_PER_S),
        )
    engine = None
    if wire.engine is not None:
        engine = routing.EnginePool(wire.engine.slots, wire.engine.cacheTokens)
    return routing.Service(
        name=wire.name,
        connection_limit=wire.connectionLimit,
        cold_rate_per_s=wire.coldPerS,
        stage_pool=stage_pool,
        engine=engine,
    )
