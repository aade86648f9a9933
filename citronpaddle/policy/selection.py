"""Chooses the upstream of a call from what this instance has seen of each.

Times are in ms on one monotonic clock.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from .catalog import ServiceLimits
from .registry import Registry, Upstream
from .slowstart import SlowStart

# Share of a new observation in an upstream's mean slowness and in its mean rate of failures.
_SLOWNESS_WEIGHT = 0.25
_FAILURE_WEIGHT = 0.3
# What was seen of an upstream loses half of its force in this time, so that it is tried again.
_HALF_LIFE_MS = 2_000.0
# A single slow answer says little about how slow the next one will be.
_MAX_SLOWNESS = 8.0
# Weights of a choice, in multiples of a usual answer time.
_OUTSTANDING_COST = 0.5
_FAILURE_COST = 8.0
_COLD_COST = 0.6
# The way to another failure domain and back; bytes between domains have a price besides.
_FAR_COST = 0.8
_OVERDUE_COST = 6.0
# What another instance says of an upstream that holds up a call counts for this long: a pause is
# over after some hundred ms, and the next late call tells of it again.
_PEER_LATE_MS = 120.0
# All calls that one pause has held up are answered together: they count as one slow answer. A slow
# upstream goes on to give slow answers.
_PEER_ANSWER_INTERVAL_MS = 300.0
# An upstream that refuses connections or stays silent is avoided this long, doubling each time.
_FIRST_BLOCK_MS = 250.0
_MAX_BLOCK_MS = 2_000.0


class Choice(NamedTuple):
    """An upstream, and whether its last calls give reason to expect an answer."""

    upstream: Upstream
    is_promising: bool


class UpstreamRecord:
    """What this instance has seen of one upstream."""

    __slots__ = (
        "blocked_until_ms",
        "block_ms",
        "failure_rate",
        "last_ms",
        "open_sent_ms",
        "peer_answer_ms",
        "peer_late_until_ms",
        "slowness",
    )

    def __init__(self) -> None:
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.last_ms = 0.0
        self.blocked_until_ms = 0.0
        self.block_ms = 0.0
        self.peer_answer_ms = 0.0
        self.peer_late_until_ms = 0.0
        # When each open call was sent, by call; the oldest comes first.
        self.open_sent_ms: dict[int, float] = {}

    def fade(self, now_ms: float) -> None:
        """Let what was seen lose force with the time since the last call."""
        passed_ms = now_ms - self.last_ms
        if passed_ms <= 0:
            return
        keep = 0.5 ** (passed_ms / _HALF_LIFE_MS)
        self.slowness = 1.0 + (self.slowness - 1.0) * keep
        self.failure_rate *= keep
        self.last_ms = now_ms


class Selector:
    """Chooses upstreams by expected time to an answer, and keeps count of open calls."""

    def __init__(
        self,
        registry: Registry,
        slow_start: SlowStart,
        get_limits: Callable[[str], ServiceLimits | None],
        draw: Callable[[], float],
        domain: str = "",
    ) -> None:
        """Prefer upstreams in `domain`; `draw`, numbers from 0 to 1, decides between equals."""
        self._registry = registry
        self._slow_start = slow_start
        self._get_limits = get_limits
        self._draw = draw
        self._domain = domain
        self._records: dict[str, UpstreamRecord] = {}
        self._usual_ms: dict[str, float] = {}
        self._share = 1.0
        self._calls = 0

    def set_share(self, share: float, is_young: bool) -> None:
        """Use this share of every upstream's connections.

        While this instance `is_young`, upstreams may still hold the connections of its predecessor,
        so it uses half of its share.
        """
        self._share = share / 2 if is_young else share

    def is_listed(self, service: str) -> bool:
        """Return whether any upstream of `service` may get requests."""
        return bool(self._registry.list_available(service))

    def list_ids(self, service: str) -> list[str]:
        """Return the ids of the upstreams of `service` that may get requests."""
        return [upstream.id for upstream in self._registry.list_available(service)]

    def choose(
        self, service: str, now_ms: float, late_ms: float, avoid: Collection[str] = ()
    ) -> Choice | None:
        """Return the upstream to call, or None if none has room.

        Calls open for longer than `late_ms` make an upstream unattractive; those in `avoid` are not
        chosen.
        """
        limits = self._get_limits(service)
        best: Choice | None = None
        best_cost = 0.0
        for upstream in self._registry.list_available(service):
            if upstream.id in avoid or not self._has_room(upstream, limits, now_ms):
                continue
            cost, is_promising = self._estimate(upstream, now_ms, late_ms)
            cost += 0.1 * self._draw()
            if best is None or cost < best_cost:
                best, best_cost = Choice(upstream, is_promising), cost
        return best

    def _has_room(self, upstream: Upstream, limits: ServiceLimits | None, now_ms: float) -> bool:
        if limits is None:
            return True
        record = self._records.get(upstream.id)
        if record is not None:
            if len(record.open_sent_ms) >= max(1, int(limits.max_connections * self._share)):
                return False
        if upstream.cold_until_ms > now_ms and limits.cold_rate_per_s > 0:
            return self._slow_start.permit(upstream.id, limits.cold_rate_per_s, now_ms)
        return True

    def _estimate(self, upstream: Upstream, now_ms: float, late_ms: float) -> tuple[float, bool]:
        record = self._records.get(upstream.id)
        cost = _COLD_COST if upstream.cold_until_ms > now_ms else 0.0
        if upstream.domain != self._domain:
            cost += _FAR_COST
        if record is None:
            return 1.0 + cost, True
        record.fade(now_ms)
        cost += record.slowness + _FAILURE_COST * record.failure_rate
        outstanding = len(record.open_sent_ms)
        if outstanding:
            cost *= 1.0 + _OUTSTANDING_COST * outstanding / max(1, upstream.slots)
            oldest_ms = next(iter(record.open_sent_ms.values()))
            if now_ms - oldest_ms > late_ms:
                return cost + _OVERDUE_COST, record.blocked_until_ms <= now_ms
        if record.peer_late_until_ms > now_ms:
            cost += _OVERDUE_COST
        if record.blocked_until_ms > now_ms:
            return cost + 100.0, False
        return cost, True

    def record_sent(self, upstream: Upstream, call_id: int, now_ms: float) -> None:
        """Count a call as open from now on."""
        self._calls += 1
        self._open_record(upstream.id, now_ms).open_sent_ms[call_id] = now_ms
        if upstream.cold_until_ms > now_ms:
            limits = self._get_limits(upstream.service)
            rate_per_s = limits.cold_rate_per_s if limits else 0.0
            self._slow_start.record_sent(upstream.id, rate_per_s, now_ms)

    def note_answer(self, upstream_id: str, call_id: int, group: str, now_ms: float) -> float:
        """Count an answer and return how long it took in multiples of the usual time.

        `group` names calls that usually take equally long.
        """
        record, took_ms = self._close(upstream_id, call_id, now_ms)
        if record is None:
            return 1.0
        usual_ms = self._usual_ms.get(group, took_ms)
        # A few very slow answers must not pass for the usual time.
        bounded_ms = min(took_ms, 3.0 * usual_ms)
        self._usual_ms[group] = usual_ms + 0.05 * (bounded_ms - usual_ms)
        record.fade(now_ms)
        slowness = min(_MAX_SLOWNESS, took_ms / max(1.0, usual_ms))
        record.slowness += _SLOWNESS_WEIGHT * (slowness - record.slowness)
        record.failure_rate -= _FAILURE_WEIGHT * record.failure_rate
        if record.block_ms > 0:
            # It may have started at any moment since the last call.
            self._suspect_cold(upstream_id, now_ms)
        record.block_ms = 0.0
        record.blocked_until_ms = 0.0
        return slowness

    def note_failure(
        self, upstream_id: str, call_id: int, now_ms: float, is_unreachable: bool
    ) -> None:
        """Count a failed call; an unreachable upstream is avoided for a while."""
        record, _ = self._close(upstream_id, call_id, now_ms)
        if record is None:
            return
        record.fade(now_ms)
        record.failure_rate += _FAILURE_WEIGHT * (1.0 - record.failure_rate)
        if is_unreachable:
            self._suspect_cold(upstream_id, now_ms)
            record.block_ms = min(_MAX_BLOCK_MS, max(_FIRST_BLOCK_MS, 2 * record.block_ms))
            record.blocked_until_ms = now_ms + record.block_ms

    def _suspect_cold(self, upstream_id: str, now_ms: float) -> None:
        """Treat an unreachable upstream as cold: it may be starting anew before its entry says so.

        An instance that is cut off from the store never reads that entry.
        """
        upstream = self._registry.get(upstream_id)
        limits = self._get_limits(upstream.service) if upstream is not None else None
        if limits is not None and limits.cold_rate_per_s > 0:
            self._registry.mark_upstream_cold(upstream_id, now_ms + limits.cold_ms)

    def note_misplaced(self, upstream: Upstream, now_ms: float) -> None:
        """Leave an upstream alone whose address answers for another one."""
        self._registry.note_misplaced(upstream, now_ms)

    def note_cancelled(self, upstream_id: str, call_id: int, now_ms: float, late_ms: float) -> None:
        """Count a call that was ended here; one that was late tells of a slow upstream."""
        record, took_ms = self._close(upstream_id, call_id, now_ms)
        if record is not None and took_ms > late_ms:
            record.fade(now_ms)
            record.slowness += _SLOWNESS_WEIGHT * (_MAX_SLOWNESS - record.slowness)

    def count_calls(self) -> tuple[int, int]:
        """Return the calls since the last count, and the number of upstreams ever called."""
        calls, self._calls = self._calls, 0
        return calls, len(self._records)

    def is_known_late(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether another instance has just told that a call to the upstream is late."""
        record = self._records.get(upstream_id)
        return record is not None and record.peer_late_until_ms > now_ms

    def note_peer_late(self, upstream_id: str, now_ms: float) -> None:
        """Take over that a call of another instance is late."""
        self._open_record(upstream_id, now_ms).peer_late_until_ms = now_ms + _PEER_LATE_MS

    def note_peer_answer(self, upstream_id: str, slowness: float, now_ms: float) -> None:
        """Take over how slow a late call of another instance was in the end."""
        record = self._open_record(upstream_id, now_ms)
        record.peer_late_until_ms = 0.0
        if now_ms < record.peer_answer_ms + _PEER_ANSWER_INTERVAL_MS:
            return
        record.peer_answer_ms = now_ms
        record.fade(now_ms)
        bounded = max(0.0, min(_MAX_SLOWNESS, slowness))
        record.slowness += _SLOWNESS_WEIGHT * (bounded - record.slowness)

    def remove_upstream(self, upstream_id: str) -> None:
        """Drop what was seen of an upstream that is gone."""
        self._records.pop(upstream_id, None)
        self._slow_start.remove_upstream(upstream_id)

    def _open_record(self, upstream_id: str, now_ms: float) -> UpstreamRecord:
        record = self._records.get(upstream_id)
        if record is None:
            record = self._records[upstream_id] = UpstreamRecord()
            record.last_ms = now_ms
        return record

    def _close(
        self, upstream_id: str, call_id: int, now_ms: float
    ) -> tuple[UpstreamRecord | None, float]:
        record = self._records.get(upstream_id)
        if record is None:
            return None, 0.0
        sent_ms = record.open_sent_ms.pop(call_id, now_ms)
        return record, now_ms - sent_ms
