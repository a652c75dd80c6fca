"""Client of the claim protocol; calls to the local host bypass the network."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
from expression import Result

from sesamehold.connection import claim_codec
from sesamehold.connection import claim_handler
from sesamehold.connection import peer_client
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import clock as clocks
from sesamehold.process import execution_claims
from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import ids
from sesamehold.version import manifest

SEND_TIMEOUT_MS = 1_000
# Releases and finishes are retried, because losing one leaves an unfinished record at a witness.
SEND_BACKOFF_S = (0.2, 1.0, 5.0)
COPY_COUNT = 2
HANDOVER_BATCH = 200
HANDOVER_TIMEOUT_MS = 5_000
CLOSE_TIMEOUT_S = 8.0
# Allowance for network latency on top of the time for which the remote host waits.
REPORT_GRACE_MS = 500


@attrs.define(eq=False)
class ClaimClient:
    """Sends the claim messages of the local host."""

    claims: execution_claims.HostClaims
    handler: claim_handler.HostClaimHandler
    _peers: peer_client.PeerClient
    _clock: clocks.Clock
    _pending_sends: set[asyncio.Task[None]] = attrs.field(factory=set)

    async def vote(
        self, host: manifest.Host, claim: witness.Claim, timeout_ms: int
    ) -> witness.Vote | None:
        """Requests the vote of a witness; returns None if it did not respond."""
        newest = self.claims.window.current
        if newest is None:
            return None
        request = claim_codec.claim_to_wire(claim, newest.version, newest.content_hash)
        if self._is_self(host):
            return claim_codec.vote_from_wire(await self.handler.claim(request))
        result = await self._peers.call(
            host.peer_address, lambda stub: stub.Claim, request, timeout_ms
        )
        match result:
            case Result(tag="ok", ok=reply):
                return claim_codec.vote_from_wire(reply)
            case _:
                return None

    async def report(
        self, host: manifest.Host, key: ids.ExecutionKey, wait_ms: int
    ) -> execution_claims.KeyReport | None:
        """Returns the state of a key at a host, or None if the host did not respond."""
        if self._is_self(host):
            return await self.handler.report(key, wait_ms)
        request = peer_pb2.OutcomeRequest(key=claim_codec.key_to_wire(key), wait_ms=wait_ms)
        result = await self._peers.call(
            host.peer_address,
            lambda stub: stub.FetchOutcome,
            request,
            wait_ms + REPORT_GRACE_MS,
        )
        match result:
            case Result(tag="ok", ok=reply):
                return claim_codec.report_from_wire(reply)
            case _:
                return None

    def release(self, opened: execution_claims.OpenClaim) -> None:
        """Tells all witnesses of a claim that it will never be used."""
        claim = opened.claim
        request = peer_pb2.ReleaseRequest(
            key=claim_codec.key_to_wire(claim.key), claim_id=claim.claimant.claim_id
        )
        for host in opened.witnesses:
            if self._is_self(host):
                self.claims.memory.release(claim.key, claim.claimant.claim_id, self._clock.now_ms())
            else:
                self._spawn(self._send(host, lambda stub: stub.ReleaseClaim, request))

    def finish(
        self,
        opened: execution_claims.OpenClaim,
        answer: outcomes.StoredAnswer,
        *,
        copy_to_all: bool,
    ) -> None:
        """Tells all witnesses of a claim that it is finished; some get a copy of the response."""
        others = [host for host in opened.witnesses if not self._is_self(host)]
        if len(others) < len(opened.witnesses):
            self.claims.record_finished(opened.claim, None, self._clock.now_ms())
        small = len(answer.body) <= outcomes.MAX_COPY_BYTES
        for position, host in enumerate(others):
            copied = small and (copy_to_all or position < COPY_COUNT)
            request = peer_pb2.FinishRequest(
                key=claim_codec.key_to_wire(opened.claim.key),
                claim_id=opened.claim.claimant.claim_id,
                fingerprint=opened.claim.fingerprint,
                answer=claim_codec.answer_to_wire(answer) if copied else None,
            )
            self._spawn(self._send(host, lambda stub: stub.FinishClaim, request))

    async def hand_over(self) -> int:
        """Hands over records and stored responses to other hosts; returns the number accepted."""
        now_ms = self._clock.now_ms()
        accepted = 0
        for address, items in self.claims.handover(now_ms).items():
            for start in range(0, len(items), HANDOVER_BATCH):
                request = peer_pb2.HandoverRequest(
                    host_id=self.claims.host_id,
                    records=[
                        claim_codec.handover_to_wire(item, now_ms)
                        for item in items[start : start + HANDOVER_BATCH]
                    ],
                )
                result = await self._peers.call(
                    address, lambda stub: stub.Handover, request, HANDOVER_TIMEOUT_MS
                )
                if result.is_error():
                    # The receiver is unreachable; each further batch would hit the same timeout.
                    break
                accepted += result.ok.accepted_records
        return accepted

    async def close(self) -> None:
        """Waits up to `CLOSE_TIMEOUT_S` for pending releases and finishes, then cancels them."""
        if self._pending_sends:
            await asyncio.wait(self._pending_sends, timeout=CLOSE_TIMEOUT_S)
        for task in list(self._pending_sends):
            task.cancel()

    async def _send(self, host: manifest.Host, method: Any, request: Any) -> None:
        for backoff_s in (*SEND_BACKOFF_S, None):
            result = await self._peers.call(host.peer_address, method, request, SEND_TIMEOUT_MS)
            if result.is_ok() or backoff_s is None:
                return
            await asyncio.sleep(backoff_s)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._pending_sends.add(task)
        task.add_done_callback(self._pending_sends.discard)

    def _is_self(self, host: manifest.Host) -> bool:
        return host.id == self.claims.host_id
