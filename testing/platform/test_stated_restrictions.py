"""Tests that a gateway keeps to what targets state about themselves in their answers."""

from __future__ import annotations

import asyncio
import time

import platform_stand_in as stand_in
import pytest

REQUEST_COUNT = 30
RATE_PER_S = 1.0
# A target may get half as much again as it takes, and five requests more.
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
EVENT = b"id: 1\ndata: e1\n\n"


class LimitedService:
    """Targets of which some state a low rate in every answer.

    Attributes:
        arrival_times_s: Arrival time of each request at a target that states a rate.
    """

    def __init__(
        self,
        kind: str,
        limited: int,
        unlimited: int,
        status: int = 200,
        rate_per_s: float = RATE_PER_S,
    ) -> None:
        self.site = stand_in.GatewayEnvironment()
        self.site.routes = [stand_in.route("svc", kind)]
        self.arrival_times_s: dict[str, list[float]] = {}
        self._status = status
        self._rate_per_s = rate_per_s
        for index in range(limited):
            target_id = f"i-limited-{index}"
            self.site.add_worker(target_id, "svc", self._limited_script(target_id))
        for index in range(unlimited):
            self.site.add_worker(f"i-{index}", "svc", self._slow_answer)
        self.site.publish()

    async def _slow_answer(self, exchange: stand_in.Exchange) -> None:
        # Slower than the limited targets, so that these are preferred.
        await asyncio.sleep(0.08)
        exchange.send(200, b"answer")

    def _limited_script(self, target_id: str) -> stand_in.Script:
        times_s = self.arrival_times_s[target_id] = []

        async def answer(exchange: stand_in.Exchange) -> None:
            times_s.append(time.monotonic())
            not_run = "1" if self._status == 503 else ""
            exchange.send(
                self._status, b"answer", Server_Limit=str(self._rate_per_s), Not_Run=not_run
            )

        return answer

    def assert_rates_kept(self) -> None:
        for times_s in self.arrival_times_s.values():
            duration_s = time.monotonic() - times_s[0] if times_s else 0.0
            assert len(times_s) <= TOLERANCE * self._rate_per_s * duration_s + EXTRA_REQUESTS


@pytest.mark.parametrize("status", [200, 404, 500, 503])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
def test_target_gets_no_more_requests_than_the_rate_that_it_states(kind: str, status: int) -> None:
    """Guards against a statement that is not read, whatever the answer that carries it."""

    async def main() -> None:
        service = LimitedService(kind, limited=1, unlimited=1, status=status)
        async with service.site:
            await service.site.start_gateway()
            for index in range(REQUEST_COUNT):
                await service.site.send(stand_in.request("/svc/x", f"r{index}"))
            service.assert_rates_kept()

    stand_in.run(main)


def test_request_is_refused_at_once_if_all_targets_are_at_their_rates() -> None:
    """Guards against callers that wait for room that is known not to come in time."""

    async def main() -> None:
        service = LimitedService("idempotent", limited=2, unlimited=0, rate_per_s=0.05)
        async with service.site:
            await service.site.start_gateway()
            answers = [
                await service.site.send(stand_in.request("/svc/x", f"r{index}"))
                for index in range(8)
            ]
            service.assert_rates_kept()
            assert answers[0].startswith(b"HTTP/1.1 200")
            assert answers[-1].startswith(b"HTTP/1.1 503")
            # The first of the two targets has room again 20 s after its last request, and the time
            # to come back is spread over up to half as much again.
            assert 15.0 < _retry_after_s(answers[-1]) <= 30.0

    stand_in.run(main)


def _retry_after_s(answer: bytes) -> float:
    (line,) = [line for line in answer.split(b"\r\n") if line.lower().startswith(b"retry-after:")]
    return float(line.partition(b":")[2])


