"""Assignment of targets to attempts."""

from __future__ import annotations

from typing import Any
from typing import Protocol
from typing import TypeAlias

import attrs

from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.version import manifest


@attrs.frozen
class SlotRequest:
    """Request for a slot on a target that can run one attempt.

    Attributes:
        attempt: Attempt to run.
        account: Client account that sent the request.
        pipeline: Pipeline name.
        stage: Stage to run.
        deadline_ms: End-to-end deadline on the monotonic clock.
        later_stages: Stages that must still run after this one.
        priority: Larger values are more urgent.
        excluded_targets: Targets to avoid unless no other target has a free slot.
        fingerprint: Hash of account, pipeline and request body.
        prefix_hashes: Hashes of increasingly long prompt prefixes, shortest first; empty if
            unknown.
    """

    attempt: ids.AttemptId
    account: str
    pipeline: str
    stage: manifest.Stage
    deadline_ms: int
    later_stages: tuple[manifest.Stage, ...] = ()
    priority: int = 0
    excluded_targets: frozenset[str] = frozenset()
    fingerprint: bytes = b""
    prefix_hashes: tuple[int, ...] = ()


@attrs.frozen
class SlotGranted:
    """The attempt may be sent to the target.

    Attributes:
        attempt: The granted attempt.
        target: Target to send it to.
        pool: Pool of the target.
        rule: Name of the rule that selected the target.
        figures: Inputs and alternatives of the decision, shown by `explain`.
    """

    attempt: ids.AttemptId
    target: manifest.Target
    pool: manifest.Pool
    rule: str
    figures: dict[str, float | int | str]


@attrs.frozen
class SlotQueued:
    """The attempt waits; a later call to the dispatcher returns its grant or denial."""

    attempt: ids.AttemptId


@attrs.frozen
class SlotDenied:
    """The attempt cannot be run."""

    attempt: ids.AttemptId
    failure: errors.Failure


SlotDecision: TypeAlias = SlotGranted | SlotQueued | SlotDenied


@attrs.frozen
class LoadReport:
    """Load that a target reports with an answer or on request.

    Attributes:
        running: Requests that are running on the target.
        waiting: Requests that are queued on the target.
        cold: Whether the target is in cold start.
        start_id: Identifies one run of the target's process; differs after each restart.
    """

    running: int
    waiting: int
    cold: bool
    start_id: str


@attrs.frozen
class AttemptReport:
    """Result of an attempt, used as input for later decisions.

    Attributes:
        fault: None if the attempt succeeded.
        duration_ms: Time from sending to the end of the attempt.
        first_piece_ms: Time from sending to the first piece of a stream, None without a stream.
        load: Load that the target reported, if any.
        cached_units: Prompt tokens found in the prefix cache.
        sent: False if no bytes were written to the target.
    """

    fault: events.AttemptFault | None
    duration_ms: int
    first_piece_ms: int | None = None
    load: LoadReport | None = None
    cached_units: int = 0
    sent: bool = True


