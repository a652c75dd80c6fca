"""Tests which calls a host makes when the store returns from an older copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import contextlib
import itertools
import random

import attrs
from expression import Error
from expression import Ok
from expression import Result
import platform_stand_in as stand_in
import pytest

from sesamehold.process import clock as clocks
from sesamehold.process import listening
from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import directory_watcher
from sesamehold.process.gateway import settings as gateway_settings
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import store_replica
from sesamehold.process.gateway import targets

_Listed = Result[store_replica.StoreListing, directory_events.StoreUnavailable]
_Watched = Result[
    store_replica.StoreListing, directory_events.StoreUnavailable | directory_events.HistoryLost
]


def _item(key: str, revision: int, era: int) -> store_replica.StoreItem:
    return store_replica.StoreItem(key, b"x", revision, era)


@attrs.define
class _ScriptedSource:
    """Answers watches by a script and then never; a listing has the era `listed_era`.

    Attributes:
        watches: Answers to watches.
        listed_era: Era of listings.
        during_watch: Called before a watch is answered.
        calls: Names of the calls; a watch is followed by its revision.
    """

    watches: list[_Watched]
    listed_era: int = 1
    during_watch: Callable[[], None] = lambda: None
    calls: list[str] = attrs.field(factory=list)

    def prefixes(self) -> tuple[str, ...]:
        return ("",)

    def decode(
        self, item: store_replica.StoreItem, now_ms: int
    ) -> tuple[directory_events.DirectoryEvent, ...]:
        del item, now_ms
        return ()

    def close_idle(self) -> None:
        pass

    async def list_items(self, prefix: str) -> _Listed:
        del prefix
        self.calls.append("list")
        item = _item("a", 3, self.listed_era)
        return Ok(store_replica.StoreListing((item,), 26, self.listed_era))

    async def watch(self, prefix: str, after_revision: int, wait_ms: int) -> _Watched:
        del prefix, wait_ms
        self.calls.append(f"watch {after_revision}")
        if not self.watches:
            await asyncio.Event().wait()
        self.during_watch()
        answer = self.watches.pop(0)
        self.listed_era = max(self.listed_era, _era(answer))
        return answer


def _era(answer: _Watched) -> int:
    if answer.is_ok():
        return answer.ok.era
    return answer.error.era if isinstance(answer.error, directory_events.HistoryLost) else 0


def _watcher(source: _ScriptedSource) -> directory_watcher.DirectoryWatcher:
    address = listening.Address(stand_in.HOST, 1)
    config = gateway_settings.GatewaySettings(
        "host-1", "z1", address, address, address, address, address
    )
    state = states.GatewayState.from_config(config, clocks.SystemClock(), random.Random(1))
    return directory_watcher.DirectoryWatcher(state, source)


async def _watch_for(watcher: directory_watcher.DirectoryWatcher, duration_s: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(duration_s):
            await watcher.watch_prefix("")


def _changes(*items: store_replica.StoreItem, revision: int, era: int) -> _Watched:
    return Ok(store_replica.StoreListing(items, revision, era))


@pytest.mark.parametrize(
    ("watches", "calls", "known"),
    [
        pytest.param(
            [_changes(_item("b", 28, 2), revision=28, era=2)],
            ["list", "watch 26", "list", "watch 26"],
            {"a"},
            id="answer-of-a-new-era",
        ),
        pytest.param(
            [Error(directory_events.HistoryLost(2))],
            ["list", "watch 26", "list", "watch 26"],
            {"a"},
            id="no-such-revision-in-a-new-era",
        ),
        pytest.param(
            [_changes(_item("b", 28, 0), revision=28, era=0)],
            ["list", "watch 26", "watch 26"],
            {"a"},
            id="late-answer-of-an-earlier-era",
        ),
        pytest.param(
            [Error(directory_events.HistoryLost(0))],
            ["list", "watch 26", "watch 26"],
            {"a"},
            id="late-loss-of-an-earlier-era",
        ),
    ],
)
def test_answer_of_another_era_is_not_merged(
    watches: list[_Watched], calls: list[str], known: set[str]
) -> None:
    """Guards against changes that are merged with the revisions of another era."""

    async def main() -> None:
        source = _ScriptedSource(watches)
        watcher = _watcher(source)
        await _watch_for(watcher, 0.5)
        assert source.calls == calls
        assert set(watcher.replicas[""].items()) == known

    stand_in.run(main)


def test_watch_that_began_before_the_new_era_is_followed_by_a_listing() -> None:
    """Guards against changes that are skipped because another host tells of the era first.

    The watch asked for changes after a revision of the era before, so its answer lacks what the
    store has written below it.
    """

    async def main() -> None:
        source = _ScriptedSource([_changes(revision=28, era=2)])
        watcher = _watcher(source)

        def merge_from_peer() -> None:
            horizon = store_replica.StorePosition(2, 20)
            update = store_replica.ReplicaUpdate((_item("a", 3, 2),), horizon, is_listing=True)
            watcher.merge_from_peer("", update)

        source.during_watch = merge_from_peer
        await _watch_for(watcher, 0.5)
        assert source.calls == ["list", "watch 26", "list", "watch 26"]

    stand_in.run(main)


def test_history_that_is_lost_again_and_again_is_not_listed_each_time_at_once() -> None:
    """Guards against a store that is asked without a pause because listings do not help."""

    async def main() -> None:
        lost: _Watched = Error(directory_events.HistoryLost(1))
        source = _ScriptedSource(list(itertools.repeat(lost, 1_000)))
        await _watch_for(_watcher(source), 1.0)
        # Losses after 0, 50, 100, 200 and 400 ms, each with up to half of the time as jitter.
        assert source.calls.count("list") <= 8

    stand_in.run(main)


@attrs.define
class _TargetSource(_ScriptedSource):
    """Decodes each item as the entry of one target; its value is `ready`, odd or None."""

    def decode(
        self, item: store_replica.StoreItem, now_ms: int
    ) -> tuple[directory_events.DirectoryEvent, ...]:
        del now_ms
        if item.value == b"ready":
            target = targets.Target(item.key, 1, "svc", "127.0.0.1:1", "z1")
            return (directory_events.TargetPublished(target),)
        return (directory_events.TargetWithdrawn(item.key),)


@pytest.mark.parametrize(
    ("values", "is_kept"),
    [
        pytest.param([None], False, id="lapsed"),
        pytest.param([None, b"ready"], True, id="lapsed-and-registered-again"),
        pytest.param([None, None, b"ready"], True, id="deleted-twice-before"),
        pytest.param([None, b"odd", b"ready"], True, id="odd-value-before"),
    ],
)
def test_target_that_registers_again_is_not_removed_for_an_earlier_lapse(
    values: list[bytes | None], is_kept: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a removal that was scheduled and is forgotten without being cancelled."""
    monkeypatch.setattr(directory_watcher, "REMOVAL_GRACE_MS", 200)

    async def main() -> None:
        watcher = _watcher(_TargetSource([]))
        for revision, value in enumerate([b"ready", *values], start=10):
            item = store_replica.StoreItem("i-1", value, revision)
            horizon = store_replica.StorePosition(0, revision)
            watcher.merge_from_peer("", store_replica.ReplicaUpdate((item,), horizon))
            # Entries lapse while the store does not answer.
            watcher._contacts[""].disconnected = True
        await asyncio.sleep(0.4)
        assert (watcher._state.directory.find("i-1") is not None) == is_kept

    asyncio.run(main())
