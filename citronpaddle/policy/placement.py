"""Where the first call to a service would go now, and why: a dry run of the choice.

All decisions are made by the functions of the choice itself, on copies, so that nothing changes.
Times are in ms on one monotonic clock.
"""

from enum import Enum
from math import inf
from typing import NamedTuple

from .registry import Registry, Upstream
from .selection import Assessment, Selector
from .sharing import ServiceLoad, Sharing

# A reply that takes this multiple of the baseline, and a share of failed calls, that are unusual.
UNUSUAL_SLOWNESS = 1.5
UNUSUAL_FAILURE_RATE = 0.05


class Step(Enum):
    """What would happen to the first call to a service."""

    CALL = "call"
    QUEUE = "queue"
    WAIT_FOR_PERMIT = "wait_for_permit"
    WAIT_FOR_ROOM = "wait_for_room"
    NO_UPSTREAM = "no_upstream"


class Reason(Enum):
    """Why an upstream is not the first candidate."""

    TIED = "tied"
    HIGHER_COST = "higher_cost"
    OTHER_VERSION = "other_version"
    BLOCKED = "blocked"
    RATE_LIMITED = "rate_limited"
    CONNECTIONS = "connections"
    COLD_RATE = "cold_rate"


class Candidate(NamedTuple):
    """One listed upstream of a service.

    `reason` is why it is not first, None for the first one; an upstream that gets no calls has no
    `cost`. `slowness` is in multiples of a usual reply, `failure_rate` from 0 to 1. `pace` is how
    many calls all instances are to have there at once, and `pace_factor` what a further one costs.
    """

    upstream: str
    domain: str
    version: str
    reason: str | None
    cost: float | None = None
    is_remote: bool = False
    slowness: float = 1.0
    failure_rate: float = 0.0
    open_calls: int = 0
    max_calls: int | None = None
    cold_ms: int = 0
    pace: float | None = None
    pace_factor: float = 1.0
    permit_ms: int = 0
    blocked_ms: int = 0
    is_reported_late: bool = False

    @property
    def is_unusual(self) -> bool:
        """Return whether more than its cost and its domain distinguishes the upstream."""
        return (
            self.reason not in (None, Reason.TIED.value, Reason.HIGHER_COST.value)
            or self.slowness >= UNUSUAL_SLOWNESS
            or self.failure_rate >= UNUSUAL_FAILURE_RATE
            or self.cold_ms > 0
            or self.pace is not None
            or self.is_reported_late
        )


class ServicePlacement(NamedTuple):
    """Where the first call to a service would go: to `upstream`, after `wait_ms` if it waits."""

    service: str
    step: Step
    upstream: str | None
    wait_ms: int
    load: ServiceLoad
    candidates: tuple[Candidate, ...]

    @property
    def is_unusual(self) -> bool:
        """Return whether the call would wait, or an upstream is in an unusual state."""
        return (
            self.step is not Step.CALL
            or self.load.is_congested
            or any(candidate.is_unusual for candidate in self.candidates)
        )


def find_placement(
    selector: Selector,
    registry: Registry,
    sharing: Sharing,
    service: str,
    late_threshold_ms: float,
    now_ms: float,
) -> ServicePlacement:
    """Return where the first call to `service` would go, without any change.

    Whether a request would wait until then depends on its deadline, which is not known here.
    """
    trial = selector.copy_for_service(service)
    load = sharing.describe(service, now_ms)
    choice = trial.choose(service, now_ms, late_threshold_ms)
    first_id = choice.upstream.id if choice is not None else None
    candidates = _list_candidates(trial, registry, service, first_id, late_threshold_ms, now_ms)
    if not trial.is_listed(service):
        return ServicePlacement(service, Step.NO_UPSTREAM, None, 0, load, candidates)
    if load.waiting or (load.limit is not None and load.open_calls >= load.limit):
        return ServicePlacement(service, Step.QUEUE, first_id, 0, load, candidates)
    if choice is None or not choice.is_healthy:
        # A permit at a rate-limited upstream precedes an upstream that is avoided.
        reservation = trial.reserve(service, now_ms, inf)
        if reservation is not None:
            wait_ms = round(reservation.at_ms - now_ms)
            upstream_id = reservation.upstream.id
            return ServicePlacement(
                service, Step.WAIT_FOR_PERMIT, upstream_id, wait_ms, load, candidates
            )
    step = Step.CALL if choice is not None else Step.WAIT_FOR_ROOM
    return ServicePlacement(service, step, first_id, 0, load, candidates)


