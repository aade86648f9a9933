"""Two owners of one upstream would together exceed its slots; no fault may lead to that."""

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
    ListReport,
    Release,
    VoterList,
    can_change_voters,
    is_single_change,
)
from citronpaddle.policy.ownership import Holder
from citronpaddle.policy.rendezvous import rank_candidates
from citronpaddle.policy.voter import Voter
from citronpaddle.randomness import RandomSource

TERMS = LeaseParameters()
UPSTREAMS = ("u1", "u2", "u3")
SLOTS = 2
CALL_MS = 2_000
TICK_MS = 50
GAP_MS = 500
SILENCE_MS = 2_500


class Process:
    """One run of an instance, with a clock of its own that is up to 0.5% fast or slow."""

    def __init__(self, fleet, name, incarnation, voters):
        self.fleet, self.name, self.incarnation = fleet, name, incarnation
        self.rate = 1 + fleet.random.choice((-0.005, 0.0, 0.005))
        self.offset_ms = fleet.random.uniform(0, 1e6)
        self.paused_until, self.ends_ms = 0, math.inf
        self.calls = []
        self.heard = {}
        self.last_ms = now = self.now_ms()
        self.next_poll_ms = now
        self.voter = Voter(name, voters, now, TERMS)
        self.holder = Holder(HolderId(name, incarnation), voters, fleet.random, TERMS)
        self.holder.set_upstreams(UPSTREAMS, now)

    def now_ms(self):
        return self.offset_ms + self.fleet.time_ms * self.rate

    def learn(self, voters):
        self.voter.apply_voter_list(voters, self.now_ms())
        self.holder.apply_voter_list(voters, self.now_ms())

    def wake(self):
        now = self.now_ms()
        if now - self.last_ms > GAP_MS:
            self.holder.drop_all(now)
        self.last_ms = now

    def tick(self):
        self.wake()
        now = self.now_ms()
        for call in [call for call in self.calls if call[1] <= self.fleet.time_ms]:
            self.calls.remove(call)
            self.holder.close_call(call[0])
        if now >= self.next_poll_ms:
            self.next_poll_ms = now + 500
            self.poll(now)
        for to, message in self.holder.tick(now):
            self.fleet.send(self, to, message)
        self.dispatch()

    def poll(self, now):
        if self.fleet.reaches_store(self):
            self.learn(self.fleet.lists[-1])
            self.voter.confirm_list_from_store(self.fleet.lists[-1].revision)
        for name in self.fleet.current:
            self.fleet.send(self, name, ("ping", self.name, self.incarnation))
        self.holder.set_live_instances(
            [n for n, at in self.heard.items() if now - at < SILENCE_MS], now
        )

    def dispatch(self):
        for upstream in UPSTREAMS:
            while [call[0] for call in self.calls].count(upstream) < SLOTS:
                if not self.holder.open_call(upstream, self.now_ms()):
                    break
                share = self.fleet.random.choice((0.01, 0.3, 1.0, 1.0))
                self.calls.append((upstream, self.fleet.time_ms + share * CALL_MS / self.rate))
                self.fleet.check_slots(upstream)

    def handle(self, message):
        self.wake()
        now = self.now_ms()
        match message:
            case GrantRequest():
                reply = self.voter.handle_request(message, now)
                self.fleet.send(self, message.holder.name, reply)
            case Release():
                self.voter.handle_release(message)
            case GrantReply():
                for to, ask in self.holder.handle_reply(message, now):
                    self.fleet.send(self, to, ask)
            case HandOver():
                self.holder.handle_hand_over(message, now)
            case ("ping", sender, nonce):
                confirmed = self.voter.is_list_confirmed
                pong = ("pong", self.name, nonce, self.voter.voters, confirmed)
                self.fleet.send(self, sender, pong)
            case ("pong", sender, nonce, voters, confirmed) if nonce == self.incarnation:
                self.heard[sender] = now
                self.learn(voters)
                if confirmed:
                    self.voter.confirm_list_from_peer(sender, voters.revision)
        self.dispatch()


