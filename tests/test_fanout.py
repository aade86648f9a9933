"""A query must not count a row twice, mix versions, overstate coverage or exceed its deadline."""

import heapq
import itertools
import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citronpaddle.errors import ErrorKind
from citronpaddle.models import (
    KEY_SPACE_SIZE,
    KeyRange,
    ShardInfo,
    SubReply,
    UpstreamIndex,
    UpstreamState,
)
from citronpaddle.policy.fanout import Fanout, FanoutDependencies, QueryLimits
from citronpaddle.policy.hedging import Hedging, HedgingLimits
from citronpaddle.policy.routing import ObservedChoice, ReplicaInfo, UniformChoice
from citronpaddle.policy.snapshot import pin_snapshot
from citronpaddle.randomness import RandomSource
from citronpaddle.results import merge_rows

LIMITS = HedgingLimits(quantile=0.5, min_samples=3, hedge_burst=2.0, retry_burst=3.0)
# Failure kinds of calls that may have put load on the upstream.
LOAD_CAUSING_KINDS = {
    "overloaded",
    "outcome_unknown",
    "upstream_error",
    "deadline_past",
    "internal",
}
STEP_LIMIT = 5_000
ROW_LIMIT = 1_000

# Kind and delay in ms of each reply. `crossed` has the shards of another call, `foreign` the call
# id of another query, `half` every second shard, `doubled` each shard twice.
REPLY_PLANS = st.lists(
    st.tuples(
        st.sampled_from(
            ["good", "good", "good", "lost", "duplicate", "crossed", "foreign", "other_version"]
            + ["other_range", "gone", "half", "doubled", "malformed"]
            + [kind.value for kind in (ErrorKind.OVERLOADED, ErrorKind.NOT_OWNER)]
            + [kind.value for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.UPSTREAM_UNAVAILABLE)]
        ),
        st.sampled_from([1.0, 4.0, 9.0, 30.0, 120.0, 400.0]),
    ),
    min_size=1,
    max_size=40,
)


