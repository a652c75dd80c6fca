"""Retry budget, also charged for duplicate attempts."""

from __future__ import annotations

from typing import Protocol

import attrs


class RetryBudget(Protocol):
    """Decides whether an attempt beyond the first may be sent."""

    def record_first_attempt(self, account: str, now_ms: int) -> None:
        """Records a first attempt, which adds a fraction of a retry to the budget."""

    def try_spend(self, account: str, now_ms: int) -> bool:
        """Spends one retry; returns False if the budget is exhausted."""


@attrs.define
class FractionRetryBudget:
    """Token buckets that gain a fraction of a token for each first attempt.

    A retry takes a token from the bucket of its account and one from the bucket of all accounts, so
    that neither a single account nor a failing stage can multiply the load.

    >>> budget = FractionRetryBudget(fraction=0.5, burst=1.0)
    >>> [budget.try_spend("a", 0) for _ in range(2)]
    [True, False]
    """

    fraction: float
    burst: float
    _all_accounts: float = attrs.field(init=False)
    _by_account: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self._all_accounts = self.burst

    def record_first_attempt(self, account: str, now_ms: int) -> None:
        """Adds `fraction` tokens to both buckets."""
        self._all_accounts = min(self.burst, self._all_accounts + self.fraction)
        balance = self._by_account.get(account, self.burst)
        self._by_account[account] = min(self.burst, balance + self.fraction)

    def try_spend(self, account: str, now_ms: int) -> bool:
        """Takes one token from each bucket if both have one."""
        balance = self._by_account.get(account, self.burst)
        if self._all_accounts < 1.0 or balance < 1.0:
            return False
        self._all_accounts -= 1.0
        self._by_account[account] = balance - 1.0
        return True