class Dispatcher(Protocol):
    """Assigns attempts to targets and decides the order in which waiting attempts are served."""

    def configure(self, version: manifest.Manifest, now_ms: int) -> list[SlotDecision]:
        """Applies a configuration version; may grant or deny waiting attempts."""

    def acquire(self, request: SlotRequest, now_ms: int) -> SlotDecision:
        """Grants a target, queues the attempt or denies it."""

    def release(
        self, attempt: ids.AttemptId, report: AttemptReport, now_ms: int
    ) -> list[SlotDecision]:
        """Frees the slot of an attempt; may grant or deny waiting attempts."""

    def withdraw(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Removes a waiting attempt."""

    def tick(self, now_ms: int) -> list[SlotDecision]:
        """Grants or denies waiting attempts whose situation changed with time."""

    def record_load_report(
        self, target_id: str, load: LoadReport, requested_ms: int, now_ms: int
    ) -> list[SlotDecision]:
        """Records a load report that was requested at `requested_ms` without sending work."""

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns state of bounded size for dumps."""


@attrs.define
class _TargetLoad:
    target: manifest.Target
    pool: manifest.Pool
    outstanding: int = 0


@attrs.define
class LeastOutstandingDispatcher:
    """Baseline: least outstanding attempts, with a first-in, first-out queue."""

    _targets: dict[str, _TargetLoad] = attrs.field(factory=dict)
    _pools: dict[str, manifest.Pool] = attrs.field(factory=dict)
    _zones_out: frozenset[str] = frozenset()
    _granted: dict[ids.AttemptId, str] = attrs.field(factory=dict)
    _waiting: dict[ids.AttemptId, SlotRequest] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest, now_ms: int) -> list[SlotDecision]:
        """Applies pools, targets and zones; outstanding attempts stay counted on their targets."""
        self._zones_out = frozenset(zone.name for zone in version.zones if not zone.in_service)
        self._pools = {pool.name: pool for pool in version.pools}
        previous = self._targets
        self._targets = {
            target.id: _TargetLoad(
                target, pool, previous[target.id].outstanding if target.id in previous else 0
            )
            for pool in version.pools
            for target in pool.targets
        }
        return self.tick(now_ms)

    def acquire(self, request: SlotRequest, now_ms: int) -> SlotDecision:
        """Grants the usable target with the fewest outstanding attempts, or queues the attempt."""
        if request.deadline_ms <= now_ms:
            return self._deny(request)
        load = self._least_loaded(request)
        if load is None:
            self._waiting[request.attempt] = request
            return SlotQueued(request.attempt)
        load.outstanding += 1
        self._granted[request.attempt] = load.target.id
        return SlotGranted(
            attempt=request.attempt,
            target=load.target,
            pool=load.pool,
            rule="least-outstanding",
            figures={"outstanding": load.outstanding, "capacity": load.pool.capacity_warm},
        )

    def release(
        self, attempt: ids.AttemptId, report: AttemptReport, now_ms: int
    ) -> list[SlotDecision]:
        """Frees the slot and serves waiting attempts in order of arrival."""
        target_id = self._granted.pop(attempt, None)
        if target_id is not None and target_id in self._targets:
            self._targets[target_id].outstanding -= 1
        return self.tick(now_ms)

    def withdraw(self, attempt: ids.AttemptId, now_ms: int) -> None:
        """Removes a waiting attempt."""
        self._waiting.pop(attempt, None)

    def tick(self, now_ms: int) -> list[SlotDecision]:
        """Retries every waiting attempt once."""
        decisions: list[SlotDecision] = []
        waiting = list(self._waiting.values())
        self._waiting.clear()
        for request in waiting:
            decision = self.acquire(request, now_ms)
            if not isinstance(decision, SlotQueued):
                decisions.append(decision)
        return decisions

    def record_load_report(
        self, target_id: str, load: LoadReport, requested_ms: int, now_ms: int
    ) -> list[SlotDecision]:
        """Ignores load reports."""
        return []

    def state(self, now_ms: int) -> dict[str, Any]:
        """Returns the number of waiting and granted attempts."""
        return {"waiting": len(self._waiting), "granted": len(self._granted)}

    def _least_loaded(self, request: SlotRequest) -> _TargetLoad | None:
        pool = self._pools.get(request.stage.pool)
        if pool is None:
            return None
        usable = [
            load
            for load in (self._targets[target.id] for target in pool.targets)
            if not load.target.leaving
            and load.target.zone not in self._zones_out
            and load.outstanding < pool.capacity_warm
        ]
        preferred = [load for load in usable if load.target.id not in request.excluded_targets]
        return min(preferred or usable, key=lambda load: load.outstanding, default=None)

    def _deny(self, request: SlotRequest) -> SlotDenied:
        failure = errors.DeadlineExceeded(
            detail=f"The deadline passed while stage {request.stage.name!r} waited for a target."
        )
        return SlotDenied(request.attempt, failure)
