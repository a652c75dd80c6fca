"""Counters, gauges and timers for statsd.

Values are aggregated in memory and sent once a second, so that counting on the request path costs
one dictionary update.
"""

from __future__ import annotations

import collections

import attrs
import statsd

from sesamehold.process import listening
from sesamehold.process import settings


@attrs.define
class Metrics:
    """Aggregates metrics of this process; `flush` sends them."""

    _client: statsd.StatsClient | None
    counters: collections.Counter[str] = attrs.field(factory=collections.Counter)
    gauges: dict[str, float] = attrs.field(factory=dict)
    _timings_ms: dict[str, list[float]] = attrs.field(factory=dict)
    _unsent: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _timings_limit: int = 200

    @classmethod
    def from_config(cls, config: settings.Settings) -> Metrics:
        """Returns metrics that are sent to the configured statsd address, if any."""
        if config.statsd_address is None:
            return cls(client=None)
        address = listening.Address.parse(config.statsd_address)
        prefix = f"sesamehold.{config.host_id}"
        return cls(client=statsd.StatsClient(address.ip, address.port, prefix=prefix))

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] += value
        self._unsent[name] += value

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """Records a duration; drops values beyond `_timings_limit` for each name and flush."""
        values = self._timings_ms.setdefault(name, [])
        if len(values) < self._timings_limit:
            values.append(duration_ms)

    def flush(self) -> None:
        """Sends gauges, and the counts and durations since the last call."""
        if self._client is not None:
            with self._client.pipeline() as pipeline:
                for name, value in self._unsent.items():
                    pipeline.incr(name, value)
                for name, gauge in self.gauges.items():
                    pipeline.gauge(name, gauge)
                for name, durations in self._timings_ms.items():
                    for duration_ms in durations:
                        pipeline.timing(name, duration_ms)
        self._unsent.clear()
        self._timings_ms.clear()
