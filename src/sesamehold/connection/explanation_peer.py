"""Lookup of request explanations across hosts."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
from expression import Result

from sesamehold.connection import peer_client
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import explanations
from sesamehold.process import node as nodes
from sesamehold.process import requests

FETCH_TIMEOUT_MS = 2_000


@attrs.define(eq=False)
class PeerExplanationHandler:
    """Serves explanations to other hosts; implements `peer_server.ExplanationHandler`."""

    _node: nodes.Node

    async def fetch(self, request: peer_pb2.ExplanationRequest) -> peer_pb2.ExplanationReply:
        """Returns the trace of a request if this host has it and the account may read it."""
        trace = self._node.explanations.find(request.request_id, request.account or None)
        if trace is None:
            return peer_pb2.ExplanationReply(found=False)
        document = {**explanations.to_document(trace), "host_id": self._node.config.host_id}
        return peer_pb2.ExplanationReply(found=True, trace_json=json.dumps(document).encode())


@attrs.define(eq=False)
class ExplanationFinder:
    """Finds explanations on this host and, given a client, on other hosts."""

    _node: nodes.Node
    _client: peer_client.PeerClient | None

    async def find(self, request_id: str, account: str | None) -> dict[str, Any] | None:
        """Returns the explanation of a request.

        Only hosts that may have generated the id are queried, so that a caller with invalid ids
        cannot make one host call all others.

        Args:
            request_id: Id of the request.
            account: Client account that must own the request, None for any.
        """
        trace = self._node.explanations.find(request_id, account)
        if trace is not None:
            return {**explanations.to_document(trace), "host_id": self._node.config.host_id}
        if self._client is None or self._node.version is None:
            return None
        return await self._find_on_peers(self._client, request_id, account)

    async def _find_on_peers(
        self, client: peer_client.PeerClient, request_id: str, account: str | None
    ) -> dict[str, Any] | None:
        version = self._node.version
        hosts = version.hosts if version is not None else ()
        addresses = [
            host.peer_address
            for host in hosts
            if host.id != self._node.config.host_id
            and requests.may_be_issued_by(request_id, host.id)
        ]
        request = peer_pb2.ExplanationRequest(request_id=request_id, account=account or "")
        replies = await asyncio.gather(*(_fetch(client, address, request) for address in addresses))
        return next((reply for reply in replies if reply is not None), None)


async def _fetch(
    client: peer_client.PeerClient, address: str, request: peer_pb2.ExplanationRequest
) -> dict[str, Any] | None:
    match await client.call(address, lambda stub: stub.FetchExplanation, request, FETCH_TIMEOUT_MS):
        case Result(tag="ok", ok=reply) if reply.found:
            document: dict[str, Any] = json.loads(reply.trace_json)
            return document
        case _:
            return None
