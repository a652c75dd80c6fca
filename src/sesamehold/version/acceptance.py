"""Decides whether a candidate version replaces the version in force.

Content validation does not depend on the version in force, so hosts that skip a version reach the
same result.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.version import manifest
from sesamehold.version import sections

Validator: TypeAlias = Callable[[manifest.Manifest], tuple[manifest.ManifestFault, ...]]


@attrs.frozen
class Stale:
    """The candidate is older than the version in force."""

    version: int
    version_in_force: int


@attrs.frozen
class Unchanged:
    """The candidate is the version in force."""

    version: int


@attrs.frozen
class Conflict:
    """The version number in force was published again with other content."""

    version: int
    content_hash: bytes
    content_hash_in_force: bytes


@attrs.frozen
class Invalid:
    """The candidate failed validation."""

    version: int | None
    faults: tuple[manifest.ManifestFault, ...]


Refusal: TypeAlias = Stale | Unchanged | Conflict | Invalid


def accept_all(version: manifest.Manifest) -> tuple[manifest.ManifestFault, ...]:
    """Accepts every manifest; the default validator."""
    del version
    return ()


def decide(
    candidate: sections.SectionSet,
    in_force: sections.SectionSet | None,
    validate: Validator = accept_all,
) -> Result[sections.SectionSet, Refusal]:
    """Returns the candidate if it replaces the version in force, else the reason for refusal.

    Args:
        candidate: Published or fetched version.
        in_force: Version in force, None if the host has just started.
        validate: Validates the content; must depend on the manifest alone.
    """
    version = candidate.version
    if in_force is not None and version < in_force.version:
        return Error(Stale(version, in_force.version))
    if in_force is not None and version == in_force.version:
        if candidate.content_hash == in_force.content_hash:
            return Error(Unchanged(version))
        return Error(Conflict(version, candidate.content_hash, in_force.content_hash))
    if version < 1:
        fault = manifest.ManifestFault("version", "must be at least 1")
        return Error(Invalid(version, (fault,)))
    faults = validate(candidate.manifest)
    return Error(Invalid(version, faults)) if faults else Ok(candidate)
