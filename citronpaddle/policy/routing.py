"""Chooses a replica for each shard by own observation and groups the shards by upstream."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..models import UpstreamState
from ..randomness import RandomSource
from .snapshot import ShardSource

# Weight of the newest observation in the moving average of latency.
LATENCY_GAIN = 0.1
# An upstream that refused or lost a call is chosen last for this long.
PENALTY_MS = 2000.0
# Instances that see the same figures must not all choose the same replica.
COST_JITTER = 0.2
# An upstream that is not called shows no recovery, so what was observed of it fades: after a cold
# start its slow replies would otherwise keep every call away for good.
EXCESS_HALF_LIFE_MS = 2_000.0


class ReplicaInfo(NamedTuple):
    """What the index says of one upstream that can be chosen."""

    upstream: str
    owner: str
    state: UpstreamState
    allowance: int
    distance_ms: float


@dataclass(slots=True)
class _Observation:
    latency_ms: float = 0.0
    in_flight: int = 0
    penalty_until_ms: float = 0.0
    last_seen_ms: float = 0.0


class ReplicaChoice(ABC):
    """Picks one upstream out of several for a shard."""

    @abstractmethod
    def pick(self, candidates: list[ReplicaInfo], now_ms: float) -> ReplicaInfo:
        """Return one of `candidates`, which is not empty."""

    @abstractmethod
    def record_start(self, upstream: str) -> None:
        """Note that a sub-request was sent."""

    @abstractmethod
    def record_end(self, upstream: str, latency_ms: float, is_good: bool, now_ms: float) -> None:
        """Note that a sub-request ended, well or not."""

    @abstractmethod
    def record_discarded(self, upstream: str) -> None:
        """Note that a sub-request ended without saying anything about the upstream."""


class UniformChoice(ReplicaChoice):
    """Baseline: every replica is as likely as the others."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def pick(self, candidates: list[ReplicaInfo], now_ms: float) -> ReplicaInfo:
        return self._random.choice(candidates)

    def record_start(self, upstream: str) -> None:
        pass

    def record_end(self, upstream: str, latency_ms: float, is_good: bool, now_ms: float) -> None:
        pass

    def record_discarded(self, upstream: str) -> None:
        pass


class ObservedChoice(ReplicaChoice):
    """Picks by own latency and own calls in flight; health endpoints lag or mislead."""

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._observations: dict[str, _Observation] = {}

    def pick(self, candidates: list[ReplicaInfo], now_ms: float) -> ReplicaInfo:
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=lambda candidate: self._cost(candidate, now_ms))

    def record_start(self, upstream: str) -> None:
        self._observe(upstream).in_flight += 1

    def record_end(self, upstream: str, latency_ms: float, is_good: bool, now_ms: float) -> None:
        self.record_discarded(upstream)
        observation = self._observe(upstream)
        if not is_good:
            observation.penalty_until_ms = now_ms + PENALTY_MS
            return
        if observation.latency_ms == 0.0:
            observation.latency_ms = latency_ms
        observation.latency_ms += LATENCY_GAIN * (latency_ms - observation.latency_ms)
        observation.last_seen_ms = now_ms

    def record_discarded(self, upstream: str) -> None:
        observation = self._observe(upstream)
        observation.in_flight = max(0, observation.in_flight - 1)

    def prune(self, known: Collection[str]) -> None:
        """Drop what was observed of upstreams that are not in `known`."""
        for upstream in [name for name in self._observations if name not in known]:
            del self._observations[upstream]

    def _observe(self, upstream: str) -> _Observation:
        return self._observations.setdefault(upstream, _Observation())

    def _cost(self, candidate: ReplicaInfo, now_ms: float) -> tuple[bool, float]:
        observation = self._observations.get(candidate.upstream) or _Observation()
        # An idle replica is not charged for a low allowance: only calls raise it, and a replica
        # that gets none stays cold and can take no hedge either.
        load = observation.in_flight / max(1, candidate.allowance)
        # An observed latency already contains the way there and back.
        default_ms = 1.0 + 2 * candidate.distance_ms
        latency_ms = observation.latency_ms or default_ms
        if latency_ms > default_ms:
            age_ms = max(0.0, now_ms - observation.last_seen_ms)
            latency_ms = default_ms + (latency_ms - default_ms) * 0.5 ** (
                age_ms / EXCESS_HALF_LIFE_MS
            )
        expected_ms = latency_ms * (1 + load)
        noise = 1.0 + COST_JITTER * self._random.random()
        return observation.penalty_until_ms > now_ms, expected_ms * noise


class Routing(NamedTuple):
    """Shards by upstream, and the shards that no usable upstream serves."""

    groups: dict[str, tuple[ShardSource, ...]]
    unserved: tuple[ShardSource, ...]


def route_shards(
    sources: Iterable[ShardSource],
    replicas: Mapping[str, ReplicaInfo],
    choice: ReplicaChoice,
    now_ms: float,
    excluded: Collection[str] = (),
) -> Routing:
    """Choose an upstream for each shard.

    Shards with the same replicas go to the same upstream in one call, because the cost of a query
    lies in the number of its calls.
    """
    groups: dict[str, list[ShardSource]] = {}
    unserved: list[ShardSource] = []
    chosen_by_replicas: dict[tuple[str, ...], str] = {}
    for source in sources:
        upstream = chosen_by_replicas.get(source.upstreams)
        if upstream is None:
            candidates = _list_candidates(source, replicas, excluded)
            upstream = choice.pick(candidates, now_ms).upstream if candidates else ""
            chosen_by_replicas[source.upstreams] = upstream
        if upstream:
            groups.setdefault(upstream, []).append(source)
        else:
            unserved.append(source)
    return Routing({name: tuple(items) for name, items in groups.items()}, tuple(unserved))


def _list_candidates(
    source: ShardSource, replicas: Mapping[str, ReplicaInfo], excluded: Collection[str]
) -> list[ReplicaInfo]:
    return [
        replicas[name]
        for name in source.upstreams
        if name in replicas and name not in excluded and replicas[name].owner
    ]
