"""Registry of the upstreams listed by the platform; selects those that may get new requests.

Times are in ms on one monotonic clock.
"""

from enum import Enum
from typing import NamedTuple

from .outages import LapsedEntries

# How long the identity of an upstream's last entry is kept after its removal. A copy from which the
# store is restored is some seconds old.
REMOVED_RETENTION_MS = 60_000.0
# How long an upstream is excluded whose address belongs to another one, unless the start
# time or address in its entry changes: an outdated entry disappears within a few heartbeats.
MISDIRECTED_EXCLUSION_MS = 10_000.0


class Upstream(NamedTuple):
    """One listed upstream; `started_at_ms` is Unix time in ms, `cold_until_ms` a monotonic time.

    `version` is the version of its software.
    """

    id: str
    service: str
    host: str
    port: int
    domain: str
    slots: int
    is_leaving: bool
    cold_until_ms: float
    started_at_ms: int
    sequence: int
    version: str = ""

    @property
    def address(self) -> tuple[str, int]:
        """Return host and port."""
        return self.host, self.port


class Unavailability(Enum):
    """Why a listed upstream may not receive new requests."""

    DRAINING = "draining"
    DOMAIN_OUT = "domain_out"
    MISDIRECTED = "misdirected"


class _RemovedEntry(NamedTuple):
    """Identity of the last entry of a removed upstream, and when it was removed.

    `started_at_ms` is Unix time, `removed_ms` a monotonic time.
    """

    started_at_ms: int
    sequence: int
    removed_ms: float


