"""Implementation of `check`, `diff` and `schema`, which work on files."""

from __future__ import annotations

from collections.abc import Sequence
import contextlib
import json
import pathlib
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result
import json5

from sesamehold.process import cli_output
from sesamehold.process import settings
from sesamehold.version import difference
from sesamehold.version import manifest
from sesamehold.version import schema
from sesamehold.version import schema_faults
from sesamehold.version import validation

# Tells the kinds of file apart: a manifest has all of these fields, a settings file has none.
_MANIFEST_FIELDS = {"zones", "hosts", "accounts", "pools", "pipelines"}


@attrs.frozen
class UnreadableFile:
    """A file that cannot be read; `text` is the error message."""

    text: str


def check(path: pathlib.Path) -> cli_output.Report:
    """Checks a manifest or a settings file; the fields tell which one it is."""
    match _read(path):
        case Result(tag="ok", ok=text):
            pass
        case Result(error=unreadable):
            return cli_output.usage_error(unreadable.text)
    document = _parse(text)
    duplicates = _duplicate_fields(text)
    if duplicates:
        return _check_report(path, "JSON", duplicates)
    if isinstance(document, dict) and _MANIFEST_FIELDS & document.keys():
        kind, faults = "manifest", manifest_faults(document)
    elif document is None:
        kind, faults = "JSON", settings.from_text(text).swap().default_value(())
    else:
        kind, faults = "settings", settings.from_text(text).swap().default_value(())
    return _check_report(path, kind, faults)


def diff(old: pathlib.Path, new: pathlib.Path) -> cli_output.Report:
    """Compares two manifests; exits with code 0 also if they differ."""
    versions = []
    for path in (old, new):
        match load_manifest(path):
            case Result(tag="ok", ok=version):
                versions.append(version)
            case Result(error=report):
                return report
    effects = difference.effects(*versions)
    lines = tuple(str(effect) for effect in effects) or ("Nothing changes.",)
    document = {"effects": [attrs.asdict(effect) for effect in effects]}
    return cli_output.Report(cli_output.ExitCode.OK, lines, document)


def schemas(*, of_settings: bool) -> cli_output.Report:
    """Returns a published schema."""
    document = settings.published_schema() if of_settings else schema.published()
    lines = tuple(schema.to_text(document).splitlines())
    return cli_output.Report(cli_output.ExitCode.OK, lines, document)


def load_manifest(path: pathlib.Path) -> Result[manifest.Manifest, cli_output.Report]:
    """Reads a manifest; returns a report if it cannot be read or has faults."""
    match _read(path):
        case Result(tag="ok", ok=text):
            document = _parse(text)
        case Result(error=unreadable):
            return Error(cli_output.usage_error(unreadable.text))
    faults = manifest_faults(document)
    if faults:
        return Error(_check_report(path, "manifest", faults))
    return Ok(manifest.from_json(document).ok)


def manifest_faults(document: Any) -> tuple[manifest.ManifestFault, ...]:
    """Returns the faults of a parsed manifest by the schema and the cross-field rules."""
    match schema.parse(document):
        case Result(tag="ok", ok=version):
            return validation.validate(version)
        case Result(error=faults):
            return faults


def _check_report(
    path: pathlib.Path, kind: str, faults: Sequence[manifest.ManifestFault]
) -> cli_output.Report:
    document = {
        "file": str(path),
        "kind": kind,
        "faults": [attrs.asdict(fault) for fault in faults],
    }
    if not faults:
        line = f"{path}: no faults in this {kind} file"
        return cli_output.Report(cli_output.ExitCode.OK, (line,), document)
    lines = (f"{path}: {len(faults)} faults in this {kind} file", *(f"  {item}" for item in faults))
    return cli_output.Report(cli_output.ExitCode.FAULT_FOUND, lines, document)


def _read(path: pathlib.Path) -> Result[str, UnreadableFile]:
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Error(UnreadableFile(f"{path}: cannot be read: {error.strerror}"))
    except UnicodeDecodeError:
        return Error(UnreadableFile(f"{path}: is not UTF-8 text"))


def _duplicate_fields(text: str) -> tuple[manifest.ManifestFault, ...]:
    """Returns faults for duplicate fields of an object; a parser silently takes the last one."""
    faults: list[manifest.ManifestFault] = []

    def record_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        names = [name for name, _ in pairs]
        for name in dict.fromkeys(item for item in names if names.count(item) > 1):
            reason = "occurs more than once in one object"
            faults.append(manifest.ManifestFault(name, reason))
        return dict(pairs)

    with contextlib.suppress(ValueError, RecursionError):
        json.loads(text, object_pairs_hook=record_duplicates)
    return tuple(faults[: schema_faults.MAX_FAULTS])


def _parse(text: str) -> Any:
    # Tries plain JSON first: the JSON5 parser is far too slow for a manifest.
    parsers = (json.loads, json5.loads) if len(text) <= settings.MAX_TEXT_LENGTH else (json.loads,)
    for parse in parsers:
        try:
            return parse(text)
        except (ValueError, RecursionError):
            continue
    return None
