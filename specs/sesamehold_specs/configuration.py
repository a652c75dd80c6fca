"""Specification: acceptance of configuration versions.

The platform publishes versions in any order, and a read may return any value that was ever
published. Hosts copy versions from each other, where responses may arrive late, and lose their
state when they restart. Version 2 is published with content `a` and again with content `b`. The
manifest of version 3 is invalid.

Hosts that accepted content `a` and hosts that accepted content `b` of version 2 stay different
until a greater version is published: the rules report this operator error but do not repair it.

Rules, each with a mutant that omits it:

1. A host accepts only a version greater than its own.
2. A version number that was already used with different content is refused.
3. Every host refuses an invalid manifest and keeps the version in force.
4. A starting host takes traffic only after it has queried a majority of the roster.
5. Hosts announce their version to each other and copy greater ones.
"""

from __future__ import annotations

import functools
from typing import Any
from typing import TypeAlias

import attrs
from minicheck import Protocol

from sesamehold_specs import specification

# Version number, content, and whether the manifest is valid.
Published: TypeAlias = tuple[int, str, bool]
# Version and content in force, and whether the host takes traffic.
Host: TypeAlias = tuple[int, str, bool]
State: TypeAlias = tuple[Any, ...]

NO_CONFIGURATION: Host = (0, "", False)
BOUNDED: tuple[Published, ...] = (
    (1, "a", True),
    (2, "a", True),
    (2, "b", True),
    (3, "a", False),
)
FULL: tuple[Published, ...] = (*BOUNDED, (4, "a", True))


@attrs.frozen
class Rules:
    """Rules of the protocol; each mutant disables one of them."""

    only_greater: bool = True
    rejects_reused_number: bool = True
    rejects_invalid: bool = True
    checks_majority_at_start: bool = True
    copies_from_peers: bool = True


@attrs.frozen
class Size:
    """Bounds of the model."""

    host_count: int
    publications: tuple[Published, ...]
    restarts: int
    reader_count: int = 2


def build(name: str, size: Size, rules: Rules) -> Protocol:
    """Returns the model of a fleet."""
    model = _Model(size, rules)
    return Protocol(
        name=name,
        candidate=False,
        fields=("published", "sent", "hosts", "restarts_left", "fault"),
        initial=(
            frozenset(),
            frozenset(),
            (NO_CONFIGURATION,) * size.host_count,
            size.restarts,
            "",
        ),
        transitions=model.transitions,
        invariants={
            # A host never replaces the version in force by an older one.
            "never reverts": lambda state: state["fault"] != "reverted",
            # A host never replaces the content in force by different content with the same number.
            "a number keeps its content": lambda state: state["fault"] != "replaced",
            # No host has an invalid manifest in force.
            "no faulty manifest is in force": lambda state: state["fault"] != "faulty",
            # A host does not take traffic with a version older than one that a majority had in
            # force when it started.
            "a start does not revert the majority": lambda state: state["fault"] != "old start",
        },
        # All hosts take traffic with the newest valid version that was published.
        goal=model.converged,
    )


