from __future__ import annotations

import json

import dispatch_factories as make
import factories
import pytest

from sesamehold.process import settings
from sesamehold.request import policies

FIELDS = {**factories.settings_document(), "host_id": "h0", "zone": "z0"}


# A baseline that never grants slots would invalidate all comparisons with it.
@pytest.mark.parametrize("name", [kind.value for kind in settings.DispatcherKind])
def test_every_configurable_dispatcher_grants_slots(name: str) -> None:
    config = settings.from_text(json.dumps({**FIELDS, "dispatcher": name})).ok
    dispatcher = policies.build(config, "seed")
    dispatcher.configure(make.version(), 0)
    assert make.granted(dispatcher.acquire(make.attempt(1), 0)) in {"t0", "t1"}


def test_unknown_dispatcher_is_rejected_by_the_settings() -> None:
    result = settings.from_text(json.dumps({**FIELDS, "dispatcher": "fastest"}))
    assert [fault.path for fault in result.error] == ["dispatcher"]
