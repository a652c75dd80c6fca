"""Tests which connections lose what they hold when memory for callers is short."""

from __future__ import annotations

import attrs
import pytest

from sesamehold.process import receive_budget


@attrs.define(eq=False)
class Connection:
    """Connection that counts itself again, as its request has been admitted meanwhile."""

    budget: receive_budget.ReceiveBudget
    size_bytes: int
    shed_count: int = 0
    holding: receive_budget.Holding = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.holding = receive_budget.Holding(self._shed)

    def hold(self) -> None:
        self.budget.update(self.holding, self.size_bytes)

    def _shed(self) -> None:
        self.shed_count += 1
        self.hold()


@pytest.mark.parametrize("count", [1, 3, 20])
def test_connections_that_cannot_be_shed_are_asked_once_for_each_search(count: int) -> None:
    """Guards against a search that begins again for each connection that keeps what it holds."""
    budget = receive_budget.ReceiveBudget(1_000, on_excess=lambda _: None)
    connections = [Connection(budget, 2_000 // count) for _ in range(count)]
    for connection in connections:
        connection.hold()
    assert max(connection.shed_count for connection in connections) <= count
    assert budget.used_bytes == sum(connection.size_bytes for connection in connections)
