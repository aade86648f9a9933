"""Merges the parts of a query: the greatest fixed-size records of all of them."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def merge_records(bodies: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records, falling; a shorter remainder of a body is no record."""
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top_k, records))
