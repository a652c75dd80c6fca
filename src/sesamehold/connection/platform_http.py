"""HTTP client of the platform's configuration service."""

from __future__ import annotations

import json
from typing import Any

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.version import constraints

MAX_VALUE_BYTES = 1_048_576
MAX_VERSION = constraints.MAX_INTEGER
READ_TIMEOUT_S = 2.0
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

    async def read(self, name: str) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
        """Reads the current version of a value."""
        return await self._get(name, {}, READ_TIMEOUT_S)

    async def watch(
        self, name: str, after_version: int, wait_ms: int
    ) -> Result[PublishedValue | Unchanged, PlatformUnavailable]:
        """Long-polls up to `wait_ms` for a version newer than `after_version`."""
        parameters = {"after_version": str(after_version), "wait_ms": str(wait_ms)}
        return await self._get(name, parameters, READ_TIMEOUT_S + wait_ms / _MS_PER_S)

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
