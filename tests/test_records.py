"""Merge of parts into their greatest records."""

from citronpaddle.policy.records import RECORD_BYTES, merge_records


def make_record(number):
    return number.to_bytes(RECORD_BYTES, "big")


def test_greatest_records_of_all_parts_are_in_descending_order():
    """Guards against a wrong selection or order of the merged records."""
    bodies = [make_record(3) + make_record(9), make_record(7) + make_record(1)]
    assert merge_records(bodies, 3) == make_record(9) + make_record(7) + make_record(3)


def test_equal_records_are_all_kept():
    """Guards against dropping a duplicate of a record that two shards have."""
    assert merge_records([make_record(5), make_record(5)], 5) == make_record(5) * 2


def test_trailing_partial_record_is_ignored():
    """Guards against returning a partial record at the end of a body."""
    assert merge_records([make_record(5) + b"\xff" * 15], 5) == make_record(5)


def test_parts_without_records_merge_to_an_empty_body():
    """Guards against failing on parts without records."""
    assert merge_records([b"", b"abc"], 5) == b""
