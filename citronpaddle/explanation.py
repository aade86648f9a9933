"""Explains what happened to one request from the log lines of one or more instances."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

# Events that change the state on which a request is routed; those just before it are shown.
STATE_EVENTS = frozenset(
    {
        "configuration_taken",
        "configuration_refused",
        "store_lost",
        "store_regained",
        "history_lost",
        "watch_silent",
        "domains_out",
        "upstream_listed",
        "upstream_gone",
        "upstream_limited",
        "upstream_paced",
        "team_over_quota",
        "stopping",
    }
)
# State changes that are older than this seldom explain the outcome of a request.
STATE_WINDOW_MS = 10_000
# A watch without changes is answered after 25 s; after more than this the store is not answering.
STALE_STATE_MS = 30_000

FINDINGS = {
    "unreachable": "the list of upstreams names one that does not accept connections",
    "misdirected": "the list of upstreams names an address that another upstream has taken over",
    "rejected": "the upstream was at capacity, or the request timed out in its queue",
    "broken": "the connection closed after the request was sent: it may have run",
    "garbled": "the upstream sent a malformed or incomplete response",
    "error": "the upstream ran the request and failed",
}

# Explanations of a refusal by the reason in its log line.
REFUSALS = {
    "no_upstream": "no upstream was listed for the request, or for too many of its shards",
    "too_few_shards": "no upstream was listed for the request, or for too many of its shards",
    "no_key": "the request had no usable key, and its route is not public",
    "unknown_key": "no team holds the key in this version of the configuration",
    "limited": "all upstreams of the service name a rate limit, which was used up",
}


class RequestReport(NamedTuple):
    """The log lines about a request in order, state changes just before it, and the findings."""

    request_id: str
    lines: tuple[dict[str, Any], ...]
    state: tuple[dict[str, Any], ...]
    findings: tuple[str, ...]


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the JSON log objects in these lines; text before an object is skipped."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # A truncated line, or a line of another program.
            continue
        if isinstance(line, dict) and "event" in line:
            yield line


def explain(request_id: str, lines: Iterable[dict[str, Any]]) -> RequestReport | None:
    """Return the report on a request, or None if no line is about it."""
    ordered = sorted(lines, key=lambda line: line.get("time_ms", 0))
    request_lines = tuple(line for line in ordered if line.get("id") == request_id)
    if not request_lines:
        return None
    teams = {line["team"] for line in request_lines if "team" in line}
    instances = {line.get("instance") for line in request_lines}
    called_upstreams = _list_called_upstreams(request_lines)
    first_ms, last_ms = request_lines[0].get("time_ms", 0), request_lines[-1].get("time_ms", 0)
    state = tuple(
        line
        for line in ordered
        if line["event"] in STATE_EVENTS
        and line.get("instance") in instances
        and first_ms - STATE_WINDOW_MS <= line.get("time_ms", 0) <= last_ms
        and _may_concern(line, called_upstreams, teams)
    )
    findings = tuple(dict.fromkeys(_derive_findings(request_lines, state)))
    return RequestReport(request_id, request_lines, state, findings)


def _may_concern(line: dict[str, Any], called_upstreams: set[str], teams: set[str]) -> bool:
    """Return whether a state change may have mattered to a request with these calls."""
    if line["event"] == "team_over_quota":
        return line.get("team") in teams
    # An upstream without a permit was not called, which is what its limit explains.
    is_limit = line["event"] == "upstream_limited"
    return is_limit or "upstream" not in line or line["upstream"] in called_upstreams


def _list_called_upstreams(request_lines: tuple[dict[str, Any], ...]) -> set[str]:
    called_upstreams = {line["upstream"] for line in request_lines if "upstream" in line}
    for line in request_lines:
        for _, tried, _ in line.get("missing_parts", ()):
            called_upstreams.update(tried)
    return called_upstreams


def _derive_findings(
    request_lines: tuple[dict[str, Any], ...], state: tuple[dict[str, Any], ...]
) -> Iterator[str]:
    for line in request_lines:
        if line["event"] == "call_failed":
            reason = FINDINGS.get(line.get("fault", ""), "the call failed")
            yield f"{line['upstream']} ({line['service']}): {reason}"
        for service, tried, fault in line.get("missing_parts", ()):
            called = ", ".join(tried) or "no upstream"
            yield f"part {service} is missing: {fault}, called {called}"
        if line.get("reason") in REFUSALS:
            yield REFUSALS[line["reason"]]
        if line.get("reason") == "over_quota":
            yield f"team {line.get('team')} had used up its quota over all instances"
        if "shortage" in line:
            yield _describe_shortage(line["shortage"])
        if line.get("state_age_ms", 0) > STALE_STATE_MS:
            yield f"the store did not answer for {line['state_age_ms']} ms: the state was stale"
    if any(line["event"] == "store_lost" for line in state):
        yield "the store was lost just before: the list of upstreams may have been stale"


def _describe_shortage(shortage: dict[str, Any]) -> str:
    """Return why a request was given up for lack of room."""
    cause = (
        f"its upstreams rejected calls, which limited it to {shortage['limit']} at a time"
        if shortage["limit"]
        else "its upstreams had no room"
    )
    return (
        f"service {shortage['service']} was full: {cause}; {shortage['ahead']} parts were before"
        f" this one, which would have started in {shortage['wait_ms']} ms and had"
        f" {shortage['left_ms']} ms to do so"
    )


def format_report(report: RequestReport) -> str:
    """Return the report as human-readable text."""
    rows = [f"request {report.request_id}"]
    for title, items in (
        ("state changes before the request:", map(_format_line, report.state)),
        ("events of the request:", map(_format_line, report.lines)),
        ("findings:", report.findings),
    ):
        indented = [f"  {item}" for item in items]
        rows += [title, *indented] if indented else []
    return "\n".join(rows)


def _format_line(line: dict[str, Any]) -> str:
    hidden = ("time_ms", "instance", "part", "event", "id")
    fields = " ".join(
        f"{name}={json.dumps(value)}" for name, value in line.items() if name not in hidden
    )
    return f"{line.get('time_ms')} {line.get('instance')} {line['event']} {fields}"
