"""HTTP client for calls to targets.

Engines use the completions protocol with server-sent events; services use JSON. Every call carries
its attempt id, which the target echoes; a response with another attempt id is rejected.
"""

from __future__ import annotations

import asyncio
import json
import types
from typing import Any
import urllib.parse

import aiohttp
import attrs
from expression import Error
from expression import Ok
from expression import Result
import yarl

from sesamehold.connection import liveness
from sesamehold.connection import sse
from sesamehold.connection import target_sessions
from sesamehold.process import clock as clocks
from sesamehold.process import dispatch
from sesamehold.request import calls
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import ids
from sesamehold.request import prompt
from sesamehold.version import manifest

ATTEMPT_HEADER = "Sesamehold-Attempt"
DEADLINE_HEADER = "Sesamehold-Deadline-Ms"
PRIORITY_HEADER = "Sesamehold-Priority"
LOAD_HEADER = "Sesamehold-Load"
RAN_HEADER = "Sesamehold-Ran"
KEY_HEADER = "Idempotency-Key"

CANCEL_TIMEOUT_S = 2.0
OUTCOME_TIMEOUT_S = 1.0
# Time after the deadline for which a target may still report that it stopped.
DEADLINE_GRACE_S = 0.25
_MS_PER_S = 1_000

# Events are always UTF-8, so the decoder is called directly to skip encoding detection.
_decode = json.JSONDecoder().decode


class _NotDispatchedError(Exception):
    """The call was cancelled after connecting and before its first byte was written."""


