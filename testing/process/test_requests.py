"""Tests request ids: distinct, valid UUIDv7, and attributable to their host."""

from __future__ import annotations

import random

from sesamehold.process import clock
from sesamehold.process import requests
from sesamehold.request import ids


def test_request_ids_end_with_the_tag_of_their_host_and_stay_random() -> None:
    """Guards against a host tag that leaves too few random bits."""
    source = clock.ManualClock()
    registry = requests.RequestRegistry(source, random.Random(1), "host-0")
    request_ids = [registry.new_id() for _ in range(200)]
    assert all(ids.uuid7_wall_ms(item) == source.wall_ms() for item in request_ids)
    assert all(requests.may_be_issued_by(item, "host-0") for item in request_ids)
    assert not any(requests.may_be_issued_by(item, "host-1") for item in request_ids)
    # Each random digit takes more than three values.
    assert all(len({item[digit] for item in request_ids}) > 3 for digit in range(13, 28))
