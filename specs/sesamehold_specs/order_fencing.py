"""Specification: orders to one target while its order owner changes.

Host A owns the target's pool under the first roster, host B under the second one. Time is discrete,
in ticks. If the engine checks fencing numbers, a message to the target may arrive at any later
tick. If it ignores them, a message arrives within `DELAY_TICKS`, the timeout of an order, or is
lost.

Invariants:

- `newest_owner_wins`: after an order of B takes effect, no order of A takes effect.
- `numbers_grow`: every fencing number of B is larger than every fencing number of A.

Rules, each with a mutant that omits it:

- `hold_off`: after confirming the second roster with a majority, B waits for longer than A can act
  on the first one.
- `quorum`: A sends only if it confirmed its roster with a majority within `QUORUM_TICKS`. The check
  is made when the order is sent, so it also covers a host that was paused after preparing an order;
  pauses need no separate rule.
- `engine_check`: an engine that checks fencing numbers refuses an order whose number is not larger
  than the largest it has seen. Its mutant uses the model of a checking engine, in which messages
  may arrive late.
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

UNSET = -1
MAX_STATES = 200_000


@attrs.frozen
class Rules:
    """Rules of the protocol; each mutant disables one of them."""

    hold_off: bool = True
    quorum: bool = True
    engine_check: bool = True


@attrs.frozen
class Message:
    """An order in transit to the target."""

    owner: str
    number: int
    sent_tick: int


@attrs.frozen
class State:
    """Global state of the specification.

    Attributes:
        tick: Current time in ticks.
        published: Whether the second roster is published.
        a_knows: Whether A learned of the second roster.
        a_confirmed_tick: Last tick at which A had a majority for the first roster.
        a_prepared: Fencing number of the order that A has prepared but not sent, or UNSET.
        a_orders_left: Orders that A can still prepare; bounds the model.
        a_largest: Largest fencing number that A sent, or UNSET.
        b_confirmed_tick: Tick at which B confirmed the second roster with a majority, or UNSET.
        b_smallest: Smallest fencing number that B sent, or UNSET.
        messages: Orders in transit.
        engine_largest: Largest fencing number that the engine has seen, or UNSET.
        b_effective: Whether an order of B took effect.
        stale_order_applied: Whether an order of A took effect after one of B.
    """

    tick: int = 0
    published: bool = False
    a_knows: bool = False
    a_confirmed_tick: int = 0
    a_prepared: int = UNSET
    a_orders_left: int = 2
    a_largest: int = UNSET
    b_confirmed_tick: int = UNSET
    b_smallest: int = UNSET
    messages: frozenset[Message] = frozenset()
    engine_largest: int = UNSET
    b_effective: bool = False
    stale_order_applied: bool = False


def _host_a_clock(state: State) -> int:
    # A's wall clock is ahead by the maximum skew, which is the worst case.
    return state.tick + SKEW_TICKS


def _a_may_send(state: State, rules: Rules) -> bool:
    if state.a_prepared == UNSET or state.a_knows:
        return False
    return not rules.quorum or state.tick - state.a_confirmed_tick <= QUORUM_TICKS


def _b_may_send(state: State, rules: Rules) -> bool:
    if state.b_confirmed_tick == UNSET or state.b_smallest != UNSET:
        return False
    return not rules.hold_off or state.tick - state.b_confirmed_tick >= HOLD_OFF_TICKS


def _delivery_steps(state: State, rules: Rules, *, checks: bool) -> Iterator[tuple[str, State]]:
    for message in state.messages:
        expired = state.tick - message.sent_tick > DELAY_TICKS
        if expired and not checks:
            # The order has timed out. A lost message is one that is never delivered.
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
                stale_order_applied=state.stale_order_applied
                or (message.owner == "A" and state.b_effective),
            ),
        )


def _host_a_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if not state.a_knows and state.a_prepared == UNSET and state.a_orders_left > 0:
        yield (
            "A-prepare",
            attrs.evolve(
                state, a_prepared=_host_a_clock(state), a_orders_left=state.a_orders_left - 1
            ),
        )
    if _a_may_send(state, rules):
        message = Message("A", state.a_prepared, state.tick)
        yield (
            "A-send",
            attrs.evolve(
                state,
                messages=state.messages | {message},
                a_prepared=UNSET,
                a_largest=max(state.a_largest, state.a_prepared),
            ),
        )
    if state.published and not state.a_knows:
        yield "A-learn", attrs.evolve(state, a_knows=True)
    if state.b_confirmed_tick == UNSET:
        # Two majorities intersect: once a majority knows the second roster, A learns of it instead
        # of confirming the first one.
        yield "A-confirm", attrs.evolve(state, a_confirmed_tick=state.tick)


def _host_b_steps(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    if state.published and state.b_confirmed_tick == UNSET:
        yield "B-confirm", attrs.evolve(state, b_confirmed_tick=state.tick)
    if _b_may_send(state, rules):
        message = Message("B", state.tick, state.tick)
        yield (
            "B-send",
            attrs.evolve(state, messages=state.messages | {message}, b_smallest=state.tick),
        )


def protocol(
    rules: Rules = Rules(), *, engine_checks_fencing: bool = True, last_tick: int = 6
) -> minicheck.Protocol:
    """Returns the model for an engine that checks or ignores fencing numbers."""

    def transitions(packed: tuple[State]) -> list[tuple[str, tuple[State]]]:
        (state,) = packed
        steps = [
            *_host_a_steps(state, rules),
            *_host_b_steps(state, rules),
            *_delivery_steps(state, rules, checks=engine_checks_fencing),
        ]
        if not state.published:
            steps.append(("publish", attrs.evolve(state, published=True)))
        if state.tick < last_tick:
            steps.append(("tick", attrs.evolve(state, tick=state.tick + 1)))
        return [(label, (after,)) for label, after in steps if after != state]

    return minicheck.Protocol(
        name=f"order-fencing-{'checking' if engine_checks_fencing else 'ignoring'}-engine",
        candidate=False,
        fields=("state",),
        initial=(State(),),
        transitions=transitions,
        invariants={
            "newest_owner_wins": lambda d: not d["state"].stale_order_applied,
            "numbers_grow": lambda d: (
                d["state"].b_smallest == UNSET or d["state"].b_smallest > d["state"].a_largest
            ),
        },
    )


def _specification(*, checks: bool, mutants: dict[str, Rules]) -> specification.Specification:
    return specification.Specification(
        name=protocol(engine_checks_fencing=checks).name,
        protocol=lambda: protocol(engine_checks_fencing=checks),
        max_states=MAX_STATES,
        mutants={
            rule: functools.partial(protocol, rules, engine_checks_fencing=checks)
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
