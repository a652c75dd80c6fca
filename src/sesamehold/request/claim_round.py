"""Counts the votes of the witnesses on one execution claim and decides the round."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from sesamehold.process import witness
from sesamehold.request import errors
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import roster


@attrs.frozen
class NoReply:
    """The witness did not reply in time; it may still have recorded the claim."""


Reply: TypeAlias = witness.Vote | NoReply


@attrs.frozen
class RoundGranted:
    """A majority of every witness set granted the claim."""


@attrs.frozen
class RoundHeld:
    """Another claim holds the key.

    Attributes:
        holders: Replies that name other claims, finished claims first.
    """

    holders: tuple[witness.Held, ...]


@attrs.frozen
class RoundDenied:
    """The claim is neither granted nor known to be held.

    Attributes:
        ran: Whether the key was run, as far as the votes show.
        reasons: Why witnesses did not grant the claim; shown to the caller.
    """

    ran: errors.RunStatus
    reasons: tuple[str, ...]


RoundDecision: TypeAlias = RoundGranted | RoundHeld | RoundDenied


@attrs.define
class ClaimRound:
    """Collects the replies to one claim from all witness sets of the roster overlap window.

    Attributes:
        claim_id: Id of the claim.
        sets: Host ids of each witness set.
        known_first_submission: Whether no earlier submission of the key can exist.
    """

    claim_id: str
    sets: tuple[frozenset[str], ...]
    known_first_submission: bool
    _replies: dict[str, Reply] = attrs.field(factory=dict)

    @property
    def witnesses(self) -> frozenset[str]:
        """Returns the ids of all hosts that vote on the claim."""
        return frozenset().union(*self.sets)

    def record(self, host_id: str, reply: Reply) -> None:
        """Records one reply; only the first reply of each host counts."""
        self._replies.setdefault(host_id, reply)

    def decide(self) -> RoundDecision | None:
        """Returns the decision, None while later replies can still change it."""
        if self._is_granted():
            return RoundGranted()
        holders = self._holders()
        complete = self.witnesses <= self._replies.keys()
        if holders and (holders[0].finished or complete or not self._can_be_granted()):
            return RoundHeld(holders)
        # As long as no holder is known, an outstanding reply may still name one.
        return RoundDenied(self.ran_if_not_dispatched(), self._reasons()) if complete else None

    def close(self) -> RoundDecision:
        """Ends the round: counts missing replies as `NoReply` and returns the decision."""
        for host_id in self.witnesses - self._replies.keys():
            self._replies[host_id] = NoReply()
        decision = self.decide()
        assert decision is not None
        return decision

    def ran_if_not_dispatched(self) -> errors.RunStatus:
        """Returns whether the key was run, provided that nothing is dispatched under this claim.

        If a majority of every set granted the claim and no reply names another claimant, no earlier
        claim was granted, because any two majorities intersect.
        """
        no_other_claim = self._is_granted() and not self._holders()
        return (
            errors.RunStatus.NO
            if self.known_first_submission or no_other_claim
            else errors.RunStatus.UNKNOWN
        )

    def _is_granted(self) -> bool:
        return bool(self.sets) and all(
            self._count_grants(hosts) >= roster.majority(len(hosts)) for hosts in self.sets
        )

    def _can_be_granted(self) -> bool:
        return all(
            self._count_grants(hosts) + len(hosts - self._replies.keys())
            >= roster.majority(len(hosts))
            for hosts in self.sets
        )

    def _count_grants(self, hosts: frozenset[str]) -> int:
        return sum(isinstance(self._replies.get(host), witness.Granted) for host in hosts)

    def _holders(self) -> tuple[witness.Held, ...]:
        other_claims = (
            reply
            for _, reply in sorted(self._replies.items())
            if isinstance(reply, witness.Held) and reply.claimant.claim_id != self.claim_id
        )
        return tuple(sorted(other_claims, key=lambda reply: not reply.finished))

    def _reasons(self) -> tuple[str, ...]:
        reasons = {
            reply.reason if isinstance(reply, witness.Abstained) else "no-reply"
            for reply in self._replies.values()
            if isinstance(reply, witness.Abstained | NoReply)
        }
        return tuple(sorted(reasons))


def check_key(
    key: ids.ExecutionKey, policy: manifest.Policy, wall_ms: int, *, known_first_submission: bool
) -> errors.Failure | None:
    """Checks the creation time of a key; returns a failure if the key must not be claimed."""
    if key.created_wall_ms is None:
        return None
    ran = errors.RunStatus.NO if known_first_submission else errors.RunStatus.UNKNOWN
    if wall_ms - key.created_wall_ms > policy.key_retention_ms:
        return errors.KeyExpired(detail="The key is older than the retention period.", ran=ran)
    if key.created_wall_ms - wall_ms > policy.clock_skew_ms:
        return errors.BadRequest(
            detail="The time in the UUIDv7 key is in the future.", field="Idempotency-Key", ran=ran
        )
    return None
