"""What instances tell each other of upstreams, and which of them are in use."""

from exchanges import World, make_single_route, make_upstream, succeed
from hypothesis import given
from hypothesis import strategies as st

from citronpaddle.adapters.hintchannel import PeerMessage, decode, encode
from citronpaddle.policy.active import STABLE_PERIOD_MS, REPORT_TIMEOUT_MS, SMALL_DOMAIN, ActiveSet
from citronpaddle.policy.feed import FeedBatch
from citronpaddle.policy.hints import Hint, HintKind, Hints
from citronpaddle.policy.members import Member
from citronpaddle.statestore import StoreItem

PAIR = [make_upstream("a0"), make_upstream("b0")]


# Half a core each: this many are enough for a domain.
ENOUGH = 8


def make_members(count, domain="a", cores=0.5, first=0):
    return [
        Member(f"{domain}{number:02}", f"h{number}:80", domain, "", cores)
        for number in range(first, first + count)
    ]


def test_upstream_that_another_instance_finds_late_is_avoided_for_a_moment():
    """Load: a pause that another instance has met. Guards against finding it out again."""
    world = World(PAIR, lambda call, now_ms: succeed())
    world.hints.apply([Hint(HintKind.LATE, "a0", 40.0)], world.now_ms)
    for _ in range(5):
        world.run(make_single_route())
    assert {call.upstream.id for _, call in world.calls} == {"b0"}
    world.now_ms += 1_000.0
    for _ in range(40):
        world.run(make_single_route())
    assert "a0" in {call.upstream.id for _, call in world.calls}


def test_false_hints_about_all_upstreams_stop_no_request():
    """Guards against a slow instance whose calls are all late: it must not stop the others."""
    world = World(PAIR, lambda call, now_ms: succeed())
    world.hints.apply([Hint(HintKind.LATE, name, 40.0) for name in ("a0", "b0")], world.now_ms)
    world.hints.apply([Hint(HintKind.ANSWERED, "a0", 1e308)], world.now_ms)
    outcome, took_ms = world.run(make_single_route())
    assert outcome.replies and took_ms == 10.0


def test_hints_are_given_only_where_calls_are_rare():
    """Guards against datagrams that tell instances what they see themselves."""
    world = World(PAIR, lambda call, now_ms: succeed())
    scheduled = []
    hints = Hints(world.selector, lambda: scheduled.append(1))
    hints.update_enabled(calls=400, upstreams=40, period_ms=2_000.0)
    hints.record_late("a0", 40.0, world.now_ms)
    assert not scheduled and not hints.pop_pending()
    hints.update_enabled(calls=40, upstreams=40, period_ms=2_000.0)
    hints.record_late("a0", 40.0, world.now_ms)
    hints.record_late("b0", 40.0, world.now_ms)
    hints.record_answered("a0", 6.0)
    assert scheduled == [1]
    assert hints.pop_pending() == [
        Hint(HintKind.ANSWERED, "a0", 6.0),
        Hint(HintKind.LATE, "b0", 40.0),
    ]


def test_messages_keep_their_meaning():
    """Guards against a codec that loses hints or changes."""
    hints = (Hint(HintKind.LATE, "a0", 40.5), Hint(HintKind.ANSWERED, "b0", 6.0))
    changes = (StoreItem("servers/a", b"\x00\xff", 7), StoreItem("servers/b", None, 8))
    for message in (
        PeerMessage("i0", 1.5, hints),
        PeerMessage("i0", 1.5, (), FeedBatch(3, 8, 12.5, changes)),
        PeerMessage("i0", 1.5, (), FeedBatch(8, 8, 0.0)),
    ):
        assert decode(encode(message)) == message


@given(st.binary(max_size=300))
def test_foreign_datagrams_are_refused(data):
    """Guards against an instance that any bytes on its port can stop."""
    assert isinstance(decode(data), str | PeerMessage)


def test_small_domain_uses_all_of_its_instances():
    """Guards against leaving out instances of which there are few."""
    members = make_members(SMALL_DOMAIN)
    assert sorted(ActiveSet().choose(members)) == members


def test_all_choose_the_same_few_instances_of_a_large_domain():
    """Guards against traffic so thin that no instance knows its upstreams."""
    members = make_members(30) + make_members(30, "b")
    chosen = ActiveSet().choose(members)
    assert len(chosen) == 2 * ENOUGH
    assert sorted(ActiveSet().choose(reversed(members))) == sorted(chosen)


def test_strong_instances_are_used_first():
    """Load: queries over 90 shards at instances of half a core or of two, as on the grown sites.

    Guards against 90 ms of processor time for a query that has 110 ms.
    """
    strong = make_members(2, cores=2.15, first=50)
    members = make_members(28) + strong
    assert ActiveSet().choose(members) == strong


def test_instance_that_falls_silent_is_not_named_to_callers():
    """Load: both instances in use are killed. Guards against naming them until their leases end."""
    strong = make_members(2, cores=2.15, first=50)
    members = make_members(28) + strong
    active = ActiveSet()
    for now_ms in range(0, 2_000, 500):
        for member in strong:
            active.record_loop_lag(member.name, 1.0, now_ms)
        active.review(members, now_ms)
    assert active.choose(members) == strong
    active.record_loop_lag(strong[0].name, 1.0, 1_500 + REPORT_TIMEOUT_MS)
    active.review(members, 1_600 + REPORT_TIMEOUT_MS)
    chosen = active.choose(members)
    assert strong[0] in chosen and strong[1] not in chosen and len(chosen) > 1
    active.review(members, 4_000 + REPORT_TIMEOUT_MS)
    assert not set(strong) & set(active.choose(members))
    active.record_loop_lag(strong[1].name, 1.0, 4_500 + REPORT_TIMEOUT_MS)
    active.review(members, 4_600 + REPORT_TIMEOUT_MS)
    assert strong[1] in active.choose(members)


def test_strain_brings_more_instances_into_use_and_calm_sends_them_back():
    """Load: a burst strains half of the instances in use for 5 s, then it is calm."""
    members = make_members(100)
    active = ActiveSet()
    now_ms = 0.0
    for second in range(60):
        now_ms = second * 1_000.0
        for number, member in enumerate(active.choose(members)):
            is_strained = second < 5 and number % 2
            active.record_loop_lag(member.name, 40.0 if is_strained else 1.0, now_ms)
        active.review(members, now_ms)
        if second == 5:
            assert len(active.choose(members)) == 100
    assert len(active.choose(members)) < 100
    assert now_ms > STABLE_PERIOD_MS


def test_one_slow_machine_does_not_widen_the_set():
    """Guards against giving up warm connections for one slow machine."""
    members = make_members(30)
    active = ActiveSet()
    for second in range(10):
        for number, member in enumerate(active.choose(members)):
            active.record_loop_lag(member.name, 500.0 if number == 0 else 1.0, second * 1_000.0)
        active.review(members, second * 1_000.0)
    assert len(active.choose(members)) == ENOUGH


def test_shares_of_common_limits_add_up_to_one_at_most():
    """Guards against BUDGET: the shares of all instances together are the whole."""
    members = make_members(30) + make_members(5, "b")
    names = [member.name for member in members] + ["just-left"]
    active = ActiveSet()
    total = sum(active.compute_share(name, members, names) for name in names)
    assert 0.99 < total <= 1.000001
