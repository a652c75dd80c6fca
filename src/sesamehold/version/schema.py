"""Published JSON schema of the manifest, and validation of documents against it."""

from __future__ import annotations

import functools
import importlib.resources
import json
from typing import Any

from expression import Error
from expression import Result

from sesamehold.version import constraints
from sesamehold.version import manifest
from sesamehold.version import model_schema
from sesamehold.version import schema_faults

FILE_NAME = "manifest.schema.json"
TITLE = "Manifest of sesamehold"

_NAMES = constraints.Constraint(items=constraints.NAME)

CONSTRAINTS: model_schema.ConstraintTable = {
    manifest.Zone: {"name": constraints.NAME, "region": constraints.NAME},
    manifest.Host: {
        "id": constraints.NAME,
        "zone": constraints.NAME,
        "peer_address": constraints.ADDRESS,
        "operator_address": constraints.ADDRESS,
    },
    manifest.PartnerShare: {"partner": constraints.NAME, "fraction": constraints.FRACTION},
    manifest.Account: {
        "name": constraints.NAME,
        "partners": constraints.Constraint(min_items=1),
        "credential_salt": constraints.Constraint(
            pattern=constraints.HEXADECIMAL_PATTERN, min_length=4, max_length=128
        ),
        "credential_hash": constraints.Constraint(
            pattern=constraints.HEXADECIMAL_PATTERN, min_length=64, max_length=64
        ),
        # An account with weight 0 would never be served.
        "weight": constraints.Constraint(minimum=0.001, maximum=1_000_000),
    },
    manifest.Model: {
        "name": constraints.NAME,
        "versions": constraints.Constraint(min_items=1, items=constraints.NAME),
        "adapters": _NAMES,
    },
    manifest.Target: {
        "id": constraints.NAME,
        "address": constraints.ADDRESS,
        "zone": constraints.NAME,
    },
    manifest.Pool: {
        "name": constraints.NAME,
        "owner": constraints.NAME,
        "capacity_warm": constraints.COUNT,
        "capacity_cold": constraints.COUNT,
        "max_service_ms": constraints.Constraint(minimum=1, maximum=86_400_000),
    },
    manifest.Stage: {
        "name": constraints.NAME,
        "pool": constraints.NAME,
        "model": constraints.NAME,
        "adapter": constraints.NAME,
        "max_tokens": constraints.COUNT,
    },
    manifest.Pipeline: {
        "name": constraints.NAME,
        "owner": constraints.NAME,
        "stages": constraints.Constraint(min_items=3, max_items=6),
        "default_deadline_ms": constraints.Constraint(minimum=1, maximum=86_400_000),
        "max_deadline_ms": constraints.Constraint(minimum=1, maximum=86_400_000),
        "callers": _NAMES,
    },
    manifest.Policy: {
        "key_retention_ms": constraints.Constraint(minimum=1_000, maximum=86_400_000),
        "clock_skew_ms": constraints.Constraint(minimum=0, maximum=60_000),
        "retry_fraction": constraints.FRACTION,
        "weight_loads_per_minute": constraints.Constraint(minimum=0, maximum=1_000_000),
        "unavailable_fraction": constraints.FRACTION,
    },
    manifest.Manifest: {
        "version": constraints.COUNT,
        "zones": constraints.Constraint(min_items=1),
        "hosts": constraints.Constraint(min_items=1),
    },
}


def generate() -> dict[str, Any]:
    """Generates the schema from the model."""
    return model_schema.generate(manifest.Manifest, TITLE, CONSTRAINTS)


def to_text(document: dict[str, Any]) -> str:
    """Returns a schema serialized as in the committed file."""
    return json.dumps(document, indent=2) + "\n"


@functools.cache
def published() -> dict[str, Any]:
    """Returns the committed schema."""
    text = importlib.resources.files(__package__).joinpath(FILE_NAME).read_text("utf-8")
    document: dict[str, Any] = json.loads(text)
    return document


def parse(document: Any) -> Result[manifest.Manifest, tuple[manifest.ManifestFault, ...]]:
    """Builds a manifest from parsed JSON, or returns detailed schema faults.

    Schema validation takes seconds for a manifest of the design size, so entry hosts use
    `manifest.from_json` and `validation.validate`, which find the same faults.
    """
    faults = schema_faults.SchemaChecker(published()).faults(document)
    return Error(faults) if faults else manifest.from_json(document)