@attrs.define
class HttpTargetConnector:
    """Sends calls to targets over HTTP.

    aiohttp manages connection reuse and never retries POST requests. Non-repeatable calls use a new
    connection, because a keep-alive connection may be dead or deliver a late response to an earlier
    call, which would leave the outcome of the call unknown.
    """

    _sessions: target_sessions.TargetSessions
    _clock: clocks.Clock

    @classmethod
    def from_config(cls, connections_per_target: int, clock: clocks.Clock) -> HttpTargetConnector:
        """Creates a connector; must be called with a running event loop."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_before_write)
        trace.on_connection_reuseconn.append(_check_before_write)
        sessions = target_sessions.TargetSessions.from_config(connections_per_target, trace)
        return cls(sessions, clock)

    async def close(self) -> None:
        """Closes all connections."""
        await self._sessions.close()

    async def call(
        self, call: calls.TargetCall, on_pieces: calls.PieceHandler
    ) -> Result[calls.CallSuccess, calls.CallFault]:
        """Sends one call and waits for the complete response."""
        exchange = _Exchange(call)
        if not call.stage.repeatable:
            return await self._run_monitored(exchange, self._sessions.fresh, on_pieces)
        async with self._sessions.pooled(call.target.address) as session:
            result = await self._run_monitored(exchange, session, on_pieces)
        if result.is_error() and result.error.fault is events.AttemptFault.BAD_ANSWER:
            # If it was a late one, the next answer on its connection is that to this call.
            await self._sessions.retire(call.target.address)
        return result

    async def load(self, target: manifest.Target) -> dispatch.LoadReport | None:
        """Fetches the load report of a target without causing work; returns None on failure."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with (
                self._sessions.pooled(target.address) as session,
                session.get(f"http://{target.address}/v1/load", timeout=timeout) as response,
            ):
                return _parse_load(await response.text()) if response.status == 200 else None
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError):
            return None

    async def cancel(self, target: manifest.Target, attempt: ids.AttemptId) -> events.Usage | None:
        """Cancels an attempt; returns its usage, or None if the target did not report it."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = f"http://{target.address}/v1/attempts/{attempt.encode()}"
        try:
            # Use a new connection: the keep-alive connections of a cancelled call may be silent.
            async with self._sessions.fresh.delete(url, timeout=timeout) as response:
                if response.status != 200:
                    return None
                return _parse_usage(await response.json())
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError, TypeError):
            return None

    async def read_outcome(
        self, target: manifest.Target, key: ids.ExecutionKey
    ) -> calls.TargetOutcome | None:
        """Reads the outcome of a key from a target; returns None on failure."""
        timeout = aiohttp.ClientTimeout(total=OUTCOME_TIMEOUT_S)
        name = urllib.parse.quote(_idempotency_key(key), safe="")
        try:
            # Use a new connection: the connection of the failed call may be silent.
            async with self._sessions.fresh.get(
                yarl.URL(f"http://{target.address}/v1/outcomes/{name}", encoded=True),
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    return None
                return _parse_outcome(await response.json())
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError, TypeError):
            return None

    async def _run_monitored(
        self,
        exchange: _Exchange,
        session: aiohttp.ClientSession,
        on_pieces: calls.PieceHandler,
    ) -> Result[calls.CallSuccess, calls.CallFault]:
        """Runs an exchange while a second task monitors the connection for silence."""
        timeout_s = exchange.call.remaining_ms / _MS_PER_S + DEADLINE_GRACE_S
        try:
            # Replaces aiohttp's total timeout, which sets up a timer context for each read.
            async with asyncio.timeout(timeout_s) as scope:
                monitor = asyncio.create_task(self._monitor(exchange, scope))
                try:
                    return await _send_call(exchange, session, on_pieces)
                finally:
                    monitor.cancel()
        except TimeoutError:
            return Error(await self._fault_after_timeout(exchange))

    async def _monitor(self, exchange: _Exchange, scope: asyncio.Timeout) -> None:
        call = exchange.call
        state = liveness.ConnectionLiveness(
            first_byte_bound_ms=liveness.first_byte_bound_ms(
                repeatable=call.stage.repeatable,
                remaining_ms=call.remaining_ms,
                max_service_ms=call.max_service_ms,
            ),
            since_ms=self._clock.now_ms(),
        )
        while exchange.verdict is liveness.Verdict.WAIT:
            # Waiting for a slow caller must not count as silence of the target.
            exchange.progress += exchange.delivering
            step = state.observe(exchange.progress, self._clock.now_ms())
            if step.verdict is liveness.Verdict.PROBE:
                succeeded = await self._sessions.probe(call.target.address)
                step = state.evaluate_probe(
                    succeeded=succeeded, progress=exchange.progress, now_ms=self._clock.now_ms()
                )
            exchange.verdict = step.verdict
            await asyncio.sleep(step.wait_ms / _MS_PER_S)
        scope.reschedule(asyncio.get_running_loop().time())

    async def _fault_after_timeout(self, exchange: _Exchange) -> calls.CallFault:
        call = exchange.call
        if exchange.verdict in {liveness.Verdict.WAIT, liveness.Verdict.PROBE}:
            return exchange.fault(events.AttemptFault.TIMEOUT)
        if exchange.verdict is liveness.Verdict.UNREACHABLE:
            return exchange.fault(events.AttemptFault.CONNECTION_LOST)
        await self._sessions.retire(call.target.address)
        fault = exchange.fault(events.AttemptFault.SILENT)
        if not call.stage.repeatable:
            return fault
        # The target does not notice that its response is lost and would finish the work.
        usage = await self.cancel(call.target, call.attempt)
        return fault if usage is None else attrs.evolve(fault, usage=usage)


@attrs.define
class _Exchange:
    """State of one call in progress.

    Attributes:
        call: Call that is sent.
        written: Whether bytes of the request may have reached the target.
        progress: Counter that increases with each sign of progress, such as a received chunk.
        delivering: Whether pieces are being written to the caller, which pauses reading.
        received_tokens: Number of tokens received.
        load: Latest load report of the target.
        verdict: Why the exchange was aborted; `WAIT` if it was not.
    """

    call: calls.TargetCall
    written: bool = False
    progress: int = 0
    delivering: bool = False
    received_tokens: int = 0
    load: dispatch.LoadReport | None = None
    verdict: liveness.Verdict = liveness.Verdict.WAIT

    def fault(
        self, fault: events.AttemptFault, ran: errors.RunStatus | None = None
    ) -> calls.CallFault:
        """Returns a fault with the known execution state, usage and load."""
        if ran is None:
            ran = errors.RunStatus.UNKNOWN if self.written else errors.RunStatus.NO
        return calls.CallFault(fault, ran, events.Usage(units=self.received_tokens), self.load)


async def _send_call(
    exchange: _Exchange, session: aiohttp.ClientSession, on_pieces: calls.PieceHandler
) -> Result[calls.CallSuccess, calls.CallFault]:
    call = exchange.call
    try:
        async with session.post(
            f"http://{call.target.address}{call.stage.path}",
            data=json.dumps(_request_body(call)).encode(),
            headers=_request_headers(call),
            trace_request_ctx=exchange,
        ) as response:
            exchange.progress += 1
            return await _read_response(exchange, response, on_pieces)
    except _NotDispatchedError:
        return Error(exchange.fault(events.AttemptFault.CANCELLED, errors.RunStatus.NO))
    except TimeoutError:
        return Error(exchange.fault(events.AttemptFault.TIMEOUT))
    except aiohttp.ClientConnectorError:
        return Error(exchange.fault(events.AttemptFault.NO_CONNECTION, errors.RunStatus.NO))
    except aiohttp.ClientResponseError:
        # Bytes came that are no answer; that is no sign of a crash.
        return Error(exchange.fault(events.AttemptFault.BAD_ANSWER))
    except (aiohttp.ClientError, ConnectionError):
        return Error(exchange.fault(events.AttemptFault.CONNECTION_LOST))
    except (ValueError, KeyError, TypeError):
        return Error(exchange.fault(events.AttemptFault.BAD_ANSWER))


async def _check_before_write(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, params: object
) -> None:
    del session, params
    exchange = context.trace_request_ctx
    if exchange is None:
        return
    if not exchange.call.before_write():
        raise _NotDispatchedError
    exchange.written = True


def _request_headers(call: calls.TargetCall) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        ATTEMPT_HEADER: call.attempt.encode(),
        DEADLINE_HEADER: str(call.remaining_ms),
        PRIORITY_HEADER: str(call.priority),
    }
    if call.key is not None:
        headers[KEY_HEADER] = _idempotency_key(call.key)
    return headers


def _idempotency_key(key: ids.ExecutionKey) -> str:
    return f"{key.account}:{key.text}"


def _request_body(call: calls.TargetCall) -> dict[str, Any]:
    if call.stage.kind is not manifest.StageKind.GENERATE:
        return call.body
    body: dict[str, Any] = {
        "model": call.stage.model,
        "prompt": prompt.build(call.body),
        "max_tokens": call.stage.max_tokens,
        "stream": True,
        "priority": call.priority,
    }
    if call.stage.adapter is not None:
        body["adapter"] = call.stage.adapter
    if call.resume_index:
        body["resume_index"] = call.resume_index
        body["resume_text"] = call.resume_text
    return body


async def _read_response(
    exchange: _Exchange, response: aiohttp.ClientResponse, on_pieces: calls.PieceHandler
) -> Result[calls.CallSuccess, calls.CallFault]:
    call = exchange.call
    exchange.load = _parse_load(response.headers.get(LOAD_HEADER))
    if response.headers.get(ATTEMPT_HEADER) != call.attempt.encode():
        return Error(exchange.fault(events.AttemptFault.BAD_ANSWER))
    if response.status != 200:
        return Error(_response_fault(response, exchange))
    if call.stage.kind is manifest.StageKind.GENERATE:
        return await _read_stream(exchange, response, on_pieces)
    document = await response.json()
    if document["attempt"] != call.attempt.encode():
        return Error(exchange.fault(events.AttemptFault.BAD_ANSWER))
    output = document["output"]
    if not isinstance(output, dict):
        raise TypeError("service output is not a JSON object")
    usage = _parse_usage(document.get("usage", {}))
    return Ok(calls.CallSuccess(output, usage, exchange.load))


async def _read_stream(
    exchange: _Exchange, response: aiohttp.ClientResponse, on_pieces: calls.PieceHandler
) -> Result[calls.CallSuccess, calls.CallFault]:
    reader = _StreamReader(exchange.call.attempt.encode())
    parser = sse.EventParser()
    content = response.content
    while not reader.done:
        chunk = await content.readany()
        if not chunk:
            break
        exchange.progress += 1
        pieces = reader.read(parser.feed(chunk))
        exchange.received_tokens = reader.received_tokens
        if not pieces:
            continue
        exchange.delivering = True
        accepted = await on_pieces(pieces)
        exchange.delivering = False
        if not accepted:
            return Error(exchange.fault(events.AttemptFault.BAD_ANSWER))
    if not reader.done or not reader.finished:
        return Error(exchange.fault(events.AttemptFault.CONNECTION_LOST))
    load = reader.load or exchange.load
    return Ok(calls.CallSuccess({"text": reader.text()}, reader.usage, load))


@attrs.define
class _StreamReader:
    """Decodes the events of one completions stream."""

    attempt: str
    done: bool = False
    finished: bool = False
    usage: events.Usage = events.Usage()
    load: dispatch.LoadReport | None = None
    received_tokens: int = 0
    _texts: list[str] = attrs.field(factory=list)

    def read(self, blocks: list[bytes]) -> list[calls.Piece]:
        """Processes the data of complete events and returns the pieces that they carry."""
        pieces: list[calls.Piece] = []
        for data in blocks:
            if data == b"[DONE]":
                self.done = True
                break
            document = _decode(data.decode())
            if document["attempt"] != self.attempt:
                raise ValueError("event belongs to another attempt")
            choice = document["choices"][0]
            if choice.get("finish_reason") is not None:
                self._finish(document)
                continue
            token_count = document["token_count"]
            text = choice["text"]
            self.received_tokens += token_count
            self._texts.append(text)
            pieces.append(calls.Piece(document["index"], token_count, text))
        return pieces

    def _finish(self, document: dict[str, Any]) -> None:
        self.finished = True
        self.usage = _parse_usage(document.get("usage", {}))
        self.load = _parse_load_document(document.get("load"))

    def text(self) -> str:
        return "".join(self._texts)


def _response_fault(response: aiohttp.ClientResponse, exchange: _Exchange) -> calls.CallFault:
    not_run = response.headers.get(RAN_HEADER) == errors.RunStatus.NO.value
    ran = errors.RunStatus.NO if not_run else errors.RunStatus.UNKNOWN
    if response.status != 503 or not not_run:
        return exchange.fault(events.AttemptFault.ERROR_ANSWER, ran)
    cold = exchange.load is not None and exchange.load.cold
    fault = events.AttemptFault.REFUSED_COLD if cold else events.AttemptFault.REFUSED
    return exchange.fault(fault, ran)


def _parse_outcome(document: Any) -> calls.TargetOutcome | None:
    if not isinstance(document, dict):
        return None
    output = document.get("output")
    return calls.TargetOutcome(
        executions=int(document.get("executions", 0)),
        output=output if isinstance(output, dict) else None,
        usage=_parse_usage(document.get("usage")),
    )


def _parse_usage(document: Any) -> events.Usage:
    if not isinstance(document, dict):
        return events.Usage()
    return events.Usage(
        units=int(document.get("units", 0)), cached_units=int(document.get("cached_units", 0))
    )


def _parse_load(header: str | None) -> dispatch.LoadReport | None:
    if header is None:
        return None
    try:
        return _parse_load_document(json.loads(header))
    except ValueError:
        # The load report is only a hint; a malformed one must not fail the response.
        return None


def _parse_load_document(document: Any) -> dispatch.LoadReport | None:
    if not isinstance(document, dict):
        return None
    return dispatch.LoadReport(
        running=int(document.get("running", 0)),
        waiting=int(document.get("waiting", 0)),
        cold=bool(document.get("cold", False)),
        start_id=str(document.get("start_id", "")),
    )
