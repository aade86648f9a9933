"""Roll-outs with orders that cannot be followed, and with counts that other writers have left."""

import pytest
from rolloutworld import NEW, OLD, RolloutWorld, run_world
from test_rollouts import SUCCEEDED, vary

from citronpaddle.platform.rollouts import ORDER_PREFIX
from citronpaddle.rolloutstate import decode_report


def test_removed_malformed_order_is_forgotten():
    """Guards against a version that gets no calls for as long as an instance runs. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(duration_s=-3)
        await world.play(4, 60)
        world.start_new()
        world.store.write(ORDER_PREFIX + "s0", None)
        await world.play(6, 60)
        assert not any(one.version == NEW for one in world.sent)
        await world.play(12, 60)
        assert any(one.version == NEW for one in world.sent)

    run_world(scenario, vary(), count=3)


@pytest.mark.parametrize("version", [NEW, "v3"])
def test_malformed_order_leaves_the_one_before_in_force(version):
    """Guards against a roll-out that never ends, as its writes conflict with the newer order."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(duration_s=20)
        world.start_new()
        await world.play(4, 60)
        world.write_order(version, duration_s=-3)
        await world.play(18, 60)
        assert world.read_status() == SUCCEEDED

    run_world(scenario, vary(), count=3)


@pytest.mark.parametrize(
    "counts", ["[3,0,-2,0]", "[1,2,5,0]", "[1,0,2,3]", "[1e400,0,9,0]", f"[9,0,{10**400},0]"]
)
def test_report_with_impossible_counts_is_ignored(counts):
    """Guards against a judgement that fails, again and again, on what another writer has left."""
    value = f'{{"target_version":"v2","duration_ms":1.0,"rows":[[7,"r",false,{counts[1:-1]}]]}}'
    assert decode_report(value.encode()) is None


@pytest.mark.parametrize("state", ["running", "rolled_back"])
def test_malformed_order_for_the_version_in_use_takes_no_upstreams(state):
    """Guards against refusing nearly all requests, as the upstreams in use get no calls."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(duration_s=20)
        if state == "running":
            world.start_new()
        await world.play(4 if state == "running" else 24, 60)
        world.start_new()
        assert world.read_status() == (state, NEW)
        world.write_order(OLD, duration_s=-3)
        await world.play(5, 60)
        assert not world.refused

    run_world(scenario, vary(), count=3)
