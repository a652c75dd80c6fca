"""Read-only client of the platform's metadata store."""

from __future__ import annotations

import base64
import binascii
import json
from typing import Any

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.platform import names
from sesamehold.platform import published
from sesamehold.process import listening
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import store_replica

# The store answers in milliseconds; slowed down by a factor of 60, it takes 240 ms.
READ_TIMEOUT_S = 1.0
# Time after the end of its wait at which an unanswered watch is considered disconnected.
WATCH_TIMEOUT_S = 0.7
_MS_PER_S = 1_000
_STATUS_GONE = 410


@attrs.frozen
class _Answer:
    """Answer of the store; `document` is None if its status is 410."""

    era: int
    document: dict[str, Any] | None


@attrs.define(eq=False)
class PlatformStore:
    """Reads and watches the store."""

    _base_url: str
    _session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, address: listening.Address) -> PlatformStore:
        """Returns a client; must be called with a running event loop."""
        session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        return cls(f"http://{address}", session)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    def prefixes(self) -> tuple[str, ...]:
        """Returns the key prefixes to watch.

        A single watch covers all keys, because every call is charged.
        """
        return ("",)

    def decode(
        self, item: store_replica.StoreItem, now_ms: int
    ) -> tuple[directory_events.DirectoryEvent, ...]:
        """Decodes an item into directory events."""
        return published.decode(item, now_ms)

    async def list_items(
        self, prefix: str
    ) -> Result[store_replica.StoreListing, directory_events.StoreUnavailable]:
        """Reads all pages of items under a prefix.

        Pages are read sequentially, so changes made after the first page was read may be missing;
        the listing therefore carries the lowest revision of its pages. Pages of different eras are
        no listing.
        """
        items: list[store_replica.StoreItem] = []
        revision: int | None = None
        era: int | None = None
        parameters = {"prefix": prefix}
        while True:
            match await self._get(names.STORE_RANGE_PATH, parameters, READ_TIMEOUT_S):
                case Result(tag="ok", ok=answer):
                    document = answer.document
                case Result(error=unavailable):
                    return Error(unavailable)
            if document is None:
                return Error(directory_events.StoreUnavailable(f"status {_STATUS_GONE}"))
            if era is not None and era != answer.era:
                return Error(directory_events.StoreUnavailable("era changed between pages"))
            era = answer.era
            try:
                page = [_decode_item(entry, era) for entry in document["items"]]
                page_revision = _decode_position(era, document["storeRevision"]).revision
            except _DECODE_ERRORS as error:
                return Error(_malformed_answer(error))
            revision = page_revision if revision is None else min(revision, page_revision)
            items += page
            if not document.get("truncated") or not page:
                return Ok(store_replica.StoreListing(tuple(items), revision, era))
            parameters = {"prefix": prefix, "after": page[-1].key}

    async def watch(
        self, prefix: str, after_revision: int, wait_ms: int
    ) -> Result[
        store_replica.StoreListing,
        directory_events.StoreUnavailable | directory_events.HistoryLost,
    ]:
        """Waits up to `wait_ms` for changes after a revision."""
        parameters = {
            "prefix": prefix,
            "after": str(after_revision),
            "waitMs": str(wait_ms),
        }
        timeout_s = WATCH_TIMEOUT_S + wait_ms / _MS_PER_S
        match await self._get(names.STORE_WATCH_PATH, parameters, timeout_s):
            case Result(tag="ok", ok=answer):
                document = answer.document
            case Result(error=unavailable):
                return Error(unavailable)
        if document is None:
            return Error(directory_events.HistoryLost(answer.era))
        try:
            items = tuple(_decode_item(entry, answer.era) for entry in document["events"])
            revision = _decode_position(answer.era, document["storeRevision"]).revision
        except _DECODE_ERRORS as error:
            return Error(_malformed_answer(error))
        return Ok(store_replica.StoreListing(items, revision, answer.era))

    async def _get(
        self, path: str, parameters: dict[str, str], timeout_s: float
    ) -> Result[_Answer, directory_events.StoreUnavailable]:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.get(
                self._base_url + path, params=parameters, timeout=timeout
            ) as response:
                if response.status not in (200, _STATUS_GONE):
                    reason = f"status {response.status}"
                    return Error(directory_events.StoreUnavailable(reason))
                era = _decode_position(response.headers.get(names.STORE_ERA, "0"), 0).era
                if response.status == _STATUS_GONE:
                    return Ok(_Answer(era, None))
                document = json.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            return Error(directory_events.StoreUnavailable(type(error).__name__))
        except (ValueError, RecursionError) as error:
            return Error(_malformed_answer(error))
        if not isinstance(document, dict):
            return Error(directory_events.StoreUnavailable("malformed answer: not an object"))
        return Ok(_Answer(era, document))


_DECODE_ERRORS = (KeyError, ValueError, TypeError, AttributeError)


def _malformed_answer(error: Exception) -> directory_events.StoreUnavailable:
    return directory_events.StoreUnavailable(f"malformed answer: {type(error).__name__}")


def _decode_position(era: Any, revision: Any) -> store_replica.StorePosition:
    """Decodes a position; raises ValueError or TypeError if it is out of range or no number."""
    return store_replica.StorePosition(int(era), int(revision))


def _decode_item(entry: dict[str, Any], era: int) -> store_replica.StoreItem:
    key = entry["key"]
    revision = _decode_position(era, entry["revision"]).revision
    if entry.get("tombstone"):
        return store_replica.StoreItem(key, None, revision, era)
    return store_replica.StoreItem(key, _decode_value(entry["value"]), revision, era)


def _decode_value(text: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except binascii.Error:
        # Written by an unknown writer; decoding the item reports its key as unreadable.
        return text.encode()
