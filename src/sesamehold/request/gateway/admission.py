"""Admission of a request: determines its route, client account, service and deadline."""

from __future__ import annotations

import attrs
from expression import Error
from expression import Ok
from expression import Result
import xxhash

from sesamehold.process.gateway import crash_attribution
from sesamehold.process.gateway import state as states
from sesamehold.request import deadline as deadlines
from sesamehold.request.gateway import messages
from sesamehold.version import routing

NO_CONFIGURATION_RETRY_MS = 500
# Short, because the retry of the caller goes to another host.
STOPPING_RETRY_MS = 20
# Jitter of the retry delay as a fraction of it, so that callers do not retry at the same time.
RETRY_JITTER = 0.5


@attrs.frozen
class IncomingRequest:
    """A request of a caller, completely received.

    Attributes:
        head: Decoded request line and headers.
        body: The body, None if the request has none.
        arrived_ms: Monotonic time at which the request arrived.
    """

    head: messages.RequestHead
    body: bytes | bytearray | None
    arrived_ms: int


@attrs.frozen
class Admitted:
    """Routing data of an admitted request.

    Attributes:
        route: Route that matches host and path.
        account: Client account of the caller, None for anonymous routes.
        service: Service that runs the request.
        deadline: Time by which the answer must be complete.
        traits: The request and its prompt parts, for the attribution of crashes.
        probed_trait: Trait that is blamed for crashes and is tried again with this request.
    """

    route: routing.Route
    account: routing.RoutedAccount | None
    service: str
    deadline: deadlines.Deadline
    traits: crash_attribution.RequestTraits
    probed_trait: crash_attribution.Trait | None = None


def admit(
    state: states.GatewayState, incoming: IncomingRequest
) -> Result[Admitted, messages.Refusal]:
    """Admits a request or returns the refusal for its caller."""
    head = incoming.head
    table = state.table
    if state.closed:
        return Error(stopping_refusal(state))
    if table is None:
        reason = messages.Reason.NO_CONFIGURATION
        return Error(not_run_refusal(state, reason, NO_CONFIGURATION_RETRY_MS))
    route = table.find_route(head.host, head.path)
    if route is None:
        return Error(messages.Refusal(messages.Reason.NO_ROUTE))
    if not _can_finish(state, route):
        return Error(stopping_refusal(state))
    account = None
    if table.requires_key and not route.anonymous:
        account = table.accounts_by_key.get(head.key or "")
        if account is None:
            return Error(messages.Refusal(messages.Reason.UNKNOWN_KEY))
    budget_ms = route.timeout_ms
    if head.budget_ms is not None:
        budget_ms = min(budget_ms, head.budget_ms)
    traits = _traits(incoming, account)
    now_ms = state.clock.now_ms()
    blamed = state.crashes.blamed_trait(traits, now_ms)
    if blamed is not None and not _try_probe(state, blamed, now_ms):
        return Error(messages.Refusal(messages.Reason.CRASHES_TARGETS))
    service = route.pick_service(state.rng.random())
    state.retry_budget.record_request(service, now_ms)
    deadline = deadlines.Deadline(incoming.arrived_ms + budget_ms)
    return Ok(Admitted(route, account, service, deadline, traits, blamed))


def _can_finish(state: states.GatewayState, route: routing.Route) -> bool:
    """Returns whether a request of a route is expected to end before this process does."""
    if state.final_answers_at_ms is None:
        return True
    expected_ms = state.route_duration.expected_ms(route.name)
    return state.clock.now_ms() + expected_ms < state.final_answers_at_ms


def not_run_refusal(
    state: states.GatewayState, reason: messages.Reason, retry_after_ms: int
) -> messages.Refusal:
    """Returns a refusal that states that the request has not run, with a jittered retry delay."""
    jitter_factor = 1 + RETRY_JITTER * state.rng.random()
    return messages.Refusal(reason, retry_after_ms=int(retry_after_ms * jitter_factor))


def stopping_refusal(state: states.GatewayState) -> messages.Refusal:
    """Returns the refusal of a request that has not run because the process is about to end."""
    return not_run_refusal(state, messages.Reason.STOPPING, STOPPING_RETRY_MS)


def _try_probe(state: states.GatewayState, blamed: crash_attribution.Trait, now_ms: int) -> bool:
    live_hosts = [state.hosts.local.address, *state.hosts.alive(now_ms)]
    return state.crashes.try_probe(blamed, live_hosts, now_ms)


def _traits(
    incoming: IncomingRequest, account: routing.RoutedAccount | None
) -> crash_attribution.RequestTraits:
    head = incoming.head
    name = account.name if account is not None else ""
    digest = xxhash.xxh3_128()
    digest.update(f"{name}\0{head.host}\0".encode())
    digest.update(head.raw_target)
    digest.update(incoming.body or b"")
    # The last part of a prompt belongs to this request alone.
    parts = head.prompt.parts[:-1] if head.prompt is not None else ()
    return crash_attribution.RequestTraits.of(digest.digest(), [part.part_id for part in parts])
