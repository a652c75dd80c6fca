"""Specification of the acceptance of configuration versions.

The platform publishes versions in any order; its readers may be served any value that was ever
published. Hosts copy from each other, where an answer may arrive late, and restart without memory.
Version 2 has content `a`, and its number is used again with content `b`. Version 3 has faults.

Hosts with content `a` and `b` of version 2 differ until a greater version is published: the rules
report that fault of the operators, and do not repair it.

The rules, each with a mutant that leaves it out:

1. A host only takes a greater version.
2. A used number with other content is refused.
3. A manifest with faults is refused everywhere, and the version in force stays.
4. A starting host takes traffic only after it has asked a majority of the roster.
5. A host tells its version to others and takes theirs.
"""

from __future__ import annotations

import functools
from typing import Any
from typing import TypeAlias

import attrs
from minicheck import Protocol

from sesamehold_specs import specification

# Version number, content, whether the content is valid.
Published: TypeAlias = tuple[int, str, bool]
# Version and content in force, and whether the host takes traffic.
Host: TypeAlias = tuple[int, str, bool]
State: TypeAlias = tuple[Any, ...]

NONE: Host = (0, "", False)
BOUNDED: tuple[Published, ...] = (
    (1, "a", True),
    (2, "a", True),
    (2, "b", True),
    (3, "a", False),
)
FULL: tuple[Published, ...] = (*BOUNDED, (4, "a", True))


@attrs.frozen
class Rules:
    """Which rules hold; a mutant has one of them switched off."""

    only_greater: bool = True
    refuses_reused_number: bool = True
    refuses_faults: bool = True
    starts_with_majority: bool = True
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
        initial=(frozenset(), frozenset(), (NONE,) * size.host_count, size.restarts, ""),
        transitions=model.transitions,
        invariants={
            # A host never replaces a version in force by an older one or by the same number.
            "never reverts": lambda state: state["fault"] != "reverted",
            # The same number never replaces other content on a host.
            "a number keeps its content": lambda state: state["fault"] != "replaced",
            # No host has a manifest with faults in force.
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
        """Returns the steps that are possible in a state."""
        if state[4]:
            return []
        return [
            *self._publish(state),
            *self._read(state),
            *self._copy(state),
            *self._start(state),
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
            (f"host {index} reads {item[0]}{item[1]}", self._offer(state, index, item))
            for item in sorted(state[0])
            for index in range(self.size.reader_count)
        ]

    def _copy(self, state: State) -> list[tuple[str, State]]:
        if not self.rules.copies_from_peers:
            return []
        # An answer may arrive late, so that any version that was ever in force can be offered.
        return [
            (f"host {index} gets {item[0]}{item[1]}", self._offer(state, index, item))
            for item in sorted(state[1])
            for index in range(self.size.host_count)
        ]

    def _offer(self, state: State, index: int, item: Published) -> State:
        published, sent, hosts, restarts, _ = state
        version, content, valid = item
        held, held_content, serving = hosts[index]
        if not valid and self.rules.refuses_faults:
            return state
        if version < held and self.rules.only_greater:
            return state
        same = version == held
        if same and (content == held_content or self.rules.refuses_reused_number):
            return state
        fault = ""
        if not valid:
            fault = "faulty"
        elif same:
            fault = "replaced"
        elif version < held:
            fault = "reverted"
        hosts = _with(hosts, index, (version, content, serving))
        return (published, sent | {item}, hosts, restarts, fault)

    def _start(self, state: State) -> list[tuple[str, State]]:
        published, sent, hosts, restarts, _ = state
        steps = []
        for index, (version, content, serving) in enumerate(hosts):
            if serving or not version:
                continue
            majority_version = self._majority_version(hosts, index)
            if version < majority_version and self.rules.starts_with_majority:
                continue
            fault = "old start" if version < majority_version else ""
            started = _with(hosts, index, (version, content, True))
            after = (published, sent, started, restarts, fault)
            steps.append((f"host {index} takes traffic", after))
        return steps

    def _majority_version(self, hosts: tuple[Host, ...], index: int) -> int:
        """Returns the greatest version that a majority has in force and takes traffic with."""
        needed = self.size.host_count // 2 + 1
        serving = sorted(
            (host[0] for place, host in enumerate(hosts) if place != index and host[2]),
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
                (published, sent, _with(hosts, index, NONE), restarts - 1, fault),
            )
            for index, host in enumerate(hosts)
            if host != NONE
        ]


def _with(hosts: tuple[Host, ...], index: int, host: Host) -> tuple[Host, ...]:
    return (*hosts[:index], host, *hosts[index + 1 :])


_MUTANTS = {
    "takes smaller versions": Rules(only_greater=False),
    "takes a reused number": Rules(refuses_reused_number=False),
    "takes manifests with faults": Rules(refuses_faults=False),
    "starts without a majority": Rules(starts_with_majority=False),
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
