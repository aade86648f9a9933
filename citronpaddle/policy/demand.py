"""Demand: the priority, team and weight that order a request among others that wait."""

from typing import NamedTuple

from .catalog import Catalog, Route, Team


class Demand(NamedTuple):
    """Whose request it is: its priority (lower is more urgent), team and the team's weight.

    `team` is empty where callers are not identified. When capacity is short, teams of equal
    priority share it in proportion to their weights.
    """

    priority: int = 0
    team: str = ""
    weight: float = 1.0


def make_demand(route: Route, team: Team | None, catalog: Catalog) -> Demand:
    """Return the demand of a request; a team's priority precedes that of the route.

    The weight is the rate of the team's quota, which all instances know; that of a team without a
    quota is the mean rate of all quotas.
    """
    if team is None:
        return Demand(route.priority)
    priority = route.priority if team.priority is None else team.priority
    weight = team.rate_per_s if team.has_quota else catalog.mean_quota_per_s
    return Demand(priority, team.name, weight)
