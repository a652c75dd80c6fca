"""Exchange of configuration sections between hosts over gRPC."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from expression import Error
from expression import Ok
from expression import Result

from sesamehold.connection import peer_client
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import clock as clocks
from sesamehold.process import configuration


@attrs.frozen(eq=False)
class ConfigurationService:
    """Serves the current configuration; implements `peer_server.ConfigurationHandler`."""

    _state: configuration.ConfigurationState
    _clock: clocks.Clock

    async def fetch(self, request: peer_pb2.ConfigurationRequest) -> peer_pb2.ConfigurationReply:
        """Returns the sections that the requesting host lacks."""
        query = configuration.SectionsQuery(request.known_version, tuple(request.known_sections))
        return reply_to_wire(self._state.answer(query, self._clock.now_ms()))


@attrs.frozen(eq=False)
class ConfigurationPeers:
    """Fetches sections from other hosts; implements `configuration_reader.Peers`."""

    _make_client: Callable[[], peer_client.PeerClient]

    async def fetch(
        self, address: str, query: configuration.SectionsQuery, timeout_ms: int
    ) -> Result[configuration.SectionsAnswer, str]:
        """Fetches sections from one host; the error names the type of failure."""
        request = peer_pb2.ConfigurationRequest(
            known_version=query.known_version, known_sections=query.known
        )
        # Each fetch opens its own channel. Hosts fetch from random peers, and channels kept open to
        # 1,000 hosts would use more memory than the rest of the process.
        client = self._make_client()
        try:
            result = await client.call(
                address, lambda stub: stub.FetchConfiguration, request, timeout_ms
            )
        finally:
            client.close()
        match result:
            case Result(tag="ok", ok=reply):
                return Ok(reply_from_wire(reply))
            case Result(error=error):
                return Error(error.reason)


def reply_to_wire(answer: configuration.SectionsAnswer) -> peer_pb2.ConfigurationReply:
    """Encodes a reply."""
    return peer_pb2.ConfigurationReply(
        version=answer.version,
        content_hash=answer.content_hash,
        section_order=answer.order,
        sections=[peer_pb2.Section(path=path, content=content) for path, content in answer.changed],
        past_rosters=[
            peer_pb2.PastRoster(
                version=roster.version,
                superseded_age_ms=roster.superseded_age_ms,
                hosts_json=roster.hosts_json,
            )
            for roster in answer.past_rosters
        ],
    )


def reply_from_wire(reply: peer_pb2.ConfigurationReply) -> configuration.SectionsAnswer:
    """Decodes a reply."""
    return configuration.SectionsAnswer(
        version=reply.version,
        content_hash=reply.content_hash,
        order=tuple(reply.section_order),
        changed=tuple((section.path, section.content) for section in reply.sections),
        past_rosters=tuple(
            configuration.PastRoster(roster.version, roster.superseded_age_ms, roster.hosts_json)
            for roster in reply.past_rosters
        ),
    )
