"""Calls to targets over HTTP.

Engines speak the completions protocol with server-sent events; services speak JSON. Every call
carries its attempt id, which the target echoes; an answer with another attempt id is rejected.
"""

from __future__ import annotations

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

from sesamehold.connection import sse
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
READBACK_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# Time that a target gets beyond the deadline to answer that it stopped.
DEADLINE_GRACE_S = 0.25
_MS_PER_S = 1_000


class _NotDispatchedError(Exception):
    """The call was stopped after connecting and before the first byte was written."""


@attrs.define
class HttpTargetConnector:
    """Target calls over pooled HTTP connections.

    Connection reuse is left to aiohttp; requests with POST are never repeated by it.
    """

    _session: aiohttp.ClientSession

    @classmethod
    def from_config(cls, connections_per_target: int) -> HttpTargetConnector:
        """Returns a connector; must be called with a running event loop."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(_check_before_write)
        trace.on_connection_reuseconn.append(_check_before_write)
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=connections_per_target)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        return cls(
            aiohttp.ClientSession(
                connector=connector,
                timeout=timeout,
                trace_configs=[trace],
                cookie_jar=aiohttp.DummyCookieJar(),
                raise_for_status=False,
            )
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def call(
        self, call: calls.TargetCall, on_pieces: calls.PieceHandler
    ) -> Result[calls.CallSuccess, calls.CallFault]:
        """Sends one call and waits for its complete answer."""
        written = _WriteMark(call)
        timeout_s = call.remaining_ms / _MS_PER_S + DEADLINE_GRACE_S
        timeout = aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self._session.post(
                f"http://{call.target.address}{call.stage.path}",
                data=json.dumps(_body_of(call)).encode(),
                headers=_headers_of(call),
                timeout=timeout,
                trace_request_ctx=written,
            ) as response:
                return await _read_answer(call, response, on_pieces)
        except _NotDispatchedError:
            return Error(calls.CallFault(events.AttemptFault.CANCELLED, errors.Ran.NO))
        except TimeoutError:
            return Error(calls.CallFault(events.AttemptFault.TIMEOUT, written.ran()))
        except aiohttp.ClientConnectorError:
            return Error(calls.CallFault(events.AttemptFault.NO_CONNECTION, errors.Ran.NO))
        except (aiohttp.ClientError, ConnectionError):
            return Error(calls.CallFault(events.AttemptFault.CONNECTION_LOST, written.ran()))
        except (ValueError, KeyError, TypeError):
            return Error(calls.CallFault(events.AttemptFault.BAD_ANSWER, written.ran()))

    async def load(self, target: manifest.Target) -> dispatch.LoadReport | None:
        """Reads the target's load report, which is no work for it; None if it gives none."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._session.get(
                f"http://{target.address}/v1/load", timeout=timeout
            ) as response:
                return _load_of(await response.text()) if response.status == 200 else None
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError):
            return None

    async def cancel(self, target: manifest.Target, attempt: ids.AttemptId) -> events.Usage | None:
        """Cancels an attempt and returns the work done for it."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        try:
            async with self._session.delete(
                f"http://{target.address}/v1/attempts/{attempt.encode()}", timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                return _usage_of(await response.json())
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError, TypeError):
            return None

    async def read_outcome(
        self, target: manifest.Target, key: ids.ExecutionKey
    ) -> calls.TargetOutcome | None:
        """Reads what a target knows about a key."""
        timeout = aiohttp.ClientTimeout(total=READBACK_TIMEOUT_S)
        name = urllib.parse.quote(_key_text(key), safe="")
        try:
            async with self._session.get(
                yarl.URL(f"http://{target.address}/v1/outcomes/{name}", encoded=True),
                timeout=timeout,
            ) as response:
                if response.status != 200:
                    return None
                return _outcome_of(await response.json())
        except (aiohttp.ClientError, ConnectionError, TimeoutError, ValueError, TypeError):
            return None


@attrs.define
class _WriteMark:
    """Remembers whether bytes of the call may have reached the target."""

    call: calls.TargetCall
    written: bool = False

    def ran(self) -> errors.Ran:
        return errors.Ran.UNKNOWN if self.written else errors.Ran.NO


async def _check_before_write(
    session: aiohttp.ClientSession, context: types.SimpleNamespace, params: object
) -> None:
    del session, params
    mark = context.trace_request_ctx
    if mark is None:
        return
    if not mark.call.before_write():
        raise _NotDispatchedError
    mark.written = True


def _headers_of(call: calls.TargetCall) -> dict[str, str]:
    headers = {
        "Content-Type": "application/json",
        ATTEMPT_HEADER: call.attempt.encode(),
        DEADLINE_HEADER: str(call.remaining_ms),
        PRIORITY_HEADER: str(call.priority),
    }
    if call.key is not None:
        headers[KEY_HEADER] = _key_text(call.key)
    return headers


def _key_text(key: ids.ExecutionKey) -> str:
    return f"{key.account}:{key.text}"


def _body_of(call: calls.TargetCall) -> dict[str, Any]:
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


async def _read_answer(
    call: calls.TargetCall, response: aiohttp.ClientResponse, on_pieces: calls.PieceHandler
) -> Result[calls.CallSuccess, calls.CallFault]:
    load = _load_of(response.headers.get(LOAD_HEADER))
    if response.headers.get(ATTEMPT_HEADER) != call.attempt.encode():
        return Error(calls.CallFault(events.AttemptFault.BAD_ANSWER, errors.Ran.UNKNOWN, load=load))
    if response.status != 200:
        return Error(_fault_of(response, load))
    if call.stage.kind is manifest.StageKind.GENERATE:
        return await _read_stream(call, response, on_pieces, load)
    document = await response.json()
    if document["attempt"] != call.attempt.encode():
        return Error(calls.CallFault(events.AttemptFault.BAD_ANSWER, errors.Ran.UNKNOWN, load=load))
    output = document["output"]
    if not isinstance(output, dict):
        raise TypeError("output of a service must be an object")
    return Ok(calls.CallSuccess(output, _usage_of(document.get("usage", {})), load))


async def _read_stream(
    call: calls.TargetCall,
    response: aiohttp.ClientResponse,
    on_pieces: calls.PieceHandler,
    load: dispatch.LoadReport | None,
) -> Result[calls.CallSuccess, calls.CallFault]:
    reader = _StreamReader(call.attempt.encode())
    parser = sse.EventParser()
    content = response.content
    try:
        while not reader.done:
            chunk = await content.readany()
            if not chunk:
                break
            pieces = [piece for data in parser.feed(chunk) if (piece := reader.read(data))]
            if pieces and not await on_pieces(pieces):
                return Error(reader.fault(events.AttemptFault.BAD_ANSWER, load))
    except (aiohttp.ClientError, ConnectionError):
        return Error(reader.fault(events.AttemptFault.CONNECTION_LOST, load))
    except TimeoutError:
        return Error(reader.fault(events.AttemptFault.TIMEOUT, load))
    except (ValueError, KeyError, TypeError):
        return Error(reader.fault(events.AttemptFault.BAD_ANSWER, load))
    if not reader.done or not reader.finished:
        return Error(reader.fault(events.AttemptFault.CONNECTION_LOST, load))
    return Ok(calls.CallSuccess({"text": reader.text()}, reader.usage, reader.load or load))


@attrs.define
class _StreamReader:
    """Collects the events of one completions stream."""

    attempt: str
    done: bool = False
    finished: bool = False
    usage: events.Usage = events.Usage()
    load: dispatch.LoadReport | None = None
    _received_tokens: int = 0
    _texts: list[str] = attrs.field(factory=list)

    def read(self, data: bytes) -> calls.Piece | None:
        """Takes the data of one event; returns its piece, if it has one."""
        if data == b"[DONE]":
            self.done = True
            return None
        document = json.loads(data)
        if document["attempt"] != self.attempt:
            raise ValueError("event of another attempt")
        choice = document["choices"][0]
        if choice.get("finish_reason") is not None:
            self._finish(document)
            return None
        token_count = document["token_count"]
        self._received_tokens += token_count
        self._texts.append(choice["text"])
        return calls.Piece(document["index"], token_count, choice["text"])

    def _finish(self, document: dict[str, Any]) -> None:
        self.finished = True
        self.usage = _usage_of(document.get("usage", {}))
        self.load = _load_of_document(document.get("load"))

    def text(self) -> str:
        return "".join(self._texts)

    def fault(
        self, fault: events.AttemptFault, load: dispatch.LoadReport | None
    ) -> calls.CallFault:
        usage = events.Usage(units=self._received_tokens)
        return calls.CallFault(fault, errors.Ran.UNKNOWN, usage, load)


def _fault_of(
    response: aiohttp.ClientResponse, load: dispatch.LoadReport | None
) -> calls.CallFault:
    not_run = response.headers.get(RAN_HEADER) == errors.Ran.NO.value
    if response.status == 503 and not_run:
        cold = load is not None and load.cold
        fault = events.AttemptFault.REFUSED_COLD if cold else events.AttemptFault.REFUSED
        return calls.CallFault(fault, errors.Ran.NO, load=load)
    ran = errors.Ran.NO if not_run else errors.Ran.UNKNOWN
    return calls.CallFault(events.AttemptFault.ERROR_ANSWER, ran, load=load)


def _outcome_of(document: Any) -> calls.TargetOutcome | None:
    if not isinstance(document, dict):
        return None
    output = document.get("output")
    return calls.TargetOutcome(
        executions=int(document.get("executions", 0)),
        output=output if isinstance(output, dict) else None,
        usage=_usage_of(document.get("usage")),
    )


def _usage_of(document: Any) -> events.Usage:
    if not isinstance(document, dict):
        return events.Usage()
    return events.Usage(
        units=int(document.get("units", 0)), cached_units=int(document.get("cached_units", 0))
    )


def _load_of(header: str | None) -> dispatch.LoadReport | None:
    if header is None:
        return None
    try:
        return _load_of_document(json.loads(header))
    except ValueError:
        # Load is a hint; a malformed one must not fail the answer that carries it.
        return None


def _load_of_document(document: Any) -> dispatch.LoadReport | None:
    if not isinstance(document, dict):
        return None
    return dispatch.LoadReport(
        running=int(document.get("running", 0)),
        waiting=int(document.get("waiting", 0)),
        cold=bool(document.get("cold", False)),
        start_id=str(document.get("start_id", "")),
    )
