"""State machine of one host's membership, quorum and configuration.

Inputs are clock ticks and decoded datagrams; outputs are datagrams to send and state changes to
log. The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable
import math
import random
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import clock as clocks
from sesamehold.process import configuration
from sesamehold.process import configuration_follower
from sesamehold.process import membership
from sesamehold.process import messages
from sesamehold.process import notices
from sesamehold.process import pause
from sesamehold.process import quorum
from sesamehold.process import reader_choice
from sesamehold.process import startup
from sesamehold.version import acceptance
from sesamehold.version import manifest
from sesamehold.version import sections

READER_TIMEOUT_MS = 5_000
# Evidence about a reader arrives this much later for each doubling of the roster, as it spreads by
# gossip. Without this allowance 1,000 hosts made 122 platform calls a second.
EVIDENCE_DELAY_MS = 400
_PERIODIC_WORK_MS = 1_000
# Acknowledgements that are not confirmed within this time are discarded.
_CONFIRM_TIMEOUT_MS = 2_000
_MAX_UNCONFIRMED = 4_096


@attrs.frozen
class StateChange:
    """A state change to log: the event name and its fields."""

    event: str
    fields: dict[str, Any]


def _ignore_count(name: str, value: int = 1) -> None:
    del name, value


@attrs.define(eq=False)
class FleetView:
    """Combines membership, quorum, notices, pause detection and configuration of one host.

    Attributes:
        changes: State changes that have not been logged yet; the caller clears the list.
        received_notices: Notices of other hosts that have not been handled yet; the caller clears
            the list.
        has_quorum_now: Result of the last periodic quorum check, to log transitions.
    """

    host_id: str
    clock: clocks.Clock
    membership: membership.Membership
    evidence: quorum.LivenessEvidence
    notices: notices.Notices
    pause: pause.PauseDetector
    configuration_state: configuration.ConfigurationState
    startup: startup.StartupCheck
    follower: configuration_follower.ConfigurationFollower = attrs.field(
        factory=configuration_follower.ConfigurationFollower
    )
    count: Callable[[str, int], None] = _ignore_count
    changes: list[StateChange] = attrs.field(factory=list)
    received_notices: list[messages.NoticeBody] = attrs.field(factory=list)
    has_quorum_now: bool = False
    _addresses: dict[str, str] = attrs.field(factory=dict)
    _unconfirmed: dict[tuple[str, int], int] = attrs.field(factory=dict)
    _last_pings: dict[str, tuple[int, int]] = attrs.field(factory=dict)
    _startup_pings: dict[int, tuple[str, int]] = attrs.field(factory=dict)
    _reader_seen_ms: int | None = None
    _readers: set[str] = attrs.field(factory=set)
    _reader_order: reader_choice.ReaderOrder = reader_choice.ReaderOrder()
    _next_periodic_work_ms: int = 0
    _next_startup_merge_ms: int = 0
    _reported_conflict: messages.Digest | None = None
    _pending: list[messages.Outgoing] = attrs.field(factory=list)

    @classmethod
    def create(
        cls,
        host_id: str,
        clock: clocks.Clock,
        rng: random.Random,
        count: Callable[[str, int], None] = _ignore_count,
        validate: acceptance.Validator = acceptance.accept_all,
    ) -> FleetView:
        """Returns the view of a host without a roster or configuration."""
        return cls(
            host_id=host_id,
            clock=clock,
            membership=membership.Membership(host_id, clock.wall_ms(), rng),
            evidence=quorum.LivenessEvidence(host_id),
            notices=notices.Notices(host_id),
            pause=pause.PauseDetector(clock),
            configuration_state=configuration.ConfigurationState(validate),
            startup=startup.StartupCheck(clock.now_ms()),
            count=count,
        )

    # ---- events --------------------------------------------------------------------------------

    def tick(self) -> list[messages.Outgoing]:
        """Runs due probes, timeouts and periodic work; called about every 100 ms."""
        now_ms = self.clock.now_ms()
        paused_ms = self.pause.tick()
        if paused_ms:
            self.membership.on_pause(paused_ms)
            self._unconfirmed.clear()
            self.count("pause.detected", 1)
            self._record_change("process was paused", paused_ms=paused_ms)
        sends = self.membership.tick(now_ms)
        pinged = [] if self.is_ready() else self.startup.next_pings(list(self.membership.members))
        for host_id in pinged:
            sequence = self.membership.next_sequence()
            self._startup_pings[sequence] = (host_id, now_ms)
            sends.append(messages.Send(host_id, messages.Ping(sequence)))
        if now_ms >= self._next_periodic_work_ms:
            self._next_periodic_work_ms = now_ms + _PERIODIC_WORK_MS
            self._run_periodic_work(now_ms)
        self._collect_member_changes()
        return self._take_pending() + self._outgoing(sends)

    def receive(self, envelope: messages.Envelope, source: str) -> list[messages.Outgoing]:
        """Processes a datagram and returns the datagrams to send.

        Args:
            envelope: The decoded datagram.
            source: Address of the sender; replies are sent there.
        """
        now_ms = self.clock.now_ms()
        sender = envelope.sender
        if sender == self.host_id:
            return []
        self.membership.on_message(sender, envelope.sender_incarnation, now_ms)
        for update in envelope.updates:
            self.membership.apply(update, now_ms)
        self._process_digest(envelope.digest, source)
        sends = self._on_body(envelope, source, now_ms)
        self._collect_member_changes()
        return self._take_pending() + self._outgoing(sends, sender, source)

    def publish(self, body: messages.NoticeBody) -> list[messages.Outgoing]:
        """Returns a notice for a few random hosts, which forward it; empty if it is a duplicate."""
        notice = self.notices.publish(body)
        return [] if notice is None else self._send_to_sample(notice)

    def announce_leaving(self) -> list[messages.Outgoing]:
        """Announces that this host begins its graceful shutdown."""
        update = self.membership.announce_leaving()
        self._record_change("leaving")
        return self.publish(messages.LeavingNotice(update.host_id, update.incarnation))

    def announce_left(self) -> list[messages.Outgoing]:
        """Announces to a few hosts that this host stops; they gossip it with their probes."""
        self.membership.announce_left()
        peers = self.membership.sample(notices.FANOUT)
        sequence = self.membership.next_sequence()
        return self._outgoing([messages.Send(item, messages.Ping(sequence)) for item in peers])

    # ---- configuration -------------------------------------------------------------------------

    def offer_document(self, document: Any) -> Result[list[messages.Outgoing], acceptance.Refusal]:
        """Validates a manifest that the platform published and puts it in force if it is newer.

        Returns:
            The notices to send if the version is now in force, otherwise why it was refused.
        """
        match self.configuration_state.offer_document(document, self.clock.now_ms()):
            case Result(tag="ok", ok=accepted):
                return Ok(self._activate(accepted))
            case Result(error=refusal):
                self._record_refusal(refusal)
                return Error(refusal)

    def offer(
        self, candidate: sections.SectionSet
    ) -> Result[list[messages.Outgoing], acceptance.Refusal]:
        """Like `offer_document`, for a version that is split into sections."""
        match self.configuration_state.offer(candidate, self.clock.now_ms()):
            case Result(tag="ok", ok=accepted):
                return Ok(self._activate(accepted))
            case Result(error=refusal):
                self._record_refusal(refusal)
                return Error(refusal)

    def apply_answer(
        self, answer: configuration.SectionsAnswer
    ) -> Result[
        list[messages.Outgoing],
        acceptance.Refusal | sections.Malformed | configuration.SectionHashesRequired,
    ]:
        """Like `offer_document`, for the sections in a peer's reply."""
        now_ms = self.clock.now_ms()
        match self.configuration_state.apply(answer, now_ms):
            case Result(tag="ok", ok=accepted):
                return Ok(self._activate(accepted))
            case Result(error=reason):
                if isinstance(reason, acceptance.Invalid):
                    self.follower.on_refused()
                if isinstance(reason, acceptance.Conflict | acceptance.Invalid):
                    self._record_refusal(reason)
                return Error(reason)

    def fetch_source(self) -> str | None:
        """Returns the address of a peer with a newer version, None if there is nothing to fetch."""
        return self.follower.next_source(self.configuration_state.version, self.clock.now_ms())

    def should_watch_platform(self) -> bool:
        """Returns whether this host should watch the platform now.

        True without a configuration, for a reader, and if no reader has been seen alive lately.
        """
        if self.configuration_state.in_force is None or self.host_id in self._readers:
            return True
        # There is no evidence before the first probes, so the timeout starts at activation.
        seen_ms = self._reader_seen_ms
        delay_ms = EVIDENCE_DELAY_MS * math.log2(len(self.membership.members) + 1)
        timeout_ms = READER_TIMEOUT_MS + delay_ms
        return seen_ms is not None and self.clock.now_ms() - seen_ms > timeout_ms

    # ---- queries -------------------------------------------------------------------------------

    def version(self) -> manifest.Manifest | None:
        """Returns the manifest in force."""
        in_force = self.configuration_state.in_force
        return in_force.manifest if in_force else None

    def has_quorum(self, now_ms: int) -> bool:
        """Returns whether this host sees more than half of its roster alive.

        False without a roster, and after a pause until a probe has been acknowledged.
        """
        if self.configuration_state.in_force is None or self.is_stale():
            return False
        return self.evidence.has_quorum(now_ms)

    def alive_count(self) -> int:
        """Returns how many roster members, including this host, have recent evidence of running."""
        return self.evidence.alive_count(self.clock.now_ms())

    def is_stale(self) -> bool:
        """Returns whether the process was paused and no probe has been acknowledged since."""
        # A single-host roster has no peer that could acknowledge a probe.
        return len(self._addresses) > 1 and self.pause.is_stale()

    def is_ready(self) -> bool:
        """Returns whether this host may take traffic."""
        if self.startup.ready:
            return True
        roster = set(self.membership.members) | {self.host_id}
        return self.startup.is_ready(roster, self.configuration_state.version, self.clock.now_ms())

    def address_of(self, host_id: str) -> str | None:
        """Returns the peer address of a roster member, None if it is not in the roster."""
        return self._addresses.get(host_id)

    def gauges(self) -> dict[str, float]:
        """Returns the current gauge values by metric name."""
        now_ms = self.clock.now_ms()
        return {
            "membership.alive": len(self.membership.alive_ids()) + 1,
            "quorum.held": float(self.has_quorum(now_ms)),
            "configuration.version": self.configuration_state.version,
            "pause.stale": float(self.pause.is_stale()),
        }

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values for the operator's dump."""
        now_ms = self.clock.now_ms()
        return {
            "membership": self.membership.dump(),
            "quorum": {
                "held": self.has_quorum(now_ms),
                "alive": self.evidence.alive_count(now_ms),
            },
            "configuration": {
                **self.configuration_state.dump(now_ms),
                "newest_heard_version": self.follower.newest.version,
                "watches_platform": self.should_watch_platform(),
            },
            "notices_remembered": len(self.notices),
            "pause": {
                "count": self.pause.pause_count,
                "last_ms": self.pause.last_paused_ms,
                "stale": self.pause.is_stale(),
            },
        }

    # ---- helpers -------------------------------------------------------------------------------

    def _on_body(
        self, envelope: messages.Envelope, source: str, now_ms: int
    ) -> list[messages.Send]:
        sender = envelope.sender
        match envelope.body:
            case messages.Ping() as ping:
                self._expect_confirm(envelope, ping, now_ms)
                return self.membership.on_ping(sender, ping)
            case messages.PingRequest() as request:
                return self.membership.on_ping_request(sender, request, now_ms)
            case messages.Ack() as ack:
                return self._on_ack(envelope, ack, now_ms)
            case messages.Confirm(sequence=sequence):
                self._merge_evidence(envelope, self._unconfirmed.pop((sender, sequence), None))
                return []
            case messages.Notice() as notice:
                self._on_notice(notice, source, now_ms)
                return []

    def _expect_confirm(
        self, envelope: messages.Envelope, ping: messages.Ping, now_ms: int
    ) -> None:
        # A duplicated or late probe must not set a newer time, or the confirmation of the first
        # copy would count as newer evidence than it is.
        order = (envelope.sender_incarnation, ping.sequence)
        if envelope.sender not in self._addresses or order <= self._last_pings.get(
            envelope.sender, (0, 0)
        ):
            return
        self._last_pings[envelope.sender] = order
        if len(self._unconfirmed) < _MAX_UNCONFIRMED:
            self._unconfirmed[envelope.sender, ping.sequence] = now_ms

    def _on_ack(
        self, envelope: messages.Envelope, ack: messages.Ack, now_ms: int
    ) -> list[messages.Send]:
        target, startup_sent_ms = self._startup_pings.pop(ack.sequence, (None, 0))
        sent_ms = self.membership.probe_sent_ms(ack.subject_host_id, ack.sequence)
        if target == envelope.sender:
            sent_ms = startup_sent_ms
        if sent_ms is not None:
            if envelope.sender == ack.subject_host_id:
                self.startup.record_version(envelope.sender, envelope.digest.version)
            self.evidence.observe(ack.subject_host_id, sent_ms)
            # Several hundred acknowledgements arrive at startup; merging the evidence ages of a few
            # of them is enough.
            if target is None or now_ms >= self._next_startup_merge_ms:
                self._next_startup_merge_ms = now_ms + quorum.CACHE_MS
                self._merge_evidence(envelope, sent_ms)
            self.pause.on_probe_acknowledged(sent_ms)
        return self.membership.on_ack(envelope.sender, ack, now_ms)

    def _merge_evidence(self, envelope: messages.Envelope, sent_after_ms: int | None) -> None:
        if sent_after_ms is None:
            return
        self.evidence.observe(envelope.sender, sent_after_ms)
        self.evidence.merge(envelope.roster_key, envelope.evidence_ages, sent_after_ms)

    def _on_notice(self, notice: messages.Notice, source: str, now_ms: int) -> None:
        body = notice.body
        if isinstance(body, messages.ConfigurationNotice):
            # `_activate` publishes it once the version is in force and can be fetched from here.
            self._process_digest(body.digest, source)
            return
        forward = self.notices.receive(notice)
        if forward is None:
            return
        if isinstance(body, messages.LeavingNotice):
            update = messages.MemberUpdate(
                body.host_id, body.incarnation, messages.MemberState.LEAVING
            )
            self.membership.apply(update, now_ms)
        self.received_notices.append(body)
        self._pending.extend(self._send_to_sample(forward))

    def _process_digest(self, digest: messages.Digest, source: str) -> None:
        if self.configuration_state.check_digest(digest):
            self.count("configuration.conflicts", 1)
            if digest != self._reported_conflict:
                self._reported_conflict = digest
                self._record_change("configuration conflict", version=digest.version, peer=source)
        if not self.configuration_state.is_refused(digest):
            self.follower.add_source(digest, source)

    def _activate(self, accepted: configuration.Accepted) -> list[messages.Outgoing]:
        version = self.version()
        if version is None:
            return []
        now_ms = self.clock.now_ms()
        self._addresses = {host.id: host.peer_address for host in version.hosts}
        self._last_pings = {
            host_id: order
            for host_id, order in self._last_pings.items()
            if host_id in self._addresses
        }
        self.membership.configure(version.hosts)
        self.evidence.configure(host.id for host in version.hosts)
        self._reader_order = reader_choice.ReaderOrder.from_manifest(version)
        self._update_readers(now_ms)
        self.count("configuration.accepted", 1)
        self._record_change("configuration in force", version=accepted.version)
        return self.publish(messages.ConfigurationNotice(self.configuration_state.digest()))

    def _run_periodic_work(self, now_ms: int) -> None:
        self._unconfirmed = {
            key: sent_ms
            for key, sent_ms in self._unconfirmed.items()
            if now_ms - sent_ms < _CONFIRM_TIMEOUT_MS
        }
        self._startup_pings = {
            sequence: entry
            for sequence, entry in self._startup_pings.items()
            if now_ms - entry[1] < _CONFIRM_TIMEOUT_MS
        }
        self._update_readers(now_ms)
        quorum_now = self.has_quorum(now_ms)
        if quorum_now is not self.has_quorum_now:
            self.has_quorum_now = quorum_now
            self.count("quorum.gained" if quorum_now else "quorum.lost", 1)
            self._record_change("quorum gained" if quorum_now else "quorum lost")

    def _update_readers(self, now_ms: int) -> None:
        if self.configuration_state.in_force is None:
            return
        readers = self._reader_order.readers(self.membership.is_alive)
        if (self.host_id in readers) is not (self.host_id in self._readers):
            self._record_change("reader role changed", reader=self.host_id in readers)
        self._readers = readers
        seen_ms = max(
            (self.evidence.seen_ms(host_id) for host_id in readers if host_id != self.host_id),
            default=-1,
        )
        self._reader_seen_ms = max(seen_ms, self._reader_seen_ms or now_ms)

    def _record_refusal(self, refusal: acceptance.Refusal) -> None:
        match refusal:
            case acceptance.Conflict():
                self.count("configuration.conflicts", 1)
                self._record_change("configuration conflict", version=refusal.version)
            case acceptance.Invalid():
                self.count("configuration.refused", 1)
                faults = [f"{fault.path}: {fault.reason}" for fault in refusal.faults[:5]]
                self._record_change("configuration refused", version=refusal.version, faults=faults)
            case acceptance.Stale():
                self.count("configuration.stale_reads", 1)
            case acceptance.Unchanged():
                pass

    def _record_change(self, event: str, **fields: Any) -> None:
        self.changes.append(StateChange(event, fields))

    def _collect_member_changes(self) -> None:
        for change in self.membership.changes:
            state = change.state.name.lower()
            self.count(f"membership.{state}", 1)
            self._record_change("member changed", member=change.host_id, state=state)
        self.membership.changes.clear()

    def _send_to_sample(self, notice: messages.Notice) -> list[messages.Outgoing]:
        peers = self.membership.sample(notices.FANOUT)
        return self._outgoing([messages.Send(host_id, notice) for host_id in peers])

    def _take_pending(self) -> list[messages.Outgoing]:
        pending, self._pending = self._pending, []
        return pending

    def _outgoing(
        self, sends: list[messages.Send], sender: str = "", source: str = ""
    ) -> list[messages.Outgoing]:
        result: list[messages.Outgoing] = []
        for send in sends:
            address = source if send.host_id == sender else self._addresses.get(send.host_id)
            if address is not None:
                result.append(messages.Outgoing(address, self._envelope(send)))
        return result

    def _envelope(self, send: messages.Send) -> messages.Envelope:
        # The receiver can bound the age of these two types only, as they answer a message it sent.
        # See `quorum`.
        carries_ages = isinstance(send.body, messages.Ack | messages.Confirm)
        ages = self.evidence.ages(self.clock.now_ms()) if carries_ages else b""
        return messages.Envelope(
            sender=self.host_id,
            sender_incarnation=self.membership.incarnation,
            digest=self.configuration_state.digest(),
            body=send.body,
            updates=self.membership.updates_for(send.host_id),
            roster_key=self.evidence.roster_key if carries_ages else 0,
            evidence_ages=ages,
        )
