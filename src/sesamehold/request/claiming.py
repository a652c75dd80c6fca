"""Claims the execution key of one request at its witnesses."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import json
import random
from typing import Any
from typing import TypeAlias

import attrs

from sesamehold.connection import claim_client
from sesamehold.connection import problem
from sesamehold.process import clock as clocks
from sesamehold.process import execution_claims
from sesamehold.process import key_waiters
from sesamehold.process import outcomes
from sesamehold.process import slots
from sesamehold.process import witness
from sesamehold.request import calls
from sesamehold.request import claim_round
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest

VOTE_TIMEOUT_MS = 1_000
MAX_ROUNDS = 4
# Two claimants that split the votes must not meet again in step.
MIN_BACKOFF_MS = 20
MAX_BACKOFF_MS = 150
# Leaves time to deliver the refusal before the deadline ends the request.
DELIVERY_MARGIN_MS = 50
RETRY_AFTER_MS = 1_000
MAX_READBACK_TARGETS = 64
_MS_PER_S = 1_000

ClaimEvent: TypeAlias = events.ClaimGranted | events.ClaimDenied | events.AnswerHeld


@attrs.define(eq=False)
class FleetClaims:
    """Opens claims at the witnesses of the fleet; implements `calls.ClaimRegistry`."""

    client: claim_client.ClaimClient
    waiters: key_waiters.KeyWaiters
    reader: calls.OutcomeReader
    slots: slots.SlotRegistry
    clock: clocks.Clock
    rng: random.Random

    def open(self, pipeline: manifest.Pipeline) -> calls.ExecutionClaims:
        """Returns the claim of one request, not claimed yet."""
        return KeyClaim(self, pipeline)


@attrs.define(eq=False)
class KeyClaim:
    """The claim of one request; implements `calls.ExecutionClaims`."""

    _fleet: FleetClaims
    _pipeline: manifest.Pipeline
    _claim_id: str | None = None
    _withdrawn: bool = False

    async def claim(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        first_submission: bool,
        wait_ms: int,
    ) -> ClaimEvent:
        """Claims a key, or waits for the answer of the execution that holds it."""
        deadline_ms = self._fleet.clock.now_ms() + wait_ms
        known_first = key.host_made or first_submission
        refusal = self._refusal(key, known_first=known_first)
        if refusal is not None:
            return events.ClaimDenied(refusal)
        for _ in range(MAX_ROUNDS):
            tally, decision = await self._run_round(key, fingerprint, known_first, deadline_ms)
            match decision:
                case claim_round.RoundGranted():
                    return self._granted(key, tally)
                case claim_round.RoundDenied():
                    self.release(key)
                    return events.ClaimDenied(_unavailable(decision.ran, decision.reasons))
                case claim_round.RoundHeld(holders=holders):
                    self._give_back()
                    event = await self._answer_of(key, fingerprint, holders, deadline_ms)
            if event is not None:
                return event
            # The holder gave up its claim, so this request may run after all.
            backoff_ms = self._fleet.rng.randint(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
            if self._withdrawn or self._remaining_ms(deadline_ms) <= backoff_ms:
                break
            await asyncio.sleep(backoff_ms / _MS_PER_S)
        return await self._read_back(key)

    def may_dispatch(self, key: ids.ExecutionKey) -> bool:
        """Returns whether the granted claim may still be used."""
        return self._claim_id is not None and self._claims.may_dispatch(
            self._claim_id, self._fleet.clock.now_ms()
        )

    def release(self, key: ids.ExecutionKey) -> None:
        """Withdraws the claim for good; nothing is dispatched under it afterwards."""
        self._withdrawn = True
        self._give_back()
        self._fleet.waiters.wake(key.scoped)

    def finish(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: dict[str, Any] | None
    ) -> None:
        """Stores the answer and tells the witnesses; None stands for an unknown outcome."""
        if self._claim_id is None:
            return
        # Encoded like the answer to the caller, so that a repeat gets the same bytes.
        stored = (
            outcomes.StoredAnswer(200, "application/json", json.dumps(answer).encode())
            if answer is not None
            else _unknown_answer()
        )
        opened = self._claims.complete(self._claim_id, stored, self._fleet.clock.now_ms())
        if opened is not None:
            # An unknown outcome is copied to all witnesses: without any copy, a finished record
            # would be reported as `ran: yes`.
            self._fleet.client.finish(opened, stored, copy_to_all=answer is None)
        self._fleet.waiters.wake(key.scoped)

    # ---- one round ----

    @property
    def _claims(self) -> execution_claims.HostClaims:
        return self._fleet.client.claims

    def _remaining_ms(self, deadline_ms: int) -> int:
        return max(0, deadline_ms - DELIVERY_MARGIN_MS - self._fleet.clock.now_ms())

    def _refusal(self, key: ids.ExecutionKey, *, known_first: bool) -> errors.Failure | None:
        refusal = claim_round.check_key(
            key, self._claims.policy, self._fleet.clock.wall_ms(), known_first=known_first
        )
        if refusal is not None:
            return refusal
        if not self._claims.quorum_check.has_quorum(self._fleet.clock.now_ms()):
            ran = errors.Ran.NO if known_first else errors.Ran.UNKNOWN
            return _unavailable(ran, (witness.AbstainReason.NO_QUORUM.value,))
        return None

    async def _run_round(
        self, key: ids.ExecutionKey, fingerprint: bytes, known_first: bool, deadline_ms: int
    ) -> tuple[claim_round.ClaimRound, claim_round.RoundDecision]:
        now_ms = self._fleet.clock.now_ms()
        opened = self._claims.open_claim(key, fingerprint, now_ms, deadline_ms - now_ms)
        self._claim_id = opened.claim.claimant.claim_id
        tally = claim_round.ClaimRound(
            claim_id=self._claim_id,
            sets=tuple(
                frozenset(host.id for host in hosts)
                for hosts in self._claims.window.witness_sets(key.scoped, now_ms)
            ),
            known_first=known_first,
        )
        timeout_ms = min(VOTE_TIMEOUT_MS, max(1, deadline_ms - now_ms))
        decision = await self._collect(tally, opened, timeout_ms)
        if isinstance(decision, claim_round.RoundGranted):
            self._claims.grant(tally.claim_id)
        return tally, decision

    async def _collect(
        self, tally: claim_round.ClaimRound, opened: execution_claims.OpenClaim, timeout_ms: int
    ) -> claim_round.RoundDecision:
        votes = {
            asyncio.create_task(self._fleet.client.vote(host, opened.claim, timeout_ms)): host.id
            for host in opened.witnesses
        }
        waiting = set(votes)
        while waiting:
            done, waiting = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                tally.record(votes[task], task.result() or claim_round.NoReply())
            decision = tally.decide()
            if decision is not None:
                return decision
        return tally.close()

    def _granted(self, key: ids.ExecutionKey, tally: claim_round.ClaimRound) -> ClaimEvent:
        if not self._withdrawn and self.may_dispatch(key):
            return events.ClaimGranted()
        self.release(key)
        reasons = ("this host was paused, lost its quorum or reached the deadline",)
        return events.ClaimDenied(_unavailable(tally.ran_if_not_dispatched(), reasons))

    def _give_back(self) -> None:
        if self._claim_id is None:
            return
        opened = self._claims.withdraw(self._claim_id)
        if opened is not None:
            self._fleet.client.release(opened)

    # ---- the answer of another execution ----

    async def _answer_of(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        holders: Sequence[witness.Held],
        deadline_ms: int,
    ) -> ClaimEvent | None:
        """Returns the outcome of the holder's execution, None if it gave up its claim."""
        same_body = [held for held in holders if held.fingerprint == fingerprint]
        if not same_body:
            return _reused()
        running = [held.claimant.host_id for held in same_body if not held.finished]
        gave_up = False
        if len(running) == len(same_body):
            report = await self._report_of(running[0], key, self._remaining_ms(deadline_ms))
            answered = None if report is None else _event_of(report, fingerprint)
            if answered is not None:
                return answered
            gave_up = report is not None and report.state is execution_claims.KeyState.UNKNOWN
        names = {held.claimant.host_id for held in same_body}
        event = await self._stored_answer(key, fingerprint, names, deadline_ms)
        if event is not None or gave_up:
            return event
        return await self._read_back(key)

    async def _stored_answer(
        self, key: ids.ExecutionKey, fingerprint: bytes, holders: set[str], deadline_ms: int
    ) -> ClaimEvent | None:
        """Asks owner and copy holders; an answer is worth more than the news that there was one."""
        sets = self._claims.window.witness_sets(key.scoped, self._fleet.clock.now_ms())
        names = holders | {host.id for hosts in sets for host in hosts}
        timeout_ms = min(VOTE_TIMEOUT_MS, self._remaining_ms(deadline_ms))
        reports = await asyncio.gather(
            *(self._bounded_report(name, key, timeout_ms) for name in sorted(names))
        )
        found = [_event_of(report, fingerprint) for report in reports if report is not None]
        found_events = [event for event in found if event is not None]
        held = [event for event in found_events if isinstance(event, events.AnswerHeld)]
        return (held or found_events or [None])[0]

    async def _bounded_report(
        self, host_id: str, key: ids.ExecutionKey, timeout_ms: int
    ) -> execution_claims.KeyReport | None:
        try:
            return await asyncio.wait_for(self._report_of(host_id, key, 0), timeout_ms / _MS_PER_S)
        except TimeoutError:
            return None

    async def _report_of(
        self, host_id: str, key: ids.ExecutionKey, wait_ms: int
    ) -> execution_claims.KeyReport | None:
        rosters = self._claims.window.rosters(self._fleet.clock.now_ms())
        host = next((found for item in rosters if (found := item.host(host_id)) is not None), None)
        return None if host is None else await self._fleet.client.report(host, key, wait_ms)

    async def _read_back(self, key: ids.ExecutionKey) -> ClaimEvent:
        """Asks the targets themselves whether they executed a key whose owner is silent."""
        targets = [
            target
            for stage in self._pipeline.stages
            if not stage.repeatable
            and (pool := self._fleet.slots.pool(stage.pool)) is not None
            and pool.readback
            for target in pool.targets
        ]
        found = await asyncio.gather(
            *(
                self._fleet.reader.read_outcome(target, key)
                for target in targets[:MAX_READBACK_TARGETS]
            )
        )
        if any(outcome is not None and outcome.executions > 0 for outcome in found):
            return events.ClaimDenied(_finished_without_answer())
        # "Not executed" proves nothing, because the owner's call may still be on its way.
        return _unknown()


