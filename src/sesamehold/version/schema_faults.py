"""Translates JSON schema validation errors into faults that an operator can act on."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import itertools
from typing import Any

import attrs
import jsonschema

from sesamehold.version import constraints
from sesamehold.version import manifest
from sesamehold.version import model_schema

# A document of the wrong kind has a fault in every entry; listing more of them adds nothing.
MAX_FAULTS = 100

_TYPE_CHECKER = jsonschema.Draft202012Validator.TYPE_CHECKER.redefine(
    # JSON schema accepts 1.0 as an integer; the model does not.
    "integer",
    lambda _, value: isinstance(value, int) and not isinstance(value, bool),
)
_FORMAT_CHECKER = jsonschema.FormatChecker(formats=())
_FORMAT_CHECKER.checks(constraints.ADDRESS_FORMAT)(
    lambda value: not isinstance(value, str) or constraints.is_address(value)
)
_Validator = jsonschema.validators.extend(
    jsonschema.Draft202012Validator, type_checker=_TYPE_CHECKER, format_checker=_FORMAT_CHECKER
)


@attrs.frozen
class SchemaChecker:
    """Validates documents against one schema."""

    _schema: Mapping[str, Any]

    def faults(self, document: Any) -> tuple[manifest.ManifestFault, ...]:
        """Returns all faults of a parsed document, at most `MAX_FAULTS`."""
        validator = _Validator(self._schema, format_checker=_FORMAT_CHECKER)
        errors = validator.iter_errors(document)
        found = itertools.chain.from_iterable(self._faults_of(error) for error in errors)
        return tuple(itertools.islice(found, MAX_FAULTS))

    def _faults_of(self, error: Any) -> Iterator[manifest.ManifestFault]:
        path = list(error.absolute_path)
        match error.validator:
            case "additionalProperties":
                yield from self._unknown_fields(path, error)
            case "required":
                yield from self._missing_field(path, error)
            case "anyOf":
                yield from self._faults_of_branches(path, error)
            case "enum":
                nearest = nearest_name(error.instance, error.validator_value)
                reason = f"expected one of {', '.join(map(str, error.validator_value))}"
                yield manifest.ManifestFault(format_path(path), reason, nearest)
            case _:
                reason = (
                    f"expected {expected(error.schema)}, found {_describe_value(error.instance)}"
                )
                yield manifest.ManifestFault(format_path(path), reason)

    def _faults_of_branches(
        self, path: list[str | int], error: Any
    ) -> Iterator[manifest.ManifestFault]:
        # Each `anyOf` is an object or null, so for an object only the faults of the object branch
        # are reported.
        if not isinstance(error.instance, dict):
            reason = f"expected object or null, found {_describe_value(error.instance)}"
            yield manifest.ManifestFault(format_path(path), reason)
            return
        for inner in error.context:
            if inner.schema_path[0] == 0:
                yield from self._faults_of(inner)

    def _unknown_fields(
        self, path: list[str | int], error: Any
    ) -> Iterator[manifest.ManifestFault]:
        known = error.schema["properties"]
        for name in sorted(set(error.instance) - set(known)):
            nearest = nearest_name(name, known)
            yield manifest.ManifestFault(format_path([*path, name]), "unknown field", nearest)

    def _missing_field(self, path: list[str | int], error: Any) -> Iterator[manifest.ManifestFault]:
        # jsonschema reports each missing field as a separate error.
        name = error.message.split("'")[1]
        reason = f"missing; expected {expected(error.schema['properties'][name])}"
        yield manifest.ManifestFault(format_path([*path, name]), reason)


def nearest_name(name: object, known: Iterable[object]) -> str | None:
    """Returns the known name most similar to an unknown one.

    >>> nearest_name("capcity_cold", ["capacity_cold", "owner"])
    'capacity_cold'
    """
    if not isinstance(name, str):
        return None
    # Matching is quadratic in the length of the names, so long names are truncated.
    names = [str(item) for item in known]
    return next(iter(difflib.get_close_matches(name[:200], names, n=1)), None)


def format_path(path: Iterable[str | int]) -> str:
    """Formats a path within a document.

    >>> format_path(["pools", 2, "capacity_cold"])
    'pools[2].capacity_cold'
    """
    text = "".join(f"[{item}]" if isinstance(item, int) else f".{item}" for item in path)
    return text.removeprefix(".") or "$"


def expected(schema: Mapping[str, Any]) -> str:
    """Describes the type, unit and bounds of a field.

    >>> expected({"type": "integer", "minimum": 0, "maximum": 9, "x-unit": "milliseconds"})
    'integer in milliseconds from 0 to 9'
    """
    if "$ref" in schema or "anyOf" in schema:
        return "object"
    if "enum" in schema:
        return "one of " + ", ".join(map(str, schema["enum"]))
    kinds = schema["type"] if isinstance(schema["type"], list) else [schema["type"]]
    words = [" or ".join(kinds)]
    unit = schema.get(model_schema.UNIT_KEY)
    if unit is not None:
        words.append(unit if unit.startswith("per ") else f"in {unit}")
    if "minimum" in schema:
        words.append(f"from {schema['minimum']:.16g} to {schema['maximum']:.16g}")
    words.extend(_text_bounds(schema))
    if "maxItems" in schema:
        words.append(f"with {schema.get('minItems', 0)} to {schema['maxItems']} entries")
    elif "minItems" in schema:
        words.append(f"with at least {schema['minItems']} entries")
    return " ".join(words)


def _text_bounds(schema: Mapping[str, Any]) -> Iterator[str]:
    if schema.get("format") == constraints.ADDRESS_FORMAT:
        yield "with an IP number and a port"
        return
    pattern = schema.get("pattern")
    if pattern is not None:
        yield constraints.PATTERN_DESCRIPTIONS[pattern]
    if "minLength" in schema and pattern != constraints.NAME_PATTERN:
        low, high = schema["minLength"], schema["maxLength"]
        yield f"of {low} characters" if low == high else f"of {low} to {high} characters"


def _describe_value(value: Any) -> str:
    # Only numbers are shown, because any other misplaced value may be a secret.
    match value:
        case None:
            return "null"
        case bool():
            return "boolean"
        case int() | float():
            return f"number {value!r:.40}"
        case str():
            return f"string of {len(value)} characters"
        case list():
            return f"array of {len(value)} entries"
        case _:
            return "object"