def _list_candidates(
    trial: Selector,
    registry: Registry,
    service: str,
    first_id: str | None,
    late_threshold_ms: float,
    now_ms: float,
) -> tuple[Candidate, ...]:
    """Return all listed upstreams of a service, the first candidate first, then by cost."""
    groups = trial.versions.group(service, registry.list_available(service))
    group_by_id = {one.id: index for index, group in enumerate(groups) for one in group}
    first = registry.get(first_id) if first_id is not None else None
    first_assessment = trial.assess(first, now_ms, late_threshold_ms) if first else None
    candidates: list[Candidate] = []
    for upstream in registry.list_listed(service):
        unavailability = registry.find_unavailability(upstream)
        if unavailability is None and upstream.id not in group_by_id:
            candidates.append(_make_unused(trial, upstream, Reason.OTHER_VERSION.value))
            continue
        if unavailability is not None:
            candidates.append(_make_unused(trial, upstream, unavailability.value))
            continue
        assessment = trial.assess(upstream, now_ms, late_threshold_ms)
        reason = None
        if upstream.id != first_id:
            is_preferred = first is None or group_by_id[upstream.id] == group_by_id[first.id]
            reason = _find_reason(assessment, first_assessment, is_preferred).value
        candidates.append(_make_candidate(trial, upstream, assessment, reason, now_ms))
    return tuple(sorted(candidates, key=_rank))


def _find_reason(assessment: Assessment, first: Assessment | None, is_preferred: bool) -> Reason:
    """Return why an upstream is not `first`; it `is_preferred` if its version is as good."""
    if not assessment.has_room:
        if assessment.permit_ms > 0:
            return Reason.RATE_LIMITED
        is_full = assessment.max_calls is not None and assessment.open_calls >= assessment.max_calls
        return Reason.CONNECTIONS if is_full else Reason.COLD_RATE
    if not is_preferred:
        return Reason.OTHER_VERSION
    if not assessment.is_healthy:
        return Reason.BLOCKED
    is_tied = first is not None and assessment.cost < first.highest_cost
    return Reason.TIED if is_tied else Reason.HIGHER_COST


def _make_unused(trial: Selector, upstream: Upstream, reason: str) -> Candidate:
    is_remote = upstream.domain != trial.domain
    return Candidate(upstream.id, upstream.domain, upstream.version, reason, is_remote=is_remote)


def _make_candidate(
    trial: Selector, upstream: Upstream, assessment: Assessment, reason: str | None, now_ms: float
) -> Candidate:
    candidate = Candidate(
        upstream.id,
        upstream.domain,
        upstream.version,
        reason,
        round(assessment.cost, 2),
        upstream.domain != trial.domain,
        open_calls=assessment.open_calls,
        max_calls=assessment.max_calls,
        cold_ms=round(max(0.0, upstream.cold_until_ms - now_ms)),
        pace=trial.paces.get_concurrency(upstream.id),
        pace_factor=round(assessment.pace_factor, 2),
        permit_ms=round(assessment.permit_ms),
    )
    stats = assessment.stats
    if stats is None:
        return candidate
    return candidate._replace(
        slowness=round(stats.slowness, 2),
        failure_rate=round(stats.failure_rate, 2),
        blocked_ms=round(max(0.0, stats.blocked_until_ms - now_ms)),
        is_reported_late=stats.peer_late_until_ms > now_ms,
    )


def _rank(candidate: Candidate) -> tuple[bool, bool, float]:
    cost = candidate.cost
    return candidate.reason is not None, cost is None, 0.0 if cost is None else cost
