"""Selects one index version for a query, and non-overlapping shards that cover the key space."""

from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from ..coverage import compute_share
from ..models import KeyRange, UpstreamIndex, UpstreamState

_SERVING = frozenset({UpstreamState.READY, UpstreamState.WARMING})


class ShardSource(NamedTuple):
    """A shard and the upstreams that can serve it at the pinned version."""

    shard: str
    range: KeyRange
    upstreams: tuple[str, ...]


class Snapshot(NamedTuple):
    """The pinned version, the shards to query and the share of the key space that they cover.

    `version` is 0 if no upstream can serve any shard.
    """

    version: int
    sources: tuple[ShardSource, ...]
    share: float


EMPTY_SNAPSHOT = Snapshot(0, (), 0.0)


def pin_snapshot(indexes: Sequence[UpstreamIndex], after_version: int = 0) -> Snapshot:
    """Return the snapshot with the largest coverage; among equals, the newest version.

    Only versions above `after_version` are considered: a restarted query must use a newer version.
    """
    by_version = _collect_sources(indexes)
    best = EMPTY_SNAPSHOT
    for version in sorted(by_version, reverse=True):
        if version <= after_version:
            break
        sources = choose_tiling(by_version[version])
        share = compute_share(source.range for source in sources)
        if share > best.share:
            best = Snapshot(version, sources, share)
    return best


def _collect_sources(indexes: Iterable[UpstreamIndex]) -> dict[int, list[ShardSource]]:
    upstreams: dict[tuple[int, str, KeyRange], list[str]] = {}
    for index in indexes:
        if index.state not in _SERVING:
            continue
        for shard in index.shards:
            for version in shard.versions:
                key = (version, shard.shard, shard.range)
                upstreams.setdefault(key, []).append(index.upstream)
    by_version: dict[int, list[ShardSource]] = {}
    for (version, shard, key_range), names in upstreams.items():
        source = ShardSource(shard, key_range, tuple(sorted(names)))
        by_version.setdefault(version, []).append(source)
    return by_version


def choose_tiling(sources: Iterable[ShardSource]) -> tuple[ShardSource, ...]:
    """Return non-overlapping shards with maximum coverage; among equals, the fewest shards.

    While shards are being split or merged, a parent and its children can serve the same version;
    counting both would return rows twice and overstate coverage. The algorithm is weighted
    interval scheduling.
    """
    ordered = sorted(sources, key=lambda source: (source.range.high, source.range.low))
    ends = [source.range.high for source in ordered]
    # best[i] is the best (number of keys covered, minus number of shards) of the first i shards.
    best: list[tuple[int, int]] = [(0, 0)]
    is_chosen: list[bool] = []
    previous: list[int] = []
    for position, source in enumerate(ordered):
        before = bisect_right(ends, source.range.low, 0, position)
        covered, count = best[before]
        including = (covered + source.range.size, count - 1)
        is_chosen.append(including > best[position])
        previous.append(before)
        best.append(max(including, best[position]))
    return _reconstruct_tiling(ordered, is_chosen, previous)


def _reconstruct_tiling(
    ordered: list[ShardSource], is_chosen: list[bool], previous: list[int]
) -> tuple[ShardSource, ...]:
    chosen: list[ShardSource] = []
    position = len(ordered)
    while position > 0:
        if is_chosen[position - 1]:
            chosen.append(ordered[position - 1])
            position = previous[position - 1]
        else:
            position -= 1
    return tuple(reversed(chosen))
