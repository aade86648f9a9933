"""Tests of lease ownership.

Two owners of one upstream could together exceed its slots, and no fault may lead to that.
"""

import heapq
import math
from itertools import count

import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from citronpaddle.policy.leases import (
    GrantReply,
    GrantRequest,
    HandOver,
    HolderId,
    LeaseParameters,
    Release,
    VoterList,
    VoterListReport,
    can_change_voters,
    is_single_change,
)
from citronpaddle.policy.ownership import Holder
from citronpaddle.policy.rendezvous import rank_candidates
from citronpaddle.policy.voter import Voter
from citronpaddle.randomness import RandomSource

PARAMETERS = LeaseParameters()
UPSTREAMS = ("u1", "u2", "u3")
SLOTS = 2
CALL_MS = 2_000
TICK_MS = 50
PAUSE_GAP_MS = 500
SUSPECT_MS = 2_500


class SimulatedProcess:
    """One incarnation of an instance, with its own clock that is up to 0.5% fast or slow."""

    def __init__(self, fleet, name, incarnation, voters):
        self.fleet, self.name, self.incarnation = fleet, name, incarnation
        self.clock_rate = 1 + fleet.random.choice((-0.005, 0.0, 0.005))
        self.offset_ms = fleet.random.uniform(0, 1e6)
        self.paused_until_ms, self.ends_ms = 0, math.inf
        self.calls = []
        self.last_pong_ms = {}
        self.last_ms = now = self.now_ms()
        self.next_poll_ms = now
        self.voter = Voter(name, voters, now, PARAMETERS)
        self.holder = Holder(HolderId(name, incarnation), voters, fleet.random, PARAMETERS)
        self.holder.set_upstreams(UPSTREAMS, now)

    def now_ms(self):
        return self.offset_ms + self.fleet.time_ms * self.clock_rate

    def set_voter_list(self, voters):
        self.voter.apply_voter_list(voters, self.now_ms())
        self.holder.apply_voter_list(voters, self.now_ms())

    def detect_pause(self):
        now = self.now_ms()
        if now - self.last_ms > PAUSE_GAP_MS:
            self.holder.drop_all(now)
        self.last_ms = now

    def tick(self):
        self.detect_pause()
        now = self.now_ms()
        for call in [call for call in self.calls if call[1] <= self.fleet.time_ms]:
            self.calls.remove(call)
            self.holder.close_call(call[0])
        if now >= self.next_poll_ms:
            self.next_poll_ms = now + 500
            self.poll_store_and_peers(now)
        for to, message in self.holder.tick(now):
            self.fleet.send(self, to, message)
        self.dispatch()

    def poll_store_and_peers(self, now):
        if self.fleet.can_reach_store(self):
            self.set_voter_list(self.fleet.lists[-1])
            self.voter.confirm_list_from_store(self.fleet.lists[-1].revision)
        for name in self.fleet.current:
            self.fleet.send(self, name, ("ping", self.name, self.incarnation))
        self.holder.set_live_instances(
            [n for n, at in self.last_pong_ms.items() if now - at < SUSPECT_MS], now
        )

    def dispatch(self):
        for upstream in UPSTREAMS:
            while [call[0] for call in self.calls].count(upstream) < SLOTS:
                if not self.holder.open_call(upstream, self.now_ms()):
                    break
                share = self.fleet.random.choice((0.01, 0.3, 1.0, 1.0))
                self.calls.append(
                    (upstream, self.fleet.time_ms + share * CALL_MS / self.clock_rate)
                )
                self.fleet.check_slots(upstream)

    def handle(self, message):
        self.detect_pause()
        now = self.now_ms()
        match message:
            case GrantRequest():
                reply = self.voter.handle_request(message, now)
                self.fleet.send(self, message.holder.name, reply)
            case Release():
                self.voter.handle_release(message)
            case GrantReply():
                for to, hand_over in self.holder.handle_reply(message, now):
                    self.fleet.send(self, to, hand_over)
            case HandOver():
                self.holder.handle_hand_over(message, now)
            case ("ping", sender, nonce):
                confirmed = self.voter.is_list_confirmed
                pong = ("pong", self.name, nonce, self.voter.voters, confirmed)
                self.fleet.send(self, sender, pong)
            case ("pong", sender, nonce, voters, confirmed) if nonce == self.incarnation:
                self.last_pong_ms[sender] = now
                self.set_voter_list(voters)
                if confirmed:
                    self.voter.confirm_list_from_peer(sender, voters.revision)
        self.dispatch()


