"""Configuration in force, rosters of the overlap window, and the exchange of both with peers."""

from __future__ import annotations

import json
from typing import Any

import attrs
import cattrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.process import messages
from sesamehold.version import acceptance
from sesamehold.version import manifest
from sesamehold.version import roster
from sesamehold.version import sections

# Number of versions whose section hashes are kept. A requester that has one of these versions sends
# only its content hash, not all section hashes. At 6,700 changes a day this covers 10 minutes.
MAX_KNOWN_VERSIONS = 48
MAX_REFUSED = 64
# Digests in datagrams carry this prefix of the content hash.
DIGEST_SIZE_BYTES = 8
NO_DIGEST = messages.Digest(0, b"")


@attrs.frozen
class RosterVersion:
    """The hosts of one configuration version.

    Attributes:
        version: First version with these hosts.
        hosts: The hosts, by id.
        superseded_ms: When this host replaced it with another roster; None if it is in force.
    """

    version: int
    hosts: tuple[manifest.Host, ...]
    superseded_ms: int | None = None


@attrs.frozen
class SectionsQuery:
    """Request for sections; `known` is the requester's content hash or all its section hashes."""

    known_version: int = 0
    known: tuple[bytes, ...] = ()


@attrs.frozen
class PastRoster:
    """A roster of the overlap window in the form that is sent to peers."""

    version: int
    superseded_age_ms: int
    hosts_json: bytes


@attrs.frozen
class SectionsAnswer:
    """Response of a peer to a `SectionsQuery`.

    Attributes:
        version: Version in force at the peer, 0 if there is none.
        content_hash: Its content hash.
        order: Hashes of all its sections; empty if `changed` applies to the requester's version.
        changed: Paths and contents of the sections that the requester lacks; empty content removes
            the section.
        past_rosters: Rosters of the overlap window that the requester may have missed.
    """

    version: int = 0
    content_hash: bytes = b""
    order: tuple[bytes, ...] = ()
    changed: tuple[tuple[str, bytes], ...] = ()
    past_rosters: tuple[PastRoster, ...] = ()


@attrs.frozen
class SectionHashesRequired:
    """The peer does not know the requester's version; query again with all section hashes."""


@attrs.frozen
class Accepted:
    """A version was accepted; `previous` is the version that it replaced, 0 for none."""

    version: int
    previous: int


