"""HTTP server that receives the requests of callers and relays them to targets."""

from __future__ import annotations

import asyncio

from aiohttp import web
import attrs

from sesamehold.connection import caller_connection
from sesamehold.connection.gateway import target_pool
from sesamehold.process import receive_budget
from sesamehold.process.gateway import body_budget
from sesamehold.request.gateway import admission
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import relay
from sesamehold.version import routing

# A caller that sends no byte of the request body for this long is treated as disconnected.
BODY_IDLE_TIMEOUT_S = 5.0
# The same, for a body that still arrives when the process is about to end.
STOPPED_BODY_IDLE_TIMEOUT_S = 0.1
# A body waits this long for memory before its request is refused.
MEMORY_TIMEOUT_S = 0.25
MEMORY_RETRY_MS = 200
# A bytearray that grows takes this part of its size more than it needs.
GROWTH_DIVISOR = 8
_REASON_BY_EXCESS = {
    receive_budget.Excess.HEAD: messages.Reason.HEADER_TOO_LARGE,
    receive_budget.Excess.FRAMING: messages.Reason.BODY_TOO_LARGE,
}


@attrs.define(eq=False)
class Ingress:
    """Handles the HTTP requests of all callers."""

    _services: relay.RelayServices
    _reads: set[asyncio.Timeout] = attrs.field(factory=set)
    _relays: dict[relay.Relay, HttpResponseSink] = attrs.field(factory=dict)
    _is_stopped: bool = False

    def server(self) -> web.Server:
        """Returns the aiohttp server; a handler is cancelled when its caller disconnects."""
        return web.Server(self.handle, handler_cancellation=True, access_log=None)

    @property
    def limits(self) -> routing.IngressLimits:
        """Returns the widest of the caller limits that may be in force for some caller."""
        state = self._services.state
        return state.caller_limits.widest(state.clock.now_ms())

    def stop(self) -> None:
        """Ends all open requests with their final answers, because the process is about to end.

        Complete answers that are being written are left alone.
        """
        self._is_stopped = True
        now_s = asyncio.get_running_loop().time()
        for read in self._reads:
            if not read.expired():
                read.reschedule(now_s)
        for running, sink in self._relays.items():
            if not sink.is_complete:
                running.stop()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Relays one request and writes its response."""
        state = self._services.state
        arrived_ms = state.clock.now_ms()
        if request.transport is not None:
            target_pool.enable_dead_peer_detection(
                request.transport.get_extra_info("socket"),
                user_timeout_ms=target_pool.CALLER_USER_TIMEOUT_MS,
            )
        if _largest_line_bytes(request) > self.limits.header_size_bytes:
            sink = HttpResponseSink(self._services, request, None)
            refusal = messages.Refusal(messages.Reason.HEADER_TOO_LARGE)
            state.log.write("request.refused", reason=refusal.reason.value)
            await sink.refuse(refusal)
            return sink.response
        decoded = self._services.codec.decode_request_head(
            request.method,
            request.raw_path.encode("utf-8", "surrogateescape"),
            tuple(request.raw_headers),
        )
        if decoded.is_error():
            sink = HttpResponseSink(self._services, request, None)
            state.log.write("request.malformed", reason=decoded.error.reason)
            await sink.refuse(messages.Refusal(messages.Reason.MALFORMED))
            return sink.response
        head = decoded.ok
        memory = _BodyMemory(state.body_budget)
        try:
            return await self._handle_with_body(request, head, memory, arrived_ms)
        finally:
            memory.release()

    async def _handle_with_body(
        self,
        request: web.BaseRequest,
        head: messages.RequestHead,
        memory: _BodyMemory,
        arrived_ms: int,
    ) -> web.StreamResponse:
        state = self._services.state
        sink = HttpResponseSink(self._services, request, head.request_id)
        try:
            body = await self._read_body(request, memory)
        except asyncio.CancelledError:
            state.log.write("request.unread", request=head.request_id)
            raise
        if isinstance(body, messages.Refusal):
            state.log.write("request.refused", request=head.request_id, reason=body.reason.value)
            await sink.refuse(body)
            return sink.response
        incoming = admission.IncomingRequest(head, body, arrived_ms)
        running = relay.Relay(self._services, incoming, sink)
        state.open_requests += 1
        self._relays[running] = sink
        try:
            await running.run()
        except ConnectionError:
            # The caller disconnected while the response was being written.
            sink.abort()
        except Exception as error:
            state.log.write("request.error", request=head.request_id, error=repr(error))
            if sink.started:
                sink.abort()
                raise
            await sink.refuse(messages.Refusal(messages.Reason.INTERNAL, may_have_run=True))
        finally:
            del self._relays[running]
            state.open_requests -= 1
        return sink.response

    async def _read_body(
        self, request: web.BaseRequest, memory: _BodyMemory
    ) -> bytearray | messages.Refusal | None:
        """Reads the body; returns None for a request without one and a refusal past a limit."""
        limit = self.limits.body_size_bytes
        too_large = messages.Refusal(messages.Reason.BODY_TOO_LARGE)
        stated_bytes = request.content_length or 0
        if stated_bytes > limit:
            return too_large
        has_body = "Content-Length" in request.headers or "Transfer-Encoding" in request.headers
        if not has_body:
            return None
        try:
            if not await self._reserve(memory, stated_bytes):
                return self._no_memory_refusal()
            body = bytearray(stated_bytes)
            size_bytes = 0
            while chunk := await self._read_chunk(request):
                end_bytes = size_bytes + len(chunk)
                if end_bytes > limit:
                    return too_large
                if end_bytes > len(body):
                    grown_bytes = end_bytes + end_bytes // GROWTH_DIVISOR
                    if not await self._reserve(memory, grown_bytes):
                        return self._no_memory_refusal()
                body[size_bytes:end_bytes] = chunk
                size_bytes = end_bytes
                # It would stay until the next part has arrived.
                del chunk
                is_small = size_bytes <= body_budget.SMALL_BODY_BYTES
                # A larger body counts in the budget for bodies.
                caller_connection.hold_body(request, size_bytes if is_small else 0)
        except TimeoutError:
            if self._is_stopped:
                return admission.stopping_refusal(self._services.state)
            return messages.Refusal(messages.Reason.BODY_TIMEOUT)
        except caller_connection.ExcessError as error:
            return self._excess_refusal(error.excess)
        except web.RequestPayloadError:
            return messages.Refusal(messages.Reason.MALFORMED)
        if size_bytes < len(body):
            return messages.Refusal(messages.Reason.MALFORMED)
        return body if caller_connection.admit(request) else self._no_memory_refusal()

    async def _reserve(self, memory: _BodyMemory, size_bytes: int) -> bool:
        """Waits for a short time until memory for a body is free; returns whether it is."""
        match memory.request(size_bytes):
            case body_budget.Grant.RESERVED:
                return True
            case body_budget.Grant.REFUSED:
                return False
        try:
            async with asyncio.timeout(MEMORY_TIMEOUT_S) as wait:
                self._reads.add(wait)
                try:
                    await memory.granted.wait()
                finally:
                    self._reads.discard(wait)
        except TimeoutError:
            if self._is_stopped:
                raise
            return False
        return True

    def _no_memory_refusal(self) -> messages.Refusal:
        state = self._services.state
        return admission.not_run_refusal(state, messages.Reason.OVERLOADED, MEMORY_RETRY_MS)

    def _excess_refusal(self, excess: receive_budget.Excess) -> messages.Refusal:
        if excess in (receive_budget.Excess.MEMORY, receive_budget.Excess.FRAMING_RATE):
            return self._no_memory_refusal()
        return messages.Refusal(_REASON_BY_EXCESS.get(excess, messages.Reason.MALFORMED))

    async def _read_chunk(self, request: web.BaseRequest) -> bytes:
        timeout_s = STOPPED_BODY_IDLE_TIMEOUT_S if self._is_stopped else BODY_IDLE_TIMEOUT_S
        async with asyncio.timeout(timeout_s) as read:
            self._reads.add(read)
            try:
                return await request.content.readany()
            finally:
                self._reads.discard(read)


@attrs.define(eq=False)
class _BodyMemory:
    """Memory that the body of one request has reserved, or waits for."""

    _budget: body_budget.BodyBudget
    granted: asyncio.Event = attrs.field(factory=asyncio.Event, init=False)
    _reservation: body_budget.Reservation = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reservation = body_budget.Reservation(self.granted.set)

    def request(self, size_bytes: int) -> body_budget.Grant:
        """Asks for memory; `granted` is set once a body that waits for it has got it."""
        self.granted.clear()
        return self._budget.request(self._reservation, size_bytes)

    def release(self) -> None:
        """Gives the memory back, or ends the wait for it."""
        self._budget.release(self._reservation)


@attrs.define(eq=False)
class HttpResponseSink:
    """Writes the HTTP response to one request.

    Attributes:
        response: Response that is being written.
        started: Whether any part of a response has been handed to the connection.
        is_complete: Whether the whole response has been handed to the connection.
    """

    _services: relay.RelayServices
    _request: web.BaseRequest
    _request_id: str | None
    response: web.StreamResponse = attrs.field(factory=web.StreamResponse, init=False)
    started: bool = attrs.field(default=False, init=False)
    is_complete: bool = attrs.field(default=False, init=False)

    async def send_complete(self, status: int, headers: messages.HeaderPairs, body: bytes) -> None:
        """Sends a complete response."""
        response = web.Response(status=status, body=body)
        _set_headers(response, headers)
        await self._send(response)

    async def send_head(self, status: int, headers: messages.HeaderPairs) -> None:
        """Sends the status and headers of a response whose body follows in chunks."""
        response = web.StreamResponse(status=status)
        _set_headers(response, headers)
        caller_connection.finish_if_last(self._request, response)
        self.response = response
        self.started = True
        await response.prepare(self._request)

    async def send_chunk(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Marks the end of a complete body."""
        self.is_complete = True
        await self.response.write_eof()

    async def refuse(self, refusal: messages.Refusal) -> None:
        """Sends an error response that the gateway generates itself."""
        status, headers, body = self._services.codec.encode_refusal(refusal, self._request_id)
        await self._send(web.Response(status=status, headers=headers, body=body))

    def abort(self) -> None:
        """Aborts the connection without flushing its write buffer."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send(self, response: web.Response) -> None:
        caller_connection.finish_if_last(self._request, response)
        self.response = response
        self.started = True
        self.is_complete = True
        await response.prepare(self._request)
        await response.write_eof()


def _set_headers(response: web.StreamResponse, headers: messages.HeaderPairs) -> None:
    for name, value in headers:
        response.headers.add(name.decode("latin-1"), value.decode("utf-8", "surrogateescape"))


def _largest_line_bytes(request: web.BaseRequest) -> int:
    lines = (len(name) + len(value) for name, value in request.raw_headers)
    return max(len(request.raw_path), *lines, 0)
