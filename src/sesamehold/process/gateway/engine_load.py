"""Open work per engine: that of this host, and that which the other hosts report.

Each host repeats the newest reports that it knows, as many as fit into one datagram. In a large
fleet a host thus knows a sample of the others, and scales its sum to the size of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from sesamehold.process.gateway import targets

# Age at which a report says nothing any more, so that the work of a host that is gone is not
# counted for longer than the host counts as alive.
REPORT_LIFETIME_MS = 2_000
# Engines in one report; of more, those with the most work are reported.
MAX_ENGINES_PER_REPORT = 32
# Hosts whose reports are kept.
MAX_KNOWN_HOSTS = 1_024
# Largest counts in a report, more than one host can have at one engine.
MAX_REQUESTS = 65_535
MAX_TOKENS = 2**30
# Size of all reports in one datagram, of one report without engines, and of an engine in it.
REPORTS_CAPACITY_BYTES = 1_100
REPORT_SIZE_BYTES = 48
ENGINE_SIZE_BYTES = 10
# The sum over all reports is computed again after this time, as reports lose weight with their age.
SUM_REUSE_MS = 20


@attrs.frozen
class EngineWork:
    """Open work at one engine.

    Attributes:
        requests: Requests that wait or run there.
        tokens: Prompt tokens that the engine has still to read for them.
    """

    requests: float = 0
    tokens: float = 0


@attrs.frozen
class HostLoad:
    """Open work of one host at the engines, as of one moment.

    Attributes:
        address: Peer address of the host.
        incarnation: Unix time of its start in milliseconds.
        sequence: Number of the report since then.
        age_ms: Time since that moment.
        work: Work by `engine_key`, only for engines with work.
    """

    address: str
    incarnation: int
    sequence: int
    age_ms: int
    work: Mapping[int, EngineWork]

    @property
    def order(self) -> tuple[int, int]:
        """Returns what orders the reports of one host."""
        return (self.incarnation, self.sequence)

    @property
    def size_bytes(self) -> int:
        """Returns the approximate encoded size."""
        return REPORT_SIZE_BYTES + ENGINE_SIZE_BYTES * len(self.work)


def engine_key(target: targets.Target) -> int:
    """Returns the identity of an engine's start in reports, a hash of its incarnation."""
    return xxhash.xxh32_intdigest(target.incarnation.encode())


@attrs.define(eq=False)
class _OwnWork:
    requests: int = 0
    tokens: int = 0


@attrs.define(eq=False)
class OpenRequest:
    """Work of one attempt at an engine, counted until it ends.

    Attributes:
        unread_tokens: Prompt tokens that the engine has still to read for it.
    """

    _load: EngineLoad
    _key: int
    unread_tokens: int
    _is_open: bool = True

    def on_first_event(self) -> None:
        """Removes the tokens of the prompt, which has been read."""
        self._load.count(self._key, 0, -self.unread_tokens)
        self.unread_tokens = 0

    def end(self) -> None:
        """Removes the request; has no effect when repeated."""
        if self._is_open:
            self._is_open = False
            self.on_first_event()
            self._load.count(self._key, -1, 0)


@attrs.frozen
class _KnownReport:
    report: HostLoad
    made_ms: int


