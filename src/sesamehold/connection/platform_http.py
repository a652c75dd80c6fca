"""HTTP client of the platform's configuration service."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import answer_protocol
from sesamehold.version import constraints

MAX_VALUE_BYTES = 1_048_576
MAX_VERSION = constraints.MAX_INTEGER
READ_TIMEOUT_S = 2.0
# A watch without a newer version may end this much before the end of its wait.
EARLY_END_MS = 50
_MS_PER_S = 1_000


@attrs.frozen
class PlatformUnavailable:
    """The configuration service was unreachable or returned an invalid response."""

    reason: str


@attrs.frozen
class Unchanged:
    """The watch ended without a newer version."""


@attrs.frozen
class PublishedValue:
    """A published version of a value; `document` is parsed JSON."""

    version: int
    document: Any


@attrs.define
class PlatformClient:
    """Client of the configuration service at one address."""

    _address: str
    _session: aiohttp.ClientSession
    _connector: answer_protocol.AnswerConnector

    @classmethod
    def from_connector(
        cls, address: str, connector: answer_protocol.AnswerConnector
    ) -> PlatformClient:
        """Returns a client with a session of its own; needs a running event loop."""
        return cls(address, aiohttp.ClientSession(connector=connector), connector)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def read(self, name: str) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
        """Reads the current version of a value."""
        try:
            return await self._get(name, {}, READ_TIMEOUT_S)
        finally:
            # A late second answer to this call could not be told from the next one.
            self._connector.close_idle()

    async def watch(
        self, name: str, after_version: int, wait_ms: int
    ) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
        """Long-polls up to `wait_ms` for a version newer than `after_version`."""
        parameters = {"after_version": str(after_version), "wait_ms": str(wait_ms)}
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        result = await self._get(name, parameters, READ_TIMEOUT_S + wait_ms / _MS_PER_S)
        waited_ms = (loop.time() - sent_s) * _MS_PER_S
        if not _is_certain(result, after_version, wait_ms - waited_ms):
            self._connector.close_idle()
        return result

    async def _get(
        self, name: str, parameters: dict[str, str], timeout_s: float
    ) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"http://{self._address}/v1/values/{name}"
        try:
            async with self._session.get(url, params=parameters, timeout=timeout) as response:
                if response.status == 304:
                    return Ok(Unchanged())
                if response.status != 200:
                    return Error(PlatformUnavailable(f"status {response.status}"))
                body = await _read_limited(response)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            return Error(PlatformUnavailable(type(error).__name__))
        if body is None:
            return Error(PlatformUnavailable(f"value exceeds {MAX_VALUE_BYTES} bytes"))
        return _decode(body)


def _is_certain(
    result: Result[PublishedValue | Unchanged, PlatformUnavailable],
    after_version: int,
    left_ms: float,
) -> bool:
    """Returns whether the answer to a watch can be that of no earlier call.

    Args:
        result: The answer.
        after_version: Version after which the watch asked for one.
        left_ms: Rest of the wait of the watch when its answer came.
    """
    match result:
        case Result(tag="ok", ok=PublishedValue(version=version)):
            return version > after_version
        case Result(tag="ok"):
            return left_ms <= EARLY_END_MS
    return False


async def _read_limited(response: aiohttp.ClientResponse) -> bytes | None:
    # Allow for the JSON envelope around the value.
    limit = MAX_VALUE_BYTES + 1_024
    chunks: list[bytes] = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > limit:
            return None
        chunks.append(chunk)
    return b"".join(chunks)


def _decode(body: bytes) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
    try:
        envelope = json.loads(body)
        version = envelope["version"]
        # A larger version would hide all later ones.
        if type(version) is not int or not 0 <= version <= MAX_VERSION:
            return Error(PlatformUnavailable("malformed value: no version"))
        return Ok(PublishedValue(version, envelope["value"]))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Error(PlatformUnavailable(f"malformed value: {type(error).__name__}"))
