"""Read-only client of the platform's metadata store."""

from __future__ import annotations

import base64
import json
import math
from typing import Any

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import answer_protocol
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
# Longer numbers are no revision; converting them takes long, or fails for the whole answer.
_MAX_DIGITS = 20
_MAX_LOGGED_KEY = 200


@attrs.frozen
class _Answer:
    """Answer of the store; `document` is None if its status is 410."""

    era: int
    document: dict[str, Any] | None


@attrs.define(eq=False)
class PlatformStore:
    """Reads and watches the store."""

    _base_url: str
    _connector: answer_protocol.AnswerConnector
    _session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, address: listening.Address) -> PlatformStore:
        """Returns a client; must be called with a running event loop."""
        connector = answer_protocol.AnswerConnector()
        session = aiohttp.ClientSession(connector=connector, cookie_jar=aiohttp.DummyCookieJar())
        return cls(f"http://{address}", connector, session)

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    def close_idle(self) -> None:
        """Makes the next call use a new connection."""
        self._connector.close_idle()

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
        invalid: list[str] = []
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
                page = _decode_entries(document, "items", era)
            except _DECODE_ERRORS as error:
                return Error(_malformed_answer(error))
            revision = page.revision if revision is None else min(revision, page.revision)
            items += page.items
            invalid += page.invalid_entries
            if not document.get("truncated"):
                return Ok(store_replica.StoreListing(tuple(items), revision, era, tuple(invalid)))
            if not page.items or page.items[-1].key == parameters.get("after"):
                # The items after this page cannot be read, and must not count as deleted.
                return Error(directory_events.StoreUnavailable("malformed answer: no next page"))
            parameters = {"prefix": prefix, "after": page.items[-1].key}

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
            return Ok(_decode_entries(document, "events", answer.era))
        except _DECODE_ERRORS as error:
            return Error(_malformed_answer(error))

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
                era = _decode_era(response.headers.get(names.STORE_ERA, "0"))
                if response.status == _STATUS_GONE:
                    return Ok(_Answer(era, None))
                document = json.loads(await response.read(), parse_int=_parse_int)
        except (aiohttp.ClientError, TimeoutError, ConnectionError) as error:
            return Error(directory_events.StoreUnavailable(type(error).__name__))
        except (ValueError, RecursionError) as error:
            return Error(_malformed_answer(error))
        if not isinstance(document, dict):
            return Error(directory_events.StoreUnavailable("malformed answer: not an object"))
        return Ok(_Answer(era, document))


_DECODE_ERRORS = (KeyError, ValueError, TypeError)


def _malformed_answer(error: Exception) -> directory_events.StoreUnavailable:
    return directory_events.StoreUnavailable(f"malformed answer: {type(error).__name__}")


def _decode_era(text: str) -> int:
    """Decodes an era; raises ValueError if it is no number or out of range."""
    return store_replica.StorePosition(int(text), 0).era


def _parse_int(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_DIGITS else math.inf


def _decode_entries(document: dict[str, Any], name: str, era: int) -> store_replica.StoreListing:
    """Decodes one answer; an invalid entry is reported and costs no other entry."""
    revision = _check_revision(document["storeRevision"], era)
    entries = document[name]
    if not isinstance(entries, list):
        raise TypeError(f"{name} is not a list")
    items = []
    invalid = []
    for entry in entries:
        try:
            key = _decode_key(entry)
        except _DECODE_ERRORS as error:
            invalid.append(f"entry without a key: {type(error).__name__}")
            continue
        is_deleted = bool(entry.get("tombstone"))
        try:
            item_revision = _check_revision(entry.get("revision"), era)
        except ValueError:
            # The entry exists in this answer, but its value may be of any earlier time.
            invalid.append(f"entry without a revision: {key[:_MAX_LOGGED_KEY]}")
            value = None if is_deleted else b""
            items.append(store_replica.StoreItem(key, value, revision, era))
            continue
        value = None if is_deleted else _decode_value(entry.get("value"))
        items.append(store_replica.StoreItem(key, value, item_revision, era))
    return store_replica.StoreListing(tuple(items), revision, era, tuple(invalid))


def _decode_key(entry: Any) -> str:
    key = entry["key"]
    if not isinstance(key, str) or not key:
        raise TypeError("the key is not text")
    # Raises UnicodeEncodeError for a key that neither a call nor a message can hold.
    key.encode()
    return key


def _check_revision(value: Any, era: int) -> int:
    """Returns a revision; raises ValueError if it is no whole number or out of range."""
    if type(value) is not int:
        raise ValueError("not a revision")
    return store_replica.StorePosition(era, value).revision


def _decode_value(text: Any) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (ValueError, TypeError):
        # Written by an unknown writer; decoding the item reports its key as unreadable.
        return b""
