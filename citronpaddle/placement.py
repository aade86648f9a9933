"""Explains where a request would go now, and why, for operators; it changes nothing."""

import json
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import parse_qsl

from .adapters.httpserver import HttpAnswer, HttpRequest
from .callercodec import CallerCodec
from .clock import Clock
from .policy.catalog import Catalog, Route, Team
from .policy.demand import make_demand
from .policy.latencies import RouteLatencies
from .policy.partialanswers import meets_min_coverage
from .policy.placement import ServicePlacement, Step, find_placement
from .policy.selection import Selector
from .policy.sharing import Sharing
from .sharedstate import SharedState
from .teamquotas import TeamQuotas

PLACEMENT_PATH = b"/placement"
# Bounds of the answer: services in full, upstreams of each, and services of a split.
MAX_SERVICES = 16
MAX_CANDIDATES = 32
MAX_TARGETS = 64
# Bound of the query, which an operator types.
MAX_QUERY_BYTES = 2_048
# A first call that is not made at once, but would be made later.
WAITING_STEPS = (Step.QUEUE, Step.WAIT_FOR_PERMIT, Step.WAIT_FOR_ROOM)

_JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class PlacementQuery(NamedTuple):
    """A request to explain: the host and path that a caller would send, and the team's name."""

    host: str
    path: str
    team: str | None


def parse_query(target: bytes) -> PlacementQuery | None:
    """Return the query in the target of a request, or None if it is malformed."""
    query = target.partition(b"?")[2]
    if len(query) > MAX_QUERY_BYTES:
        return None
    try:
        pairs = parse_qsl(
            query.decode("ascii"), keep_blank_values=True, strict_parsing=True, errors="strict"
        )
    except ValueError:
        return None
    fields = dict(pairs)
    if len(fields) != len(pairs) or fields.keys() - set(PlacementQuery._fields):
        return None
    if not all(value.isprintable() and value for value in fields.values()):
        return None
    if "host" not in fields or not fields.get("path", "").startswith("/"):
        return None
    return PlacementQuery(fields["host"], fields["path"], fields.get("team"))