def test_stage_target_gets_no_more_calls_than_the_rate_that_it_states() -> None:
    """Guards against a rate that is kept for requests and not for the calls of their stages."""

    async def main() -> None:
        times_s: list[float] = []

        async def run_stage(exchange: stand_in.Exchange) -> None:
            if exchange.target.endswith("stage-free"):
                exchange.send(200, b"", Server_Limit=str(RATE_PER_S))
                return
            times_s.append(time.monotonic())
            exchange.send(200, stand_in.stage_results(exchange), Server_Limit=str(RATE_PER_S))

        async def answer(exchange: stand_in.Exchange) -> None:
            exchange.send(200, b"answer")

        site = stand_in.GatewayEnvironment()
        stages = [{"service": "st", "after": [], "bytes": 10}]
        site.routes = [stand_in.route("svc", "non_idempotent", stages=stages)]
        site.services["st"] = {"name": "st", "pieces": {**stand_in.STAGE_POOL, "batch": 1}}
        site.add_worker("i-0", "svc", answer)
        site.add_worker("i-1", "st", run_stage)
        site.publish()
        async with site:
            await site.start_gateway()
            requests = [
                stand_in.request("/svc/x", f"r{index}", Pieces="1", Piece_Key="k")
                for index in range(20)
            ]
            await asyncio.gather(*(site.send(data) for data in requests))
            duration_s = time.monotonic() - times_s[0]
            assert len(times_s) <= TOLERANCE * RATE_PER_S * duration_s + EXTRA_REQUESTS

    stand_in.run(main)


@pytest.mark.parametrize(
    ("status", "fields", "has_other", "is_restricted"),
    [
        pytest.param(200, {"Server-Leaving": "1"}, True, True, id="leaving"),
        pytest.param(404, {"Server-Leaving": "1"}, True, True, id="leaving-with-an-error"),
        pytest.param(200, {"Server-Leaving": "1"}, False, True, id="all-leaving"),
        pytest.param(503, {"Retry-After": "60", "Not-Run": "1"}, False, True, id="all-waiting"),
        pytest.param(200, {"Server-Leaving": "yes"}, True, False, id="malformed-leaving"),
        pytest.param(503, {"Retry-After": "x", "Not-Run": "1"}, False, False, id="malformed-wait"),
    ],
)
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "streaming"])
def test_target_that_leaves_or_waits_gets_nothing_more(
    kind: str, status: int, fields: dict[str, str], *, has_other: bool, is_restricted: bool
) -> None:
    """Guards against sends to a target that is still registered and has asked for none."""

    async def main() -> None:
        async def restricted(exchange: stand_in.Exchange) -> None:
            head = {"Request-Id": exchange.request_id, "Server-Seal": "s", **fields}
            exchange.write_head(status, {**head, "Content-Length": str(len(EVENT))})
            exchange.writer.write(EVENT)

        async def other(exchange: stand_in.Exchange) -> None:
            await asyncio.sleep(0.08)
            exchange.send(200, EVENT)

        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", kind)]
        worker = site.add_worker("i-restricted", "svc", restricted)
        if has_other:
            site.add_worker("i-0", "svc", other)
        site.publish()
        async with site:
            gateway = await site.start_gateway()
            statuses = [
                (await site.send(stand_in.request("/svc/x", f"r{index}")))[9:12]
                for index in range(20)
            ]
            assert (len(worker.exchanges) == 1) == is_restricted
            reason = "leaving" if "Server-Leaving" in fields else "waiting"
            held_back = gateway.state.metrics.registry.get_sample_value(
                "sesamehold_held_back_sends_total", {"service": "svc", "restriction": reason}
            )
            assert (held_back is not None and held_back > 0) == is_restricted
            if is_restricted:
                assert statuses[-1] == (b"200" if has_other else b"503")

    stand_in.run(main)


def test_target_that_leaves_stays_restricted_when_its_entry_is_gone_and_back() -> None:
    """Guards against an entry that lapses during an outage of the store and returns as ready."""

    async def main() -> None:
        async def leaving(exchange: stand_in.Exchange) -> None:
            exchange.send(200, b"answer", Server_Leaving="1")

        site = stand_in.GatewayEnvironment()
        site.routes = [stand_in.route("svc", "idempotent")]
        worker = site.add_worker("i-0", "svc", leaving)
        site.publish()
        async with site:
            gateway = await site.start_gateway()
            assert b" 200 " in await site.send(stand_in.request("/svc/x", "r1"))
            site.store.delete("servers/i-0")
            while gateway.state.directory.find("i-0") is not None:
                await asyncio.sleep(0.01)
            site.register("i-0", "svc")
            while gateway.state.directory.find("i-0") is None:
                await asyncio.sleep(0.01)
            assert b" 503 " in await site.send(stand_in.request("/svc/x", "r2"))
            assert len(worker.exchanges) == 1

    stand_in.run(main)
