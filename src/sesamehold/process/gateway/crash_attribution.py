"""Attributes crashes of targets to the requests that cause them, or to a part of their prompts.

When a target crashes, every request there loses its connection, whether its answer has begun or
not, and nothing tells which of them was the cause. Each of these requests has traits: the request
as a whole and the parts of its prompt except the last. A trait that causes crashes is found at one
target after another and is never completed, whereas the other traits are soon completed elsewhere.

Evidence consists of sets that hosts merge in any order, so that crashes seen by different hosts add
up and a crash that several hosts saw counts once.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Iterable
import enum
import heapq

import attrs
import xxhash

from sesamehold.process.gateway import report_rotation
from sesamehold.version import rendezvous

MAX_TRAITS = 10_000
# Crashes remembered of one trait, and requests remembered that had the trait in a crash.
MAX_CRASHES_PER_TRAIT = 32
MAX_REQUESTS_PER_TRAIT = 8
RETENTION_MS = 600_000
# Crashes from which a trait is blamed.
BLAMED_CRASHES = 3
# Different requests that must have crashed before a prompt part is blamed instead of a request.
MIN_REQUESTS_OF_PART = 2
# A trait that was completed within this time before a crash is not its cause.
COMPLETION_VALIDITY_MS = 3_000
# Delay after the last crash until one request with a blamed trait is admitted again, which clears a
# trait that was blamed wrongly. It grows by the factor with each further crash.
PROBE_DELAY_MS = 5_000
PROBE_DELAY_FACTOR = 4
# Content of the report to another host, which has to fit into a datagram beside other data: bytes
# for traits with crashes, traits that were completed lately, and crashes of each trait.
REPORTED_EVIDENCE_BYTES = 330
MAX_REPORTED_COMPLETIONS = 4
MAX_REPORTED_CRASHES = 4
# Encoded size of a trait, and of each of its crashes with one request.
_TRAIT_BYTES = 18
_CRASH_BYTES = 16
REPORTED_COMPLETION_AGE_MS = 10_000


class TraitKind(enum.IntEnum):
    """What a trait identifies."""

    REQUEST = 0
    PROMPT_PART = 1


@attrs.frozen
class Trait:
    """A property of requests to which crashes can be attributed.

    Attributes:
        kind: What the trait identifies.
        digest: Hash of the request or of the prompt part, 8 bytes.
    """

    kind: TraitKind
    digest: bytes


@attrs.frozen
class RequestTraits:
    """All traits of one request.

    Attributes:
        request: The request as a whole.
        parts: Parts of the prompt that other requests may share.
    """

    request: Trait
    parts: tuple[Trait, ...] = ()

    @classmethod
    def of(cls, fingerprint: bytes, part_ids: Iterable[str]) -> RequestTraits:
        """Returns the traits of a request.

        Args:
            fingerprint: Hash of the whole request, equal for repetitions.
            part_ids: Ids of the parts of its prompt, without the last one.
        """
        parts = tuple(
            Trait(TraitKind.PROMPT_PART, xxhash.xxh3_64_digest(part_id.encode()))
            for part_id in part_ids
        )
        return cls(Trait(TraitKind.REQUEST, xxhash.xxh3_64_digest(fingerprint)), parts)

    @property
    def all(self) -> tuple[Trait, ...]:
        """Returns the request and the parts of its prompt."""
        return (self.request, *self.parts)


@attrs.frozen
class CrashId:
    """Identity of one crash, equal on all hosts that observed it.

    Attributes:
        target: Hash of the target's incarnation.
        ordinal: Number of earlier crashes of this incarnation. It is 0 unless the target restarted
            and the directory still has its old incarnation.
    """

    target: int
    ordinal: int


@attrs.frozen
class TraitReport:
    """Evidence on one trait, as hosts exchange it.

    Attributes:
        trait: The trait.
        crash_ages_ms: Time since each crash.
        requests: Hashes of different requests that had the trait in a crash.
        completed_age_ms: Time since a request with the trait was completed, None if unknown.
        depth: Position of a part in its prompt, from 1; 0 for a whole request.
    """

    trait: Trait
    crash_ages_ms: dict[CrashId, int] = attrs.field(factory=dict)
    requests: frozenset[int] = frozenset()
    completed_age_ms: int | None = None
    depth: int = 0


@attrs.define
class _Evidence:
    crash_times_ms: dict[CrashId, int] = attrs.field(factory=dict)
    requests: set[int] = attrs.field(factory=set)
    depth: int = 0
    probed_ms: int | None = None

    @property
    def last_crash_ms(self) -> int:
        return max(self.crash_times_ms.values())

    def add(self, crash: CrashId, crashed_ms: int) -> bool:
        """Adds a crash; returns whether it was new."""
        if crash in self.crash_times_ms:
            return False
        self.crash_times_ms[crash] = crashed_ms
        if len(self.crash_times_ms) > MAX_CRASHES_PER_TRAIT:
            oldest = min(self.crash_times_ms, key=self.crash_times_ms.__getitem__)
            del self.crash_times_ms[oldest]
            return oldest != crash
        return True

    def add_requests(self, requests: Iterable[int]) -> bool:
        """Adds requests up to the limit; returns whether any of them was new."""
        known_count = len(self.requests)
        for request in requests:
            if len(self.requests) < MAX_REQUESTS_PER_TRAIT:
                self.requests.add(request)
        return len(self.requests) > known_count

    def discard_crashes_until(self, time_ms: int) -> None:
        self.crash_times_ms = {
            crash: crashed_ms
            for crash, crashed_ms in self.crash_times_ms.items()
            if crashed_ms > time_ms
        }


@attrs.define
class CrashAttribution:
    """Evidence of one host on the traits that were seen in crashes; bounded, oldest evicted first.

    Attributes:
        host_address: Peer address of this host.
    """

    host_address: str
    _evidence: collections.OrderedDict[Trait, _Evidence] = attrs.field(
        factory=collections.OrderedDict
    )
    _completed_ms: collections.OrderedDict[Trait, int] = attrs.field(
        factory=collections.OrderedDict
    )
    _refuted_ms: collections.OrderedDict[Trait, int] = attrs.field(factory=collections.OrderedDict)
    # None if the evidence has changed since the last evaluation.
    _blamed: frozenset[Trait] | None = frozenset()
    _announced: frozenset[Trait] = frozenset()
    _rotation: report_rotation.ReportRotation[Trait] = attrs.field(
        factory=report_rotation.ReportRotation
    )

    def record_crash(
        self, traits: RequestTraits, incarnation: str, started_ms: int, now_ms: int
    ) -> None:
        """Records that a request lost its connection to a target.

        Args:
            traits: Traits of the request.
            incarnation: Incarnation of the target.
            started_ms: Start of the attempt. Crashes of the same incarnation that this host knows
                of and that happened later are this one.
            now_ms: Monotonic time.
        """
        request = _hash(traits.request.digest)
        target = _hash(incarnation.encode())
        for depth, trait in enumerate(traits.all):
            evidence = self._evidence_for(trait, now_ms)
            earlier = sum(
                1
                for crash, crashed_ms in evidence.crash_times_ms.items()
                if crash.target == target and crashed_ms <= started_ms
            )
            self._add(trait, {CrashId(target, earlier): now_ms}, {request}, depth)

    def record_completion(self, traits: RequestTraits, now_ms: int) -> None:
        """Clears the traits of a request that a target completed."""
        for trait in traits.all:
            self._put_completion(trait, now_ms)

    def blamed_trait(self, traits: RequestTraits, now_ms: int) -> Trait | None:
        """Returns the trait for which a request must not be sent, None if it may be sent."""
        if not self._evidence:
            return None
        blamed = self._blamed_traits()
        for trait in traits.all:
            if trait in blamed:
                if now_ms - self._evidence[trait].last_crash_ms < RETENTION_MS:
                    return trait
                self._forget(trait)
        return None

    def try_probe(self, trait: Trait, hosts: Collection[str], now_ms: int) -> bool:
        """Returns whether this host may admit one request in spite of a blamed trait.

        One host probes each trait: the one that rendezvous hashing selects.

        Args:
            trait: A blamed trait.
            hosts: Addresses of all known hosts, including this one.
            now_ms: Monotonic time.
        """
        evidence = self._evidence.get(trait)
        if evidence is None or rendezvous.owner(hosts, trait.digest.hex()) != self.host_address:
            return False
        extra_crashes = len(evidence.crash_times_ms) - BLAMED_CRASHES
        delay_ms = PROBE_DELAY_MS * PROBE_DELAY_FACTOR ** max(0, extra_crashes)
        last_ms = evidence.last_crash_ms
        if evidence.probed_ms is not None:
            last_ms = max(last_ms, evidence.probed_ms)
        if now_ms - last_ms < delay_ms:
            return False
        evidence.probed_ms = now_ms
        return True

    def crash_count(self, trait: Trait) -> int:
        """Returns the number of known crashes with a trait that no completion refutes."""
        evidence = self._evidence.get(trait)
        return 0 if evidence is None else len(evidence.crash_times_ms)

    def take_blame_changes(self, now_ms: int) -> tuple[list[Trait], list[Trait]]:
        """Returns the traits that are blamed, and those that no longer are, since the last call."""
        self._discard_expired(now_ms)
        blamed = self._blamed_traits()
        added, removed = blamed - self._announced, self._announced - blamed
        self._announced = blamed
        return list(added), list(removed)

    def merge(self, reports: Iterable[TraitReport], now_ms: int) -> None:
        """Merges the evidence of other hosts."""
        for report in reports:
            if report.completed_age_ms is not None:
                self._put_completion(report.trait, now_ms - report.completed_age_ms)
            crash_times_ms = {
                crash: now_ms - age_ms
                for crash, age_ms in report.crash_ages_ms.items()
                if age_ms < RETENTION_MS
            }
            if crash_times_ms:
                self._add(report.trait, crash_times_ms, report.requests, report.depth)

    def reports(self, now_ms: int) -> list[TraitReport]:
        """Returns the evidence of the next report to other hosts."""
        self._discard_expired(now_ms)
        chosen = self._rotation.choose(
            self._evidence, REPORTED_EVIDENCE_BYTES, size=self._report_size, rank=self._urgency
        )
        crashed = [_report(trait, self._evidence[trait], now_ms) for trait in chosen]
        completed = [
            TraitReport(trait, completed_age_ms=now_ms - completed_ms)
            for trait, completed_ms in list(self._refuted_ms.items())[-MAX_REPORTED_COMPLETIONS:]
            if now_ms - completed_ms < REPORTED_COMPLETION_AGE_MS
        ]
        return crashed + completed

    def __len__(self) -> int:
        return len(self._evidence)

    def _report_size(self, trait: Trait) -> int:
        crash_count = len(self._evidence[trait].crash_times_ms)
        return _TRAIT_BYTES + _CRASH_BYTES * min(crash_count, MAX_REPORTED_CRASHES)

    def _urgency(self, trait: Trait) -> int:
        """Returns the sort key of changed evidence: a trait in many crashes may soon be blamed."""
        return min(len(self._evidence[trait].crash_times_ms), BLAMED_CRASHES)

    def _add(
        self,
        trait: Trait,
        crash_times_ms: dict[CrashId, int],
        requests: Iterable[int],
        depth: int,
    ) -> None:
        completed_ms = self._completed_ms.get(trait)
        if completed_ms is not None:
            valid_from_ms = completed_ms + COMPLETION_VALIDITY_MS
            refuted = [time_ms for time_ms in crash_times_ms.values() if time_ms <= valid_from_ms]
            if refuted:
                self._note_refutation(trait, completed_ms)
            if len(refuted) == len(crash_times_ms):
                return
            crash_times_ms = {
                crash: time_ms
                for crash, time_ms in crash_times_ms.items()
                if time_ms > valid_from_ms
            }
        evidence = self._evidence.setdefault(trait, _Evidence())
        changes = [evidence.add(crash, time_ms) for crash, time_ms in crash_times_ms.items()]
        changes.append(evidence.add_requests(requests))
        changes.append(depth > evidence.depth)
        evidence.depth = max(evidence.depth, depth)
        if not any(changes):
            return
        self._evidence.move_to_end(trait)
        self._rotation.note_change(trait)
        if len(self._evidence) > MAX_TRAITS:
            self._evidence.popitem(last=False)
        self._blamed = None

    def _put_completion(self, trait: Trait, completed_ms: int) -> None:
        known_ms = self._completed_ms.get(trait)
        if known_ms is not None and known_ms >= completed_ms:
            return
        self._completed_ms[trait] = completed_ms
        self._completed_ms.move_to_end(trait)
        if len(self._completed_ms) > MAX_TRAITS:
            self._completed_ms.popitem(last=False)
        evidence = self._evidence.get(trait)
        if evidence is None:
            return
        evidence.discard_crashes_until(completed_ms + COMPLETION_VALIDITY_MS)
        self._note_refutation(trait, completed_ms)
        if not evidence.crash_times_ms:
            self._forget(trait)
        self._blamed = None

    def _note_refutation(self, trait: Trait, completed_ms: int) -> None:
        self._refuted_ms[trait] = completed_ms
        self._refuted_ms.move_to_end(trait)
        if len(self._refuted_ms) > MAX_TRAITS:
            self._refuted_ms.popitem(last=False)

    def _evidence_for(self, trait: Trait, now_ms: int) -> _Evidence:
        evidence = self._evidence.get(trait)
        if evidence is None:
            return _Evidence()
        if now_ms - evidence.last_crash_ms >= RETENTION_MS:
            self._forget(trait)
            return _Evidence()
        return evidence

    def _discard_expired(self, now_ms: int) -> None:
        while self._evidence:
            trait, evidence = next(iter(self._evidence.items()))
            if now_ms - evidence.last_crash_ms < RETENTION_MS:
                return
            self._forget(trait)

    def _forget(self, trait: Trait) -> None:
        self._evidence.pop(trait, None)
        self._blamed = None

    def _blamed_traits(self) -> frozenset[Trait]:
        if self._blamed is None:
            self._blamed = _blame(self._evidence)
        return self._blamed


def _blame(evidence: dict[Trait, _Evidence]) -> frozenset[Trait]:
    """Returns the traits that explain the crashes best.

    The trait with the most crashes is blamed first, and its crashes count for no other trait any
    more. Of traits with equally many crashes, the one that fewer requests have is more specific; of
    parts with equally many requests, the one that comes later in its prompts.
    """
    crashes = {
        trait: set(item.crash_times_ms)
        for trait, item in evidence.items()
        if _is_conclusive(trait, item.crash_times_ms, item.requests)
    }
    blamed = set()
    while crashes:
        cause = max(
            crashes,
            key=lambda trait: (
                len(crashes[trait]),
                -len(evidence[trait].requests),
                evidence[trait].depth,
                trait.digest,
            ),
        )
        explained = crashes.pop(cause)
        blamed.add(cause)
        crashes = {
            trait: remaining
            for trait, found in crashes.items()
            if _is_conclusive(trait, remaining := found - explained, evidence[trait].requests)
        }
    return frozenset(blamed)


def _is_conclusive(trait: Trait, crashes: Collection[CrashId], requests: Collection[int]) -> bool:
    if trait.kind is TraitKind.REQUEST:
        return len(crashes) >= BLAMED_CRASHES
    # One target may break connections again and again without a cause in the requests.
    targets = {crash.target for crash in crashes}
    return len(targets) >= BLAMED_CRASHES and len(requests) >= MIN_REQUESTS_OF_PART


def _report(trait: Trait, evidence: _Evidence, now_ms: int) -> TraitReport:
    times_ms = evidence.crash_times_ms
    latest = heapq.nlargest(MAX_REPORTED_CRASHES, times_ms, key=times_ms.__getitem__)
    ages_ms = {crash: max(0, now_ms - times_ms[crash]) for crash in latest}
    requests = frozenset(sorted(evidence.requests)[:MAX_REPORTED_CRASHES])
    return TraitReport(trait, ages_ms, requests, depth=evidence.depth)


def _hash(data: bytes) -> int:
    return xxhash.xxh32_intdigest(data)
