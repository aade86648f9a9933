"""Steps that send continuous queries, inject faults and check the answers."""

import json
import time
from collections import Counter
from signal import SIGCONT, SIGSTOP

from behave import step, then, when
from cluster import send
from traffic import Traffic, find_violations

from citronpaddle.standins.upstream_options import make_layout


@step("queries run through all instances from {threads:d} threads each")
def start_traffic(context, threads):
    context.traffic = Traffic(context.cluster, list(context.cluster.entries), threads)


@step("queries run through all instances from {threads:d} threads each, 1 in {count:d} given up")
def start_traffic_with_abandons(context, threads, count):
    names = list(context.cluster.entries)
    context.traffic = Traffic(context.cluster, names, threads, 0.01, count)


@step("a complete answer of version {version:d} is seen")
def wait_for_version(context, version):
    """Wait until a version is served; after a change before that, no query would see it."""
    end_s = time.monotonic() + 20
    while time.monotonic() < end_s:
        records = list(context.traffic.records)
        if any(r.is_complete and r.body["snapshot"]["version"] == version for r in records):
            return
        time.sleep(0.02)
    raise AssertionError(f"no complete answer of version {version} among {len(records)}")


@step("{count:d} queries have been given up")
def wait_for_abandoned(context, count):
    """Wait until `count` queries were given up, however slow the machine is."""
    end_s = time.monotonic() + 120
    while context.traffic.abandoned_count < count:
        assert time.monotonic() < end_s, context.traffic.abandoned_count
        time.sleep(0.05)


@step("{seconds:g} s pass")
def wait(context, seconds):
    time.sleep(seconds)


@when("the queries stop")
def stop_traffic(context):
    context.records = context.traffic.stop()
    counts = Counter((record.entry, record.status) for record in context.records)
    print("answers by instance and status:", dict(counts))


def control(context, names, **changes):
    """Set options of upstream stand-ins; `names` are separated by commas."""
    for name in names.split(","):
        address = context.cluster.upstreams[name]["control_address"]
        reply = send(address, "/control", changes)
        assert reply.status == 200, reply


@step("upstream {names} gets {changes}")
def change_upstream(context, names, changes):
    control(context, names, **json.loads(changes))


@step("upstream {names} holds shards {first:d} to {last:d} of {total:d} at versions {versions}")
def change_layout(context, names, first, last, total, versions):
    shards = make_layout(total, json.loads(versions), first, last)
    control(context, names, shards=[shard.model_dump() for shard in shards])


@when('"{name}" is killed')
def kill(context, name):
    context.cluster.kill(name)


@when('"{name}" is paused for {seconds:g} s')
def pause(context, name, seconds):
    context.cluster.signal(name, SIGSTOP)
    time.sleep(seconds)
    context.cluster.signal(name, SIGCONT)


@then("at least {count:d} answers were complete")
def check_complete_count(context, count):
    complete = sum(record.is_complete for record in context.records)
    assert complete >= count, complete


@then("at least {count:d} queries were given up")
def check_abandoned(context, count):
    assert context.traffic.abandoned_count >= count, context.traffic.abandoned_count


@then("at least {share:d} % of the answers were complete")
def check_share(context, share):
    complete = sum(record.is_complete for record in context.records)
    assert 100 * complete >= share * len(context.records), (complete, len(context.records))


@then("answers of versions {versions} were seen")
def check_versions(context, versions):
    versions_answered = {r.body["snapshot"]["version"] for r in context.records if r.is_complete}
    assert versions_answered >= set(json.loads(versions)), versions_answered


@then("partial answers were seen")
def check_partial(context):
    assert any(r.status == 200 and 0 < r.body["coverage"]["share"] < 1 for r in context.records)


@then("no answer mixes versions, overstates its coverage or has rows of another query")
def check_answers(context):
    violations = [(record.text, find_violations(record)) for record in context.records]
    violations = [item for item in violations if item[1]]
    assert not violations, (len(violations), violations[:5])
