"""A part of prompts crashes each worker that has begun to write an answer on it."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))

import fleet as fleets

ROUTE = fleets.route(
    "chat",
    "engines",
    "streaming",
    timeoutMs=6000,
    aimMs=1000,
    attempts=2,
    sticky=True,
    resumable=True,
    gapAimMs=300,
)
ENGINE = {"slots": 128, "cacheTokens": 500_000, "cacheTokenBytes": 96_256, "stride": 5}
LENGTH_S = 35.0
DEADLY_INTERVAL_S = 1.0
SOUND_INTERVAL_S = 0.2
EVENTS = 6
EVENT_GAP_S = 0.05
FIRST_PART = "5c1e07a2:300"
DEADLY_PART = "dead0001:200"
CONTACT_S = fleets.BOUNDS["contactMs"] / 1_000
CRASHES = 5
MAX_LATER = 3


async def play(record: fleets.Record) -> bool:
    """Returns whether the rule was broken."""
    is_troubled = fleets.is_troubled()
    fleet = fleets.Fleet(record, {"zone-a": 2, "zone-b": 2, "zone-c": 2, "zone-d": 2})
    crashes_s: list[float] = []
    deadly_arrivals_s: list[float] = []
    complete = 0
    numbers = itertools.count()

    async def handle(exchange: fleets.Exchange) -> None:
        request, writer = exchange.request, exchange.writer
        is_deadly = DEADLY_PART in request.headers.get("prompt-prefix", "")
        last_id = int(request.headers.get("last-event-id", "0"))
        record.write(
            f"run {request.request_id} at {exchange.worker.target_id} after event {last_id}"
        )
        if is_deadly:
            deadly_arrivals_s.append(time.monotonic())
        head = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {request.request_id}",
            f"Server-Seal: seal-{request.request_id}",
            "Content-Type: text/event-stream",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for event_id in range(last_id + 1, EVENTS + 1):
            event = f"id: {event_id}\ndata: five tokens\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            if is_deadly and is_troubled:
                record.write(f"crash {exchange.worker.target_id} after event {event_id}")
                crashes_s.append(time.monotonic())
                exchange.worker.crash()
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    for number in range(8):
        worker = fleet.add_worker("engines", fleet.zones[number % 4], handle)
        worker.slots = ENGINE["slots"]
        worker.fields |= {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def send(part: str, number: int) -> None:
        nonlocal complete
        host = fleet.hosts[number % len(fleet.hosts)]
        request_id = fleets.new_id()
        request = fleets.request_bytes(
            "POST",
            f"/chat/{number}",
            request_id,
            f"prompt {number}".encode(),
            Deadline_Remaining="6000",
            Model="m",
            Token_Counts="700,30",
            Prompt_Prefix=f"{FIRST_PART},{part},{number + 1:08x}:200",
        )
        reply = await fleets.ask(host, fleet.front_port, request, timeout_s=7.0)
        status = None if reply is None else reply.status
        complete += status == 200
        kind = "deadly" if part == DEADLY_PART else "sound"
        record.write(f"sent {kind} {request_id} to {host.name}: {status}")

    async def send_all(part: str, interval_s: float, end_s: float) -> None:
        tasks = []
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(send(part, next(numbers))))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    services = [
        {
            "name": "engines",
            "healthPath": "/health",
            "connectionLimit": 620,
            "protocol": "h1",
            "tls": False,
            "coldS": 0.0,
            "coldPerS": 0.0,
            "engine": ENGINE,
        }
    ]
    try:
        await fleet.start(fleets.configuration([ROUTE], services=services))
        end_s = time.monotonic() + LENGTH_S
        await asyncio.gather(
            send_all(DEADLY_PART, DEADLY_INTERVAL_S, end_s),
            send_all("91bd3f06:200", SOUND_INTERVAL_S, end_s),
        )
        exits = [host.exit_status() for host in fleet.hosts]
    finally:
        await fleet.stop()
    record.write(f"complete answers: {complete}; exits: {exits}")
    if not complete:
        raise fleets.CaseError("no request was answered completely")
    if len(crashes_s) < CRASHES:
        record.write(f"{len(crashes_s)} crashes")
        return False
    limit_s = crashes_s[CRASHES - 1] + CONTACT_S
    later = sum(arrived_s > limit_s for arrived_s in deadly_arrivals_s)
    record.write(f"{len(crashes_s)} crashes, {later} arrivals later than contactMs after the fifth")
    return later > MAX_LATER


if __name__ == "__main__":
    fleets.main(__file__, play)
