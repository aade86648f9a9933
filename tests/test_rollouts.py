"""Roll-outs under load and under faults, with many instances in virtual time."""

from dataclasses import replace

import pytest
from exchanges import make_upstream
from rolloutworld import BASE_MS, NEW, OLD, Load, Result, RolloutWorld, run_world
from test_fleet import make_entry

from citronpaddle.platform.rollouts import PlatformRolloutCodec
from citronpaddle.policy.exposure import Exposure, ExposureLimits
from citronpaddle.policy.judgement import (
    MAX_SPANS,
    RUNNING_THRESHOLDS,
    CallCounts,
    Stratum,
    Tally,
    find_fault,
)
from citronpaddle.policy.rollout import Decision, Rollout, RolloutOrder, RolloutState, Step
from citronpaddle.randomness import RandomSource
from citronpaddle.rolloutstate import InvalidOrder
from citronpaddle.statestore import StoreItem, StoreView

SUCCEEDED, ROLLED_BACK = ("succeeded", NEW), ("rolled_back", NEW)
DEADLINE_S = 30.0


def vary(change=lambda load, latency_ms, chance: Result(latency_ms)):
    """Return a behaviour with varying latencies, which `change` makes bad."""
    random = RandomSource(5)

    def behave(load: Load) -> Result:
        latency_ms = BASE_MS * random.lognormvariate(0.0, 0.35)
        return change(load, latency_ms, random.random())

    return behave


def fail_if(condition):
    """Return a behaviour that fails 40% of the calls that meet `condition`."""
    return vary(lambda load, ms, chance: Result(ms, condition(load) and chance < 0.4))


def is_new(load: Load) -> bool:
    return load.version == NEW


async def roll_out(
    world: RolloutWorld, rate_per_s: float, duration_s: float = 33.0, routes: str = "rrq"
) -> None:
    """Order the new version under load, start its upstreams, and go on."""
    await world.play(6, rate_per_s, routes)
    world.write_order()
    await world.play(1, rate_per_s, routes)
    world.start_new()
    await world.play(duration_s - 1, rate_per_s, routes)


def make_steady(rate_per_s: float, routes: str = "rrq"):
    """Return a scenario with a roll-out under Poisson arrivals, spread evenly over `routes`."""

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, rate_per_s, routes=routes)

    return scenario


def check_succeeded(world: RolloutWorld) -> None:
    """Assert that the roll-out succeeded in time, and that no later call used the old version."""
    assert world.read_status() == SUCCEEDED
    assert world.seen["succeeded"] <= world.ordered_ms + DEADLINE_S * 1_000
    known_ms = world.seen["succeeded"] + 2_500
    assert {one.version for one in world.sent if one.at_ms > known_ms} == {NEW}


@pytest.mark.parametrize("rate_per_s", [8, 60, 400])
def test_good_version_succeeds(rate_per_s):
    """Guards against a good version that is not taken. Load: steady, 8 to 400 requests/s."""
    check_succeeded(run_world(make_steady(rate_per_s), vary()))


@pytest.mark.parametrize(
    ("behaviour", "rate_per_s", "routes"),
    [
        pytest.param(fail_if(is_new), 60, "rrq", id="at once"),
        pytest.param(fail_if(lambda load: is_new(load) and load.at_s > 20), 200, "rrq", id="late"),
        pytest.param(
            fail_if(lambda load: is_new(load) and load.open_calls > 2), 400, "rrq", id="loaded"
        ),
        pytest.param(
            fail_if(lambda load: is_new(load) and load.route == "q"),
            300,
            "rrrrrrrrrq",
            id="one route",
        ),
        pytest.param(
            vary(lambda load, ms, chance: Result(ms * (4 if is_new(load) and chance < 0.5 else 1))),
            60,
            "rrq",
            id="slow",
        ),
    ],
)
def test_bad_version_is_rolled_back(behaviour, rate_per_s, routes):
    """Guards against a bad version that stays or gets too many calls. Load: steady."""
    world = run_world(make_steady(rate_per_s, routes), behaviour)
    assert world.read_status() == ROLLED_BACK
    assert world.seen["rolled_back"] <= world.ordered_ms + DEADLINE_S * 1_000
    world.check_bad_version()


