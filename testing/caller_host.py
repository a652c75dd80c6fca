"""An in-process host with fake targets that serves callers on the loopback interface."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

import attrs
from expression import Error
from expression import Ok
import factories

from sesamehold.connection import caller_http
from sesamehold.connection import http_listener
from sesamehold.process import clock
from sesamehold.process import credentials
from sesamehold.process import node as nodes
from sesamehold.process import settings
from sesamehold.request import calls
from sesamehold.request import driver
from sesamehold.request import events
from sesamehold.version import manifest

CREDENTIAL = "owner:secret"
PATH = "/v1/pipelines/summary/requests"
IDLE_MS = 300


@attrs.define
class FakeTargets:
    """Fake targets whose generate stage streams `piece_count` pieces of 1 KB.

    Every call succeeds, unless a fault is queued for the generate stage.
    """

    piece_count: int = 2
    sent: int = 0
    # Faults returned by the next calls to the generate stage, in order.
    faults: list[calls.CallFault] = attrs.field(factory=list)

    async def call(self, call: calls.TargetCall, on_pieces: calls.PieceHandler) -> Any:
        assert call.before_write()
        if call.stage.kind is not manifest.StageKind.GENERATE:
            return Ok(calls.CallSuccess({}, events.Usage(1), None))
        if self.faults:
            return Error(self.faults.pop(0))
        for index in range(self.piece_count):
            await on_pieces([calls.Piece(index, 1, "x" * 1_000)])
            self.sent += 1
            await asyncio.sleep(0)
        return Ok(calls.CallSuccess({"text": ""}, events.Usage(self.piece_count), None))

    async def cancel(self, target: Any, attempt: Any) -> None:
        return None


@attrs.frozen
class NoClaims:
    """Claim service for pipelines whose stages are all repeatable, so no claim is opened."""

    def open(self, pipeline: manifest.Pipeline) -> Any:
        assert pipeline.repeatable


@attrs.define(eq=False)
class Host:
    """A listening host and its fake targets."""

    node: nodes.Node
    targets: FakeTargets
    port: int

    async def exchange(self, data: bytes) -> bytes:
        """Sends bytes and returns the response.

        Stops when the connection ends, when a body with `ran` has arrived, or after five idle
        timeouts in total.
        """
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(data)
        answer = b""
        try:
            async with asyncio.timeout(5 * IDLE_MS / 1_000):
                while chunk := await reader.read(65_536):
                    answer += chunk
                    if b"\r\n\r\n" in answer and b'"ran"' in answer:
                        break
        except (TimeoutError, ConnectionError):
            pass
        writer.close()
        return answer


def build_node() -> nodes.Node:
    """Returns a node with small limits and an accepted configuration version."""
    document = factories.settings_document()
    document["limits"] = {
        "idle_ms": IDLE_MS,
        "body_size_bytes": 2_048,
        "header_size_bytes": 1_024,
        "header_count": 16,
        "open_streams": 1,
    }
    node = nodes.Node.from_config(settings.from_text(json.dumps(document)).ok, clock.SystemClock())
    version = factories.manifest_document()
    for account in version["accounts"]:
        credential = f"{account['name']}:secret"
        account["credential_hash"] = credentials.hash_credential("5e5a", credential)
    # The only host of a roster accepts traffic without contacting peers first.
    version["hosts"] = version["hosts"][:1]
    assert node.fleet.offer_document(version).is_ok()
    accepted = node.fleet.version()
    assert accepted is not None
    node.configure(accepted)
    return node


def run(check: Callable[[Host], Awaitable[None]], piece_count: int = 2) -> None:
    """Runs a check against a host that listens on the loopback interface."""

    async def serve() -> None:
        node, targets = build_node(), FakeTargets(piece_count)
        services = driver.Services(
            clock=node.clock,
            slots=node.slots,
            targets=targets,
            claims=NoClaims(),
            ledger=node.ledger,
            metrics=node.metrics,
        )
        listener = await http_listener.HttpListener.start(
            caller_http.CallerApi(node, services).application(),
            "127.0.0.1:0",
            node.config.limits,
            node.receive_budget,
            node.clock,
            None,
        )
        try:
            await check(Host(node, targets, listener.port))
        finally:
            await listener.close()

    asyncio.run(serve())


def post(body: bytes = b"{}", *headers: str, path: str = PATH) -> bytes:
    """Returns a submission as HTTP/1.1 request bytes."""
    lines = [f"POST {path} HTTP/1.1", "Host: h", f"Authorization: Bearer {CREDENTIAL}", *headers]
    if not any(line.startswith(("Content-Length", "Transfer-Encoding")) for line in lines):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
