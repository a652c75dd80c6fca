"""Message authentication between hosts.

A sealed message consists of a 4-byte key id, a 16-byte tag and the payload, which is not encrypted.
The tag is HMAC-SHA256 (RFC 2104) over the message type and the payload, truncated to 16 bytes.
Two keys can be valid at once for rotation without downtime: the first key seals, every key opens.
"""

from __future__ import annotations

import hashlib
import hmac

import attrs
from expression import Error
from expression import Ok
from expression import Result

TAG_SIZE_BYTES = 16
HEADER_SIZE_BYTES = TAG_SIZE_BYTES + 4


@attrs.frozen
class NotAuthentic:
    """The message could not be authenticated with a key of this host."""

    reason: str


@attrs.frozen
class Sealer:
    """Seals messages with a key and opens sealed messages.

    >>> old, new = Sealer.from_keys(("k1",)), Sealer.from_keys(("k2", "k1"))
    >>> new.open("Ping", old.seal("Ping", b"x")).ok
    b'x'
    >>> old.open("Ping", new.seal("Ping", b"x")).error
    NotAuthentic(reason='unknown key')
    """

    _keys: tuple[tuple[bytes, bytes], ...]

    @classmethod
    def from_keys(cls, keys: tuple[str, ...]) -> Sealer:
        """Creates a sealer; each key is identified by a 4-byte id derived from it."""
        return cls(tuple((_key_id(key.encode()), key.encode()) for key in keys))

    def seal(self, message_type: str, payload: bytes) -> bytes:
        """Returns the payload with its key id and tag."""
        key_id, key = self._keys[0]
        return key_id + _tag(key, message_type, payload) + payload

    def open(self, message_type: str, sealed: bytes) -> Result[bytes, NotAuthentic]:
        """Returns the payload if the tag is valid for the message type."""
        if len(sealed) < HEADER_SIZE_BYTES:
            return Error(NotAuthentic("too short"))
        key_id, tag = sealed[:4], sealed[4:HEADER_SIZE_BYTES]
        payload = sealed[HEADER_SIZE_BYTES:]
        for known_id, key in self._keys:
            if known_id == key_id:
                if hmac.compare_digest(tag, _tag(key, message_type, payload)):
                    return Ok(payload)
                return Error(NotAuthentic("wrong tag"))
        return Error(NotAuthentic("unknown key"))


def _key_id(key: bytes) -> bytes:
    return hashlib.sha256(b"key id:" + key).digest()[:4]


def _tag(key: bytes, message_type: str, payload: bytes) -> bytes:
    digest = hmac.digest(key, message_type.encode() + b"\0" + payload, "sha256")
    return digest[:TAG_SIZE_BYTES]
