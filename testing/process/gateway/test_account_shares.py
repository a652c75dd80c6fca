"""Tests of the shares of client accounts in a service that is short of capacity."""

from __future__ import annotations

import collections

import hypothesis
from hypothesis import strategies
import pytest

from sesamehold.process.gateway import account_labels
from sesamehold.process.gateway import account_shares

QUANTUM_MS = 100.0
MAX_WORK_MS = 100.0


def _serve_next(
    shares: account_shares.AccountShares, queues: dict[str, collections.deque[float]]
) -> tuple[str, float]:
    """Serves the first step of the earliest round, by name of the account within a round."""
    waiting = [(account, work_ms) for account in sorted(queues) for work_ms in queues[account]]
    rounds = shares.rounds(waiting)
    index = min(range(len(waiting)), key=lambda item: rounds[item])
    account, _ = waiting[index]
    work_ms = queues[account].popleft()
    if not queues[account]:
        del queues[account]
    shares.record(account, work_ms)
    return account, work_ms


WORKS = strategies.lists(strategies.floats(1.0, MAX_WORK_MS), min_size=40, max_size=60)


@hypothesis.given(strategies.dictionaries(strategies.sampled_from("abcd"), WORKS, min_size=2))
@hypothesis.settings(max_examples=40, deadline=None)
def test_accounts_that_wait_all_the_time_get_equal_work(works: dict[str, list[float]]) -> None:
    """Guards against an account that gets more because it asks for more or for larger steps.

    Between accounts that both wait, the difference is at most one round and one step.
    """
    shares = account_shares.AccountShares(QUANTUM_MS)
    queues = {account: collections.deque(items) for account, items in works.items()}
    got_ms = dict.fromkeys(queues, 0.0)
    while len(queues) == len(got_ms):
        account, work_ms = _serve_next(shares, queues)
        got_ms[account] += work_ms
        assert max(got_ms.values()) - min(got_ms.values()) <= QUANTUM_MS + MAX_WORK_MS


@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.sampled_from("bcd"), strategies.just(50.0))),
    strategies.integers(0, 400),
)
@hypothesis.settings(max_examples=60, deadline=None)
def test_no_account_with_work_waits_for_ever(
    others: list[tuple[str, float]], past_count: int
) -> None:
    """Guards against an account whose turn never comes while others keep asking.

    Whatever the others got before, one that begins to wait is served within one round and one step
    of each of them.
    """
    shares = account_shares.AccountShares(QUANTUM_MS)
    queues: dict[str, collections.deque[float]] = {"b": collections.deque([50.0] * past_count)}
    while queues.get("b"):
        _serve_next(shares, queues)
    for account, work_ms in others:
        queues.setdefault(account, collections.deque()).append(work_ms)
    queues["a"] = collections.deque([50.0])
    served = 0
    while "a" in queues:
        for account in "bcd":
            queues.setdefault(account, collections.deque()).append(50.0)
        _serve_next(shares, queues)
        served += 1
    assert served <= 1 + 3 * (QUANTUM_MS + MAX_WORK_MS) / 50.0


@pytest.mark.parametrize("idle_rounds", [0, 10, 1_000])
def test_idle_account_gains_no_credit(idle_rounds: int) -> None:
    """Guards against an account that is idle for long and then shuts all others out."""
    shares = account_shares.AccountShares(QUANTUM_MS)
    shares.record("back", 50.0)
    queues = {"busy": collections.deque([50.0] * (idle_rounds + 40))}
    for _ in range(idle_rounds):
        _serve_next(shares, queues)
    queues["back"] = collections.deque([50.0] * 40)
    served = collections.Counter(_serve_next(shares, queues)[0] for _ in range(20))
    assert served["busy"] >= 6


def test_state_of_accounts_that_are_gone_is_dropped() -> None:
    """Guards against memory that grows with every account that was ever seen."""
    shares = account_shares.AccountShares(QUANTUM_MS)
    for number in range(1_000):
        shares.record(f"gone-{number}", 50.0)
    queues = {"stays": collections.deque([50.0] * 4)}
    for _ in range(3):
        _serve_next(shares, queues)
    assert len(shares) <= 1


def test_labels_of_accounts_are_bounded() -> None:
    """Guards against metrics with a series for every account."""
    labels = account_labels.AccountLabels()
    values = {labels.label(f"account-{number % 100}") for number in range(1_000)}
    assert len(values) == account_labels.MAX_ACCOUNTS + 1
    assert labels.label("account-0") == "account-0"
    assert labels.label("") == account_labels.ANONYMOUS
