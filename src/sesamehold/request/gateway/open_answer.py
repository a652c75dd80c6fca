"""An answer that a target has begun, and the reason why a request gets none."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import TypeAlias

import attrs
from expression import Result

from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import ports

# A stopped target is restarted or replaced after a few hundred milliseconds at the earliest.
NO_TARGET_RETRY_MS = 400


@attrs.define(eq=False)
class OpenAnswer:
    """Successful answer of a target, of which only the head has arrived.

    Attributes:
        target: The target.
        answer: Its answer.
        started_ms: Monotonic time at which the request was sent.
        attempt: The attempt, which ends when the answer needs its target no more.
        is_resumed: Whether it goes on with the stream of another target.
        is_counted: Whether the attempts of the request include this run.
        is_broken: Whether it is recorded that the answer broke off.
    """

    target: targets.Target
    answer: ports.TargetAnswer
    started_ms: int
    attempt: target_ranking.OpenAttempt
    is_resumed: bool = False
    is_counted: bool = False
    is_broken: bool = False
    _is_released: bool = False

    def release(self) -> None:
        """Returns or closes the connection; has no effect when repeated."""
        if not self._is_released:
            self._is_released = True
            self.answer.release()
            self.attempt.end()


@attrs.frozen
class NoAnswer:
    """Why no target answers a request.

    Attributes:
        reason: Reason for the caller.
        retry_after_ms: Delay before the caller should retry, if the request has not run.
        passes_failure: Whether the caller gets the failure that a target answered with, if any.
    """

    reason: messages.Reason
    retry_after_ms: int = NO_TARGET_RETRY_MS
    passes_failure: bool = False


OpenResult: TypeAlias = Result[OpenAnswer, NoAnswer]


@attrs.define(eq=False)
class ChunkReader:
    """Reads an answer in a task of its own, so that a wait for it can end without losing data."""

    _chunks: AsyncIterator[bytes]
    _pending: asyncio.Task[bytes | None] | None = None

    def pending(self) -> asyncio.Task[bytes | None]:
        """Returns the task that reads the next part; starts it if none is pending."""
        if self._pending is None:
            self._pending = asyncio.create_task(self._read())
        return self._pending

    def take(self) -> bytes | None:
        """Returns the part that was read, None at the end; the task must be done.

        Raises:
            BrokenAnswerError: The answer broke off.
        """
        task, self._pending = self.pending(), None
        return task.result()

    def cancel(self) -> None:
        """Stops to read."""
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    async def _read(self) -> bytes | None:
        return await anext(self._chunks, None)


@attrs.frozen
class BufferedAnswer:
    """Complete error answer of a target, forwarded if no later attempt yields a better one."""

    head: messages.AnswerHead
    body: bytes


def take_joined(chunks: list[bytes]) -> bytes:
    """Empties a list of parts; returns them joined, so that they are not held twice."""
    joined = b"".join(chunks)
    chunks.clear()
    return joined
