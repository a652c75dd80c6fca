"""Bounds on single model fields, shared by the published schema and the validation."""

from __future__ import annotations

import ipaddress
import re

import attrs

# JSON parsers that store numbers as doubles lose precision above this value.
MAX_INTEGER = 2**53 - 1
MAX_NUMBER = 1e12
MAX_TEXT_LENGTH = 1_000
MAX_PORT = 65_535

# Names are used in URL paths, header values and statsd names; in a credential, `:` terminates the
# account name. The look-ahead rejects a trailing newline, which `$` matches in Python.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$(?!\n)"
HEXADECIMAL_PATTERN = r"^([0-9a-f]{2})+$(?!\n)"
PATTERN_DESCRIPTIONS = {
    NAME_PATTERN: "of 1 to 128 letters, digits, dots, dashes and underscores",
    HEXADECIMAL_PATTERN: "of pairs of lower-case hexadecimal digits",
}
ADDRESS_FORMAT = "ip-port"

_PATTERNS = {pattern: re.compile(pattern) for pattern in (NAME_PATTERN, HEXADECIMAL_PATTERN)}
# `ipaddress` takes 90 ms for the 14,000 addresses of a manifest of the design size, so IPv4
# addresses are matched by a regular expression.
_IPV4_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4_PATTERN = re.compile(rf"{_IPV4_OCTET}(?:\.{_IPV4_OCTET}){{3}}:[1-9][0-9]{{0,4}}\Z")
_PORT_PATTERN = re.compile(r"[0-9]{1,5}")


@attrs.frozen
class Constraint:
    """Bounds on one field; None selects the default of the field's type.

    Attributes:
        minimum: Smallest number.
        maximum: Largest number.
        min_length: Fewest characters.
        max_length: Most characters.
        pattern: Pattern of this module that the string must match.
        format: `ip-port` for addresses.
        min_items: Fewest entries of a list.
        max_items: Most entries of a list.
        items: Bounds on each entry of a list.
    """

    minimum: float | None = None
    maximum: float | None = None
    min_length: int | None = None
    max_length: int | None = None
    pattern: str | None = None
    format: str | None = None
    min_items: int | None = None
    max_items: int | None = None
    items: Constraint | None = None


NAME = Constraint(pattern=NAME_PATTERN)
ADDRESS = Constraint(format=ADDRESS_FORMAT)
FRACTION = Constraint(minimum=0, maximum=1)
COUNT = Constraint(minimum=1)


def is_address(text: str) -> bool:
    """Returns whether a string is `ip:port` with an IP address and a port from 1 to 65535.

    >>> is_address("10.0.0.1:80"), is_address("[::1]:80"), is_address("localhost:80")
    (True, True, False)
    """
    if _IPV4_PATTERN.match(text):
        return int(text.rpartition(":")[2]) <= MAX_PORT
    ip, _, port = text.rpartition(":")
    bracketed = ip.startswith("[") and ip.endswith("]")
    try:
        parsed = ipaddress.ip_address(ip[1:-1] if bracketed else ip)
    except ValueError:
        return False
    if (parsed.version == 6) is not bracketed:
        return False
    return _PORT_PATTERN.fullmatch(port) is not None and 1 <= int(port) <= MAX_PORT


def satisfies(constraint: Constraint, value: object) -> bool:
    """Returns whether a value of the right type is within its bounds.

    >>> satisfies(FRACTION, 1.5), satisfies(NAME, "zone-a"), satisfies(COUNT, 2)
    (False, True, True)
    """
    match value:
        case bool() | None:
            return True
        case int() | float():
            return _number_satisfies(constraint, value)
        case str():
            return _text_satisfies(constraint, value)
        case tuple() | list():
            return _items_satisfy(constraint, value)
        case _:
            return True


def _number_satisfies(constraint: Constraint, value: float) -> bool:
    low = 0 if constraint.minimum is None else constraint.minimum
    high = maximum_of(constraint, integer=isinstance(value, int))
    # NaN fails this comparison.
    return low <= value <= high


def maximum_of(constraint: Constraint, *, integer: bool) -> float:
    """Returns the largest number that a constraint permits."""
    if constraint.maximum is not None:
        return constraint.maximum
    return MAX_INTEGER if integer else MAX_NUMBER


def _text_satisfies(constraint: Constraint, value: str) -> bool:
    low = 1 if constraint.min_length is None else constraint.min_length
    high = MAX_TEXT_LENGTH if constraint.max_length is None else constraint.max_length
    if not low <= len(value) <= high:
        return False
    if constraint.pattern is not None and not _PATTERNS[constraint.pattern].fullmatch(value):
        return False
    return constraint.format != ADDRESS_FORMAT or is_address(value)


def _items_satisfy(constraint: Constraint, value: tuple[object, ...] | list[object]) -> bool:
    if constraint.min_items is not None and len(value) < constraint.min_items:
        return False
    return constraint.max_items is None or len(value) <= constraint.max_items
