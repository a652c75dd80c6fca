"""A worker is taken from the store's list soon after one machine's path to the store is back.

Counts the requests that reach the worker later than `drainMs` after the store has acknowledged its
removal, from a machine that has been in touch for `contactMs`, and those that are lost there.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

import stand_ins as st  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_COUNT = 4
WORKER_COUNT = 4
KEY = "key-1"
CONTACT_S, DRAIN_S = 3.0, 2.0
CUT_S = 5.5
# From the end of the cut until the store removes the entry of a worker.
REMOVAL_S = 0.8
# The worker serves on for `drainMs` after that, and a little longer.
LINGER_S = 0.4
CYCLES, CYCLE_S = 7, 13.0
WORK_S = 0.15
SEND_GAP_S = 0.03


class Case:
    """The parts of the case."""

    def __init__(self, record: st.Record) -> None:
        self.record = record
        self.store = st.Store(record)
        self.path = st.Path(record)
        self.workers: list[st.Worker] = []
        self.hosts: list[st.Host] = []
        self.tasks = st.Tasks()
        self.count = 0
        # Time of the store's acknowledgement by worker id, and times at which the path was back.
        self.removed_s: dict[str, float] = {}
        self.cuts: list[tuple[float, float]] = []
        self.sent: dict[str, tuple[float, int]] = {}
        self.arrivals: list[tuple[str, str, float]] = []
        self.statuses: dict[str, int | None] = {}

    async def _answer(
        self,
        worker: st.Worker,
        first: str,
        headers: dict[str, str],
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request at a worker."""
        del first, body
        name = headers["request-id"]
        self.arrivals.append((name, worker.worker_id, st.now()))
        self.record.write("run", id=name, worker=worker.worker_id)
        await asyncio.sleep(WORK_S)
        head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nServer-Seal: {worker.worker_id}.{name}"
        writer.write(f"{head}\r\nContent-Length: 4\r\n\r\ndone".encode())
        await writer.drain()
        return True

    async def _add_worker(self) -> None:
        number = self.count
        self.count += 1
        zone = f"z{1 + number % 2}"
        worker = st.Worker(
            self.store, "orders", str(number), st.ip(100 + number), zone, self._answer
        )
        await worker.start()
        self.workers.append(worker)

    async def _remove_worker(self) -> None:
        """Takes the oldest worker away; it never reports that it drains."""
        worker = self.workers.pop(0)
        self.store.delete(f"servers/{worker.worker_id}")
        self.removed_s[worker.worker_id] = st.now()
        self.record.write("removed", worker=worker.worker_id)
        await asyncio.sleep(DRAIN_S + LINGER_S)
        self.record.write("exit", worker=worker.worker_id)
        worker.crash()

    async def _send(self, host: st.Host) -> None:
        name = st.request_id()
        headers = {
            "Host": "h.example",
            "Request-Id": name,
            "Deadline-Remaining": "4000",
            "Authorization": f"Bearer {KEY}",
        }
        self.sent[name] = (st.now(), host.index)
        self.record.write("sent", id=name, host=host.index)
        connection = st.Connection(host.ip)
        answer = await connection.exchange("POST", "/order/x", headers, b"order", 5.0)
        connection.close()
        self.statuses[name] = answer.status
        self.record.write("answered", id=name, status=answer.status, whole=answer.whole)

    async def _send_all(self) -> None:
        while True:
            for host in self.hosts:
                self.tasks.spawn(self._send(host))
            await asyncio.sleep(SEND_GAP_S)

    def _publish(self) -> None:
        self.store.put("op/config", st.configuration(
            routes=[st.route("order", "non_idempotent", "orders", timeoutMs=4_000, attempts=1)],
            services=[{"name": "orders", "healthPath": "/health", "connectionLimit": 110}],
            key=KEY,
        ))  # fmt: skip

    async def run(self, folder: pathlib.Path) -> int:
        """Runs the case; returns the exit code."""
        await self.store.start(st.ip(190))
        await self.path.start(st.ip(191), self.store.address)
        for _ in range(WORKER_COUNT):
            await self._add_worker()
        self._publish()
        seeds = [st.ip(index) for index in range(3)]
        for index in range(HOST_COUNT):
            # The last machine reaches the store over the path that is cut.
            address = self.path.address if index == HOST_COUNT - 1 else self.store.address
            self.hosts.append(st.Host(index, f"z{1 + index % 2}", address, seeds, folder))
        try:
            await asyncio.gather(*(host.start() for host in self.hosts))
            await asyncio.gather(*(host.wait_until_ready() for host in self.hosts))
            await asyncio.sleep(CONTACT_S)
            sender = asyncio.ensure_future(self._send_all())
            for _ in range(CYCLES):
                await self._cycle()
            sender.cancel()
            await asyncio.sleep(1.0)
        finally:
            await asyncio.gather(*(host.kill() for host in self.hosts))
            for worker in self.workers:
                worker.crash()
        return self._judge()

    async def _cycle(self) -> None:
        start_s = st.now()
        await self._add_worker()
        await asyncio.sleep(1.0)
        cut_s = st.now()
        if TROUBLE:
            self.path.cut()
        await asyncio.sleep(CUT_S)
        self.path.heal()
        if TROUBLE:
            self.cuts.append((cut_s, st.now()))
        await asyncio.sleep(REMOVAL_S)
        self.tasks.spawn(self._remove_worker())
        await asyncio.sleep(max(0.0, start_s + CYCLE_S - st.now()))

    def _in_touch(self, host: int, at_s: float) -> bool:
        if host != HOST_COUNT - 1:
            return True
        return not any(start_s <= at_s <= end_s + CONTACT_S for start_s, end_s in self.cuts)

    def _judge(self) -> int:
        late = [
            (name, worker, at_s)
            for name, worker, at_s in self.arrivals
            if worker in self.removed_s
            and at_s > self.removed_s[worker] + DRAIN_S
            and self._in_touch(self.sent[name][1], self.sent[name][0])
        ]
        lost = [name for name, _, _ in late if self.statuses.get(name) != 200]
        for name, worker, at_s in late:
            after_s = at_s - self.removed_s[worker]
            self.record.write(
                "late", id=name, host=self.sent[name][1], worker=worker, at=f"{at_s:.3f}",
                after_removal=f"{after_s:.3f}", status=self.statuses.get(name),
            )  # fmt: skip
        served = sum(status == 200 for status in self.statuses.values())
        self.record.write(
            "result", sent=len(self.sent), served=served, late=len(late), lost=len(lost)
        )
        print(
            f"{len(self.sent)} requests, {served} served; {len(late)} reached a worker later than"
            f" {DRAIN_S:.0f} s after its removal from machines in touch, {len(lost)} of these lost"
        )
        if served < 0.5 * len(self.sent):
            return 2
        return 1 if late else 0


if __name__ == "__main__":
    st.main(FOLDER, Case)