@st.composite
def layouts(draw):
    """Upstreams with shards of an old split, a new split or both, at up to two versions."""
    splits = [draw(st.integers(1, 4)), draw(st.integers(1, 6))]
    shards = []
    for number, split in enumerate(splits):
        bounds = [KEY_SPACE_SIZE * place // split for place in range(split + 1)]
        shards += [
            (f"s{number}-{place}", KeyRange(bounds[place], bounds[place + 1]))
            for place in range(split)
        ]
    indexes = []
    for number in range(draw(st.integers(1, 5))):
        held = draw(st.lists(st.sampled_from(shards), unique=True, min_size=1))
        infos = tuple(
            ShardInfo(name, key_range, draw(st.sampled_from([(1,), (2,), (1, 2)])))
            for name, key_range in held
        )
        state = draw(st.sampled_from([UpstreamState.READY, UpstreamState.WARMING]))
        indexes.append(UpstreamIndex(f"u{number}", f"entry-{number % 2}", state, 2, infos))
    return indexes


def make_body(shards, missing=()):
    return json.dumps(
        {
            "shards": [
                {
                    "shard": name,
                    "low": key_range.low,
                    "high": key_range.high,
                    "version": version,
                    "rows": [{"key": name, "score": 1.0, "text": f"{name}@{version}"}],
                }
                for name, key_range, version in shards
            ],
            "missing": [{"shard": name, "error": "version_gone"} for name in missing],
        }
    ).encode()


class Simulation:
    """Runs one query in virtual time and tracks independently which shards may be counted."""

    def __init__(self, indexes, limits, dependencies, reply_plans):
        self.now = 0.0
        self.limits = limits
        self.held_shards = {i.upstream: {shard.shard for shard in i.shards} for i in indexes}
        self.snapshot = pin_snapshot(indexes)
        replicas = {
            i.upstream: ReplicaInfo(i.upstream, i.owner, i.state, i.allowance, 0.0) for i in indexes
        }
        self.states = {i.upstream: i.state for i in indexes}
        self.ranges = {source.shard: source.range for source in self.snapshot.sources}
        self.fanout = Fanout("q", "designs", "oak", limits, self.snapshot, replicas, dependencies)
        self.reply_plans = reply_plans
        self.events = []
        self.numbers = itertools.count()
        self.outstanding = {}
        self.sent = 0
        self.initial_calls = self.hedge_count = self.retries_sent = 0
        self.counted = set()
        self.superseded = 0

    def run(self):
        fanout = self.fanout
        attempts = fanout.start(self.now)
        self.initial_calls = len(attempts)
        self.send(attempts)
        for _ in range(STEP_LIMIT):
            if fanout.is_finished(self.now):
                break
            due = fanout.next_timer_ms(self.now)
            if self.events and self.events[0][0] <= due:
                self.now, _, reply = heapq.heappop(self.events)
                self.deliver(reply)
                continue
            self.now = max(self.now, due)
            self.send(fanout.handle_timer(self.now))
        else:
            raise AssertionError("the query does not finish")
        for attempt in fanout.pop_outstanding(self.now):
            self.outstanding.pop(attempt.call.call_id)
        self.check()

    def send(self, attempts, is_retry=False):
        for attempt in attempts:
            call = attempt.call
            assert call.call_id not in self.outstanding, "a call id was used twice"
            assert set(call.shards) <= self.held_shards[call.upstream], "shard not at the upstream"
            assert self.now + call.deadline_ms <= max(self.limits.end_ms, self.now + 1)
            if call.is_hedge:
                self.hedge_count += 1
                assert self.states[call.upstream] is UpstreamState.READY, "hedge to a cold upstream"
                others = [c for c in self.outstanding.values() if set(c.shards) & set(call.shards)]
                assert call.upstream not in [c.upstream for c in others]
            self.sent += 1
            self.outstanding[call.call_id] = call
            self.schedule_reply(call)
        self.retries_sent = self.sent - self.initial_calls - self.hedge_count

    def schedule_reply(self, call):
        kind, delay_ms = self.reply_plans[self.sent % len(self.reply_plans)]
        if kind == "lost":
            return
        reply = SubReply(call.call_id, call.upstream, *self.make_outcome(kind, call))
        if kind == "foreign":
            reply = reply._replace(call_id="other-query-1")
        times = [delay_ms, delay_ms * 2] if kind == "duplicate" else [delay_ms]
        for delay_ms in times:
            heapq.heappush(self.events, (self.now + delay_ms, next(self.numbers), reply))

    def make_outcome(self, kind, call):
        version = call.version
        requested = [(name, self.ranges[name], version) for name in call.shards]
        if kind == "crossed" and len(self.outstanding) > 1:
            other = next(iter(self.outstanding.values()))
            requested = [(name, self.ranges[name], version) for name in other.shards]
        bodies = {
            "other_version": make_body(
                [(name, key_range, version + 1) for name, key_range, _ in requested]
            ),
            "other_range": make_body(
                [(name, KeyRange(r.low, r.high + 1), version) for name, r, _ in requested]
            ),
            "gone": make_body([], call.shards),
            "half": make_body(requested[::2], call.shards[1::2]),
            "doubled": make_body(requested + requested),
            "malformed": b'{"shards": [{}]}',
        }
        if kind in ErrorKind.__members__.values():
            return kind, "refused", b""
        return "", "", bodies.get(kind, make_body(requested))

    def deliver(self, reply):
        if reply.call_id in self.outstanding:
            del self.outstanding[reply.call_id]
            if not reply.error and reply.body != b'{"shards": [{}]}':
                self.count(json.loads(reply.body)["shards"])
        self.send(self.fanout.handle_reply(reply, self.now))
        for attempt in self.fanout.pop_superseded():
            superseded_call = self.outstanding.pop(attempt.call.call_id)
            self.superseded += 1
            assert set(superseded_call.shards) <= self.counted, "cancelled a call still needed"

    def count(self, shards):
        for item in shards:
            name, key_range = item["shard"], KeyRange(item["low"], item["high"])
            if item["version"] == self.snapshot.version and self.ranges.get(name) == key_range:
                self.counted.add(name)

    def check(self):
        fanout, version = self.fanout, self.snapshot.version
        assert self.now <= self.limits.end_ms, "the query exceeded its deadline"
        covered = sum(self.ranges[name].size for name in self.counted)
        coverage = fanout.measure()
        assert coverage.share == covered / KEY_SPACE_SIZE, "coverage differs from counted shards"
        assert coverage.is_complete == (covered == KEY_SPACE_SIZE)
        assert bool(coverage.reasons) != coverage.is_complete
        rows, _ = merge_rows(fanout.shards, ROW_LIMIT)
        assert sorted(row["text"] for row in rows) == sorted(f"{n}@{version}" for n in self.counted)
        ranges = sorted(shard.range for shard in fanout.shards)
        assert all(left.high <= right.low for left, right in itertools.pairwise(ranges))
        counts = fanout.counts
        assert sum(counts.outcomes.values()) == self.sent == fanout.sent_calls
        assert sum(counts.hedges.values()) == self.hedge_count
        assert sum(counts.retries.values()) == self.retries_sent
        if self.now < self.limits.soft_end_ms and self.outstanding:
            assert coverage.is_complete or self.now >= self.limits.end_ms - 5.0


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    indexes=layouts(),
    reply_plans=REPLY_PLANS,
    deadline_ms=st.sampled_from([20.0, 150.0, 1_000.0]),
    soft_ms=st.sampled_from([10.0, 60.0, 1_000.0]),
    min_coverage=st.sampled_from([0.0, 0.5, 0.9, 1.0]),
    is_uniform=st.booleans(),
    seed=st.integers(0, 1_000),
    queries=st.integers(1, 6),
)
def test_a_query_counts_each_shard_once_and_ends_by_its_deadline_for_any_replies(
    indexes, reply_plans, deadline_ms, soft_ms, min_coverage, is_uniform, seed, queries
):
    choice = (UniformChoice if is_uniform else ObservedChoice)(RandomSource(seed))
    dependencies = FanoutDependencies(choice, Hedging(LIMITS))
    limits = QueryLimits(deadline_ms, min(soft_ms, deadline_ms), min_coverage, 50, 5)
    initial_calls = hedge_count = load_causing_retries = 0
    for number in range(queries):
        turn = number % len(reply_plans)
        simulation = Simulation(
            indexes, limits, dependencies, reply_plans[turn:] + reply_plans[:turn]
        )
        simulation.run()
        initial_calls += simulation.initial_calls
        hedge_count += simulation.hedge_count
        retries = simulation.fanout.counts.retries
        load_causing_retries += sum(
            count for reason, count in retries.items() if reason in LOAD_CAUSING_KINDS
        )
    assert hedge_count <= LIMITS.hedge_share * initial_calls + LIMITS.hedge_burst + 1e-6
    assert load_causing_retries <= LIMITS.retry_share * initial_calls + LIMITS.retry_burst + 1e-6


