"""Execution claims of a fleet that consists of one host."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs

from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids


@attrs.define(eq=False)
class _Record:
    fingerprint: bytes
    finished: asyncio.Future[bytes | None]


@attrs.define
class LocalClaims:
    """Grants each key once and answers repeats from memory."""

    _records: dict[tuple[str, str], _Record] = attrs.field(factory=dict)

    async def claim(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        first_submission: bool,
        wait_ms: int,
    ) -> events.ClaimGranted | events.ClaimDenied | events.AnswerHeld:
        """Grants a new key; waits for the answer of a key that is held."""
        record = self._records.get((key.account, key.text))
        if record is None:
            future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
            self._records[key.account, key.text] = _Record(fingerprint, future)
            return events.ClaimGranted()
        if record.fingerprint != fingerprint:
            return events.ClaimDenied(
                errors.KeyReused(detail="The key was used with another body.")
            )
        try:
            answer = await asyncio.wait_for(asyncio.shield(record.finished), wait_ms / 1_000)
        except TimeoutError:
            answer = None
        if answer is None:
            return events.ClaimDenied(
                errors.OutcomeUnknown(
                    detail="An earlier submission may have run.", ran=errors.Ran.UNKNOWN
                )
            )
        return events.AnswerHeld(200, "application/json", answer)

    def may_dispatch(self, key: ids.ExecutionKey) -> bool:
        """Returns whether this host holds the key."""
        return (key.account, key.text) in self._records

    def release(self, key: ids.ExecutionKey) -> None:
        """Forgets a key under which nothing was dispatched."""
        record = self._records.pop((key.account, key.text), None)
        if record is not None and not record.finished.done():
            record.finished.set_result(None)

    def finish(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: dict[str, Any] | None
    ) -> None:
        """Stores the answer for repeats of the key."""
        record = self._records.get((key.account, key.text))
        if record is not None and not record.finished.done():
            record.finished.set_result(None if answer is None else json.dumps(answer).encode())
