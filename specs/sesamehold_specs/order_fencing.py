"""Specification: orders to one target while its order owner changes.

Host A owns the target's pool under the first roster, host B under the second one. Time goes in
ticks. A message to the target may arrive at any later tick if the engine checks fencing numbers.
For an engine that ignores them, a message arrives within `DELAY_TICKS`, the time-out of an order.

Invariants:

- `newest_owner_wins`: once an order of B took effect, no order of A takes effect.
- `numbers_grow`: every fencing number of B is larger than every number of A.

Rules, each with a mutant without it:

- `hold_off`: B waits after it confirmed the second roster with a majority, longer than A can act on
  the first one.
- `quorum`: A sends only if it confirmed its roster with a majority within `QUORUM_TICKS`. The check
  is made when the order is sent, so a host that was paused after it prepared an order fails it and
  needs no rule of its own.
- `engine_check`: an engine that checks numbers refuses an order with a smaller one than the largest
  that it has seen. Its mutant is run with the engine that is said to check and lets messages be
  late.
"""

from __future__ import annotations

from collections.abc import Iterator
import functools

import attrs
import minicheck

from sesamehold_specs import specification

QUORUM_TICKS = 1
DELAY_TICKS = 1
SKEW_TICKS = 1
HOLD_OFF_TICKS = QUORUM_TICKS + DELAY_TICKS + SKEW_TICKS + 1

NOTHING = -1
MAX_STATES = 200_000


@attrs.frozen
class Rules:
    """Switches of the protocol; a mutant turns one of them off."""

    hold_off: bool = True
    quorum: bool = True
    engine_check: bool = True


@attrs.frozen
class Message:
    """An order on its way to the target."""

    owner: str
    number: int
    sent_tick: int


@attrs.frozen
class State:
    """Global state of the specification.

    Attributes:
        tick: Time.
        published: Whether the second roster is published.
        a_knows: Whether A learned of the second roster.
        a_confirmed_tick: Last tick at which A had a majority for the first roster.
        a_prepared: Number that A is about to send, or NOTHING.
        a_orders_left: Orders that A can still prepare, which bounds the model.
        a_largest: Largest number that A sent.
        b_confirmed_tick: Tick at which B confirmed the second roster with a majority, or NOTHING.
        b_smallest: Smallest number that B sent, or NOTHING.
        messages: Orders on their way.
        engine_largest: Largest number that the engine has seen.
        b_effective: Whether an order of B took effect.
        overtaken: Whether an order of A took effect after one of B.
    """

    tick: int = 0
    published: bool = False
    a_knows: bool = False
    a_confirmed_tick: int = 0
    a_prepared: int = NOTHING
    a_orders_left: int = 2
    a_largest: int = NOTHING
    b_confirmed_tick: int = NOTHING
    b_smallest: int = NOTHING
    messages: frozenset[Message] = frozenset()
    engine_largest: int = NOTHING
    b_effective: bool = False
    overtaken: bool = False


def _clock_of_a(state: State) -> int:
    # A's wall clock runs ahead by the allowed skew, which is the unfavourable case.
    return state.tick + SKEW_TICKS


def _a_may_send(state: State, rules: Rules) -> bool:
    if state.a_prepared == NOTHING or state.a_knows:
        return False
    return not rules.quorum or state.tick - state.a_confirmed_tick <= QUORUM_TICKS


def _b_may_send(state: State, rules: Rules) -> bool:
    if state.b_confirmed_tick == NOTHING or state.b_smallest != NOTHING:
        return False
    return not rules.hold_off or state.tick - state.b_confirmed_tick >= HOLD_OFF_TICKS


def _arrivals(state: State, rules: Rules, *, checks: bool) -> Iterator[tuple[str, State]]:
    for message in state.messages:
        late = state.tick - message.sent_tick > DELAY_TICKS
        if late and not checks:
            # Expired; a lost message is one that never takes a step.
            continue
        refused = checks and rules.engine_check and message.number <= state.engine_largest
        if refused:
            yield "refuse", attrs.evolve(state, messages=state.messages - {message})
            continue
        yield (
            f"apply-{message.owner}",
            attrs.evolve(
                state,
                messages=state.messages - {message},
                engine_largest=max(state.engine_largest, message.number),
                b_effective=state.b_effective or message.owner == "B",
                overtaken=state.overtaken or (message.owner == "A" and state.b_effective),
            ),
        )


def _steps_of_a(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if not state.a_knows and state.a_prepared == NOTHING and state.a_orders_left > 0:
        yield (
            "A-prepare",
            attrs.evolve(
                state, a_prepared=_clock_of_a(state), a_orders_left=state.a_orders_left - 1
            ),
        )
    if _a_may_send(state, rules):
        message = Message("A", state.a_prepared, state.tick)
        yield (
            "A-send",
            attrs.evolve(
                state,
                messages=state.messages | {message},
                a_prepared=NOTHING,
                a_largest=max(state.a_largest, state.a_prepared),
            ),
        )
    if state.published and not state.a_knows:
        yield "A-learn", attrs.evolve(state, a_knows=True)
    if state.b_confirmed_tick == NOTHING:
        # Two majorities intersect: once a majority knows the second roster, A learns of it instead
        # of confirming the first one.
        yield "A-confirm", attrs.evolve(state, a_confirmed_tick=state.tick)


def _steps_of_b(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.published and state.b_confirmed_tick == NOTHING:
        yield "B-confirm", attrs.evolve(state, b_confirmed_tick=state.tick)
    if _b_may_send(state, rules):
        message = Message("B", state.tick, state.tick)
        yield (
            "B-send",
            attrs.evolve(state, messages=state.messages | {message}, b_smallest=state.tick),
        )


def protocol(
    rules: Rules = Rules(), *, checks: bool = True, last_tick: int = 6
) -> minicheck.Protocol:
    """Returns the specification for an engine that checks or ignores fencing numbers."""

    def transitions(wrapped: tuple[State]) -> list[tuple[str, tuple[State]]]:
        (state,) = wrapped
        steps = [
            *_steps_of_a(state, rules),
            *_steps_of_b(state, rules),
            *_arrivals(state, rules, checks=checks),
        ]
        if not state.published:
            steps.append(("publish", attrs.evolve(state, published=True)))
        if state.tick < last_tick:
            steps.append(("tick", attrs.evolve(state, tick=state.tick + 1)))
        return [(label, (after,)) for label, after in steps if after != state]

    return minicheck.Protocol(
        name=f"order-fencing-{'checking' if checks else 'ignoring'}-engine",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "newest_owner_wins": lambda d: not d["state"].overtaken,
            "numbers_grow": lambda d: (
                d["state"].b_smallest == NOTHING or d["state"].b_smallest > d["state"].a_largest
            ),
        },
    )


def _specification(*, checks: bool, mutants: dict[str, Rules]) -> specification.Specification:
    return specification.Specification(
        name=protocol(checks=checks).name,
        protocol=lambda: protocol(checks=checks),
        max_states=MAX_STATES,
        mutants={
            rule: functools.partial(protocol, rules, checks=checks)
            for rule, rules in mutants.items()
        },
    )


SPECIFICATIONS = [
    _specification(
        checks=True,
        mutants={
            "hold-off": Rules(hold_off=False),
            "quorum": Rules(quorum=False),
            "engine check": Rules(engine_check=False),
        },
    ),
    _specification(
        checks=False,
        mutants={"hold-off": Rules(hold_off=False), "quorum": Rules(quorum=False)},
    ),
]
