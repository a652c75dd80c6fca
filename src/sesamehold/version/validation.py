"""Validation of bounds and cross-field rules; depends on the manifest alone."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
import math
from typing import Any

import attrs

from sesamehold.version import constraints
from sesamehold.version import manifest
from sesamehold.version import schema
from sesamehold.version import schema_faults

# Equals `ledger.FLEET_ACCOUNT`, which is charged for work not caused by a request and is therefore
# not available to callers.
FLEET_ACCOUNT = "fleet"
FRACTION_TOLERANCE = 1e-6
# Covers the targets and hosts of the design size; most are unchanged in the next version.
CACHED_ENTRIES = 16_384

_DEFAULT_BOUNDS = constraints.Constraint()

_Faults = Iterator[manifest.ManifestFault]


def validate(value: manifest.Manifest) -> tuple[manifest.ManifestFault, ...]:
    """Returns the faults of a type-checked manifest, at most 100."""
    rules = (
        _bound_faults(value, ""),
        _duplicate_name_faults(value),
        _duplicate_address_faults(value),
        _zone_faults(value),
        _account_faults(value),
        _pool_faults(value),
        _pipeline_faults(value),
    )
    return tuple(itertools.islice(itertools.chain.from_iterable(rules), schema_faults.MAX_FAULTS))


# ---- bounds on single fields ----


def _bounds_by_field(model: type) -> tuple[tuple[str, constraints.Constraint], ...]:
    table = schema.CONSTRAINTS.get(model, {})
    return tuple(
        (field.name, table.get(field.name, constraints.Constraint()))
        for field in attrs.fields(model)
    )


# Built once, because a manifest of the design size has 12,000 targets.
_BOUNDS_BY_MODEL = {
    model: _bounds_by_field(model) for model in (*schema.CONSTRAINTS, manifest.Policy)
}


def _expected_text(model: type, field_name: str) -> str:
    root = schema.published()
    is_root = model is manifest.Manifest
    definition = root if is_root else root["$defs"][model.__name__]
    return schema_faults.expected(definition["properties"][field_name])


def _bound_faults(item: Any, path: str) -> _Faults:
    for name, constraint in _BOUNDS_BY_MODEL[type(item)]:
        value = getattr(item, name)
        place = f"{path}.{name}" if path else name
        if not constraints.satisfies(constraint, value):
            yield manifest.ManifestFault(place, f"expected {_expected_text(type(item), name)}")
        if isinstance(value, tuple):
            yield from _entry_faults(value, constraint.items or _DEFAULT_BOUNDS, place)
        elif type(value) in _BOUNDS_BY_MODEL:
            yield from _bound_faults(value, place)


def _entry_faults(values: tuple[Any, ...], bound: constraints.Constraint, path: str) -> _Faults:
    for index, value in enumerate(values):
        if isinstance(value, manifest.Target | manifest.Host) and _is_within_bounds(value):
            continue
        place = f"{path}[{index}]"
        if type(value) in _BOUNDS_BY_MODEL:
            yield from _bound_faults(value, place)
        elif not constraints.satisfies(bound, value):
            yield manifest.ManifestFault(place, "expected a name of 1 to 128 letters and digits")


@functools.lru_cache(maxsize=CACHED_ENTRIES)
def _is_within_bounds(value: manifest.Target | manifest.Host) -> bool:
    return not any(_bound_faults(value, ""))


# ---- names and addresses ----


def _duplicate_name_faults(value: manifest.Manifest) -> _Faults:
    yield from _duplicate_faults("zones[{}].name", [item.name for item in value.zones])
    yield from _duplicate_faults("hosts[{}].id", [item.id for item in value.hosts])
    yield from _duplicate_faults("accounts[{}].name", [item.name for item in value.accounts])
    yield from _duplicate_faults("models[{}].name", [item.name for item in value.models])
    yield from _duplicate_faults("pools[{}].name", [item.name for item in value.pools])
    yield from _duplicate_faults("pipelines[{}].name", [item.name for item in value.pipelines])
    for index, pipeline in enumerate(value.pipelines):
        names = [stage.name for stage in pipeline.stages]
        yield from _duplicate_faults(f"pipelines[{index}].stages[{{}}].name", names)
    seen: set[str] = set()
    for path, target in _iter_targets(value):
        if target.id in seen:
            yield manifest.ManifestFault(f"{path}.id", f"repeats {target.id!r}")
        seen.add(target.id)


def _duplicate_faults(path: str, names: list[str]) -> _Faults:
    counts = collections.Counter(names)
    seen: set[str] = set()
    for index, name in enumerate(names):
        if counts[name] > 1 and name in seen:
            yield manifest.ManifestFault(path.format(index), f"repeats {name!r}")
        seen.add(name)


def _iter_targets(value: manifest.Manifest) -> Iterator[tuple[str, manifest.Target]]:
    for number, pool in enumerate(value.pools):
        for index, target in enumerate(pool.targets):
            yield f"pools[{number}].targets[{index}]", target


def _duplicate_address_faults(value: manifest.Manifest) -> _Faults:
    owners: dict[str, str] = {}
    for path, address in _iter_addresses(value):
        if address in owners:
            yield manifest.ManifestFault(path, f"repeats the address of {owners[address]}")
        owners.setdefault(address, path)


def _iter_addresses(value: manifest.Manifest) -> Iterator[tuple[str, str]]:
    for index, host in enumerate(value.hosts):
        yield f"hosts[{index}].peer_address", host.peer_address
        yield f"hosts[{index}].operator_address", host.operator_address
    for path, target in _iter_targets(value):
        yield f"{path}.address", target.address


# ---- references ----


def _reference_faults(path: str, name: str, kind: str, known: Iterable[str]) -> _Faults:
    names = known if isinstance(known, frozenset) else frozenset(known)
    if name not in names:
        nearest = schema_faults.nearest_name(name, sorted(names))
        yield manifest.ManifestFault(path, f"unknown {kind} {name!r}", nearest)


def _zone_faults(value: manifest.Manifest) -> _Faults:
    known = frozenset(zone.name for zone in value.zones)
    for index, host in enumerate(value.hosts):
        yield from _reference_faults(f"hosts[{index}].zone", host.zone, "zone", known)
    for path, target in _iter_targets(value):
        yield from _reference_faults(f"{path}.zone", target.zone, "zone", known)


def _account_faults(value: manifest.Manifest) -> _Faults:
    for index, account in enumerate(value.accounts):
        path = f"accounts[{index}]"
        if account.name == FLEET_ACCOUNT:
            reason = "is reserved for work that no request caused"
            yield manifest.ManifestFault(f"{path}.name", reason)
        partners = [share.partner for share in account.partners]
        yield from _duplicate_faults(f"{path}.partners[{{}}].partner", partners)
        total = math.fsum(share.fraction for share in account.partners)
        if not abs(total - 1.0) <= FRACTION_TOLERANCE:
            reason = f"fractions must add up to 1, found {total:.9g}"
            yield manifest.ManifestFault(f"{path}.partners", reason)


def _pool_faults(value: manifest.Manifest) -> _Faults:
    known = frozenset(account.name for account in value.accounts)
    for index, pool in enumerate(value.pools):
        path = f"pools[{index}]"
        yield from _reference_faults(f"{path}.owner", pool.owner, "account", known)
        if pool.capacity_cold > pool.capacity_warm:
            reason = f"must not exceed capacity_warm, which is {pool.capacity_warm}"
            yield manifest.ManifestFault(f"{path}.capacity_cold", reason)


def _pipeline_faults(value: manifest.Manifest) -> _Faults:
    accounts = frozenset(account.name for account in value.accounts)
    for index, pipeline in enumerate(value.pipelines):
        path = f"pipelines[{index}]"
        yield from _reference_faults(f"{path}.owner", pipeline.owner, "account", accounts)
        for number, caller in enumerate(pipeline.callers):
            yield from _reference_faults(f"{path}.callers[{number}]", caller, "account", accounts)
        if pipeline.default_deadline_ms > pipeline.max_deadline_ms:
            reason = f"must not exceed max_deadline_ms, which is {pipeline.max_deadline_ms}"
            yield manifest.ManifestFault(f"{path}.default_deadline_ms", reason)
        for number, stage in enumerate(pipeline.stages):
            yield from _stage_faults(value, f"{path}.stages[{number}]", stage)


def _stage_faults(value: manifest.Manifest, path: str, stage: manifest.Stage) -> _Faults:
    pool = value.pool(stage.pool)
    if pool is None:
        yield from _reference_faults(
            f"{path}.pool", stage.pool, "pool", [item.name for item in value.pools]
        )
    if not stage.path.startswith("/") or not stage.path.isascii() or not stage.path.isprintable():
        yield manifest.ManifestFault(f"{path}.path", "must be an HTTP path that starts with /")
    generates = stage.kind is manifest.StageKind.GENERATE
    if pool is not None and generates is not (pool.kind is manifest.PoolKind.ENGINE):
        reason = f"kind {stage.kind.value!r} cannot run on a pool of kind {pool.kind.value!r}"
        yield manifest.ManifestFault(f"{path}.kind", reason)
    yield from _model_faults(value, path, stage, required=generates)


def _model_faults(
    value: manifest.Manifest, path: str, stage: manifest.Stage, *, required: bool
) -> _Faults:
    if stage.model is None:
        if required:
            reason = "missing; a generate stage needs the name of a model"
            yield manifest.ManifestFault(f"{path}.model", reason)
        elif stage.adapter is not None:
            yield manifest.ManifestFault(f"{path}.adapter", "needs a model")
        return
    names = [model.name for model in value.models]
    yield from _reference_faults(f"{path}.model", stage.model, "model", names)
    model = next((item for item in value.models if item.name == stage.model), None)
    if model is not None and stage.adapter is not None:
        yield from _reference_faults(f"{path}.adapter", stage.adapter, "adapter", model.adapters)
