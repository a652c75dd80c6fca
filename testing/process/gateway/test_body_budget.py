"""Tests which bodies get memory at once, which wait for it, and which are refused."""

from __future__ import annotations

import attrs
import pytest

from sesamehold.process.gateway import body_budget

MB = 1_000_000
SMALL = body_budget.SMALL_BODY_BYTES
CAPACITY = 10 * MB
RESERVED, WAITING, REFUSED = body_budget.Grant


@attrs.frozen
class Body:
    """A body that asks for memory, and what it gets."""

    size_bytes: int
    result: body_budget.Grant


class Process:
    """Bodies of one process, in the order of their arrival."""

    def __init__(self) -> None:
        self.budget = body_budget.BodyBudget(CAPACITY)
        self.granted: list[int] = []
        self.bodies: list[body_budget.Reservation] = []

    def arrive(self, size_bytes: int) -> body_budget.Grant:
        number = len(self.bodies)
        self.bodies.append(body_budget.Reservation(lambda: self.granted.append(number)))
        return self.budget.request(self.bodies[number], size_bytes)


@pytest.mark.parametrize(
    ("bodies", "ends", "granted"),
    [
        pytest.param([Body(4 * MB, RESERVED)] * 2, [], [], id="all-fit"),
        pytest.param(
            [Body(4 * MB, RESERVED)] * 2 + [Body(4 * MB, WAITING)] * 3,
            [0, 1],
            [2, 3],
            id="more-than-fit-are-served-in-order",
        ),
        pytest.param(
            [Body(8 * MB, RESERVED), Body(6 * MB, WAITING), Body(MB, WAITING)],
            [0],
            [1, 2],
            id="a-later-one-does-not-overtake",
        ),
        pytest.param(
            [Body(8 * MB, RESERVED), Body(6 * MB, WAITING), Body(MB, WAITING)],
            [1],
            [2],
            id="one-that-gives-up-lets-the-next-pass",
        ),
        pytest.param(
            [Body(CAPACITY, RESERVED), Body(MB, WAITING), *[Body(SMALL, RESERVED)] * 50],
            [],
            [],
            id="small-ones-do-not-wait",
        ),
        pytest.param([Body(CAPACITY + 1, REFUSED)], [], [], id="one-that-can-never-fit"),
        pytest.param(
            [Body(CAPACITY, RESERVED)]
            + [Body(MB, WAITING)] * body_budget.MAX_WAITING
            + [Body(MB, REFUSED)],
            [],
            [],
            id="too-many-wait",
        ),
    ],
)
def test_large_bodies_hold_no_more_than_the_budget(
    bodies: list[Body], ends: list[int], granted: list[int]
) -> None:
    process = Process()
    small_bytes = 0
    for body in bodies:
        assert process.arrive(body.size_bytes) is body.result
        small_bytes += body.size_bytes if body.size_bytes <= SMALL else 0
        assert process.budget.used_bytes <= CAPACITY + small_bytes
    for number in ends:
        process.budget.release(process.bodies[number])
        assert process.budget.used_bytes <= CAPACITY + small_bytes
    assert process.granted == granted
    for reservation in process.bodies:
        process.budget.release(reservation)
    assert process.budget.used_bytes == 0


def test_body_that_has_begun_gets_memory_before_new_ones() -> None:
    """Guards against bodies in chunks that keep their memory and wait behind others."""
    process = Process()
    assert process.arrive(8 * MB) is RESERVED
    assert process.arrive(SMALL) is RESERVED
    assert process.arrive(3 * MB) is WAITING
    assert process.budget.request(process.bodies[1], 4 * MB) is WAITING
    process.budget.release(process.bodies[0])
    assert process.granted == [1, 2]
