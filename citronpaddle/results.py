"""Parses the JSON replies of upstreams and merges their rows."""

import heapq
import json
from collections.abc import Iterable
from typing import Any, NamedTuple

from .errors import ErrorKind, Failure
from .models import KeyRange, ShardRows


class UpstreamAnswer(NamedTuple):
    """The shards that an upstream answered; `missing` has (shard, reason) pairs for the others."""

    shards: tuple[ShardRows, ...]
    missing: tuple[tuple[str, str], ...]


def parse_answer(body: bytes) -> UpstreamAnswer | Failure:
    """Return the parsed `body`, or a failure of kind `upstream_error` if it is malformed."""
    try:
        document = json.loads(body)
        shards = tuple(_parse_shard(item) for item in document["shards"])
        missing = tuple((item["shard"], item["error"]) for item in document.get("missing", ()))
    except (ValueError, KeyError, TypeError) as error:
        return Failure(ErrorKind.UPSTREAM_ERROR, f"malformed reply from the upstream: {error!r}")
    return UpstreamAnswer(shards, missing)


def _parse_shard(item: dict[str, Any]) -> ShardRows:
    return ShardRows(
        item["shard"],
        KeyRange(int(item["low"]), int(item["high"])),
        int(item["version"]),
        tuple(_check_row(row) for row in item["rows"]),
    )


def _check_row(row: dict[str, Any]) -> dict[str, Any]:
    row["score"] = float(row["score"])
    row["key"] = str(row["key"])
    return row


def _sort_key(row: dict[str, Any]) -> tuple[float, str]:
    return -row["score"], row["key"]


def merge_rows(shards: Iterable[ShardRows], limit: int) -> tuple[tuple[dict[str, Any], ...], bool]:
    """Return the first `limit` rows by descending score, then key, and whether more exist."""
    rows = [row for shard in shards for row in shard.rows]
    if len(rows) <= limit:
        return tuple(sorted(rows, key=_sort_key)), False
    return tuple(heapq.nsmallest(limit, rows, key=_sort_key)), True