def test_good_version_is_not_blamed_for_a_burst():
    """Guards against blaming the new version for a burst. Load: all upstreams slow for 4 s."""

    def change(load, latency_ms, chance):
        is_burst = 8 < load.at_s < 12
        return Result(latency_ms * (6 if is_burst else 1), is_burst and chance < 0.2)

    check_succeeded(run_world(make_steady(60), vary(change)))


def test_good_version_is_not_blamed_for_failing_old_upstreams():
    """Guards against counting failures of old upstreams. Load: 40% of their calls fail for 12 s."""
    is_failing = fail_if(lambda load: load.version == OLD and 8 < load.at_s < 20)
    check_succeeded(run_world(make_steady(60), is_failing))


@pytest.mark.parametrize("fault", ["dies", "pauses", "is cut off"])
def test_another_instance_takes_over(fault):
    """Guards against a roll-out without an end when the instance that writes first is lost.

    Load: steady. It is lost before the move and, unless it died, returns after the decision.
    """

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 60, 20)
        number = world.find_first()
        first = world.instances[number]
        if fault == "dies":
            del world.instances[number]
            await first.kill()
        elif fault == "pauses":
            world.paused.add(number)
            first.pause_rollouts()
        else:
            first.path.set_fault("cut")
        await world.play(12, 60)
        if fault != "dies":
            first.path.set_fault(None)
            first.resume_rollouts()
            await world.play(6, 60)
            assert first.rollouts.routing.rollouts["s0"].state is RolloutState.SUCCEEDED

    world = run_world(scenario, vary())
    check_status_in_time(world)


def test_late_write_of_a_paused_instance_has_no_effect():
    """Guards against a decision that replaces another one. Load: steady; the version turns bad."""

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 100, 8)
        runner = world.instances[0].rollouts
        known = replace(runner._shared["s0"])
        await world.play(10, 100)
        assert world.read_status() == ROLLED_BACK
        succeed = Decision(Step.SUCCEED)
        await runner._writer.write_step(runner._runs["s0"], known, succeed, runner.routing.span)
        assert world.read_status() == ROLLED_BACK

    run_world(scenario, fail_if(lambda load: is_new(load) and load.at_s > 9))


def check_status_in_time(world: RolloutWorld) -> None:
    assert world.read_status() == SUCCEEDED
    assert world.seen["succeeded"] <= world.ordered_ms + DEADLINE_S * 1_000


