"""Tests the forwarding of streams that stall, with scripted targets and without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence

import attrs
from expression import Error
from expression import Ok
import pytest

from sesamehold.process import clock as clocks
from sesamehold.process.gateway import engine_load
from sesamehold.process.gateway import engine_slowdowns
from sesamehold.process.gateway import target_ranking
from sesamehold.process.gateway import targets
from sesamehold.request.gateway import messages
from sesamehold.request.gateway import open_answer
from sesamehold.request.gateway import ports
from sesamehold.request.gateway import stream_forwarding
from sesamehold.version import routing

# Step of a script: bytes, a pause in seconds, or the end of the connection.
Step = bytes | float | ports.BrokenAnswerError
BROKEN = ports.BrokenAnswerError("reset")
NO_TARGET = open_answer.NoAnswer(messages.Reason.NO_TARGET)
ROUTE = routing.Route(
    name="r",
    host="h",
    prefix="/",
    kind=routing.RequestKind.STREAMING,
    timeout_ms=9_000,
    latency_goal_ms=100,
    priority=1,
    services=(routing.ServiceShare("svc"),),
    resumable=True,
    event_gap_goal_ms=10,
)
STALL_S = stream_forwarding.MIN_STALL_MS / 1_000


def _event(number: int) -> bytes:
    return b"id: %d\ndata: e\n\n" % number


@attrs.define(eq=False)
class ScriptedAnswer:
    """Answer of a target that follows a script."""

    steps: Sequence[Step]
    head: messages.AnswerHead = messages.AnswerHead(200, (), sealed=True)
    transfer: messages.Transfer = attrs.field(
        factory=lambda: messages.Transfer(messages.Framing.CHUNKS)
    )
    release_count: int = 0

    async def chunks(self) -> AsyncIterator[bytes]:
        for step in self.steps:
            if isinstance(step, ports.BrokenAnswerError):
                raise step
            if isinstance(step, bytes):
                yield step
            else:
                await asyncio.sleep(step)

    def release(self) -> None:
        self.release_count += 1


@attrs.define(eq=False)
class ScriptedRequest:
    """Request whose replacements are scripted: a delay, and an answer or None for no target."""

    replacements: list[tuple[float, ScriptedAnswer | None]]
    may_be_replaced: bool = True
    answer_started: bool = False
    received: bytes = b""
    events: list[str] = attrs.field(factory=list)

    async def forward_events(self, opened: open_answer.OpenAnswer, events: bytes) -> None:
        self.answer_started = True
        self.received += events

    def on_first_event(self, opened: open_answer.OpenAnswer) -> None:
        self.events.append("first-event")

    def on_broken(self, opened: open_answer.OpenAnswer, error: ports.BrokenAnswerError) -> None:
        self.events.append("broken")

    def may_replace(self, stalled: open_answer.OpenAnswer) -> bool:
        return self.may_be_replaced

    async def open_replacement(self, stalled: open_answer.OpenAnswer) -> open_answer.OpenResult:
        self.events.append("replacing")
        delay_s, answer = self.replacements.pop(0)
        try:
            await asyncio.sleep(delay_s)
        except asyncio.CancelledError:
            self.events.append("cancelled")
            raise
        return Error(NO_TARGET) if answer is None else Ok(_opened(answer))


def _opened(answer: ScriptedAnswer) -> open_answer.OpenAnswer:
    target = targets.Target("i-1", 1, "svc", "127.0.0.1:1", "z1")
    ranking = target_ranking.TargetRanking(
        "z1", engine_load.EngineLoad("127.0.0.1:9", 1), engine_slowdowns.EngineSlowdowns()
    )
    return open_answer.OpenAnswer(target, answer, 0, ranking.start(target))


OTHER = [_event(2), _event(3)]
WHOLE = [_event(1), _event(2), _event(3)]


@pytest.mark.parametrize(
    ("steps", "replacements", "may_be_replaced", "outcome", "received", "events"),
    [
        pytest.param([*WHOLE], [], True, "complete", 3, ["first-event"], id="never-silent"),
        pytest.param(
            [_event(1), 1.5 * STALL_S, _event(2), _event(3)],
            [],
            False,
            "complete",
            3,
            ["first-event"],
            id="may-not-be-replaced",
        ),
        pytest.param(
            [_event(1), 1.5 * STALL_S, _event(2), _event(3)],
            [(9.0, None)],
            True,
            "complete",
            3,
            ["first-event", "replacing", "cancelled"],
            id="goes-on-before-another-accepts",
        ),
        pytest.param(
            [_event(1), 1.5 * STALL_S, b": comment\n\n", 0.2, _event(2), _event(3)],
            [(9.0, None)],
            True,
            "complete",
            3,
            ["first-event", "replacing", "cancelled"],
            id="comments-are-no-progress",
        ),
        pytest.param(
            [_event(1), 2.5 * STALL_S, _event(2), _event(3)],
            [(0.0, None), (9.0, None)],
            True,
            "complete",
            3,
            ["first-event", "replacing", "replacing", "cancelled"],
            id="goes-on-after-no-other-accepted",
        ),
        pytest.param(
            [_event(1), 9.0],
            [(0.0, ScriptedAnswer(OTHER))],
            True,
            "replaced",
            1,
            ["first-event", "replacing"],
            id="another-accepts",
        ),
        pytest.param(
            [9.0],
            [(0.0, ScriptedAnswer(WHOLE))],
            True,
            "replaced",
            0,
            ["replacing"],
            id="another-accepts-before-the-first-event",
        ),
        pytest.param(
            [_event(1), 1.1 * STALL_S, BROKEN],
            [(0.3 * STALL_S, ScriptedAnswer(OTHER))],
            True,
            "replaced",
            1,
            ["first-event", "replacing", "broken"],
            id="breaks-before-another-accepts",
        ),
        pytest.param(
            [_event(1), 1.1 * STALL_S, BROKEN],
            [(0.3 * STALL_S, None)],
            True,
            "raised",
            1,
            ["first-event", "replacing", "broken"],
            id="breaks-and-no-other-accepts",
        ),
        pytest.param(
            [_event(1), BROKEN], [], True, "raised", 1, ["first-event"], id="breaks-at-once"
        ),
        pytest.param(
            [_event(1), b"id: 2\nda"], [], True, "raised", 1, ["first-event"], id="ends-in-event"
        ),
    ],
)
def test_stream_stays_with_its_target_until_another_accepts(
    steps: list[Step],
    replacements: list[tuple[float, ScriptedAnswer | None]],
    may_be_replaced: bool,
    outcome: str,
    received: int,
    events: list[str],
) -> None:
    """Guards against a stream that is cut, or that has two targets, because its target paused."""

    async def main() -> None:
        request = ScriptedRequest(list(replacements), may_be_replaced)
        forwarder = stream_forwarding.StreamForwarder(request, ROUTE, clocks.SystemClock())
        try:
            result = await forwarder.forward(_opened(ScriptedAnswer(steps)))
        except ports.BrokenAnswerError:
            actual = "raised"
        else:
            actual = "complete" if result is None else "replaced"
        assert actual == outcome
        assert request.received.replace(b": comment\n\n", b"") == b"".join(WHOLE[:received])
        assert request.events == events

    asyncio.run(main())


def test_target_that_accepts_after_the_caller_left_is_released() -> None:
    """Guards against an accepted stream that nobody reads and nobody closes."""

    @attrs.define(eq=False)
    class LeavingCaller(ScriptedRequest):
        async def forward_events(self, opened: open_answer.OpenAnswer, events: bytes) -> None:
            if self.answer_started:
                await asyncio.sleep(0.5 * STALL_S)
                raise ConnectionError("the caller left")
            await super().forward_events(opened, events)

    async def main() -> None:
        late = ScriptedAnswer(OTHER)
        request = LeavingCaller([(0.3 * STALL_S, late)])
        forwarder = stream_forwarding.StreamForwarder(request, ROUTE, clocks.SystemClock())
        steps = [_event(1), 1.1 * STALL_S, b": comment\n\n", 9.0]
        with pytest.raises(ConnectionError):
            await forwarder.forward(_opened(ScriptedAnswer(steps)))
        assert late.release_count == 1

    asyncio.run(main())
