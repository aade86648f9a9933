"""Routes by host and longest prefix, and the shares of split routes."""

from exchanges import make_single_route

from citronpaddle.policy.catalog import CallerLimits, Catalog, WeightedRotation, WeightedService


def make_catalog(*routes):
    return Catalog(1, tuple(routes), (), CallerLimits())


def test_longest_prefix_wins_and_ends_at_a_slash():
    """Guards against ROUTE: a shorter prefix, or half a segment, must not catch a request."""
    short = make_single_route(name="short", prefix="/a/")
    long = make_single_route(name="long", prefix="/a/b/")
    catalog = make_catalog(short, long)
    assert catalog.find_route("h", "/a/b/c").name == "long"
    assert catalog.find_route("h", "/a/bc").name == "short"
    assert catalog.find_route("h", "/a/b").name == "short"
    assert catalog.find_route("h", "/ab/") is None
    assert catalog.find_route("other", "/a/b/c") is None


def test_root_prefix_catches_everything():
    """Guards against a 404 for a request that the configuration allows."""
    catalog = make_catalog(make_single_route(name="root", prefix="/"))
    assert catalog.find_route("h", "/").name == "root"
    assert catalog.find_route("h", "/x/y").name == "root"


def test_weights_are_kept_in_any_short_run():
    """Guards against CONFIG: shares off their weights by chance over a few hundred requests."""
    targets = (WeightedService("x", 70), WeightedService("y", 20), WeightedService("z", 10))
    rotation = WeightedRotation(targets, 0.4)
    chosen = [rotation.choose() for _ in range(30)]
    assert [chosen.count(name) for name in "xyz"] == [21, 6, 3]


def test_service_of_weight_zero_gets_nothing():
    """Guards against requests to a part that the operator has emptied."""
    rotation = WeightedRotation((WeightedService("x", 0), WeightedService("y", 5)), 0.0)
    assert {rotation.choose() for _ in range(20)} == {"y"}
