"""Deterministic simulation of hosts that claim keys over a network controlled by the test.

The hosts run the real decision modules (`HostClaims`, `ClaimRound`, `RequestExecution`). The clock
advances only by explicit steps. Messages are queued until a step delivers, duplicates or drops one.
Steps are plain tuples, so a failing schedule can be kept as a row of a test table.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import random
from typing import Any
from typing import Protocol

import attrs
import factories

from sesamehold.process import execution_claims
from sesamehold.process import outcomes
from sesamehold.process import witness
from sesamehold.request import claim_round
from sesamehold.request import deadline
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import rendezvous

HOSTS = tuple(f"h{index}" for index in range(7))
INITIAL_HOSTS = HOSTS[:5]
KEY_COUNT = 2
RETENTION_MS = 60_000
SKEW_MS = 2_000
DEADLINE_MS = 8_000
START_MS = 1_000_000
WALL_MS = 1_700_000_000_000
# Maximum time until a connected host receives a new roster (invariant I9).
MAX_ROSTER_DELAY_MS = 5_000
PAUSE_THRESHOLD_MS = 1_000
OFFSETS_MS = (0, 1_000, -1_000, 500, -500, 900, -900)
PIPELINE = manifest.Pipeline("order", "owner", (factories.stage("order", repeatable=False),))

Step = tuple[Any, ...]


class InvariantViolationError(AssertionError):
    """Raised when a step violates an invariant."""


@attrs.define
class SimulatedHealth:
    """Quorum and pause detection of one host, computed from the state of the simulation."""

    world: ClaimSimulation
    host_id: str
    pause_end_ms: int = -1

    def has_quorum(self, now_ms: int) -> bool:
        host = self.world.hosts[self.host_id]
        roster = host.claims.window.current
        if roster is None:
            return False
        seen = sum(self.world.connected(self.host_id, item.id) for item in roster.hosts)
        return 2 * seen > len(roster.hosts)

    def paused_since(self, since_ms: int) -> bool:
        return self.pause_end_ms >= since_ms


@attrs.define(eq=False)
class Submission:
    """One request submitted to one host, and the state of its claim and attempt."""

    number: int
    host: Host
    key_index: int
    key: ids.ExecutionKey
    machine: execution.RequestExecution
    claim_id: str | None = None
    vote_round: claim_round.ClaimRound | None = None
    attempt: ids.AttemptId | None = None
    in_flight: bool = False
    ended: bool = False
    executed: bool = False


@attrs.define(eq=False)
class Host:
    """State of one host; a restart replaces its claims and discards its submissions."""

    id: str
    offset_ms: int
    health: SimulatedHealth
    claims: execution_claims.HostClaims
    up: bool = True
    paused_ms: int | None = None
    submissions: list[Submission] = attrs.field(factory=list)
    owned: dict[str, str] = attrs.field(factory=dict)

    @property
    def is_running(self) -> bool:
        return self.up and self.paused_ms is None


@attrs.frozen(eq=False)
class Message:
    """A message in transit; `deliver` is executed at the receiver."""

    sender: str
    receiver: str
    label: str
    deliver: Callable[[], None]


class Coordination(Protocol):
    """Protocol by which a submission acquires the permission to dispatch."""

    def begin(self, world: ClaimSimulation, submission: Submission) -> None:
        """Starts to acquire the permission."""

    def may_dispatch(self, world: ClaimSimulation, submission: Submission) -> bool:
        """Returns whether the submission may be dispatched now."""


class WitnessClaims:
    """The production protocol: votes of a majority of the witnesses."""

    def begin(self, world: ClaimSimulation, submission: Submission) -> None:
        host, key = submission.host, submission.key
        known_first_submission = key.host_generated or submission.machine.request.first_submission
        refusal = claim_round.check_key(
            key, host.claims.policy, world.wall(host), known_first_submission=known_first_submission
        )
        ran = errors.RunStatus.NO if known_first_submission else errors.RunStatus.UNKNOWN
        if refusal is None and not host.claims.quorum_check.has_quorum(world.now_ms):
            refusal = errors.ClaimUnavailable(detail="no quorum", ran=ran)
        if refusal is not None:
            world.feed(submission, events.ClaimDenied(refusal))
            return
        wait_ms = submission.machine.request.deadline.remaining_ms(world.now_ms)
        open_claim = host.claims.open_claim(key, b"fingerprint", world.now_ms, wait_ms)
        submission.claim_id = open_claim.claim.claimant.claim_id
        sets = host.claims.window.witness_sets(key.scoped, world.now_ms)
        submission.vote_round = claim_round.ClaimRound(
            submission.claim_id,
            tuple(frozenset(item.id for item in hosts) for hosts in sets),
            known_first_submission,
        )
        newest = host.claims.window.current
        assert newest is not None
        for item in open_claim.witnesses:
            world.ask_vote(submission, open_claim.claim, newest.content_hash, item.id)

    def may_dispatch(self, world: ClaimSimulation, submission: Submission) -> bool:
        claim_id = submission.claim_id
        return claim_id is not None and submission.host.claims.may_dispatch(claim_id, world.now_ms)


class NoClaim:
    """Baseline: every host that receives a key executes it, unless it has the stored answer."""

    def begin(self, world: ClaimSimulation, submission: Submission) -> None:
        report = submission.host.claims.report(submission.key, world.now_ms)
        if report.answer is not None:
            answer = report.answer
            held = events.AnswerHeld(answer.status, answer.content_type, answer.body)
            world.feed(submission, held)
            return
        world.feed(submission, events.ClaimGranted())

    def may_dispatch(self, world: ClaimSimulation, submission: Submission) -> bool:
        return True


class FixedOwner:
    """Baseline: the first live host in rendezvous order of the key records who executes it."""

    def begin(self, world: ClaimSimulation, submission: Submission) -> None:
        host = submission.host
        roster = host.claims.window.current
        assert roster is not None
        alive = [item.id for item in roster.hosts if world.connected(host.id, item.id)]
        owner = rendezvous.owner(alive, submission.key.scoped)
        if owner is None:
            return

        def at_owner() -> None:
            owned = world.hosts[owner].owned
            name = str(submission.number)
            first = owned.setdefault(submission.key.scoped, name) == name
            world.send(owner, host.id, "owner-reply", lambda: reply(first=first))

        def reply(*, first: bool) -> None:
            if submission in host.submissions and not submission.ended:
                world.feed(
                    submission,
                    events.ClaimGranted() if first else _outcome_unknown(),
                )

        world.send(host.id, owner, "owner-ask", at_owner)

    def may_dispatch(self, world: ClaimSimulation, submission: Submission) -> bool:
        return True


def _outcome_unknown() -> events.ClaimDenied:
    return events.ClaimDenied(errors.OutcomeUnknown(detail="held", ran=errors.RunStatus.UNKNOWN))


@attrs.define(eq=False)
class ClaimSimulation:
    """All hosts, the network, the targets and the replies that callers received.

    If `strict` is set, a step that violates an invariant raises `InvariantViolationError`.
    """

    coordination: Coordination = attrs.field(factory=WitnessClaims)
    strict: bool = True
    now_ms: int = START_MS
    hosts: dict[str, Host] = attrs.field(init=False)
    rosters: list[manifest.Manifest] = attrs.field(factory=list)
    queue: list[Message] = attrs.field(factory=list)
    partitions: dict[str, int] = attrs.field(factory=dict)
    executions: dict[str, int] = attrs.field(factory=dict)
    answers: dict[str, bytes] = attrs.field(factory=dict)
    keys: dict[int, tuple[ids.ExecutionKey, int]] = attrs.field(factory=dict)
    replies: dict[str, int] = attrs.field(factory=dict)
    _submission_count: int = 0
    _last_change_ms: int = 0

    def __attrs_post_init__(self) -> None:
        self.hosts = {}
        self.rosters.append(_manifest(1, INITIAL_HOSTS))
        for host_id, offset_ms in zip(HOSTS, OFFSETS_MS, strict=True):
            health = SimulatedHealth(self, host_id)
            # The hosts started at time 0, long before `START_MS`: a witness abstains directly after
            # its start.
            self.hosts[host_id] = Host(
                host_id, offset_ms, health, self._new_claims(host_id, offset_ms, health, 0)
            )
            self._configure(self.hosts[host_id], self.rosters[0], 0)

    # ---- steps ----

    def apply(self, step: Step) -> None:
        """Executes one step; a step that is not possible in the current state does nothing."""
        getattr(self, f"_step_{step[0]}")(*step[1:])

    def _step_submit(self, host: int, key_index: int, kind: int) -> None:
        target = self._host(host)
        if not target.is_running:
            return
        index = key_index % KEY_COUNT
        if index in self.keys and self.now_ms - self.keys[index][1] > RETENTION_MS + SKEW_MS:
            del self.keys[index]
        if index not in self.keys:
            self.keys[index] = (self._new_key(index, kind), self.now_ms)
            first = kind % 2 == 0
        else:
            first = False
        key, submitted_ms = self.keys[index]
        if key.host_generated and self._submission_count and not first:
            key = attrs.evolve(key, host_generated=False)
        if key.created_wall_ms is None and self.now_ms - submitted_ms > RETENTION_MS:
            # Callers must not resubmit a key without a creation time after the retention period.
            return
        self._submission_count += 1
        request = execution.Request(
            request_id=ids.uuid7(WALL_MS, self._submission_count),
            account="account",
            pipeline=PIPELINE,
            body={},
            deadline=deadline.Deadline(self.now_ms + DEADLINE_MS),
            key=key,
            fingerprint=b"fingerprint",
            first_submission=first,
        )
        machine = execution.RequestExecution(request, factories.budget())
        submission = Submission(self._submission_count, target, index, key, machine)
        target.submissions.append(submission)
        self.perform(submission, machine.start(self.now_ms))

    def _step_deliver(self, index: int) -> None:
        if not self.queue:
            return
        message = self.queue.pop(index % len(self.queue))
        receiver = self.hosts[message.receiver]
        if not self.in_same_partition(message.sender, message.receiver):
            return
        if receiver.paused_ms is not None:
            self.queue.append(message)
        elif receiver.up:
            message.deliver()

    def _step_drain(self, count: int) -> None:
        for _ in range(count):
            self._step_deliver(0)

    def _step_drop(self, index: int) -> None:
        if self.queue:
            self.queue.pop(index % len(self.queue))

    def _step_repeat(self, index: int) -> None:
        if self.queue and len(self.queue) < 200:
            self.queue.append(self.queue[index % len(self.queue)])

    def _step_dispatch(self, index: int) -> None:
        waiting = [item for item in self._submissions() if item.attempt and not item.in_flight]
        if not waiting:
            return
        submission = waiting[index % len(waiting)]
        attempt = submission.attempt
        assert attempt is not None
        allowed = submission.machine.may_dispatch(attempt, self.now_ms)
        if not (allowed and self.coordination.may_dispatch(self, submission)):
            submission.attempt = None
            fault = events.AttemptFailed(
                attempt, events.AttemptFault.CANCELLED, errors.RunStatus.NO
            )
            self.feed(submission, fault)
            return
        submission.machine.mark_dispatched(attempt)
        submission.in_flight = True
        submission.executed = True
        name = submission.key.scoped
        self.executions[name] = self.executions.get(name, 0) + 1
        if self.strict and self.executions[name] > 1:
            raise InvariantViolationError(f"key {submission.key_index} was dispatched twice")

    def _step_answer(self, index: int, outcome: int) -> None:
        in_flight = [item for item in self._submissions() if item.in_flight]
        if not in_flight:
            return
        submission = in_flight[index % len(in_flight)]
        attempt = submission.attempt
        assert attempt is not None
        submission.in_flight = False
        submission.attempt = None
        if outcome % 3:
            output = {"execution": submission.number}
            self.feed(submission, events.AttemptSucceeded(attempt, output, events.Usage(1)))
        else:
            fault = events.AttemptFault.CONNECTION_LOST
            self.feed(submission, events.AttemptFailed(attempt, fault, errors.RunStatus.UNKNOWN))

    def _step_timeout(self, index: int) -> None:
        open_rounds = [item for item in self._submissions() if item.vote_round is not None]
        if open_rounds:
            submission = open_rounds[index % len(open_rounds)]
            assert submission.vote_round is not None
            self._apply_decision(submission, submission.vote_round.close())

    def _step_advance(self, duration_ms: int) -> None:
        self.now_ms += duration_ms
        if duration_ms >= MAX_ROSTER_DELAY_MS:
            for host in self.hosts.values():
                self._adopt_newest_roster(host)
        for submission in self._submissions():
            if submission.machine.request.deadline.passed(self.now_ms):
                self.feed(submission, events.DeadlinePassed())

    def _step_pause(self, host: int) -> None:
        target = self._host(host)
        if target.is_running:
            target.paused_ms = self.now_ms

    def _step_resume(self, host: int) -> None:
        target = self._host(host)
        if target.paused_ms is not None:
            if self.now_ms - target.paused_ms > PAUSE_THRESHOLD_MS:
                target.health.pause_end_ms = self.now_ms
            target.paused_ms = None

    def _step_kill(self, host: int) -> None:
        target = self._host(host)
        target.up = False
        target.paused_ms = None
        target.submissions.clear()
        target.owned.clear()

    def _step_start(self, host: int) -> None:
        target = self._host(host)
        if target.up:
            return
        target.up = True
        target.claims = self._new_claims(target.id, target.offset_ms, target.health, self.now_ms)
        known = [
            other.claims.window.current.version
            for other in self.hosts.values()
            if other is not target
            and other.claims.window.current is not None
            and self.connected(target.id, other.id)
        ]
        self._configure(target, self.rosters[max(known, default=1) - 1], self.now_ms)

    def _step_split(self, mask: int) -> None:
        self.partitions = {host_id: mask >> index & 1 for index, host_id in enumerate(HOSTS)}

    def _step_heal(self) -> None:
        self.partitions = {}

    def _step_roster(self, leaving: int, host: int) -> None:
        """Replaces one roster member; `host` is the first host that receives the new roster."""
        members = [item.id for item in self.rosters[-1].hosts]
        spare = [host_id for host_id in HOSTS if host_id not in members]
        reader = self._host(host)
        newest = reader.claims.window.current
        if not reader.is_running or newest is None or newest.version != self.rosters[-1].version:
            return
        if self.now_ms - self._last_change_ms < RETENTION_MS // 4:
            return
        self._last_change_ms = self.now_ms
        members[leaving % len(members)] = spare[leaving % len(spare)]
        self.rosters.append(_manifest(len(self.rosters) + 1, tuple(sorted(members))))
        self._configure(reader, self.rosters[-1], self.now_ms)

    def _step_spread(self, host: int) -> None:
        self._adopt_newest_roster(self._host(host))

    def _step_hand_over(self, host: int) -> None:
        """Planned stop: hands the records over to other hosts, then stops the host."""
        target = self._host(host)
        if not target.is_running or any(not item.ended for item in target.submissions):
            return
        for address, items in target.claims.handover(self.now_ms).items():
            self.send(target.id, address, "handover", self._importer(address, items))
        self._step_kill(host)

    # ---- network ----

    def in_same_partition(self, first: str, second: str) -> bool:
        return self.partitions.get(first, 0) == self.partitions.get(second, 0)

    def connected(self, first: str, second: str) -> bool:
        return self.hosts[second].is_running and self.in_same_partition(first, second)

    def send(self, sender: str, receiver: str, label: str, deliver: Callable[[], None]) -> None:
        if sender == receiver:
            deliver()
        else:
            self.queue.append(Message(sender, receiver, label, deliver))

    def ask_vote(
        self, submission: Submission, claim: witness.Claim, roster_hash: bytes, host_id: str
    ) -> None:
        sender = submission.host.id

        def at_witness() -> None:
            receiver = self.hosts[host_id]
            vote = receiver.claims.vote(claim, roster_hash, self.now_ms, self.wall(receiver))
            self.send(host_id, sender, "vote", lambda: at_claimant(vote))

        def at_claimant(vote: witness.Vote) -> None:
            same_claim = submission.claim_id == claim.claimant.claim_id
            if same_claim and submission.vote_round and submission in submission.host.submissions:
                submission.vote_round.record(host_id, vote)
                decision = submission.vote_round.decide()
                if decision is not None:
                    self._apply_decision(submission, decision)

        self.send(sender, host_id, "claim", at_witness)

    # ---- requests ----

    def feed(self, submission: Submission, event: events.Event) -> None:
        self.perform(submission, submission.machine.handle(event, self.now_ms))

    def perform(self, submission: Submission, actions: list[events.Action]) -> None:
        for action in actions:
            match action:
                case events.ClaimKey():
                    self.coordination.begin(self, submission)
                case events.StartAttempt():
                    submission.attempt = action.attempt
                case events.ReleaseClaim():
                    self._release(submission)
                case events.FinishClaim():
                    self._finish(submission, action.answer)
                case events.DeliverAnswer():
                    self._reply(submission, json.dumps(action.answer).encode(), None)
                case events.DeliverStoredAnswer() if action.status == 200:
                    self._reply(submission, action.body, None)
                case events.DeliverStoredAnswer():
                    self._reply(submission, None, errors.RunStatus.UNKNOWN)
                case events.DeliverFailure():
                    self._reply(submission, None, action.failure.ran)
                case _:
                    pass

    def _apply_decision(self, submission: Submission, decision: claim_round.RoundDecision) -> None:
        vote_round = submission.vote_round
        if vote_round is None or submission.ended:
            return
        submission.vote_round = None
        claims = submission.host.claims
        match decision:
            case claim_round.RoundGranted():
                claims.grant(vote_round.claim_id)
                if claims.may_dispatch(vote_round.claim_id, self.now_ms):
                    self.feed(submission, events.ClaimGranted())
                else:
                    self._release(submission)
                    self._deny(submission, vote_round.ran_if_not_dispatched())
            case claim_round.RoundDenied():
                self._release(submission)
                self._deny(submission, decision.ran)
            case claim_round.RoundHeld():
                self._release(submission)
                self._ask_outcome(submission, decision)

    def _deny(self, submission: Submission, ran: errors.RunStatus) -> None:
        failure = errors.ClaimUnavailable(detail="denied", ran=ran)
        self.feed(submission, events.ClaimDenied(failure))

    def _ask_outcome(self, submission: Submission, held: claim_round.RoundHeld) -> None:
        sender, key = submission.host.id, submission.key
        names = {item.claimant.host_id for item in held.holders} | set(HOSTS[:3])

        def at_asker(report: execution_claims.KeyReport) -> None:
            if submission.ended or submission not in submission.host.submissions:
                return
            if report.answer is not None:
                answer = report.answer
                event = events.AnswerHeld(answer.status, answer.content_type, answer.body)
                self.feed(submission, event)
            elif report.state is execution_claims.KeyState.FINISHED_WITHOUT_ANSWER:
                self._deny(submission, errors.RunStatus.YES)

        for name in sorted(names & set(HOSTS)):

            def at_holder(name: str = name) -> None:
                report = self.hosts[name].claims.report(key, self.now_ms)
                self.send(name, sender, "report", lambda: at_asker(report))

            self.send(sender, name, "outcome", at_holder)

    def _release(self, submission: Submission) -> None:
        claims = submission.host.claims
        open_claim = claims.withdraw(submission.claim_id) if submission.claim_id else None
        if open_claim is None:
            return
        claim = open_claim.claim
        for item in open_claim.witnesses:

            def at_witness(host_id: str = item.id) -> None:
                memory = self.hosts[host_id].claims.memory
                memory.release(claim.key, claim.claimant.claim_id, self.now_ms)

            self.send(submission.host.id, item.id, "release", at_witness)

    def _finish(self, submission: Submission, answer: dict[str, Any] | None) -> None:
        known = answer is not None
        body = json.dumps(answer).encode()
        stored = outcomes.StoredAnswer(200 if known else 502, "application/json", body)
        claims = submission.host.claims
        if submission.claim_id is None:
            claims.answers.put_owned(submission.key, b"fingerprint", stored, self.now_ms)
            return
        open_claim = claims.complete(submission.claim_id, stored, self.now_ms)
        if open_claim is None:
            return
        for position, item in enumerate(open_claim.witnesses):
            copy = stored if position < 2 or not known else None

            def at_witness(
                host_id: str = item.id, copy: outcomes.StoredAnswer | None = copy
            ) -> None:
                self.hosts[host_id].claims.record_finished(open_claim.claim, copy, self.now_ms)

            self.send(submission.host.id, item.id, "finish", at_witness)

    def _reply(
        self, submission: Submission, body: bytes | None, ran: errors.RunStatus | None
    ) -> None:
        submission.ended = True
        name = submission.key.scoped
        label = "answer" if ran is None else f"ran-{ran.value}"
        self.replies[label] = self.replies.get(label, 0) + 1
        if not self.strict:
            return
        executed = self.executions.get(name, 0)
        request = submission.machine.request
        known_first_submission = submission.key.host_generated or request.first_submission
        if ran is errors.RunStatus.NO and (
            submission.executed or (executed and not known_first_submission)
        ):
            raise InvariantViolationError(
                f"key {submission.key_index} was executed, but the reply says it was not"
            )
        if ran is errors.RunStatus.YES and not executed:
            raise InvariantViolationError(
                f"key {submission.key_index} was not executed, but the reply says it was"
            )
        if body is not None and self.answers.setdefault(name, body) != body:
            raise InvariantViolationError(f"key {submission.key_index} has two different answers")

    # ---- helpers ----

    def wall(self, host: Host) -> int:
        return WALL_MS + self.now_ms + host.offset_ms

    def _host(self, index: int) -> Host:
        return self.hosts[HOSTS[index % len(HOSTS)]]

    def _submissions(self) -> list[Submission]:
        return [
            item
            for host in self.hosts.values()
            if host.is_running
            for item in host.submissions
            if not item.ended
        ]

    def _new_key(self, index: int, kind: int) -> ids.ExecutionKey:
        if kind % 4 == 3:
            return ids.ExecutionKey.from_caller("account", f"key-{index}-{self.now_ms}")
        text = ids.uuid7(WALL_MS + self.now_ms + OFFSETS_MS[kind % 3], index)
        if kind % 4 == 2:
            return ids.ExecutionKey.from_host("account", text)
        return ids.ExecutionKey.from_caller("account", text)

    def _new_claims(
        self, host_id: str, offset_ms: int, health: SimulatedHealth, now_ms: int
    ) -> execution_claims.HostClaims:
        wall_ms = WALL_MS + now_ms + offset_ms
        return execution_claims.HostClaims.from_config(host_id, health, health, now_ms, wall_ms)

    def _configure(self, host: Host, version: manifest.Manifest, now_ms: int) -> None:
        host.claims.configure(version, now_ms, WALL_MS + now_ms + host.offset_ms)

    def _adopt_newest_roster(self, host: Host) -> None:
        current = host.claims.window.current
        if not host.is_running or current is None:
            return
        versions = [
            other.claims.window.current.version
            for other in self.hosts.values()
            if self.connected(host.id, other.id) and other.claims.window.current is not None
        ]
        newest = max(versions, default=current.version)
        if newest > current.version:
            self._configure(host, self.rosters[newest - 1], self.now_ms)

    def _importer(
        self, host_id: str, items: list[execution_claims.HandoverItem]
    ) -> Callable[[], None]:
        def at_receiver() -> None:
            self.hosts[host_id].claims.import_handover(items, self.now_ms)

        return at_receiver


def _manifest(version: int, members: tuple[str, ...]) -> manifest.Manifest:
    hosts = tuple(
        manifest.Host(host_id, f"z{HOSTS.index(host_id) % 3}", host_id, host_id)
        for host_id in members
    )
    policy = manifest.Policy(key_retention_ms=RETENTION_MS, clock_skew_ms=SKEW_MS)
    return manifest.Manifest(version, (), hosts, (), (), (), (), policy)


# For each step: the exclusive upper bounds of its arguments and its weight in a random schedule.
STEPS: dict[str, tuple[tuple[int, ...], int]] = {
    "submit": ((len(HOSTS), KEY_COUNT, 12), 7),
    "deliver": ((64,), 30),
    "drain": ((24,), 18),
    "drop": ((64,), 5),
    "repeat": ((64,), 5),
    "dispatch": ((8,), 16),
    "answer": ((8, 6), 8),
    "timeout": ((8,), 5),
    "pause": ((len(HOSTS),), 2),
    "resume": ((len(HOSTS),), 5),
    "kill": ((len(HOSTS),), 1),
    "start": ((len(HOSTS),), 4),
    "split": ((1 << len(HOSTS),), 2),
    "heal": ((), 3),
    "roster": ((len(HOSTS), len(HOSTS)), 2),
    "spread": ((len(HOSTS),), 3),
    "hand_over": ((len(HOSTS),), 1),
}
ADVANCES_MS = (10, 100, 500, 1_000, 2_000, 5_000, 9_000, 20_000, 31_000, 61_000)


def random_step(rng: random.Random) -> Step:
    """Returns a random step; steps are drawn by their weights in `STEPS`."""
    if rng.random() < 0.06:
        return ("advance", rng.choice(ADVANCES_MS))
    names = list(STEPS)
    name = rng.choices(names, [STEPS[item][1] for item in names])[0]
    return (name, *(rng.randrange(bound) for bound in STEPS[name][0]))
