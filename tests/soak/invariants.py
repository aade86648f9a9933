"""The promises to callers, upstreams and operators, checked on the history of a run.

Bounds in time hold while an instance is in touch: no disruption of it or of the store for the
contact time before. They are those of the settings that the instances get.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from .records import Arrival, Attempt, End, History

CONTACT_MS = 4_000.0
DRAIN_MS = 3_000.0
EVACUATE_MS = 5_000.0
CONFIG_APPLY_MS = 3_000.0
ROLLBACK_SLACK_MS = 250.0
LOSS_SLACK_MS = 200.0
GONE_MS = 500.0
TIMEOUT_MS = 1_000.0
GRACE_MS = 6_000.0
MAX_UPSTREAMS = 2
COLD_PER_S, COLD_OVERSHOOT, COLD_SLACK = 10.0, 1.5, 5.0
MIN_COVERAGE = 0.5
TOP_K = 5
# Statuses that say that nothing ran.
PROMISES = (408, 421, 429, 503)
# A few requests may cross a change; the same allowance as the users' rules give.
FEW = 3
# In the calm at the end of a run at least this share is served.
CALM_SHARE = 0.95


class Breach(NamedTuple):
    """A broken promise, and the request that shows it, if there is one."""

    promise: str
    text: str
    attempt: str = ""


def check(history: History, calm_from_ms: float) -> list[Breach]:
    """Return every broken promise."""
    by_attempt: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        by_attempt[arrival.attempt].append(arrival)
    found: list[Breach] = []
    for attempt in history.attempts.values():
        arrivals = by_attempt.get(attempt.id, [])
        found += _check_answer(history, attempt)
        found += _check_runs(history, attempt, arrivals)
        found += _check_stop(history, attempt, arrivals)
    found += _check_unasked(history, by_attempt)
    found += _check_limits(history, by_attempt)
    found += _check_departures(history)
    found += _check_cold(history)
    found += _check_times(history)
    found += _check_versions(history, by_attempt)
    found += _check_calm(history, calm_from_ms)
    found += [Breach("EXIT", text) for text in history.exits]
    return found


def _is_in_touch(history: History, instance: str, at_ms: float) -> bool:
    return history.is_calm(at_ms - CONTACT_MS, at_ms, instance, "store")


def _check_answer(history: History, attempt: Attempt) -> Iterator[Breach]:
    """Whole answers to the own request, and true coverage."""
    if attempt.end is not End.ANSWERED:
        return
    if attempt.prefix.startswith("/q") and attempt.status == 200:
        yield from _check_gathered(history, attempt)
        return
    signature = attempt.headers.get("citronpaddle-server-stamp")
    given = history.given.get(signature or "")
    if signature is None:
        if 200 <= attempt.status < 300:
            yield Breach("MIXED", "a success without a signature", attempt.id)
    elif given is None or given.attempt != attempt.id:
        yield Breach("MIXED", f"the signature {signature} is for another request", attempt.id)
    elif given.status != attempt.status or given.body != attempt.answer:
        yield Breach("MIXED", f"{given.status} of the upstream was changed", attempt.id)


def _check_gathered(history: History, attempt: Attempt) -> Iterator[Breach]:
    stamps = attempt.headers.get("citronpaddle-part-stamps", "")
    names = [name.strip() for name in stamps.split(",") if name.strip()]
    given = [history.given.get(name) for name in names]
    if any(part is None or part.attempt != attempt.id or part.status != 200 for part in given):
        yield Breach("MIXED", f"a part that is no answer to this request: {names}", attempt.id)
        return
    services = [part.service for part in given]
    missing = int(attempt.headers.get("citronpaddle-missing-parts", "0"))
    sets = {version.routes.get(attempt.prefix, frozenset()) for version in history.versions}
    if len(set(services)) < len(services) or not any(
        set(services) <= shards and len(services) + missing == len(shards) for shards in sets
    ):
        yield Breach("MIXED", f"{services} and {missing} missing are no set", attempt.id)
    if len(services) < MIN_COVERAGE * (len(services) + missing):
        yield Breach("MIXED", f"{len(services)} parts are too few", attempt.id)
    records = [
        part.body[start : start + 16] for part in given for start in range(0, len(part.body), 16)
    ]
    if attempt.answer != b"".join(sorted(records, reverse=True)[:TOP_K]):
        yield Breach("MIXED", "the records are not the greatest of the parts", attempt.id)


def _check_runs(history: History, attempt: Attempt, arrivals: list[Arrival]) -> Iterator[Breach]:
    """At most one run of what must not run twice, and none after a promise."""
    if not attempt.prefix.startswith("/u"):
        return
    runs = [arrival for arrival in arrivals if arrival.ran]
    if len(runs) > 1:
        yield Breach("TWICE", f"ran at {[run.upstream for run in runs]}", attempt.id)
    if runs and attempt.end is End.ANSWERED and attempt.status in PROMISES:
        yield Breach("REFUSED", f"{attempt.status} though it ran", attempt.id)


def _check_unasked(history: History, by_attempt: dict[str, list[Arrival]]) -> Iterator[Breach]:
    for name, arrivals in by_attempt.items():
        attempt = history.attempts.get(name)
        for arrival in arrivals:
            sent = attempt and (attempt.method, attempt.target, attempt.body)
            if sent != (arrival.method, arrival.target, arrival.body):
                yield Breach("UNASKED", f"{arrival.upstream} got another request", name)
                continue
            allowed = set().union(
                *(version.routes.get(attempt.prefix, ()) for version in history.versions)
            )
            if arrival.ran and arrival.service not in allowed:
                yield Breach("ROUTE", f"ran at {arrival.service}", name)


def _check_limits(history: History, by_attempt: dict[str, list[Arrival]]) -> Iterator[Breach]:
    """No more upstreams for a request than its route allows."""
    beyond = []
    for name, arrivals in by_attempt.items():
        used: dict[str, set[str]] = defaultdict(set)
        for arrival in arrivals:
            ended_ms = history.ended_upstreams.get(arrival.upstream, float("inf"))
            if arrival.ran and arrival.at_ms < ended_ms - TIMEOUT_MS:
                used[arrival.service].add(arrival.upstream)
        if any(len(upstreams) > MAX_UPSTREAMS for upstreams in used.values()):
            beyond.append(name)
    if len(beyond) > FEW:
        yield Breach("BUDGET", f"{len(beyond)} requests ran at too many upstreams", beyond[0])


def _check_departures(history: History) -> Iterator[Breach]:
    """Nothing for upstreams that have left, for domains that are out, or for callers that left."""
    late_for_callers = []
    for arrival in history.arrivals:
        attempt = history.attempts.get(arrival.attempt)
        if attempt is None:
            continue
        at_ms = arrival.at_ms
        in_touch = _is_in_touch(history, attempt.instance, at_ms)
        calm_link = history.is_calm(at_ms - CONTACT_MS, at_ms, arrival.upstream)
        if not in_touch or not calm_link:
            continue
        left_ms = history.left_ms.get(arrival.upstream, float("inf"))
        if at_ms > left_ms + DRAIN_MS:
            yield Breach(
                "DRAIN", f"{arrival.upstream} left {at_ms - left_ms:.0f} ms before", attempt.id
            )
        for domain, out_ms, back_ms in history.out:
            if arrival.domain == domain and out_ms + EVACUATE_MS < at_ms < back_ms:
                yield Breach("EVAC", f"{domain} out for {at_ms - out_ms:.0f} ms", attempt.id)
        if attempt.end is End.LEFT and at_ms > attempt.ended_ms + GONE_MS:
            late_for_callers.append(attempt.id)
    if len(late_for_callers) > FEW:
        yield Breach("GONE", f"{len(late_for_callers)} calls for callers gone", late_for_callers[0])


def _check_cold(history: History) -> Iterator[Breach]:
    """No more for a cold upstream in any second than it can bear."""
    bound = COLD_PER_S * COLD_OVERSHOOT + COLD_SLACK
    for upstream, (start_ms, end_ms) in history.cold.items():
        times = sorted(
            arrival.at_ms
            for arrival in history.arrivals
            if arrival.upstream == upstream and start_ms <= arrival.at_ms <= end_ms
        )
        for number, at_ms in enumerate(times):
            count = sum(1 for other in times[number:] if other < at_ms + 1_000.0)
            if count > bound:
                yield Breach("FAILBACK", f"{count} requests in a second for cold {upstream}")
                break


def _check_times(history: History) -> Iterator[Breach]:
    """An answer by the route's time-out, at instances in touch."""
    late = [
        attempt.id
        for attempt in history.attempts.values()
        if attempt.end in (End.ANSWERED, End.TIMED_OUT, End.CLOSED)
        and attempt.ended_ms - attempt.sent_ms > TIMEOUT_MS + 500.0
        and history.is_calm(
            attempt.sent_ms - CONTACT_MS, attempt.ended_ms, attempt.instance, "store"
        )
    ]
    if len(late) > FEW:
        yield Breach("CONFIG", f"{len(late)} requests had no answer at their time-out", late[0])


