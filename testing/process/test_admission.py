from __future__ import annotations

import collections

import dispatch_factories
import pytest

from sesamehold.process import admission


def _waiting(
    number: int, account: str, order_ms: int = 0, cost_ms: float = 1.0
) -> admission.WaitingAttempt:
    request = dispatch_factories.attempt(number, account=account)
    return admission.WaitingAttempt(request, 0, 1_000 + order_ms, 1_000, cost_ms, account, order_ms)


def _serve(queue: admission.FairQueue, count: int) -> list[tuple[str, int]]:
    served = []
    for _ in range(count):
        waiting = queue.peek()
        assert waiting is not None
        queue.withdraw(waiting.request.attempt)
        queue.shares.charge(waiting.flow, waiting.cost_ms)
        served.append((waiting.flow, waiting.order_ms))
    return served


# Guards against one account using the share of another one.
@pytest.mark.parametrize(
    ("weights", "costs", "expected"),
    [
        pytest.param((1, 1), (1, 1), (50, 50), id="equal weights"),
        pytest.param((4, 1), (1, 1), (80, 20), id="share follows the weight"),
        pytest.param((1, 1), (3, 1), (25, 75), id="share counts service time"),
    ],
)
def test_shares_under_a_flood(
    weights: tuple[float, float], costs: tuple[float, float], expected: tuple[int, int]
) -> None:
    shares = admission.FairShares()
    accounts = [
        dispatch_factories.account(name, weight=weight)
        for name, weight in zip("ab", weights, strict=True)
    ]
    shares.configure(tuple(accounts))
    queue = admission.FairQueue(shares)
    for number in range(400):
        queue.push(_waiting(number, "a", number, costs[0]))
    for number in range(400, 500):
        queue.push(_waiting(number, "b", number, costs[1]))
    counts = collections.Counter(name for name, _ in _serve(queue, 100))
    assert abs(counts["a"] - expected[0]) <= 2
    assert abs(counts["b"] - expected[1]) <= 2


def test_idle_account_accumulates_no_credit() -> None:
    queue = admission.FairQueue(admission.FairShares())
    for number in range(200):
        queue.push(_waiting(number, "a"))
    _serve(queue, 100)
    for number in range(200, 300):
        queue.push(_waiting(number, "b"))
    assert 45 <= sum(name == "b" for name, _ in _serve(queue, 100)) <= 55


def test_order_within_an_account_is_by_latest_start() -> None:
    queue = admission.FairQueue(admission.FairShares())
    for number, order_ms in enumerate([30, 10, 20]):
        queue.push(_waiting(number, "a", order_ms))
    assert _serve(queue, 3) == [("a", 10), ("a", 20), ("a", 30)]


def test_expired_and_evicted_attempts_leave_the_queue() -> None:
    queue = admission.FairQueue(admission.FairShares())
    items = [_waiting(number, "a", order_ms) for number, order_ms in enumerate([0, 10, 20])]
    for waiting in items:
        queue.push(waiting)
    assert queue.take_expired(1_005) == [items[0]]
    assert queue.evict("a") is items[2]
    assert queue.peek() is items[1]
    assert len(queue) == 1


# Guards against a wrong host share of a fleet-wide limit, which exceeds the limit or blocks the
# account.
@pytest.mark.parametrize(
    ("limits", "hosts", "times_ms", "expected"),
    [
        pytest.param({"requests_per_s": 2}, 1, [0, 0, 0], [None, None, 500], id="rate"),
        pytest.param({"requests_per_s": 2}, 1, [0, 0, 500], [None, None, None], id="refill"),
        pytest.param({"requests_per_s": 2}, 2, [0, 0], [None, 1_000], id="static share of rate"),
        pytest.param({"concurrent_requests": 1}, 1, [0, 0], [None, 1_000], id="concurrent"),
        pytest.param({"concurrent_requests": 1}, 9, [0], [None], id="at least one"),
    ],
)
def test_account_limits(
    limits: dict[str, float], hosts: int, times_ms: list[int], expected: list[int | None]
) -> None:
    account = dispatch_factories.account("a", **limits)
    names = tuple(f"h{index}" for index in range(hosts))
    table = admission.AccountLimits()
    table.configure(dispatch_factories.version(hosts=names, accounts=(account,)))
    results = []
    for number, now_ms in enumerate(times_ms):
        results.append(table.try_admit("a", now_ms))
        if results[-1] is None:
            table.open("a", str(number))
    assert results == expected


def test_closed_request_frees_its_slot() -> None:
    table = admission.AccountLimits()
    account = dispatch_factories.account("a", concurrent_requests=1)
    table.configure(dispatch_factories.version(accounts=(account,)))
    assert table.try_admit("a", 0) is None
    table.open("a", "1")
    table.close("a", "1")
    assert table.try_admit("a", 0) is None
