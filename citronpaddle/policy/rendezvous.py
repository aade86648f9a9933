"""Rendezvous hashing: a deterministic preference order of instances for a key."""

from collections.abc import Iterable

import xxhash


def compute_score(key: str, name: str) -> int:
    """Return the score of `name` for `key`; the highest score is preferred."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


def is_preferred(key: str, name: str, other: str) -> bool:
    """Return whether `name` ranks before `other` for `key`; equal scores go by name."""
    return (-compute_score(key, name), name) < (-compute_score(key, other), other)


def rank_candidates(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return `names` without duplicates, the most preferred first."""
    return tuple(sorted(set(names), key=lambda name: (-compute_score(key, name), name)))