def _check_stop(history: History, attempt: Attempt, arrivals: list[Arrival]) -> Iterator[Breach]:
    """A planned stop cuts no request that was read."""
    if attempt.end is not End.CLOSED:
        return
    upstreams = {arrival.upstream for arrival in arrivals}
    for instance, term_ms, ended_ms in history.stops:
        if instance != attempt.instance or not term_ms <= attempt.ended_ms <= ended_ms + 1_000.0:
            continue
        waited_ms = attempt.ended_ms - attempt.sent_ms
        was_read = bool(arrivals) or waited_ms > LOSS_SLACK_MS
        from_ms = attempt.sent_ms - CONTACT_MS
        scopes = (instance, "store", *upstreams)
        calm = history.is_calm(from_ms, attempt.ended_ms, *scopes, planned=False)
        in_time = attempt.sent_ms <= term_ms + 3_000.0 or waited_ms < TIMEOUT_MS
        if was_read and calm and in_time and waited_ms < TIMEOUT_MS:
            yield Breach(
                "LOST", f"cut {attempt.ended_ms - term_ms:.0f} ms after SIGTERM", attempt.id
            )


def _list_versions(
    history: History, attempt: Attempt, by_attempt: dict[str, list[Arrival]]
) -> list[int]:
    """Return the indexes of the versions that allow what was done with a request, or nothing."""
    services = {arrival.service for arrival in by_attempt.get(attempt.id, ()) if arrival.ran}
    is_denied = attempt.end is End.ANSWERED and attempt.status == 404
    if not services and not is_denied:
        return []
    return [
        index
        for index, version in enumerate(history.versions)
        if (attempt.prefix not in version.routes) == is_denied
        and services <= version.routes.get(attempt.prefix, frozenset())
    ]


