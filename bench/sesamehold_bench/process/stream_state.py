"""Requests with open streams in this process, to measure the memory of their state."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
from typing import Any

import attrs
from expression import Error
from expression import Result

from sesamehold.process import clock as clocks
from sesamehold.process import dispatch
from sesamehold.process import explanations
from sesamehold.process import ledger
from sesamehold.process import metrics
from sesamehold.process import retry_budget
from sesamehold.process import slots
from sesamehold.request import calls
from sesamehold.request import deadline
from sesamehold.request import driver
from sesamehold.request import errors
from sesamehold.request import events
from sesamehold.request import execution
from sesamehold.request import ids
from sesamehold.version import manifest
from sesamehold_bench.version import fleet

# About half of an answer of 305 tokens.
DELIVERED_TOKENS = 150
_DEADLINE_MS = 3_600_000


@attrs.define(eq=False)
class _StallingTargets:
    """Sends the first pieces of every stream, then blocks until cancelled."""

    open_streams: int = 0

    async def call(
        self, call: calls.TargetCall, on_pieces: calls.PieceHandler
    ) -> Result[calls.CallSuccess, calls.CallFault]:
        for index in range(DELIVERED_TOKENS):
            await on_pieces([calls.Piece(index, 1, f"{index:06d} ")])
        self.open_streams += 1
        await asyncio.Event().wait()
        return Error(calls.CallFault(events.AttemptFault.CANCELLED, errors.RunStatus.NO))

    async def cancel(self, target: manifest.Target, attempt: ids.AttemptId) -> events.Usage | None:
        return None

    async def read_outcome(
        self, target: manifest.Target, key: ids.ExecutionKey
    ) -> calls.TargetOutcome | None:
        return None


@attrs.define(eq=False)
class _DiscardingSink:
    """Answer sink that discards everything."""

    async def pieces(self, pieces: Sequence[calls.Piece]) -> None:
        del pieces

    async def answer(self, answer: dict[str, Any]) -> None:
        del answer

    async def stored_answer(self, status: int, content_type: str, body: bytes) -> None:
        del body

    async def failure(self, failure: errors.Failure) -> None:
        del failure


@attrs.frozen
class _UnsupportedClaims:
    """Rejects claims; the measured pipeline has only repeatable stages and needs none."""

    def open(self, pipeline: manifest.Pipeline) -> calls.ExecutionClaims:
        raise AssertionError(f"pipeline {pipeline.name!r} has a stage that may not be repeated")


@contextlib.asynccontextmanager
async def open_idle_streams(count: int) -> AsyncIterator[None]:
    """Keeps streams open that have delivered half of their answers."""
    clock = clocks.ManualClock()
    targets = _StallingTargets()
    version = _version()
    registry = slots.SlotRegistry(dispatch.LeastOutstandingDispatcher(), clock)
    registry.configure(version)
    services = driver.Services(
        clock=clock,
        slots=registry,
        targets=targets,
        claims=_UnsupportedClaims(),
        ledger=ledger.Ledger(),
        metrics=metrics.Metrics(client=None),
    )
    tasks = [asyncio.create_task(_request(number, version, services)) for number in range(count)]
    while targets.open_streams < count:
        await asyncio.sleep(0)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _request(number: int, version: manifest.Manifest, services: driver.Services) -> None:
    request_id = ids.uuid7(services.clock.wall_ms(), number)
    request = execution.Request(
        request_id=request_id,
        account=version.accounts[0].name,
        pipeline=version.pipelines[0],
        body={"prompt": f"question {number}"},
        deadline=deadline.Deadline(_DEADLINE_MS),
    )
    budget = retry_budget.FractionRetryBudget(fraction=0.1, burst=1.0)
    machine = execution.RequestExecution(request, budget)
    trace = explanations.Trace(request_id, request.account, request.pipeline.name, 0)
    await driver.RequestDriver(machine, services, _DiscardingSink(), trace).run()


def _version() -> manifest.Manifest:
    """Returns a manifest with one generate stage on one target with ample capacity."""
    shape = attrs.evolve(fleet.SMALL, services=(), engine_count=1, engine_capacity=1_000_000)
    addresses = fleet.Addresses(hosts=(("", "", ""),) * 3, targets={"engine-0": ""})
    version = fleet.build(shape, addresses)
    return attrs.evolve(version, pipelines=version.pipelines[:1])
