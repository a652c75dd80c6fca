"""Tests that callers outside the limits cost a gateway process neither its life nor its memory."""

from __future__ import annotations

import pathlib

import crowd
import crowd_gateway
import platform_stand_in as stand_in
import pytest

from sesamehold.process import listening

LIMITS = {
    "headerBytes": crowd.HEADER_BYTES,
    "bodyBytes": crowd.BODY_BYTES,
    "headerMs": 20_000,
    "idleMs": 20_000,
}
STREAMS = crowd.streams(crowd_gateway.HEAD)
SOUND = crowd_gateway.HEAD + b"\r\n"
LARGE = crowd_gateway.LARGE
STREAMS["pipelined-sound-requests"] = crowd.Stream(b"", SOUND * 8, size_bytes=16_000)
STREAMS["large-answer-that-is-not-read"] = crowd.Stream(b"", LARGE, len(LARGE), reads=False)
STREAMS["many-answers-that-are-not-read"] = crowd.Stream(b"", LARGE * 4, 8_000, reads=False)
# The other listeners have the same server, with other limits.
LISTENERS = {
    port: name for port, name in crowd_gateway.LISTENERS.items() if port != crowd_gateway.FRONT
}
OTHERS = ("request-line", "one-field", "small-trailers", "chunks-of-64-kB", "bytes-behind-a-body")


@pytest.mark.parametrize(
    ("port", "name"),
    [pytest.param(crowd_gateway.FRONT, name, id=name) for name in STREAMS]
    + [
        pytest.param(port, name, id=f"{listener}-{name}")
        for port, listener in LISTENERS.items()
        for name in OTHERS
    ],
)
def test_process_serves_within_its_memory_beside_crowd(
    tmp_path: pathlib.Path, port: int, name: str
) -> None:
    """Guards against bytes that a process holds for callers without a limit."""

    async def main() -> None:
        address = listening.Address(f"127.0.72.{1 + [*STREAMS].index(name)}", port)
        await crowd_gateway.check_beside_crowd(name, tmp_path, address, [STREAMS[name]], LIMITS)

    stand_in.run(main)
