"""Tests that many callers at the limits cost a gateway neither its life nor its memory.

The limits are the default ones. Most callers stop short of the end of what they have begun and stay
connected, in every framing of a body.
"""

from __future__ import annotations

import pathlib

import crowd
import crowd_gateway
import platform_stand_in as stand_in
import pytest

from sesamehold.process import listening

CALLER_COUNT = 200
LARGE_CALLER_COUNT = 400
HEADER_BYTES = 16_384
BODY_BYTES = 4_194_304
LIMITS = {
    "headerBytes": HEADER_BYTES,
    "bodyBytes": BODY_BYTES,
    "headerMs": 20_000,
    "idleMs": 20_000,
}
LARGE = crowd_gateway.LARGE
METRICS_REQUEST = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
METRICS_ONLY = ("metrics-that-are-not-read",)
STREAMS = crowd.streams_at_limits(
    crowd_gateway.HEAD, crowd_gateway.SLOW_HEAD, HEADER_BYTES, BODY_BYTES
)
# The other listeners have limits of their own on heads.
OTHER_STREAMS = crowd.streams_at_limits(
    crowd_gateway.HEAD,
    crowd_gateway.SLOW_HEAD,
    listening.ConnectionLimits().header_size_bytes,
    BODY_BYTES,
)
STREAMS["answers-that-are-not-read"] = crowd.Stream(b"", LARGE * 4, 8_000, reads=False)
OTHER_STREAMS[METRICS_ONLY[0]] = crowd.Stream(b"", METRICS_REQUEST * 8, 4_000, reads=False)
FRONT, READINESS, METRICS = crowd_gateway.LISTENERS
OTHERS = (
    "length-far-over",
    "length-that-stops-short",
    "chunks-that-stop-short",
    "chunks-like-the-end-of-a-body",
    "trailers-without-their-end",
    "largest-wide-head-without-its-body",
)
MIXED = (
    ("length-that-stops-short", "largest-wide-head-without-its-body"),
    ("length-far-over", "answers-that-are-not-read"),
    ("length-sent-whole", "small-chunks-behind-a-request"),
)
# Each kind has an address of its own, as its ports may not be free at once.
CASES = [
    *((FRONT, (name,), CALLER_COUNT) for name in STREAMS),
    *((FRONT, names, CALLER_COUNT) for names in MIXED),
    (FRONT, ("length-that-stops-short",), LARGE_CALLER_COUNT),
    (FRONT, ("small-length-that-stops-short",), LARGE_CALLER_COUNT),
    (FRONT, ("small-length-sent-whole",), LARGE_CALLER_COUNT),
    (FRONT, ("answers-that-are-not-read",), LARGE_CALLER_COUNT),
    *((READINESS, (name,), CALLER_COUNT) for name in OTHERS),
    *((METRICS, (name,), CALLER_COUNT) for name in OTHERS),
    *((METRICS, (name,), CALLER_COUNT) for name in METRICS_ONLY),
]


def _case_id(port: int, names: tuple[str, ...], caller_count: int) -> str:
    return f"{crowd_gateway.LISTENERS[port]}-{'-beside-'.join(names)}-{caller_count}"


@pytest.mark.parametrize(
    ("number", "port", "names", "caller_count"),
    [pytest.param(number, *case, id=_case_id(*case)) for number, case in enumerate(CASES, 1)],
)
def test_process_stays_within_its_memory_beside_callers_at_the_limits(
    tmp_path: pathlib.Path, number: int, port: int, names: tuple[str, ...], caller_count: int
) -> None:
    """Guards against memory that a process uses for callers and does not count."""

    async def main() -> None:
        name = _case_id(port, names, caller_count)
        address = listening.Address(f"127.0.73.{number}", port)
        known = STREAMS if port == FRONT else OTHER_STREAMS
        streams = [known[name] for name in names]
        await crowd_gateway.check_beside_crowd(
            name, tmp_path, address, streams, LIMITS, caller_count
        )

    stand_in.run(main)
