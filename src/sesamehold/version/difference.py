"""Computes the operational effects of replacing one manifest with another."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
from typing import Any

import attrs

from sesamehold.version import manifest


@attrs.frozen
class Effect:
    """One operational effect of a manifest change.

    Attributes:
        path: Changed object, such as `zone zone-a` or `pool encoder`.
        text: Consequence of the change, in one sentence.
    """

    path: str
    text: str

    def __str__(self) -> str:
        return f"{self.path}: {self.text}"


_Effects = Iterator[Effect]


def effects(old: manifest.Manifest, new: manifest.Manifest) -> tuple[Effect, ...]:
    """Returns the effects of replacing `old` with `new`."""
    parts = (
        _version_effects(old, new),
        _zone_effects(old, new),
        _host_effects(old, new),
        _account_effects(old, new),
        _model_effects(old, new),
        _pool_effects(old, new),
        _pipeline_effects(old, new),
        _field_effects("policy", old.policy, new.policy, ()),
    )
    return tuple(itertools.chain.from_iterable(parts))


# ---- comparison of lists ----


@attrs.frozen
class _MatchedEntries:
    """Entries of two lists, matched by name."""

    added: list[Any]
    removed: list[Any]
    kept: list[tuple[Any, Any]]


def _match(old: Iterable[Any], new: Iterable[Any], key: Callable[[Any], str]) -> _MatchedEntries:
    before = {key(item): item for item in old}
    after = {key(item): item for item in new}
    return _MatchedEntries(
        added=[item for name, item in after.items() if name not in before],
        removed=[item for name, item in before.items() if name not in after],
        kept=[(item, after[name]) for name, item in before.items() if name in after],
    )


def _name(item: Any) -> str:
    return str(item.name)


def _id(item: Any) -> str:
    return str(item.id)


def _field_effects(path: str, old: Any, new: Any, skipped: tuple[str, ...]) -> _Effects:
    for field in attrs.fields(type(old)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if field.name not in skipped and before != after:
            yield Effect(
                path,
                f"{field.name} changes from {_format_value(before)} to {_format_value(after)}.",
            )


def _format_value(value: Any) -> str:
    if isinstance(value, tuple):
        return "[" + ", ".join(map(str, value)) + "]"
    return str(getattr(value, "value", value))


# ---- zones and hosts ----


def _version_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    if new.version > old.version:
        return
    if new != old:
        text = f"{new.version} does not follow {old.version}; hosts will refuse the new manifest."
        yield Effect("version", text)


def _count_targets_in_zone(value: manifest.Manifest, zone: str) -> int:
    return sum(target.zone == zone for pool in value.pools for target in pool.targets)


def _count_hosts_in_zone(value: manifest.Manifest, zone: str) -> int:
    return sum(host.zone == zone for host in value.hosts)


def _zone_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.zones, new.zones, _name)
    for zone in pairs.added:
        yield Effect(f"zone {zone.name}", f"is added in region {zone.region}.")
    for zone in pairs.removed:
        yield Effect(f"zone {zone.name}", "is removed.")
    for before, after in pairs.kept:
        path = f"zone {after.name}"
        if before.in_service and not after.in_service:
            yield Effect(path, _zone_removal_text(new, after.name))
        if after.in_service and not before.in_service:
            count = _count_targets_in_zone(new, after.name)
            yield Effect(path, f"returns; {count} targets get new work again, as cold targets.")
        yield from _field_effects(path, before, after, ("name", "in_service"))


def _zone_removal_text(value: manifest.Manifest, zone: str) -> str:
    targets, hosts = _count_targets_in_zone(value, zone), _count_hosts_in_zone(value, zone)
    emptied = [
        pool.name
        for pool in value.pools
        if pool.targets and all(target.zone == zone for target in pool.targets)
    ]
    text = f"is taken out; {targets} targets and {hosts} hosts get no new work."
    return f"{text} Pools without other targets: {', '.join(emptied)}." if emptied else text


def _host_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.hosts, new.hosts, _id)
    for host in pairs.added:
        yield Effect(f"host {host.id}", f"joins the roster in zone {host.zone}.")
    for host in pairs.removed:
        yield Effect(f"host {host.id}", "leaves the roster.")
    for before, after in pairs.kept:
        yield from _field_effects(f"host {after.id}", before, after, ("id",))
    if pairs.added or pairs.removed:
        count = len(new.hosts)
        text = (
            f"has {count} hosts, {count // 2 + 1} of which make a quorum; execution claims need "
            "the witnesses of both rosters during the retention period."
        )
        yield Effect("roster", text)


# ---- accounts and models ----


def _account_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.accounts, new.accounts, _name)
    for account in pairs.added:
        yield Effect(f"account {account.name}", "may send requests.")
    for account in pairs.removed:
        yield Effect(f"account {account.name}", "is refused as unknown.")
    for before, after in pairs.kept:
        path = f"account {after.name}"
        secret = ("credential_salt", "credential_hash")
        if any(getattr(before, name) != getattr(after, name) for name in secret):
            yield Effect(path, "has another credential; the previous one is refused.")
        if before.partners != after.partners:
            yield Effect(
                path,
                f"new cost is split {_format_shares(after)} instead of {_format_shares(before)}.",
            )
        yield from _field_effects(path, before, after, ("name", "partners", *secret))


def _format_shares(account: manifest.Account) -> str:
    return ", ".join(f"{share.partner} {share.fraction:g}" for share in account.partners)


def _model_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.models, new.models, _name)
    for model in pairs.added:
        yield Effect(f"model {model.name}", "may be loaded.")
    for model in pairs.removed:
        yield Effect(f"model {model.name}", "may no longer be loaded.")
    for before, after in pairs.kept:
        yield from _field_effects(f"model {after.name}", before, after, ("name",))


# ---- pools ----


def _pool_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.pools, new.pools, _name)
    for pool in pairs.added:
        yield Effect(f"pool {pool.name}", f"is added with {len(pool.targets)} targets.")
    for pool in pairs.removed:
        yield Effect(f"pool {pool.name}", f"is removed; {len(pool.targets)} targets get no work.")
    for before, after in pairs.kept:
        path = f"pool {after.name}"
        yield from _target_effects(path, before, after)
        yield from _field_effects(path, before, after, ("name", "targets"))


def _target_effects(path: str, old: manifest.Pool, new: manifest.Pool) -> _Effects:
    pairs = _match(old.targets, new.targets, _id)
    if pairs.added:
        yield Effect(path, f"gains {_format_targets(pairs.added)}.")
    if pairs.removed:
        yield Effect(path, f"loses {_format_targets(pairs.removed)}; they get no new work.")
    leaving = [after for before, after in pairs.kept if after.leaving and not before.leaving]
    if leaving:
        yield Effect(path, f"{_format_targets(leaving)} get no new work because they are leaving.")
    returning = [after for before, after in pairs.kept if before.leaving and not after.leaving]
    if returning:
        yield Effect(path, f"{_format_targets(returning)} get new work again.")
    for before, after in pairs.kept:
        yield from _field_effects(f"{path}, target {after.id}", before, after, ("id", "leaving"))


def _format_targets(targets: list[manifest.Target]) -> str:
    shown = ", ".join(target.id for target in targets[:5])
    more = f" and {len(targets) - 5} more" if len(targets) > 5 else ""
    return f"{len(targets)} targets ({shown}{more})"


# ---- pipelines ----


def _pipeline_effects(old: manifest.Manifest, new: manifest.Manifest) -> _Effects:
    pairs = _match(old.pipelines, new.pipelines, _name)
    for pipeline in pairs.added:
        yield Effect(f"pipeline {pipeline.name}", f"is added for owner {pipeline.owner}.")
    for pipeline in pairs.removed:
        yield Effect(f"pipeline {pipeline.name}", "is removed; its requests are refused.")
    for before, after in pairs.kept:
        path = f"pipeline {after.name}"
        yield from _stage_effects(path, before, after)
        yield from _field_effects(path, before, after, ("name", "stages"))


def _stage_effects(path: str, old: manifest.Pipeline, new: manifest.Pipeline) -> _Effects:
    pairs = _match(old.stages, new.stages, _name)
    for stage in pairs.added:
        yield Effect(path, f"gains stage {stage.name} on pool {stage.pool}.")
    for stage in pairs.removed:
        yield Effect(path, f"loses stage {stage.name}.")
    if not pairs.added and not pairs.removed:
        before_order = [stage.name for stage in old.stages]
        after_order = [stage.name for stage in new.stages]
        if before_order != after_order:
            yield Effect(path, f"runs its stages in the order {', '.join(after_order)}.")
    for before, after in pairs.kept:
        yield from _field_effects(f"{path}, stage {after.name}", before, after, ("name",))