class SimulatedFleet:
    """Instances, their network links and the store, in virtual time."""

    def __init__(self, size, seed_value):
        self.random = RandomSource(seed_value)
        self.time_ms = 0
        self.message_numbers = count()
        self.queue = []
        names = [f"i{number}" for number in range(size)]
        self.lists = [VoterList(0, tuple(names[:3]))]
        self.current = {name: SimulatedProcess(self, name, 1, self.lists[0]) for name in names}
        self.ended_processes = []
        self.clear_faults()

    def clear_faults(self):
        self.loss, self.duplication, self.max_delay_ms = 0.0, 0.0, 5
        self.cut_off, self.is_store_up = frozenset(), True

    def processes(self):
        return [*self.current.values(), *self.ended_processes]

    def is_linked(self, name, other):
        return (name in self.cut_off) == (other in self.cut_off)

    def can_reach_store(self, process):
        return self.is_store_up and process.name not in self.cut_off

    def send(self, sender, to, message):
        if sender.name != to and (
            not self.is_linked(sender.name, to) or self.random.random() < self.loss
        ):
            return
        for _ in range(2 if self.random.random() < self.duplication else 1):
            late = self.max_delay_ms if self.random.random() < 0.2 else min(50, self.max_delay_ms)
            at_ms = self.time_ms + self.random.uniform(0.5, late)
            heapq.heappush(self.queue, (at_ms, next(self.message_numbers), to, message))

    def advance(self, duration_ms):
        end_ms = self.time_ms + duration_ms
        while self.time_ms < end_ms:
            tick_ms = self.time_ms - self.time_ms % TICK_MS + TICK_MS
            while self.queue and self.queue[0][0] <= tick_ms:
                at_ms, _, to, message = heapq.heappop(self.queue)
                receiver = self.current[to]
                if at_ms < receiver.paused_until_ms:
                    # The message waits in the socket buffer of the paused process.
                    late = (receiver.paused_until_ms, next(self.message_numbers), to, message)
                    heapq.heappush(self.queue, late)
                    continue
                self.time_ms = max(self.time_ms, at_ms)
                receiver.handle(message)
            self.time_ms = tick_ms
            self.ended_processes = [
                p for p in self.ended_processes if p.ends_ms + CALL_MS * 1.1 > tick_ms
            ]
            for process in self.processes():
                if process.paused_until_ms <= self.time_ms < process.ends_ms:
                    process.tick()
            self.check()

    def check_slots(self, upstream):
        running = sum(
            call[0] == upstream and call[1] > self.time_ms
            for process in self.processes()
            for call in process.calls
        )
        assert running <= SLOTS, f"{running} calls in progress at {upstream} at {self.time_ms} ms"

    def check(self):
        for upstream in UPSTREAMS:
            owners = self.find_owners(upstream)
            assert len(owners) <= 1, f"{owners} may dispatch to {upstream} at {self.time_ms} ms"

    def find_owners(self, upstream):
        return [
            (process.name, process.incarnation)
            for process in self.processes()
            if self.time_ms < process.ends_ms
            and process.holder.can_dispatch(upstream, process.now_ms())
        ]

    def restart(self, name, runs_on, revisions_behind):
        old = self.current[name]
        voters = self.lists[max(0, len(self.lists) - 1 - revisions_behind)]
        self.current[name] = SimulatedProcess(self, name, old.incarnation + 1, voters)
        # Calls of an ended process continue at the upstreams.
        old.ends_ms = self.time_ms + (self.random.uniform(0, 20_000) if runs_on else 0)
        self.ended_processes.append(old)

    def drain(self, name, is_leaving):
        """Make `name` release its upstreams, either to leave or to request them again."""
        holder, now = self.current[name].holder, self.current[name].now_ms()
        if is_leaving:
            holder.start_leaving()
            return
        holder.set_upstreams((), now)
        holder.set_upstreams(UPSTREAMS, now)

    def change_voters(self, name):
        reports = [
            VoterListReport(p.name, p.voter.settled_revision(p.now_ms()), self.time_ms)
            for p in self.current.values()
            if p.name not in self.cut_off and p.paused_until_ms <= self.time_ms
        ]
        last = self.lists[-1]
        names = tuple(sorted(set(last.names) ^ {name}))
        if not names or not is_single_change(last.names, names) or not self.is_store_up:
            return False
        before = self.lists[-2] if len(self.lists) > 1 else last
        if not can_change_voters(before, last, reports, self.time_ms, PARAMETERS):
            return False
        self.lists.append(VoterList(last.revision + 1, names))
        return True


