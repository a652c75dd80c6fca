"""Calls between hosts over loopback."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from sesamehold.connection import peer_client
from sesamehold.connection import peer_server
from sesamehold.connection import seal
from sesamehold.connection.wire import peer_pb2


class _Handlers:
    """Answers the calls that these tests make."""

    async def outcome(self, request: peer_pb2.OutcomeRequest) -> peer_pb2.OutcomeReply:
        return peer_pb2.OutcomeReply(fingerprint=request.key.text.encode())


async def _call(server_keys: tuple[str, ...], client_keys: tuple[str, ...]) -> Any:
    handlers: Any = _Handlers()
    service = peer_server.PeerService(handlers, handlers, handlers, handlers)
    server = peer_server.PeerServer.from_service(service, seal.Sealer.from_keys(server_keys))
    await server.start("127.0.0.1", 0, None)
    port = server._server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    client = peer_client.PeerClient(seal.Sealer.from_keys(client_keys))
    try:
        request = peer_pb2.OutcomeRequest(key=peer_pb2.Key(text="k"))
        return await client.call(
            f"127.0.0.1:{port}", lambda stub: stub.FetchOutcome, request, 5_000
        )
    finally:
        client.close()
        await server.close()


@pytest.mark.parametrize(
    ("server_keys", "client_keys", "answered"),
    [
        pytest.param(("new",), ("new",), True, id="same-key"),
        pytest.param(("new", "old"), ("old", "new"), True, id="rotation-both-keys"),
        pytest.param(("new",), ("old",), False, id="unknown-key"),
    ],
)
def test_call_is_answered_only_with_a_common_key(
    server_keys: tuple[str, ...], client_keys: tuple[str, ...], answered: bool
) -> None:
    """Guards against hosts that accept calls from processes without the fleet's key."""
    result = asyncio.run(_call(server_keys, client_keys))
    assert result.is_ok() is answered
    if answered:
        assert result.ok.fingerprint == b"k"
