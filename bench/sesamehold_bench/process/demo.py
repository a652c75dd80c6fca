"""Demonstration: a fleet of three entry hosts answers streaming four-stage requests."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import aiohttp
import attrs

from sesamehold.connection import sse
from sesamehold_bench.process import local_fleet
from sesamehold_bench.version import fleet

REQUESTS_PER_HOST = 2


@attrs.frozen
class StreamedAnswer:
    """The streamed pieces and the result that a caller received.

    Attributes:
        pieces: Texts of the streamed pieces in order.
        answer: The final answer, None if the request failed.
        failure: The problem document, None if the request was answered.
    """

    pieces: list[str]
    answer: dict[str, Any] | None
    failure: dict[str, Any] | None


async def stream_request(
    session: aiohttp.ClientSession,
    caller_address: str,
    pipeline: str,
    account: str,
    body: dict[str, Any],
) -> StreamedAnswer:
    """Sends one streaming request and collects its answer."""
    headers = {
        "Authorization": f"Bearer {fleet.credential_of(account)}",
        "Accept": "text/event-stream",
    }
    url = f"http://{caller_address}/v1/pipelines/{pipeline}/requests"
    async with session.post(url, json=body, headers=headers) as response:
        if response.status != 200:
            return StreamedAnswer([], None, await response.json(content_type=None))
        return await _collect(response)


async def _collect(response: aiohttp.ClientResponse) -> StreamedAnswer:
    parser = sse.EventParser()
    pieces: list[str] = []
    last: dict[str, Any] = {}
    async for chunk in response.content.iter_any():
        for data in parser.feed(chunk):
            document = json.loads(data)
            if "index" in document:
                pieces.append(document["text"])
            else:
                last = document
    if "outputs" in last:
        return StreamedAnswer(pieces, last, None)
    return StreamedAnswer(pieces, None, last)


async def run() -> int:
    """Runs the demonstration.

    Returns:
        0 if all answers are complete, the booked units match the targets' counters and all
        processes exit with 0; otherwise 1.
    """
    async with aiohttp.ClientSession() as session:
        running = local_fleet.LocalFleet.from_config(fleet.ASSOCIATION, session)
        complete = True
        try:
            print("Starting 3 entry hosts, 6 engines, 4 services of 4 targets each ...")
            await running.start()
            complete = await _send_requests(running)
            complete = await _print_costs(running) and complete
        finally:
            codes = await running.stop()
        graceful = all(code == 0 for code in codes.values())
        print("All processes stopped gracefully." if graceful else f"Exit codes: {codes}")
        return 0 if complete and graceful else 1


async def _send_requests(running: local_fleet.LocalFleet) -> bool:
    accounts = [name for name, _ in running.deployment.accounts]
    complete = True
    for index, (caller_address, _, _) in enumerate(running.addresses.hosts):
        answers = await asyncio.gather(
            *(
                stream_request(
                    running.session,
                    caller_address,
                    "summary",
                    accounts[(index + number) % len(accounts)],
                    {"prompt": f"tab {index}-{number}"},
                )
                for number in range(REQUESTS_PER_HOST)
            )
        )
        for answer in answers:
            complete = _print_answer(f"host-{index}", answer) and complete
    return complete


def _print_answer(host: str, answer: StreamedAnswer) -> bool:
    if answer.answer is None:
        print(f"{host}: failed: {answer.failure}")
        return False
    text: str = answer.answer["outputs"]["generate"]["text"]
    streamed = "".join(answer.pieces)
    print(f"{host}: {len(answer.pieces)} pieces: {streamed[:48]}...")
    return streamed == text


async def _print_costs(running: local_fleet.LocalFleet) -> bool:
    rows: dict[tuple[str, str], list[int]] = {}
    for index in range(running.deployment.host_count):
        document = await running.operator_get(index, "/v1/costs")
        for row in document["rows"]:
            cell = rows.setdefault((row["account"], row["stage"]), [0, 0])
            cell[0] += row["units"]
            cell[1] += row["cost"]
    print(f"{'account':<10} {'stage':<10} {'units':>8} {'cost':>8}")
    for (account, stage), (units, cost) in sorted(rows.items()):
        print(f"{account:<10} {stage:<10} {units:>8} {cost:>8}")
    booked = sum(units for units, _ in rows.values())
    reported = 0
    for target_id in running.addresses.targets:
        reported += (await running.target_counters(target_id))["total_units"]
    print(f"{'sum':<10} {'':<10} {booked:>8}; targets report {reported}")
    return booked == reported
