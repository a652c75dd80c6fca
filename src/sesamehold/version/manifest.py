"""Model of the manifest that operators publish.

A manifest is plain JSON made by the operators' build pipeline. Field names carry their unit.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import typing
from typing import Any

import attrs
import cattrs
import cattrs.cols
from expression import Error
from expression import Ok
from expression import Result


class StageKind(enum.Enum):
    """What a stage does; `service` stands for any plain service."""

    ENCODE = "encode"
    RETRIEVE = "retrieve"
    RERANK = "rerank"
    GENERATE = "generate"
    SERVICE = "service"


class PoolKind(enum.Enum):
    """Protocol that the targets of a pool speak."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class Zone:
    """An availability zone.

    Attributes:
        name: Unique name.
        region: Region of the zone.
        in_service: False while operators have taken the zone out of service.
    """

    name: str
    region: str
    in_service: bool = True


@attrs.frozen
class Host:
    """An entry host of the roster.

    Attributes:
        id: Unique id.
        zone: Availability zone of the host.
        peer_address: Listens for other hosts, TCP and UDP, `ip:port`.
        operator_address: Listens for operators, `ip:port`.
    """

    id: str
    zone: str
    peer_address: str
    operator_address: str


@attrs.frozen
class PartnerShare:
    """Part of an account's cost that one partner of the joint venture carries.

    Attributes:
        partner: Name of the partner.
        fraction: Fraction of the cost, from 0 to 1.
    """

    partner: str
    fraction: float


@attrs.frozen
class Account:
    """A client account.

    Attributes:
        name: Unique name.
        partners: Partners that carry the cost; the fractions add up to 1.
        credential_salt: Hexadecimal salt of the credential hash.
        credential_hash: Hexadecimal SHA-256 of salt and credential.
        weight: Share under contention, relative to the other accounts.
        requests_per_s: Limit over the whole fleet.
        concurrent_requests: Limit over the whole fleet.
    """

    name: str
    partners: tuple[PartnerShare, ...]
    credential_salt: str
    credential_hash: str
    weight: float = 1.0
    requests_per_s: float = 1000.0
    concurrent_requests: int = 10_000


@attrs.frozen
class Model:
    """A model; its size drives the weight store's queue.

    Attributes:
        name: Unique name.
        versions: Versions that targets may load.
        adapters: Adapters that targets may load.
        weights_size_bytes: Size of the weights of one version.
    """

    name: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...] = ()
    weights_size_bytes: int = 0


@attrs.frozen
class Target:
    """One target.

    Attributes:
        id: Unique id over all pools.
        address: Listens for entry hosts, `ip:port`.
        zone: Availability zone of the target.
        leaving: True if the target gets no new work.
    """

    id: str
    address: str
    zone: str
    leaving: bool = False


@attrs.frozen
class Pool:
    """A group of interchangeable targets.

    Attributes:
        name: Unique name.
        kind: Protocol of its targets.
        owner: Client account that work without a request is booked to.
        targets: The targets.
        capacity_warm: Concurrent requests that one warm target bears.
        capacity_cold: Concurrent requests that one target bears in cold start.
        max_service_ms: Longest time that one call takes.
        reports_load: Whether answers and reports carry load.
        checks_fencing: Whether orders with an old fencing number are refused.
        readback: Whether the outcome of a non-repeatable call can be read by key.
        cost_per_unit: Price of one reported unit, in millionths of the venture's currency.
    """

    name: str
    kind: PoolKind
    owner: str
    targets: tuple[Target, ...]
    capacity_warm: int
    capacity_cold: int
    max_service_ms: int = 30_000
    reports_load: bool = True
    checks_fencing: bool = False
    readback: bool = False
    cost_per_unit: int = 1


@attrs.frozen
class Stage:
    """One stage of a pipeline.

    Attributes:
        name: Unique within the pipeline.
        kind: What the stage does.
        pool: Name of the pool that runs it.
        repeatable: False if a call may run at most once.
        path: HTTP path on the target.
        model: Model name, for `generate` stages.
        adapter: Adapter name, if any.
        max_tokens: Upper bound of generated tokens, for `generate` stages.
    """

    name: str
    kind: StageKind
    pool: str
    repeatable: bool = True
    path: str = "/v1/run"
    model: str | None = None
    adapter: str | None = None
    max_tokens: int = 256


