"""Coverage of the key space by key ranges."""

from collections.abc import Iterable

from .models import KEY_SPACE_SIZE, Coverage, KeyRange

WHOLE_KEY_SPACE = KeyRange(0, KEY_SPACE_SIZE)


def merge_ranges(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return the union of `ranges` as sorted ranges that neither overlap nor touch."""
    merged: list[KeyRange] = []
    for item in sorted(ranges):
        if item.size <= 0:
            continue
        if merged and item.low <= merged[-1].high:
            merged[-1] = KeyRange(merged[-1].low, max(merged[-1].high, item.high))
        else:
            merged.append(KeyRange(*item))
    return tuple(merged)


def find_gaps(
    ranges: Iterable[KeyRange], within: KeyRange = WHOLE_KEY_SPACE
) -> tuple[KeyRange, ...]:
    """Return the sorted parts of `within` that no range covers."""
    gaps: list[KeyRange] = []
    position = within.low
    for item in merge_ranges(ranges):
        if item.low > position:
            gaps.append(KeyRange(position, min(item.low, within.high)))
        position = max(position, item.high)
        if position >= within.high:
            return tuple(gaps)
    gaps.append(KeyRange(position, within.high))
    return tuple(gaps)


def compute_share(ranges: Iterable[KeyRange]) -> float:
    """Return the covered share of the key space, from 0.0 to 1.0."""
    return sum(item.size for item in merge_ranges(ranges)) / KEY_SPACE_SIZE


def measure_coverage(ranges: Iterable[KeyRange], reasons: Iterable[str] = ()) -> Coverage:
    """Return the coverage of an answer made of `ranges`; `reasons` explain the missing parts."""
    covered = tuple(ranges)
    return Coverage(compute_share(covered), find_gaps(covered), tuple(sorted(set(reasons))))
