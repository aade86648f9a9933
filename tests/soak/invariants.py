"""The invariants for callers, upstreams and operators, checked on the history of a run.

Bounds in time apply to an instance that is settled: neither it nor the store has had a fault for
the settle time. They are those of the settings that the instances are given.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from .records import Arrival, Attempt, History, Outcome

# Time without a fault after which the bounds in time apply again.
SETTLE_MS = 4_000.0
DRAIN_MS = 3_000.0
EVACUATE_MS = 5_000.0
CONFIG_APPLY_MS = 3_000.0
ROLLBACK_SLACK_MS = 250.0
LOSS_SLACK_MS = 200.0
# A call for an abandoned request may arrive for this long after the caller gave up.
CANCELLATION_MS = 500.0
TIMEOUT_MS = 1_000.0
# Allowance beyond the time-out of a route for the answer to arrive.
TIMEOUT_SLACK_MS = 500.0
GRACE_MS = 6_000.0
# A request sent at most this long after SIGTERM is served by the instance that stops.
ACCEPT_AFTER_SIGTERM_MS = 3_000.0
# A connection that closes at most this long after the process ended is attributed to its stop.
CLOSE_SLACK_MS = 1_000.0
MAX_UPSTREAMS = 2
COLD_PER_S, COLD_OVERSHOOT, COLD_SLACK = 10.0, 1.5, 5.0
MIN_COVERAGE = 0.5
TOP_K = 5
RECORD_BYTES = 16
# Statuses which state that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A few requests may be in flight during a change; the users' rules have the same allowance.
TOLERATED_REQUESTS = 3
# Least share of the requests that is served in the quiet period at the end of a run.
MIN_SERVED_SHARE = 0.95


class Violation(NamedTuple):
    """A violated invariant, and the id of a request that shows it, if there is one."""

    invariant: str
    text: str
    attempt: str = ""


def find_violations(history: History, quiet_from_ms: float) -> list[Violation]:
    """Return every violation; `quiet_from_ms` starts the quiet period without faults."""
    by_attempt: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_attempt[arrival.attempt].append(arrival)
    violations: list[Violation] = []
    for attempt in history.attempts.values():
        arrivals = by_attempt.get(attempt.id, [])
        violations += _check_answer(history, attempt)
        violations += _check_runs(history, attempt, arrivals)
        violations += _check_planned_stops(history, attempt, arrivals)
    violations += _check_arrivals(history, by_attempt)
    violations += _check_upstream_limit(history, by_attempt)
    violations += _check_departures(history)
    violations += _check_cold_upstreams(history)
    violations += _check_timeouts(history)
    violations += _check_versions(history, by_attempt)
    violations += _check_recovery(history, quiet_from_ms)
    violations += [Violation("EXIT", text) for text in history.process_failures]
    return violations


def _is_settled(history: History, instance: str, at_ms: float) -> bool:
    return history.is_fault_free(at_ms - SETTLE_MS, at_ms, instance, "store")


def _check_answer(history: History, attempt: Attempt) -> Iterator[Violation]:
    """Each answer is complete, belongs to its request and reports its true coverage."""
    if attempt.outcome is not Outcome.ANSWERED:
        return
    if attempt.prefix.startswith("/q") and attempt.status == 200:
        yield from _check_fanout_answer(history, attempt)
        return
    signature = attempt.headers.get("citronpaddle-server-stamp")
    reply = history.signed_replies.get(signature or "")
    if signature is None:
        if 200 <= attempt.status < 300:
            yield Violation("MIXED", "a successful answer without a signature", attempt.id)
    elif reply is None or reply.attempt != attempt.id:
        yield Violation(
            "MIXED", f"the signature {signature} belongs to another request", attempt.id
        )
    elif reply.status != attempt.status or reply.body != attempt.answer:
        yield Violation(
            "MIXED", f"the reply {reply.status} of the upstream was modified", attempt.id
        )


def _check_fanout_answer(history: History, attempt: Attempt) -> Iterator[Violation]:
    """A fan-out answer has the top records of its parts, each from another shard of one index."""
    stamps = attempt.headers.get("citronpaddle-part-stamps", "")
    names = [name.strip() for name in stamps.split(",") if name.strip()]
    replies = [history.signed_replies.get(name) for name in names]
    if any(part is None or part.attempt != attempt.id or part.status != 200 for part in replies):
        yield Violation("MIXED", f"a part that is not a reply to this request: {names}", attempt.id)
        return
    services = [part.service for part in replies]
    missing = int(attempt.headers.get("citronpaddle-missing-parts", "0"))
    sets = {version.routes.get(attempt.prefix, frozenset()) for version in history.versions}
    if len(set(services)) < len(services) or not any(
        set(services) <= shards and len(services) + missing == len(shards) for shards in sets
    ):
        yield Violation(
            "MIXED", f"{services} and {missing} missing do not form an index", attempt.id
        )
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        yield Violation("MIXED", f"{len(services)} parts are too few", attempt.id)
    records = [
        part.body[start : start + RECORD_BYTES]
        for part in replies
        for start in range(0, len(part.body), RECORD_BYTES)
    ]
    if attempt.answer != b"".join(sorted(records, reverse=True)[:TOP_K]):
        yield Violation("MIXED", "the records are not the greatest ones of the parts", attempt.id)


def _check_runs(history: History, attempt: Attempt, arrivals: list[Arrival]) -> Iterator[Violation]:
    """An unsafe request runs at most once, and never if the answer states that it did not."""
    if not attempt.prefix.startswith("/u"):
        return
    runs = [arrival for arrival in arrivals if arrival.ran]
    if len(runs) > 1:
        yield Violation("TWICE", f"ran at {[run.upstream for run in runs]}", attempt.id)
    if runs and attempt.outcome is Outcome.ANSWERED and attempt.status in NOT_RUN_STATUSES:
        yield Violation("REFUSED", f"{attempt.status} though it ran", attempt.id)


def _check_arrivals(history: History, by_attempt: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Upstreams receive only requests that a caller sent, unmodified and by their routes."""
    for name, arrivals in by_attempt.items():
        attempt = history.attempts.get(name)
        for arrival in arrivals:
            sent = attempt and (attempt.method, attempt.target, attempt.body)
            if sent != (arrival.method, arrival.target, arrival.body):
                yield Violation("UNASKED", f"{arrival.upstream} received another request", name)
                continue
            allowed = set().union(
                *(version.routes.get(attempt.prefix, ()) for version in history.versions)
            )
            if arrival.ran and arrival.service not in allowed:
                yield Violation("ROUTE", f"ran at {arrival.service}", name)


