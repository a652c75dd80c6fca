"""Fair queueing of waiting attempts, and rate and concurrency limits of client accounts."""

from __future__ import annotations

import heapq
import itertools

import attrs

from sesamehold.process import dispatch
from sesamehold.request import ids
from sesamehold.version import manifest

MAX_WAITING = 1_000
_MS_PER_S = 1_000
_MIN_COST_MS = 1.0


@attrs.define(eq=False)
class WaitingAttempt:
    """An attempt that waits for a target.

    Attributes:
        request: Slot request of the attempt.
        arrived_ms: Time at which it arrived at the dispatcher.
        latest_start_ms: From this time on, it can no longer meet its deadline.
        latest_likely_start_ms: From this time on, it will probably miss its deadline.
        cost_ms: Expected service time, charged to its flow.
        flow: Account that it is charged to, empty if all accounts share one flow.
        order_ms: Attempts of one flow are served in ascending order of this time.
        long: Whether it is expected to run much longer than the median of the pool.
        queue: The queue that holds it, None if it is in no queue.
    """

    request: dispatch.SlotRequest
    arrived_ms: int
    latest_start_ms: int
    latest_likely_start_ms: int
    cost_ms: float
    flow: str
    order_ms: int
    long: bool = False
    queue: FairQueue | None = None


@attrs.define
class FairShares:
    """Virtual time of each account, as in start-time fair queueing (Goyal et al., 1996)."""

    _weights: dict[str, float] = attrs.field(factory=dict)
    _virtual_finish: dict[str, float] = attrs.field(factory=dict)
    _virtual_time: float = 0.0

    def configure(self, accounts: tuple[manifest.Account, ...]) -> None:
        """Applies the account weights of a configuration version."""
        self._weights = {account.name: account.weight for account in accounts}
        self._virtual_finish = {
            name: at for name, at in self._virtual_finish.items() if name in self._weights
        }

    def weight(self, account: str) -> float:
        """Returns the weight of an account."""
        return max(self._weights.get(account, 1.0), 1e-6)

    def virtual_start(self, account: str) -> float:
        """Returns the virtual start time of the account's next attempt."""
        return max(self._virtual_finish.get(account, 0.0), self._virtual_time)

    def charge(self, account: str, cost_ms: float) -> None:
        """Charges one granted attempt to its account."""
        start = self.virtual_start(account)
        self._virtual_time = start
        self._virtual_finish[account] = start + max(cost_ms, _MIN_COST_MS) / self.weight(account)


@attrs.define
class FairQueue:
    """Waiting attempts: fair shares over accounts, then the earliest feasible deadline first."""

    shares: FairShares
    _heaps: dict[str, list[tuple[int, int, WaitingAttempt]]] = attrs.field(factory=dict)
    _counts: dict[str, int] = attrs.field(factory=dict)
    _by_attempt: dict[ids.AttemptId, WaitingAttempt] = attrs.field(factory=dict)
    _expiry: list[tuple[int, int, WaitingAttempt]] = attrs.field(factory=list)
    _sequence: itertools.count[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self._by_attempt)

    def push(self, waiting: WaitingAttempt) -> None:
        """Adds an attempt."""
        account = waiting.flow
        waiting.queue = self
        sequence = next(self._sequence)
        heapq.heappush(self._heaps.setdefault(account, []), (waiting.order_ms, sequence, waiting))
        heapq.heappush(self._expiry, (waiting.latest_start_ms, sequence, waiting))
        self._counts[account] = self._counts.get(account, 0) + 1
        self._by_attempt[waiting.request.attempt] = waiting

    def peek(self) -> WaitingAttempt | None:
        """Returns the attempt to serve next."""
        account = min(self._counts, key=self.shares.virtual_start, default=None)
        if account is None:
            return None
        heap = self._heaps[account]
        while heap[0][2].queue is not self:
            heapq.heappop(heap)
        return heap[0][2]

    def withdraw(self, attempt: ids.AttemptId) -> WaitingAttempt | None:
        """Removes an attempt; returns it if it was waiting."""
        waiting = self._by_attempt.pop(attempt, None)
        if waiting is None:
            return None
        waiting.queue = None
        account = waiting.flow
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
            del self._heaps[account]
        return waiting

    def take_expired(self, now_ms: int) -> list[WaitingAttempt]:
        """Removes and returns the attempts that can no longer meet their deadlines."""
        expired: list[WaitingAttempt] = []
        while self._expiry and (
            self._expiry[0][2].queue is not self or self._expiry[0][0] <= now_ms
        ):
            waiting = heapq.heappop(self._expiry)[2]
            if waiting.queue is self:
                self.withdraw(waiting.request.attempt)
                expired.append(waiting)
        return expired

    def largest_backlog(self) -> tuple[str, float]:
        """Returns the account with the most waiting attempts per weight, and that ratio."""
        return max(
            ((name, count / self.shares.weight(name)) for name, count in self._counts.items()),
            key=lambda pair: pair[1],
            default=("", 0.0),
        )

    def evict(self, account: str) -> WaitingAttempt | None:
        """Removes and returns the account's attempt with the latest deadline."""
        waiting = [entry for entry in self._heaps.get(account, ()) if entry[2].queue is self]
        if not waiting:
            return None
        return self.withdraw(max(waiting)[2].request.attempt)


