"""Specification: execution claims.

Messages never expire: a claim, release or pause of a host can be delivered at any later time, in
any order, any number of times, or never. This covers loss, delay, reordering and duplication.
Delivery of a claim and receipt of its reply are a single step, because counting a vote earlier only
weakens the guards of later steps; a lost reply is modelled as a delivery without a counted vote.

Two models share the same rules:

- `single_roster`: three claims of one key at the witnesses of one roster; witnesses restart.
- `roster_change`: two claims of one key; the roster changes from {w0, w1, w2} to {w1, w2, w3}. A
  minority of the hosts, {P, w0, w1}, can be partitioned off although it contains a majority of the
  witnesses of this key, and the claimant P can be paused.

Time is modelled as constraints on the order of steps. Witnesses refuse the old roster only after
every host that is neither paused nor partitioned off has learned of the new one; claimants drop it
only after the witnesses refuse it and the open claims under it have reached their deadlines. The
overlap window relies on this assumption: witnesses refuse a roster one retention period after it
was superseded, claimants drop it after three, and hosts with quorum learn of a roster within one.

Invariants:

- `at_most_one_dispatch`: two claims of one key are never both dispatched.
- `not_run_is_true`: a granted claim that is released unused reports "not run" only if no other
  claim was dispatched before.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import enum
import functools
from typing import Any
from typing import TypeAlias

import attrs
import minicheck

from sesamehold_specs import specification

MAX_STATES = 8_000_000
IDLE, CLAIMING, GRANTED, DISPATCHED, RELEASED = range(5)
NO_HOLDER = 0
State: TypeAlias = tuple[Any, ...]
Step: TypeAlias = tuple[str, State]


class Rule(enum.Enum):
    """Rules of section 6.1 of the design; each mutant omits one of them."""

    MAJORITY = "1: a claim needs a majority"
    RESTARTED_ABSTAINS = "2: a restarted witness abstains"
    ALL_WITNESS_SETS = "3a: a majority in the witness set of each roster of the window"
    KNOWN_ROSTER = "3b: witnesses refuse rosters outside their window"
    LONG_WINDOW = "3c: the window is longer than a key is accepted"
    QUORUM = "4: a host without quorum neither claims nor grants"
    PAUSE_CHECK = "5a: a claim is not used after a pause"
    PROBE_AFTER_PAUSE = "5b: a paused host learns the roster before it claims"
    NO_EVICTION = "6: records are kept while their key is accepted"
    RELEASE_BY_ID = "7a: a release removes only its own claim"
    NO_USE_AFTER_RELEASE = "7b: a released claim is never dispatched"


ALL_RULES = frozenset(Rule)


def without(rule: Rule) -> frozenset[Rule]:
    """Returns all rules except the given one."""
    return ALL_RULES - {rule}


@attrs.frozen
class Bounds:
    """Bounds of the state space.

    Attributes:
        claims: Number of claims in `single_roster`.
        restarts: Number of witness restarts in `single_roster`.
    """

    claims: int
    restarts: int


BOUNDED = Bounds(claims=2, restarts=1)
FULL = Bounds(claims=3, restarts=2)


def _replace_at(values: tuple[int, ...], index: int, value: int) -> tuple[int, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _has_majority(rules: frozenset[Rule], votes: int, members: int) -> bool:
    size = members.bit_count()
    needed = size // 2 + 1 if Rule.MAJORITY in rules else size // 2
    return (votes & members).bit_count() >= needed


# ---- one roster ------------------------------------------------------------

# State: phase of each claim, votes of each claim, record of each witness (claim number + 1),
# bit set of the restarted witnesses, restarts left, whether a false "not run" was reported.


def _single_steps(rules: frozenset[Rule], witnesses: int) -> Callable[[State], list[Step]]:
    members = (1 << witnesses) - 1

    def steps(state: State) -> list[Step]:
        return [
            *(step for claim in range(len(state[0])) for step in claim_steps(state, claim)),
            *(step for witness in range(witnesses) for step in witness_steps(state, witness)),
        ]

    def claim_steps(state: State, claim: int) -> Iterator[Step]:
        phases, votes, records, restarted, restarts, false_not_run = state

        def in_phase(phase: int, falsely_not_run: bool = False) -> State:
            return (
                _replace_at(phases, claim, phase),
                votes,
                records,
                restarted,
                restarts,
                false_not_run or falsely_not_run,
            )

        match phases[claim]:
            case 0:
                yield f"claim {claim}", in_phase(CLAIMING)
            case 1:
                if _has_majority(rules, votes[claim], members):
                    yield f"grant {claim}", in_phase(GRANTED)
                yield f"give up {claim}", in_phase(RELEASED)
            case 2:
                yield f"dispatch {claim}", in_phase(DISPATCHED)
                yield f"withdraw {claim}", in_phase(RELEASED, DISPATCHED in phases)
            case 4:
                granted = _has_majority(rules, votes[claim], members)
                if granted and Rule.NO_USE_AFTER_RELEASE not in rules:
                    yield f"dispatch released {claim}", in_phase(DISPATCHED)

    def witness_steps(state: State, witness: int) -> Iterator[Step]:
        phases, votes, records, restarted, restarts, false_not_run = state
        bit = 1 << witness
        for claim, phase in enumerate(phases):
            if phase == IDLE:
                continue
            holder = records[witness]
            abstains = restarted & bit and Rule.RESTARTED_ABSTAINS in rules
            if holder == claim + 1 or (holder == NO_HOLDER and not abstains):
                recorded = _replace_at(records, witness, claim + 1)
                lost = (phases, votes, recorded, restarted, restarts, false_not_run)
                yield f"w{witness} grants {claim}, reply lost", lost
                counts = phase == CLAIMING or Rule.NO_USE_AFTER_RELEASE not in rules
                counted = _replace_at(votes, claim, votes[claim] | bit if counts else votes[claim])
                yield f"w{witness} grants {claim}", (phases, counted, *lost[2:])
            released = phase == RELEASED and holder != NO_HOLDER
            if released and (holder == claim + 1 or Rule.RELEASE_BY_ID not in rules):
                after_release = _replace_at(records, witness, NO_HOLDER)
                yield (
                    f"w{witness} releases {claim}",
                    (phases, votes, after_release, restarted, restarts, false_not_run),
                )
        without_record = _replace_at(records, witness, NO_HOLDER)
        if restarts:
            yield (
                f"w{witness} restarts",
                (phases, votes, without_record, restarted | bit, restarts - 1, false_not_run),
            )
        if Rule.NO_EVICTION not in rules and records[witness] != NO_HOLDER:
            yield (
                f"w{witness} evicts",
                (phases, votes, without_record, restarted, restarts, false_not_run),
            )

    return steps


def single_roster(rules: frozenset[Rule], bounds: Bounds) -> minicheck.Protocol:
    """Returns the model of claims under one roster of three witnesses."""
    count = bounds.claims
    return minicheck.Protocol(
        name="execution-claim/single-roster",
        candidate=False,
        fields=("phases", "votes", "records", "young", "restarts", "lied"),
        initial=((IDLE,) * count, (0,) * count, (NO_HOLDER,) * 3, 0, bounds.restarts, False),
        transitions=_single_steps(rules, 3),
        invariants={
            "at_most_one_dispatch": lambda state: state["phases"].count(DISPATCHED) <= 1,
            "not_run_is_true": lambda state: not state["lied"],
        },
        goal=lambda state: all(phase in (DISPATCHED, RELEASED) for phase in state["phases"]),
    )


# ---- change of the roster --------------------------------------------------

OLD, BOTH, NEW = range(3)
OLD_SET, NEW_SET = 0b0111, 0b1110
# Key: not created; a UUIDv7 created before all witnesses refused the old roster; a UUIDv7 created
# after that; a key of unknown age.
NO_KEY, EARLY_KEY, LATE_KEY, UNDATED_KEY = range(4)
RUNNING, PAUSED, WOKEN = range(3)
# Claimants. A partition separates P, w0 and w1 (view groups 0 and 2) from the other hosts.
P, Q = 0, 1


@attrs.frozen
class Scope:
    """Events that `roster_change` covers in addition to the roster change.

    Attributes:
        cut: A partition can separate {P, w0, w1} and heal.
        pause: P can be paused and resumed.
        stuck: P never learns of the new roster although it is neither partitioned nor paused.
        undated_key: The key can be one of unknown age.
        releases: Claims can be released; the state space without releases is a subset of the one
            with them.
    """

    cut: bool = False
    pause: bool = False
    stuck: bool = False
    undated_key: bool = True
    releases: bool = True

    @property
    def label(self) -> str:
        """Returns the suffix of the model name."""
        names = ("cut", "pause", "stuck")
        return "".join(f"-{name}" for name in names if getattr(self, name))


@attrs.define
class RosterState:
    """State of `roster_change`.

    Attributes:
        published: Whether the new roster is published.
        key: Kind of the key, by the time of its creation.
        cut: Whether {P, w0, w1} is partitioned off now.
        pause: Pause state of P; WOKEN from the end of the pause until it runs again.
        paused_in_claim: Whether P has been paused since it opened its claim.
        views: Roster views of P, Q, {w0, w1} and {w2, w3}.
        windows: Roster view under which each claim was opened.
        phases: Phase of each claim.
        votes: Bit set of the witnesses that granted each claim.
        records: Claim number + 1 that each witness recorded, or NO_HOLDER.
    """

    published: bool = False
    key: int = NO_KEY
    cut: bool = False
    pause: int = RUNNING
    paused_in_claim: bool = False
    views: tuple[int, ...] = (OLD, OLD, OLD, OLD)
    windows: tuple[int, ...] = (OLD, OLD)
    phases: tuple[int, ...] = (IDLE, IDLE)
    votes: tuple[int, ...] = (0, 0)
    records: tuple[int, ...] = (NO_HOLDER,) * 4


_FIELDS = tuple(field.name for field in attrs.fields(RosterState))


def _witness_sets(rules: frozenset[Rule], window: int) -> tuple[int, ...]:
    if window == BOTH and Rule.ALL_WITNESS_SETS in rules:
        return (OLD_SET, NEW_SET)
    return (OLD_SET,) if window == OLD else (NEW_SET,)


def _is_cut(state: RosterState, group: int) -> bool:
    return state.cut and group in (0, 2)


def _may_lag(scope: Scope, state: RosterState, group: int) -> bool:
    """Returns whether a host may keep an old view for longer than the overlap window."""
    late = scope.stuck or state.pause != RUNNING
    return _is_cut(state, group) or (group == P and late)


def _all_refuse_old(state: RosterState) -> bool:
    """Returns whether all witnesses refuse claims under the old roster."""
    return all(state.views[group] == NEW or _is_cut(state, group) for group in (2, 3))


def _environment_steps(
    rules: frozenset[Rule], scope: Scope, state: RosterState
) -> Iterator[tuple[str, RosterState]]:
    all_know = all(
        view != OLD or _may_lag(scope, state, group) for group, view in enumerate(state.views)
    )
    if not state.published:
        yield "publish", attrs.evolve(state, published=True)
    if state.key == NO_KEY:
        yield "make key", attrs.evolve(state, key=LATE_KEY if _all_refuse_old(state) else EARLY_KEY)
        if scope.undated_key:
            yield "make ageless key", attrs.evolve(state, key=UNDATED_KEY)
    if state.cut:
        yield "heal", _after_heal(state)
    elif scope.cut:
        yield "cut", attrs.evolve(state, cut=True)
    if state.pause == RUNNING and scope.pause:
        in_claim = state.paused_in_claim or state.phases[P] in (CLAIMING, GRANTED)
        yield "pause P", attrs.evolve(state, pause=PAUSED, paused_in_claim=in_claim)
    elif state.pause == PAUSED:
        yield "wake P", attrs.evolve(state, pause=WOKEN)
    elif state.pause == WOKEN and (not state.cut or Rule.PROBE_AFTER_PAUSE not in rules):
        learned = _with_new_roster(state, P) if Rule.PROBE_AFTER_PAUSE in rules else state
        yield "P runs", attrs.evolve(learned, pause=RUNNING)
    for group in range(int(scope.stuck), 4):
        moved = _advance_view(state, group, all_know=all_know)
        if moved is not None:
            yield f"view of {group}", moved


def _after_heal(state: RosterState) -> RosterState:
    # A host that lost quorum participates again only after acknowledged probes, and these carry the
    # roster version.
    healed = attrs.evolve(state, cut=False)
    return (
        _with_new_roster(_with_new_roster(healed, 2), P)
        if state.pause == RUNNING
        else _with_new_roster(healed, 2)
    )


def _with_new_roster(state: RosterState, group: int) -> RosterState:
    if not state.published or state.views[group] != OLD:
        return state
    return attrs.evolve(state, views=_replace_at(state.views, group, BOTH))


def _advance_view(state: RosterState, group: int, *, all_know: bool) -> RosterState | None:
    if _is_cut(state, group) or (group == P and state.pause == PAUSED):
        return None
    if state.views[group] == OLD and state.published:
        return _with_new_roster(state, group)
    if state.views[group] != BOTH or not all_know:
        return None
    if group in (P, Q) and not _all_refuse_old(state):
        return None
    for claim, phase in enumerate(state.phases):
        old = state.windows[claim] == OLD and phase in (CLAIMING, GRANTED)
        if old and not (claim == P and (state.pause != RUNNING or state.paused_in_claim)):
            # The deadline of a claim is shorter than the overlap window, so an open claim under the
            # old roster ends first.
            return None
    return attrs.evolve(state, views=_replace_at(state.views, group, NEW))


def _claimant_steps(
    rules: frozenset[Rule], scope: Scope, state: RosterState, claim: int
) -> Iterator[tuple[str, RosterState]]:
    if claim == P and state.pause != RUNNING:
        return
    quorum = not _is_cut(state, claim) or Rule.QUORUM not in rules

    def in_phase(phase: int) -> RosterState:
        moved = attrs.evolve(state, phases=_replace_at(state.phases, claim, phase))
        if phase not in (DISPATCHED, RELEASED):
            return moved
        # The votes and pauses of an ended claim have no further effect; clearing them merges states
        # that are otherwise equal.
        still_relevant = moved.paused_in_claim and claim != P
        return attrs.evolve(
            moved, votes=_replace_at(moved.votes, claim, 0), paused_in_claim=still_relevant
        )

    view = state.views[claim]
    # Callers do not repeat a key of unknown age this long after it may have run.
    too_late = state.key == UNDATED_KEY and DISPATCHED in state.phases
    expired = view == NEW and (too_late or (state.key == EARLY_KEY and Rule.LONG_WINDOW in rules))
    sets = _witness_sets(rules, state.windows[claim])
    match state.phases[claim]:
        case 0 if quorum and state.key != NO_KEY and not expired:
            opened = attrs.evolve(
                in_phase(CLAIMING), windows=_replace_at(state.windows, claim, view)
            )
            yield f"claim {claim}", opened
        case 1:
            if all(_has_majority(rules, state.votes[claim], members) for members in sets):
                yield f"grant {claim}", in_phase(GRANTED)
            if scope.releases:
                yield f"give up {claim}", in_phase(RELEASED)
        case 2:
            paused = claim == P and state.paused_in_claim and Rule.PAUSE_CHECK in rules
            if quorum and not paused:
                yield f"dispatch {claim}", in_phase(DISPATCHED)
            if scope.releases:
                yield f"withdraw {claim}", in_phase(RELEASED)


def _witness_steps(
    rules: frozenset[Rule], state: RosterState, witness: int
) -> Iterator[tuple[str, RosterState]]:
    group = 2 if witness < 2 else 3
    bit = 1 << witness
    for claim, phase in enumerate(state.phases):
        asked = any(bit & members for members in _witness_sets(rules, state.windows[claim]))
        if phase == IDLE or not asked or (state.cut and (claim == P) != (group == 2)):
            continue
        holder = state.records[witness]
        if phase == RELEASED:
            if holder == claim + 1:
                after_release = _replace_at(state.records, witness, NO_HOLDER)
                yield f"w{witness} releases {claim}", attrs.evolve(state, records=after_release)
            continue
        if holder == claim + 1 or (holder == NO_HOLDER and _may_grant(rules, state, group, claim)):
            counted = state.votes[claim] | bit if phase == CLAIMING else state.votes[claim]
            granted = attrs.evolve(
                state,
                records=_replace_at(state.records, witness, claim + 1),
                votes=_replace_at(state.votes, claim, counted),
            )
            yield f"w{witness} grants {claim}", granted


def _may_grant(rules: frozenset[Rule], state: RosterState, group: int, claim: int) -> bool:
    if _is_cut(state, group) and Rule.QUORUM in rules:
        return False
    newest_is_old = state.windows[claim] == OLD
    known = state.views[group] != NEW if newest_is_old else state.views[group] != OLD
    return known or Rule.KNOWN_ROSTER not in rules


def roster_change(rules: frozenset[Rule], scope: Scope) -> minicheck.Protocol:
    """Returns the model of two claims during a change of the roster."""

    def transitions(packed: State) -> list[Step]:
        state = RosterState(*packed)
        found = [
            *_environment_steps(rules, scope, state),
            *(step for claim in (P, Q) for step in _claimant_steps(rules, scope, state, claim)),
            *(step for witness in range(4) for step in _witness_steps(rules, state, witness)),
        ]
        return [(label, _pack(after)) for label, after in found]

    return minicheck.Protocol(
        name=f"execution-claim/roster-change{scope.label}",
        candidate=False,
        fields=_FIELDS,
        initial=_pack(RosterState()),
        transitions=transitions,
        invariants={"at_most_one_dispatch": lambda state: state["phases"].count(DISPATCHED) <= 1},
    )


def _pack(state: RosterState) -> State:
    return tuple(getattr(state, name) for name in _FIELDS)


# ---- checked models --------------------------------------------------------


def models(*, full: bool) -> list[minicheck.Protocol]:
    """Returns the models that must hold; the bounded ones are subsets of the full ones.

    The full models include one without PROBE_AFTER_PAUSE. This rule alone is not needed for safety,
    because witnesses refuse the claims of a host that resumes with the old roster.
    """
    if full:
        return [
            single_roster(ALL_RULES, FULL),
            roster_change(ALL_RULES, Scope(cut=True, pause=True)),
            roster_change(ALL_RULES, Scope(stuck=True)),
            roster_change(without(Rule.PROBE_AFTER_PAUSE), Scope(pause=True)),
        ]
    return [
        single_roster(ALL_RULES, BOUNDED),
        roster_change(ALL_RULES, Scope(cut=True, undated_key=False)),
        roster_change(ALL_RULES, Scope(pause=True, releases=False)),
        roster_change(ALL_RULES, Scope(stuck=True)),
    ]


def mutants() -> dict[str, minicheck.Protocol]:
    """Returns models that omit one rule, by rule name; each has a counterexample.

    PROBE_AFTER_PAUSE is omitted together with KNOWN_ROSTER, see `models`.
    """
    small = Bounds(claims=2, restarts=1)
    paused = Scope(pause=True, releases=False)
    no_probe = ALL_RULES - {Rule.PROBE_AFTER_PAUSE, Rule.KNOWN_ROSTER}
    return {
        Rule.MAJORITY.value: single_roster(without(Rule.MAJORITY), small),
        Rule.RESTARTED_ABSTAINS.value: single_roster(without(Rule.RESTARTED_ABSTAINS), small),
        Rule.ALL_WITNESS_SETS.value: roster_change(
            without(Rule.ALL_WITNESS_SETS), Scope(releases=False)
        ),
        Rule.KNOWN_ROSTER.value: roster_change(without(Rule.KNOWN_ROSTER), Scope(stuck=True)),
        Rule.LONG_WINDOW.value: roster_change(without(Rule.LONG_WINDOW), Scope(releases=False)),
        Rule.QUORUM.value: roster_change(
            without(Rule.QUORUM), Scope(cut=True, undated_key=False, releases=False)
        ),
        Rule.PAUSE_CHECK.value: roster_change(without(Rule.PAUSE_CHECK), paused),
        Rule.PROBE_AFTER_PAUSE.value: roster_change(no_probe, paused),
        Rule.NO_EVICTION.value: single_roster(without(Rule.NO_EVICTION), Bounds(2, 0)),
        Rule.RELEASE_BY_ID.value: single_roster(without(Rule.RELEASE_BY_ID), Bounds(3, 0)),
        Rule.NO_USE_AFTER_RELEASE.value: single_roster(without(Rule.NO_USE_AFTER_RELEASE), small),
    }


def _specification(model: minicheck.Protocol, *, full: bool) -> specification.Specification:
    return specification.Specification(
        name=f"{model.name}{'/full' if full else ''}",
        protocol=lambda: model,
        max_states=MAX_STATES,
        full_only=full,
    )


def _specifications() -> list[specification.Specification]:
    bounded = [_specification(model, full=False) for model in models(full=False)]
    full = [_specification(model, full=True) for model in models(full=True)]
    builders = {rule: functools.partial(_identity, model) for rule, model in mutants().items()}
    return [attrs.evolve(bounded[0], mutants=builders), *bounded[1:], *full]


def _identity(model: minicheck.Protocol) -> minicheck.Protocol:
    return model


SPECIFICATIONS = _specifications()