class Fleet:
    """Instances, their links and the store, in virtual time."""

    def __init__(self, size, seed_value):
        self.random = RandomSource(seed_value)
        self.time_ms = 0
        self.order = count()
        self.queue = []
        names = [f"i{number}" for number in range(size)]
        self.lists = [VoterList(0, tuple(names[:3]))]
        self.current = {name: Process(self, name, 1, self.lists[0]) for name in names}
        self.former = []
        self.calm()

    def calm(self):
        self.loss, self.copies, self.max_delay_ms = 0.0, 0.0, 5
        self.cut_off, self.is_store_up = frozenset(), True

    def processes(self):
        return [*self.current.values(), *self.former]

    def is_linked(self, name, other):
        return (name in self.cut_off) == (other in self.cut_off)

    def reaches_store(self, process):
        return self.is_store_up and process.name not in self.cut_off

    def send(self, sender, to, message):
        if sender.name != to and (
            not self.is_linked(sender.name, to) or self.random.random() < self.loss
        ):
            return
        for _ in range(2 if self.random.random() < self.copies else 1):
            late = self.max_delay_ms if self.random.random() < 0.2 else min(50, self.max_delay_ms)
            at_ms = self.time_ms + self.random.uniform(0.5, late)
            heapq.heappush(self.queue, (at_ms, next(self.order), to, message))

    def advance(self, by_ms):
        end_ms = self.time_ms + by_ms
        while self.time_ms < end_ms:
            tick_ms = self.time_ms - self.time_ms % TICK_MS + TICK_MS
            while self.queue and self.queue[0][0] <= tick_ms:
                at_ms, _, to, message = heapq.heappop(self.queue)
                receiver = self.current[to]
                if at_ms < receiver.paused_until:
                    # The bytes wait in the socket of the paused process.
                    late = (receiver.paused_until, next(self.order), to, message)
                    heapq.heappush(self.queue, late)
                    continue
                self.time_ms = max(self.time_ms, at_ms)
                receiver.handle(message)
            self.time_ms = tick_ms
            self.former = [p for p in self.former if p.ends_ms + CALL_MS * 1.1 > tick_ms]
            for process in self.processes():
                if process.paused_until <= self.time_ms < process.ends_ms:
                    process.tick()
            self.check()

    def check_slots(self, upstream):
        running = sum(
            call[0] == upstream and call[1] > self.time_ms
            for process in self.processes()
            for call in process.calls
        )
        assert running <= SLOTS, f"{running} calls at {upstream} at {self.time_ms} ms"

    def check(self):
        for upstream in UPSTREAMS:
            passing = self.find_owners(upstream)
            assert len(passing) <= 1, f"{passing} may dispatch to {upstream} at {self.time_ms} ms"

    def find_owners(self, upstream):
        return [
            (process.name, process.incarnation)
            for process in self.processes()
            if self.time_ms < process.ends_ms
            and process.holder.can_dispatch(upstream, process.now_ms())
        ]

    def restart(self, name, runs_on, lag):
        old = self.current[name]
        voters = self.lists[max(0, len(self.lists) - 1 - lag)]
        self.current[name] = Process(self, name, old.incarnation + 1, voters)
        # Calls of an ended process go on at the upstreams.
        old.ends_ms = self.time_ms + (self.random.uniform(0, 20_000) if runs_on else 0)
        self.former.append(old)

    def drain(self, name, is_leaving):
        """Make `name` hand back its upstreams, for good or to ask for them again."""
        holder, now = self.current[name].holder, self.current[name].now_ms()
        if is_leaving:
            holder.start_leaving()
            return
        holder.set_upstreams((), now)
        holder.set_upstreams(UPSTREAMS, now)

    def change_voters(self, name):
        reports = [
            ListReport(p.name, p.voter.settled_revision(p.now_ms()), self.time_ms)
            for p in self.current.values()
            if p.name not in self.cut_off and p.paused_until <= self.time_ms
        ]
        last = self.lists[-1]
        names = tuple(sorted(set(last.names) ^ {name}))
        if not names or not is_single_change(last.names, names) or not self.is_store_up:
            return False
        before = self.lists[-2] if len(self.lists) > 1 else last
        if not can_change_voters(before, last, reports, self.time_ms, TERMS):
            return False
        self.lists.append(VoterList(last.revision + 1, names))
        return True


