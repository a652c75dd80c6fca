"""Tests the retry budget of a fleet whose processes are killed and start again."""

from __future__ import annotations

import attrs
import pytest

from sesamehold.process.gateway import retry_budget
from sesamehold.process.gateway import settings

BOUNDS = settings.FleetBounds(retry_ratio=0.2, retry_extra=56, retry_window_ms=10_000)
STEP_MS = 100
DURATION_MS = 60_000


@attrs.frozen
class Restarts:
    """Times at which a part of the processes is killed; they start again after a delay."""

    times_ms: tuple[int, ...]
    killed_fraction: float = 1.0
    delay_ms: int = 500


def _count(times_ms: list[int], start_ms: int, end_ms: int) -> int:
    return sum(start_ms < time_ms <= end_ms for time_ms in times_ms)


class Fleet:
    """Hosts of which each retries as often as its budget allows, from a given time on."""

    def __init__(self, host_count: int, requests_per_s: float, retries_from_ms: int) -> None:
        self.host_count = host_count
        self.requests_per_s = requests_per_s
        self.retries_from_ms = retries_from_ms
        self.budgets: list[retry_budget.RetryBudget | None] = [
            retry_budget.RetryBudget(BOUNDS, started_ms=-BOUNDS.retry_window_ms)
            for _ in range(host_count)
        ]
        self.starts_ms: dict[int, int] = {}
        self.request_times_ms: list[int] = []
        self.retry_times_ms: list[int] = []

    def play(self, restarts: Restarts) -> None:
        for now_ms in range(0, DURATION_MS, STEP_MS):
            if now_ms in restarts.times_ms:
                for index in range(int(restarts.killed_fraction * self.host_count)):
                    self.budgets[index] = None
                    self.starts_ms[index] = now_ms + restarts.delay_ms
            for index in [key for key, time_ms in self.starts_ms.items() if time_ms <= now_ms]:
                del self.starts_ms[index]
                self.budgets[index] = retry_budget.RetryBudget(BOUNDS, started_ms=now_ms)
            self._send_requests(now_ms)
            if now_ms >= self.retries_from_ms:
                self._retry(now_ms)

    def _send_requests(self, now_ms: int) -> None:
        first = int(now_ms * self.requests_per_s / 1_000)
        last = int((now_ms + STEP_MS) * self.requests_per_s / 1_000)
        for number in range(first, last):
            self.request_times_ms.append(now_ms)
            budget = self.budgets[number % self.host_count]
            if budget is not None:
                budget.record_request("s", now_ms)

    def _retry(self, now_ms: int) -> None:
        for budget in self.budgets:
            while budget is not None and budget.try_spend("s", self.host_count, now_ms):
                self.retry_times_ms.append(now_ms)

    def excess(self) -> float:
        """Returns by how much a window exceeds the operator's limit at most."""
        window_ms = BOUNDS.retry_window_ms
        worst = -float("inf")
        for end_ms in sorted(set(self.retry_times_ms)):
            requests = max(
                _count(self.request_times_ms, end_ms - shift_ms - window_ms, end_ms - shift_ms)
                for shift_ms in (0, window_ms // 2, window_ms)
            )
            retries = _count(self.retry_times_ms, end_ms - window_ms, end_ms)
            limit = BOUNDS.retry_ratio * requests + BOUNDS.retry_extra
            worst = max(worst, retries - limit)
        return worst


@pytest.mark.parametrize(
    "restarts",
    [
        pytest.param(Restarts(()), id="none"),
        pytest.param(Restarts((30_000,)), id="all-once"),
        pytest.param(Restarts((30_000, 34_000)), id="all-twice"),
        pytest.param(Restarts((30_000, 41_000)), id="all-once-a-window"),
        pytest.param(Restarts(tuple(range(25_000, 50_000, 1_500))), id="all-again-and-again"),
        pytest.param(Restarts((30_000,), killed_fraction=0.5), id="half"),
        pytest.param(Restarts((30_000,), delay_ms=6_000), id="all-down-for-seconds"),
    ],
)
@pytest.mark.parametrize("retries_from_ms", [0, 15_000, 29_900])
@pytest.mark.parametrize(
    ("host_count", "requests_per_s"), [(8, 23.4), (8, 2.0), (2, 100.0), (60, 60.0)]
)
def test_restarts_do_not_renew_the_budget(
    host_count: int, requests_per_s: float, retries_from_ms: int, restarts: Restarts
) -> None:
    """Guards against a process that spends what its predecessor has just spent."""
    fleet = Fleet(host_count, requests_per_s, retries_from_ms)
    fleet.play(restarts)
    assert fleet.retry_times_ms
    assert fleet.excess() <= 0


def test_host_retries_soon_after_its_start_and_fully_after_a_window() -> None:
    """Guards against callers of a host that has just started whose requests are never retried."""
    budget = retry_budget.RetryBudget(BOUNDS, started_ms=0)
    for now_ms in range(0, 5_000, 100):
        budget.record_request("s", now_ms)
    assert budget.try_spend("s", 8, 5_000)
    for now_ms in range(5_000, 10_000, 100):
        budget.record_request("s", now_ms)
    spent = sum(budget.try_spend("s", 8, 10_000) for _ in range(100))
    usable = retry_budget.USABLE_FRACTION * (BOUNDS.retry_ratio * 100 + BOUNDS.retry_extra / 8)
    assert spent == int(usable) - 1