INDEXES = st.integers(0, 4)
INDEX_SETS = st.sets(INDEXES, max_size=3) | st.just(frozenset())
PAUSES_MS = st.sampled_from((300, 900, 2_900, 3_100, 5_400, 30_000))
DELAYS_MS = st.sampled_from((5, 5, 400, 2_000, 8_000))


class OwnershipMachine(RuleBasedStateMachine):
    """Combines faults and changes at arbitrary times."""

    @initialize(size=st.integers(3, 5), seed_value=st.integers(0, 2**32))
    def start(self, size, seed_value):
        self.fleet = SimulatedFleet(size, seed_value)
        self.fleet.advance(8_000)

    def find_names(self, indexes):
        names = sorted(self.fleet.current)
        return sorted({names[index % len(names)] for index in indexes})

    @rule(duration_ms=st.integers(100, 7_000))
    def advance(self, duration_ms):
        self.fleet.clear_faults()
        self.fleet.advance(duration_ms)

    @rule(
        cut_off=INDEX_SETS,
        paused=INDEX_SETS,
        pause_ms=PAUSES_MS,
        is_owner_paused=st.booleans(),
        is_store_up=st.booleans(),
        duration_ms=st.integers(0, 3_000),
    )
    def isolate(self, cut_off, paused, pause_ms, is_owner_paused, is_store_up, duration_ms):
        self.fleet.cut_off = frozenset(self.find_names(cut_off))
        self.fleet.is_store_up = is_store_up
        names = set(self.find_names(paused))
        if is_owner_paused:
            names.update(name for name, _ in self.fleet.find_owners("u1"))
        for name in names:
            self.fleet.current[name].paused_until_ms = self.fleet.time_ms + pause_ms
        self.fleet.advance(duration_ms)

    @rule(restarted=INDEX_SETS, runs_on=st.booleans(), revisions_behind=st.integers(0, 3))
    def restart(self, restarted, runs_on, revisions_behind):
        for name in self.find_names(restarted):
            self.fleet.restart(name, runs_on, revisions_behind)

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.5)),
        duplication=st.sampled_from((0.0, 0.5)),
        delay_ms=DELAYS_MS,
        duration_ms=st.integers(0, 4_000),
    )
    def degrade_network(self, loss, duplication, delay_ms, duration_ms):
        self.fleet.loss, self.fleet.duplication = loss, duplication
        self.fleet.max_delay_ms = delay_ms
        self.fleet.advance(duration_ms)

    @rule(index=INDEXES)
    def change_voters(self, index):
        self.fleet.change_voters(*self.find_names([index]))

    @rule(index=INDEXES, is_leaving=st.booleans())
    def drain(self, index, is_leaving):
        (name,) = self.find_names([index])
        self.fleet.drain(name, is_leaving)

    @invariant()
    def check_single_owner(self):
        if hasattr(self, "fleet"):
            self.fleet.check()


def test_no_fault_leads_to_two_owners_or_more_calls_than_slots():
    """Guards against two owners during partitions, pauses, restarts, loss and voter changes."""
    machine = seed(41)(OwnershipMachine)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=70,
            stateful_step_count=30,
            deadline=None,
            database=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("seed_value", range(6))
def test_every_upstream_gets_an_owner_after_the_faults_end(seed_value):
    """Guards against upstreams that stay without an owner after delayed and duplicate messages."""
    fleet = SimulatedFleet(5, seed_value)
    fleet.advance(3_000)
    fleet.loss, fleet.duplication, fleet.max_delay_ms = 0.3, 0.3, 2_000
    fleet.advance(12_000)
    fleet.restart("i4", False, 0)
    # One of the three voters stays unavailable.
    fleet.current["i1"].paused_until_ms = math.inf
    fleet.clear_faults()
    fleet.queue.clear()
    fleet.advance(PARAMETERS.block_ms + PARAMETERS.rank_delay_ms)
    owners = {upstream: fleet.find_owners(upstream) for upstream in UPSTREAMS}
    assert all(owners.values()), owners