def _event_of(
    report: execution_claims.KeyReport, fingerprint: bytes
) -> events.ClaimDenied | events.AnswerHeld | None:
    match report.state:
        case execution_claims.KeyState.FINISHED if report.answer is not None:
            if report.fingerprint != fingerprint:
                return _reused()
            answer = report.answer
            return events.AnswerHeld(answer.status, answer.content_type, answer.body)
        case execution_claims.KeyState.FINISHED_WITHOUT_ANSWER:
            return events.ClaimDenied(_finished_without_answer())
        case _:
            return None


def _unavailable(ran: errors.Ran, reasons: Sequence[str]) -> errors.ClaimUnavailable:
    return errors.ClaimUnavailable(
        detail=f"The key was not granted by its witnesses: {', '.join(reasons)}.",
        ran=ran,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _unknown() -> events.ClaimDenied:
    return events.ClaimDenied(
        errors.OutcomeUnknown(
            detail="Another submission of the key may have run; its outcome is not known.",
            ran=errors.Ran.UNKNOWN,
        )
    )


def _reused() -> events.ClaimDenied:
    return events.ClaimDenied(
        errors.KeyReused(detail="The key was used with another body.", ran=errors.Ran.UNKNOWN)
    )


def _finished_without_answer() -> errors.AnswerUnavailable:
    return errors.AnswerUnavailable(
        detail="The key was run, but its answer is no longer held.", ran=errors.Ran.YES
    )


def _unknown_answer() -> outcomes.StoredAnswer:
    failure = errors.OutcomeUnknown(
        detail="The call was sent, but its outcome is not known; it is not sent again.",
        ran=errors.Ran.UNKNOWN,
    )
    body = json.dumps(problem.to_body(failure, None)).encode()
    return outcomes.StoredAnswer(failure.status, problem.CONTENT_TYPE, body)
