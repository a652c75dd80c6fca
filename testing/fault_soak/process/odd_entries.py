"""Entries that another writer leaves in the store beside the sound ones."""

from __future__ import annotations

import json

_DEEP = 100_000
# Deep enough for a decoder that recurses, and short enough for one that only parses.
_NESTED = 800


def _entry(address: str, **changes: str) -> bytes:
    """Returns an entry in which some fields have other JSON texts."""
    fields = {
        "service": '"plain"',
        "address": json.dumps(address),
        "zone": '"z1"',
        "slots": "16",
        "state": '"ready"',
        "coldRemainingMs": "0",
        "sequence": "1",
        "born": "1700000000000",
    }
    pairs = ", ".join(f'"{name}": {text}' for name, text in (fields | changes).items())
    return f"{{{pairs}}}".encode()


def entries(ip: str) -> dict[str, bytes]:
    """Returns odd entries by name; their addresses have the given IP address."""
    address = f"{ip}:9001"
    return {
        "deep": b"[" * _DEEP,
        "deep-objects": b'{"a":' * _DEEP + b"0" + b"}" * _DEEP,
        "nested-field": _entry(address, extra="[" * _NESTED + "]" * _NESTED),
        "nested-slots": _entry(address, slots="[" * _NESTED + "]" * _NESTED),
        "infinite-cold-time": _entry(address, coldRemainingMs="1e999"),
        "infinite-slots": _entry(address, slots="1e999"),
        "infinite-birth": _entry(address, born="1e999"),
        "long-cold-time": _entry(address, coldRemainingMs="1" + "0" * 400),
        "long-birth": _entry(address, born="1" + "0" * 400),
        "birth-beyond-64-bits": _entry(address, born="1" + "0" * 20),
        "endless-digits": _entry(address, slots="1" * 10_000),
        "negative-slots": _entry(address, slots="-1"),
        "port-70000": _entry(f"{ip}:70000"),
        "port-0": _entry(f"{ip}:0"),
        "port-of-many-digits": _entry(f"{ip}:" + "9" * 30),
        "port-in-superscript": _entry(f"{ip}:\u00b2"),
    }