@attrs.frozen
class Pipeline:
    """A chain of three to six stages.

    Attributes:
        name: Unique name.
        owner: Client account that owns the pipeline.
        stages: Stages in order.
        default_deadline_ms: Deadline of a request that names none.
        max_deadline_ms: Largest deadline that a caller may ask for.
        callers: Accounts that may call it; empty means all accounts.
    """

    name: str
    owner: str
    stages: tuple[Stage, ...]
    default_deadline_ms: int = 3_000
    max_deadline_ms: int = 600_000
    callers: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Returns whether all stages may be repeated."""
        return all(stage.repeatable for stage in self.stages)


@attrs.frozen
class Policy:
    """Settings that hold for the whole fleet.

    Attributes:
        key_retention_ms: How long finished keys and their answers are kept.
        clock_skew_ms: Largest difference between the wall clocks of two hosts.
        retry_fraction: Retries and duplicates as a fraction of first attempts.
        weight_loads_per_minute: Rate of the weight store for the whole fleet.
        unavailable_fraction: Fraction of a pool that may be loading or changing role at once.
    """

    key_retention_ms: int = 900_000
    clock_skew_ms: int = 2_000
    retry_fraction: float = 0.1
    weight_loads_per_minute: float = 6.0
    unavailable_fraction: float = 0.25


@attrs.frozen
class Manifest:
    """One published configuration version.

    Attributes:
        version: Version number, which only grows.
        zones: Availability zones.
        hosts: Roster of entry hosts.
        accounts: Client accounts.
        models: Models that targets may load.
        pools: Pools of targets.
        pipelines: Pipelines that callers use.
        policy: Settings that hold for the whole fleet.
    """

    version: int
    zones: tuple[Zone, ...]
    hosts: tuple[Host, ...]
    accounts: tuple[Account, ...]
    models: tuple[Model, ...]
    pools: tuple[Pool, ...]
    pipelines: tuple[Pipeline, ...]
    policy: Policy = Policy()

    def pipeline(self, name: str) -> Pipeline | None:
        """Returns the pipeline with this name."""
        return next((item for item in self.pipelines if item.name == name), None)

    def pool(self, name: str) -> Pool | None:
        """Returns the pool with this name."""
        return next((item for item in self.pools if item.name == name), None)

    def account(self, name: str) -> Account | None:
        """Returns the client account with this name."""
        return next((item for item in self.accounts if item.name == name), None)


@attrs.frozen
class ManifestFault:
    """One fault of a manifest or a settings file.

    Attributes:
        path: Place of the fault, such as `pools[2].capacity_cold`.
        reason: What is wrong, with the expected type and unit.
        nearest: Known name closest to an unknown one.
    """

    path: str
    reason: str
    nearest: str | None = None

    def __str__(self) -> str:
        hint = f" (did you mean {self.nearest!r}?)" if self.nearest else ""
        return f"{self.path}: {self.reason}{hint}"


def strict_converter() -> cattrs.Converter:
    """Returns a converter that refuses values of another type instead of converting them.

    The default hooks take the text "false" for a true boolean.
    """
    # Fields with their default values are left out, so that 1,000 hosts and 12,000 targets fit into
    # one value of the configuration service.
    converter = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
    for kind in (int, bool, str):
        converter.register_structure_hook(kind, _exactly)
    converter.register_structure_hook(float, _number)
    converter.register_structure_hook_factory(_is_tuple, _tuple_hook)
    return converter


def _is_tuple(hint: Any) -> bool:
    return typing.get_origin(hint) is tuple


def _tuple_hook(hint: Any, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    structure = cattrs.cols.homogenous_tuple_structure_factory(hint, converter)

    def structure_array(value: Any, kind: Any) -> Any:
        # Without this check the keys of an object would be taken for entries.
        if not isinstance(value, list | tuple):
            raise TypeError("expected array")
        return structure(value, kind)

    return structure_array


def _exactly(value: Any, kind: type) -> Any:
    if type(value) is not kind:
        raise TypeError(f"expected {kind.__name__}")
    return value


def _number(value: Any, kind: type) -> Any:
    del kind
    if type(value) not in (int, float):
        raise TypeError("expected number")
    return value


_CONVERTER = strict_converter()


def to_json(manifest: Manifest) -> dict[str, Any]:
    """Returns the manifest as JSON-compatible values."""
    data: dict[str, Any] = _CONVERTER.unstructure(manifest)
    return data


def from_json(data: Any) -> Result[Manifest, tuple[ManifestFault, ...]]:
    """Builds a manifest from parsed JSON.

    Returns:
        The manifest, or all type faults with their paths. Cross-field rules are checked by
        `validation`.
    """
    if not isinstance(data, dict):
        # cattrs raises AttributeError here, which is no validation error.
        return Error((ManifestFault(path="$", reason="must be an object"),))
    try:
        return Ok(_CONVERTER.structure(data, Manifest))
    except cattrs.BaseValidationError as error:
        faults = tuple(_fault_from_text(text) for text in cattrs.transform_error(error))
        return Error(faults)


def _fault_from_text(text: str) -> ManifestFault:
    reason, _, path = text.rpartition(" @ ")
    return ManifestFault(path=path.removeprefix("$."), reason=reason)