class PlacementReporter:
    """Answers where a request would go from this instance, from the state of its decisions."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        codec: CallerCodec,
        state: SharedState,
        selector: Selector,
        sharing: Sharing,
        quotas: TeamQuotas,
        latencies: RouteLatencies,
        accepts_requests: Callable[[], bool],
    ) -> None:
        """`accepts_requests` returns whether requests are admitted, False late in a stop."""
        self._name = name
        self._clock = clock
        self._codec = codec
        self._state = state
        self._selector = selector
        self._sharing = sharing
        self._quotas = quotas
        self._latencies = latencies
        self._accepts_requests = accepts_requests

    def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer with the report as JSON, or 400 to a malformed query."""
        query = parse_query(request.target) if request.method == b"GET" else None
        if query is None:
            return HttpAnswer(400, (), b"expected GET with host, path and, if needed, team\n")
        caller_request = self._codec.read_request(
            HttpRequest(b"GET", query.path.encode(), ((b"Host", query.host.encode()),), b"", 0.0)
        )
        if caller_request is None:
            return HttpAnswer(400, (), b"not a host and path that a caller can send\n")
        report = self.report(caller_request.host, caller_request.path, query.team)
        return HttpAnswer(200, _JSON_HEADERS, json.dumps(report).encode())

    def report(self, host: str, path: str, team_name: str | None) -> dict[str, Any]:
        """Return where a request of a team would go, in the form of the JSON answer."""
        catalog = self._state.catalog
        report: dict[str, Any] = {
            "instance": self._name,
            "outcome": "refused",
            "reason": None,
            "configuration_version": catalog.version if catalog is not None else None,
            "state_age_ms": round(self._clock.now_ms() - self._state.confirmed_ms),
        }
        if catalog is None:
            return report | {"reason": "no_configuration"}
        route = catalog.find_route(host, path)
        if route is None:
            return report | {"reason": "no_route"}
        report["route"] = _describe_route(route)
        team = catalog.find_team_by_name(team_name) if team_name is not None else None
        if team_name is not None and team is None:
            # The name is not repeated: it may be a key that was given by mistake.
            return report | {"reason": "unknown_team"}
        report |= self._describe_team(route, team, catalog)
        report |= self._describe_services(route)
        reason = self._find_refusal(route, team, catalog, report)
        if reason is not None:
            return report | {"reason": reason}
        return report | {"outcome": _find_outcome(report)}

    def _find_refusal(
        self, route: Route, team: Team | None, catalog: Catalog, report: dict[str, Any]
    ) -> str | None:
        """Return why a request would be refused at once, or None."""
        if team is None and catalog.has_teams and not route.is_public:
            return "no_key"
        if not self._accepts_requests():
            return "stopping"
        if team is not None and report["team"]["quota"] and report["team"]["quota"]["wait_ms"] > 0:
            return "over_quota"
        listed = report["services_listed"]
        if route.shards:
            is_enough = meets_min_coverage(route, listed, len(route.shards))
            return None if is_enough else "too_few_shards"
        return "no_upstream" if listed == 0 else None

    def _describe_team(self, route: Route, team: Team | None, catalog: Catalog) -> dict[str, Any]:
        has_priority = team is not None and team.priority is not None
        fields: dict[str, Any] = {
            "priority": make_demand(route, team, catalog).priority,
            "priority_of": "team" if has_priority else "route",
            "team": None,
        }
        if team is None:
            return fields
        quota = None
        if team.has_quota:
            preview = self._quotas.preview(team)
            quota = {
                "rate_per_s": team.rate_per_s,
                "burst": team.burst,
                "tokens": round(preview.tokens, 1),
                "wait_ms": round(preview.wait_ms, 1),
                "admitted": round(preview.state.known),
                "kept_for_others": round(preview.state.reserved, 1),
                "instances_cut_off": preview.state.cut_off,
            }
        return fields | {"team": {"name": team.name, "quota": quota}}

    def _describe_services(self, route: Route) -> dict[str, Any]:
        """Return the services of a route; of shards, only the unusual ones are in full."""
        names = route.shards or tuple(target.service for target in route.targets)
        now_ms = self._clock.now_ms()
        late_threshold_ms = self._latencies.get_late_threshold_ms(route)
        placements = [
            find_placement(
                self._selector, self._state.registry, self._sharing, name, late_threshold_ms, now_ms
            )
            for name in names
        ]
        shown = [one for one in placements if one.is_unusual] if route.shards else placements
        return {
            "late_threshold_ms": round(late_threshold_ms, 1),
            "services_total": len(placements),
            "services_listed": sum(one.step is not Step.NO_UPSTREAM for one in placements),
            "services_waiting": sum(one.step in WAITING_STEPS for one in placements),
            "services_as_usual": sum(not one.is_unusual for one in placements),
            "services": [_describe_service(one) for one in shown[:MAX_SERVICES]],
        }


def _find_outcome(report: dict[str, Any]) -> str:
    """Return what happens to a request that is not refused at once.

    Where the services of a split differ, it depends on which of them is next.
    """
    waiting, listed, total = (
        report[name] for name in ("services_waiting", "services_listed", "services_total")
    )
    if not report["route"]["is_sharded"] and (listed < total or 0 < waiting < total):
        return "varies"
    return "waits" if waiting else "calls"


def _describe_route(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "prefix": route.prefix,
        "is_public": route.is_public,
        "is_sharded": bool(route.shards),
        "objective_ms": route.objective_ms,
        "min_coverage": route.min_coverage,
        "weights": {one.service: one.weight for one in route.targets[:MAX_TARGETS]},
    }


def _describe_service(placement: ServicePlacement) -> dict[str, Any]:
    return {
        "service": placement.service,
        "step": placement.step.value,
        "upstream": placement.upstream,
        "wait_ms": placement.wait_ms,
        **placement.load._asdict(),
        "candidates_total": len(placement.candidates),
        "candidates": [one._asdict() for one in placement.candidates[:MAX_CANDIDATES]],
    }
