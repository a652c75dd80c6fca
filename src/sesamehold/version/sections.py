"""Content-addressed sections of a manifest.

A manifest is split into sections, so that the bytes transferred are proportional to the size of a
change. Each section is canonical JSON, identified by its path and content hash. Every account, pool
and pipeline has its own section; hosts and the targets of a pool are partitioned by the hash of
their id into groups of about `GROUP_SIZE`.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import hashlib
import json
from typing import Any
from urllib import parse

import attrs
import cattrs
from expression import Error
from expression import Ok
from expression import Result
import xxhash

from sesamehold.version import manifest

# A changed target causes the transfer of its whole group; 16 targets take about 1.5 KB.
GROUP_SIZE = 16
HASH_SIZE_BYTES = 16

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
_TYPE_BY_KIND: dict[str, Any] = {
    "zones": manifest.Zone,
    "models": manifest.Model,
    "policy": manifest.Policy,
    "hosts": manifest.Host,
    "accounts": manifest.Account,
    "pools": manifest.Pool,
    "targets": manifest.Target,
    "pipelines": manifest.Pipeline,
}


@attrs.frozen
class Section:
    """One section of a manifest.

    Attributes:
        path: Section kind and name, such as `accounts/hanoi` or `targets/encoder/4/2`.
        content: Canonical JSON of the items.
        content_hash: BLAKE2b of path and content, 16 bytes.
        items: The parsed items.
    """

    path: str
    content: bytes
    content_hash: bytes
    items: tuple[Any, ...]


@attrs.frozen
class SectionSet:
    """All sections of one configuration version.

    Attributes:
        version: Version number.
        content_hash: BLAKE2b of the version and of all section hashes in the order of their paths.
        sections: Sections by path, in the order of their paths.
        manifest: The manifest; hosts, accounts, pools, targets and pipelines in canonical order.
    """

    version: int
    content_hash: bytes
    sections: Mapping[str, Section]
    manifest: manifest.Manifest

    def hashes(self) -> dict[str, bytes]:
        """Returns the hash of each section by path."""
        return {path: section.content_hash for path, section in self.sections.items()}


@attrs.frozen
class Malformed:
    """Sections from a peer that cannot be parsed or do not form the announced version."""

    reason: str


def split(version: manifest.Manifest) -> Result[SectionSet, tuple[manifest.ManifestFault, ...]]:
    """Splits a manifest into sections; duplicate names are faults."""
    faults = tuple(_duplicate_faults(version))
    if faults:
        return Error(faults)
    groups: dict[str, list[Any]] = {
        "zones": list(version.zones),
        "models": list(version.models),
        "policy": [version.policy],
    }
    _add_groups(groups, "hosts", version.hosts)
    for account in version.accounts:
        groups[f"accounts/{_quote_name(account.name)}"] = [account]
    for pipeline in version.pipelines:
        groups[f"pipelines/{_quote_name(pipeline.name)}"] = [pipeline]
    for pool in version.pools:
        groups[f"pools/{_quote_name(pool.name)}"] = [attrs.evolve(pool, targets=())]
        _add_groups(groups, f"targets/{_quote_name(pool.name)}", pool.targets)
    return Ok(
        assemble(version.version, [_build_section(path, items) for path, items in groups.items()])
    )


def assemble(version: int, parts: Iterable[Section]) -> SectionSet:
    """Assembles sections into a configuration version."""
    sections = {part.path: part for part in sorted(parts, key=lambda part: part.path)}
    digest = hashlib.blake2b(str(version).encode(), digest_size=HASH_SIZE_BYTES)
    for section in sections.values():
        digest.update(section.content_hash)
    return SectionSet(version, digest.digest(), sections, _build_manifest(version, sections))


def parse_section(path: str, content: bytes) -> Result[Section, Malformed]:
    """Parses a section received from a peer."""
    item_type = _TYPE_BY_KIND.get(path.partition("/")[0])
    if item_type is None:
        return Error(Malformed(f"unknown kind of section: {path}"))
    try:
        items = tuple(_CONVERTER.structure(item, item_type) for item in json.loads(content))
    except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError) as error:
        return Error(Malformed(f"{path}: {type(error).__name__}"))
    return Ok(Section(path, content, _hash_section(path, content), items))


def _build_section(path: str, items: list[Any]) -> Section:
    values = [_CONVERTER.unstructure(item) for item in items]
    content = json.dumps(values, sort_keys=True, separators=(",", ":")).encode()
    return Section(path, content, _hash_section(path, content), tuple(items))


def _hash_section(path: str, content: bytes) -> bytes:
    return hashlib.blake2b(path.encode() + b"\0" + content, digest_size=HASH_SIZE_BYTES).digest()


def _quote_name(name: str) -> str:
    return parse.quote(name, safe="")


def _add_groups(groups: dict[str, list[Any]], prefix: str, items: Iterable[Any]) -> None:
    ordered = sorted(items, key=lambda item: str(item.id))
    # The group count is a power of two, so groups stay unchanged until the number of items doubles.
    count = 1
    while count * GROUP_SIZE < len(ordered):
        count *= 2
    for item in ordered:
        group = xxhash.xxh3_64_intdigest(item.id.encode()) % count
        groups.setdefault(f"{prefix}/{count}/{group}", []).append(item)


def _build_manifest(version: int, sections: Mapping[str, Section]) -> manifest.Manifest:
    items: dict[str, list[Any]] = {kind: [] for kind in _TYPE_BY_KIND}
    targets: dict[str, list[manifest.Target]] = {}
    for path, section in sections.items():
        kind, _, rest = path.partition("/")
        items[kind].extend(section.items)
        if kind == "targets":
            targets.setdefault(rest.partition("/")[0], []).extend(section.items)
    return manifest.Manifest(
        version=version,
        zones=tuple(items["zones"]),
        hosts=tuple(sorted(items["hosts"], key=lambda host: host.id)),
        accounts=tuple(sorted(items["accounts"], key=lambda account: account.name)),
        models=tuple(items["models"]),
        pools=tuple(
            _with_targets(pool, targets.get(_quote_name(pool.name), []))
            for pool in sorted(items["pools"], key=lambda pool: pool.name)
        ),
        pipelines=tuple(sorted(items["pipelines"], key=lambda pipeline: pipeline.name)),
        policy=items["policy"][0] if items["policy"] else manifest.Policy(),
    )


def _with_targets(pool: manifest.Pool, targets: list[manifest.Target]) -> manifest.Pool:
    return attrs.evolve(pool, targets=tuple(sorted(targets, key=lambda target: target.id)))


def _duplicate_faults(version: manifest.Manifest) -> Iterable[manifest.ManifestFault]:
    named = {
        "hosts": [host.id for host in version.hosts],
        "accounts": [account.name for account in version.accounts],
        "pools": [pool.name for pool in version.pools],
        "pipelines": [pipeline.name for pipeline in version.pipelines],
    }
    for kind, names in named.items():
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name in seen:
                yield manifest.ManifestFault(f"{kind}[{index}]", f"{name!r} occurs twice")
            seen.add(name)
