"""Merges the parts of a query: selects the greatest fixed-size records of all parts."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records in descending order; ignore trailing partial records."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_k, records))
