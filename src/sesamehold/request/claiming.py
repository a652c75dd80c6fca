"""Claims the execution key of one request at its witnesses, for at-most-once execution."""

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
# Random backoff, so that two claimants that split the votes do not collide again.
MIN_BACKOFF_MS = 20
MAX_BACKOFF_MS = 150
# Reserved for the delivery of the refusal before the deadline.
DELIVERY_MARGIN_MS = 50
RETRY_AFTER_MS = 1_000
MAX_READBACK_TARGETS = 64
_MS_PER_S = 1_000

ClaimEvent: TypeAlias = events.ClaimGranted | events.ClaimDenied | events.AnswerHeld


@attrs.define(eq=False)
class FleetClaims:
    """Creates claims that are voted on by the fleet; implements `calls.ClaimRegistry`."""

    client: claim_client.ClaimClient
    waiters: key_waiters.KeyWaiters
    reader: calls.OutcomeReader
    slots: slots.SlotRegistry
    clock: clocks.Clock
    rng: random.Random

    def open(self, pipeline: manifest.Pipeline) -> calls.ExecutionClaims:
        """Returns a claim for one request, in its initial state."""
        return KeyClaim(self, pipeline)


@attrs.define(eq=False)
class KeyClaim:
    """Claim of one request; implements `calls.ExecutionClaims`."""

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
        """Claims the key or, if another execution holds it, waits for its answer."""
        deadline_ms = self._fleet.clock.now_ms() + wait_ms
        known_first_submission = key.host_generated or first_submission
        refusal = self._check_preconditions(key, known_first_submission=known_first_submission)
        if refusal is not None:
            return events.ClaimDenied(refusal)
        for _ in range(MAX_ROUNDS):
            tally, decision = await self._run_round(
                key, fingerprint, known_first_submission, deadline_ms
            )
            match decision:
                case claim_round.RoundGranted():
                    return self._confirm_grant(key, tally)
                case claim_round.RoundDenied():
                    self.release(key)
                    return events.ClaimDenied(_claim_unavailable(decision.ran, decision.reasons))
                case claim_round.RoundHeld(holders=holders):
                    self._withdraw_claim()
                    event = await self._outcome_of_holder(key, fingerprint, holders, deadline_ms)
            if event is not None:
                return event
            # The holder withdrew its claim, so this request may run after all.
            backoff_ms = self._fleet.rng.randint(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
            if self._withdrawn or self._remaining_ms(deadline_ms) <= backoff_ms:
                break
            await asyncio.sleep(backoff_ms / _MS_PER_S)
        return await self._read_back(key)

    def may_dispatch(self, key: ids.ExecutionKey) -> bool:
        """Returns whether a call may still be dispatched under the granted claim."""
        return self._claim_id is not None and self._claims.may_dispatch(
            self._claim_id, self._fleet.clock.now_ms()
        )

    def release(self, key: ids.ExecutionKey) -> None:
        """Withdraws the claim permanently; nothing is dispatched under it afterwards."""
        self._withdrawn = True
        self._withdraw_claim()
        self._fleet.waiters.wake(key.scoped)

    def finish(
        self, key: ids.ExecutionKey, fingerprint: bytes, answer: dict[str, Any] | None
    ) -> None:
        """Stores the answer and notifies the witnesses; None means that the outcome is unknown."""
        if self._claim_id is None:
            return
        # Uses the encoding of the answer to the caller, so that a retry receives the same bytes.
        stored = (
            outcomes.StoredAnswer(200, "application/json", json.dumps(answer).encode())
            if answer is not None
            else _outcome_unknown_answer()
        )
        opened = self._claims.complete(self._claim_id, stored, self._fleet.clock.now_ms())
        if opened is not None:
            # An unknown outcome is copied to all witnesses, because a finished record without a
            # copy of the answer is reported as `ran: yes`.
            self._fleet.client.finish(opened, stored, copy_to_all=answer is None)
        self._fleet.waiters.wake(key.scoped)

    # ---- claim round ----

    @property
    def _claims(self) -> execution_claims.HostClaims:
        return self._fleet.client.claims

    def _remaining_ms(self, deadline_ms: int) -> int:
        return max(0, deadline_ms - DELIVERY_MARGIN_MS - self._fleet.clock.now_ms())

    def _check_preconditions(
        self, key: ids.ExecutionKey, *, known_first_submission: bool
    ) -> errors.Failure | None:
        refusal = claim_round.check_key(
            key,
            self._claims.policy,
            self._fleet.clock.wall_ms(),
            known_first_submission=known_first_submission,
        )
        if refusal is not None:
            return refusal
        if not self._claims.quorum_check.has_quorum(self._fleet.clock.now_ms()):
            ran = errors.RunStatus.NO if known_first_submission else errors.RunStatus.UNKNOWN
            return _claim_unavailable(ran, (witness.AbstainReason.NO_QUORUM.value,))
        return None

    async def _run_round(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        known_first_submission: bool,
        deadline_ms: int,
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
            known_first_submission=known_first_submission,
        )
        timeout_ms = min(VOTE_TIMEOUT_MS, max(1, deadline_ms - now_ms))
        decision = await self._collect_votes(tally, opened, timeout_ms)
        if isinstance(decision, claim_round.RoundGranted):
            self._claims.grant(tally.claim_id)
        return tally, decision

    async def _collect_votes(
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

    def _confirm_grant(self, key: ids.ExecutionKey, tally: claim_round.ClaimRound) -> ClaimEvent:
        if not self._withdrawn and self.may_dispatch(key):
            return events.ClaimGranted()
        self.release(key)
        reasons = ("this host was paused, lost its quorum or reached the deadline",)
        return events.ClaimDenied(_claim_unavailable(tally.ran_if_not_dispatched(), reasons))

    def _withdraw_claim(self) -> None:
        if self._claim_id is None:
            return
        opened = self._claims.withdraw(self._claim_id)
        if opened is not None:
            self._fleet.client.release(opened)

    # ---- answer of another execution ----

    async def _outcome_of_holder(
        self,
        key: ids.ExecutionKey,
        fingerprint: bytes,
        holders: Sequence[witness.Held],
        deadline_ms: int,
    ) -> ClaimEvent | None:
        """Returns the outcome of the holder's execution, None if the holder withdrew its claim."""
        same_body = [held for held in holders if held.fingerprint == fingerprint]
        if not same_body:
            return _key_reused()
        running = [held.claimant.host_id for held in same_body if not held.finished]
        withdrawn = False
        if len(running) == len(same_body):
            report = await self._fetch_report(running[0], key, self._remaining_ms(deadline_ms))
            outcome = None if report is None else _event_from_report(report, fingerprint)
            if outcome is not None:
                return outcome
            withdrawn = report is not None and report.state is execution_claims.KeyState.UNKNOWN
        holder_ids = {held.claimant.host_id for held in same_body}
        event = await self._stored_answer(key, fingerprint, holder_ids, deadline_ms)
        if event is not None or withdrawn:
            return event
        return await self._read_back(key)

    async def _stored_answer(
        self, key: ids.ExecutionKey, fingerprint: bytes, holders: set[str], deadline_ms: int
    ) -> ClaimEvent | None:
        """Queries holders and witnesses; prefers a stored answer to a report without one."""
        sets = self._claims.window.witness_sets(key.scoped, self._fleet.clock.now_ms())
        host_ids = holders | {host.id for hosts in sets for host in hosts}
        timeout_ms = min(VOTE_TIMEOUT_MS, self._remaining_ms(deadline_ms))
        reports = await asyncio.gather(
            *(
                self._fetch_report_with_timeout(host_id, key, timeout_ms)
                for host_id in sorted(host_ids)
            )
        )
        outcomes_or_none = [
            _event_from_report(report, fingerprint) for report in reports if report is not None
        ]
        known_outcomes = [event for event in outcomes_or_none if event is not None]
        answers = [event for event in known_outcomes if isinstance(event, events.AnswerHeld)]
        return (answers or known_outcomes or [None])[0]

    async def _fetch_report_with_timeout(
        self, host_id: str, key: ids.ExecutionKey, timeout_ms: int
    ) -> execution_claims.KeyReport | None:
        try:
            return await asyncio.wait_for(
                self._fetch_report(host_id, key, 0), timeout_ms / _MS_PER_S
            )
        except TimeoutError:
            return None

    async def _fetch_report(
        self, host_id: str, key: ids.ExecutionKey, wait_ms: int
    ) -> execution_claims.KeyReport | None:
        rosters = self._claims.window.rosters(self._fleet.clock.now_ms())
        host = next((found for item in rosters if (found := item.host(host_id)) is not None), None)
        return None if host is None else await self._fleet.client.report(host, key, wait_ms)

    async def _read_back(self, key: ids.ExecutionKey) -> ClaimEvent:
        """Asks the targets whether they executed a key whose holder does not respond."""
        targets = [
            target
            for stage in self._pipeline.stages
            if not stage.repeatable
            and (pool := self._fleet.slots.pool(stage.pool)) is not None
            and pool.readback
            for target in pool.targets
        ]
        target_outcomes = await asyncio.gather(
            *(
                self._fleet.reader.read_outcome(target, key)
                for target in targets[:MAX_READBACK_TARGETS]
            )
        )
        if any(outcome is not None and outcome.executions > 0 for outcome in target_outcomes):
            return events.ClaimDenied(_finished_without_answer())
        # "Not executed" is not conclusive, because the holder's call may still be in transit.
        return _outcome_unknown()


def _event_from_report(
    report: execution_claims.KeyReport, fingerprint: bytes
) -> events.ClaimDenied | events.AnswerHeld | None:
    match report.state:
        case execution_claims.KeyState.FINISHED if report.answer is not None:
            if report.fingerprint != fingerprint:
                return _key_reused()
            answer = report.answer
            return events.AnswerHeld(answer.status, answer.content_type, answer.body)
        case execution_claims.KeyState.FINISHED_WITHOUT_ANSWER:
            return events.ClaimDenied(_finished_without_answer())
        case _:
            return None


def _claim_unavailable(ran: errors.RunStatus, reasons: Sequence[str]) -> errors.ClaimUnavailable:
    return errors.ClaimUnavailable(
        detail=f"The key was not granted by its witnesses: {', '.join(reasons)}.",
        ran=ran,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _outcome_unknown() -> events.ClaimDenied:
    return events.ClaimDenied(
        errors.OutcomeUnknown(
            detail="Another submission of the key may have run; its outcome is not known.",
            ran=errors.RunStatus.UNKNOWN,
        )
    )


def _key_reused() -> events.ClaimDenied:
    return events.ClaimDenied(
        errors.KeyReused(detail="The key was used with another body.", ran=errors.RunStatus.UNKNOWN)
    )


def _finished_without_answer() -> errors.AnswerUnavailable:
    return errors.AnswerUnavailable(
        detail="The key was run, but its answer is no longer held.", ran=errors.RunStatus.YES
    )


def _outcome_unknown_answer() -> outcomes.StoredAnswer:
    failure = errors.OutcomeUnknown(
        detail="The call was sent, but its outcome is not known; it is not sent again.",
        ran=errors.RunStatus.UNKNOWN,
    )
    body = json.dumps(problem.to_body(failure, None)).encode()
    return outcomes.StoredAnswer(failure.status, problem.CONTENT_TYPE, body)
