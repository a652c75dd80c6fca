"""Failure detector in the style of SWIM (Das, Gupta and Motivala, 2002).

Members are the hosts of the roster. Inputs are clock ticks and messages; outputs are messages and
state changes. The cost for each host does not depend on the number of hosts.
"""

from __future__ import annotations

import math
import random
from typing import Any

import attrs

from sesamehold.process import dissemination
from sesamehold.process import messages
from sesamehold.version import manifest

PROBE_PERIOD_MS = 1_000
# Without an acknowledgement within this time, the target is probed through other hosts. Round trips
# between regions take up to about 300 ms.
ACK_TIMEOUT_MS = 400
INDIRECT_PROBES = 3
# A suspicion times out after this long times log2(N), so that a refutation has time to spread.
SUSPICION_FACTOR_MS = 1_000
SUSPICION_MIN_MS = 3_000
# Probability that a member's turn is skipped. Probes of hosts that do not answer slow the spread of
# quorum evidence among the others, but some are needed to detect that a partition has healed.
_PROBE_SKIP_PROBABILITY = {
    messages.MemberState.SUSPECT: 0.5,
    messages.MemberState.UNREACHABLE: 0.875,
}
# Maximum number of pending relayed probes; further relay requests are dropped.
MAX_RELAYS = 1_000

_State = messages.MemberState


@attrs.define
class Member:
    """State of another host as seen by this host."""

    host: manifest.Host
    incarnation: int = 0
    state: messages.MemberState = _State.ALIVE
    suspect_until_ms: int = 0


@attrs.frozen
class MemberChanged:
    """A state transition of a member."""

    host_id: str
    state: messages.MemberState
    incarnation: int


@attrs.define
class _Probe:
    target: str
    sequence: int
    sent_ms: int
    indirect: bool = False


@attrs.frozen
class _Relay:
    requester: str
    sequence: int
    expires_ms: int