class Registry:
    """Upstreams by service; those leaving, misdirected or in a taken-out domain are unavailable."""

    def __init__(self) -> None:
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, tuple[Upstream, ...]] = {}
        self._out_domains: frozenset[str] = frozenset()
        self._lapsed = LapsedEntries()
        self._excluded_until_ms: dict[str, float] = {}
        self._removed: dict[str, _RemovedEntry] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    @property
    def out_domains(self) -> frozenset[str]:
        """Return the failure domains that operators have taken out of use."""
        return self._out_domains

    def list_available(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of `service` that may receive new requests."""
        available = self._by_service.get(service)
        if available is None:
            available = tuple(
                upstream
                for upstream in self._upstreams.values()
                if upstream.service == service and self.find_unavailability(upstream) is None
            )
            self._by_service[service] = available
        return available

    def list_listed(self, service: str) -> tuple[Upstream, ...]:
        """Return all listed upstreams of `service`, available or not."""
        return tuple(one for one in self._upstreams.values() if one.service == service)

    def find_unavailability(self, upstream: Upstream) -> Unavailability | None:
        """Return why an upstream may not receive new requests, or None if it may."""
        if upstream.is_leaving:
            return Unavailability.DRAINING
        if upstream.domain in self._out_domains:
            return Unavailability.DOMAIN_OUT
        if upstream.id in self._excluded_until_ms:
            return Unavailability.MISDIRECTED
        return None

    def get(self, upstream_id: str) -> Upstream | None:
        """Return a listed upstream, or None."""
        return self._upstreams.get(upstream_id)

    def list_ids(self) -> list[str]:
        """Return the ids of all listed upstreams."""
        return list(self._upstreams)

    def list_versions(self, service: str) -> set[str]:
        """Return the versions of the listed upstreams of `service`."""
        return {one.version for one in self._upstreams.values() if one.service == service}

    def put(self, upstream: Upstream) -> bool:
        """Add or update an entry; return False if it is older than the current one.

        An upstream that restarts under the same id also restarts its sequence, so entries are
        ordered by start time first.
        """
        current = self._upstreams.get(upstream.id)
        if current is not None:
            if (current.address, current.started_at_ms) != (
                upstream.address,
                upstream.started_at_ms,
            ):
                self._excluded_until_ms.pop(upstream.id, None)
            if (upstream.started_at_ms, upstream.sequence) < (
                current.started_at_ms,
                current.sequence,
            ):
                return False
            self._by_service.pop(current.service, None)
        self._upstreams[upstream.id] = upstream
        self._lapsed.discard(upstream.id)
        self._by_service.pop(upstream.service, None)
        return True

    def handle_store_return(self, now_ms: float, outage_ms: float = 0.0) -> None:
        """Start the grace period in which entries that lapsed during a store outage are kept."""
        self._lapsed.handle_store_return(now_ms, outage_ms)

    def remove(self, upstream_id: str, now_ms: float) -> bool:
        """Remove a deleted entry; return False if it is unknown or kept for the grace period."""
        if upstream_id not in self._upstreams:
            return False
        if self._lapsed.keep(upstream_id, now_ms):
            return False
        self._record_removal(upstream_id, now_ms)
        self._delete(upstream_id)
        return True

    def _record_removal(self, upstream_id: str, now_ms: float) -> None:
        removed = self._upstreams[upstream_id]
        self._removed[upstream_id] = _RemovedEntry(removed.started_at_ms, removed.sequence, now_ms)

    def is_known_removed(self, upstream: Upstream) -> bool:
        """Return whether this entry or a newer one was removed in the last `REMOVED_RETENTION_MS`.

        Such an entry reappears if the store is restored from a copy older than the removal.
        """
        removed = self._removed.get(upstream.id)
        return removed is not None and (upstream.started_at_ms, upstream.sequence) <= removed[:2]

    def remove_invalid(self, upstream_id: str) -> None:
        """Remove an upstream whose entry is invalid."""
        if upstream_id in self._upstreams:
            self._delete(upstream_id)

    def record_misdirected(self, upstream: Upstream, now_ms: float) -> None:
        """Exclude an upstream whose address has replied that it belongs to another one."""
        current = self._upstreams.get(upstream.id)
        if current is not None and current.address == upstream.address:
            self._excluded_until_ms[upstream.id] = now_ms + MISDIRECTED_EXCLUSION_MS
            self._by_service.pop(current.service, None)

    def expire(self, now_ms: float, are_changes_unknown: bool = False) -> list[str]:
        """Remove entries missing after the grace period and return their ids; end exclusions.

        While changes of the store are unknown, entries that may have returned are kept.
        """
        for upstream_id, entry in list(self._removed.items()):
            if now_ms - entry.removed_ms >= REMOVED_RETENTION_MS:
                del self._removed[upstream_id]
        for upstream_id, until_ms in list(self._excluded_until_ms.items()):
            if now_ms >= until_ms:
                del self._excluded_until_ms[upstream_id]
                self._by_service.clear()
        removed_ids = [] if are_changes_unknown else self._lapsed.pop_expired(now_ms)
        for upstream_id in removed_ids:
            self._record_removal(upstream_id, now_ms)
            self._delete(upstream_id)
        return removed_ids

    def set_out_domains(self, domains: frozenset[str]) -> frozenset[str]:
        """Set the failure domains that are out of use; return those that return to use."""
        returned = self._out_domains - domains
        self._out_domains = domains
        self._by_service.clear()
        return returned

    def mark_domain_cold(self, domain: str, until_ms: float) -> None:
        """Mark the upstreams of `domain` as cold until `until_ms`, as after an idle period."""
        for upstream in list(self._upstreams.values()):
            if upstream.domain == domain and upstream.cold_until_ms < until_ms:
                self._upstreams[upstream.id] = upstream._replace(cold_until_ms=until_ms)
        self._by_service.clear()

    def mark_upstream_cold(self, upstream_id: str, until_ms: float) -> None:
        """Mark one upstream as cold until `until_ms`, unless it is already cold for longer."""
        current = self._upstreams.get(upstream_id)
        if current is not None and current.cold_until_ms < until_ms:
            self._upstreams[upstream_id] = current._replace(cold_until_ms=until_ms)
            self._by_service.pop(current.service, None)

    def _delete(self, upstream_id: str) -> None:
        current = self._upstreams.pop(upstream_id)
        self._lapsed.discard(upstream_id)
        self._excluded_until_ms.pop(upstream_id, None)
        self._by_service.pop(current.service, None)
