"""The state that all instances share, as this instance knows it, and how changes are applied."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from .adapters.addresses import parse_address
from .adapters.eventlog import Event, EventLog
from .clock import Clock
from .policy.catalog import Catalog
from .policy.members import Member, Members
from .policy.registry import Registry, Upstream
from .policy.selection import Selector
from .statestore import StoreItem, StoreView

MEMBER_PREFIX = "citronpaddle/instances/"
SPENDING_PREFIX = "citronpaddle/spending/"
# Characters of an error that are logged; it may quote the document.
MAX_REASON_LENGTH = 200
MAX_CORES = 10_000.0
# After a restore of the store, the operator's keys that its copy lacks stay in force for this long,
# in which the operator writes them again.
RESTORE_GRACE_MS = 10_000.0


class ItemHandler(ABC):
    """Applies the store's items of one part of the product."""

    @abstractmethod
    def apply(self, item: StoreItem) -> bool:
        """Apply a change; return False if its key belongs to another part."""


class StateDecoder(ABC):
    """Decodes the platform's documents; an invalid document gives the reason instead."""

    @abstractmethod
    def is_catalog(self, key: str) -> bool:
        """Return whether the key holds the configuration."""

    @abstractmethod
    def find_domain_taken_out(self, key: str) -> str | None:
        """Return the failure domain that the existence of the key takes out of service, or None."""

    @abstractmethod
    def find_upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream whose entry the key holds, or None."""

    @abstractmethod
    def decode_catalog(self, value: bytes) -> Catalog | str:
        """Return the configuration, or why it is invalid."""

    @abstractmethod
    def decode_upstream(self, upstream_id: str, value: bytes, now_ms: float) -> Upstream | str:
        """Return the upstream, or why the entry does not name a usable one."""


@dataclass(slots=True)
class SharedState:
    """The shared state as known to this instance; `catalog` is None until the first configuration.

    `confirmed_ms` is when the state was last confirmed to be current, `store_read_ms` when the
    store last answered this instance's own watch or read; both are monotonic times. `answer_gap_ms`
    is the time between the last two of these answers. `revision` is a revision of the store's
    `era`; it is 0 until the store has been read in that era.
    """

    registry: Registry
    members: Members
    catalog: Catalog | None = None
    revision: int = 0
    confirmed_ms: float = 0.0
    store_read_ms: float = 0.0
    answer_gap_ms: float = 0.0
    is_store_lost: bool = False
    era: int = 0

    def record_store_answer(self, now_ms: float) -> None:
        """Record that the store has answered this instance's own watch or read."""
        self.answer_gap_ms = now_ms - self.store_read_ms if self.store_read_ms else 0.0
        self.store_read_ms = now_ms


