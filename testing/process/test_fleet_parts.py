"""Unit tests of the fleet view's components and of the configuration reader."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result
import pytest
from sesamehold_bench.version import sized_fleet

from sesamehold.connection import configuration_exchange
from sesamehold.connection import datagram
from sesamehold.connection import seal
from sesamehold.process import clock as clocks
from sesamehold.process import configuration
from sesamehold.process import configuration_reader
from sesamehold.process import fleet_view
from sesamehold.process import membership
from sesamehold.process import messages
from sesamehold.process import notices
from sesamehold.process import quorum
from sesamehold.process import reader_choice
from sesamehold.version import acceptance
from sesamehold.version import manifest
from sesamehold.version import roster
from sesamehold.version import sections

_State = messages.MemberState
_SEALER = seal.Sealer.from_keys(("key-of-these-tests",))


def _split(version: manifest.Manifest) -> sections.SectionSet:
    return sections.split(version).ok


def _state(*versions: manifest.Manifest) -> configuration.ConfigurationState:
    state = configuration.ConfigurationState()
    for version in versions:
        assert state.offer(_split(version), 0).is_ok()
    return state


def _members(count: int) -> membership.Membership:
    view = membership.Membership("host-0", 10, random.Random(1))
    view.configure(sized_fleet.build(count).hosts)
    return view


@pytest.mark.parametrize(
    ("version", "account_count", "refusal"),
    [
        pytest.param(4, 5, None, id="newer"),
        pytest.param(2, 5, acceptance.Stale, id="older"),
        pytest.param(3, 5, acceptance.Unchanged, id="same"),
        pytest.param(3, 6, acceptance.Conflict, id="same-number-other-content"),
    ],
)
def test_acceptance(version: int, account_count: int, refusal: type | None) -> None:
    """Guards against going back to an older version, and against two contents under one number."""
    state = _state(sized_fleet.build(3, 3))
    result = state.offer(_split(sized_fleet.build(3, version, account_count=account_count)), 0)
    assert (None if result.is_ok() else type(result.error)) is refusal
    assert state.version == max(3, version)


@pytest.mark.parametrize(
    "document",
    [None, [], {"version": "x"}, {"version": 1}],
    ids=["null", "list", "wrong-type", "fields-missing"],
)
def test_malformed_manifest_leaves_the_version_in_force(document: Any) -> None:
    """Guards against a malformed publication that replaces or removes the version in force."""
    state = _state(sized_fleet.build(3, 3))
    assert isinstance(state.offer_document(document, 0).error, acceptance.Invalid)
    assert state.version == 3


def test_name_that_occurs_twice_is_refused() -> None:
    """Guards against the loss of an account: sections are keyed by name, so one of two would go."""
    version = sized_fleet.build(3)
    doubled = attrs.evolve(version, accounts=version.accounts + version.accounts[:1])
    assert sections.split(doubled).error[0].path == "accounts[5]"


@pytest.mark.parametrize(
    "known_version", [0, 1, 2], ids=["nothing-known", "unknown-to-peer", "known-to-peer"]
)
def test_requester_ends_with_the_content_of_its_peer(known_version: int) -> None:
    """Guards against different content under one version after only the differences were sent."""
    versions = [
        sized_fleet.build(40, 1, target_count=100),
        sized_fleet.build(41, 2, target_count=99, account_count=7),
        sized_fleet.build(39, 3, target_count=101, account_count=4),
    ]
    peer = _state(*versions[1:])
    requester = _state(*versions[known_version - 1 : known_version]) if known_version else _state()
    result = requester.apply(peer.answer(requester.query(), 0), 0)
    if known_version == 1:
        assert result.error == configuration.SectionHashesRequired()
        result = requester.apply(peer.answer(requester.query(all_sections=True), 0), 0)
    assert result.is_ok()
    assert requester.in_force == peer.in_force


def test_change_of_one_target_sends_one_section_type() -> None:
    """Guards against sending the whole manifest after a small change."""
    old = sized_fleet.build(100, 1, target_count=1_200)
    targets = old.pools[0].targets
    pool = attrs.evolve(
        old.pools[0], targets=(attrs.evolve(targets[0], leaving=True), *targets[1:])
    )
    new = attrs.evolve(old, version=2, pools=(pool, *old.pools[1:]))
    peer = _state(old, new)
    answer = peer.answer(_state(old).query(), 0)
    assert [path.partition("/")[0] for path, _ in answer.changed] == ["targets"]


def test_tampered_section_is_refused() -> None:
    """Guards against accepting sections that do not match the announced content hash."""
    peer = _state(sized_fleet.build(3, 1), sized_fleet.build(3, 2, account_count=6))
    requester = _state(sized_fleet.build(3, 1))
    answer = attrs.evolve(peer.answer(requester.query(), 0), content_hash=bytes(16))
    assert isinstance(requester.apply(answer, 0).error, sections.Malformed)
    assert requester.version == 1


def test_overlap_window_keeps_rosters_as_long_as_claimants_need_them() -> None:
    """Guards against claims that skip the witnesses of an old roster that other hosts still use."""
    state = _state(sized_fleet.build(3, 1))
    window_ms = roster.CLAIM_WINDOW_PERIODS * sized_fleet.build(3).policy.key_retention_ms
    state.offer(_split(sized_fleet.build(4, 2)), 1_000)
    state.offer(_split(sized_fleet.build(4, 3, account_count=6)), 2_000)
    starting = _state()
    starting.apply(state.answer(starting.query(), 3_000), 3_000)
    for view in (state, starting):
        assert [len(item.hosts) for item in view.overlap_rosters(3_000)] == [4, 3]
        assert len(view.overlap_rosters(1_000 + window_ms - 1)) == 2
        assert len(view.overlap_rosters(1_000 + window_ms)) == 1


@pytest.mark.parametrize(
    ("update", "expected"),
    [
        pytest.param((5, _State.SUSPECT), _State.SUSPECT, id="suspicion"),
        pytest.param((4, _State.UNREACHABLE), _State.ALIVE, id="older-incarnation"),
        pytest.param((5, _State.ALIVE), _State.ALIVE, id="repeat"),
        pytest.param((6, _State.LEAVING), _State.LEAVING, id="leaving"),
    ],
)
def test_update_precedence(
    update: tuple[int, messages.MemberState], expected: messages.MemberState
) -> None:
    """Guards against late updates that overwrite newer state."""
    view = _members(3)
    view.apply(messages.MemberUpdate("host-1", 5, _State.ALIVE), 0)
    view.apply(messages.MemberUpdate("host-1", *update), 0)
    assert view.members["host-1"].state is expected


def test_suspicion_is_refuted_with_a_higher_incarnation() -> None:
    """Guards against a live host that is never cleared of a false suspicion."""
    view = _members(3)
    view.apply(messages.MemberUpdate("host-0", 10, _State.SUSPECT), 0)
    assert view.updates_for("host-1") == (messages.MemberUpdate("host-0", 11, _State.ALIVE),)


@pytest.mark.parametrize(
    ("state", "queued"),
    [(_State.ALIVE, 0), (_State.UNREACHABLE, 1)],
    ids=["was-alive", "was-unreachable"],
)
def test_new_incarnation_is_disseminated_only_if_it_changes_the_state(
    state: messages.MemberState, queued: int
) -> None:
    """Guards against a full update queue when all hosts start, which delays failures by minutes."""
    view = _members(3)
    view.apply(messages.MemberUpdate("host-1", 0, state), 0)
    view.on_message("host-1", 5, 0)
    assert view.members["host-1"].incarnation == 5
    assert view.dump()["queued_updates"] == queued


def test_update_is_sent_a_bounded_number_of_times() -> None:
    """Guards against updates that are piggybacked forever."""
    view = _members(9)
    view.apply(messages.MemberUpdate("host-1", 5, _State.LEAVING), 0)
    sent = sum(bool(view.updates_for("host-2")) for _ in range(1_000))
    assert sent == 10


def test_pause_does_not_expire_suspicions() -> None:
    """Guards against a resumed host whose suspicions have all timed out during its pause."""
    view = _members(3)
    view.apply(messages.MemberUpdate("host-1", 5, _State.SUSPECT), 0)
    view.on_pause(60_000)
    view.tick(60_000)
    assert view.members["host-1"].state is _State.SUSPECT


def test_late_datagram_does_not_make_evidence_younger() -> None:
    """Guards against a false quorum from datagrams that are read long after they were sent."""
    sender, receiver = quorum.LivenessEvidence("a"), quorum.LivenessEvidence("b")
    for evidence in (sender, receiver):
        evidence.configure(["a", "b", "c"])
    sender.observe("c", 0)
    receiver.merge(sender.roster_key, sender.ages(1_000), 1_000)
    # Ages are rounded up to a multiple of the unit, so evidence never becomes newer.
    assert receiver.seen_ms("c") == 1_000 - 2 * quorum.AGE_UNIT_MS


def test_late_confirmation_after_a_repeated_probe_is_no_fresh_evidence() -> None:
    """Guards against a duplicated probe that makes an old confirmation count as recent evidence."""
    clock = clocks.ManualClock()
    view = fleet_view.FleetView.create("host-0", clock, random.Random(1))
    view.offer(_split(sized_fleet.build(3)))
    clock.advance(10_000)
    first_ms = clock.now_ms()
    probe = messages.Envelope("host-1", 5, _DIGEST, messages.Ping(7))
    confirm = attrs.evolve(probe, body=messages.Confirm(7))
    view.receive(probe, sized_fleet.address(1))
    clock.advance(5_000)
    view.tick()
    view.receive(probe, sized_fleet.address(1))
    view.receive(confirm, sized_fleet.address(1))
    assert view.evidence.seen_ms("host-1") <= first_ms


def test_duplicate_notices_are_dropped_and_memory_is_bounded() -> None:
    """Guards against notices that circulate forever, and against unbounded memory use."""
    receiver_notices = notices.Notices("a", limit=10)
    bodies = [messages.TargetColdNotice(f"t{index}", "1", cold=True) for index in range(50)]
    assert receiver_notices.receive(messages.Notice(1, "b", 0, bodies[0])) is not None
    assert receiver_notices.receive(messages.Notice(9, "c", 3, bodies[0])) is None
    for body in bodies:
        receiver_notices.publish(body)
    assert len(receiver_notices) == 10


def test_readers_move_to_the_next_live_host() -> None:
    """Guards against a region that has no reader after one of its readers has failed."""
    order = reader_choice.ReaderOrder.from_manifest(sized_fleet.build(30))
    first = order.readers(lambda host_id: True)
    failed = min(first)
    second = order.readers(lambda host_id: host_id != failed)
    assert len(first) == len(second) == 12
    assert len(first - second) == 1


_DIGEST = messages.Digest(7, b"12345678")
_BODIES: list[messages.Body] = [
    messages.Ping(1),
    messages.PingRequest(2, "host-2"),
    messages.Ack(3, "host-3"),
    messages.Confirm(4),
    messages.Notice(5, "host-5", 1, messages.ConfigurationNotice(_DIGEST)),
    messages.Notice(6, "host-6", 2, messages.TargetColdNotice("t", "s", cold=True)),
    messages.Notice(7, "host-7", 3, messages.CrashSuspicionNotice(b"f", 2, "generate", 7)),
    messages.Notice(8, "host-8", 4, messages.LeavingNotice("host-8", 9)),
]


@pytest.mark.parametrize(
    "body", _BODIES, ids=lambda body: type(getattr(body, "body", body)).__name__
)
def test_datagram_is_decoded_as_it_was_encoded(body: messages.Body) -> None:
    """Guards against fields that are lost in encoding or decoding."""
    update = messages.MemberUpdate("host-2", 3, _State.SUSPECT)
    envelope = messages.Envelope("host-1", 5, _DIGEST, body, (update,), 77, b"\x12")
    assert datagram.decode(datagram.encode(envelope, _SEALER), _SEALER).ok == envelope


@pytest.mark.parametrize(
    "data", [b"", b"x" * 100, _SEALER.seal("datagram", b"\xff\xff")], ids=["empty", "noise", "wire"]
)
def test_unreadable_datagram_is_an_error(data: bytes) -> None:
    """Guards against malformed datagrams that raise instead of returning an error."""
    assert datagram.decode(data, _SEALER).is_error()


def test_datagram_at_1000_hosts_fits() -> None:
    """Guards against datagrams over the size limit, which are fragmented or dropped."""
    evidence = quorum.LivenessEvidence("host-0")
    evidence.configure(host.id for host in sized_fleet.build(1_000).hosts)
    updates = tuple(
        messages.MemberUpdate(f"host-{index}", 1 << 41, _State.SUSPECT) for index in range(200)
    )
    envelope = messages.Envelope(
        "host-0", 1 << 41, _DIGEST, messages.Ack(1, "host-0"), updates, 1 << 31, evidence.ages(0)
    )
    assert len(datagram.encode(envelope, _SEALER)) <= datagram.MAX_SIZE_BYTES


class _Platform:
    """Returns listed results for reads and watches; after the last one, watches time out."""

    def __init__(
        self, *answers: Result[configuration_reader.PublishedConfiguration | None, str]
    ) -> None:
        self.answers = list(answers)
        self.asked: list[int] = []

    async def read(self) -> Result[configuration_reader.PublishedConfiguration | None, str]:
        return await self.watch(-1, 0)

    async def watch(
        self, after_version: int, wait_ms: int
    ) -> Result[configuration_reader.PublishedConfiguration | None, str]:
        self.asked.append(after_version)
        if self.answers:
            return self.answers.pop(0)
        await asyncio.sleep(60)
        return Ok(None)


class _Peers:
    """Peer client that returns the configuration of one `ConfigurationState`."""

    def __init__(self, state: configuration.ConfigurationState) -> None:
        self.state = state

    async def fetch(
        self, address: str, query: configuration.SectionsQuery, timeout_ms: int
    ) -> Result[configuration.SectionsAnswer, str]:
        wire = configuration_exchange.reply_to_wire(self.state.answer(query, 0))
        return Ok(configuration_exchange.reply_from_wire(wire))


def _published(version: int, document: Any = None) -> configuration_reader.PublishedConfiguration:
    content = document or manifest.to_json(sized_fleet.build(1, version))
    return configuration_reader.PublishedConfiguration(version, content)


@pytest.mark.parametrize(
    ("answers", "in_force", "last_asked"),
    [
        pytest.param([Ok(_published(3))], 3, 3, id="published"),
        pytest.param([Ok(_published(3)), Ok(_published(2))], 3, 3, id="stale-read"),
        pytest.param([Ok(_published(3)), Ok(_published(4, {"x": 1}))], 3, 4, id="refused"),
        pytest.param([Ok(_published(3)), Error("down")], 3, 3, id="platform-down"),
    ],
)
def test_reader_keeps_the_newest_accepted_version(
    answers: list[Result[configuration_reader.PublishedConfiguration | None, str]],
    in_force: int,
    last_asked: int,
) -> None:
    """Guards against stale platform reads that revert a version, and against a busy watch loop."""

    async def run() -> tuple[int, list[int]]:
        view = fleet_view.FleetView.create("host-0", clocks.ManualClock(), random.Random(1))
        platform = _Platform(*answers)
        reader = configuration_reader.ConfigurationReader(
            view, platform, _Peers(_state()), (), random.Random(2), lambda outgoing: None
        )
        task = asyncio.create_task(reader.watch())
        await asyncio.sleep(0.02)
        task.cancel()
        return view.configuration_state.version, platform.asked

    version, asked = asyncio.run(run())
    assert version == in_force
    assert len(asked) <= len(answers) + 1
    assert asked[-1] == last_asked or answers[-1].is_error()


def test_announced_version_is_fetched_from_its_peer() -> None:
    """Guards against configuration notices that do not trigger a fetch."""
    new = sized_fleet.build(3, 2, account_count=6)

    async def run() -> int:
        view = fleet_view.FleetView.create("host-0", clocks.ManualClock(), random.Random(1))
        view.offer(_split(sized_fleet.build(3, 1)))
        peer = _state(sized_fleet.build(3, 1), new)
        sent: list[messages.Outgoing] = []
        reader = configuration_reader.ConfigurationReader(
            view, _Platform(), _Peers(peer), (), random.Random(2), sent.extend
        )
        task = asyncio.create_task(reader.follow())
        notice = messages.Notice(1, "host-1", 0, messages.ConfigurationNotice(peer.digest()))
        view.receive(messages.Envelope("host-1", 1, peer.digest(), notice), "10.0.0.1:7000")
        reader.request_fetch()
        await asyncio.sleep(0.02)
        task.cancel()
        assert {type(item.envelope.body) for item in sent} == {messages.Notice}
        return view.configuration_state.version

    assert asyncio.run(run()) == 2
