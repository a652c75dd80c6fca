"""Content-addressed sections of a manifest.

A manifest is cut into sections, so that a change moves bytes in proportion to the change. Each
section is canonical JSON and is named by its path and the hash of its content. Accounts, pools
and pipelines have a section each; hosts, and the targets of a pool, are cut into groups of
about `GROUP_SIZE` by the hash of their id.
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

# A changed target moves its whole group: 16 targets take about 1.5 KB.
GROUP_SIZE = 16
HASH_SIZE_BYTES = 16

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, omit_if_default=True)
_TYPES: dict[str, Any] = {
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
    """One part of a manifest.

    Attributes:
        path: Kind and name, such as `accounts/hanoi` or `targets/encoder/4/2`.
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
    """Sections from a peer that do not make up the announced version."""

    reason: str


def split(version: manifest.Manifest) -> Result[SectionSet, tuple[manifest.ManifestFault, ...]]:
    """Cuts a manifest into sections; names that occur twice are faults."""
    faults = tuple(_duplicates(version))
    if faults:
        return Error(faults)
    groups: dict[str, list[Any]] = {
        "zones": list(version.zones),
        "models": list(version.models),
        "policy": [version.policy],
    }
    _add_groups(groups, "hosts", version.hosts)
    for account in version.accounts:
        groups[f"accounts/{_quoted(account.name)}"] = [account]
    for pipeline in version.pipelines:
        groups[f"pipelines/{_quoted(pipeline.name)}"] = [pipeline]
    for pool in version.pools:
        groups[f"pools/{_quoted(pool.name)}"] = [attrs.evolve(pool, targets=())]
        _add_groups(groups, f"targets/{_quoted(pool.name)}", pool.targets)
    return Ok(assemble(version.version, [_section(path, items) for path, items in groups.items()]))


def assemble(version: int, parts: Iterable[Section]) -> SectionSet:
    """Puts sections together to a version."""
    sections = {part.path: part for part in sorted(parts, key=lambda part: part.path)}
    digest = hashlib.blake2b(str(version).encode(), digest_size=HASH_SIZE_BYTES)
    for section in sections.values():
        digest.update(section.content_hash)
    return SectionSet(version, digest.digest(), sections, _manifest(version, sections))


def parse_section(path: str, content: bytes) -> Result[Section, Malformed]:
    """Parses a section from a peer."""
    item_type = _TYPES.get(path.partition("/")[0])
    if item_type is None:
        return Error(Malformed(f"unknown kind of section: {path}"))
    try:
        items = tuple(_CONVERTER.structure(item, item_type) for item in json.loads(content))
    except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError) as error:
        return Error(Malformed(f"{path}: {type(error).__name__}"))
    return Ok(Section(path, content, _hash(path, content), items))


def _section(path: str, items: list[Any]) -> Section:
    values = [_CONVERTER.unstructure(item) for item in items]
    content = json.dumps(values, sort_keys=True, separators=(",", ":")).encode()
    return Section(path, content, _hash(path, content), tuple(items))


def _hash(path: str, content: bytes) -> bytes:
    return hashlib.blake2b(path.encode() + b"\0" + content, digest_size=HASH_SIZE_BYTES).digest()


def _quoted(name: str) -> str:
    return parse.quote(name, safe="")


def _add_groups(groups: dict[str, list[Any]], prefix: str, items: Iterable[Any]) -> None:
    ordered = sorted(items, key=lambda item: str(item.id))
    # A power of two, so that the groups stay as they are until the number of items has doubled.
    count = 1
    while count * GROUP_SIZE < len(ordered):
        count *= 2
    for item in ordered:
        group = xxhash.xxh3_64_intdigest(item.id.encode()) % count
        groups.setdefault(f"{prefix}/{count}/{group}", []).append(item)


def _manifest(version: int, sections: Mapping[str, Section]) -> manifest.Manifest:
    items: dict[str, list[Any]] = {kind: [] for kind in _TYPES}
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
            _pool(pool, targets.get(_quoted(pool.name), []))
            for pool in sorted(items["pools"], key=lambda pool: pool.name)
        ),
        pipelines=tuple(sorted(items["pipelines"], key=lambda pipeline: pipeline.name)),
        policy=items["policy"][0] if items["policy"] else manifest.Policy(),
    )


def _pool(pool: manifest.Pool, targets: list[manifest.Target]) -> manifest.Pool:
    return attrs.evolve(pool, targets=tuple(sorted(targets, key=lambda target: target.id)))


def _duplicates(version: manifest.Manifest) -> Iterable[manifest.ManifestFault]:
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