def test_instance_without_the_store_stops_the_trial():
    """Guards against calls to a version whose roll-back is unknown. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 100, 8)
        cut = world.instances[4]
        cut.path.set_fault("cut")
        await world.play(5, 100)
        before = cut.rollouts.target_calls
        assert before > 0
        await world.play(10, 100)
        assert cut.rollouts.target_calls == before

    run_world(scenario, vary())


@pytest.mark.parametrize("outage_s", [(10, 18), (22, 34)])
def test_outage_of_the_store(outage_s):
    """Guards against unbounded calls in an outage, and against no decision after it.

    Load: steady. The version turns bad while the store is away, and the instances stop by what
    they see themselves; the decision follows on the store's return.
    """
    begin_s, end_s = outage_s

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 100, begin_s)
        world.store.is_down = True
        await world.play(end_s - begin_s, 100)
        world.store.is_down = False
        await world.play(38 - end_s, 100)

    is_bad = fail_if(lambda load: is_new(load) and load.at_s > begin_s + 1)
    world = run_world(scenario, is_bad)
    assert world.read_status() == ROLLED_BACK
    world.check_bad_version()


@pytest.mark.parametrize(("copied_s", "restored_s"), [(-1, 10), (8, 14), (22, 26), (26, 30)])
def test_store_that_returns_from_an_older_copy(copied_s, restored_s):
    """Guards against a roll-out that starts again, or ends otherwise, when the store is restored.

    Load: steady. The copy lacks the order, nothing but counts, the move, or the end.
    """

    async def scenario(world: RolloutWorld) -> None:
        await world.play(6, 60)
        world.store.copy()
        world.write_order()
        world.start_new()
        if copied_s > 0:
            await world.play(copied_s, 60)
            world.store.copy()
        await world.play(restored_s - max(0, copied_s), 60)
        status = world.read_status()
        world.restore_store()
        await world.play(4, 60)
        assert world.read_status() in (status, SUCCEEDED)
        await world.play(32 - restored_s, 60)

    check_status_in_time(run_world(scenario, vary()))


def test_two_orders_in_a_row():
    """Guards against calls to a version that was not judged yet as another one was ordered.

    Load: steady. Version v3 is ordered 10 s after v2, whose upstreams stay listed.
    """

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 60, 10)
        assert world.read_status() == ("running", NEW)
        world.write_order("v3")
        world.start_new("v3")
        await world.play(33, 60)
        assert world.read_status() == ("succeeded", "v3")
        late_ms = world.ordered_ms + 2_500
        assert {one.version for one in world.sent if one.at_ms > late_ms} == {OLD, "v3"}

    run_world(scenario, vary())


def test_rolled_back_version_stays_out_during_the_next_order():
    """Guards against using a bad version as if it were an old one. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        await roll_out(world, 100, 15)
        assert world.read_status() == ROLLED_BACK
        world.write_order("v3")
        world.start_new("v3")
        await world.play(33, 100)
        assert world.read_status() == ("succeeded", "v3")
        assert not any(one.version == NEW for one in world.sent if one.at_ms > world.ordered_ms)

    run_world(scenario, fail_if(is_new))


@pytest.mark.parametrize("version", ["v9", NEW])
def test_order_for_what_does_not_exist_is_rolled_back(version):
    """Guards against replacing a service by nothing. Load: steady; no upstream has the version."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(version, 8)
        world.write_order(version, 8, "s9")
        await world.play(12, 60)
        assert world.read_status() == ("rolled_back", version)
        assert world.read_status("s9") == ("rolled_back", version)
        assert not world.refused

    run_world(scenario, vary())


@pytest.mark.parametrize("duration_s", [0, -3, "10", None, True, 1e300, [1]])
def test_malformed_order_is_refused(duration_s):
    """Guards against a flood by an order that can't be followed. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(duration_s=duration_s)
        await world.play(2, 60)
        world.start_new()
        await world.play(6, 60)
        assert world.read_status() is None
        assert not any(one.version == NEW for one in world.sent)
        assert world.instances[0].counts.values[("rollouts", "refused")] == 1
        world.write_order(duration_s=10)
        await world.play(12, 60)
        assert world.read_status() == SUCCEEDED

    run_world(scenario, vary(), count=3)