def _check_versions(history: History, by_attempt: dict[str, list[Arrival]]) -> Iterator[Breach]:
    """A version is in force everywhere in time, and no instance goes back behind one."""
    seen: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for attempt in sorted(history.attempts.values(), key=lambda attempt: attempt.sent_ms):
        versions = _list_versions(history, attempt, by_attempt)
        if not versions:
            continue
        newest = max(versions)
        due = [
            index
            for index, version in enumerate(history.versions)
            if version.acked_ms + CONFIG_APPLY_MS < attempt.sent_ms
        ]
        in_touch = _is_in_touch(history, attempt.instance, attempt.sent_ms)
        if due and newest < max(due) and in_touch:
            number = history.versions[max(due)].number
            yield Breach("CONFIG", f"{attempt.prefix} as before version {number}", attempt.id)
        key = (attempt.instance, history.find_incarnation(attempt.instance, attempt.sent_ms))
        known = [index for at_ms, index in seen[key] if at_ms + ROLLBACK_SLACK_MS < attempt.sent_ms]
        if known and newest < max(known):
            number = history.versions[max(known)].number
            yield Breach("CONFIG", f"{attempt.prefix} behind version {number}, seen", attempt.id)
        seen[key].append((attempt.ended_ms, min(versions)))


def _check_calm(history: History, calm_from_ms: float) -> Iterator[Breach]:
    """After all faults have ended, nearly everything is served."""
    ends: Counter[str] = Counter()
    example = ""
    for attempt in history.attempts.values():
        # The end of the run cuts off what is in progress. Whatever is for longer than a caller's
        # patience has an end.
        if attempt.sent_ms < calm_from_ms or attempt.end in (End.LEFT, None):
            continue
        is_served = attempt.end is End.ANSWERED and attempt.status == 200
        is_dropped = attempt.prefix not in history.versions[-1].routes
        is_served = is_served or (attempt.status == 404 and is_dropped)
        label = "served" if is_served else f"{attempt.end} {attempt.status}"
        ends[label] += 1
        example = example if is_served else attempt.id
    total = sum(ends.values())
    if total and ends["served"] < CALM_SHARE * total:
        yield Breach("RECOVER", f"after the faults: {dict(ends)}", example)
