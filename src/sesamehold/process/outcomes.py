"""Stored answers of finished execution keys, on the owner and on hosts with a copy."""

from __future__ import annotations

import attrs

from sesamehold.request import ids

MAX_TOTAL_BYTES = 64 * 1_048_576
MAX_OWNED_BYTES = 1_048_576
MAX_COPY_BYTES = 16_384


@attrs.frozen
class StoredAnswer:
    """An answer exactly as it was sent to the caller."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class Outcome:
    """Outcome of a finished key.

    Attributes:
        fingerprint: Hash of the request body.
        answer: None if the answer is too large to be stored.
        finished_ms: Monotonic time at which it was stored.
    """

    fingerprint: bytes
    answer: StoredAnswer | None
    finished_ms: int

    @property
    def size_bytes(self) -> int:
        """Returns the size that counts towards `max_total_bytes`."""
        return len(self.answer.body) if self.answer is not None else 0


@attrs.define
class OutcomeStore:
    """Answers in order of finishing; the oldest are evicted when the store is full.

    Attributes:
        retention_ms: Time for which an answer is kept.
        max_total_bytes: Maximum total size of all bodies.
    """

    retention_ms: int = 900_000
    max_total_bytes: int = MAX_TOTAL_BYTES
    _outcomes: dict[str, Outcome] = attrs.field(factory=dict)
    _total_bytes: int = 0

    def put_owned(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: StoredAnswer, now_ms: int
    ) -> Outcome:
        """Stores the answer of an execution of this host, unless the key already has an outcome."""
        return self._put(key, fingerprint, answer, MAX_OWNED_BYTES, now_ms)

    def put_copy(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: StoredAnswer, now_ms: int
    ) -> Outcome:
        """Stores a copy for another host, unless the key already has an outcome."""
        return self._put(key, fingerprint, answer, MAX_COPY_BYTES, now_ms)

    def find(self, key: ids.ExecutionKey, now_ms: int) -> Outcome | None:
        """Returns the outcome of a key, None if there is none."""
        self._drop_expired(now_ms)
        return self._outcomes.get(key.scoped)

    @property
    def total_bytes(self) -> int:
        """Returns the total size of all stored bodies."""
        return self._total_bytes

    def _put(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        answer: StoredAnswer,
        max_bytes: int,
        now_ms: int,
    ) -> Outcome:
        self._drop_expired(now_ms)
        known = self._outcomes.get(key.scoped)
        if known is not None:
            return known
        stored = answer if len(answer.body) <= max_bytes else None
        outcome = Outcome(fingerprint, stored, now_ms)
        self._outcomes[key.scoped] = outcome
        self._total_bytes += outcome.size_bytes
        while self._total_bytes > self.max_total_bytes:
            self._drop_oldest()
        return outcome

    def _drop_expired(self, now_ms: int) -> None:
        while self._outcomes:
            oldest = next(iter(self._outcomes.values()))
            if now_ms - oldest.finished_ms <= self.retention_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        outcome = self._outcomes.pop(next(iter(self._outcomes)))
        self._total_bytes -= outcome.size_bytes
