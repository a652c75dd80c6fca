"""Five requests that crash workers come again and again; the fifth first comes after the others."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets

ROUTE = fleets.route("pay", "ledger", "non_idempotent")
# Requests that crash workers before the last one appears.
EARLIER = int(os.environ.get("EARLIER", "4"))
LAST_AFTER_S = 16.0
LENGTH_S = 40.0
# Each of the requests comes again at this interval, at one host after another.
REPEAT_S = 1.5
SOUND_INTERVAL_S = 0.1
CONTACT_S = fleets.BOUNDS["contactMs"] / 1_000
MAX_RETRIES = 3
CRASHES = 3


class Deadly:
    """A request that crashes each worker that begins to run it."""

    def __init__(self, name: str) -> None:
        self.path = f"/pay/{name}"
        self.body = f"order {name}".encode()
        self.arrivals_s: list[float] = []

    def late_retries(self) -> int:
        """Returns the arrivals later than `contactMs` after the third crash."""
        if len(self.arrivals_s) < CRASHES:
            return 0
        limit_s = self.arrivals_s[CRASHES - 1] + CONTACT_S
        return sum(arrived_s > limit_s for arrived_s in self.arrivals_s)


async def play(record: fleets.Record) -> bool:
    """Returns whether the rule was broken."""
    is_troubled = fleets.is_troubled()
    fleet = fleets.Fleet(record, {"zone-a": 2, "zone-b": 2, "zone-c": 2, "zone-d": 2})
    deadly = {item.path: item for item in map(Deadly, [f"d{n}" for n in range(EARLIER + 1)])}
    served = 0

    async def handle(exchange: fleets.Exchange) -> None:
        request = exchange.request
        found = deadly.get(request.path)
        record.write(f"run {request.path} {request.request_id} at {exchange.worker.target_id}")
        if found is not None:
            found.arrivals_s.append(time.monotonic())
            if is_troubled:
                record.write(f"crash {exchange.worker.target_id}")
                exchange.worker.crash()
                return
        await asyncio.sleep(0.02)
        await exchange.send(200, {}, b"paid")

    for number in range(12):
        fleet.add_worker("ledger", fleet.zones[number % 4], handle)

    async def repeat(item: Deadly, first: int, start_s: float, end_s: float) -> None:
        await asyncio.sleep(start_s)
        number = first
        while time.monotonic() < end_s:
            host = fleet.hosts[number % len(fleet.hosts)]
            number += 1
            request_id = fleets.new_id()
            sent_s = time.monotonic()
            request = fleets.request_bytes("POST", item.path, request_id, item.body)
            reply = await fleets.ask(host, fleet.front_port, request)
            status = None if reply is None else reply.status
            record.write(f"sent {item.path} {request_id} to {host.name}: {status}")
            await asyncio.sleep(max(0.0, sent_s + REPEAT_S - time.monotonic()))

    async def send_sound(end_s: float) -> None:
        nonlocal served
        number = 0
        while time.monotonic() < end_s:
            host = fleet.hosts[number % len(fleet.hosts)]
            number += 1
            request_id = fleets.new_id()
            request = fleets.request_bytes("POST", f"/pay/s{number}", request_id, b"order")
            reply = await fleets.ask(host, fleet.front_port, request)
            status = None if reply is None else reply.status
            record.write(f"sent /pay/s{number} {request_id} to {host.name}: {status}")
            served += status == 200
            await asyncio.sleep(SOUND_INTERVAL_S)

    try:
        await fleet.start(fleets.configuration([ROUTE]))
        end_s = time.monotonic() + LENGTH_S
        items = list(deadly.values())
        tasks = [send_sound(end_s)]
        tasks += [repeat(item, 2 * n, 0.3 * n, end_s) for n, item in enumerate(items[:-1])]
        tasks.append(repeat(items[-1], 0, LAST_AFTER_S, end_s))
        await asyncio.gather(*tasks)
        exits = [host.exit_status() for host in fleet.hosts]
    finally:
        await fleet.stop()
    record.write(f"sound requests served: {served}; exits: {exits}")
    if not served:
        raise fleets.CaseError("no sound request was served")
    broken = False
    for item in items:
        retries = item.late_retries() if is_troubled else 0
        record.write(f"{item.path}: {len(item.arrivals_s)} arrivals, {retries} late retries")
        broken = broken or retries > MAX_RETRIES
    return broken


if __name__ == "__main__":
    fleets.main(__file__, play)
