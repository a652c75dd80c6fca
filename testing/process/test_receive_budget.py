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


LARGE = receive_budget.SMALL_BYTES + 1


@pytest.mark.parametrize(
    ("admitted", "size_bytes", "is_admitted"),
    [
        pytest.param([], 20 * LARGE, True, id="single-one-of-any-size"),
        pytest.param([LARGE] * 4, LARGE, True, id="up-to-half-of-the-capacity"),
        pytest.param([LARGE] * 5, LARGE, False, id="large-one-beyond-it"),
        pytest.param([20 * LARGE], LARGE, False, id="large-one-beside-a-larger-one"),
        pytest.param([LARGE] * 5, LARGE - 1, True, id="small-one-beyond-it"),
    ],
)
def test_large_requests_leave_half_of_the_memory_to_others(
    admitted: list[int], size_bytes: int, *, is_admitted: bool
) -> None:
    """Guards against admitted requests whose memory nobody counts."""
    shed: list[int] = []
    budget = receive_budget.ReceiveBudget(10 * LARGE, on_excess=lambda _: None)
    holdings = [receive_budget.Holding(lambda: shed.append(1)) for _ in admitted]
    for holding, admitted_bytes in zip(holdings, admitted, strict=True):
        assert budget.admit(holding, admitted_bytes)
    last = receive_budget.Holding(lambda: shed.append(1))
    assert budget.admit(last, size_bytes) is is_admitted
    budget.update(receive_budget.Holding(lambda: shed.append(1)), 4 * LARGE)
    assert not shed
    for holding in [*holdings, last]:
        budget.end_admitted(holding)
    assert (budget.admitted_bytes, budget.used_bytes) == (0, 4 * LARGE)


_RECEIVED, _ADMITTED = receive_budget.Use.RECEIVED, receive_budget.Use.ADMITTED
_STALLED, _UNREAD = receive_budget.Use.STALLED_ANSWER, receive_budget.Use.UNREAD_ANSWER
_SMALL = LARGE - 2


@pytest.mark.parametrize(
    ("holdings", "kept_count"),
    [
        pytest.param([(LARGE, _RECEIVED), (LARGE, _STALLED)], 1, id="received-before-stalled"),
        pytest.param([(_SMALL, _STALLED), (LARGE, _UNREAD)], 1, id="stalled-before-unread"),
        pytest.param([(_SMALL, _UNREAD), (_SMALL, _RECEIVED)], 1, id="unread-before-small"),
        pytest.param([(_SMALL, _RECEIVED), (LARGE, _ADMITTED)], 1, id="never-admitted"),
        pytest.param([(2 * LARGE, _UNREAD), (LARGE, _UNREAD)], 1, id="largest-first"),
    ],
)
def test_memory_is_lost_in_order(
    holdings: list[tuple[int, receive_budget.Use]], kept_count: int
) -> None:
    """Guards against answers that are cut while others hold memory that is easier to give up."""
    lost: list[int] = []
    sum_bytes = sum(size_bytes for size_bytes, _ in holdings)
    budget = receive_budget.ReceiveBudget(sum_bytes - 1, on_excess=lambda _: None)
    for number, (size_bytes, use) in reversed([*enumerate(holdings)]):
        holding = receive_budget.Holding(lambda number=number: lost.append(number))  # type: ignore[misc]
        budget.update(holding, size_bytes, use)
    assert lost == [*range(len(holdings) - kept_count)]
