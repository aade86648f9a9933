"""Steps that check the limits of upstreams by the counters of their stand-ins."""

import time
from signal import SIGCONT, SIGSTOP

from behave import step, then, when
from cluster import send


def read_stats(context, name):
    """Return the statistics of an upstream stand-in."""
    return send(context.cluster.upstreams[name]["control_address"], "/control/stats").body


def find_owner(context, upstream):
    """Return an instance that reports itself as owner of an upstream, or "" if there is none."""
    for name, entry in context.cluster.entries.items():
        if context.cluster.processes[name].poll() is None:
            if upstream in send(entry["http"], "/v1/status").body["owned_upstreams"]:
                return name
    return ""


def _wait_for_owner(context, upstream):
    """Wait for an owner and return it; at each hand-over there is none for a moment."""
    context.cluster.wait_until(lambda: find_owner(context, upstream))
    return find_owner(context, upstream)


@when('the owner of "{upstream}" is killed')
def kill_owner(context, upstream):
    context.killed = _wait_for_owner(context, upstream)
    context.cluster.kill(context.killed)


@step("the killed instance starts again")
def restart_killed(context):
    context.cluster.start_entry(context.killed)


@when('the owner of "{upstream}" is paused for {seconds:g} s')
def pause_owner(context, upstream, seconds):
    name = _wait_for_owner(context, upstream)
    context.cluster.signal(name, SIGSTOP)
    time.sleep(seconds)
    context.cluster.signal(name, SIGCONT)


@step('"{upstream}" gets an owner again')
def wait_for_owner(context, upstream):
    _wait_for_owner(context, upstream)


@step('"{upstream}" is used with all its slots')
def wait_for_full_use(context, upstream):
    limit = context.cluster.upstreams[upstream]["slots"]
    context.cluster.wait_until(lambda: read_stats(context, upstream)["calls"] == limit)


@then("no upstream got more calls or connections than its limits")
def check_limits(context):
    for name, upstream in context.cluster.upstreams.items():
        stats = read_stats(context, name)
        print(name, {key: value for key, value in stats.items() if key.startswith(("max", "over"))})
        assert stats["max_calls"] <= upstream["slots"], (name, stats)
        assert stats["max_connections"] <= upstream["connections"], (name, stats)
        assert stats["over_limit_calls"] == stats["over_limit_connections"] == 0, (name, stats)


@then('"{upstream}" fell over {count:d} times')
def check_crashes(context, upstream, count):
    stats = read_stats(context, upstream)
    assert stats["falls"] == count, stats


@then('"{upstream}" fell over at most {count:d} times')
def check_max_crashes(context, upstream, count):
    stats = read_stats(context, upstream)
    assert stats["falls"] <= count, stats
