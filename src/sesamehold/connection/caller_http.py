"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import json
from typing import Any

from aiohttp import web
import attrs
from expression import Result

from sesamehold.connection import problem
from sesamehold.connection import sse
from sesamehold.connection import submission
from sesamehold.process import explanations
from sesamehold.process import node as nodes
from sesamehold.request import calls
from sesamehold.request import driver
from sesamehold.request import errors
from sesamehold.request import execution

_MS_PER_S = 1_000

# The event of one piece, formatted without the general JSON encoder, which takes several times as
# long on the hottest path of a host.
_PIECE_EVENT = 'event: piece\ndata: {"index": %d, "token_count": %d, "text": %s}\n\n'
_quote = json.encoder.encode_basestring_ascii


@attrs.define
class CallerApi:
    """Handlers of the callers' HTTP interface."""

    node: nodes.Node
    services: driver.Services

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(client_max_size=self.node.config.limits.body_size_bytes)
        application.router.add_post("/v1/pipelines/{pipeline}/requests", self.submit)
        application.router.add_delete("/v1/requests/{request_id}", self.cancel)
        application.router.add_get("/healthz", self.health)
        application.middlewares.append(_problems)
        return application

    async def health(self, request: web.Request) -> web.Response:
        """Answers 200 while this host wants new requests from the balancer."""
        del request
        ready = self.node.version is not None and not self.node.requests.draining
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def submit(self, request: web.Request) -> web.StreamResponse:
        """Runs one request and answers it whole or as a stream."""
        body = await request.read()
        decoded = submission.decode(request.match_info["pipeline"], request.headers, body)
        match decoded:
            case Result(tag="ok", ok=value):
                return await self._admit(request, value)
            case Result(error=failure):
                return problem_response(failure, None)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a request of the same client account."""
        credential = request.headers.get("Authorization", "").removeprefix("Bearer ").strip()
        account = self.node.credentials.account_of(credential)
        if account is None:
            return problem_response(
                errors.Unauthenticated(detail="Send `Authorization: Bearer` credentials."), None
            )
        running = self.node.requests.find(request.match_info["request_id"])
        if running is None or running.account != account.name:
            # Requests of other accounts are indistinguishable from unknown ones.
            return problem_response(errors.NotFound(detail="No such open request."), None)
        running.cancel()
        return web.json_response({"cancelled": True}, status=202)

    async def _admit(
        self, request: web.Request, value: submission.Submission
    ) -> web.StreamResponse:
        query = nodes.AdmissionQuery(
            credential=value.credential,
            pipeline=value.pipeline,
            body=value.body,
            deadline_ms=value.deadline_ms,
            priority=value.priority,
            key=value.key,
            first_submission=value.first_submission,
        )
        match self.node.admit(query):
            case Result(tag="ok", ok=admitted):
                return await self._run(request, admitted, stream=value.stream)
            case Result(error=failure):
                self.node.metrics.count(f"requests.refused.{failure.kind}")
                return problem_response(failure, None)

    async def _run(
        self, request: web.Request, admitted: execution.Request, *, stream: bool
    ) -> web.StreamResponse:
        sink = _HttpAnswerSink(request, admitted.request_id, stream=stream)
        running = self._start(admitted, sink)
        self.node.requests.add(admitted.request_id, _OpenRequest(admitted.account, running))
        task = asyncio.create_task(running.run())
        task.add_done_callback(lambda _: self.node.requests.remove(admitted.request_id))
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller closed its connection; the driver ends the request in its own task.
            running.cancel()
            raise
        return sink.response

    def _start(self, admitted: execution.Request, sink: calls.AnswerSink) -> driver.RequestDriver:
        trace = explanations.Trace(
            request_id=admitted.request_id,
            account=admitted.account,
            pipeline=admitted.pipeline.name,
            started_wall_ms=self.node.clock.wall_ms(),
        )
        self.node.explanations.open(trace)
        self.node.metrics.count("requests.admitted")
        machine = execution.RequestExecution(admitted, self.node.retry_budget)
        return driver.RequestDriver(machine, self.services, sink, trace)


@attrs.define
class _OpenRequest:
    """Entry of the process's request registry."""

    account: str
    _driver: driver.RequestDriver

    def cancel(self) -> None:
        self._driver.cancel()


def problem_response(failure: errors.Failure, request_id: str | None) -> web.Response:
    """Returns the problem document of a failure as an HTTP response."""
    headers = {}
    if failure.retry_after_ms is not None:
        headers["Retry-After"] = str(-(-failure.retry_after_ms // _MS_PER_S))
    return web.json_response(
        problem.to_body(failure, request_id),
        status=failure.status,
        content_type=problem.CONTENT_TYPE,
        headers=headers,
    )


@web.middleware
async def _problems(request: web.Request, handler: Any) -> web.StreamResponse:
    """Turns aiohttp's own refusals into problem documents."""
    try:
        response: web.StreamResponse = await handler(request)
    except web.HTTPRequestEntityTooLarge:
        return problem_response(errors.TooLarge(detail="The body exceeds the limit."), None)
    except web.HTTPNotFound:
        return problem_response(errors.NotFound(detail="There is no such path."), None)
    except web.HTTPMethodNotAllowed as error:
        failure = errors.BadRequest(detail=f"{error.method} is not allowed here.", field="method")
        return problem_response(failure, None)
    return response


@attrs.define(init=False, eq=False)
class _HttpAnswerSink:
    """Writes the answer of one request to its HTTP exchange."""

    response: web.StreamResponse
    _request: web.Request
    _request_id: str
    _stream: bool
    _started: bool

    def __init__(self, request: web.Request, request_id: str, *, stream: bool) -> None:
        self._request = request
        self._request_id = request_id
        self._stream = stream
        self._started = False
        self.response = web.StreamResponse()

    async def pieces(self, pieces: Sequence[calls.Piece]) -> None:
        if not self._stream:
            return
        await self._start_stream()
        chunk = "".join([_PIECE_EVENT % (p.index, p.token_count, _quote(p.text)) for p in pieces])
        await self.response.write(chunk.encode())

    async def answer(self, answer: dict[str, Any]) -> None:
        body = json.dumps(answer).encode()
        if self._stream:
            await self._start_stream()
            await self.response.write(sse.encode(body, b"answer"))
            await self.response.write_eof()
        else:
            await self._whole(200, "application/json", body)

    async def held_answer(self, status: int, content_type: str, body: bytes) -> None:
        if self._stream:
            await self._start_stream()
            await self.response.write(sse.encode(body, b"answer"))
            await self.response.write_eof()
        else:
            await self._whole(status, content_type, body)

    async def failure(self, failure: errors.Failure) -> None:
        if self._started:
            body = json.dumps(problem.to_body(failure, self._request_id)).encode()
            await self.response.write(sse.encode(body, b"failure"))
            await self.response.write_eof()
            return
        self.response = problem_response(failure, self._request_id)
        await self.response.prepare(self._request)
        await self.response.write_eof()

    async def _whole(self, status: int, content_type: str, body: bytes) -> None:
        headers = {"Sesamehold-Request": self._request_id}
        self.response = web.Response(
            status=status, body=body, content_type=content_type, headers=headers
        )
        await self.response.prepare(self._request)
        await self.response.write_eof()

    async def _start_stream(self) -> None:
        if self._started:
            return
        self._started = True
        self.response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                "Sesamehold-Request": self._request_id,
            }
        )
        await self.response.prepare(self._request)
