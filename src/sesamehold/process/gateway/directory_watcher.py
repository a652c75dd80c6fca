"""Watches the configuration store and applies its changes to the routing table and the targets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
import enum

import attrs
from expression import Result

from sesamehold.process.gateway import directory_events
from sesamehold.process.gateway import item_order
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
# A watch without changes may end this much before the end of its wait.
EARLY_END_MS = 50
# Targets whose entries expired while the store was unavailable register again.
REMOVAL_GRACE_MS = store_replica.REWRITE_TIME_MS
MAX_REASON_LENGTH = 200
_MS_PER_S = 1_000


class _Outcome(enum.Enum):
    """Outcome of one listing or watch call."""

    LISTED = "listed"
    WATCHED = "watched"
    LISTING_NEEDED = "listing-needed"
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
        order = item_order.DirectoryItemOrder(self._source)
        self.replicas = {prefix: store_replica.StoreReplica(prefix, order) for prefix in prefixes}
        self._contacts = {prefix: _StoreContact(now_ms) for prefix in prefixes}

    async def watch_prefix(self, prefix: str) -> None:
        """Lists and then watches the items below one prefix until cancelled."""
        failure_ms, loss_ms = RETRY_MIN_MS, 0
        listed = False
        while True:
            outcome = await (self._watch(prefix) if listed else self._list(prefix))
            delay_ms: float = 0
            match outcome:
                case _Outcome.LISTED:
                    listed = True
                    failure_ms = RETRY_MIN_MS
                case _Outcome.WATCHED:
                    delay_ms = self._watch_delay_ms
                    failure_ms, loss_ms = RETRY_MIN_MS, 0
                case _Outcome.LISTING_NEEDED:
                    # The first listing is due at once. If the watch after it fails as well, a
                    # listing does not help, and the next ones wait.
                    listed = False
                    delay_ms = loss_ms
                    loss_ms = min(RETRY_MAX_MS, max(RETRY_MIN_MS, loss_ms * 2))
                case _Outcome.FAILED:
                    self._record_failure(prefix)
                    delay_ms = failure_ms
                    failure_ms = min(RETRY_MAX_MS, failure_ms * 2)
            if outcome is not _Outcome.WATCHED:
                # Only the answer to a watch can be told from an earlier one.
                self._source.close_idle()
                delay_ms *= 0.5 + self._state.rng.random()
            await asyncio.sleep(delay_ms / _MS_PER_S)

    def merge_from_peer(self, prefix: str, update: store_replica.ReplicaUpdate) -> None:
        """Merges items received from another host."""
        replica = self.replicas.get(prefix)
        if replica is None:
            return
        known = replica.horizon
        changed = replica.merge_update(update, self._state.clock.now_ms())
        self._log_new_era(prefix, known)
        self._apply(changed)

    def horizons(self) -> tuple[int, ...]:
        """Returns the position up to which each prefix is known, in the order of the prefixes."""
        return tuple(replica.horizon.number for replica in self.replicas.values())

    def is_disconnected(self, prefix: str) -> bool:
        """Returns whether the last call for a prefix failed or its last answer is too old."""
        contact = self._contacts[prefix]
        return (
            contact.disconnected
            or self._state.clock.now_ms() - contact.last_answer_ms > DISCONNECTED_AFTER_MS
        )

    async def _list(self, prefix: str) -> _Outcome:
        replica = self.replicas[prefix]
        sent_ms = self._state.clock.now_ms()
        match await self._source.list_items(prefix):
            case Result(tag="ok", ok=listing):
                if listing.era < replica.horizon.era:
                    return self._reject_earlier_era(prefix, listing.era)
                self._record_answer(prefix)
                known = replica.horizon
                self._report_invalid_entries(listing)
                now_ms = self._state.clock.now_ms()
                changed = replica.merge_listing(listing, now_ms)
                self._state.log.write(
                    "store.listed",
                    prefix=prefix,
                    era=listing.era,
                    revision=listing.revision,
                    items=len(listing.items),
                )
                self._log_new_era(prefix, known)
                self._apply(changed)
                self._settle(prefix, sent_ms)
                return _Outcome.LISTED
            case Result(error=unavailable):
                self._state.metrics.store_calls.labels(unavailable.reason).inc()
                return _Outcome.FAILED

    async def _watch(self, prefix: str) -> _Outcome:
        """Waits for changes in one watch call and applies them."""
        replica = self.replicas[prefix]
        sent_ms = self._state.clock.now_ms()
        wait_ms = self._watch_wait_ms(prefix, sent_ms)
        asked_era = replica.horizon.era
        asked_revision = replica.horizon.revision
        answer = await self._source.watch(prefix, asked_revision, wait_ms)
        if answer.is_ok():
            listing = answer.ok
            # Meanwhile another host may have told of a new era.
            if not listing.era == asked_era == replica.horizon.era:
                return self._on_listing_needed(prefix, listing.era)
            if _is_of_earlier_watch(listing, asked_revision):
                return self._reject_late_answer(prefix, asked_revision, listing.revision)
            waited_ms = self._state.clock.now_ms() - sent_ms
            if not listing.items and waited_ms < wait_ms - EARLY_END_MS:
                # Perhaps a copy of the last answer, behind which the one to this watch follows.
                self._source.close_idle()
            self._record_answer(prefix)
            delay_ms = int(self._state.config.bounds.change_ms * CHANGE_DELAY_FRACTION)
            has_changes = listing.items or listing.invalid_entries
            self._watch_delay_ms = delay_ms if has_changes else 0
            self._report_invalid_entries(listing)
            now_ms = self._state.clock.now_ms()
            changed = replica.merge_changes(
                listing.items, listing.revision, now_ms, era=listing.era
            )
            self._apply(changed)
            self._settle(prefix, sent_ms)
            return _Outcome.WATCHED
        match answer.error:
            case directory_events.HistoryLost(era=era):
                return self._on_listing_needed(prefix, era)
            case directory_events.StoreUnavailable(reason=reason):
                self._state.metrics.store_calls.labels(reason).inc()
                return _Outcome.FAILED

    def _watch_wait_ms(self, prefix: str, now_ms: int) -> int:
        """Returns how long a watch may wait, at least 1.

        After a failure the store may have returned from an older copy, in which a watch after the
        known revision waits like any other; so the first answer has to come at once. Pending items
        are settled by a call that is sent when they are due.
        """
        if self._contacts[prefix].disconnected:
            return 1
        contact_ms = self._state.config.bounds.contact_ms
        wait_ms = max(MIN_WATCH_MS, contact_ms - RECONNECT_RESERVE_MS)
        due_ms = self.replicas[prefix].next_settle_ms()
        return wait_ms if due_ms is None else max(1, min(wait_ms, due_ms - now_ms))

    def _on_listing_needed(self, prefix: str, era: int) -> _Outcome:
        """Handles the answer to a watch whose numbering is not the one that was asked for."""
        known = self.replicas[prefix].horizon
        if era < known.era:
            return self._reject_earlier_era(prefix, era)
        self._record_answer(prefix)
        self._state.log.write(
            "store.history-lost",
            prefix=prefix,
            after=known.revision,
            era=era,
            known_era=known.era,
        )
        return _Outcome.LISTING_NEEDED

    def _reject_earlier_era(self, prefix: str, era: int) -> _Outcome:
        known_era = self.replicas[prefix].horizon.era
        self._state.metrics.store_calls.labels("earlier era").inc()
        self._state.log.write("store.earlier-era", prefix=prefix, era=era, known_era=known_era)
        return _Outcome.FAILED

    def _reject_late_answer(self, prefix: str, after: int, revision: int) -> _Outcome:
        self._state.metrics.store_calls.labels("late answer").inc()
        self._state.log.write("store.late-answer", prefix=prefix, after=after, revision=revision)
        return _Outcome.FAILED

    def _log_new_era(self, prefix: str, known: store_replica.StorePosition) -> None:
        """Writes a line if an era has begun, and one for each item of it that is not applied.

        Args:
            prefix: Prefix of the items.
            known: Horizon before the items were merged.
        """
        replica = self.replicas[prefix]
        if replica.horizon.era == known.era:
            return
        log = self._state.log
        self._state.metrics.store_era.set(replica.horizon.era)
        log.write(
            "store.era-begun",
            prefix=prefix,
            era=replica.horizon.era,
            revision=replica.horizon.revision,
            known_era=known.era,
            known_revision=known.revision,
            kept=len(replica.pending()),
        )
        for key, pending in replica.pending().items():
            kept = replica.items()[key]
            log.write(
                "item.kept",
                key=key,
                missing=pending.item.value is None,
                revision=pending.item.revision,
                kept_era=kept.era,
                kept_revision=kept.revision,
                until_written=pending.until_ms is None,
            )

    def _settle(self, prefix: str, sent_ms: int) -> None:
        """Applies pending items that were due when a call was sent."""
        now_ms = self._state.clock.now_ms()
        due = self.replicas[prefix].settle(sent_ms, now_ms)
        for item in due:
            self._state.log.write(
                "item.settled", key=item.key, missing=item.value is None, revision=item.revision
            )
        self._apply(due)

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
                "store.lost", prefix=prefix, horizon=self.replicas[prefix].horizon.revision
            )

    # ---- applying changes ----------------------------------------------------------------------

    def _apply(self, items: Iterable[store_replica.StoreItem]) -> None:
        now_ms = self._state.clock.now_ms()
        for item in items:
            try:
                for event in self._source.decode(item, now_ms):
                    self._on_event(event, item)
            except Exception as error:  # noqa: BLE001
                # The replica already holds the later items, so they would never be applied.
                reason = repr(error)[:MAX_REASON_LENGTH]
                self._report_unreadable("unexpected", reason, item.key, item.revision)

    def _report_invalid_entries(self, listing: store_replica.StoreListing) -> None:
        for reason in listing.invalid_entries:
            self._report_unreadable("entry", reason, None, listing.revision)

    def _report_unreadable(self, kind: str, reason: str, key: str | None, revision: int) -> None:
        self._state.metrics.invalid_items.labels(kind).inc()
        self._state.log.write(
            "item.unreadable", kind=kind, key=key, reason=reason, revision=revision
        )

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
                log.write(
                    "configuration.in-force",
                    version=table.version,
                    revision=item.revision,
                    era=item.era,
                )
            case directory_events.TargetPublished(target=target):
                self._cancel_removal(target.target_id)
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
                self._report_unreadable("item", reason, key, item.revision)

    def _on_withdrawn(self, target_id: str, item: store_replica.StoreItem) -> None:
        target = self._state.directory.find(target_id)
        if target is None:
            return
        grace_ms = 0 if target.draining or item.value is not None else self._removal_grace_ms()
        if grace_ms <= 0:
            self._remove(target_id, item.revision)
            return
        if target_id in self._pending_removals:
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

    def _cancel_removal(self, target_id: str) -> None:
        removal = self._pending_removals.pop(target_id, None)
        if removal is not None:
            removal.cancel()

    def _remove(self, target_id: str, revision: int) -> None:
        self._cancel_removal(target_id)
        self._state.directory.remove(target_id)
        self._state.ranking.forget(target_id)
        self._state.target_load.forget(target_id)
        self._state.cold_rate_limit.forget(target_id)
        self._state.log.write("target.withdrawn", target=target_id, revision=revision)


def _is_of_earlier_watch(listing: store_replica.StoreListing, asked_revision: int) -> bool:
    """Returns whether an answer has changes of a store that had none after the revision asked for.

    Revisions of single entries are not compared: an odd entry may state any.
    """
    return bool(listing.items) and listing.revision <= asked_revision