def test_counts_are_dropped_when_the_roll_out_has_ended():
    """Guards against counts of all instances that stay in the memory of each. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        world.write_order(duration_s=8)
        world.start_new()
        await world.play(6, 60)
        shared = [instance.rollouts._shared["s0"] for instance in world.instances.values()]
        assert all(one.reports for one in shared)
        await world.play(8, 60)
        assert world.read_status() == SUCCEEDED
        assert not any(one.reports for one in shared)
        ends = [
            run.rollout for one in world.instances.values() for run in one.rollouts._runs.values()
        ]
        assert not any(rollout.peer_tallies for rollout in ends)

    run_world(scenario, vary(), count=3)


@pytest.mark.parametrize(
    "value", [b"", b"\xff", b"[]", b"{}", b'{"target_version":""}', b"[" * 9_999]
)
def test_unreadable_order_names_no_version(value):
    """Guards against an error on an unreadable order."""
    order = PlatformRolloutCodec().decode_order("s0", value)
    assert isinstance(order, InvalidOrder) and order.target_version is None


@pytest.mark.parametrize("count", [9, 62])
def test_exposure_is_bounded_over_all_instances(count):
    """Guards against a bound that holds for each instance only. Load: steady, little for each.

    The instances find no fault here: the version fails, but is never judged.
    """

    async def scenario(world: RolloutWorld) -> None:
        for instance in world.instances.values():
            instance.pause_rollouts()
        world.write_order(duration_s=12)
        world.start_new()
        await world.play(12, 100)

    world = run_world(scenario, fail_if(is_new), count)
    target, total = world.count_target(until_s=12)
    assert 0.2 * total * 0.1 <= target <= 0.1 * total + 50


def test_no_calls_to_the_store_without_an_order():
    """Guards against paying for roll-outs where there are none. Load: steady, mixed versions."""

    async def scenario(world: RolloutWorld) -> None:
        world.start_new()
        await world.play(20, 60)
        assert world.store.commits == 0
        assert {one.version for one in world.sent} == {OLD, NEW}

    run_world(scenario, vary())


def test_calls_before_the_order_is_known_count():
    """Guards against a flood by upstreams that are listed before their order. Load: steady."""

    async def scenario(world: RolloutWorld) -> None:
        world.start_new()
        await world.play(8, 100)
        world.write_order()
        await world.play(6, 100)
        known_ms = world.ordered_ms + 2_000
        assert not any(one.version == NEW for one in world.sent if one.at_ms > known_ms)
        await world.play(26, 100)
        assert world.read_status() == SUCCEEDED

    run_world(scenario, vary())


def test_fault_in_one_span_is_no_evidence():
    """Guards against judging a version by an outage that begins within a span."""
    tally = Tally()
    tally.add(Stratum(7, "r", False), CallCounts(target=8, target_bad=7, other=80, other_bad=8))
    assert find_fault(tally, 7, RUNNING_THRESHOLDS) is None
    tally.add(Stratum(8, "r", False), CallCounts(target=8, target_bad=7, other=80, other_bad=8))
    assert find_fault(tally, 8, RUNNING_THRESHOLDS).scope == "all routes"


def make_rollout() -> Rollout:
    return Rollout(RolloutOrder("s0", NEW, 1_000.0), Exposure(ExposureLimits(0.1, 5.0), 1.0, 0.5))


def test_trial_without_calls_to_the_target_keeps_no_old_counts():
    """Guards against memory that grows as long as an order waits for upstreams of its version."""
    rollout = make_rollout()
    for span in range(10 * MAX_SPANS):
        rollout.record_answer(make_upstream("a", version=OLD), Stratum(span, "r", False), False)
        rollout.judge(span)
    assert len(rollout.tally.list_rows()) <= MAX_SPANS


def test_old_upstreams_get_no_calls_after_success():
    """Guards against calls to upstreams that have stopped, and against losing later versions."""
    rollout = make_rollout()
    rollout.other_versions = {OLD}
    rollout.state = RolloutState.SUCCEEDED
    upstreams = tuple(make_upstream(name, version=name) for name in (OLD, NEW, "v3"))
    assert [one.id for one in rollout.group(upstreams)[0]] == [NEW, "v3"]


def test_upstream_that_a_paged_read_shows_before_its_order_waits():
    """Guards against a flood when the order was written after the page that would have had it."""
    listed: list[str] = []

    async def scenario(world: RolloutWorld) -> None:
        instance = world.instances[0]
        revision = world.store.revision
        entry = make_entry(version=NEW, service="s0")
        items = (*world.store.items.values(), StoreItem("servers/n", entry, revision + 2))
        instance.follower._updater.apply_view(StoreView(items, revision))
        listed.extend(instance.state.registry.list_ids())

    run_world(scenario, vary(), 1)
    assert sorted(listed) == ["a", "b", "c"]
