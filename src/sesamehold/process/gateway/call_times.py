"""Expected durations of stage calls, learned from the sizes of recent calls.

This answers loads at which calls are full: a step then takes as long as a full call, however few
pieces of its own are in it, and finds the targets of its service in the middle of other calls. A
queue that is ordered by slack starts each step at the last moment, so estimates that leave this out
make all of them late.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from sesamehold.version import routing

# Weight of the latest call in the moving average of the number of pieces.
SIZE_EWMA_WEIGHT = 0.1
# Time from the end of a stage to the start of the next one, as a fraction of a call: on average, a
# busy target is in the middle of a call.
WAIT_FRACTION = 0.5


@attrs.define(eq=False)
class CallTimes:
    """Estimates for the stage services of one process.

    Attributes:
        pool_for: Returns the stage pool of a service, None if the service does not run stages.

    >>> pool = routing.StagePool(1, 2, 10, 200.0, 20.0, 1_000_000, 4_000)
    >>> times = CallTimes({"documents": pool}.get)
    >>> times.call_ms("documents", 1)
    220.0
    >>> for _ in range(100):
    ...     times.record_call("documents", 10)
    >>> round(times.call_ms("documents", 1))
    400
    """

    pool_for: Callable[[str], routing.StagePool | None]
    _mean_sizes: dict[str, float] = attrs.field(factory=dict)

    def record_call(self, service: str, piece_count: int) -> None:
        """Records the number of pieces of a call that starts."""
        known = self._mean_sizes.get(service, 1.0)
        self._mean_sizes[service] = known + SIZE_EWMA_WEIGHT * (piece_count - known)

    def call_ms(self, service: str, piece_count: int) -> float:
        """Returns the expected duration of a call that processes some pieces among others."""
        pool = self.pool_for(service)
        if pool is None:
            return 0.0
        size = max(min(piece_count, pool.batch_size), self._mean_sizes.get(service, 1.0))
        return pool.call_ms + pool.piece_ms * size

    def path_ms(self, path: Iterable[tuple[str, int]]) -> float:
        """Returns the expected duration of stages one after the other, with waits before each.

        Args:
            path: Service and number of pieces of each stage.
        """
        return (1 + WAIT_FRACTION) * sum(self.call_ms(service, count) for service, count in path)

    def minimum_path_ms(self, path: Iterable[tuple[str, int]]) -> float:
        """Returns the shortest duration of stages one after the other, at idle targets."""
        total_ms = 0.0
        for service, count in path:
            pool = self.pool_for(service)
            if pool is not None:
                total_ms += pool.call_time_ms(min(count, pool.batch_size))
        return total_ms
