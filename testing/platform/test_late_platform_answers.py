"""Tests late second answers on the connections that client sessions keep.

Answers of the store, of the configuration service and on the product's own path are told from each
other by their order on the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import json
import random
import re
from typing import Any

import attrs
import factories
import platform_stand_in as stand_in
import pytest

from sesamehold.connection import answer_protocol
from sesamehold.connection import platform_http
from sesamehold.connection import target_http
from sesamehold.platform import store
from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import settings
from sesamehold.process.gateway import state as states
from sesamehold.request import calls
from sesamehold.request import ids
from sesamehold.version import manifest

# When a copy of an answer comes: behind it in one write, while the connection is idle, once the
# next call has been sent, or never.
AT_ONCE, IDLE, IN_USE, NEVER = "at-once", "idle", "in-use", "never"
IDLE_S = 0.02
CALL_COUNT = 6


@attrs.define(eq=False)
class Repeater:
    """Server that sends each of its answers once more.

    Attributes:
        reply: Returns the document that answers a request, given its head and number.
        moment: When the copies come.
        wait_s: Time that the server takes for an answer.
        copies: Number of copies that were taken on each connection.
        calls: Number of answered calls.
    """

    reply: Callable[[str, int], dict[str, Any]]
    moment: str
    wait_s: float = 0.0
    copies: list[int] = attrs.field(factory=list)
    calls: int = 0
    address: str = ""

    @contextlib.asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        server = await asyncio.start_server(self._serve, stand_in.HOST, 0)
        self.address = f"{stand_in.HOST}:{server.sockets[0].getsockname()[1]}"
        async with server:
            yield

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        index = len(self.copies)
        self.copies.append(0)
        last = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = re.search(r"(?i)content-length: (\d+)", head)
                await reader.readexactly(int(length.group(1)) if length else 0)
                if last and self.moment == IN_USE:
                    self.copies[index] += 1
                    writer.write(last)
                await asyncio.sleep(self.wait_s)
                self.calls += 1
                document = self.reply(head, self.calls)
                body = json.dumps(document).encode()
                fields = ["Content-Type: application/json", f"Content-Length: {len(body)}"]
                fields += [f"{target_http.ATTEMPT_HEADER}: {document.get('attempt')}"]
                last = ("\r\n".join(["HTTP/1.1 200 OK", *fields]) + "\r\n\r\n").encode() + body
                writer.write(last * (2 if self.moment == AT_ONCE else 1))
                if self.moment == IDLE:
                    asyncio.get_running_loop().call_later(IDLE_S / 2, writer.write, last)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@pytest.mark.parametrize("moment", [AT_ONCE, IDLE])
def test_copy_of_a_store_answer_is_not_the_answer_to_the_next_call(moment: str) -> None:
    """Guards against a connection on which each call gets the answer to the one before."""

    async def main() -> None:
        server = Repeater(lambda head, call: {"items": [], "storeRevision": call}, moment)
        async with server.serve():
            client = store.PlatformStore.from_config(listening.Address.parse(server.address))
            revisions = []
            for _ in range(CALL_COUNT):
                revisions.append((await client.list_items("")).ok.revision)
                await asyncio.sleep(IDLE_S)
            await client.close()
        assert revisions == list(range(1, CALL_COUNT + 1))

    stand_in.run(main)


@pytest.mark.parametrize("moment", [AT_ONCE, IDLE, IN_USE])
def test_copy_of_a_published_value_is_not_the_answer_to_the_next_call(moment: str) -> None:
    """Guards against a configuration that takes effect one watch late, for ever."""

    async def main() -> None:
        server = Repeater(lambda head, call: {"version": call, "value": {}}, moment)
        async with server.serve():
            connector = answer_protocol.AnswerConnector()
            client = platform_http.PlatformClient.from_connector(server.address, connector)
            versions = [(await client.read("manifest")).ok.version]
            for _ in range(CALL_COUNT):
                await asyncio.sleep(IDLE_S)
                versions.append((await client.watch("manifest", versions[-1], 1_000)).ok.version)
            await client.close()
        assert max(server.copies) <= 1
        assert moment == IN_USE or versions == list(range(1, CALL_COUNT + 2))

    stand_in.run(main)


async def _watch(server: Repeater, done: Callable[[], bool]) -> int:
    """Watches the store until `done`; returns the revision up to which it is known."""
    client = store.PlatformStore.from_config(listening.Address.parse(server.address))
    address = listening.Address(stand_in.HOST, 1)
    bounds = settings.FleetBounds(contact_ms=1_500, change_ms=30)
    config = settings.GatewaySettings("host-1", "z1", *[address] * 5, bounds=bounds)
    state = states.GatewayState.from_config(config, clocks.SystemClock(), random.Random(1))
    watcher = directory_watcher.DirectoryWatcher(state, client)
    watching = asyncio.create_task(watcher.watch_prefix(""))
    try:
        async with asyncio.timeout(10):
            while not done():
                await asyncio.sleep(0.01)
        return watcher.replicas[""].horizon.revision
    finally:
        watching.cancel()
        await asyncio.gather(watching, return_exceptions=True)
        await client.close()


def _changes(head: str, call: int) -> dict[str, Any]:
    """Answers a watch with one change behind the revision that it asks for."""
    after = re.search(r"[?&]after=(\d+)", head)
    if after is None:
        return {"items": [], "storeRevision": 1}
    revision = int(after.group(1)) + 1
    event = {"key": "k", "revision": revision, "tombstone": True}
    return {"events": [event], "storeRevision": revision}


def _nothing(head: str, call: int) -> dict[str, Any]:
    return {"items": [], "events": [], "storeRevision": 1}


@pytest.mark.parametrize(
    ("reply", "wait_s"),
    [pytest.param(_changes, 0.03, id="changes"), pytest.param(_nothing, 0.5, id="nothing")],
)
def test_connection_on_which_a_late_answer_came_is_not_used_again(
    reply: Callable[[str, int], dict[str, Any]], wait_s: float
) -> None:
    """Guards against watches that stay one answer behind when a copy comes during a watch."""

    async def main() -> None:
        server = Repeater(reply, IN_USE, wait_s)
        async with server.serve():
            await _watch(server, lambda: server.calls >= CALL_COUNT)
        assert sum(server.copies) >= 1
        assert max(server.copies) <= 1

    stand_in.run(main)


@pytest.mark.parametrize(
    ("reply", "wait_s"),
    [pytest.param(_changes, 0.03, id="changes"), pytest.param(_nothing, 0.5, id="nothing")],
)
def test_watches_of_a_sound_store_share_a_connection(
    reply: Callable[[str, int], dict[str, Any]], wait_s: float
) -> None:
    """Guards against a new connection for each call to a store that answers once."""

    async def main() -> None:
        server = Repeater(reply, NEVER, wait_s)
        async with server.serve():
            await _watch(server, lambda: server.calls >= CALL_COUNT)
        # One for the listing, one for the watches.
        assert len(server.copies) <= 2

    stand_in.run(main)


async def _discard(pieces: Sequence[calls.Piece]) -> bool:
    return True


@pytest.mark.parametrize("moment", [AT_ONCE, IDLE, IN_USE])
def test_late_answer_fails_no_more_than_one_call_of_a_target(moment: str) -> None:
    """Guards against a kept connection on which every later call fails."""

    def reply(head: str, call: int) -> dict[str, Any]:
        found = re.search(rf"(?i){target_http.ATTEMPT_HEADER}: (\S+)", head)
        assert found is not None
        return {"attempt": found.group(1), "output": {"call": found.group(1)}}

    async def main() -> None:
        server = Repeater(reply, moment)
        connector = target_http.HttpTargetConnector.from_config(4, clocks.SystemClock())
        outcomes = []
        async with server.serve():
            target = manifest.Target("i-0", server.address, "zone-a")
            for number in range(1, CALL_COUNT + 1):
                attempt = ids.AttemptId(factories.REQUEST_ID, 0, number)
                call = calls.TargetCall(
                    attempt=attempt,
                    target=target,
                    stage=attrs.evolve(factories.stage("svc"), path="/v1/run"),
                    body={},
                    remaining_ms=5_000,
                    priority=0,
                    account="account",
                    key=None,
                    resume_index=0,
                    resume_text="",
                    before_write=lambda: True,
                )
                result = await connector.call(call, _discard)
                assert result.is_error() or result.ok.output == {"call": attempt.encode()}
                outcomes.append(result.is_ok())
                await asyncio.sleep(IDLE_S)
            await connector.close()
        assert max(server.copies) <= 1
        assert moment == IN_USE or all(outcomes)
        assert True in outcomes[-2:]

    stand_in.run(main)
