"""Watches the configuration store and applies its changes to the routing table and the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import enum

import attrs
from expression import Result

from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import state as states
from sesamehold.process.gateway import store_replica

# A watch on a dead connection must be replaced before the operator's bounds apply again. This much
# of the time until then is reserved for its timeout and for a new connection.
RECONNECT_RESERVE_MS = 1_000
MIN_WATCH_MS = 500
# Delay of the next watch after a change, as a fraction of the time within which a change must be in
# effect. Changes often come together, and hundreds of hosts share the rate limit of the store.
CHANGE_DELAY_FRACTION = 1 / 3
RETRY_MIN_MS = 50
RETRY_MAX_MS = 1_000
# The store counts as disconnected after this time without an answer, which is longer than its
# slowest answers.
DISCONNECTED_AFTER_MS = 700
# Targets whose entries expired while the store was unavailable register again within two seconds
# of its return.
REMOVAL_GRACE_MS = 2_200
_MS_PER_S = 1_000


class _WatchOutcome(enum.Enum):
    """Outcome of one watch call."""

    ANSWERED = "answered"
    HISTORY_LOST = "history-lost"
    FAILED = "failed"


@attrs.define
class _StoreContact:
    """State of the connection of one watch to the store."""

    last_answer_ms: int
    disconnected: bool = False
    reconnected_ms: int | None = None


@attrs.define(eq=False)
class DirectoryWatcher:
    """Watches the store and applies its changes to the gateway state.

    Attributes:
        replicas: Replica of the store's items for each prefix.
    """

    _state: states.GatewayState
    _source: directory_events.DirectorySource
    replicas: dict[str, store_replica.StoreReplica] = attrs.field(init=False)
    _contacts: dict[str, _StoreContact] = attrs.field(init=False)
    _pending_removals: dict[str, asyncio.TimerHandle] = attrs.field(factory=dict)
    _watch_delay_ms: int = 0

    def __attrs_post_init__(self) -> None:
        prefixes = self._source.prefixes()
        now_ms = self._state.clock.now_ms()
        self.replicas = {prefix: store_replica.StoreReplica(prefix) for prefix in prefixes}
        self._contacts = {prefix: _StoreContact(now_ms) for prefix in prefixes}

    async def watch_prefix(self, prefix: str) -> None:
        """Lists and then watches the items below one prefix until cancelled."""
        backoff_ms = RETRY_MIN_MS
        listed = False
        while True:
            if not listed:
                listed = await self._list(prefix)
                ok = listed
            else:
                outcome = await self._watch(prefix)
                ok = outcome is not _WatchOutcome.FAILED
                listed = outcome is not _WatchOutcome.HISTORY_LOST
            if ok:
                backoff_ms = RETRY_MIN_MS
                await asyncio.sleep(self._watch_delay_ms / _MS_PER_S)
                continue
            self._record_failure(prefix)
            jitter = 0.5 + self._state.rng.random()
            await asyncio.sleep(backoff_ms * jitter / _MS_PER_S)
            backoff_ms = min(RETRY_MAX_MS, backoff_ms * 2)

    def merge_from_peer(self, prefix: str, update: store_replica.ReplicaUpdate) -> None:
        """Merges items received from another host."""
        replica = self.replicas.get(prefix)
        if replica is not None:
            self._apply(replica.merge_update(update, self._state.clock.now_ms()))

    def horizons(self) -> tuple[int, ...]:
        """Returns the revision up to which each prefix is known, in the order of the prefixes."""
        return tuple(replica.horizon for replica in self.replicas.values())

    def is_disconnected(self, prefix: str) -> bool:
        """Returns whether the last call for a prefix failed or its last answer is too old."""
        contact = self._contacts[prefix]
        return (
            contact.disconnected
            or self._state.clock.now_ms() - contact.last_answer_ms > DISCONNECTED_AFTER_MS
        )

    async def _list(self, prefix: str) -> bool:
        match await self._source.list_items(prefix):
            case Result(tag="ok", ok=listing):
                self._record_answer(prefix)
                now_ms = self._state.clock.now_ms()
                self._apply(self.replicas[prefix].merge_listing(listing, now_ms))
                return True
            case Result(error=unavailable):
                self._state.metrics.store_calls.labels(unavailable.reason).inc()
                return False

    async def _watch(self, prefix: str) -> _WatchOutcome:
        """Waits for changes in one watch call and applies them."""
        replica = self.replicas[prefix]
        contact_ms = self._state.config.bounds.contact_ms
        wait_ms = max(MIN_WATCH_MS, contact_ms - RECONNECT_RESERVE_MS)
        answer = await self._source.watch(prefix, replica.horizon, wait_ms)
        if answer.is_ok():
            self._record_answer(prefix)
            listing = answer.ok
            delay_ms = int(self._state.config.bounds.change_ms * CHANGE_DELAY_FRACTION)
            self._watch_delay_ms = delay_ms if listing.items else 0
            now_ms = self._state.clock.now_ms()
            self._apply(replica.merge_changes(listing.items, listing.revision, now_ms))
            return _WatchOutcome.ANSWERED
        match answer.error:
            case directory_events.HistoryLost():
                self._record_answer(prefix)
                self._state.log.write("store.history-lost", prefix=prefix, after=replica.horizon)
                return _WatchOutcome.HISTORY_LOST
            case directory_events.StoreUnavailable(reason=reason):
                self._state.metrics.store_calls.labels(reason).inc()
                return _WatchOutcome.FAILED

    def _record_answer(self, prefix: str) -> None:
        contact = self._contacts[prefix]
        now_ms = self._state.clock.now_ms()
        self._state.metrics.store_calls.labels("ok").inc()
        if contact.disconnected:
            contact.disconnected = False
            contact.reconnected_ms = now_ms
            self._state.log.write(
                "store.regained", prefix=prefix, lost_ms=now_ms - contact.last_answer_ms
            )
        contact.last_answer_ms = now_ms

    def _record_failure(self, prefix: str) -> None:
        contact = self._contacts[prefix]
        if not contact.disconnected:
            contact.disconnected = True
            self._state.log.write(
                "store.lost", prefix=prefix, horizon=self.replicas[prefix].horizon
            )

    # ---- applying changes ----------------------------------------------------------------------

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
                state.caller_limits.put(table.limits, state.clock.now_ms())
                log.write("configuration.in-force", version=table.version, revision=item.revision)
            case directory_events.TargetPublished(target=target):
                removal = self._pending_removals.pop(target.target_id, None)
                if removal is not None:
                    removal.cancel()
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
                self._on_withdrawn(target_id, item)
            case directory_events.ZoneTakenOut(zone=zone):
                state.directory.zones_out.add(zone)
                log.write("zone.out", zone=zone, revision=item.revision)
            case directory_events.ZoneBroughtBack(zone=zone):
                state.directory.zones_out.discard(zone)
                log.write("zone.back", zone=zone, revision=item.revision)
            case directory_events.InvalidItem(key=key, reason=reason):
                log.write("item.unreadable", key=key, reason=reason, revision=item.revision)

    def _on_withdrawn(self, target_id: str, item: store_replica.StoreItem) -> None:
        target = self._state.directory.find(target_id)
        if target is None:
            return
        grace_ms = 0 if target.draining or item.value is not None else self._removal_grace_ms()
        if grace_ms <= 0:
            self._remove(target_id, item.revision)
            return
        loop = asyncio.get_running_loop()
        self._pending_removals[target_id] = loop.call_later(
            grace_ms / _MS_PER_S, self._remove, target_id, item.revision
        )
        self._state.log.write("target.lapsed", target=target_id, grace_ms=grace_ms)

    def _removal_grace_ms(self) -> int:
        """Returns how long to keep a target whose entry expired.

        It is 0 unless the store is disconnected or has only just been reconnected.
        """
        now_ms = self._state.clock.now_ms()
        grace_ms = 0
        for contact in self._contacts.values():
            if contact.disconnected:
                return REMOVAL_GRACE_MS
            if contact.reconnected_ms is not None:
                grace_ms = max(grace_ms, contact.reconnected_ms + REMOVAL_GRACE_MS - now_ms)
        return grace_ms

    def _remove(self, target_id: str, revision: int) -> None:
        self._pending_removals.pop(target_id, None)
        self._state.directory.remove(target_id)
        self._state.ranking.forget(target_id)
        self._state.cold_rate_limit.forget(target_id)
        self._state.log.write("target.withdrawn", target=target_id, revision=revision)
