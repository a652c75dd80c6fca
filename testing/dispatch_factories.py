"""Factories of manifests, slot requests and reports for tests of the dispatch policy."""

from __future__ import annotations

import random

from sesamehold.process import dispatch
from sesamehold.process import fleet_health
from sesamehold.process import policy_dispatcher
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.request import selection
from sesamehold.version import manifest

STAGE = manifest.Stage(name="s", kind=manifest.StageKind.SERVICE, pool="p")
LATER = manifest.Stage(name="later", kind=manifest.StageKind.SERVICE, pool="p")
WARM = dispatch.LoadReport(running=1, waiting=0, cold=False, start_id="1")
COLD = dispatch.LoadReport(running=1, waiting=0, cold=True, start_id="1")
RESTARTED = dispatch.LoadReport(running=1, waiting=0, cold=False, start_id="2")


def version(
    number: int = 1,
    *,
    hosts: tuple[str, ...] = ("h0",),
    targets: int = 2,
    zones_out: tuple[str, ...] = (),
    leaving: tuple[str, ...] = (),
    capacity_warm: int = 4,
    capacity_cold: int = 2,
    reports_load: bool = True,
    accounts: tuple[manifest.Account, ...] = (),
) -> manifest.Manifest:
    """Returns a manifest with one pool whose targets t0, t1, ... alternate between two zones."""
    zones = ("z0", "z1")
    return manifest.Manifest(
        version=number,
        zones=tuple(manifest.Zone(name, "r", name not in zones_out) for name in zones),
        hosts=tuple(manifest.Host(host, "z0", "", "") for host in hosts),
        accounts=accounts,
        models=(),
        pools=(
            manifest.Pool(
                name="p",
                kind=manifest.PoolKind.SERVICE,
                owner="a",
                targets=tuple(
                    manifest.Target(f"t{index}", "", zones[index % 2], f"t{index}" in leaving)
                    for index in range(targets)
                ),
                capacity_warm=capacity_warm,
                capacity_cold=capacity_cold,
                reports_load=reports_load,
            ),
        ),
        pipelines=(),
    )


def account(name: str, **limits: float) -> manifest.Account:
    """Returns a client account with the given weight and limits."""
    return manifest.Account(name, (), "", "", **limits)  # type: ignore[arg-type]


def attempt(
    number: int,
    *,
    account: str = "a",
    deadline_ms: int = 10_000,
    fingerprint: bytes = b"",
    stage: manifest.Stage = STAGE,
    retry: int = 1,
    **fields: object,
) -> dispatch.SlotRequest:
    """Returns the slot request for one attempt of request `number`."""
    return dispatch.SlotRequest(
        attempt=ids.AttemptId(f"{number:032x}", 0, retry),
        account=account,
        pipeline="pipeline",
        stage=stage,
        deadline_ms=deadline_ms,
        fingerprint=fingerprint,
        **fields,  # type: ignore[arg-type]
    )


def report(
    fault: events.AttemptFault | None = None,
    *,
    duration_ms: int = 10,
    load: dispatch.LoadReport | None = WARM,
    sent: bool = True,
) -> dispatch.AttemptReport:
    """Returns the report of a completed attempt; the default load is that of a warm target."""
    return dispatch.AttemptReport(fault, duration_ms, load=load, sent=sent)


def dispatcher(
    host: str = "h0",
    options: policy_dispatcher.PolicyOptions = policy_dispatcher.PolicyOptions(),  # noqa: B008
    *,
    quorum: fleet_health.Quorum = fleet_health.SINGLE_HOST_FLEET,
    pauses: fleet_health.PauseDetector = fleet_health.SINGLE_HOST_FLEET,
) -> policy_dispatcher.PolicyDispatcher:
    """Returns a policy dispatcher whose random generator is seeded with the host name."""
    selector = selection.LoadAwareSelector(random.Random(host))
    return policy_dispatcher.PolicyDispatcher.from_config(
        host, "z0", selector, options, quorum=quorum, pauses=pauses
    )


def warm_dispatcher(
    configured: manifest.Manifest | None = None,
    options: policy_dispatcher.PolicyOptions = policy_dispatcher.PolicyOptions(),  # noqa: B008
) -> policy_dispatcher.PolicyDispatcher:
    """Returns a dispatcher that has received a warm load report from every target."""
    result = dispatcher(options=options)
    configured = configured or version()
    result.configure(configured, 0)
    for pool in configured.pools:
        for target in pool.targets:
            result.record_load_report(target.id, WARM, 0, 0)
    return result


def granted(decision: dispatch.SlotDecision | None) -> str | None:
    """Returns the target id of a granted slot, or None for any other decision."""
    return decision.target.id if isinstance(decision, dispatch.SlotGranted) else None
