"""Replication and collection of cost counters between hosts."""

from __future__ import annotations

import asyncio

import attrs
from expression import Result

from sesamehold.connection import peer_client
from sesamehold.connection.wire import peer_pb2
from sesamehold.process import ledger
from sesamehold.process import ledger_replication
from sesamehold.process import node as nodes

FETCH_TIMEOUT_MS = 2_000
MAX_PARALLEL_FETCHES = 16
_MS_PER_S = 1_000


def encode(origin: ledger.Origin, sequence: int, rows: ledger.CostRows) -> peer_pb2.LedgerPush:
    """Encodes rows of the cost ledger of one process."""
    return peer_pb2.LedgerPush(
        host_id=origin.host_id,
        incarnation=origin.incarnation,
        sequence=sequence,
        rows=[
            peer_pb2.LedgerRow(
                account=key.account,
                partner=key.partner,
                pipeline=key.pipeline,
                stage=key.stage,
                pool=key.pool,
                attempts=totals.attempts,
                units=totals.units,
                cost=totals.cost,
                wasted_cost=totals.wasted_cost,
            )
            for key, totals in rows.items()
        ],
    )


def decode(push: peer_pb2.LedgerPush) -> ledger.HostLedger:
    """Decodes rows of a cost ledger."""
    rows = {
        ledger.CostKey(row.account, row.partner, row.pipeline, row.stage, row.pool): (
            ledger.CostTotals(row.attempts, row.units, row.cost, row.wasted_cost)
        )
        for row in push.rows
    }
    return ledger.HostLedger(ledger.Origin(push.host_id, push.incarnation), rows)


@attrs.define(eq=False)
class PeerLedgerHandler:
    """Serves ledger calls of other hosts; implements `peer_server.LedgerHandler`."""

    _node: nodes.Node

    async def push(self, request: peer_pb2.LedgerPush) -> None:
        """Stores the cumulative counters of another host."""
        received = decode(request)
        self._node.ledger_copies.store(received.origin, received.rows)

    async def fetch(self, request: peer_pb2.LedgerRequest) -> peer_pb2.LedgerReply:
        """Returns this host's counters and the replicas that it stores."""
        del request
        held = self._node.host_ledgers()
        return peer_pb2.LedgerReply(ledgers=[encode(item.origin, 0, item.rows) for item in held])


@attrs.define(eq=False)
class LedgerPusher:
    """Replicates this host's cost counters to another host."""

    _node: nodes.Node
    _client: peer_client.PeerClient
    _replication: ledger_replication.LedgerReplication

    @classmethod
    def from_node(cls, node: nodes.Node, client: peer_client.PeerClient) -> LedgerPusher:
        """Creates a pusher for the ledger of a node."""
        config = node.config
        replication = ledger_replication.LedgerReplication(config.host_id, config.zone)
        return cls(node, client, replication)

    async def run(self) -> None:
        """Pushes changed rows at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(ledger_replication.INTERVAL_MS / _MS_PER_S)
            await self.push()

    async def push(self) -> None:
        """Pushes the rows that changed since the last acknowledged push."""
        version = self._node.version
        if version is None:
            return
        self._replication.begin_interval(self._node.ledger)
        failures = 0
        while failures < ledger_replication.MAX_TRIES:
            push = self._replication.next_push(version.hosts, self._node.ledger)
            if push is None:
                return
            message = encode(self._node.origin, push.sequence, push.rows)
            if await self._send(push.peer.peer_address, message):
                self._node.metrics.count("ledger.rows_pushed", len(push.rows))
                continue
            failures += 1
            self._replication.fail(push)
            self._node.metrics.count("ledger.pushes_failed")

    async def hand_over(self) -> None:
        """Pushes the remaining rows and all stored replicas before this host shuts down."""
        await self.push()
        version = self._node.version
        if version is None:
            return
        for copy in self._node.ledger_copies.held():
            peer = self._replication.peer(version.hosts)
            if peer is not None:
                await self._send(peer.peer_address, encode(copy.origin, 0, copy.rows))

    async def _send(self, address: str, message: peer_pb2.LedgerPush) -> bool:
        result = await self._client.call(
            address, lambda stub: stub.PushLedger, message, ledger_replication.PUSH_TIMEOUT_MS
        )
        return bool(result.is_ok())


@attrs.frozen
class CollectedLedgers:
    """Ledgers collected from the hosts that responded.

    Attributes:
        ledgers: Counters of each host and the replicas that it stores.
        unreachable: Ids of the hosts that did not respond.
    """

    ledgers: list[ledger.HostLedger]
    unreachable: list[str]


async def collect(node: nodes.Node, client: peer_client.PeerClient) -> CollectedLedgers:
    """Fetches the ledgers of all hosts in the roster."""
    collected = CollectedLedgers(node.host_ledgers(), [])
    limit = asyncio.Semaphore(MAX_PARALLEL_FETCHES)

    async def fetch(host_id: str, address: str) -> None:
        async with limit:
            request = peer_pb2.LedgerRequest()
            match await client.call(
                address, lambda stub: stub.FetchLedger, request, FETCH_TIMEOUT_MS
            ):
                case Result(tag="ok", ok=reply):
                    collected.ledgers.extend(decode(push) for push in reply.ledgers)
                case _:
                    collected.unreachable.append(host_id)

    hosts = node.version.hosts if node.version is not None else ()
    others = [host for host in hosts if host.id != node.config.host_id]
    await asyncio.gather(*(fetch(host.id, host.peer_address) for host in others))
    return collected
