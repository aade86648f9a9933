"""A wrong view sends work to the dead or keeps it from the living."""

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

TERMS = MembershipParameters()
LISTS = VoterListState(0, -1, False)
LIVE, LEAVING, SUSPECT = MemberState.LIVE, MemberState.LEAVING, MemberState.SUSPECT
STEP_MS = 100


def make_member(number, incarnation=1, state=LIVE, domains=3):
    name = f"i{number}"
    return Member(name, incarnation, f"d{number % domains}", f"p{number}", "h", state, 0, 0.0)


def make_listed(number):
    return ListedInstance(f"i{number}", f"d{number % 3}", f"p{number}", "h", False)


class Fleet:
    """Instances that all started with the same list; messages arrive at once or not at all."""

    def __init__(self, size):
        self.now_ms, self.down, self.busiest = 0, set(), 0
        self.views = {}
        for number in range(size):
            own = make_member(number)
            self.views[own.name] = Membership(own, RandomSource(number), 0.0, TERMS)
            self.views[own.name].apply_instance_list(make_listed(other) for other in range(size))
        for view in self.views.values():
            everyone = [Report(other.own, 0.0) for other in self.views.values()]
            view.merge_view(everyone, 0.0)

    def advance(self, by_ms):
        for _ in range(by_ms // STEP_MS):
            self.now_ms += STEP_MS
            for name in sorted(self.views.keys() - self.down):
                self.beat(name)

    def beat(self, name):
        beats = self.views[name].tick(self.now_ms)
        if beats is None:
            return
        self.busiest = max(self.busiest, len(beats.targets))
        for target in {member.name for member in beats.targets} - self.down:
            self.views[target].receive(beats.heartbeat, self.now_ms)
            self.views[name].receive(self.views[target].build_heartbeat(self.now_ms), self.now_ms)

    def find_state(self, name, viewer):
        return {m.name: m.state for m in self.views[viewer].list_members()}.get(name)

    def find_states(self, name):
        return {self.find_state(name, viewer) for viewer in self.views.keys() - {name} - self.down}


@pytest.mark.parametrize(("size", "bound_ms"), [(9, 2_600), (60, 4_500)])
def test_all_find_out_that_an_instance_is_silent_and_that_it_is_back(size, bound_ms):
    fleet = Fleet(size)
    fleet.advance(5_000)
    assert all(fleet.find_states(name) == {LIVE} for name in fleet.views)
    fleet.down.add("i1")
    fleet.advance(bound_ms)
    assert fleet.find_states("i1") == {SUSPECT}
    assert fleet.busiest <= TERMS.fanout
    # The list still names it, so it is kept for the day it answers.
    fleet.advance(15_000)
    assert fleet.find_states("i1") == {SUSPECT}
    fleet.down.clear()
    fleet.advance(5_000)
    assert fleet.find_states("i1") == {LIVE}


def test_a_silent_instance_goes_only_when_the_list_has_dropped_it():
    fleet = Fleet(9)
    fleet.down.add("i1")
    fleet.advance(9_000)
    for view in fleet.views.values():
        view.apply_instance_list(make_listed(number) for number in range(9) if number not in (1, 2))
    fleet.advance(4_000)
    assert fleet.find_states("i1") == {None}
    # The list lacks this one too, but it answers.
    assert fleet.find_states("i2") == {LIVE}


def test_a_late_report_neither_restores_a_former_run_nor_undoes_leaving():
    view = Membership(make_member(0), RandomSource(1), 0.0, TERMS)
    former, new = make_member(1, 1), make_member(1, 2)
    for member in (former, new, former, new._replace(state=LEAVING), new):
        view.receive(Heartbeat(member, LISTS, ()), 10.0)
    (seen,) = view.list_members()
    assert (seen.incarnation, seen.state) == (2, LEAVING)
    assert not view.is_superseded
    view.merge_view([Report(make_member(0, 2), 0.0)], 10.0)
    assert view.is_superseded


def test_the_report_with_the_newer_evidence_wins():
    view = Membership(make_member(0), RandomSource(1), 0.0, TERMS)
    other = make_member(1)
    view.receive(Heartbeat(other, LISTS, ()), 1_000.0)
    suspicion = other._replace(state=SUSPECT)
    for age_ms, state in ((1_500.0, LIVE), (500.0, SUSPECT)):
        view.merge_view([Report(suspicion, age_ms)], 2_000.0)
        assert view.list_members()[0].state == state
    view.merge_view([Report(other, 700.0)], 2_000.0)
    assert view.list_members()[0].state == SUSPECT
    view.merge_view([Report(other, 100.0)], 2_000.0)
    assert view.list_members()[0].state == LIVE


def test_an_instance_that_was_paused_suspects_nobody_for_its_own_silence():
    fleet = Fleet(9)
    fleet.advance(3_000)
    fleet.down.add("i0")
    detector = PauseDetector(fleet.now_ms)
    fleet.advance(30_000)
    fleet.down.clear()
    pause_ms = detector.observe(fleet.now_ms)
    assert pause_ms == 30_000 and detector.observe(fleet.now_ms + 500) == 0.0
    fleet.views["i0"].compensate_for_pause(pause_ms)
    fleet.views["i0"].tick(fleet.now_ms)
    assert len(fleet.views["i0"].list_usable()) == 9
    assert {m.failure_domain for m in fleet.views["i0"].list_usable("d1")} == {"d1"}