class StateUpdater:
    """Applies the store's items to the shared state."""

    def __init__(
        self,
        clock: Clock,
        decoder: StateDecoder,
        state: SharedState,
        selector: Selector,
        log: EventLog,
        on_change: Callable[[], None],
        on_own_entry_removed: Callable[[], None],
        handler: ItemHandler | None = None,
        records: ItemHandler | None = None,
    ) -> None:
        """Call `on_change` after changes, the other when this instance's entry was removed.

        Items that neither `handler`, that of the roll-outs, nor `records` applies are applied to
        the state.
        """
        self._handler = handler
        self._records = records
        self._clock = clock
        self._decoder = decoder
        self._state = state
        self._selector = selector
        self._log = log
        self._on_change = on_change
        self._on_own_entry_removed = on_own_entry_removed
        # During a full read, the revisions at which keys were removed by relayed changes.
        self._removed_while_reading: dict[str, int] | None = None
        self._revisions: dict[str, int] = {}
        self._out_domains: dict[str, str] = {}
        # Whether the next full read is the first after a restore: its view may have entries that
        # were removed since the copy was made.
        self._is_restored = False
        self._restore_grace_until_ms = 0.0
        self._missing_since_restore: set[str] = set()

    def begin_era(self) -> None:
        """Prepare for a full read after the store was restored from a copy some seconds old.

        The known state stays in force. Entries that the copy lacks are kept for a grace period, in
        which their writers write them again.
        """
        now_ms = self._clock.now_ms()
        self._is_restored = True
        self._restore_grace_until_ms = now_ms + RESTORE_GRACE_MS
        self._revisions = dict.fromkeys(self._revisions, 0)
        if self._removed_while_reading is not None:
            self._removed_while_reading = {}
        self._state.revision = 0
        self._state.registry.handle_store_return(now_ms)
        self._state.members.handle_store_return(now_ms)

    def begin_full_read(self) -> None:
        """Prepare for a view of the store that may be older than changes applied meanwhile."""
        self._removed_while_reading = {}

    def apply_changes(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Apply the changes that are newer than the known revision, up to `revision`."""
        known = self._state.revision
        new_items = [item for item in items if item.revision > known]
        for item in new_items:
            self._apply_item(item)
        self._state.revision = max(known, revision)
        if new_items:
            self._on_change()

    def apply_view(self, view: StoreView) -> None:
        """Apply a full view of the store; keys that are not in it have been deleted.

        Changes relayed while the view was read may be newer than it and stay in effect.
        """
        removed, self._removed_while_reading = self._removed_while_reading or {}, None
        present = {item.key for item in view.items}
        for key in list(self._revisions):
            if key in present:
                continue
            if self._is_restored and self._decoder.find_domain_taken_out(key) is not None:
                self._missing_since_restore.add(key)
            else:
                self._apply_item(StoreItem(key, None, view.revision))
        # Those that changed while the pages were read come last; see `_may_precede_order`.
        for item in sorted(view.items, key=lambda item: item.revision > view.revision):
            if item.revision <= view.revision or not self._may_precede_order(item):
                if item.revision > removed.get(item.key, 0):
                    self._apply_item(item)
        self._is_restored = False
        self._state.revision = max(self._state.revision, view.revision)
        self._on_change()

    def _may_precede_order(self, item: StoreItem) -> bool:
        """Return whether an item lists an upstream of a version that is new for its service.

        A view may lack the order of the roll-out to which a newer upstream belongs. Such an item is
        left to the watch, which delivers both in order.
        """
        upstream_id = self._decoder.find_upstream_id(item.key)
        if self._handler is None or upstream_id is None or item.value is None:
            return False
        decoded = self._decoder.decode_upstream(upstream_id, item.value, self._clock.now_ms())
        if isinstance(decoded, str):
            return False
        versions = self._state.registry.list_versions(decoded.service)
        return bool(versions) and decoded.version not in versions

    def _apply_item(self, item: StoreItem) -> None:
        """Apply one change, unless a newer one of its key has been applied.

        An unexpected error is logged and affects this change alone: without that it would stop all
        changes that follow it, again after each restart of the task that reads them.
        """
        if item.revision < self._revisions.get(item.key, 0):
            return
        try:
            self._apply_newer_item(item)
        except Exception as error:
            self._log.write(
                Event.CHANGE_REFUSED,
                "fleet",
                key=item.key,
                revision=item.revision,
                reason=repr(error)[:MAX_REASON_LENGTH],
            )

    def _apply_newer_item(self, item: StoreItem) -> None:
        if item.value is None:
            self._revisions.pop(item.key, None)
            if self._removed_while_reading is not None:
                self._removed_while_reading[item.key] = item.revision
        else:
            self._revisions[item.key] = item.revision
        for handler in (self._handler, self._records):
            if handler is not None and handler.apply(item):
                return
        upstream_id = self._decoder.find_upstream_id(item.key)
        out_domain = self._decoder.find_domain_taken_out(item.key)
        if upstream_id is not None:
            self._apply_upstream(upstream_id, item.value)
        elif out_domain is not None:
            self._apply_out_domain(item.key, out_domain, item.value is not None)
        elif self._decoder.is_catalog(item.key):
            self._apply_catalog(item.value, item.revision)
        elif item.key.startswith(MEMBER_PREFIX):
            self._apply_member(item.key[len(MEMBER_PREFIX) :], item.value)

    def _apply_upstream(self, upstream_id: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        registry = self._state.registry
        if value is None:
            if registry.remove(upstream_id, now_ms):
                self._handle_upstream_gone(upstream_id, "entry removed")
            return
        decoded = self._decoder.decode_upstream(upstream_id, value, now_ms)
        if isinstance(decoded, str):
            registry.remove_invalid(upstream_id)
            self._log.write(Event.UPSTREAM_REFUSED, "fleet", upstream=upstream_id, reason=decoded)
            return
        if self._is_restored and registry.is_known_removed(decoded):
            return
        known = registry.get(upstream_id)
        if known is not None and known.started_at_ms != decoded.started_at_ms:
            self._selector.remove_upstream(upstream_id)
        if registry.put(decoded) and not _is_unchanged(known, decoded):
            self._log.write(
                Event.UPSTREAM_LISTED,
                "fleet",
                upstream=upstream_id,
                service=decoded.service,
                domain=decoded.domain,
                leaving=decoded.is_leaving,
                cold_ms=round(decoded.cold_until_ms - now_ms),
            )

    def _handle_upstream_gone(self, upstream_id: str, reason: str) -> None:
        self._selector.remove_upstream(upstream_id)
        self._log.write(Event.UPSTREAM_GONE, "fleet", upstream=upstream_id, reason=reason)

    def _apply_out_domain(self, key: str, domain: str, is_out: bool) -> None:
        if is_out:
            self._out_domains[key] = domain
        else:
            self._out_domains.pop(key, None)
        registry = self._state.registry
        for returned in registry.set_out_domains(frozenset(self._out_domains.values())):
            # Without recent load, its upstreams may be cold, which their entries may not show.
            registry.mark_domain_cold(returned, self._clock.now_ms() + self._compute_max_cold_ms())
        self._log.write(Event.DOMAINS_OUT, "fleet", domains=sorted(registry.out_domains))

    def _compute_max_cold_ms(self) -> float:
        catalog = self._state.catalog
        services = catalog.services.values() if catalog else ()
        return max((service.cold_ms for service in services), default=0.0)

    def _apply_catalog(self, value: bytes | None, revision: int) -> None:
        if value is None:
            return
        decoded = self._decoder.decode_catalog(value)
        current = self._state.catalog
        if isinstance(decoded, str):
            self._log.write(
                Event.CONFIGURATION_REFUSED, "fleet", reason=decoded, store_revision=revision
            )
        elif current is None or decoded.version > current.version:
            self._state.catalog = decoded
            self._log.write(
                Event.CONFIGURATION_TAKEN,
                "fleet",
                version=decoded.version,
                previous=current.version if current else None,
                store_revision=revision,
                answer_gap_ms=round(self._state.answer_gap_ms),
                routes=len(decoded.routes),
            )

    def _apply_member(self, name: str, value: bytes | None) -> None:
        now_ms = self._clock.now_ms()
        members = self._state.members
        if value is None:
            members.remove(name, now_ms)
            if name == members.own.name:
                self._on_own_entry_removed()
        elif self._is_restored and name not in members.list_names():
            # It has ended since the copy was made, or writes its entry again.
            return
        else:
            members.put(_decode_member(name, value), now_ms)
        self._log.write(
            Event.INSTANCES_CHANGED, "fleet", name=name, listed=len(members.list_names())
        )

    def expire_entries(self, are_changes_unknown: bool) -> None:
        """Remove entries that have not returned to the store within their grace period.

        While changes of the store are unknown, entries that may have returned are kept.
        """
        now_ms = self._clock.now_ms()
        for upstream_id in self._state.registry.expire(now_ms, are_changes_unknown):
            self._handle_upstream_gone(upstream_id, "missing after the store's return")
        self._state.members.expire(now_ms, are_changes_unknown)
        if self._missing_since_restore and now_ms >= self._restore_grace_until_ms:
            self._expire_operator_keys()

    def _expire_operator_keys(self) -> None:
        """Remove the operator's keys that were not written again after a restore."""
        keys, self._missing_since_restore = self._missing_since_restore, set()
        for key in keys:
            if self._revisions.get(key) == 0:
                self._apply_item(StoreItem(key, None, self._state.revision))


def _decode_member(name: str, value: bytes) -> Member:
    """Return an instance; raise ValueError, KeyError, TypeError or RecursionError if invalid."""
    entry = json.loads(value)
    hints = str(entry.get("hints", ""))
    if hints:
        parse_address(hints)
    cores = float(entry.get("cores", 1.0))
    if not 0.0 < cores < MAX_CORES:
        raise ValueError("the cores are out of range")
    return Member(name, str(entry["address"]), str(entry["domain"]), hints, cores)


def _is_unchanged(known: Upstream | None, decoded: Upstream) -> bool:
    """Return whether an entry changes nothing but how long its upstream stays cold."""
    return known is not None and known == decoded._replace(
        cold_until_ms=known.cold_until_ms, sequence=known.sequence
    )
