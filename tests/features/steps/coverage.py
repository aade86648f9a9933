"""Steps for coverage.feature."""

from behave import given, then, when

from citronpaddle.coverage import measure_coverage
from citronpaddle.models import KEY_SPACE_SIZE, KeyRange


@given("{count:d} shards of equal size")
def make_shards(context, count):
    size = KEY_SPACE_SIZE // count
    context.ranges = [KeyRange(i * size, (i + 1) * size) for i in range(count)]


@when("shard {number:d} does not reply")
def remove_shard(context, number):
    context.lost_range = context.ranges.pop(number - 1)


@then("the coverage is {share:f} and the third quarter of the key space is missing")
def check_coverage(context, share):
    coverage = measure_coverage(context.ranges)
    assert coverage.share == share
    assert coverage.missing == (context.lost_range,)