INDEXES = st.integers(0, 4)
NODES = st.sets(INDEXES, max_size=3) | st.just(frozenset())
PAUSES_MS = st.sampled_from((300, 900, 2_900, 3_100, 5_400, 30_000))
DELAYS_MS = st.sampled_from((5, 5, 400, 2_000, 8_000))


class OwnershipMachine(RuleBasedStateMachine):
    """Faults and changes that meet each other at any moment."""

    @initialize(size=st.integers(3, 5), seed_value=st.integers(0, 2**32))
    def start(self, size, seed_value):
        self.fleet = Fleet(size, seed_value)
        self.fleet.advance(8_000)

    def pick(self, indexes):
        names = sorted(self.fleet.current)
        return sorted({names[index % len(names)] for index in indexes})

    @rule(by_ms=st.integers(100, 7_000))
    def advance(self, by_ms):
        self.fleet.calm()
        self.fleet.advance(by_ms)

    @rule(
        cut_off=NODES,
        paused=NODES,
        pause_ms=PAUSES_MS,
        is_owner_paused=st.booleans(),
        is_store_up=st.booleans(),
        by_ms=st.integers(0, 3_000),
    )
    def isolate(self, cut_off, paused, pause_ms, is_owner_paused, is_store_up, by_ms):
        self.fleet.cut_off = frozenset(self.pick(cut_off))
        self.fleet.is_store_up = is_store_up
        names = set(self.pick(paused))
        if is_owner_paused:
            names.update(name for name, _ in self.fleet.find_owners("u1"))
        for name in names:
            self.fleet.current[name].paused_until = self.fleet.time_ms + pause_ms
        self.fleet.advance(by_ms)

    @rule(restarted=NODES, runs_on=st.booleans(), lag=st.integers(0, 3))
    def restart(self, restarted, runs_on, lag):
        for name in self.pick(restarted):
            self.fleet.restart(name, runs_on, lag)

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.5)),
        copies=st.sampled_from((0.0, 0.5)),
        delay_ms=DELAYS_MS,
        by_ms=st.integers(0, 4_000),
    )
    def disturb(self, loss, copies, delay_ms, by_ms):
        self.fleet.loss, self.fleet.copies = loss, copies
        self.fleet.max_delay_ms = delay_ms
        self.fleet.advance(by_ms)

    @rule(index=INDEXES)
    def change_voters(self, index):
        self.fleet.change_voters(*self.pick([index]))

    @rule(index=INDEXES, is_leaving=st.booleans())
    def drain(self, index, is_leaving):
        (name,) = self.pick([index])
        self.fleet.drain(name, is_leaving)

    @invariant()
    def hold_one_owner(self):
        if hasattr(self, "fleet"):
            self.fleet.check()


def test_no_fault_makes_two_owners_or_exceeds_the_slots():
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
def test_every_upstream_gets_an_owner_after_faults_stop(seed_value):
    fleet = Fleet(5, seed_value)
    fleet.advance(3_000)
    fleet.loss, fleet.copies, fleet.max_delay_ms = 0.3, 0.3, 2_000
    fleet.advance(12_000)
    fleet.restart("i4", False, 0)
    # One of three voters is down for good.
    fleet.current["i1"].paused_until = math.inf
    fleet.calm()
    fleet.queue.clear()
    fleet.advance(TERMS.block_ms + TERMS.rank_delay_ms)
    owners = {upstream: fleet.find_owners(upstream) for upstream in UPSTREAMS}
    assert all(owners.values()), owners