@attrs.define(eq=False)
class EngineLoad:
    """Open work at the engines as one host knows it."""

    _address: str
    _incarnation: int
    _own: dict[int, _OwnWork] = attrs.field(factory=dict)
    _sequence: int = 0
    _known: dict[str, _KnownReport] = attrs.field(factory=dict)
    _sums: dict[int, EngineWork] = attrs.field(factory=dict)
    _weight: float = 0.0
    _summed_ms: int | None = None

    # ---- work of this host ---------------------------------------------------------------------

    def start(self, target: targets.Target, unread_tokens: int) -> OpenRequest:
        """Counts an attempt that starts; the caller ends it."""
        key = engine_key(target)
        self.count(key, 1, unread_tokens)
        return OpenRequest(self, key, unread_tokens)

    def count(self, key: int, requests: int, tokens: int) -> None:
        """Adds to the work of this host at one engine."""
        own = self._own.setdefault(key, _OwnWork())
        own.requests += requests
        own.tokens += tokens
        if own.requests <= 0:
            del self._own[key]

    def own(self, target: targets.Target) -> EngineWork:
        """Returns the work of this host at an engine."""
        own = self._own.get(engine_key(target))
        return EngineWork() if own is None else EngineWork(own.requests, own.tokens)

    # ---- reports -------------------------------------------------------------------------------

    def report(self) -> HostLoad:
        """Returns the report of this host as of now."""
        self._sequence += 1
        busiest = sorted(
            self._own.items(), key=lambda item: (item[1].tokens, item[1].requests), reverse=True
        )
        work = {
            key: EngineWork(min(own.requests, MAX_REQUESTS), min(own.tokens, MAX_TOKENS))
            for key, own in busiest[:MAX_ENGINES_PER_REPORT]
        }
        return HostLoad(self._address, self._incarnation, self._sequence, 0, work)

    def reports(self, now_ms: int) -> list[HostLoad]:
        """Returns the report of this host and the newest ones of others, for one datagram."""
        chosen = [self.report()]
        room_bytes = REPORTS_CAPACITY_BYTES - chosen[0].size_bytes
        for known in sorted(self._known.values(), key=lambda known: known.made_ms, reverse=True):
            room_bytes -= known.report.size_bytes
            age_ms = now_ms - known.made_ms
            if room_bytes < 0 or age_ms >= REPORT_LIFETIME_MS:
                break
            chosen.append(attrs.evolve(known.report, age_ms=age_ms))
        return chosen

    def merge(self, reports: Iterable[HostLoad], now_ms: int) -> None:
        """Takes over the reports that are newer than the known ones."""
        for report in reports:
            if report.address == self._address or report.age_ms >= REPORT_LIFETIME_MS:
                continue
            known = self._known.get(report.address)
            if known is None or report.order > known.report.order:
                self._known[report.address] = _KnownReport(report, now_ms - report.age_ms)
        self._drop_lapsed(now_ms)
        self._summed_ms = None

    def report_ages_ms(self, now_ms: int) -> list[int]:
        """Returns the ages of the reports of other hosts that still count."""
        ages_ms = (now_ms - known.made_ms for known in self._known.values())
        return [age_ms for age_ms in ages_ms if age_ms < REPORT_LIFETIME_MS]

    def _drop_lapsed(self, now_ms: int) -> None:
        newest = sorted(self._known.items(), key=lambda item: item[1].made_ms, reverse=True)
        self._known = {
            address: known
            for address, known in newest[:MAX_KNOWN_HOSTS]
            if now_ms - known.made_ms < REPORT_LIFETIME_MS
        }

    # ---- work of all hosts ---------------------------------------------------------------------

    def total(self, target: targets.Target, host_count: int, now_ms: int) -> EngineWork:
        """Returns the work of this host and the estimated one of all others at an engine."""
        key = engine_key(target)
        others = self._others(key, host_count, now_ms)
        own = self._own.get(key)
        if own is None:
            return others
        return EngineWork(own.requests + others.requests, own.tokens + others.tokens)

    def others(self, target: targets.Target, host_count: int, now_ms: int) -> EngineWork:
        """Returns the estimated work of all other hosts at an engine.

        Reports weigh less the older they are; hosts without a report are taken to have the mean of
        those with one.

        Args:
            target: The engine.
            host_count: Number of live hosts, with this one.
            now_ms: Monotonic time.
        """
        return self._others(engine_key(target), host_count, now_ms)

    def _others(self, key: int, host_count: int, now_ms: int) -> EngineWork:
        if self._summed_ms is None or now_ms - self._summed_ms >= SUM_REUSE_MS:
            self._sum_reports(now_ms)
        work = self._sums.get(key)
        if work is None:
            return EngineWork()
        scale = (host_count - 1) / self._weight
        return EngineWork(work.requests * scale, work.tokens * scale)

    def _sum_reports(self, now_ms: int) -> None:
        requests: dict[int, float] = {}
        tokens: dict[int, float] = {}
        self._weight = 0.0
        for known in self._known.values():
            weight = 1 - (now_ms - known.made_ms) / REPORT_LIFETIME_MS
            if weight <= 0:
                continue
            self._weight += weight
            for key, work in known.report.work.items():
                requests[key] = requests.get(key, 0.0) + weight * work.requests
                tokens[key] = tokens.get(key, 0.0) + weight * work.tokens
        self._sums = {key: EngineWork(count, tokens[key]) for key, count in requests.items()}
        self._summed_ms = now_ms
