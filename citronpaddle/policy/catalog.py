"""Catalog of HTTP routes and teams from the operators' configuration, and their lookup."""

from collections.abc import Mapping
from typing import NamedTuple

# Upper bound of the choices that a rotation skips initially.
MAX_START_STEPS = 16


class WeightedService(NamedTuple):
    """One service of a split route; requests are distributed in proportion to the weights."""

    service: str
    weight: float


class Route(NamedTuple):
    """Destination and limits of the requests for one host and path prefix.

    A route has either `shards`, all of which contribute to every answer, or `targets`, one of which
    serves the request. `max_upstreams` limits the upstreams of one request, per shard. An answer
    over shards needs at least the share `min_coverage` (0 to 1) of them. A lower `priority` is more
    urgent. Requests on a route that `is_public` need no key.
    """

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    max_upstreams: int
    targets: tuple[WeightedService, ...] = ()
    shards: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 1.0
    is_public: bool = False


class Team(NamedTuple):
    """A team of callers; its keys are known to the catalog alone, so that no log line has them.

    `priority`, if set, takes precedence over the priority of the route. In any time, the team may
    send `rate_per_s` requests per second and `burst` more, summed over all instances; a rate of 0
    means no quota.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Return whether the team's request rate is limited."""
        return self.rate_per_s > 0


class ServiceLimits(NamedTuple):
    """Limits for each upstream of a service, summed over all callers.

    A cold upstream sustains `cold_rate_per_s` requests per second; 0 means no such limit.
    """

    name: str
    max_connections: int
    cold_ms: float
    cold_rate_per_s: float
    health_path: str = "/"


class CallerLimits(NamedTuple):
    """Size limits of callers' requests, and timeouts for headers and idle connections."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_048_576
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class Catalog:
    """One version of the configuration; immutable once built."""

    def __init__(
        self,
        version: int,
        routes: tuple[Route, ...],
        services: tuple[ServiceLimits, ...],
        limits: CallerLimits,
        teams_by_key: Mapping[str, Team] | None = None,
    ) -> None:
        """Without `teams_by_key`, callers need no keys; an empty mapping refuses all of them."""
        self.version = version
        self.routes = routes
        self.limits = limits
        self.services = {service.name: service for service in services}
        self._teams_by_key = teams_by_key
        # The teams that hold at least one key.
        self.teams = frozenset((teams_by_key or {}).values())
        quotas = [team.rate_per_s for team in self.teams if team.has_quota]
        # The mean rate of the quotas; any value if there are none, since all teams weigh the same.
        self.mean_quota_per_s = sum(quotas) / len(quotas) if quotas else 1.0
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = route

    @property
    def has_teams(self) -> bool:
        """Return whether callers are identified by keys."""
        return self._teams_by_key is not None

    def find_team(self, key: str) -> Team | None:
        """Return the team that holds `key`, or None for an unknown or withdrawn key."""
        return (self._teams_by_key or {}).get(key)

    def find_team_by_name(self, name: str) -> Team | None:
        """Return the team of that name, or None if there is none that holds a key."""
        return next((team for team in self.teams if team.name == name), None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path` at `host`, or None.

        Every prefix ends in a slash, so the number of lookups is bounded by the path's segments.
        """
        routes = self._routes_by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRotation:
    """Smooth weighted round robin over the services of a split route."""

    def __init__(self, targets: tuple[WeightedService, ...], phase: float) -> None:
        """Begin at the fraction `phase` (0 to 1) of a cycle, so that instances are out of phase."""
        self._targets = targets
        self._total_weight = sum(target.weight for target in targets)
        self._credits = [0.0] * len(targets)
        if self._total_weight > 0 and len(targets) > 1:
            for _ in range(int(phase * MAX_START_STEPS)):
                self.choose()

    def choose(self) -> str:
        """Return the service of the next request."""
        if len(self._targets) == 1 or self._total_weight <= 0:
            return self._targets[0].service
        for index, target in enumerate(self._targets):
            self._credits[index] += target.weight
        best = max(range(len(self._targets)), key=self._credits.__getitem__)
        self._credits[best] -= self._total_weight
        return self._targets[best].service