@attrs.define
class Membership:
    """Membership state of one host: probes, suspicions and the updates to disseminate.

    Attributes:
        host_id: Id of this host.
        incarnation: Incarnation of this host; raised to refute a suspicion.
        state: State that this host announces for itself.
        members: The other hosts of the roster by id.
        changes: State transitions that have not been collected yet.
        last_acknowledged_ms: When the last acknowledged probe of this host was sent.
    """

    host_id: str
    incarnation: int
    _rng: random.Random
    state: messages.MemberState = _State.ALIVE
    members: dict[str, Member] = attrs.field(factory=dict)
    changes: list[MemberChanged] = attrs.field(factory=list)
    last_acknowledged_ms: int | None = None
    _queue: dissemination.Dissemination = attrs.field(factory=dissemination.Dissemination)
    _suspects: set[str] = attrs.field(factory=set)
    _probe_queue: list[str] = attrs.field(factory=list)
    _probe: _Probe | None = None
    _relays: dict[int, _Relay] = attrs.field(factory=dict)
    _sequence: int = attrs.field(init=False)
    _next_probe_ms: int | None = None

    def __attrs_post_init__(self) -> None:
        # Starts at a random number, so that late acknowledgements for a previous process on this
        # host do not match probes of this one.
        self._sequence = self._rng.randrange(1 << 32)

    def configure(self, hosts: tuple[manifest.Host, ...]) -> None:
        """Replaces the roster; hosts that are in both rosters keep their state."""
        members: dict[str, Member] = {}
        for host in hosts:
            if host.id == self.host_id:
                continue
            member = self.members.get(host.id) or Member(host)
            member.host = host
            members[host.id] = member
        for host_id in set(self.members) - set(members):
            self._queue.discard(host_id)
            self._suspects.discard(host_id)
        self._probe_queue = [host_id for host_id in self._probe_queue if host_id in members]
        for host_id in members:
            if host_id not in self.members:
                self._probe_queue.insert(self._rng.randint(0, len(self._probe_queue)), host_id)
        self.members = members

    def tick(self, now_ms: int) -> list[messages.Send]:
        """Runs the probes and timeouts that are due at `now_ms`; returns the messages to send."""
        if self._next_probe_ms is None:
            # Random jitter, so that hosts that start together do not probe at the same time.
            self._next_probe_ms = now_ms + self._rng.randrange(PROBE_PERIOD_MS)
        self._expire_suspicions(now_ms)
        if now_ms >= self._next_probe_ms:
            self._finish_probe(now_ms)
            self._next_probe_ms = max(self._next_probe_ms + PROBE_PERIOD_MS, now_ms)
            return self._start_probe(now_ms)
        probe = self._probe
        if probe and not probe.indirect and now_ms - probe.sent_ms >= ACK_TIMEOUT_MS:
            probe.indirect = True
            return [
                messages.Send(host_id, messages.PingRequest(probe.sequence, probe.target))
                for host_id in self.sample(INDIRECT_PROBES, exclude=probe.target)
            ]
        return []

    def on_pause(self, paused_ms: int) -> None:
        """Extends all suspicions by the length of a process pause and drops the probe in flight."""
        self._probe = None
        for host_id in self._suspects:
            self.members[host_id].suspect_until_ms += paused_ms

    def on_ping(self, sender: str, ping: messages.Ping) -> list[messages.Send]:
        """Acknowledges a probe."""
        return [messages.Send(sender, messages.Ack(ping.sequence, self.host_id))]

    def on_ping_request(
        self, sender: str, request: messages.PingRequest, now_ms: int
    ) -> list[messages.Send]:
        """Probes another host on behalf of the sender."""
        if request.target_host_id not in self.members or len(self._relays) >= MAX_RELAYS:
            return []
        sequence = self._next_sequence()
        self._relays[sequence] = _Relay(sender, request.sequence, now_ms + PROBE_PERIOD_MS)
        return [messages.Send(request.target_host_id, messages.Ping(sequence))]

    def on_ack(self, sender: str, ack: messages.Ack, now_ms: int) -> list[messages.Send]:
        """Completes the probe in flight, or forwards the acknowledgement of a relayed probe."""
        relay = self._relays.pop(ack.sequence, None)
        if relay is not None:
            if now_ms > relay.expires_ms:
                return []
            return [
                messages.Send(relay.requester, messages.Ack(relay.sequence, ack.subject_host_id))
            ]
        probe = self._probe
        if probe is None or probe.sequence != ack.sequence or ack.subject_host_id != probe.target:
            return []
        self._probe = None
        self.last_acknowledged_ms = probe.sent_ms
        return (
            [messages.Send(sender, messages.Confirm(ack.sequence))]
            if sender == probe.target
            else []
        )

    def probe_sent_ms(self, target: str, sequence: int) -> int | None:
        """Returns when the probe in flight was sent, None unless target and sequence match it."""
        probe = self._probe
        if probe is None or probe.sequence != sequence or probe.target != target:
            return None
        return probe.sent_ms

    def on_message(self, host_id: str, incarnation: int, now_ms: int) -> None:
        """Records the incarnation in a message from a member, which may have restarted."""
        member = self.members.get(host_id)
        if member is None or incarnation <= member.incarnation:
            return
        if member.state is _State.ALIVE:
            # Not disseminated: when all hosts start at once, the new incarnations would fill the
            # queue and delay updates about failures.
            member.incarnation = incarnation
        else:
            self.apply(messages.MemberUpdate(host_id, incarnation, _State.ALIVE), now_ms)

    def apply(self, update: messages.MemberUpdate, now_ms: int) -> None:
        """Applies an update and queues it for dissemination if it is newer than the known state."""
        if update.host_id == self.host_id:
            self._refute(update)
            return
        member = self.members.get(update.host_id)
        if member is None or (update.incarnation, update.state) <= (
            member.incarnation,
            member.state,
        ):
            return
        previous = member.state
        member.incarnation = update.incarnation
        member.state = update.state
        self._queue.add(update)
        if update.state is _State.SUSPECT:
            self._suspects.add(update.host_id)
            member.suspect_until_ms = now_ms + self.suspicion_ms()
        else:
            self._suspects.discard(update.host_id)
        if previous is not update.state:
            self.changes.append(MemberChanged(update.host_id, update.state, update.incarnation))

    def updates_for(self, host_id: str) -> tuple[messages.MemberUpdate, ...]:
        """Returns the updates to piggyback on a message to a host."""
        member = self.members.get(host_id)
        first = None
        if member is not None and member.state is not _State.ALIVE:
            # The receiver needs the update about itself to refute it.
            first = messages.MemberUpdate(host_id, member.incarnation, member.state)
        return self._queue.take(len(self.members), first)

    def announce_leaving(self) -> messages.MemberUpdate:
        """Announces that this host is leaving; returns the update."""
        return self._announce(_State.LEAVING)

    def announce_left(self) -> messages.MemberUpdate:
        """Announces that this host has left; returns the update."""
        return self._announce(_State.LEFT)

    def alive_ids(self) -> list[str]:
        """Returns the other hosts that are neither suspected nor leaving."""
        return [host_id for host_id, member in self.members.items() if member.state is _State.ALIVE]

    def is_alive(self, host_id: str) -> bool:
        """Returns whether a host is neither suspected nor leaving."""
        if host_id == self.host_id:
            return self.state is _State.ALIVE
        member = self.members.get(host_id)
        return member is not None and member.state is _State.ALIVE

    def sample(self, count: int, exclude: str | None = None) -> list[str]:
        """Returns up to `count` random other hosts that are alive."""
        candidates = [host_id for host_id in self.alive_ids() if host_id != exclude]
        return self._rng.sample(candidates, min(count, len(candidates)))

    def suspicion_ms(self) -> int:
        """Returns how long a suspected host has to refute the suspicion."""
        return max(SUSPICION_MIN_MS, int(SUSPICION_FACTOR_MS * math.log2(len(self.members) + 1)))

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values; lists only members that are not alive."""
        return {
            "host_id": self.host_id,
            "incarnation": self.incarnation,
            "state": self.state.name.lower(),
            "member_count": len(self.members),
            "queued_updates": len(self._queue),
            "not_alive": {
                host_id: {"state": member.state.name.lower(), "incarnation": member.incarnation}
                for host_id, member in sorted(self.members.items())
                if member.state is not _State.ALIVE
            },
        }

    def next_sequence(self) -> int:
        """Returns a sequence number for a ping outside the periodic probing."""
        return self._next_sequence()

    def _announce(self, state: messages.MemberState) -> messages.MemberUpdate:
        self.state = state
        self.incarnation += 1
        update = messages.MemberUpdate(self.host_id, self.incarnation, state)
        self._queue.add(update)
        return update

    def _refute(self, update: messages.MemberUpdate) -> None:
        own = (self.incarnation, self.state)
        if (update.incarnation, update.state) > own or (
            update.incarnation == self.incarnation and update.state is not self.state
        ):
            self.incarnation = max(self.incarnation, update.incarnation) + 1
            self._queue.add(messages.MemberUpdate(self.host_id, self.incarnation, self.state))

    def _expire_suspicions(self, now_ms: int) -> None:
        due = [
            host_id
            for host_id in self._suspects
            if now_ms >= self.members[host_id].suspect_until_ms
        ]
        for host_id in sorted(due):
            incarnation = self.members[host_id].incarnation
            self.apply(messages.MemberUpdate(host_id, incarnation, _State.UNREACHABLE), now_ms)

    def _finish_probe(self, now_ms: int) -> None:
        probe, self._probe = self._probe, None
        self._relays = {
            sequence: relay for sequence, relay in self._relays.items() if relay.expires_ms > now_ms
        }
        member = self.members.get(probe.target) if probe else None
        if member is None or member.state not in (_State.ALIVE, _State.LEAVING):
            return
        self.apply(
            messages.MemberUpdate(member.host.id, member.incarnation, _State.SUSPECT), now_ms
        )

    def _start_probe(self, now_ms: int) -> list[messages.Send]:
        target = self._next_target()
        if target is None:
            return []
        self._probe = _Probe(target, self._next_sequence(), now_ms)
        return [messages.Send(target, messages.Ping(self._probe.sequence))]

    def _next_target(self) -> str | None:
        if not self._probe_queue:
            self._probe_queue = [
                host_id
                for host_id, member in self.members.items()
                if member.state is not _State.LEFT
            ]
            self._rng.shuffle(self._probe_queue)
        while self._probe_queue:
            host_id = self._probe_queue.pop()
            skip_probability = _PROBE_SKIP_PROBABILITY.get(self.members[host_id].state, 0.0)
            if not self._probe_queue or self._rng.random() >= skip_probability:
                return host_id
        return None

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
