"""What callers and targets of the soak saw, and the promises that it must keep."""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
import enum
import math

import attrs

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# Time after the store's acknowledgement within which a change must be followed, in seconds; the
# bounds of the settings that the soak gives its hosts, and the lateness of one busy machine.
FOLLOW_S = 2.0 + 0.5
EVACUATE_S = 5.0 + 0.5
# A host is held to bounds of time if nothing was done to it for this long, in seconds.
CONTACT_S = 3.0
# Time between SIGTERM and SIGKILL, in seconds.
GRACE_S = 8
# A request that crosses the closing of its connection may end unanswered within this time.
CROSSING_S = 0.2
# Time that callers and routes allow for an answer, in seconds.
DEADLINE_S = 5.0
PLAIN_TIMEOUT_S = 3.0
STREAM_TIMEOUT_S = {"talk": 4.0, "chat": 5.0}
# Requests that may run once at most.
RUN_ONCE = frozenset({"order", "talk"})


class Kind(enum.Enum):
    """What was done to hosts or to their connections."""

    FAULT = "fault"
    KILL = "kill"
    STOP = "planned stop"
    RELOAD = "reload"
    # The store was away and returned from an older copy.
    STORE_RETURN = "store return"
    # A sound target was silent and went on, or refused requests because it was full.
    SILENCE = "silence"


# Disturbances that excuse no request from an answer.
HARMLESS = frozenset({Kind.STOP, Kind.RELOAD, Kind.STORE_RETURN, Kind.SILENCE})


@attrs.frozen
class Outcome:
    """One request as its caller saw it.

    Attributes:
        request_id: Its identity.
        route: Route that it was sent to.
        host: Index of the host.
        key: Credential.
        sent_s: When it was sent.
        ended_s: When its answer ended or its connection broke.
        status: Status of the answer, None if there was none.
        body: Body as far as it came.
        whole: Whether the answer ended as complete.
        all_sent_s: When its last byte was sent, None if it was not.
        life: Number of the start of the host's process that it was sent to.
    """

    request_id: str
    route: str
    host: int
    key: str
    sent_s: float
    ended_s: float
    status: int | None = None
    body: bytes = b""
    whole: bool = False
    all_sent_s: float | None = None
    life: int = 1

    @property
    def served(self) -> bool:
        """Whether it got a whole success."""
        return self.status == 200 and self.whole


@attrs.frozen
class Run:
    """One request as a target began to run it."""

    request_id: str
    route: str
    target_id: str
    account: str
    leaked_key: bool
    after_event: int
    inputs: tuple[str, ...]
    at_s: float


@attrs.frozen
class Disturbance:
    """A time in which something was done to a host or to its connections.

    Attributes:
        host: Index of the host, None for all.
        start_s: Its beginning.
        end_s: Its end.
        kind: What it was.
    """

    host: int | None
    start_s: float
    end_s: float
    kind: Kind = Kind.FAULT


@attrs.frozen
class Moment:
    """When a request was sent, and when something was done on it."""

    sent_s: float
    at_s: float


@attrs.define
class Evacuation:
    """A time in which a zone was taken out."""

    zone: str
    start_s: float
    end_s: float = math.inf


