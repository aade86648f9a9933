"""Decodes the teams in the operator's configuration, which the platform calls tenants."""

import re
from typing import Any

from ..policy.catalog import Team
from .fields import DocumentError, require_field

# A key is sent in a header field after the scheme, so it has no spaces or control characters.
_KEY = re.compile(r"[\x21-\x7e]{1,200}")
# The name of a team is sent to upstreams in a header field.
_NAME = re.compile(r"[\x21-\x7e]{1,200}")


def decode_teams(items: Any) -> dict[str, Team]:
    """Return the teams by key; raise DocumentError, which never quotes a key, if one is invalid."""
    if not isinstance(items, list):
        raise DocumentError("field tenants is not a list")
    teams_by_key: dict[str, Team] = {}
    names: set[str] = set()
    for item in items:
        team = _decode_team(item)
        if team.name in names:
            raise DocumentError(f"team {team.name} is listed twice")
        names.add(team.name)
        for key in require_field(item, "api_keys", list):
            if not isinstance(key, str) or not _KEY.fullmatch(key):
                raise DocumentError(f"a key of team {team.name} is not printable ASCII")
            if teams_by_key.setdefault(key, team) is not team:
                raise DocumentError(f"a key of team {team.name} also belongs to another team")
    return teams_by_key


def _decode_team(item: Any) -> Team:
    name = require_field(item, "name", str)
    if not _NAME.fullmatch(name):
        raise DocumentError("the name of a team is not printable ASCII")
    return Team(
        name,
        require_field(item, "priority", int) if item.get("priority") is not None else None,
        _read_amount(item, "rate_per_s"),
        _read_amount(item, "burst"),
    )


def _read_amount(item: dict[str, Any], name: str) -> float:
    """Return the field `name`, 0 if it is missing; raise DocumentError if it is negative."""
    if item.get(name) is None:
        return 0.0
    amount = float(require_field(item, name, (int, float)))
    if amount < 0:
        raise DocumentError(f"field {name} is negative")
    return amount
