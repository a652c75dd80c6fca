"""Reads the settings file of a process in the format of the platform."""

from __future__ import annotations

import pathlib
import tomllib
from typing import Any

import attrs
import cattrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import listening
from sesamehold.process.gateway import settings as gateway_settings

# The platform does not assign a metrics port; keep in sync with deploy/system.toml.
METRICS_PORT = 9464
_MS_PER_S = 1_000
_BYTES_PER_MB = 1_000_000

_CONVERTER = cattrs.Converter()


@attrs.frozen
class _Listen:
    front: str
    readiness: str
    control: str = ""


@attrs.frozen
class _Limits:
    processorShare: float = 1.0  # noqa: N815
    cores: float = 1.0
    memoryMb: float = 300.0  # noqa: N815


@attrs.frozen
class _Bounds:
    graceS: float = 8.0  # noqa: N815
    contactMs: int = 3_000  # noqa: N815
    drainMs: int = 2_000  # noqa: N815
    configurationMs: int = 2_000  # noqa: N815
    budgetRatio: float = 0.1  # noqa: N815
    budgetWindowS: float = 10.0  # noqa: N815
    budgetExtraAttempts: int = 10  # noqa: N815


@attrs.frozen
class _Store:
    address: str


@attrs.frozen
class _Boot:
    nodeName: str  # noqa: N815
    ipAddress: str  # noqa: N815
    zone: str
    internalPorts: list[int]  # noqa: N815
    listen: _Listen
    platform: _Store
    seeds: list[str] = attrs.field(factory=list)
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def read(
    path: pathlib.Path,
) -> Result[gateway_settings.GatewaySettings, gateway_settings.SettingsFault]:
    """Reads and decodes the file."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(gateway_settings.SettingsFault(str(path), f"cannot be read: {error}"))
    return decode(text)


def decode(
    text: str,
) -> Result[gateway_settings.GatewaySettings, gateway_settings.SettingsFault]:
    """Decodes the content of the file; unknown fields are ignored."""
    try:
        document: dict[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(gateway_settings.SettingsFault("$", f"is not TOML: {error}"))
    try:
        boot = _CONVERTER.structure(document, _Boot)
        return Ok(_to_settings(boot))
    except cattrs.BaseValidationError as error:
        reasons = "; ".join(cattrs.transform_error(error))
        return Error(gateway_settings.SettingsFault("$", reasons))
    except (ValueError, IndexError, OverflowError) as error:
        return Error(gateway_settings.SettingsFault("$", f"is malformed: {error}"))


def _to_settings(boot: _Boot) -> gateway_settings.GatewaySettings:
    address = listening.Address
    peer_port = boot.internalPorts[0]
    # Seeds are control addresses of hosts; peer connections use an internal port instead.
    seeds = tuple(address(address.parse(seed).ip, peer_port) for seed in boot.seeds)
    return gateway_settings.GatewaySettings(
        host_id=boot.nodeName,
        zone=boot.zone,
        ingress_address=address.parse(boot.listen.front),
        readiness_address=address.parse(boot.listen.readiness),
        peer_address=address(boot.ipAddress, peer_port),
        metrics_address=address(boot.ipAddress, METRICS_PORT),
        store_address=address.parse(boot.platform.address),
        seeds=seeds,
        core_count=boot.limits.processorShare * boot.limits.cores,
        memory_bytes=int(boot.limits.memoryMb * _BYTES_PER_MB),
        bounds=gateway_settings.FleetBounds(
            grace_ms=int(boot.bounds.graceS * _MS_PER_S),
            contact_ms=boot.bounds.contactMs,
            change_ms=min(boot.bounds.drainMs, boot.bounds.configurationMs),
            retry_ratio=boot.bounds.budgetRatio,
            retry_window_ms=int(boot.bounds.budgetWindowS * _MS_PER_S),
            retry_extra=boot.bounds.budgetExtraAttempts,
        ),
    )
