"""The options of the stand-in for an upstream, and the shards that it serves."""

from collections.abc import Sequence
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from ..models import KEY_SPACE_SIZE


class ShardOption(BaseModel):
    """One shard: its key range `[low, high)` and the index versions that the upstream serves."""

    model_config = ConfigDict(extra="forbid")

    shard: str
    low: int = Field(ge=0)
    high: int = Field(le=KEY_SPACE_SIZE)
    versions: list[int]


class UpstreamOptions(BaseModel):
    """Options of the stand-in, which can all be changed while it runs.

    Times are in ms. `slots` limits concurrent calls and `connections` open connections. A call
    takes `latency_ms`, multiplied by `straggler_factor` with `straggler_probability` and by
    `cold_factor` while cold. For `cold_ms` after a start more than `cold_calls` concurrent calls
    crash the upstream, which then stays down for `fallen_ms`. `is_silent` executes calls without an
    answer. `is_refusing` resets connections and refuses new ones. `health` is `honest`, `lagging`
    (up to `health_lag_ms` old) or `misleading` (always reports no load).
    """

    model_config = ConfigDict(extra="forbid")

    name: str = "upstream"
    slots: int = Field(2, ge=1)
    connections: int = Field(25, ge=1)
    setup_ms: float = Field(0, ge=0)
    latency_ms: float = Field(5, ge=0)
    straggler_probability: float = Field(0, ge=0, le=1)
    straggler_factor: float = Field(20, ge=1)
    seed: int = 1
    cold_ms: float = Field(0, ge=0)
    cold_calls: int = Field(1, ge=1)
    cold_factor: float = Field(5, ge=1)
    fallen_ms: float = Field(500, ge=0)
    health: Literal["honest", "lagging", "misleading"] = "honest"
    health_lag_ms: float = Field(5000, ge=0)
    is_leaving: bool = False
    is_silent: bool = False
    is_refusing: bool = False
    shards: list[ShardOption] = Field(default_factory=lambda: make_layout(4))


def make_layout(
    total: int, versions: Sequence[int] = (1,), first: int = 0, last: int | None = None
) -> list[ShardOption]:
    """Return the shards `first` to `last` of a key space split into `total` nearly equal shards.

    `last` is inclusive; without it, all shards from `first` on are returned.
    """
    bounds = [KEY_SPACE_SIZE * position // total for position in range(total + 1)]
    chosen = range(first, total if last is None else last + 1)
    return [
        ShardOption(
            shard=f"s{position}of{total}",
            low=bounds[position],
            high=bounds[position + 1],
            versions=list(versions),
        )
        for position in chosen
    ]
