"""Tests of the membership view.

A wrong view sends calls to instances that are gone, or none to instances that are live.
"""

import pytest

from citronpaddle.models import ListedInstance, Member, MemberState
from citronpaddle.policy.membership import (
    Heartbeat,
    Membership,
    MembershipParameters,
    PauseDetector,
    Report,
    VoterListState,
)
from citronpaddle.randomness import RandomSource

PARAMETERS = MembershipParameters()
VOTER_LIST = VoterListState(0, -1, False)
LIVE, LEAVING, SUSPECT = MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT
STEP_MS = 100


def make_member(number, incarnation=1, state=LIVE, domains=3):
    name = f"i{number}"
    return Member(name, incarnation, f"d{number % domains}", f"p{number}", "h", state, 0, 0.0)


def make_listed(number):
    return ListedInstance(f"i{number}", f"d{number % 3}", f"p{number}", "h", False)


class SimulatedFleet:
    """Instances that start with the same instance list; messages arrive at once or not at all."""

    def __init__(self, size):
        self.now_ms, self.unreachable, self.max_targets = 0, set(), 0
        self.views = {}
        for number in range(size):
            own = make_member(number)
            self.views[own.name] = Membership(own, RandomSource(number), 0.0, PARAMETERS)
            self.views[own.name].apply_instance_list(make_listed(other) for other in range(size))
        for view in self.views.values():
            reports = [Report(other.own, 0.0) for other in self.views.values()]
            view.merge_view(reports, 0.0)

    def advance(self, duration_ms):
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            for name in sorted(self.views.keys() - self.unreachable):
                self.send_heartbeats(name)

    def send_heartbeats(self, name):
        heartbeat_round = self.views[name].tick(self.now_ms)
        if heartbeat_round is None:
            return
        self.max_targets = max(self.max_targets, len(heartbeat_round.targets))
        for target in {member.name for member in heartbeat_round.targets} - self.unreachable:
            self.views[target].receive(heartbeat_round.heartbeat, self.now_ms)
            self.views[name].receive(self.views[target].build_heartbeat(self.now_ms), self.now_ms)

    def find_state(self, name, viewer):
        return {m.name: m.state for m in self.views[viewer].list_members()}.get(name)

    def find_states(self, name):
        return {
            self.find_state(name, viewer)
            for viewer in self.views.keys() - {name} - self.unreachable
        }


@pytest.mark.parametrize(("size", "max_delay_ms"), [(9, 2_600), (60, 4_500)])
def test_all_instances_suspect_a_silent_instance_until_it_answers_again(size, max_delay_ms):
    """Guards against calls to a silent instance, and against none to one that has recovered."""
    fleet = SimulatedFleet(size)
    fleet.advance(5_000)
    assert all(fleet.find_states(name) == {LIVE} for name in fleet.views)
    fleet.unreachable.add("i1")
    fleet.advance(max_delay_ms)
    assert fleet.find_states("i1") == {SUSPECT}
    assert fleet.max_targets <= PARAMETERS.fanout
    # The instance list still has i1, so it stays in the view until it answers again.
    fleet.advance(15_000)
    assert fleet.find_states("i1") == {SUSPECT}
    fleet.unreachable.clear()
    fleet.advance(5_000)
    assert fleet.find_states("i1") == {LIVE}


def test_a_silent_instance_is_removed_only_when_it_is_no_longer_listed():
    """Guards against removing an instance that is listed, or one that is not listed but answers."""
    fleet = SimulatedFleet(9)
    fleet.unreachable.add("i1")
    fleet.advance(9_000)
    for view in fleet.views.values():
        view.apply_instance_list(make_listed(number) for number in range(9) if number not in (1, 2))
    fleet.advance(4_000)
    assert fleet.find_states("i1") == {None}
    # The list does not have i2 either, but i2 answers.
    assert fleet.find_states("i2") == {LIVE}


def test_a_late_report_restores_neither_an_old_incarnation_nor_an_earlier_state():
    """Guards against a delayed message that makes a leaving instance usable again."""
    view = Membership(make_member(0), RandomSource(1), 0.0, PARAMETERS)
    previous, current = make_member(1, 1), make_member(1, 2)
    for member in (previous, current, previous, current._replace(state=LEAVING), current):
        view.receive(Heartbeat(member, VOTER_LIST, ()), 10.0)
    (found,) = view.list_members()
    assert (found.incarnation, found.state) == (2, LEAVING)
    assert not view.is_superseded
    view.merge_view([Report(make_member(0, 2), 0.0)], 10.0)
    assert view.is_superseded


def test_the_report_with_the_newer_evidence_wins():
    """Guards against an older report that overrides newer evidence of suspicion or liveness."""
    view = Membership(make_member(0), RandomSource(1), 0.0, PARAMETERS)
    other = make_member(1)
    view.receive(Heartbeat(other, VOTER_LIST, ()), 1_000.0)
    suspect = other._replace(state=SUSPECT)
    for age_ms, state in ((1_500.0, LIVE), (500.0, SUSPECT)):
        view.merge_view([Report(suspect, age_ms)], 2_000.0)
        assert view.list_members()[0].state == state
    view.merge_view([Report(other, 700.0)], 2_000.0)
    assert view.list_members()[0].state == SUSPECT
    view.merge_view([Report(other, 100.0)], 2_000.0)
    assert view.list_members()[0].state == LIVE


def test_an_instance_suspects_no_other_after_its_own_pause():
    """Guards against a paused instance that takes the missed messages for failures of others."""
    fleet = SimulatedFleet(9)
    fleet.advance(3_000)
    fleet.unreachable.add("i0")
    detector = PauseDetector(fleet.now_ms)
    fleet.advance(30_000)
    fleet.unreachable.clear()
    pause_ms = detector.observe(fleet.now_ms)
    assert pause_ms == 30_000 and detector.observe(fleet.now_ms + 500) == 0.0
    fleet.views["i0"].compensate_for_pause(pause_ms)
    fleet.views["i0"].tick(fleet.now_ms)
    assert len(fleet.views["i0"].list_usable()) == 9
    assert {m.failure_domain for m in fleet.views["i0"].list_usable("d1")} == {"d1"}
