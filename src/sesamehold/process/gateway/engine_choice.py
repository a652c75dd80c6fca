"""Chooses an engine for a request by the time until its first event, from the load of all hosts.

The load that it answers: many hosts send long prompts to engines of uneven speed, and each sees
only its own few requests; some shared parts are in more prompts than one engine can serve.

All hosts know the same load, some time late. If each took the best of all engines, they would all
take the same one, so a request is compared at a few engines only: the homes of the last shared part
of its prompt, or engines drawn for this request if there is none.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import enum
import heapq
import itertools
import math

import attrs

from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import targets
from sesamehold.version import rendezvous
from sesamehold.version import routing

# Hosts from which on the requests of the others matter more than a host's own.
MIN_HOSTS = 16
# Reports of other hosts from which on they stand for the whole fleet.
MIN_REPORTS = 8
# Engines drawn for a request without shared parts.
DRAWN_COUNT = 2
# Homes of a prompt part for which there is room.
MIN_HOMES = 2
# Time that reading a prompt again costs, as a multiple of the time that the request itself waits:
# the requests behind it wait for as long.
REREAD_WEIGHT = 3.0
# Reading of an unknown engine, and the number of observations that this assumption stands for.
INITIAL_BASE_MS = 50.0
INITIAL_MS_PER_TOKEN = 0.02
INITIAL_WEIGHT = 4.0
INITIAL_TOKENS = 4_000.0
# Part of the weight of all observations that is left after the next one.
RETAINED_WEIGHT = 0.99


@attrs.frozen
class EnginePreferences:
    """Properties of a request on which the cost of an engine depends.

    Attributes:
        session_id: Identity of the last part of the prompt, which engines cache; None without one.
        cached_tokens: Number of prompt tokens that may be cached.
        input_zone: Availability zone of the stage results, empty if there are none.
        input_size_bytes: Size of the stage results.
        request_id: Identity of the request, by which engines are drawn.
        prompt_tokens: Number of tokens of the whole prompt.
        output_tokens: Maximum number of generated tokens.
    """

    session_id: str | None
    cached_tokens: int = 0
    input_zone: str = ""
    input_size_bytes: int = 0
    request_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0

    def unread_tokens(self, *, is_home: bool) -> int:
        """Returns the prompt tokens that an engine reads."""
        return max(0, self.prompt_tokens - (self.cached_tokens if is_home else 0))


@attrs.define(eq=False)
class ReadingPace:
    """Time to the first event against the tokens read, over all engines of a host.

    It is a least-squares line through the latest observations. Engines differ from it by a factor
    each, which is kept with the other observations of the engine.

    >>> pace = ReadingPace()
    >>> for tokens in (1_000, 2_000) * 500:
    ...     pace.record(tokens, 100 + tokens * 0.05)
    >>> round(pace.expected_ms(3_000))
    250
    """

    _weight: float = INITIAL_WEIGHT
    _tokens: float = INITIAL_WEIGHT * INITIAL_TOKENS / 2
    _ms: float = INITIAL_WEIGHT * (INITIAL_BASE_MS + INITIAL_MS_PER_TOKEN * INITIAL_TOKENS / 2)
    # The assumption stands for observations of no tokens and of INITIAL_TOKENS, half of each.
    _tokens_squared: float = INITIAL_WEIGHT / 2 * INITIAL_TOKENS**2
    _tokens_ms: float = (
        INITIAL_WEIGHT
        / 2
        * INITIAL_TOKENS
        * (INITIAL_BASE_MS + INITIAL_MS_PER_TOKEN * INITIAL_TOKENS)
    )

    def record(self, tokens: int, latency_ms: float) -> None:
        """Records the time to the first event of a request."""
        self._weight = self._weight * RETAINED_WEIGHT + 1
        self._tokens = self._tokens * RETAINED_WEIGHT + tokens
        self._ms = self._ms * RETAINED_WEIGHT + latency_ms
        self._tokens_squared = self._tokens_squared * RETAINED_WEIGHT + tokens**2
        self._tokens_ms = self._tokens_ms * RETAINED_WEIGHT + tokens * latency_ms

    @property
    def ms_per_token(self) -> float:
        """Returns the time to read one token."""
        variance = self._tokens_squared * self._weight - self._tokens**2
        if variance <= 0:
            return INITIAL_MS_PER_TOKEN
        return max(0.0, (self._tokens_ms * self._weight - self._tokens * self._ms) / variance)

    @property
    def mean_tokens(self) -> float:
        """Returns the mean number of tokens that were read for a request."""
        return self._tokens / self._weight

    @property
    def base_ms(self) -> float:
        """Returns the time to the first event of a prompt without tokens."""
        return max(1.0, (self._ms - self.ms_per_token * self._tokens) / self._weight)

    def expected_ms(self, tokens: float) -> float:
        """Returns the expected time to the first event, with the tokens read before it."""
        return self.base_ms + self.ms_per_token * tokens


@attrs.frozen
class EngineState:
    """What a host knows of one engine.

    Attributes:
        target: The engine.
        work: Open work of all hosts there.
        slowdown: Its times as a multiple of those that are expected.
        is_slow: Whether it becomes a home only after the others.
        penalty: Factor on its cost for recent failures, at least 1.
        extra_ms: Cost of the way to it.
        is_backing_off: Whether it is to be left alone for a while.
    """

    target: targets.Target
    work: engine_load.EngineWork
    slowdown: float
    is_slow: bool
    penalty: float
    extra_ms: float
    is_backing_off: bool

    def start_ms(self, pool: routing.EnginePool, pace: ReadingPace) -> float:
        """Returns the expected time to the first event of a prompt that need not be read."""
        # An engine whose slots are all in use takes about twice as long.
        busy_ms = pace.base_ms * self.work.requests / max(1, pool.slots)
        queued_ms = pace.ms_per_token * self.work.tokens
        return self.penalty * self.slowdown * (pace.base_ms + busy_ms + queued_ms)

    def cost_ms(self, tokens: float, pool: routing.EnginePool, pace: ReadingPace) -> float:
        """Returns the cost of a request for which the engine reads a number of tokens."""
        reading_ms = self.slowdown * pace.ms_per_token * tokens
        return self.start_ms(pool, pace) + self.penalty * (reading_ms + self.extra_ms)

    def is_usable(self, size_tokens: int, pool: routing.EnginePool, pace: ReadingPace) -> bool:
        """Returns whether the engine has a slot and memory for a request, and is not left alone."""
        held_tokens = self.work.requests * pace.mean_tokens
        return (
            not self.is_backing_off
            and self.work.requests < pool.slots
            and held_tokens + size_tokens <= pool.cache_tokens
        )


class Choice(enum.Enum):
    """What an engine is for the shared parts of a prompt."""

    FIRST_HOME = "first-home"
    FURTHER_HOME = "further-home"
    NO_HOME = "no-home"


@attrs.frozen
class EngineOrder:
    """Engines in the order in which a request tries them.

    Attributes:
        engines: The engines, best first.
        homes: Engines that keep the shared parts of the prompt, the first home first; empty if
            there are no such parts.
        expected_ms: Cost of each engine by its `target_id`.
    """

    engines: list[targets.Target]
    homes: list[str]
    expected_ms: dict[str, float]

    def choice_of(self, target: targets.Target) -> Choice:
        """Returns what an engine is for the shared parts of the prompt."""
        if target.target_id not in self.homes:
            return Choice.NO_HOME
        is_first = target.target_id == self.homes[0]
        return Choice.FIRST_HOME if is_first else Choice.FURTHER_HOME


def order_engines(
    engines: Sequence[EngineState],
    preferences: EnginePreferences,
    pool: routing.EnginePool,
    pace: ReadingPace,
) -> EngineOrder:
    """Returns the engines of a service: the best of a few first, full ones and failing ones last.

    A request leaves the first home of its prompt only for an engine at which it waits so much less
    that this makes up for reading the shared parts again.
    """
    by_name = {engine.target.target_id: engine for engine in engines}
    size_tokens = preferences.prompt_tokens + preferences.output_tokens
    starts_ms = {
        name: engine.start_ms(pool, pace)
        for name, engine in by_name.items()
        if engine.is_usable(size_tokens, pool, pace)
    }
    homes: list[str] = []
    tried: set[str] = set()
    if preferences.session_id is None:
        names = [name for name, engine in by_name.items() if not engine.is_slow]
        tried.update(draw(names or by_name, preferences.request_id))
    else:
        ranked = rendezvous.ranked(by_name, preferences.session_id)
        ranked.sort(key=lambda name: by_name[name].is_slow)
        reread_ms = pace.ms_per_token * preferences.cached_tokens
        homes = _homes(ranked, starts_ms, max(reread_ms, pace.base_ms))
        near = (name for name in ranked if by_name[name].target.zone == preferences.input_zone)
        tried.update(homes, itertools.islice(near, 1))
    costs_ms = {}
    for name, engine in by_name.items():
        is_home = homes[:1] == [name]
        tokens = float(preferences.unread_tokens(is_home=is_home))
        if not is_home:
            tokens += (REREAD_WEIGHT - 1) * preferences.cached_tokens
        costs_ms[name] = engine.cost_ms(tokens, pool, pace)
    order = sorted(
        by_name, key=lambda name: (name not in starts_ms, name not in tried, costs_ms[name])
    )
    return EngineOrder([by_name[name].target for name in order], homes, costs_ms)


def _homes(ranked: Sequence[str], starts_ms: Mapping[str, float], margin_ms: float) -> list[str]:
    """Returns the homes of a part: the fewest of the ranked engines of which one has room.

    An engine has room if its first events are not later than the mean by more than a margin. All
    hosts agree on the homes as far as they know the same load. A part that many ask for fills its
    homes and gets more of them, and loses them when its demand falls.

    Args:
        ranked: All engines in the order in which they become homes.
        starts_ms: Expected time to the first event, only of usable engines.
        margin_ms: The margin.
    """
    limit_ms = sum(starts_ms.values()) / max(1, len(starts_ms)) + margin_ms
    count = MIN_HOMES
    while count < len(ranked) and not any(
        starts_ms.get(name, math.inf) <= limit_ms for name in ranked[:count]
    ):
        count += 1
    return list(ranked[:count])


def draw(names: Iterable[str], request_id: str) -> list[str]:
    """Returns the engines drawn for a request, the same ones each time it is placed."""
    return heapq.nlargest(DRAWN_COUNT, names, key=lambda name: rendezvous.weight(name, request_id))
