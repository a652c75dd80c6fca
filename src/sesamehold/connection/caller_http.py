"""HTTP API for callers."""

from __future__ import annotations

import asyncio

from aiohttp import web
import attrs
from expression import Result

from sesamehold.connection import answer_http
from sesamehold.connection import caller_body
from sesamehold.connection import caller_connection
from sesamehold.connection import explanation_peer
from sesamehold.connection import peer_client
from sesamehold.connection import problem_http
from sesamehold.connection import submission
from sesamehold.process import explanations
from sesamehold.process import node as nodes
from sesamehold.request import driver
from sesamehold.request import errors
from sesamehold.request import execution
from sesamehold.version import manifest


@attrs.define
class CallerApi:
    """Request handlers of the caller API.

    Attributes:
        node: State of this host's decision logic.
        services: Process-wide services that requests use.
        peers: Client for other hosts; None if only local data is served.
    """

    node: nodes.Node
    services: driver.Services
    peers: peer_client.PeerClient | None = None
    _open_streams: int = 0

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        application = web.Application(middlewares=[problem_http.middleware])
        application.router.add_post("/v1/pipelines/{pipeline}/requests", self.submit)
        application.router.add_delete("/v1/requests/{request_id}", self.cancel)
        application.router.add_get("/v1/requests/{request_id}/explanation", self.explanation)
        application.router.add_get("/healthz", self.health)
        return application

    async def health(self, request: web.Request) -> web.Response:
        """Returns 200 while the load balancer should send new requests to this host, else 503."""
        del request
        ready = self.node.is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def submit(self, request: web.Request) -> web.StreamResponse:
        """Runs one request and returns a complete or streamed response."""
        match await caller_body.read(request, self.node.config.limits):
            case Result(tag="ok", ok=body):
                if not caller_connection.admit(request, submission.decoded_bytes(body)):
                    return self._refuse(caller_connection.memory_failure())
                decoded = submission.decode(request.match_info["pipeline"], request.headers, body)
            case Result(error=failure):
                return self._refuse(failure)
        match decoded:
            case Result(tag="ok", ok=value):
                return await self._admit(request, value)
            case Result(error=failure):
                return self._refuse(failure)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels an open request of the caller's client account."""
        account = self._account_of(request)
        if account is None:
            return self._refuse(_unauthenticated())
        running = self.node.requests.find(request.match_info["request_id"])
        if running is None or running.account != account.name:
            # Do not reveal whether a request of another account exists.
            return self._refuse(errors.NotFound(detail="No such open request."))
        running.cancel()
        return web.json_response({"cancelled": True}, status=202)

    async def explanation(self, request: web.Request) -> web.Response:
        """Returns the explanation of a request of the caller's client account."""
        account = self._account_of(request)
        if account is None:
            return self._refuse(_unauthenticated())
        finder = explanation_peer.ExplanationFinder(self.node, self.peers)
        document = await finder.find(request.match_info["request_id"], account.name)
        if document is None:
            return self._refuse(errors.NotFound(detail="No explanation of such a request is held."))
        return web.json_response(document)

    def _account_of(self, request: web.Request) -> manifest.Account | None:
        credential = submission.bearer_credential(request.headers.get("Authorization", ""))
        return self.node.credentials.account_of(credential)

    def _refuse(self, failure: errors.Failure) -> web.Response:
        self.node.metrics.count(f"requests.refused.{failure.kind}")
        return problem_http.response(failure, None)

    async def _admit(
        self, request: web.Request, value: submission.Submission
    ) -> web.StreamResponse:
        limit = self.node.config.limits.open_streams
        if value.stream and self._open_streams >= limit:
            detail = f"This host has {limit} open streams, which is its limit."
            return self._refuse(errors.LimitExceeded(detail=detail, retry_after_ms=1_000))
        query = nodes.AdmissionRequest(
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
                return self._refuse(failure)

    async def _run(
        self, request: web.Request, admitted: execution.Request, *, stream: bool
    ) -> web.StreamResponse:
        sink = answer_http.HttpAnswerSink(
            request=request,
            request_id=admitted.request_id,
            metrics=self.node.metrics,
            stream=stream,
            idle_ms=self.node.config.limits.idle_ms,
        )
        running = self._start(admitted, sink)
        self.node.requests.add(admitted.request_id, _OpenRequest(admitted.account, running))
        task = asyncio.create_task(running.run())
        task.add_done_callback(lambda _: self.node.requests.remove(admitted.request_id))
        task.add_done_callback(lambda _: sink.close())
        self._open_streams += stream
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            # The caller disconnected; the driver ends the request in its own task.
            running.cancel()
            raise
        finally:
            self._open_streams -= stream
        return sink.response

    def _start(
        self, admitted: execution.Request, sink: answer_http.HttpAnswerSink
    ) -> driver.RequestDriver:
        trace = explanations.Trace(
            request_id=admitted.request_id,
            account=admitted.account,
            pipeline=admitted.pipeline.name,
            started_wall_ms=self.node.clock.wall_ms(),
        )
        trace.records.append(_admission_record(admitted, self.node.clock.now_ms()))
        self.node.explanations.open(trace)
        self.node.metrics.count("requests.admitted")
        machine = execution.RequestExecution(admitted, self.node.retry_budget)
        return driver.RequestDriver(machine, self.services, sink, trace)


@attrs.define
class _OpenRequest:
    """Entry of the registry of open requests."""

    account: str
    _driver: driver.RequestDriver

    def cancel(self) -> None:
        self._driver.cancel()


def _admission_record(admitted: execution.Request, now_ms: int) -> explanations.TraceRecord:
    key = admitted.key
    fields = {
        "deadline_ms": admitted.deadline.remaining_ms(now_ms),
        "priority": admitted.priority,
        "stages": ",".join(stage.name for stage in admitted.pipeline.stages),
        # Keys are request content; only their origin is recorded.
        "key_of": None if key is None else "host" if key.host_generated else "caller",
        "first_submission": admitted.first_submission,
    }
    return explanations.TraceRecord(0, "admitted", "", fields)


def _unauthenticated() -> errors.Unauthenticated:
    return errors.Unauthenticated(detail="Send `Authorization: Bearer` credentials.")