@attrs.define
class ConfigurationState:
    """Configuration state of one host; never goes back to an older version."""

    validate: acceptance.Validator = acceptance.accept_all
    in_force: sections.SectionSet | None = None
    conflict_count: int = 0
    refused_count: int = 0
    last_refusal: acceptance.Refusal | None = None
    _rosters: list[RosterVersion] = attrs.field(factory=list)
    _section_hashes: dict[bytes, dict[str, bytes]] = attrs.field(factory=dict)
    _refused_digests: dict[messages.Digest, None] = attrs.field(factory=dict)

    @property
    def version(self) -> int:
        """Returns the version in force, 0 if there is none."""
        return self.in_force.version if self.in_force else 0

    def digest(self) -> messages.Digest:
        """Returns the digest that datagrams carry."""
        return NO_DIGEST if self.in_force is None else digest_of(self.in_force)

    def is_refused(self, digest: messages.Digest) -> bool:
        """Returns whether this host has refused the version with this digest before."""
        return digest in self._refused_digests

    def offer_document(self, document: Any, now_ms: int) -> Result[Accepted, acceptance.Refusal]:
        """Validates a published manifest and puts it in force if it is newer."""
        match manifest.from_json(document):
            case Result(tag="ok", ok=version):
                pass
            case Result(error=faults):
                return self._refuse(acceptance.Invalid(None, faults))
        match sections.split(version):
            case Result(tag="ok", ok=candidate):
                return self.offer(candidate, now_ms)
            case Result(error=faults):
                return self._refuse(acceptance.Invalid(version.version, faults))

    def offer(
        self, candidate: sections.SectionSet, now_ms: int
    ) -> Result[Accepted, acceptance.Refusal]:
        """Validates a candidate and puts it in force if it is newer."""
        match acceptance.decide(candidate, self.in_force, self.validate):
            case Result(tag="ok"):
                return Ok(self._accept(candidate, now_ms))
            case Result(error=refusal):
                if isinstance(refusal, acceptance.Invalid):
                    self._record_refused(digest_of(candidate))
                return self._refuse(refusal)

    def query(self, *, all_sections: bool = False) -> SectionsQuery:
        """Returns the query to send to a peer."""
        if self.in_force is None:
            return SectionsQuery()
        if all_sections:
            return SectionsQuery(self.version, tuple(self.in_force.hashes().values()))
        return SectionsQuery(self.version, (self.in_force.content_hash,))

    def answer(self, query: SectionsQuery, now_ms: int) -> SectionsAnswer:
        """Returns the sections of the version in force that the requester lacks."""
        held = self.in_force
        if held is None:
            return SectionsAnswer()
        past = self._past_rosters(query.known_version, now_ms)
        if held.version <= query.known_version:
            return SectionsAnswer(held.version, held.content_hash, past_rosters=past)
        known = self._section_hashes.get(query.known[0]) if len(query.known) == 1 else None
        if known is not None:
            changed = _changed_sections(held, known)
            return SectionsAnswer(
                held.version, held.content_hash, changed=changed, past_rosters=past
            )
        order = tuple(held.hashes().values())
        if len(query.known) == 1:
            return SectionsAnswer(held.version, held.content_hash, order)
        missing = _missing_sections(held, set(query.known))
        return SectionsAnswer(held.version, held.content_hash, order, missing, past)

    def apply(
        self, answer: SectionsAnswer, now_ms: int
    ) -> Result[Accepted, acceptance.Refusal | sections.Malformed | SectionHashesRequired]:
        """Puts the version of a peer's reply in force if it is newer and valid."""
        if answer.version <= self.version:
            self._add_past_rosters(answer.past_rosters, now_ms)
            return self._refuse_not_newer(answer)
        if answer.order and not answer.changed and self.in_force is not None:
            known = set(self.in_force.hashes().values())
            if not set(answer.order) <= known:
                return Error(SectionHashesRequired())
        match self._assemble(answer):
            case Result(tag="ok", ok=candidate):
                pass
            case Result(error=malformed):
                return Error(malformed)
        self._add_past_rosters(answer.past_rosters, now_ms)
        match self.offer(candidate, now_ms):
            case Result(tag="ok", ok=accepted):
                return Ok(accepted)
            case Result(error=refusal):
                return Error(refusal)

    def overlap_rosters(self, now_ms: int) -> tuple[RosterVersion, ...]:
        """Returns the rosters of the overlap window, the one in force first."""
        self._expire_rosters(now_ms)
        return tuple(sorted(self._rosters, key=lambda item: -item.version))

    def check_digest(self, digest: messages.Digest) -> bool:
        """Returns whether a peer has other content under the version in force; counts conflicts."""
        own = self.digest()
        conflict = digest.version == own.version and digest != own
        self.conflict_count += conflict
        return conflict

    def dump(self, now_ms: int) -> dict[str, Any]:
        """Returns a JSON-compatible summary without the manifest itself."""
        return {
            "version": self.version,
            "content_hash": self.in_force.content_hash.hex() if self.in_force else None,
            "section_count": len(self.in_force.sections) if self.in_force else 0,
            "overlap_versions": [item.version for item in self.overlap_rosters(now_ms)],
            "conflict_count": self.conflict_count,
            "refused_count": self.refused_count,
            "last_refusal": type(self.last_refusal).__name__ if self.last_refusal else None,
        }

    def _refuse(self, refusal: acceptance.Refusal) -> Result[Accepted, acceptance.Refusal]:
        if isinstance(refusal, acceptance.Conflict):
            self.conflict_count += 1
        if isinstance(refusal, acceptance.Conflict | acceptance.Invalid):
            self.refused_count += 1
            self.last_refusal = refusal
        return Error(refusal)

    def _record_refused(self, digest: messages.Digest) -> None:
        if len(self._refused_digests) >= MAX_REFUSED:
            del self._refused_digests[next(iter(self._refused_digests))]
        self._refused_digests[digest] = None

    def _accept(self, candidate: sections.SectionSet, now_ms: int) -> Accepted:
        previous = self.version
        self.in_force = candidate
        if len(self._section_hashes) >= MAX_KNOWN_VERSIONS:
            del self._section_hashes[next(iter(self._section_hashes))]
        self._section_hashes[candidate.content_hash] = candidate.hashes()
        self._update_rosters(candidate.manifest, now_ms)
        return Accepted(candidate.version, previous)

    def _update_rosters(self, version: manifest.Manifest, now_ms: int) -> None:
        current = next((item for item in self._rosters if item.superseded_ms is None), None)
        if current is not None:
            if current.hosts == version.hosts:
                return
            self._rosters.remove(current)
            self._rosters.append(attrs.evolve(current, superseded_ms=now_ms))
        self._rosters = [item for item in self._rosters if item.hosts != version.hosts]
        self._rosters.append(RosterVersion(version.version, version.hosts))
        self._expire_rosters(now_ms)

    def _expire_rosters(self, now_ms: int) -> None:
        if self.in_force is None:
            return
        policy = self.in_force.manifest.policy
        retention_ms = roster.CLAIM_WINDOW_PERIODS * policy.key_retention_ms
        self._rosters = [
            item
            for item in self._rosters
            if item.superseded_ms is None or now_ms - item.superseded_ms < retention_ms
        ]

    def _past_rosters(self, known_version: int, now_ms: int) -> tuple[PastRoster, ...]:
        # The requester keeps the rosters of its own versions and only lacks those that it skipped.
        return tuple(
            PastRoster(
                version=item.version,
                superseded_age_ms=max(0, now_ms - item.superseded_ms),
                hosts_json=_hosts_json(item.hosts),
            )
            for item in self.overlap_rosters(now_ms)
            if item.superseded_ms is not None and item.version > known_version
        )

    def _add_past_rosters(self, past: tuple[PastRoster, ...], now_ms: int) -> None:
        for item in past:
            try:
                hosts = _CONVERTER.structure(json.loads(item.hosts_json), tuple[manifest.Host, ...])
            except (ValueError, cattrs.BaseValidationError):
                continue
            if any(held.hosts == hosts for held in self._rosters):
                continue
            superseded_ms = now_ms - item.superseded_age_ms
            self._rosters.append(RosterVersion(item.version, hosts, superseded_ms))

    def _refuse_not_newer(
        self, answer: SectionsAnswer
    ) -> Result[Accepted, acceptance.Refusal | sections.Malformed | SectionHashesRequired]:
        if self.in_force is None or answer.version < self.version:
            return Error(acceptance.Stale(answer.version, self.version))
        own_hash = self.in_force.content_hash
        if answer.content_hash == own_hash:
            return Error(acceptance.Unchanged(answer.version))
        conflict = acceptance.Conflict(answer.version, answer.content_hash, own_hash)
        self._refuse(conflict)
        return Error(conflict)

    def _assemble(self, answer: SectionsAnswer) -> Result[sections.SectionSet, sections.Malformed]:
        parts = dict(self.in_force.sections) if self.in_force else {}
        for path, content in answer.changed:
            if not content:
                parts.pop(path, None)
                continue
            match sections.parse_section(path, content):
                case Result(tag="ok", ok=section):
                    parts[path] = section
                case Result(error=malformed):
                    return Error(malformed)
        if answer.order:
            wanted = set(answer.order)
            parts = {path: part for path, part in parts.items() if part.content_hash in wanted}
        candidate = sections.assemble(answer.version, parts.values())
        if candidate.content_hash != answer.content_hash:
            return Error(sections.Malformed("the sections do not match the content hash"))
        return Ok(candidate)


_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def digest_of(version: sections.SectionSet) -> messages.Digest:
    """Returns the digest of a version."""
    return messages.Digest(version.version, version.content_hash[:DIGEST_SIZE_BYTES])


def _hosts_json(hosts: tuple[manifest.Host, ...]) -> bytes:
    values = [_CONVERTER.unstructure(host) for host in hosts]
    return json.dumps(values, separators=(",", ":")).encode()


def _changed_sections(
    held: sections.SectionSet, known: dict[str, bytes]
) -> tuple[tuple[str, bytes], ...]:
    changed = [
        (path, section.content)
        for path, section in held.sections.items()
        if known.get(path) != section.content_hash
    ]
    removed = [(path, b"") for path in known if path not in held.sections]
    return (*changed, *removed)


def _missing_sections(
    held: sections.SectionSet, known: set[bytes]
) -> tuple[tuple[str, bytes], ...]:
    return tuple(
        (path, section.content)
        for path, section in held.sections.items()
        if section.content_hash not in known
    )
