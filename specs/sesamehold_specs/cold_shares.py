"""Shares of a cold target under partition, pause and roster change.

Two hosts and one target that bears one request while it is cold. Host 0 holds the slot in the first
roster, host 1 in the second one, which operators publish at any moment. Time passes in phases
instead of milliseconds:

* A cut host loses its quorum at the latest when the quorum detection bound has passed.
* Host 1 leaves the hold-off when the bound and then the longest work have passed since it learned
  of the second roster.
* A host that lost its quorum or was paused grants nothing until it could learn of a new roster.
* Work ends at the latest when the longest work has passed since it began, also while its host is
  paused, because the target ends it.

Each rule of the shares has a mutant without it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

import attrs
from minicheck import Protocol

from sesamehold_specs import specification

CAPACITY_COLD = 1

# Phases of the hold-off of host 1, and of the age of a cut, in passings of the clock.
BOUND_TICKS = 1
WORK_TICKS = 1
HOLD_OFF_TICKS = BOUND_TICKS + WORK_TICKS

FIELDS = ("published", "contact", "cut", "paused", "recheck", "known", "wait", "work")
# published: whether the second roster is published.
# contact, paused, recheck, known: one value for each host.
# cut: passings of the clock since the host was cut off, up to the bound.
# wait: passings of the clock until host 1 may use the slot that it gained.
# work: for each host the passings of the clock until its work ends, None without work.

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
    """Rules of the shares; mutants leave out one of them."""

    hold_off: bool = True
    quorum: bool = True
    pause_check: bool = True
    rejoin_check: bool = True
    static_slots: bool = True


@attrs.frozen
class _View:
    """One state with named parts."""

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


def _with(pair: tuple, host: int, value: object) -> tuple:
    return (value, pair[1]) if host == 0 else (pair[0], value)


def _holds_slot(view: _View, rules: Rules, host: int) -> bool:
    if not rules.static_slots:
        # Without static slots every host counts only its own work.
        return True
    if host == 0:
        return not view.known[0]
    return view.known[1] and (view.wait == 0 or not rules.hold_off)


def _may_grant(view: _View, rules: Rules, host: int) -> bool:
    quorum = view.contact[host] or view.cut[host] < BOUND_TICKS
    return (
        not view.paused[host]
        and view.work[host] is None
        and _holds_slot(view, rules, host)
        and (quorum or not rules.quorum)
        and not view.recheck[host]
    )


def _host_steps(view: _View, rules: Rules, host: int) -> Iterator[tuple[str, _View]]:
    if _may_grant(view, rules, host):
        yield f"grant {host}", attrs.evolve(view, work=_with(view.work, host, WORK_TICKS))
    if view.work[host] is not None:
        yield f"finish {host}", attrs.evolve(view, work=_with(view.work, host, None))
    if view.contact[host]:
        contact = _with(view.contact, host, False)
        yield f"cut {host}", attrs.evolve(view, contact=contact, cut=_with(view.cut, host, 0))
    elif not view.paused[host]:
        noticed = view.cut[host] >= BOUND_TICKS and rules.rejoin_check
        recheck = _with(view.recheck, host, view.recheck[host] or noticed)
        contact = _with(view.contact, host, True)
        yield f"heal {host}", attrs.evolve(view, contact=contact, recheck=recheck)
    if view.paused[host]:
        paused = _with(view.paused, host, False)
        recheck = _with(view.recheck, host, rules.pause_check)
        yield f"wake {host}", attrs.evolve(view, paused=paused, recheck=recheck)
    else:
        yield f"pause {host}", attrs.evolve(view, paused=_with(view.paused, host, True))
    if view.published and not view.known[host] and _listens(view, host):
        yield f"learn {host}", _learn(view, host)


def _listens(view: _View, host: int) -> bool:
    return view.contact[host] and not view.paused[host]


def _learn(view: _View, host: int) -> _View:
    if not view.published or view.known[host]:
        return view
    known = _with(view.known, host, True)
    return attrs.evolve(view, known=known, wait=HOLD_OFF_TICKS if host == 1 else view.wait)


def _pass_time(view: _View) -> _View:
    """Lets one phase pass; running hosts that reach the others have learned by then."""
    for host in (0, 1):
        if _listens(view, host):
            view = _learn(view, host)
    left = [None if ticks in (None, 0) else ticks - 1 for ticks in view.work]
    ended = [ticks is not None and ticks == 0 for ticks in view.work]
    work = tuple(None if ended[host] else left[host] for host in (0, 1))
    cut = tuple(
        min(BOUND_TICKS, view.cut[host] + 1) if not view.contact[host] else 0 for host in (0, 1)
    )
    # The check after a pause or a cut ends with the bound, unless the host still stands still.
    recheck = tuple(view.recheck[host] and view.paused[host] for host in (0, 1))
    return attrs.evolve(view, work=work, cut=cut, recheck=recheck, wait=max(0, view.wait - 1))


def _transitions(rules: Rules) -> Callable[[State], list[tuple[str, State]]]:
    def transitions(state: State) -> list[tuple[str, State]]:
        view = _View(*state)
        steps = [*_host_steps(view, rules, 0), *_host_steps(view, rules, 1)]
        if not view.published:
            steps.append(("publish", attrs.evolve(view, published=True)))
        steps.append(("time passes", _pass_time(view)))
        return [(label, step.state()) for label, step in steps]

    return transitions


def _bearable(values: dict[str, object]) -> bool:
    work = values["work"]
    assert isinstance(work, tuple)
    return sum(ticks is not None for ticks in work) <= CAPACITY_COLD


def build(rules: Rules = Rules()) -> Protocol:
    """Returns the model under the given rules."""
    nothing = (False, False)
    initial = _View(False, (True, True), (0, 0), nothing, nothing, nothing, 0, (None, None))
    return Protocol(
        name="cold-shares",
        candidate=False,
        fields=FIELDS,
        initial=initial.state(),
        transitions=_transitions(rules),
        invariants={"work never exceeds the cold capacity": _bearable},
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
