"""Which instances callers are told to use."""

from citronpaddle.policy.members import STORE_RETURN_GRACE_MS, Member, Members

OWN = Member("i0", "10.0.0.1:80", "a")
OTHER = Member("i1", "10.0.0.2:80", "b")


def make_members():
    members = Members(OWN)
    members.put(OWN, 0.0)
    members.put(OTHER, 0.0)
    return members


def test_instance_without_an_entry_is_not_named():
    """Guards against DRAIN: callers sent to an instance that is gone."""
    members = make_members()
    members.remove("i1", 10.0)
    assert members.list_addresses("a", True, list) == [OWN.address]


def test_near_instances_come_first():
    """Guards against the 64 addresses leaving out those of the caller's own domain."""
    members = make_members()
    assert members.list_addresses("b", True, list) == [OTHER.address, OWN.address]


def test_callers_stay_in_their_own_domain_if_it_has_instances_enough():
    """Guards against the way to another domain and back on most requests."""
    members = make_members()
    near = Member("i2", "10.0.0.3:80", "a")
    members.put(near, 0.0)
    assert members.list_addresses("a", True, list) == [OWN.address, near.address]
    assert len(members.list_addresses("b", True, list)) == 3
    assert len(members.list_addresses("unknown", True, list)) == 3


def test_leaving_instance_names_itself_only_if_it_is_alone():
    """Guards against an empty answer, and against callers coming to an instance that stops."""
    members = make_members()
    assert members.list_addresses("a", False, list) == [OTHER.address]
    members.remove("i1", 10.0)
    assert members.list_addresses("a", False, list) == [OWN.address]


def test_lapsed_entries_are_kept_until_renewed():
    """Guards against all callers at one instance after entries lapsed with the store."""
    members = make_members()
    members.handle_store_return(1_000.0)
    members.remove("i1", 1_100.0)
    assert len(members.list_addresses("a", True, list)) == 2
    members.expire(1_000.0 + STORE_RETURN_GRACE_MS)
    assert members.list_addresses("a", True, list) == [OWN.address]


def test_budgets_are_still_shared_with_an_instance_that_just_left():
    """Guards against BUDGET: an instance missing for a moment still spends its share."""
    members = make_members()
    members.remove("i1", 10.0)
    assert members.list_recent(5_000.0) == ("i0", "i1")
    assert members.list_recent(60_000.0) == ("i0",)
