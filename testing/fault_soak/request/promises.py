"""What callers and targets of the soak saw, and the promises that it must keep."""

from __future__ import annotations

import collections
from collections.abc import Iterable

import attrs

# Statuses that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
# Time after the store's acknowledgement within which a change must be followed, in seconds; the
# bounds of the settings that the soak gives its hosts, and the lateness of one busy machine.
FOLLOW_S = 2.0 + 0.5
# A host is held to bounds of time if nothing was done to it for this long, in seconds.
CONTACT_S = 3.0


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
        planned: Whether it was a graceful stop only.
    """

    host: int | None
    start_s: float
    end_s: float
    planned: bool = False


@attrs.define
class Record:
    """All that was seen in one run of the soak."""

    outcomes: list[Outcome] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    # Time from which on a key, or a target that left, must not be used any more.
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    left_s: dict[str, float] = attrs.field(factory=dict)
    accounts: dict[str, str] = attrs.field(factory=dict)
    # Stage and request of each result, by handle.
    made: dict[str, tuple[str, int, int]] = attrs.field(factory=dict)
    faults: list[str] = attrs.field(factory=list)

    def calm(self, host: int, start_s: float, end_s: float, *, planned: bool = False) -> bool:
        """Returns whether nothing was done to a host; planned stops may be allowed."""
        return not any(
            item.host in (host, None)
            and item.start_s < end_s
            and item.end_s + CONTACT_S > start_s
            and not (planned and item.planned)
            for item in self.disturbances
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
        *_cut_by_planned_stops(record),
    ]
    return [*untimed, *_late_changes(record), *_unserved_at_the_end(record)] if timed else untimed


def _runs_by_request(record: Record) -> dict[str, list[Run]]:
    runs: dict[str, list[Run]] = collections.defaultdict(list)
    for run in record.runs:
        runs[run.request_id].append(run)
    return runs


def _ran_twice(record: Record) -> Iterable[str]:
    for request_id, runs in _runs_by_request(record).items():
        if runs[0].route == "order" and len(runs) > 1:
            yield f"order {request_id} ran {len(runs)} times"
        if len(runs) > 2:
            yield f"{runs[0].route} {request_id} ran {len(runs)} times with 2 attempts allowed"


def _ran_after_promise(record: Record) -> Iterable[str]:
    runs = _runs_by_request(record)
    for outcome in record.outcomes:
        if outcome.route == "order" and outcome.status in PROMISES and outcome.request_id in runs:
            yield f"order {outcome.request_id} was answered {outcome.status} and ran"


def expected_body(request_id: str, route: str) -> bytes:
    """Returns the whole body that any target answers a request with."""
    if route == "chat":
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


def _cut_by_planned_stops(record: Record) -> Iterable[str]:
    """Yields requests that ended without an answer although only planned stops were going on."""
    for outcome in record.outcomes:
        undisturbed = record.calm(outcome.host, outcome.sent_s, outcome.ended_s, planned=True)
        if undisturbed and outcome.status is None and _was_passed_on(record, outcome):
            yield f"{outcome.route} {outcome.request_id} was cut without an answer"
        if undisturbed and outcome.status == 200 and not outcome.whole:
            yield f"{outcome.route} {outcome.request_id} was cut in its answer"


def _was_passed_on(record: Record, outcome: Outcome) -> bool:
    return any(run.request_id == outcome.request_id for run in record.runs)


def _late_changes(record: Record) -> Iterable[str]:
    outcomes = {outcome.request_id: outcome for outcome in record.outcomes}
    for run in record.runs:
        outcome = outcomes.get(run.request_id)
        if outcome is None or not record.calm(outcome.host, outcome.sent_s, run.at_s):
            continue
        left_s = record.left_s.get(run.target_id)
        if left_s is not None and run.at_s > left_s + FOLLOW_S:
            late_s = run.at_s - left_s
            yield f"{run.request_id} reached {run.target_id} {late_s:.1f} s after it left"
        revoked_s = record.revoked_s.get(outcome.key)
        if revoked_s is not None and outcome.sent_s > revoked_s + FOLLOW_S:
            late_s = outcome.sent_s - revoked_s
            yield f"{run.request_id} ran with a key revoked {late_s:.1f} s before"


def _unserved_at_the_end(record: Record) -> Iterable[str]:
    """Yields a line if calm hosts do not serve after all faults have ended."""
    end_s = max((item.end_s for item in record.disturbances), default=0.0)
    late = [
        item
        for item in record.outcomes
        if item.sent_s > end_s + 2 * CONTACT_S and item.key not in record.revoked_s
    ]
    served = [item for item in late if item.status == 200 and item.whole]
    if late and len(served) < 0.9 * len(late):
        yield f"after the last fault {len(served)} of {len(late)} requests were served"
