"""An overloaded instance must bound its work, prefer high priorities and answer queries once."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from citronpaddle.errors import ErrorKind
from citronpaddle.policy.overload import EntryAdmission
from citronpaddle.policy.queueing import Queued, Refuse, Start

MAX_IN_FLIGHT = 3
QUEUE_SIZE = 4


class OverloadMachine(RuleBasedStateMachine):
    """Submits more queries than can run and checks each decision against a simple model."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.entry = EntryAdmission(MAX_IN_FLIGHT, QUEUE_SIZE)
        self.queries = {}  # key -> (priority, deadline)
        self.waiting = set()
        self.running = set()
        self.outcomes = set()

    def apply(self, decisions):
        for decision in decisions:
            key = decision.key
            if isinstance(decision, Queued):
                self.waiting.add(key)
                continue
            assert key not in self.outcomes, "two outcomes for one query"
            self.outcomes.add(key)
            if isinstance(decision, Start):
                self.check_start(key)
                self.running.add(key)
            elif decision.failure.message.startswith(("queue full", "displaced")):
                lowest = max([self.queries[other][0] for other in self.waiting], default=0)
                assert self.queries[key][0] >= lowest, "shed a query and kept one of lower priority"
                newest = self.queries[len(self.queries) - 1]
                is_higher = newest[0] < self.queries[key][0]
                assert is_higher == decision.failure.message.startswith("displaced")
            self.waiting.discard(key)

    def check_start(self, key):
        assert self.now < self.queries[key][1], "started after its deadline"
        better = [k for k in self.waiting if k != key and self.queries[k] < self.queries[key]]
        assert not better, "started before a query with a higher priority or earlier deadline"

    @rule(priority=st.integers(0, 3), left_ms=st.integers(0, 200))
    def submit(self, priority, left_ms):
        key = len(self.queries)
        self.queries[key] = (priority, self.now + left_ms)
        self.apply(self.entry.submit(self.now, key, priority, self.now + left_ms))
        assert key in self.outcomes or key in self.waiting, "a query got no decision"

    @precondition(lambda self: self.running)
    @rule(data=st.data(), by_ms=st.integers(0, 40))
    def finish(self, data, by_ms):
        self.now += by_ms
        key = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(key)
        self.apply(self.entry.finish(self.now, key))

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data):
        self.apply(self.entry.cancel(self.now, data.draw(st.sampled_from(sorted(self.waiting)))))

    @precondition(lambda self: self.waiting)
    @rule()
    def wait_for_next_check(self):
        self.now = max(self.now, self.entry.find_next_check())
        decisions = self.entry.poll(self.now)
        self.apply(decisions)
        assert all(self.queries[key][1] > self.now for key in self.waiting)

    @invariant()
    def limits_hold(self):
        assert len(self.running) == self.entry.in_flight <= MAX_IN_FLIGHT
        assert len(self.waiting) == self.entry.queue_length <= QUEUE_SIZE
        assert len(self.outcomes) + len(self.waiting) == len(self.queries)
        assert not self.waiting or len(self.running) == MAX_IN_FLIGHT, "waits below the limit"


OverloadMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None, derandomize=True
)
TestOverload = OverloadMachine.TestCase


def test_a_query_that_cannot_start_in_time_is_refused_as_not_run():
    entry = EntryAdmission(1, 4)
    entry.submit(0.0, "first", 1, 1_000.0)
    entry.finish(100.0, "first")
    entry.submit(100.0, "second", 1, 1_000.0)
    [refusal] = entry.submit(100.0, "tight", 0, 150.0)
    assert isinstance(refusal, Refuse) and refusal.failure.kind is ErrorKind.OVERLOADED
    assert isinstance(entry.submit(100.0, "later deadline", 0, 500.0)[-1], Queued)


def test_a_full_queue_displaces_a_query_of_lower_priority():
    entry = EntryAdmission(1, 1)
    entry.submit(0.0, "running", 1, 1_000.0)
    entry.submit(0.0, "browsing", 2, 1_000.0)
    displaced, queued = entry.submit(0.0, "recall", 0, 1_000.0)
    assert displaced.key == "browsing" and isinstance(displaced, Refuse)
    assert queued.key == "recall" and isinstance(queued, Queued)
    assert entry.finish(5.0, "running") == [Start("recall")]
