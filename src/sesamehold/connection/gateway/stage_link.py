"""Client connection to the host that runs the stages of requests."""

from __future__ import annotations

import asyncio

import attrs
from expression import Error
from expression import Result
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions

from sesamehold.connection.gateway import stage_codec
from sesamehold.connection.wire import gateway_grpc
from sesamehold.connection.wire import gateway_pb2
from sesamehold.process import listening
from sesamehold.request.gateway import ports

CONNECT_TIMEOUT_S = 0.4
# The remote host sends a report at least this often while it runs stages for this host.
REPORT_INTERVAL_S = 0.15
# Four missed reports.
REPORT_TIMEOUT_S = 0.6

STAGE_HOST_LOST = "stage-host-lost"
# The connection ended although the host was not silent; the host may still run.
STAGE_LINK_RESET = "stage-link-reset"
_CONNECTION_ERRORS = (
    grpc_exceptions.GRPCError,
    grpc_exceptions.StreamTerminatedError,
    grpc_exceptions.ProtocolError,
    OSError,
    TimeoutError,
)

_Outcome = Result[ports.StageResults, ports.StageFailure]


@attrs.define(eq=False)
class StageLink:
    """Stream of stage orders to one host, and of the reports that it returns.

    Attributes:
        address: Peer address of the host.
        closed: Whether the connection has ended; a closed link cannot be reused.
    """

    address: str
    closed: bool = False
    _orders: asyncio.Queue[gateway_pb2.StageOrder] = attrs.field(factory=asyncio.Queue)
    _waiters: dict[str, asyncio.Future[_Outcome]] = attrs.field(factory=dict)
    _listeners: dict[str, ports.ProgressListener] = attrs.field(factory=dict)
    _task: asyncio.Task[None] | None = None
    _last_report_s: float = 0.0
    _is_connected: bool = False
    _is_silent: bool = False

    async def run(
        self, request: ports.StageRequest, listener: ports.ProgressListener | None = None
    ) -> _Outcome:
        """Runs all stages of a request.

        Fails with `STAGE_HOST_LOST` if the host cannot be reached or is silent, and with
        `STAGE_LINK_RESET` if the connection ends otherwise.
        """
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[_Outcome] = loop.create_future()
        if not self._waiters:
            self._last_report_s = loop.time()
        self._waiters[request.request_id] = waiter
        if listener is not None:
            self._listeners[request.request_id] = listener
        self._orders.put_nowait(stage_codec.request_to_wire(request))
        if self._task is None:
            self._task = asyncio.create_task(self._serve())
        try:
            return await waiter
        except asyncio.CancelledError:
            self.release(request.request_id)
            raise
        finally:
            if self._waiters.get(request.request_id) is waiter:
                del self._waiters[request.request_id]
                self._listeners.pop(request.request_id, None)

    def release(self, request_id: str) -> None:
        """Frees the results of a request, or cancels its work."""
        if not self.closed:
            self._orders.put_nowait(gateway_pb2.StageOrder(release=request_id))

    async def close(self) -> None:
        """Closes the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _serve(self) -> None:
        parsed = listening.Address.parse(self.address)
        channel = grpc_client.Channel(parsed.ip, parsed.port)
        tasks: list[asyncio.Task[None]] = []
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await channel.__connect__()
            self._is_connected = True
            self._last_report_s = asyncio.get_running_loop().time()
            async with gateway_grpc.GatewayStub(channel).RunStages.open() as stream:
                await stream.send_request()
                tasks = [
                    asyncio.create_task(self._send(stream)),
                    asyncio.create_task(self._receive(stream)),
                    asyncio.create_task(self._wait_for_report_timeout()),
                ]
                await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                await stream.cancel()
        except _CONNECTION_ERRORS:
            # `_fail_waiters` reports the loss.
            pass
        finally:
            self.closed = True
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            channel.close()
            self._fail_waiters()

    async def _send(
        self, stream: grpc_client.Stream[gateway_pb2.StageOrder, gateway_pb2.StageReport]
    ) -> None:
        while True:
            await stream.send_message(await self._orders.get())

    async def _receive(
        self, stream: grpc_client.Stream[gateway_pb2.StageOrder, gateway_pb2.StageReport]
    ) -> None:
        loop = asyncio.get_running_loop()
        while True:
            report = await stream.recv_message()
            if report is None:
                return
            self._last_report_s = loop.time()
            for progress in report.progress:
                listener = self._listeners.get(progress.request_id)
                if listener is not None:
                    listener(stage_codec.progress_from_wire(progress))
            for outcome in report.outcomes:
                waiter = self._waiters.get(outcome.request_id)
                if waiter is not None and not waiter.done():
                    waiter.set_result(stage_codec.outcome_from_wire(outcome))

    async def _wait_for_report_timeout(self) -> None:
        """Returns once reports are overdue although the host has work of this host."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            if self._waiters and loop.time() - self._last_report_s > REPORT_TIMEOUT_S:
                self._is_silent = True
                return

    def _fail_waiters(self) -> None:
        is_reset = self._is_connected and not self._is_silent
        kind = STAGE_LINK_RESET if is_reset else STAGE_HOST_LOST
        for waiter in list(self._waiters.values()):
            if not waiter.done():
                waiter.set_result(Error(ports.StageFailure(kind, 0)))
