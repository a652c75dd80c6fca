"""Tally of the witness replies for one execution claim."""

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
    """The witness did not answer in time; it may have recorded the claim."""


Reply: TypeAlias = witness.Vote | NoReply


@attrs.frozen
class RoundGranted:
    """A majority of every witness set granted the claim."""


@attrs.frozen
class RoundHeld:
    """Another claim holds the key.

    Attributes:
        holders: Replies that name other claims; finished ones first.
    """

    holders: tuple[witness.Held, ...]


@attrs.frozen
class RoundDenied:
    """The claim is neither granted nor known to be held.

    Attributes:
        ran: Whether the key was run, as far as the votes tell.
        reasons: Why witnesses did not grant, for the refusal's text.
    """

    ran: errors.Ran
    reasons: tuple[str, ...]


RoundDecision: TypeAlias = RoundGranted | RoundHeld | RoundDenied


@attrs.define
class ClaimRound:
    """Counts the replies to one claim over all witness sets of the overlap window.

    Attributes:
        claim_id: Id of the claim.
        sets: Host ids of each witness set.
        known_first: True if no earlier submission of the key can exist.
    """

    claim_id: str
    sets: tuple[frozenset[str], ...]
    known_first: bool
    _replies: dict[str, Reply] = attrs.field(factory=dict)

    @property
    def witnesses(self) -> frozenset[str]:
        """Returns the hosts to ask."""
        return frozenset().union(*self.sets)

    def record(self, host_id: str, reply: Reply) -> None:
        """Takes one reply; repeated replies of a host are dropped."""
        self._replies.setdefault(host_id, reply)

    def decide(self) -> RoundDecision | None:
        """Returns the decision as soon as no later reply can change it."""
        if self._granted():
            return RoundGranted()
        holders = self._holders()
        complete = self.witnesses <= self._replies.keys()
        if holders and (holders[0].finished or complete or not self._can_be_granted()):
            return RoundHeld(holders)
        # Without a known holder, later replies may still name one.
        return RoundDenied(self.ran_if_not_dispatched(), self._reasons()) if complete else None

    def close(self) -> RoundDecision:
        """Returns the decision when the time for replies is over."""
        for host_id in self.witnesses - self._replies.keys():
            self._replies[host_id] = NoReply()
        decision = self.decide()
        assert decision is not None
        return decision

    def ran_if_not_dispatched(self) -> errors.Ran:
        """Returns whether the key was run, given that this claim dispatches nothing.

        A majority in every set that voted and knows no other claimant shows that no earlier claim
        was granted, because two majorities intersect.
        """
        nobody_else = self._granted() and not self._holders()
        return errors.Ran.NO if self.known_first or nobody_else else errors.Ran.UNKNOWN

    def _granted(self) -> bool:
        return bool(self.sets) and all(
            self._grants(hosts) >= roster.majority(len(hosts)) for hosts in self.sets
        )

    def _can_be_granted(self) -> bool:
        return all(
            self._grants(hosts) + len(hosts - self._replies.keys()) >= roster.majority(len(hosts))
            for hosts in self.sets
        )

    def _grants(self, hosts: frozenset[str]) -> int:
        return sum(isinstance(self._replies.get(host), witness.Granted) for host in hosts)

    def _holders(self) -> tuple[witness.Held, ...]:
        held = (
            reply
            for _, reply in sorted(self._replies.items())
            if isinstance(reply, witness.Held) and reply.claimant.claim_id != self.claim_id
        )
        return tuple(sorted(held, key=lambda reply: not reply.finished))

    def _reasons(self) -> tuple[str, ...]:
        reasons = {
            reply.reason if isinstance(reply, witness.Abstained) else "no-reply"
            for reply in self._replies.values()
            if isinstance(reply, witness.Abstained | NoReply)
        }
        return tuple(sorted(reasons))


def check_key(
    key: ids.ExecutionKey, policy: manifest.Policy, wall_ms: int, *, known_first: bool
) -> errors.Failure | None:
    """Returns the refusal of a key whose age does not allow a claim."""
    if key.created_wall_ms is None:
        return None
    ran = errors.Ran.NO if known_first else errors.Ran.UNKNOWN
    if wall_ms - key.created_wall_ms > policy.key_retention_ms:
        return errors.KeyExpired(detail="The key is older than the retention period.", ran=ran)
    if key.created_wall_ms - wall_ms > policy.clock_skew_ms:
        return errors.BadRequest(
            detail="The time in the UUIDv7 key is in the future.", field="Idempotency-Key", ran=ran
        )
    return None
