"""Guards request ids: distinct, valid UUIDv7, and traceable to their host."""

from __future__ import annotations

import random

from sesamehold.process import clock
from sesamehold.process import requests
from sesamehold.request import ids


def test_ids_carry_the_tag_of_their_host_and_stay_random() -> None:
    """Guards against a tag that takes the place of the random bits."""
    source = clock.ManualClock()
    registry = requests.RequestRegistry(source, random.Random(1), "host-0")
    made = [registry.new_id() for _ in range(200)]
    assert all(ids.uuid7_wall_ms(item) == source.wall_ms() for item in made)
    assert all(requests.may_come_from(item, "host-0") for item in made)
    assert not any(requests.may_come_from(item, "host-1") for item in made)
    # Each of the digits that are random takes many values.
    assert all(len({item[place] for item in made}) > 3 for place in range(13, 28))
