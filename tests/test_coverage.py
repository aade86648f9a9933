"""Coverage must not count a key twice: replies from overlapping shards would overstate it."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from citronpaddle.coverage import compute_share, find_gaps, measure_coverage
from citronpaddle.models import KEY_SPACE_SIZE, KeyRange

BOUNDS = st.integers(0, KEY_SPACE_SIZE)
RANGES = st.lists(st.tuples(BOUNDS, BOUNDS).map(lambda pair: KeyRange(*sorted(pair))), max_size=12)


@seed(1)
@settings(deadline=None)
@given(RANGES)
def test_covered_and_missing_ranges_add_up_to_the_key_space(ranges):
    covered = compute_share(ranges) * KEY_SPACE_SIZE
    missing = sum(gap.size for gap in find_gaps(ranges))
    assert round(covered) + missing == KEY_SPACE_SIZE


def test_a_shard_that_is_counted_with_its_children_is_not_counted_twice():
    half = KEY_SPACE_SIZE // 2
    coverage = measure_coverage([KeyRange(0, half), KeyRange(0, half // 2)], ["upstream_down"])
    assert coverage.share == 0.5
    assert coverage.missing == (KeyRange(half, KEY_SPACE_SIZE),)
    assert not coverage.is_complete
