"""Tests of gRPC calls between hosts over loopback."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Any

import certificates
import pytest

from sesamehold.connection import peer_client
from sesamehold.connection import peer_codec
from sesamehold.connection import peer_server
from sesamehold.connection import seal
from sesamehold.connection import tls
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import settings


class _Handlers:
    """Handles the calls that these tests make."""

    async def outcome(self, request: peer_pb2.OutcomeRequest) -> peer_pb2.OutcomeReply:
        return peer_pb2.OutcomeReply(fingerprint=request.key.text.encode())


async def _call(
    server_keys: tuple[str, ...],
    client_keys: tuple[str, ...],
    server_files: settings.Tls | None = None,
    client_files: settings.Tls | None = None,
) -> Any:
    handlers: Any = _Handlers()
    service = peer_server.PeerService(handlers, handlers, handlers, handlers)
    server = peer_server.PeerServer.from_service(service, seal.Sealer.from_keys(server_keys))
    server_tls = tls.ReloadingTls.for_peer_server(server_files).ok if server_files else None
    client_tls = tls.ReloadingTls.for_peer_client(client_files).ok if client_files else None
    await server.start("127.0.0.1", 0, server_tls.context if server_tls else None)
    port = server._server._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]
    client = peer_client.PeerClient(
        seal.Sealer.from_keys(client_keys), client_tls.context if client_tls else None
    )
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
    """Guards against accepting calls from processes without a key of the fleet."""
    result = asyncio.run(_call(server_keys, client_keys))
    assert result.is_ok() is answered
    if answered:
        assert result.ok.fingerprint == b"k"


@pytest.mark.parametrize(
    ("client", "answered"),
    [
        pytest.param("ours", True, id="same-authority"),
        pytest.param("theirs", False, id="other-authority"),
        pytest.param(None, False, id="no-tls"),
    ],
)
def test_call_over_tls_needs_a_certificate_of_the_authority(
    client: str | None, answered: bool, tmp_path: pathlib.Path
) -> None:
    """Guards against accepting calls from processes without a certificate of the fleet."""
    files = {}
    for name in ("ours", "theirs"):
        (tmp_path / name).mkdir()
        files[name] = certificates.Authority.create().issue(tmp_path / name, name)
    client_files = files[client] if client is not None else None
    result = asyncio.run(_call(("key",), ("key",), files["ours"], client_files))
    assert result.is_ok() is answered


@pytest.mark.parametrize(
    "packed",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\2x", id="unknown-encoding"),
        pytest.param(b"\1garbage", id="not-compressed"),
        pytest.param(peer_codec.pack(b"x" * 10_000)[:-8], id="cut"),
        pytest.param(peer_codec.pack(bytes(peer_codec.MAX_MESSAGE_BYTES + 1)), id="too-long"),
    ],
)
def test_malformed_message_is_refused(packed: bytes) -> None:
    """Guards against decompression bombs and unhandled errors on malformed messages."""
    with pytest.raises(ValueError, match=r"\w"):
        peer_codec.unpack(packed)
