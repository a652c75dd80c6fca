"""Order of waiting attempts and limits of client accounts."""

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
        request: The attempt.
        arrived_ms: Time at which it began to wait.
        latest_start_ms: From this time on it can no longer meet its deadline.
        likely_start_ms: From this time on it will probably miss its deadline.
        cost_ms: Expected service time, which fair shares are counted in.
        share: Account whose share it counts towards.
        order_ms: Attempts of one share go in ascending order of this time.
        long: Whether it is expected to run much longer than the pool's median.
        queue: The queue that it waits in now.
    """

    request: dispatch.SlotRequest
    arrived_ms: int
    latest_start_ms: int
    likely_start_ms: int
    cost_ms: float
    share: str
    order_ms: int
    long: bool = False
    queue: FairQueue | None = None


@attrs.define
class FairShares:
    """Virtual time of each account, as in start-time fair queueing (Goyal et al., 1996)."""

    _weights: dict[str, float] = attrs.field(factory=dict)
    _finish: dict[str, float] = attrs.field(factory=dict)
    _now: float = 0.0

    def configure(self, accounts: tuple[manifest.Account, ...]) -> None:
        """Takes over the weights of a version."""
        self._weights = {account.name: account.weight for account in accounts}
        self._finish = {name: at for name, at in self._finish.items() if name in self._weights}

    def weight(self, account: str) -> float:
        """Returns the weight of an account."""
        return max(self._weights.get(account, 1.0), 1e-6)

    def start_of(self, account: str) -> float:
        """Returns the virtual start time of the account's next attempt."""
        return max(self._finish.get(account, 0.0), self._now)

    def charge(self, account: str, cost_ms: float) -> None:
        """Books one granted attempt."""
        start = self.start_of(account)
        self._now = start
        self._finish[account] = start + max(cost_ms, _MIN_COST_MS) / self.weight(account)


@attrs.define
class FairQueue:
    """Waiting attempts: fair shares over accounts, then the earliest feasible deadline."""

    shares: FairShares
    _heaps: dict[str, list[tuple[int, int, WaitingAttempt]]] = attrs.field(factory=dict)
    _counts: dict[str, int] = attrs.field(factory=dict)
    _by_attempt: dict[ids.AttemptId, WaitingAttempt] = attrs.field(factory=dict)
    _expiry: list[tuple[int, int, WaitingAttempt]] = attrs.field(factory=list)
    _sequence: itertools.count[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return len(self._by_attempt)

    def push(self, item: WaitingAttempt) -> None:
        """Adds an attempt."""
        account = item.share
        item.queue = self
        number = next(self._sequence)
        heapq.heappush(self._heaps.setdefault(account, []), (item.order_ms, number, item))
        heapq.heappush(self._expiry, (item.latest_start_ms, number, item))
        self._counts[account] = self._counts.get(account, 0) + 1
        self._by_attempt[item.request.attempt] = item

    def peek(self) -> WaitingAttempt | None:
        """Returns the attempt whose turn it is."""
        account = min(self._counts, key=self.shares.start_of, default=None)
        if account is None:
            return None
        heap = self._heaps[account]
        while heap[0][2].queue is not self:
            heapq.heappop(heap)
        return heap[0][2]

    def withdraw(self, attempt: ids.AttemptId) -> WaitingAttempt | None:
        """Removes an attempt; returns it if it was waiting."""
        item = self._by_attempt.pop(attempt, None)
        if item is None:
            return None
        item.queue = None
        account = item.share
        self._counts[account] -= 1
        if not self._counts[account]:
            del self._counts[account]
            del self._heaps[account]
        return item

    def take_expired(self, now_ms: int) -> list[WaitingAttempt]:
        """Removes and returns the attempts that can no longer meet their deadlines."""
        expired: list[WaitingAttempt] = []
        while self._expiry and (
            self._expiry[0][2].queue is not self or self._expiry[0][0] <= now_ms
        ):
            item = heapq.heappop(self._expiry)[2]
            if item.queue is self:
                self.withdraw(item.request.attempt)
                expired.append(item)
        return expired

    def heaviest(self) -> tuple[str, float]:
        """Returns the account that waits most in relation to its weight, and that relation."""
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
class _AccountUse:
    tokens: float
    filled_ms: int
    open_requests: dict[str, int] = attrs.field(factory=dict)


@attrs.define
class AccountLimits:
    """This host's part of the fleet-wide limits of each account.

    The part is the limit divided by the number of hosts, because load balancers spread callers
    evenly. It is at least one request, so that small limits stay usable.
    """

    _accounts: dict[str, manifest.Account] = attrs.field(factory=dict)
    _host_count: int = 1
    _use: dict[str, _AccountUse] = attrs.field(factory=dict)

    def configure(self, version: manifest.Manifest) -> None:
        """Takes over the limits of a version."""
        self._accounts = {account.name: account for account in version.accounts}
        self._host_count = max(1, len(version.hosts))

    def set_live_hosts(self, count: int) -> None:
        """Divides the limits by the number of hosts that are alive."""
        self._host_count = max(1, count)

    def try_admit(self, account: str, now_ms: int) -> int | None:
        """Admits one new request.

        Returns:
            None if it is admitted, else the milliseconds after which another try makes sense.
        """
        limits = self._accounts.get(account)
        if limits is None:
            return None
        rate_per_s = limits.requests_per_s / self._host_count
        use = self._use_of(account, rate_per_s, now_ms)
        concurrent = max(1, limits.concurrent_requests // self._host_count)
        if len(use.open_requests) >= concurrent:
            return _MS_PER_S
        if use.tokens < 1.0:
            return max(1, int((1.0 - use.tokens) / max(rate_per_s, 1e-6) * _MS_PER_S))
        use.tokens -= 1.0
        return None

    def open(self, account: str, request_id: str) -> None:
        """Counts an attempt of a request as open."""
        use = self._use.get(account)
        if use is not None:
            use.open_requests[request_id] = use.open_requests.get(request_id, 0) + 1

    def close(self, account: str, request_id: str) -> None:
        """Ends what `open` began."""
        use = self._use.get(account)
        if use is None or request_id not in use.open_requests:
            return
        use.open_requests[request_id] -= 1
        if use.open_requests[request_id] <= 0:
            del use.open_requests[request_id]

    def _use_of(self, account: str, rate_per_s: float, now_ms: int) -> _AccountUse:
        # One second of the rate may arrive at once.
        burst = max(1.0, rate_per_s)
        use = self._use.get(account)
        if use is None:
            use = self._use[account] = _AccountUse(burst, now_ms)
        use.tokens = min(burst, use.tokens + (now_ms - use.filled_ms) * rate_per_s / _MS_PER_S)
        use.filled_ms = now_ms
        return use
