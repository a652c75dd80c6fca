"""Generator of the configuration reference and the schema files from the models.

`python -m sesamehold.process.reference` writes them into a checkout.
"""

from __future__ import annotations

from collections.abc import Iterator
import json
import pathlib
import sys
from typing import Any

import sesamehold
from sesamehold.process import settings
from sesamehold.version import schema
from sesamehold.version import schema_faults

_HEADER = """# Configuration reference

This page is generated from the models by `python -m sesamehold.process.reference`; a test checks
that it is current. `sesamehold check FILE` checks a manifest or a settings file by the same rules,
and `sesamehold schema` prints the JSON schemas.
"""
_RULES = """
## Rules across fields

`sesamehold check` and every entry host also check the following rules of a manifest:

- Names of zones, hosts, accounts, models, pools, pipelines and targets are unique; stage names are
  unique within their pipeline. No two hosts or targets share an address.
- Every zone, account, pool, model and adapter that is referred to exists.
- The fractions of an account's partners add up to 1. The account name `fleet` is reserved.
- `capacity_cold` does not exceed `capacity_warm`.
- `default_deadline_ms` does not exceed `max_deadline_ms`.
- A `generate` stage names a model and runs on a pool of kind `engine`; all other stages run on
  pools of kind `service`.

The caller, operator and peer addresses of the settings differ from each other.
"""


def files() -> dict[str, str]:
    """Returns the contents of the generated files by path within a checkout."""
    manifest_schema = schema.generate()
    settings_schema = settings.generate_schema()
    return {
        f"src/sesamehold/version/{schema.FILE_NAME}": schema.to_text(manifest_schema),
        f"src/sesamehold/process/{settings.FILE_NAME}": schema.to_text(settings_schema),
        "docs/configuration.md": page(manifest_schema, settings_schema),
    }


def page(manifest_schema: dict[str, Any], settings_schema: dict[str, Any]) -> str:
    """Returns the reference page in Markdown."""
    lines = [_HEADER]
    lines += _document("Manifest", "Manifest", manifest_schema)
    lines += [_RULES]
    lines += _document("Settings", "Settings", settings_schema)
    return "\n".join(lines).rstrip() + "\n"


def _document(heading: str, root_name: str, document: dict[str, Any]) -> Iterator[str]:
    yield f"## {heading}\n"
    yield from _table(root_name, document)
    for name, definition in document["$defs"].items():
        yield from _table(name, definition)


def _table(name: str, definition: dict[str, Any]) -> Iterator[str]:
    yield f"### {name}\n\n{definition['description']}\n"
    yield "| field | expected | default | description |"
    yield "| --- | --- | --- | --- |"
    for field, item in definition["properties"].items():
        default = f"`{json.dumps(item['default'])}`" if "default" in item else "required"
        yield f"| `{field}` | {_expected(item)} | {default} | {item['description']} |"
    yield ""


def _expected(item: dict[str, Any]) -> str:
    if item.get("type") == "array":
        inner = item["items"]
        bounds = schema_faults.expected(item).removeprefix("array").strip()
        return f"list of {_expected(inner)} {bounds}".strip()
    if "$ref" in item:
        return _link(item["$ref"])
    if "anyOf" in item:
        return f"{_link(item['anyOf'][0]['$ref'])} or null"
    return schema_faults.expected(item).replace("|", "\\|")


def _link(reference: str) -> str:
    name = reference.rpartition("/")[2]
    return f"[{name}](#{name.lower()})"


def main() -> None:
    """Writes the generated files into the checkout that this module belongs to."""
    root = pathlib.Path(sesamehold.__file__).parents[2]
    for path, text in files().items():
        (root / path).write_text(text, encoding="utf-8")
        sys.stdout.write(f"wrote {path}\n")


if __name__ == "__main__":
    main()
