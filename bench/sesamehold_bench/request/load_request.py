"""A request of the load tool: its plan, its HTTP exchange and its outcome."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import json
import time
from typing import Any

import aiohttp
import attrs

from sesamehold.connection import sse
from sesamehold.version import manifest
from sesamehold_bench.request import expected
from sesamehold_bench.version import fleet

ANSWERED = "answered"
CONNECTION_LOST = "connection-lost"
NO_CONNECTION = "no-connection"
NO_END = "no-end"
# Time after its deadline within which a request must be answered or refused.
GRACE_S = 20.0
_MS_PER_S = 1_000


@attrs.frozen
class PlannedRequest:
    """Content and arrival time of one request.

    Attributes:
        number: Unique number within a run; part of the prompt, so that every answer differs.
        at_s: Arrival time, from the start of the run.
        host_index: Index of the entry host.
        account: Client account.
        pipeline: Requested pipeline.
        prompt: Prompt in the request body.
        stream: Whether the answer is streamed.
        deadline_ms: End-to-end deadline.
        priority: From 0 to 9.
        key: Idempotency key, or None.
        submission: 1 for the first submission of the key, larger for repeats.
    """

    number: int
    at_s: float
    host_index: int
    account: str
    pipeline: manifest.Pipeline
    prompt: str
    stream: bool
    deadline_ms: int
    priority: int = 0
    key: str | None = None
    submission: int = 1

    def headers(self) -> dict[str, str]:
        """Returns the HTTP headers."""
        headers = {
            "Authorization": f"Bearer {fleet.credential_of(self.account)}",
            "Sesamehold-Deadline-Ms": str(self.deadline_ms),
            "Sesamehold-Priority": str(self.priority),
        }
        if self.stream:
            headers["Accept"] = "text/event-stream"
        if self.key is not None:
            headers["Idempotency-Key"] = self.key
            headers["Sesamehold-Submission"] = str(self.submission)
        return headers


@attrs.frozen
class Outcome:
    """Result of one request.

    Attributes:
        plan: Request that was sent.
        kind: `answered`, the kind of the refusal, or one of the constants above.
        ran: Whether the request ran, as stated by a refusal; None for an answer.
        request_id: ID assigned by the host, empty if unknown.
        latency_ms: Time until the end of the answer.
        first_piece_ms: Time until the first piece of a stream, None without a piece.
        gaps_ms: Times between consecutive pieces.
        faults: Differences between the answer and the expected output of the stand-ins.
    """

    plan: PlannedRequest
    kind: str
    ran: str | None
    request_id: str
    latency_ms: float
    first_piece_ms: float | None = None
    gaps_ms: tuple[float, ...] = ()
    faults: tuple[str, ...] = ()

    @property
    def attained(self) -> bool:
        """Returns whether a correct answer arrived within the deadline."""
        on_time = self.latency_ms <= self.plan.deadline_ms
        return self.kind == ANSWERED and not self.faults and on_time

    @property
    def may_use_other_host(self) -> bool:
        """Returns whether a load balancer would send the request to another host."""
        return self.kind in {NO_CONNECTION, "draining"}


@attrs.define
class _ResponseState:
    """State of a response while it is being read."""

    started_s: float
    now_s: Callable[[], float]
    request_id: str = ""
    arrivals_s: list[float] = attrs.field(factory=list)
    texts: list[str] = attrs.field(factory=list)
    next_index: int = 0
    final: dict[str, Any] | None = None
    faults: list[str] = attrs.field(factory=list)

    def add_event(self, data: bytes) -> None:
        """Processes one event of a stream."""
        document = json.loads(data)
        if "index" not in document:
            if self.final is not None:
                self.faults.append("second end")
            self.final = document
            return
        self.arrivals_s.append(self.now_s())
        if document["index"] != self.next_index:
            self.faults.append(f"piece {document['index']} in place of {self.next_index}")
        self.next_index = document["index"] + document["token_count"]
        self.texts.append(document["text"])


async def send(session: aiohttp.ClientSession, address: str, plan: PlannedRequest) -> Outcome:
    """Sends one request and compares its answer with the expected one."""
    # The event loop's clock has a resolution of 1 ms, too coarse for the gaps between pieces.
    received = _ResponseState(started_s=time.monotonic(), now_s=time.monotonic)
    timeout = aiohttp.ClientTimeout(total=plan.deadline_ms / _MS_PER_S + GRACE_S)
    failure_kind = CONNECTION_LOST
    try:
        async with session.post(
            f"http://{address}/v1/pipelines/{plan.pipeline.name}/requests",
            json={"prompt": plan.prompt},
            headers=plan.headers(),
            timeout=timeout,
        ) as response:
            await _read(response, received)
    except TimeoutError:
        failure_kind = NO_END
    except aiohttp.ClientConnectorError:
        failure_kind = NO_CONNECTION
    except (aiohttp.ClientError, ConnectionError):
        pass
    return _outcome(plan, received, failure_kind)


async def _read(response: aiohttp.ClientResponse, received: _ResponseState) -> None:
    received.request_id = response.headers.get("Sesamehold-Request", "")
    if response.content_type != "text/event-stream":
        received.final = await response.json(content_type=None)
        return
    parser = sse.EventParser()
    async for chunk in response.content.iter_any():
        for data in parser.feed(chunk):
            received.add_event(data)


def _outcome(plan: PlannedRequest, received: _ResponseState, failure_kind: str) -> Outcome:
    final = received.final
    latency_ms = (received.now_s() - received.started_s) * _MS_PER_S
    if final is None:
        return Outcome(plan, failure_kind, "unknown", received.request_id, latency_ms)
    arrivals = received.arrivals_s
    gaps = itertools.pairwise(arrivals)
    answered = "outputs" in final
    return Outcome(
        plan=plan,
        kind=ANSWERED if answered else str(final.get("type", "")).rpartition(":")[2],
        ran=None if answered else str(final.get("ran")),
        request_id=received.request_id or str(final.get("request_id", "")),
        latency_ms=latency_ms,
        first_piece_ms=(arrivals[0] - received.started_s) * _MS_PER_S if arrivals else None,
        gaps_ms=tuple((later - earlier) * _MS_PER_S for earlier, later in gaps),
        faults=tuple(received.faults) + (_differences(plan, received) if answered else ()),
    )


def _differences(plan: PlannedRequest, received: _ResponseState) -> tuple[str, ...]:
    wanted = expected.outputs(plan.pipeline, plan.prompt)
    got = received.final["outputs"] if received.final else {}
    faults = [f"stage {name} differs" for name in wanted if got.get(name) != wanted[name]]
    faults += [f"unexpected stage {name}" for name in got if name not in wanted]
    if received.texts and "".join(received.texts) != got.get("generate", {}).get("text"):
        faults.append("pieces differ from the answer")
    return tuple(faults)