def test_hedges_stay_within_the_budget_when_every_reply_is_lost():
    bounds = [KEY_SPACE_SIZE * place // 16 for place in range(17)]
    indexes = [
        UpstreamIndex(
            f"u{place}-{replica}",
            "entry-0",
            UpstreamState.READY,
            2,
            (ShardInfo(f"s{place}", KeyRange(bounds[place], bounds[place + 1]), (1,)),),
        )
        for place in range(16)
        for replica in range(2)
    ]
    dependencies = FanoutDependencies(ObservedChoice(RandomSource(1)), Hedging(LIMITS))
    limits = QueryLimits(1_000.0, 1_000.0, 1.0, 50, 5)
    initial_calls = hedge_count = 0
    for reply_plans in [[("good", 4.0)], *[[("lost", 1.0)]] * 5]:
        simulation = Simulation(indexes, limits, dependencies, reply_plans)
        simulation.run()
        initial_calls, hedge_count = (
            initial_calls + simulation.initial_calls,
            hedge_count + simulation.hedge_count,
        )
    assert 0 < hedge_count <= LIMITS.hedge_share * initial_calls + LIMITS.hedge_burst + 1e-6


def make_dependencies_with_latencies(indexes, limits):
    dependencies = FanoutDependencies(ObservedChoice(RandomSource(1)), Hedging(LIMITS))
    for _ in range(LIMITS.min_samples):
        Simulation(indexes, limits, dependencies, [("good", 4.0)]).run()
    return dependencies


def make_replicas(prefix, count, shard):
    return [
        UpstreamIndex(f"{prefix}{number}", "entry-0", UpstreamState.READY, 2, (shard,))
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ("replicas", "second"), [(3, "lost"), (2, "overloaded"), (2, "upstream_unavailable")]
)
def test_a_late_call_is_hedged_again_when_its_hedge_is_late_or_fails(replicas, second):
    indexes = make_replicas("u", replicas, ShardInfo("s0", KeyRange(0, KEY_SPACE_SIZE), (1,)))
    limits = QueryLimits(1_000.0, 1_000.0, 1.0, 50, 5)
    dependencies = make_dependencies_with_latencies(indexes, limits)
    # The first call uses the reply plan at index 1.
    reply_plans = [("good", 4.0), ("lost", 1.0), (second, 1.0)]
    simulation = Simulation(indexes, limits, dependencies, reply_plans)
    simulation.run()
    assert simulation.fanout.measure().is_complete
    assert simulation.hedge_count == 2 and simulation.now < 150.0


def test_a_call_superseded_by_its_hedge_does_not_hold_its_slot_until_the_query_ends():
    half = KEY_SPACE_SIZE // 2
    indexes = make_replicas("u", 2, ShardInfo("s0", KeyRange(0, half), (1,)))
    indexes += make_replicas("v", 1, ShardInfo("s1", KeyRange(half, KEY_SPACE_SIZE), (1,)))
    limits = QueryLimits(1_000.0, 1_000.0, 1.0, 50, 5)
    dependencies = make_dependencies_with_latencies(indexes, limits)
    reply_plans = [("good", 4.0), ("lost", 1.0), ("lost", 1.0), ("good", 4.0)]
    simulation = Simulation(indexes, limits, dependencies, reply_plans)
    simulation.run()
    assert simulation.hedge_count == simulation.superseded == 1
