"""Decision state of one host; does no I/O."""

from __future__ import annotations

from collections.abc import Callable
import hashlib
import json
import random
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import clock as clocks
from sesamehold.process import credentials
from sesamehold.process import dispatch
from sesamehold.process import execution_claims
from sesamehold.process import explanations
from sesamehold.process import fleet_view
from sesamehold.process import ledger as ledgers
from sesamehold.process import ledger_copies
from sesamehold.process import metrics
from sesamehold.process import receive_budget as receive_budgets
from sesamehold.process import requests
from sesamehold.process import retry_budget
from sesamehold.process import settings
from sesamehold.process import slots
from sesamehold.request import deadline as deadlines
from sesamehold.request import errors
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold.version import roster
from sesamehold.version import validation

RETRY_BURST = 10.0


@attrs.frozen
class AdmissionRequest:
    """The fields of a decoded submission that admission needs."""

    credential: str
    pipeline: str
    body: dict[str, Any]
    deadline_ms: int | None
    priority: int
    key: str | None
    first_submission: bool


def _least_outstanding(fleet: fleet_view.FleetView) -> dispatch.Dispatcher:
    del fleet
    return dispatch.LeastOutstandingDispatcher()


@attrs.define
class Node:
    """Decision state of one host and the components that operate on it.

    Attributes:
        version: Configuration version in force, None before the first.
        receive_budget: Memory for what connections of callers hold before admission.
        incarnation: Start time of the process; tells its ledger from those of earlier processes.
    """

    config: settings.Settings
    clock: clocks.Clock
    rng: random.Random
    metrics: metrics.Metrics
    slots: slots.SlotRegistry
    requests: requests.RequestRegistry
    fleet: fleet_view.FleetView
    claims: execution_claims.HostClaims
    receive_budget: receive_budgets.ReceiveBudget
    credentials: credentials.CredentialTable = attrs.field(factory=credentials.CredentialTable)
    ledger: ledgers.Ledger = attrs.field(factory=ledgers.Ledger)
    explanations: explanations.Explanations = attrs.field(factory=explanations.Explanations)
    retry_budget: retry_budget.FractionRetryBudget = attrs.field(
        factory=lambda: retry_budget.FractionRetryBudget(fraction=0.1, burst=RETRY_BURST)
    )
    ledger_copies: ledger_copies.LedgerCopies = attrs.field(factory=ledger_copies.LedgerCopies)
    version: manifest.Manifest | None = None
    incarnation: int = 0

    @classmethod
    def from_config(
        cls,
        config: settings.Settings,
        clock: clocks.Clock,
        make_dispatcher: Callable[[fleet_view.FleetView], dispatch.Dispatcher] = (
            _least_outstanding
        ),
    ) -> Node:
        """Returns a node without a configuration version.

        Args:
            config: Settings of the host.
            clock: Source of time.
            make_dispatcher: Creates the dispatcher, which reads the quorum from the fleet view.
                By default least-outstanding, the simplest baseline.
        """
        seed = clock.wall_ms() if config.random_seed is None else config.random_seed
        rng = random.Random(f"{config.host_id}:{seed}")
        node_metrics = metrics.Metrics.from_config(config)
        fleet = fleet_view.FleetView.create(
            config.host_id,
            clock,
            random.Random(rng.random()),
            node_metrics.count,
            validation.validate,
        )
        dispatcher = make_dispatcher(fleet)
        return cls(
            config=config,
            clock=clock,
            rng=rng,
            metrics=node_metrics,
            slots=slots.SlotRegistry(dispatcher, clock),
            requests=requests.RequestRegistry(clock, rng, config.host_id),
            fleet=fleet,
            claims=execution_claims.HostClaims.from_config(
                config.host_id, fleet, fleet.pause, clock.now_ms(), clock.wall_ms()
            ),
            receive_budget=receive_budgets.ReceiveBudget.from_memory(
                config.memory_bytes,
                receive_budgets.DAEMON_FRACTION,
                lambda excess: node_metrics.count(f"callers.refused.{excess.value}"),
            ),
            incarnation=clock.wall_ms(),
        )

    def configure(self, version: manifest.Manifest) -> None:
        """Applies an accepted configuration version to all components."""
        self.version = version
        self.credentials.configure(version)
        self.ledger.configure(version)
        self.retry_budget.fraction = version.policy.retry_fraction
        self.slots.configure(version)
        now_ms = self.clock.now_ms()
        past = [
            (roster.Roster.from_hosts(item.version, item.hosts), item.superseded_ms)
            for item in self.fleet.configuration_state.overlap_rosters(now_ms)
            if item.superseded_ms is not None
        ]
        self.claims.configure(version, now_ms, self.clock.wall_ms(), past)

    @property
    def origin(self) -> ledgers.Origin:
        """Returns the id of the process that writes this node's ledger."""
        return ledgers.Origin(self.config.host_id, self.incarnation)

    def host_ledgers(self) -> list[ledgers.HostLedger]:
        """Returns this host's ledger and the copies that it holds of other hosts' ledgers."""
        own = ledgers.HostLedger(self.origin, self.ledger.totals)
        return [own, *self.ledger_copies.held()]

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send new requests to this host."""
        return self.version is not None and self.fleet.is_ready() and not self.requests.draining

    def admit(self, query: AdmissionRequest) -> Result[execution.Request, errors.Failure]:
        """Admits a submission, or returns why it is refused."""
        if self.version is None or not self.fleet.is_ready() or self.requests.closed:
            return Error(
                errors.Draining(
                    detail="This host is starting or stopping; send the request again.",
                    retry_after_ms=0,
                )
            )
        account = self.credentials.account_of(query.credential)
        if account is None:
            return Error(errors.Unauthenticated(detail="Send `Authorization: Bearer` credentials."))
        pipeline = self.version.pipeline(query.pipeline)
        if pipeline is None:
            return Error(errors.NotFound(detail=f"There is no pipeline {query.pipeline!r}."))
        if pipeline.callers and account.name not in pipeline.callers:
            return Error(
                errors.Forbidden(
                    detail=f"Account {account.name!r} may not call pipeline {pipeline.name!r}."
                )
            )
        if len(self.requests) >= self.config.limits.open_requests:
            return Error(
                errors.LimitExceeded(
                    detail="This host has too many open requests.", retry_after_ms=1_000
                )
            )
        return Ok(self._build_request(query, account, pipeline))

    def _build_request(
        self, query: AdmissionRequest, account: manifest.Account, pipeline: manifest.Pipeline
    ) -> execution.Request:
        request_id = self.requests.new_id()
        budget_ms = min(query.deadline_ms or pipeline.default_deadline_ms, pipeline.max_deadline_ms)
        return execution.Request(
            request_id=request_id,
            account=account.name,
            pipeline=pipeline,
            body=query.body,
            deadline=deadlines.Deadline.from_budget(self.clock.now_ms(), budget_ms),
            priority=query.priority,
            key=_execution_key(query, account.name, pipeline, request_id),
            fingerprint=_fingerprint(account.name, pipeline.name, query.body),
            first_submission=query.first_submission,
        )


def _execution_key(
    query: AdmissionRequest, account: str, pipeline: manifest.Pipeline, request_id: str
) -> ids.ExecutionKey | None:
    if pipeline.repeatable:
        return None
    if query.key is None:
        return ids.ExecutionKey.from_host(account, request_id)
    return ids.ExecutionKey.from_caller(account, query.key)


def _fingerprint(account: str, pipeline: str, body: dict[str, Any]) -> bytes:
    text = json.dumps([account, pipeline, body], sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=16).digest()