@attrs.frozen
class _Model:
    size: Size
    rules: Rules

    def transitions(self, state: State) -> list[tuple[str, State]]:
        """Returns the enabled steps of a state."""
        if state[4]:
            return []
        return [
            *self._publish(state),
            *self._read(state),
            *self._copy_from_peers(state),
            *self._start_serving(state),
            *self._restart(state),
        ]

    def converged(self, state: dict[str, Any]) -> bool:
        """Returns whether all hosts take traffic with the newest valid version."""
        newest = max((item[0] for item in state["published"] if item[2]), default=0)
        complete = len(state["published"]) == len(self.size.publications)
        return bool(state["fault"]) or (
            complete and all(host[0] == newest and host[2] for host in state["hosts"])
        )

    def _publish(self, state: State) -> list[tuple[str, State]]:
        published, *rest = state
        return [
            (f"publish {item[0]}{item[1]}", (published | {item}, *rest))
            for item in self.size.publications
            if item not in published
        ]

    def _read(self, state: State) -> list[tuple[str, State]]:
        return [
            (f"host {index} reads {item[0]}{item[1]}", self._receive(state, index, item))
            for item in sorted(state[0])
            for index in range(self.size.reader_count)
        ]

    def _copy_from_peers(self, state: State) -> list[tuple[str, State]]:
        if not self.rules.copies_from_peers:
            return []
        # A response may arrive late, so it can carry any version that was ever in force.
        return [
            (f"host {index} gets {item[0]}{item[1]}", self._receive(state, index, item))
            for item in sorted(state[1])
            for index in range(self.size.host_count)
        ]

    def _receive(self, state: State, index: int, item: Published) -> State:
        published, sent, hosts, restarts, _ = state
        version, content, valid = item
        current_version, current_content, serving = hosts[index]
        if not valid and self.rules.rejects_invalid:
            return state
        if version < current_version and self.rules.only_greater:
            return state
        same = version == current_version
        if same and (content == current_content or self.rules.rejects_reused_number):
            return state
        fault = ""
        if not valid:
            fault = "faulty"
        elif same:
            fault = "replaced"
        elif version < current_version:
            fault = "reverted"
        hosts = _replace_at(hosts, index, (version, content, serving))
        return (published, sent | {item}, hosts, restarts, fault)

    def _start_serving(self, state: State) -> list[tuple[str, State]]:
        published, sent, hosts, restarts, _ = state
        steps = []
        for index, (version, content, serving) in enumerate(hosts):
            if serving or not version:
                continue
            majority_version = self._majority_version(hosts, index)
            if version < majority_version and self.rules.checks_majority_at_start:
                continue
            fault = "old start" if version < majority_version else ""
            started = _replace_at(hosts, index, (version, content, True))
            after = (published, sent, started, restarts, fault)
            steps.append((f"host {index} takes traffic", after))
        return steps

    def _majority_version(self, hosts: tuple[Host, ...], index: int) -> int:
        """Returns the greatest version that a majority of the hosts has reached and serves with."""
        needed = self.size.host_count // 2 + 1
        serving = sorted(
            (host[0] for other, host in enumerate(hosts) if other != index and host[2]),
            reverse=True,
        )
        return serving[needed - 1] if len(serving) >= needed else 0

    def _restart(self, state: State) -> list[tuple[str, State]]:
        published, sent, hosts, restarts, fault = state
        if not restarts:
            return []
        return [
            (
                f"host {index} restarts",
                (published, sent, _replace_at(hosts, index, NO_CONFIGURATION), restarts - 1, fault),
            )
            for index, host in enumerate(hosts)
            if host != NO_CONFIGURATION
        ]


def _replace_at(hosts: tuple[Host, ...], index: int, host: Host) -> tuple[Host, ...]:
    return (*hosts[:index], host, *hosts[index + 1 :])


_MUTANTS = {
    "takes smaller versions": Rules(only_greater=False),
    "takes a reused number": Rules(rejects_reused_number=False),
    "takes manifests with faults": Rules(rejects_invalid=False),
    "starts without a majority": Rules(checks_majority_at_start=False),
    "does not copy from peers": Rules(copies_from_peers=False),
}


def _specification(
    name: str, size: Size, max_states: int, *, full_only: bool = False
) -> specification.Specification:
    return specification.Specification(
        name=name,
        protocol=lambda: build(name, size, Rules()),
        max_states=max_states,
        full_only=full_only,
        mutants={
            rule: functools.partial(build, f"{name}: {rule}", size, rules)
            for rule, rules in _MUTANTS.items()
        },
    )


SPECIFICATIONS = [
    _specification("configuration-bounded", Size(3, BOUNDED, 1), 200_000),
    _specification("configuration-full", Size(3, FULL, 3), 2_000_000, full_only=True),
]
