"""Registry of the dispatch policies that the settings can select."""

from __future__ import annotations

from collections.abc import Callable

from sesamehold.process import fleet_health
from sesamehold.process import policy_dispatcher
from sesamehold.process import settings
from sesamehold.process import target_selector
from sesamehold.request import selection

_Policy = tuple[target_selector.TargetSelector, policy_dispatcher.PolicyOptions]

_FACTORIES: dict[settings.DispatcherKind, Callable[[selection.RandomSource], _Policy]] = {
    settings.DispatcherKind.POLICY: lambda rng: (
        selection.LoadAwareSelector(rng),
        policy_dispatcher.PolicyOptions(),
    ),
    settings.DispatcherKind.FIXED_LIMITS: lambda rng: (
        selection.LoadAwareSelector(rng),
        policy_dispatcher.PolicyOptions(adaptive_limits=False),
    ),
    settings.DispatcherKind.NO_EARLY_REFUSAL: lambda rng: (
        selection.LoadAwareSelector(rng),
        policy_dispatcher.PolicyOptions(early_refusal=False),
    ),
    settings.DispatcherKind.ROUND_ROBIN: lambda _: (
        selection.RoundRobinSelector(),
        policy_dispatcher.ALL_OPTIONS_OFF,
    ),
    settings.DispatcherKind.RANDOM: lambda rng: (
        selection.RandomSelector(rng),
        policy_dispatcher.ALL_OPTIONS_OFF,
    ),
    settings.DispatcherKind.LEAST_OUTSTANDING: lambda _: (
        selection.FewestOutstandingSelector(),
        policy_dispatcher.ALL_OPTIONS_OFF,
    ),
}


def build(
    config: settings.Settings,
    random_seed: str,
    *,
    quorum: fleet_health.Quorum = fleet_health.SINGLE_HOST_FLEET,
    pauses: fleet_health.PauseDetector = fleet_health.SINGLE_HOST_FLEET,
) -> policy_dispatcher.PolicyDispatcher:
    """Creates the dispatcher selected in the settings.

    Args:
        config: Settings of the host.
        random_seed: Seed for the random selection of targets.
        quorum: Quorum check of the host, used for cold-start slots.
        pauses: Pause detector of the host, used for cold-start slots.
    """
    rng = selection.random_source(random_seed)
    selector, options = _FACTORIES[config.dispatcher](rng)
    return policy_dispatcher.PolicyDispatcher.from_config(
        config.host_id, config.zone, selector, options, quorum=quorum, pauses=pauses
    )