@attrs.define
class _AccountUsage:
    tokens: float
    refilled_ms: int
    open_requests: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class AccountLimits:
    """This host's share of the fleet-wide limits of each account.

    The share is the limit divided by the number of hosts, because load balancers distribute callers
    evenly. It allows at least one request, so that small limits stay usable.
    """

    _accounts: dict[str, manifest.Account] = attrs.field(factory=dict)
    _host_count: int = 1
    _usage: dict[str, _AccountUsage] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest) -> None:
        """Applies the account limits of a configuration version."""
        self._accounts = {account.name: account for account in version.accounts}
        self._host_count = max(1, len(version.hosts))

    def set_live_hosts(self, count: int) -> None:
        """Sets the number of live hosts, by which the limits are divided."""
        self._host_count = max(1, count)

    def try_admit(self, account: str, now_ms: int) -> int | None:
        """Admits one new request.

        Returns:
            None if it is admitted, else the delay in milliseconds before it should be retried.
        """
        limits = self._accounts.get(account)
        if limits is None:
            return None
        rate_per_s = limits.requests_per_s / self._host_count
        usage = self._refilled_usage(account, rate_per_s, now_ms)
        concurrent = max(1, limits.concurrent_requests // self._host_count)
        if len(usage.open_requests) >= concurrent:
            return _MS_PER_S
        if usage.tokens < 1.0:
            return max(1, int((1.0 - usage.tokens) / max(rate_per_s, 1e-6) * _MS_PER_S))
        usage.tokens -= 1.0
        return None

    def open(self, account: str, request_id: str) -> None:
        """Counts an attempt of a request as open."""
        usage = self._usage.get(account)
        if usage is not None:
            usage.open_requests[request_id] = usage.open_requests.get(request_id, 0) + 1

    def close(self, account: str, request_id: str) -> None:
        """Reverts one call of `open`."""
        usage = self._usage.get(account)
        if usage is None or request_id not in usage.open_requests:
            return
        usage.open_requests[request_id] -= 1
        if usage.open_requests[request_id] <= 0:
            del usage.open_requests[request_id]

    def _refilled_usage(self, account: str, rate_per_s: float, now_ms: int) -> _AccountUsage:
        # The burst is one second of the rate.
        burst = max(1.0, rate_per_s)
        usage = self._usage.get(account)
        if usage is None:
            usage = self._usage[account] = _AccountUsage(burst, now_ms)
        usage.tokens = min(
            burst, usage.tokens + (now_ms - usage.refilled_ms) * rate_per_s / _MS_PER_S
        )
        usage.refilled_ms = now_ms
        return usage
