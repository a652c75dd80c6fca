"""Specification: slots of a cold target during partitions, pauses and roster changes.

The model has two hosts and one target that accepts one request at a time while it is cold. Host 0
owns the slot under the first roster, host 1 under the second one, which operators may publish at
any time. Time advances in phases instead of milliseconds:

* A partitioned host loses its quorum no later than one quorum detection bound after the partition.
* The hold-off of host 1 ends when the quorum detection bound plus the maximum duration of work have
  passed since it learned of the second roster.
* A host that lost its quorum or was paused grants nothing until it had time to learn of a new
  roster.
* Work ends no later than its maximum duration after its start, even while its host is paused,
  because the target ends it.

Each rule has a mutant that omits it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from sesamehold_specs import specification

CAPACITY_COLD = 1

# Quorum detection bound, maximum duration of work, and hold-off of host 1, in clock ticks.
BOUND_TICKS = 1
WORK_TICKS = 1
HOLD_OFF_TICKS = BOUND_TICKS + WORK_TICKS

FIELDS = ("published", "contact", "cut", "paused", "recheck", "known", "wait", "work")
# published: whether the second roster is published.
# contact, paused, recheck, known: one value for each host.
# cut: for each host, ticks since it was partitioned off, at most BOUND_TICKS.
# wait: ticks until host 1 may use the slot that it gained.
# work: for each host, ticks until its work ends, None without work.

State = tuple[
    bool,
    tuple[bool, bool],
    tuple[int, int],
    tuple[bool, bool],
    tuple[bool, bool],
    tuple[bool, bool],
    int,
    tuple[int | None, int | None],
]


@attrs.frozen
class Rules:
    """Rules of slot ownership; each mutant disables one of them."""

    hold_off: bool = True
    quorum: bool = True
    pause_check: bool = True
    rejoin_check: bool = True
    static_slots: bool = True


@attrs.frozen
class _StateView:
    """A state with named fields."""

    published: bool
    contact: tuple[bool, bool]
    cut: tuple[int, int]
    paused: tuple[bool, bool]
    recheck: tuple[bool, bool]
    known: tuple[bool, bool]
    wait: int
    work: tuple[int | None, int | None]

    def state(self) -> State:
        return (
            self.published,
            self.contact,
            self.cut,
            self.paused,
            self.recheck,
            self.known,
            self.wait,
            self.work,
        )


def _replace_at(pair: tuple, host: int, value: object) -> tuple:
    return (value, pair[1]) if host == 0 else (pair[0], value)


def _holds_slot(view: _StateView, rules: Rules, host: int) -> bool:
    if not rules.static_slots:
        # Without static slots, each host limits only its own work.
        return True
    if host == 0:
        return not view.known[0]
    return view.known[1] and (view.wait == 0 or not rules.hold_off)


def _may_grant(view: _StateView, rules: Rules, host: int) -> bool:
    quorum = view.contact[host] or view.cut[host] < BOUND_TICKS
    return (
        not view.paused[host]
        and view.work[host] is None
        and _holds_slot(view, rules, host)
        and (quorum or not rules.quorum)
        and not view.recheck[host]
    )


def _host_steps(view: _StateView, rules: Rules, host: int) -> Iterator[tuple[str, _StateView]]:
    if _may_grant(view, rules, host):
        yield f"grant {host}", attrs.evolve(view, work=_replace_at(view.work, host, WORK_TICKS))
    if view.work[host] is not None:
        yield f"finish {host}", attrs.evolve(view, work=_replace_at(view.work, host, None))
    if view.contact[host]:
        contact = _replace_at(view.contact, host, False)
        yield f"cut {host}", attrs.evolve(view, contact=contact, cut=_replace_at(view.cut, host, 0))
    elif not view.paused[host]:
        must_recheck = view.cut[host] >= BOUND_TICKS and rules.rejoin_check
        recheck = _replace_at(view.recheck, host, view.recheck[host] or must_recheck)
        contact = _replace_at(view.contact, host, True)
        yield f"heal {host}", attrs.evolve(view, contact=contact, recheck=recheck)
    if view.paused[host]:
        paused = _replace_at(view.paused, host, False)
        recheck = _replace_at(view.recheck, host, rules.pause_check)
        yield f"wake {host}", attrs.evolve(view, paused=paused, recheck=recheck)
    else:
        yield f"pause {host}", attrs.evolve(view, paused=_replace_at(view.paused, host, True))
    if view.published and not view.known[host] and _is_reachable(view, host):
        yield f"learn {host}", _learn(view, host)


def _is_reachable(view: _StateView, host: int) -> bool:
    return view.contact[host] and not view.paused[host]


def _learn(view: _StateView, host: int) -> _StateView:
    if not view.published or view.known[host]:
        return view
    known = _replace_at(view.known, host, True)
    return attrs.evolve(view, known=known, wait=HOLD_OFF_TICKS if host == 1 else view.wait)


def _advance_time(view: _StateView) -> _StateView:
    """Advances time by one tick; running, connected hosts learn of a published roster by then."""
    for host in (0, 1):
        if _is_reachable(view, host):
            view = _learn(view, host)
    remaining = [None if ticks in (None, 0) else ticks - 1 for ticks in view.work]
    ended = [ticks is not None and ticks == 0 for ticks in view.work]
    work = tuple(None if ended[host] else remaining[host] for host in (0, 1))
    cut = tuple(
        min(BOUND_TICKS, view.cut[host] + 1) if not view.contact[host] else 0 for host in (0, 1)
    )
    # The check after a pause or a partition ends with the detection bound, unless the host is still
    # paused.
    recheck = tuple(view.recheck[host] and view.paused[host] for host in (0, 1))
    return attrs.evolve(view, work=work, cut=cut, recheck=recheck, wait=max(0, view.wait - 1))


def _transitions(rules: Rules) -> Callable[[State], list[tuple[str, State]]]:
    def transitions(state: State) -> list[tuple[str, State]]:
        view = _StateView(*state)
        steps = [*_host_steps(view, rules, 0), *_host_steps(view, rules, 1)]
        if not view.published:
            steps.append(("publish", attrs.evolve(view, published=True)))
        steps.append(("time passes", _advance_time(view)))
        return [(label, step.state()) for label, step in steps]

    return transitions


def _within_cold_capacity(values: dict[str, object]) -> bool:
    work = values["work"]
    assert isinstance(work, tuple)
    return sum(ticks is not None for ticks in work) <= CAPACITY_COLD


def build(rules: Rules = Rules()) -> Protocol:
    """Returns the model under the given rules."""
    both_false = (False, False)
    initial = _StateView(
        False, (True, True), (0, 0), both_false, both_false, both_false, 0, (None, None)
    )
    return Protocol(
        name="cold-shares",
        candidate=False,
        fields=FIELDS,
        initial=initial.state(),
        transitions=_transitions(rules),
        invariants={"work never exceeds the cold capacity": _within_cold_capacity},
    )


SPECIFICATIONS = [
    specification.Specification(
        name="cold-shares",
        protocol=build,
        max_states=200_000,
        mutants={
            "no hold-off": lambda: build(Rules(hold_off=False)),
            "no quorum check": lambda: build(Rules(quorum=False)),
            "no pause check": lambda: build(Rules(pause_check=False)),
            "no check after a cut": lambda: build(Rules(rejoin_check=False)),
            "no static slots": lambda: build(Rules(static_slots=False)),
        },
    )
]
