"""Selects a replica for each shard by locally observed latency and groups shards by upstream."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..models import UpstreamState
from ..randomness import RandomSource
from .snapshot import ShardSource

# Weight of a new sample in the moving average of latency.
LATENCY_GAIN = 0.1
# After a failed call, other replicas are preferred to the upstream for this long.
PENALTY_MS = 2000.0
# Random share added to costs: instances with equal observations must not all choose one replica.
COST_JITTER = 0.2
# Half-life of the observed latency above the default. Without this decay, slow replies during a
# cold start would exclude an upstream permanently: without calls, no recovery is observed.
EXCESS_HALF_LIFE_MS = 2_000.0
# Assumed time in an upstream of which no latency has been observed.
DEFAULT_SERVICE_MS = 1.0


class ReplicaInfo(NamedTuple):
    """An upstream that can be chosen, as described in the index; `distance_ms` is one way."""

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
    """Selects one upstream among the replicas of a shard."""

    @abstractmethod
    def pick(self, candidates: list[ReplicaInfo], now_ms: float) -> ReplicaInfo:
        """Return one of `candidates`, which must not be empty."""

    @abstractmethod
    def record_start(self, upstream: str) -> None:
        """Record that a sub-request was sent."""

    @abstractmethod
    def record_end(self, upstream: str, latency_ms: float, is_good: bool, now_ms: float) -> None:
        """Record the latency and success of a sub-request that ended."""

    @abstractmethod
    def record_discarded(self, upstream: str) -> None:
        """Record that a sub-request ended without information about the upstream."""


class UniformChoice(ReplicaChoice):
    """Selects uniformly at random; the baseline for comparisons."""

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
    """Selects by observed latency and local calls in flight.

    Health endpoints are not used because they can be outdated or wrong.
    """

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

    def _observe(self, upstream: str) -> _Observation:
        return self._observations.setdefault(upstream, _Observation())

    def _cost(self, candidate: ReplicaInfo, now_ms: float) -> tuple[bool, float]:
        observation = self._observations.get(candidate.upstream) or _Observation()
        # A low allowance does not raise the cost of an idle replica: only calls raise the
        # allowance, and a replica without calls stays cold and unavailable for hedges.
        load = observation.in_flight / max(1, candidate.allowance)
        # Observed latencies include the network round trip, so it is added only to the default.
        default_ms = DEFAULT_SERVICE_MS + 2 * candidate.distance_ms
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
    """Shards grouped by upstream, and the shards that no usable upstream serves."""

    groups: dict[str, tuple[ShardSource, ...]]
    unserved: tuple[ShardSource, ...]


def route_shards(
    sources: Iterable[ShardSource],
    replicas: Mapping[str, ReplicaInfo],
    choice: ReplicaChoice,
    now_ms: float,
    excluded: Collection[str] = (),
) -> Routing:
    """Return the shards grouped by the upstream chosen for each, without `excluded` upstreams.

    Shards with the same replicas go to the same upstream in one call, because the cost of a query
    depends mainly on the number of its calls.
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