def _check_upstream_limit(
    history: History, by_attempt: dict[str, list[Arrival]]
) -> Iterator[Violation]:
    """A request runs at no more upstreams than its route allows."""
    over_limit = []
    for name, arrivals in by_attempt.items():
        used: dict[str, set[str]] = defaultdict(set)
        for arrival in arrivals:
            ended_ms = history.upstream_end_ms.get(arrival.upstream, float("inf"))
            if arrival.ran and arrival.at_ms < ended_ms - TIMEOUT_MS:
                used[arrival.service].add(arrival.upstream)
        if any(len(upstreams) > MAX_UPSTREAMS for upstreams in used.values()):
            over_limit.append(name)
    if len(over_limit) > TOLERATED_REQUESTS:
        yield Violation(
            "BUDGET", f"{len(over_limit)} requests ran at too many upstreams", over_limit[0]
        )


def _check_departures(history: History) -> Iterator[Violation]:
    """No call goes to an upstream that left or a domain that is out.

    At most a few calls are for a request that its caller abandoned.
    """
    late_calls = []
    for arrival in history.arrivals:
        attempt = history.attempts.get(arrival.attempt)
        if attempt is None:
            continue
        at_ms = arrival.at_ms
        is_settled = _is_settled(history, attempt.instance, at_ms)
        is_link_stable = history.is_fault_free(at_ms - SETTLE_MS, at_ms, arrival.upstream)
        if not is_settled or not is_link_stable:
            continue
        leaving_since_ms = history.leaving_since_ms.get(arrival.upstream, float("inf"))
        if at_ms > leaving_since_ms + DRAIN_MS:
            yield Violation(
                "DRAIN",
                f"{arrival.upstream} left {at_ms - leaving_since_ms:.0f} ms before",
                attempt.id,
            )
        for domain, out_ms, back_ms in history.evacuations:
            if arrival.domain == domain and out_ms + EVACUATE_MS < at_ms < back_ms:
                yield Violation("EVAC", f"{domain} out for {at_ms - out_ms:.0f} ms", attempt.id)
        if attempt.outcome is Outcome.ABANDONED and at_ms > attempt.ended_ms + CANCELLATION_MS:
            late_calls.append(attempt.id)
    if len(late_calls) > TOLERATED_REQUESTS:
        yield Violation("GONE", f"{len(late_calls)} calls for abandoned requests", late_calls[0])


def _check_cold_upstreams(history: History) -> Iterator[Violation]:
    """A cold upstream receives no more requests in any second than its warm-up limit allows."""
    bound = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
    for upstream, (start_ms, end_ms) in history.cold_periods.items():
        times = sorted(
            arrival.at_ms
            for arrival in history.arrivals
            if arrival.upstream == upstream and start_ms <= arrival.at_ms <= end_ms
        )
        for number, at_ms in enumerate(times):
            count = sum(1 for other in times[number:] if other < at_ms + 1_000.0)
            if count > bound:
                yield Violation("FAILBACK", f"{count} requests in a second for cold {upstream}")
                break


