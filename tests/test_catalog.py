"""Route lookup by host and longest prefix, and the weights of split routes."""

from exchanges import make_single_route

from citronpaddle.policy.catalog import CallerLimits, Catalog, WeightedRotation, WeightedService


def make_catalog(*routes):
    return Catalog(1, tuple(routes), (), CallerLimits())


def test_longest_prefix_wins_and_ends_at_a_slash():
    """Guards against wrong routing: a shorter prefix or a partial segment must not match."""
    short = make_single_route(name="short", prefix="/a/")
    long = make_single_route(name="long", prefix="/a/b/")
    catalog = make_catalog(short, long)
    assert catalog.find_route("h", "/a/b/c").name == "long"
    assert catalog.find_route("h", "/a/bc").name == "short"
    assert catalog.find_route("h", "/a/b").name == "short"
    assert catalog.find_route("h", "/ab/") is None
    assert catalog.find_route("other", "/a/b/c") is None


def test_root_prefix_matches_every_path():
    """Guards against a 404 response for a request that a route matches."""
    catalog = make_catalog(make_single_route(name="root", prefix="/"))
    assert catalog.find_route("h", "/").name == "root"
    assert catalog.find_route("h", "/x/y").name == "root"


def test_weights_are_exact_over_short_runs():
    """Guards against shares that deviate by chance from the weights over some hundred requests."""
    targets = (WeightedService("x", 70), WeightedService("y", 20), WeightedService("z", 10))
    rotation = WeightedRotation(targets, 0.4)
    chosen = [rotation.choose() for _ in range(30)]
    assert [chosen.count(name) for name in "xyz"] == [21, 6, 3]


def test_service_of_weight_zero_gets_nothing():
    """Guards against requests to a service whose weight the operator has set to zero."""
    rotation = WeightedRotation((WeightedService("x", 0), WeightedService("y", 5)), 0.0)
    assert {rotation.choose() for _ in range(20)} == {"y"}
