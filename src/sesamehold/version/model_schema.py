"""Generates a JSON schema (draft 2020-12) from an `attrs` model.

Descriptions are taken from the `Attributes` sections of the docstrings and units from the suffixes
of the field names, so the schema cannot diverge from the model.
"""

from __future__ import annotations

from collections.abc import Mapping
import enum
import functools
import types
import typing
from typing import Any

import attrs
import docstring_parser

from sesamehold.version import constraints

UNIT_KEY = "x-unit"

ConstraintTable = Mapping[type, Mapping[str, constraints.Constraint]]

_UNITS = {
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_per_s": "per second",
    "_per_minute": "per minute",
    "_per_unit": "millionths of the venture's currency per unit",
    "header_count": "lines",
    "_requests": "requests",
    "_streams": "streams",
    "max_tokens": "tokens",
    "capacity_warm": "concurrent requests",
    "capacity_cold": "concurrent requests",
    "address": "the form ip:port",
    "fraction": "parts of 1",
    "weight": "shares",
}
_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def generate(model: type, title: str, table: ConstraintTable) -> dict[str, Any]:
    """Returns the schema of a model; raises ValueError if a field has no description."""
    definitions: dict[str, Any] = {}
    root = _Generator(table, definitions).object_schema(model)
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": title,
        **root,
        "$defs": dict(sorted(definitions.items())),
    }


def unit_of(field_name: str) -> str | None:
    """Returns the unit given by the suffix of a field name.

    >>> unit_of("drain_ms"), unit_of("name")
    ('milliseconds', None)
    """
    return next((unit for suffix, unit in _UNITS.items() if field_name.endswith(suffix)), None)


@functools.cache
def descriptions(model: type) -> Mapping[str, str]:
    """Returns the attribute descriptions in the docstring of a class."""
    parsed = docstring_parser.parse(model.__doc__ or "", docstring_parser.DocstringStyle.GOOGLE)
    return {
        item.arg_name: " ".join((item.description or "").split())
        for item in parsed.params
        if item.args[0] == "attribute"
    }


@attrs.frozen
class _Generator:
    _table: ConstraintTable
    _definitions: dict[str, Any]

    def object_schema(self, model: type) -> dict[str, Any]:
        hints = typing.get_type_hints(model)
        texts = descriptions(model)
        bounds = self._table.get(model, {})
        properties: dict[str, Any] = {}
        required: list[str] = []
        for field in attrs.fields(model):
            if not texts.get(field.name):
                raise ValueError(f"{model.__name__}.{field.name} has no description")
            constraint = bounds.get(field.name, constraints.Constraint())
            schema = {
                "description": texts[field.name],
                **self._type_schema(hints[field.name], constraint),
            }
            unit = unit_of(field.name)
            if unit is not None:
                schema[UNIT_KEY] = unit
            if field.default is attrs.NOTHING:
                required.append(field.name)
            else:
                schema["default"] = _to_json_value(field.default)
            properties[field.name] = schema
        return {
            "type": "object",
            "description": (model.__doc__ or "").partition("\n")[0],
            "properties": properties,
            "required": required,
            "additionalProperties": False,
        }

    def _type_schema(self, hint: Any, constraint: constraints.Constraint) -> dict[str, Any]:
        origin = typing.get_origin(hint)
        if origin in (types.UnionType, typing.Union):
            return self._optional(hint, constraint)
        if origin is tuple:
            return self._array(typing.get_args(hint)[0], constraint)
        if attrs.has(hint):
            return self._reference(hint)
        if isinstance(hint, type) and issubclass(hint, enum.Enum):
            return {"enum": [member.value for member in hint]}
        return {"type": _TYPES[hint], **_scalar_bounds(hint, constraint)}

    def _optional(self, hint: Any, constraint: constraints.Constraint) -> dict[str, Any]:
        (inner,) = [item for item in typing.get_args(hint) if item is not type(None)]
        if attrs.has(inner):
            return {"anyOf": [self._reference(inner), {"type": "null"}]}
        schema = self._type_schema(inner, constraint)
        return {**schema, "type": [schema["type"], "null"]}

    def _array(self, item: Any, constraint: constraints.Constraint) -> dict[str, Any]:
        inner = constraint.items or constraints.Constraint()
        schema: dict[str, Any] = {"type": "array", "items": self._type_schema(item, inner)}
        if constraint.min_items is not None:
            schema["minItems"] = constraint.min_items
        if constraint.max_items is not None:
            schema["maxItems"] = constraint.max_items
        return schema

    def _reference(self, model: type) -> dict[str, Any]:
        if model.__name__ not in self._definitions:
            self._definitions[model.__name__] = {}
            self._definitions[model.__name__] = self.object_schema(model)
        return {"$ref": f"#/$defs/{model.__name__}"}


def _scalar_bounds(hint: type, constraint: constraints.Constraint) -> dict[str, Any]:
    if hint is bool:
        return {}
    if hint is str:
        low, high = constraint.min_length, constraint.max_length
        schema: dict[str, Any] = {
            "minLength": 1 if low is None else low,
            "maxLength": constraints.MAX_TEXT_LENGTH if high is None else high,
        }
        if constraint.pattern is not None:
            schema["pattern"] = constraint.pattern
        if constraint.format is not None:
            schema["format"] = constraint.format
        return schema
    return {
        "minimum": 0 if constraint.minimum is None else constraint.minimum,
        "maximum": constraints.maximum_of(constraint, integer=hint is int),
    }


def _to_json_value(value: Any) -> Any:
    if attrs.has(type(value)):
        return {
            field.name: _to_json_value(getattr(value, field.name))
            for field in attrs.fields(type(value))
        }
    if isinstance(value, enum.Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value