@attrs.define
class Record:
    """All that was seen in one run of the soak."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    # Time at which a host first closed the connection of a request that its target was working on.
    cut_s: dict[str, float] = attrs.field(factory=dict)
    # Requests whose answer met another one on its connection, so that its end cannot be told.
    mixed: set[str] = attrs.field(factory=set)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    # Time from which on a key, or a target that left, must not be used any more.
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    left_s: dict[str, float] = attrs.field(factory=dict)
    # Time from which on an added route must be served.
    added_s: dict[str, float] = attrs.field(factory=dict)
    evacuations: list[Evacuation] = attrs.field(factory=list)
    zones: dict[str, str] = attrs.field(factory=dict)
    # Processes that ended by themselves, and those that a signal ended while they were stopping.
    ended: list[str] = attrs.field(factory=list)
    interrupted: list[str] = attrs.field(factory=list)
    accounts: dict[str, str] = attrs.field(factory=dict)
    # Stage and request of each result, by handle.
    made: dict[str, tuple[str, int, int]] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)

    def calm(
        self, host: int | None, start_s: float, end_s: float, allowed: Collection[Kind] = ()
    ) -> bool:
        """Returns whether nothing but the allowed kinds was done to a host, None for all hosts."""
        return not any(
            (host is None or item.host in (host, None))
            and item.start_s < end_s
            and item.end_s + CONTACT_S > start_s
            and item.kind not in allowed
            for item in self.disturbances
        )

    def follows(
        self, host: int, change_s: float, moment: Moment, bound_s: float = FOLLOW_S
    ) -> bool:
        """Returns whether a host is bound to a change.

        A process that has followed a change is bound to it whatever the store says later.
        """
        if moment.at_s <= change_s + bound_s:
            return False
        if self.calm(host, moment.sent_s, moment.at_s, {Kind.SILENCE, Kind.RELOAD}):
            return True
        same_process = not any(
            item.host == host
            and item.kind in (Kind.KILL, Kind.STOP)
            and item.start_s < moment.at_s
            and item.end_s > change_s
            for item in self.disturbances
        )
        return (
            same_process
            and self.calm(host, change_s, change_s + bound_s, {Kind.SILENCE, Kind.RELOAD})
            and self.calm(host, moment.sent_s, moment.at_s, HARMLESS)
        )


def violations(record: Record, *, timed: bool = True) -> list[str]:
    """Returns each broken promise with the request that shows it.

    Args:
        record: What was seen.
        timed: Whether bounds of time are checked, which a busy machine can break by itself.
    """
    untimed = [
        *_ran_twice(record),
        *_ran_after_promise(record),
        *_wrong_answers(record),
        *_wrong_accounts(record),
        *_wrong_inputs(record),
        *_cut_without_fault(record),
        *_older_configurations(record),
        *record.ended,
    ]
    if not timed:
        return untimed
    timely = [_late_changes, _late_routes, _unserved_at_the_end]
    return [*untimed, *record.interrupted, *(line for check in timely for line in check(record))]


def _runs_by_request(record: Record) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    return runs


def _ran_twice(record: Record) -> Iterable[str]:
    for request_id, runs in _runs_by_request(record).items():
        if runs[0].route in RUN_ONCE and len(runs) > 1:
            yield f"{runs[0].route} {request_id} ran {len(runs)} times"
        if len(runs) > 2:
            yield f"{runs[0].route} {request_id} ran {len(runs)} times with 2 attempts allowed"


def _ran_after_promise(record: Record) -> Iterable[str]:
    runs = _runs_by_request(record)
    for outcome in record.outcomes:
        refused = outcome.route in RUN_ONCE and outcome.status in PROMISES
        if refused and outcome.request_id in runs:
            yield f"{outcome.route} {outcome.request_id} was answered {outcome.status} and ran"


def expected_body(request_id: str, route: str) -> bytes:
    """Returns the whole body that any target answers a request with."""
    if route in ("chat", "talk"):
        return b"".join(event(request_id, index) for index in range(1, EVENT_COUNT + 1))
    return f"{route} {request_id} done".encode() * 20


EVENT_COUNT = 8


def event(request_id: str, index: int) -> bytes:
    """Returns one event of a stream."""
    return f"id: {index}\ndata: {request_id} {index}\n\n".encode()


def _wrong_answers(record: Record) -> Iterable[str]:
    for outcome in record.outcomes:
        if outcome.status != 200:
            continue
        expected = expected_body(outcome.request_id, outcome.route)
        if outcome.whole and outcome.body != expected:
            yield f"{outcome.route} {outcome.request_id} has another body: {outcome.body[:80]!r}"
        if not expected.startswith(outcome.body):
            yield f"{outcome.route} {outcome.request_id} has foreign bytes: {outcome.body[:80]!r}"


def _wrong_accounts(record: Record) -> Iterable[str]:
    keys = {outcome.request_id: outcome.key for outcome in record.outcomes}
    for run in record.runs:
        key = keys.get(run.request_id)
        if run.leaked_key:
            yield f"{run.request_id} reached a target with its key"
        if key is not None and record.accounts.get(key) != run.account:
            yield f"{run.request_id} ran for {run.account!r} with the key {key!r}"


def _wrong_inputs(record: Record) -> Iterable[str]:
    for run in record.runs:
        if run.route != "chat":
            continue
        made = [record.made.get(handle) for handle in run.inputs]
        if sorted(item or ("", -1, -1) for item in made) != [
            (run.request_id, 1, piece) for piece in range(2)
        ]:
            yield f"chat {run.request_id} ran with the inputs {made}"


def _cut_without_fault(record: Record) -> Iterable[str]:
    """Yields requests without a whole answer or refusal, although no fault excuses that.

    Planned stops, reloads, returns of the store and silences of targets that go on excuse nothing.
    """
    ran = {run.request_id for run in record.runs}
    early_cuts = {
        outcome.request_id
        for outcome in record.outcomes
        if outcome.request_id in record.cut_s
        and not _timed_out(outcome.sent_s, record.cut_s[outcome.request_id], outcome.route)
    }
    for outcome in record.outcomes:
        span = (outcome.sent_s, outcome.ended_s, HARMLESS)
        if not record.calm(outcome.host, *span) or _cut_at_grace_end(record, outcome):
            continue
        if outcome.request_id in record.mixed and outcome.status is not None:
            continue
        name = f"{outcome.route} {outcome.request_id}"
        if outcome.status is None and (outcome.request_id in ran or not _crossed(outcome)):
            yield f"{name} was cut without an answer"
        # A request whose target was given up on had no time left because of that.
        in_time = not _timed_out(outcome.sent_s, outcome.ended_s, outcome.route)
        in_time = in_time or outcome.request_id in early_cuts
        if outcome.status == 200 and not outcome.whole and in_time:
            yield f"{name} was cut in its answer"
        # Stages may run at other hosts.
        undisturbed = outcome.route != "chat" or record.calm(None, *span)
        if undisturbed and outcome.status in (500, 502, 504) and in_time:
            lasted_s = outcome.ended_s - outcome.sent_s
            yield f"{name} was given up with {outcome.status} after {lasted_s:.1f} s"


def _crossed(outcome: Outcome) -> bool:
    """Returns whether the closing of the connection may have crossed the request."""
    return outcome.all_sent_s is None or outcome.ended_s < outcome.all_sent_s + CROSSING_S


def _timed_out(sent_s: float, until_s: float, route: str) -> bool:
    limit_s = min(DEADLINE_S, STREAM_TIMEOUT_S.get(route, PLAIN_TIMEOUT_S))
    return until_s - sent_s > limit_s - 0.1


def _cut_at_grace_end(record: Record, outcome: Outcome) -> bool:
    """Returns whether a request sent early in a stop was at work near the end of its grace."""
    return any(
        item.host == outcome.host
        and item.kind is Kind.STOP
        and item.start_s - DEADLINE_S < outcome.sent_s < item.start_s + 3.0
        and outcome.ended_s > item.start_s + GRACE_S * 5 / 6
        for item in record.disturbances
    )


def _older_configurations(record: Record) -> Iterable[str]:
    """Yields requests that a process handled by a configuration older than one it had in force."""
    seen: dict[tuple[int, int, str], float] = {}
    ran = {run.request_id for run in record.runs}
    for outcome in sorted(record.outcomes, key=lambda item: item.ended_s):
        host = (outcome.host, outcome.life)
        if outcome.route in record.added_s and outcome.request_id in ran:
            seen.setdefault((*host, outcome.route), outcome.ended_s)
        if outcome.key in record.revoked_s and outcome.status == 401:
            seen.setdefault((*host, outcome.key), outcome.ended_s)
    for outcome in record.outcomes:
        host = (outcome.host, outcome.life)
        without_route = seen.get((*host, outcome.route), math.inf) < outcome.sent_s
        if without_route and outcome.status == 404:
            yield f"{outcome.request_id} got 404 on {outcome.route}, which its host had served"
        with_key = seen.get((*host, outcome.key), math.inf) < outcome.sent_s
        if with_key and outcome.request_id in ran:
            yield f"{outcome.request_id} ran with a key that its host had refused"


def _late_changes(record: Record) -> Iterable[str]:
    outcomes = {outcome.request_id: outcome for outcome in record.outcomes}
    for run in record.runs:
        outcome = outcomes.get(run.request_id)
        if outcome is None:
            continue
        host, moment = outcome.host, Moment(outcome.sent_s, run.at_s)
        left_s = record.left_s.get(run.target_id, math.inf)
        if record.follows(host, left_s, moment):
            late_s = run.at_s - left_s
            yield f"{run.request_id} reached {run.target_id} {late_s:.1f} s after it left"
        revoked_s = record.revoked_s.get(outcome.key, math.inf)
        sent = outcome.sent_s > revoked_s + FOLLOW_S
        if sent and record.follows(host, revoked_s, moment):
            late_s = outcome.sent_s - revoked_s
            yield f"{run.request_id} ran with a key revoked {late_s:.1f} s before"
        for item in record.evacuations:
            inside = item.zone == record.zones.get(run.target_id) and run.at_s < item.end_s
            if inside and record.follows(host, item.start_s, moment, EVACUATE_S):
                late_s = run.at_s - item.start_s
                yield f"{run.request_id} reached zone {item.zone} {late_s:.1f} s after it was out"


def _late_routes(record: Record) -> Iterable[str]:
    for outcome in record.outcomes:
        added_s = record.added_s.get(outcome.route, math.inf)
        moment = Moment(outcome.sent_s, outcome.sent_s)
        if outcome.status == 404 and record.follows(outcome.host, added_s, moment):
            late_s = outcome.sent_s - added_s
            yield f"{outcome.request_id} got 404 on {outcome.route} {late_s:.1f} s after it came"


def _unserved_at_the_end(record: Record) -> Iterable[str]:
    """Yields a line if calm hosts do not serve after all faults have ended."""
    end_s = max((item.end_s for item in record.disturbances), default=0.0)
    late = [
        item
        for item in record.outcomes
        if item.sent_s > end_s + 2 * CONTACT_S and item.key not in record.revoked_s
    ]
    served = [item for item in late if item.served]
    if late and len(served) < 0.9 * len(late):
        yield f"after the last fault {len(served)} of {len(late)} requests were served"