def test_a_better_ranked_instance_gets_its_upstreams_back():
    fleet = Fleet(4, 1)
    best = rank_candidates("u1", fleet.current)[0]
    fleet.current[best].paused_until = 20_000
    fleet.advance(20_000)
    assert [name for name, _ in fleet.find_owners("u1")] not in ([], [best])
    fleet.advance(6_000)
    assert [name for name, _ in fleet.find_owners("u1")] == [best]


A, B = HolderId("i0", 1), HolderId("i1", 1)


def start_voter(voters, now_ms=0.0):
    """Return a confirmed voter `i0` whose start wait is over at `block_ms`."""
    voter = Voter("i0", voters, now_ms, TERMS)
    voter.confirm_list_from_store(voters.revision)
    return voter


def test_a_late_copy_of_a_release_does_not_lift_a_later_grant():
    voters, now = VoterList(1, ("i0",)), TERMS.block_ms
    voter = start_voter(voters)
    assert voter.handle_request(GrantRequest(A, 1, voters, ("u1",)), now).granted
    voter.handle_release(Release(A, 2, ("u1",)))
    assert not voter.handle_request(GrantRequest(A, 1, voters, ("u1",)), now).granted
    assert voter.handle_request(GrantRequest(A, 3, voters, ("u1",)), now).granted
    voter.handle_release(Release(A, 2, ("u1",)))
    assert not voter.handle_request(GrantRequest(B, 1, voters, ("u1",)), now).granted


def test_a_slow_reply_does_not_lengthen_the_lease():
    voters = VoterList(1, ("i0",))
    holder = Holder(A, voters, RandomSource(1), TERMS)
    holder.set_upstreams(("u1",), 0.0)
    (sent,) = holder.tick(0.0)
    voter = start_voter(voters, -TERMS.block_ms)
    holder.handle_reply(voter.handle_request(sent.message, 1_000.0), 2_000.0)
    assert holder.can_dispatch("u1", TERMS.lease_ms - TERMS.guard_ms - 1)
    assert not holder.can_dispatch("u1", TERMS.lease_ms - TERMS.guard_ms)


def test_a_list_two_changes_old_makes_no_majority():
    old, new = VoterList(1, ("i0", "i1", "i2")), VoterList(2, ("i0", "i1"))
    voter, now = start_voter(old), TERMS.block_ms
    assert voter.settled_revision(now) == 1
    voter.apply_voter_list(new, now)
    assert not voter.handle_request(GrantRequest(A, 1, old, ("u1",)), now).granted
    assert voter.settled_revision(now + TERMS.block_ms - 1) == 1
    assert voter.settled_revision(now + TERMS.block_ms) == 2
    for age_ms, revisions, expected in (
        (0, (2, 2), True),
        (0, (2, 1), False),
        (3e3, (2, 2), False),
    ):
        reports = [
            ListReport(f"i{index}", revision, now - age_ms)
            for index, revision in enumerate(revisions)
        ]
        assert can_change_voters(old, new, reports, now, TERMS) is expected


def test_a_restarted_voter_grants_nothing_under_a_list_older_than_its_own_report():
    old = VoterList(1, ("i0", "i1", "i2"))
    voter, now = Voter("i0", old, 0.0, TERMS), TERMS.block_ms
    request = GrantRequest(A, 1, old, ("u1",))
    voter.confirm_list_from_store(2)
    voter.confirm_list_from_peer("i1", 1)
    assert not voter.handle_request(request, now).granted
    voter.confirm_list_from_peer("i2", 2)
    assert not voter.handle_request(request, now).granted
    voter.confirm_list_from_peer("i2", 1)
    assert voter.handle_request(request, now).granted
