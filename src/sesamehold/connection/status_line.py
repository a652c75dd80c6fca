"""Strict reading of the status in the first line of an HTTP answer.

A peer in trouble may state any three digits. An answer whose status has no meaning is no answer,
and is treated as other bytes that are none.
"""

from __future__ import annotations

import enum

_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599
# No request asks for another protocol, so a peer that switches to one does not answer.
_SWITCHING_PROTOCOLS = 101


class StatusKind(enum.Enum):
    """What an answer with some status is."""

    INTERIM = "interim"
    FINAL = "final"
    INVALID = "invalid"


def classify(status: int) -> StatusKind:
    """Returns what an answer is whose status was sent as three digits.

    >>> [classify(status).value for status in (100, 200, 599)]
    ['interim', 'final', 'final']
    >>> {classify(status).value for status in (0, 99, 101, 600, 999)}
    {'invalid'}
    """
    if not _FIRST_STATUS <= status <= _LAST_STATUS or status == _SWITCHING_PROTOCOLS:
        return StatusKind.INVALID
    return StatusKind.FINAL if status >= _FIRST_FINAL_STATUS else StatusKind.INTERIM