def _check_timeouts(history: History) -> Iterator[Violation]:
    """A settled instance answers by the time-out of the route."""
    late = [
        attempt.id
        for attempt in history.attempts.values()
        if attempt.outcome in (Outcome.ANSWERED, Outcome.TIMED_OUT, Outcome.CLOSED)
        and attempt.ended_ms - attempt.sent_ms > TIMEOUT_MS + TIMEOUT_SLACK_MS
        and history.is_fault_free(
            attempt.sent_ms - SETTLE_MS, attempt.ended_ms, attempt.instance, "store"
        )
    ]
    if len(late) > TOLERATED_REQUESTS:
        yield Violation("CONFIG", f"{len(late)} requests had no answer at their time-out", late[0])


def _check_planned_stops(
    history: History, attempt: Attempt, arrivals: list[Arrival]
) -> Iterator[Violation]:
    """A planned stop aborts no request that the instance has read."""
    if attempt.outcome is not Outcome.CLOSED:
        return
    upstreams = {arrival.upstream for arrival in arrivals}
    for instance, sigterm_ms, ended_ms in history.stops:
        if (
            instance != attempt.instance
            or not sigterm_ms <= attempt.ended_ms <= ended_ms + CLOSE_SLACK_MS
        ):
            continue
        waited_ms = attempt.ended_ms - attempt.sent_ms
        was_read = bool(arrivals) or waited_ms > LOSS_SLACK_MS
        from_ms = attempt.sent_ms - SETTLE_MS
        scopes = (instance, "store", *upstreams)
        is_fault_free = history.is_fault_free(
            from_ms, attempt.ended_ms, *scopes, includes_planned=False
        )
        in_time = attempt.sent_ms <= sigterm_ms + ACCEPT_AFTER_SIGTERM_MS or waited_ms < TIMEOUT_MS
        if was_read and is_fault_free and in_time and waited_ms < TIMEOUT_MS:
            yield Violation(
                "LOST", f"aborted {attempt.ended_ms - sigterm_ms:.0f} ms after SIGTERM", attempt.id
            )


def _find_matching_versions(
    history: History, attempt: Attempt, by_attempt: dict[str, list[Arrival]]
) -> list[int]:
    """Return the indexes of the versions that explain how a request was handled.

    The list is empty if the request neither ran nor was answered with 404.
    """
    services = {arrival.service for arrival in by_attempt.get(attempt.id, ()) if arrival.ran}
    is_denied = attempt.outcome is Outcome.ANSWERED and attempt.status == 404
    if not services and not is_denied:
        return []
    return [
        index
        for index, version in enumerate(history.versions)
        if (attempt.prefix not in version.routes) == is_denied
        and services <= version.routes.get(attempt.prefix, frozenset())
    ]


def _check_versions(history: History, by_attempt: dict[str, list[Arrival]]) -> Iterator[Violation]:
    """Each version is in force everywhere in time, and no instance reverts to an older one."""
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for attempt in sorted(history.attempts.values(), key=lambda attempt: attempt.sent_ms):
        versions = _find_matching_versions(history, attempt, by_attempt)
        if not versions:
            continue
        newest = max(versions)
        due = [
            index
            for index, version in enumerate(history.versions)
            if version.acknowledged_ms + CONFIG_APPLY_MS < attempt.sent_ms
        ]
        is_settled = _is_settled(history, attempt.instance, attempt.sent_ms)
        if due and newest < max(due) and is_settled:
            number = history.versions[max(due)].number
            yield Violation(
                "CONFIG", f"{attempt.prefix} handled as before version {number}", attempt.id
            )
        key = (attempt.instance, history.find_incarnation(attempt.instance, attempt.sent_ms))
        known = [index for at_ms, index in seen[key] if at_ms + ROLLBACK_SLACK_MS < attempt.sent_ms]
        if known and newest < max(known):
            number = history.versions[max(known)].number
            yield Violation(
                "CONFIG",
                f"{attempt.prefix} handled as before version {number}, which was in force",
                attempt.id,
            )
        seen[key].append((attempt.ended_ms, min(versions)))


def _check_recovery(history: History, quiet_from_ms: float) -> Iterator[Violation]:
    """After all faults have ended, nearly all requests are served."""
    outcomes: Counter[str] = Counter()
    example = ""
    for attempt in history.attempts.values():
        # Requests in progress at the end of the run have no outcome. A request that takes longer
        # than the timeout of its caller has one.
        if attempt.sent_ms < quiet_from_ms or attempt.outcome in (Outcome.ABANDONED, None):
            continue
        is_served = attempt.outcome is Outcome.ANSWERED and attempt.status == 200
        is_route_removed = attempt.prefix not in history.versions[-1].routes
        is_served = is_served or (attempt.status == 404 and is_route_removed)
        label = "served" if is_served else f"{attempt.outcome} {attempt.status}"
        outcomes[label] += 1
        example = example if is_served else attempt.id
    total = sum(outcomes.values())
    if total and outcomes["served"] < MIN_SERVED_SHARE * total:
        yield Violation("RECOVER", f"after the faults: {dict(outcomes)}", example)
