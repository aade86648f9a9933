"""The merge of parts into the greatest records."""

from citronpaddle.policy.records import RECORD_BYTES, merge_records


def record(number):
    return number.to_bytes(RECORD_BYTES, "big")


def test_greatest_records_of_all_parts_come_falling():
    """Guards against MIXED: a body that is not the greatest records in falling order."""
    bodies = [record(3) + record(9), record(7) + record(1)]
    assert merge_records(bodies, 3) == record(9) + record(7) + record(3)


def test_equal_records_all_count():
    """Guards against dropping a record that two shards hold."""
    assert merge_records([record(5), record(5)], 5) == record(5) * 2


def test_remainder_of_a_body_is_no_record():
    """Guards against a short record at the end of a body."""
    assert merge_records([record(5) + b"\xff" * 15], 5) == record(5)


def test_no_records_make_an_empty_body():
    """Guards against failing on empty parts."""
    assert merge_records([b"", b"abc"], 5) == b""
