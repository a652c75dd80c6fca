"""Keeps the routing table and the targets of one process current with the configuration store."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import enum

import attrs
from expression import Result

from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import store_replica

# A watch whose connection has gone silent must have been replaced when the operator's bounds hold
# again; this much of the time until then is left for its time-out and for a new connection.
WATCH_RESERVE_MS = 1_000
WATCH_MIN_MS = 500
# Changes often come together, and every call of the store is priced: the next watch begins this
# much later after a change. The operator's bounds for changes are 2 s and more.
GATHER_MS = 400
RETRY_MIN_MS = 50
RETRY_MAX_MS = 1_000
# Without an answer for this long the store counts as lost; longer than its slowest answers.
LOST_AFTER_MS = 700
# Targets whose entries lapsed while the store was away register again within two seconds of its
# return.
LAPSE_GRACE_MS = 2_200
_MS_PER_S = 1_000


class _Watched(enum.Enum):
    """How one watch ended."""

    ANSWERED = "answered"
    HISTORY_LOST = "history-lost"
    FAILED = "failed"


@attrs.define
class _Contact:
    """Contact of one watch with the store."""

    answered_ms: int
    lost: bool = False
    regained_ms: int | None = None


@attrs.define(eq=False)
class DirectoryFollower:
    """Follows the store and applies what it says.

    Attributes:
        replicas: Copies of the store's items by prefix.
    """

    _state: states.GatewayState
    _source: directory_events.DirectorySource
    replicas: dict[str, store_replica.StoreReplica] = attrs.field(init=False)
    _contacts: dict[str, _Contact] = attrs.field(init=False)
    _lapsing: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    _gather_ms: int = 0

    def __attrs_post_init__(self) -> None:
        prefixes = self._source.prefixes()
        now_ms = self._state.clock.now_ms()
        self.replicas = {prefix: store_replica.StoreReplica(prefix) for prefix in prefixes}
        self._contacts = {prefix: _Contact(now_ms) for prefix in prefixes}

    async def follow(self, prefix: str) -> None:
        """Follows the items below one prefix until cancelled."""
        backoff_ms = RETRY_MIN_MS
        listed = False
        while True:
            if not listed:
                listed = await self._list(prefix)
                ok = listed
            else:
                watched = await self._watch(prefix)
                ok = watched is not _Watched.FAILED
                listed = watched is not _Watched.HISTORY_LOST
            if ok:
                backoff_ms = RETRY_MIN_MS
                await asyncio.sleep(self._gather_ms / _MS_PER_S)
                continue
            self._note_failure(prefix)
            spread = 0.5 + self._state.rng.random()
            await asyncio.sleep(backoff_ms * spread / _MS_PER_S)
            backoff_ms = min(RETRY_MAX_MS, backoff_ms * 2)

    def merge_from_peer(
        self, prefix: str, items: Iterable[store_replica.StoreItem], horizon: int
    ) -> None:
        """Takes over items that another host knows."""
        replica = self.replicas.get(prefix)
        if replica is not None:
            self._apply(replica.merge_changes(items, horizon, self._state.clock.now_ms()))

    def horizons(self) -> tuple[int, ...]:
        """Returns how much of the store is known here, in the order of the prefixes."""
        return tuple(replica.horizon for replica in self.replicas.values())

    def lost_contact(self, prefix: str) -> bool:
        """Returns whether the store has not answered for a while."""
        contact = self._contacts[prefix]
        return contact.lost or self._state.clock.now_ms() - contact.answered_ms > LOST_AFTER_MS

    async def _list(self, prefix: str) -> bool:
        match await self._source.list_items(prefix):
            case Result(tag="ok", ok=listing):
                self._note_answer(prefix)
                now_ms = self._state.clock.now_ms()
                self._apply(self.replicas[prefix].merge_listing(listing, now_ms))
                return True
            case Result(error=unavailable):
                self._state.measures.store_calls.labels(unavailable.reason).inc()
                return False

    async def _watch(self, prefix: str) -> _Watched:
        """Waits for changes once."""
        replica = self.replicas[prefix]
        contact_ms = self._state.config.bounds.contact_ms
        wait_ms = max(WATCH_MIN_MS, contact_ms - WATCH_RESERVE_MS)
        answer = await self._source.watch(prefix, replica.horizon, wait_ms)
        if answer.is_ok():
            self._note_answer(prefix)
            listing = answer.ok
            self._gather_ms = GATHER_MS if listing.items else 0
            now_ms = self._state.clock.now_ms()
            self._apply(replica.merge_changes(listing.items, listing.revision, now_ms))
            return _Watched.ANSWERED
        match answer.error:
            case directory_events.HistoryLost():
                self._note_answer(prefix)
                self._state.log.write("store.history-lost", prefix=prefix, after=replica.horizon)
                return _Watched.HISTORY_LOST
            case directory_events.StoreUnavailable(reason=reason):
                self._state.measures.store_calls.labels(reason).inc()
                return _Watched.FAILED

    def _note_answer(self, prefix: str) -> None:
        contact = self._contacts[prefix]
        now_ms = self._state.clock.now_ms()
        self._state.measures.store_calls.labels("ok").inc()
        if contact.lost:
            contact.lost = False
            contact.regained_ms = now_ms
            self._state.log.write(
                "store.regained", prefix=prefix, lost_ms=now_ms - contact.answered_ms
            )
        contact.answered_ms = now_ms

    def _note_failure(self, prefix: str) -> None:
        contact = self._contacts[prefix]
        if not contact.lost:
            contact.lost = True
            self._state.log.write(
                "store.lost", prefix=prefix, horizon=self.replicas[prefix].horizon
            )

    # ---- effects -------------------------------------------------------------------------------

    def _apply(self, items: Iterable[store_replica.StoreItem]) -> None:
        now_ms = self._state.clock.now_ms()
        for item in items:
            for event in self._source.decode(item, now_ms):
                self._on_event(event, item)

    def _on_event(
        self, event: directory_events.DirectoryEvent, item: store_replica.StoreItem
    ) -> None:
        state = self._state
        log = state.log
        match event:
            case directory_events.ConfigurationPublished(table=table):
                known = state.table
                if known is not None and table.version < known.version:
                    log.write("configuration.older", version=table.version, kept=known.version)
                    return
                state.table = table
                log.write("configuration.in-force", version=table.version, revision=item.revision)
            case directory_events.TargetPublished(target=target):
                lapse = self._lapsing.pop(target.target_id, None)
                if lapse is not None:
                    lapse.cancel()
                if state.directory.put(target):
                    log.write(
                        "target.published",
                        target=target.target_id,
                        service=target.service,
                        zone=target.zone,
                        draining=target.draining,
                        revision=item.revision,
                    )
            case directory_events.TargetWithdrawn(target_id=target_id):
                self._withdraw(target_id, item)
            case directory_events.ZoneTakenOut(zone=zone):
                state.directory.zones_out.add(zone)
                log.write("zone.out", zone=zone, revision=item.revision)
            case directory_events.ZoneBroughtBack(zone=zone):
                state.directory.zones_out.discard(zone)
                log.write("zone.back", zone=zone, revision=item.revision)
            case directory_events.Unreadable(key=key, reason=reason):
                log.write("item.unreadable", key=key, reason=reason, revision=item.revision)

    def _withdraw(self, target_id: str, item: store_replica.StoreItem) -> None:
        target = self._state.directory.find(target_id)
        if target is None:
            return
        grace_ms = 0 if target.draining or item.value is not None else self._lapse_grace_ms()
        if grace_ms <= 0:
            self._remove(target_id, item.revision)
            return
        loop = asyncio.get_running_loop()
        self._lapsing[target_id] = loop.call_later(
            grace_ms / _MS_PER_S, self._remove, target_id, item.revision
        )
        self._state.log.write("target.lapsed", target=target_id, grace_ms=grace_ms)

    def _lapse_grace_ms(self) -> int:
        """Returns for how much longer a lost entry may come back; 0 in quiet times."""
        now_ms = self._state.clock.now_ms()
        grace_ms = 0
        for contact in self._contacts.values():
            if contact.lost:
                return LAPSE_GRACE_MS
            if contact.regained_ms is not None:
                grace_ms = max(grace_ms, contact.regained_ms + LAPSE_GRACE_MS - now_ms)
        return grace_ms

    def _remove(self, target_id: str, revision: int) -> None:
        self._lapsing.pop(target_id, None)
        self._state.directory.remove(target_id)
        self._state.choice.forget(target_id)
        self._state.cold.forget(target_id)
        self._state.log.write("target.withdrawn", target=target_id, revision=revision)
