"""All processes are killed, and start again, while the workers of a service are full."""

from __future__ import annotations

import asyncio
import collections
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets

SERVICE = "ledger"
ROUTE = fleets.route("pay", SERVICE, "non_idempotent")
LENGTH_S = 15.0
KILL_AFTER_S = 4.0
# The four workers of the case finish 11.4 requests a second.
REQUESTS_PER_S = 23.4
WORK_S = 0.35
QUEUE = 2
WINDOW_S = float(fleets.BOUNDS["budgetWindowS"])
RATIO = fleets.BOUNDS["budgetRatio"]
EXTRA = fleets.BOUNDS["budgetExtraAttempts"]
KILLED = int(os.environ.get("KILLED", "8"))


class FullableWorker:
    """Runs one request at a time, queues a few, and rejects the others."""

    def __init__(self, record: fleets.Record, arrivals: list[tuple[float, str]]) -> None:
        self._record = record
        self._arrivals = arrivals
        self._lock = asyncio.Lock()
        self._present = 0

    async def __call__(self, exchange: fleets.Exchange) -> None:
        """Answers one request."""
        self._arrivals.append((time.monotonic(), exchange.request.request_id))
        what = f"{exchange.request.request_id} at {exchange.worker.target_id}"
        if self._present > QUEUE:
            self._record.write(f"reject {what}")
            await exchange.send(503, {"Not-Run": "1"})
            return
        self._present += 1
        try:
            async with self._lock:
                self._record.write(f"run {what}")
                await asyncio.sleep(WORK_S)
        finally:
            self._present -= 1
        await exchange.send(200, {}, b"paid")


def count(times_s: list[float], start_s: float, end_s: float) -> int:
    """Returns how many times lie in a span."""
    return sum(start_s < item <= end_s for item in times_s)


async def play(record: fleets.Record) -> bool:
    """Returns whether the rule was broken."""
    fleet = fleets.Fleet(record, {"zone-a": 2, "zone-b": 2, "zone-c": 2, "zone-d": 2})
    arrivals: list[tuple[float, str]] = []
    sent_s: list[float] = []
    statuses: collections.Counter[str] = collections.Counter()
    for number in range(4):
        worker = fleet.add_worker(SERVICE, fleet.zones[number], FullableWorker(record, arrivals))
        worker.slots = 1

    async def send(number: int) -> None:
        host = fleet.hosts[number % len(fleet.hosts)]
        request_id = fleets.new_id()
        sent_s.append(time.monotonic())
        request = fleets.request_bytes("POST", f"/pay/{number}", request_id, b"order")
        reply = await fleets.ask(host, fleet.front_port, request)
        status = "none" if reply is None else str(reply.status)
        statuses[status] += 1
        record.write(f"sent {request_id} to {host.name}: {status}")

    async def send_all(start_s: float) -> None:
        tasks = []
        due_s = start_s
        while due_s < start_s + LENGTH_S:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(send(len(tasks))))
            due_s += 1 / REQUESTS_PER_S
        await asyncio.gather(*tasks)

    async def kill_all(start_s: float) -> None:
        await asyncio.sleep(start_s + KILL_AFTER_S - time.monotonic())
        killed = fleet.hosts[:KILLED]
        for host in killed:
            record.write(f"kill {host.name}")
            host.signal(signal.SIGKILL)
        for host in killed:
            await host.wait_end(5.0)
        await asyncio.sleep(fleets.RESTART_DELAY_S)
        for host in killed:
            host.start()
        await fleet.wait_ready(20.0)
        record.write("all hosts are ready again")

    try:
        await fleet.start(fleets.configuration([ROUTE]))
        start_s = time.monotonic()
        tasks = [send_all(start_s)]
        if fleets.is_troubled():
            tasks.append(kill_all(start_s))
        await asyncio.gather(*tasks)
    finally:
        await fleet.stop()
    return judge(record, arrivals, sent_s, statuses)


def judge(
    record: fleets.Record,
    arrivals: list[tuple[float, str]],
    sent_s: list[float],
    statuses: collections.Counter[str],
) -> bool:
    """Returns whether a window has more further arrivals than the budget allows."""
    seen: set[str] = set()
    further_s: list[float] = []
    for arrived_s, request_id in sorted(arrivals):
        if request_id in seen:
            further_s.append(arrived_s)
        seen.add(request_id)
    if not further_s:
        raise fleets.CaseError("no request arrived twice")
    record.write(f"requests {len(sent_s)}, arrivals {len(arrivals)}, answers {dict(statuses)}")
    for second in range(int(further_s[0] - sent_s[0]), int(further_s[-1] - sent_s[0]) + 1):
        start_s = sent_s[0] + second
        further = count(further_s, start_s, start_s + 1)
        requests = count(sent_s, start_s, start_s + 1)
        record.write(f"second {second}: {requests} requests, {further} further arrivals")
    worst = (-float("inf"), 0, 0, 0.0)
    for end_s in further_s:
        further = count(further_s, end_s - WINDOW_S, end_s)
        # The requests of this window, of the one before it, or of the one half a window before.
        requests = max(
            count(sent_s, end_s - shift_s - WINDOW_S, end_s - shift_s)
            for shift_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        limit = RATIO * requests + EXTRA
        worst = max(worst, (further - limit, further, requests, limit))
    over, further, requests, limit = worst
    record.write(
        f"worst window: {further} further arrivals, {requests} requests, limit {limit:.1f}"
    )
    return over > 0


if __name__ == "__main__":
    fleets.main(__file__, play)