def test_a_better_ranked_instance_regains_its_upstreams():
    """Guards against upstreams that stay with the owner that replaced a paused instance."""
    fleet = SimulatedFleet(4, 1)
    best = rank_candidates("u1", fleet.current)[0]
    fleet.current[best].paused_until_ms = 20_000
    fleet.advance(20_000)
    assert [name for name, _ in fleet.find_owners("u1")] not in ([], [best])
    fleet.advance(6_000)
    assert [name for name, _ in fleet.find_owners("u1")] == [best]


FIRST_HOLDER, SECOND_HOLDER = HolderId("i0", 1), HolderId("i1", 1)


def start_voter(voters, now_ms=0.0):
    """Return a confirmed voter `i0` whose wait after the start ends `block_ms` after `now_ms`."""
    voter = Voter("i0", voters, now_ms, PARAMETERS)
    voter.confirm_list_from_store(voters.revision)
    return voter


def test_a_delayed_duplicate_of_a_release_does_not_remove_a_later_grant():
    """Guards against a second holder while the first one has a lease."""
    voters, now = VoterList(1, ("i0",)), PARAMETERS.block_ms
    voter = start_voter(voters)
    assert voter.handle_request(GrantRequest(FIRST_HOLDER, 1, voters, ("u1",)), now).granted
    voter.handle_release(Release(FIRST_HOLDER, 2, ("u1",)))
    assert not voter.handle_request(GrantRequest(FIRST_HOLDER, 1, voters, ("u1",)), now).granted
    assert voter.handle_request(GrantRequest(FIRST_HOLDER, 3, voters, ("u1",)), now).granted
    voter.handle_release(Release(FIRST_HOLDER, 2, ("u1",)))
    assert not voter.handle_request(GrantRequest(SECOND_HOLDER, 1, voters, ("u1",)), now).granted


def test_a_slow_reply_does_not_extend_the_lease():
    """Guards against a lease that is counted from the reply instead of from the request."""
    voters = VoterList(1, ("i0",))
    holder = Holder(FIRST_HOLDER, voters, RandomSource(1), PARAMETERS)
    holder.set_upstreams(("u1",), 0.0)
    (sent,) = holder.tick(0.0)
    voter = start_voter(voters, -PARAMETERS.block_ms)
    holder.handle_reply(voter.handle_request(sent.message, 1_000.0), 2_000.0)
    assert holder.can_dispatch("u1", PARAMETERS.lease_ms - PARAMETERS.guard_ms - 1)
    assert not holder.can_dispatch("u1", PARAMETERS.lease_ms - PARAMETERS.guard_ms)


def test_voters_refuse_an_outdated_list_and_a_second_change_waits_for_old_leases():
    """Guards against leases granted by disjoint majorities of two voter lists."""
    old, new = VoterList(1, ("i0", "i1", "i2")), VoterList(2, ("i0", "i1"))
    voter, now = start_voter(old), PARAMETERS.block_ms
    assert voter.settled_revision(now) == 1
    voter.apply_voter_list(new, now)
    assert not voter.handle_request(GrantRequest(FIRST_HOLDER, 1, old, ("u1",)), now).granted
    assert voter.settled_revision(now + PARAMETERS.block_ms - 1) == 1
    assert voter.settled_revision(now + PARAMETERS.block_ms) == 2
    for age_ms, revisions, expected in (
        (0, (2, 2), True),
        (0, (2, 1), False),
        (3e3, (2, 2), False),
    ):
        reports = [
            VoterListReport(f"i{index}", revision, now - age_ms)
            for index, revision in enumerate(revisions)
        ]
        assert can_change_voters(old, new, reports, now, PARAMETERS) is expected


def test_a_restarted_voter_grants_nothing_until_its_list_is_confirmed():
    """Guards against grants under a list older than the one the voter reported before a restart."""
    old = VoterList(1, ("i0", "i1", "i2"))
    voter, now = Voter("i0", old, 0.0, PARAMETERS), PARAMETERS.block_ms
    request = GrantRequest(FIRST_HOLDER, 1, old, ("u1",))
    voter.confirm_list_from_store(2)
    voter.confirm_list_from_peer("i1", 1)
    assert not voter.handle_request(request, now).granted
    voter.confirm_list_from_peer("i2", 2)
    assert not voter.handle_request(request, now).granted
    voter.confirm_list_from_peer("i2", 1)
    assert voter.handle_request(request, now).granted
