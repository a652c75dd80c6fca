"""Divides the work of a service that is short of capacity between client accounts.

The leader owns this state, as it alone sees the demand of all accounts. Nothing is kept of work
that was done while there was room for all: it was taken from nobody.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from sesamehold.process.gateway import stage_queue
from sesamehold.version import routing

# A service is short of capacity once its targets need this time for the work that waits for them,
# until they need less than the fraction of it. In shorter queues every order is nearly the same.
SHORTAGE_MS = 1_000
SHORTAGE_END_FRACTION = 0.5


@attrs.define(eq=False)
class AccountShares:
    """Work that each client account got of one service at one urgency, in a shortage.

    Accounts have equal weights. Work is counted as time of targets. An account that begins to wait
    counts from the least work of those that wait, so it has no credit for the time before. It is
    forgotten once it waits no more and all others have got as much.

    Attributes:
        quantum_ms: Work of one round. Within a round, steps keep their order.
    """

    quantum_ms: float
    _work_ms: dict[str, float] = attrs.field(factory=dict)
    _least_ms: float = 0.0

    def __len__(self) -> int:
        return len(self._work_ms)

    def record(self, account: str, work_ms: float) -> None:
        """Records work that is done for an account."""
        self._work_ms[account] = self._work_ms.get(account, self._least_ms) + work_ms

    def rounds(self, waiting: Sequence[tuple[str, float]]) -> list[int]:
        """Returns the round in which each step has its turn; 0 is the first.

        Args:
            waiting: Account and work in milliseconds of the steps that wait, those of each account
                in their order.
        """
        accounts = {account for account, _ in waiting}
        if not accounts:
            return []
        least_ms = min(self._work_ms.get(account, self._least_ms) for account in accounts)
        self._least_ms = max(self._least_ms, least_ms)
        self._work_ms = {
            account: work_ms
            for account, work_ms in self._work_ms.items()
            if work_ms > self._least_ms
        }
        start_ms = {account: self._work_ms.get(account, self._least_ms) for account in accounts}
        rounds = []
        for account, work_ms in waiting:
            rounds.append(int((start_ms[account] - self._least_ms) / self.quantum_ms))
            start_ms[account] += work_ms
        return rounds


@attrs.frozen
class ShortageChange:
    """A service has become short of capacity, or is no longer.

    Attributes:
        service: The service.
        is_short: Whether it is short now.
        drain_ms: Time that its targets need for what waits.
        account_count: Client accounts whose steps wait.
    """

    service: str
    is_short: bool
    drain_ms: float
    account_count: int


@attrs.define(eq=False)
class ShareTable:
    """Shares of the accounts in all services that are short of capacity."""

    # By service and urgency; only services that are short of capacity are in it.
    _short: dict[str, dict[int, AccountShares]] = attrs.field(factory=dict)
    _changes: list[ShortageChange] = attrs.field(factory=list)

    @property
    def is_any_short(self) -> bool:
        """Returns whether any service is short of capacity."""
        return bool(self._short)

    def end_idle(self, waiting_services: Collection[str]) -> None:
        """Ends the shortages of services for which nothing waits."""
        for service in [service for service in self._short if service not in waiting_services]:
            self._set_short(service, 0.0, ())

    def order(
        self,
        service: str,
        pool: routing.StagePool,
        target_count: int,
        queue: list[stage_queue.QueuedStep],
        now_ms: int,
    ) -> list[stage_queue.QueuedStep]:
        """Returns the steps that wait for a service in the order in which to serve them.

        In a shortage, the steps of accounts that have had their turn come after others of the same
        rank. Otherwise, or with one account, the order does not change.

        Args:
            service: The service.
            pool: Its capacity and timing.
            target_count: Targets that may receive calls.
            queue: Steps in scheduling order.
            now_ms: Monotonic time.
        """
        works_ms = [pool.work_time_ms(len(item.step.pieces)) for item in queue]
        drain_ms = sum(works_ms) / max(1, target_count)
        limit_ms = SHORTAGE_MS * (SHORTAGE_END_FRACTION if service in self._short else 1.0)
        if (service in self._short) is not (drain_ms >= limit_ms):
            self._set_short(service, drain_ms, queue)
        shares = self._short.get(service)
        if shares is None:
            return queue
        by_urgency: dict[int, list[int]] = {}
        for index, item in enumerate(queue):
            by_urgency.setdefault(item.step.job.request.urgency, []).append(index)
        ordered = list(queue)
        for urgency, indexes in by_urgency.items():
            waiting = [
                (queue[index].step.job.request.account, works_ms[index]) for index in indexes
            ]
            at_urgency = shares.setdefault(
                urgency, AccountShares(pool.call_time_ms(pool.batch_size))
            )
            rounds = at_urgency.rounds(waiting)
            if len({account for account, _ in waiting}) < 2:
                continue
            for index, number in zip(indexes, rounds, strict=True):
                if number:
                    ordered[index] = attrs.evolve(queue[index], round=number)
        return sorted(ordered, key=lambda item: item.sort_key(now_ms))

    def record(self, service: str, urgency: int, account: str, work_ms: float) -> None:
        """Records work that is done for an account; nothing is kept without a shortage."""
        shares = self._short.get(service, {})
        if urgency in shares:
            shares[urgency].record(account, work_ms)

    def take_changes(self) -> list[ShortageChange]:
        """Returns the shortages that have begun or ended, and clears the list."""
        changes, self._changes = self._changes, []
        return changes

    def _set_short(
        self, service: str, drain_ms: float, queue: Iterable[stage_queue.QueuedStep]
    ) -> None:
        """Begins or ends the shortage of a service."""
        if service in self._short:
            del self._short[service]
        else:
            self._short[service] = {}
        accounts = {item.step.job.request.account for item in queue}
        self._changes.append(
            ShortageChange(service, service in self._short, drain_ms, len(accounts))
        )
