"""Steps that start a cluster and send queries through its entry instances."""

import json

from behave import given, then, when
from cluster import send

DOMAINS = "abcdefghi"


@given(
    "{entries:d} entry instances and {upstreams:d} upstreams in {domains:d} failure domains, "
    "with {shards:d} shards"
)
def start_cluster(context, entries, upstreams, domains, shards, options="{}"):
    topology = (entries, upstreams, domains, shards, options)
    if context.cluster.topology != topology:
        _start_cluster(context, topology)
    else:
        context.cluster.clear_faults()
    for name in context.cluster.entries:
        context.cluster.wait_complete(name)


@given(
    "{entries:d} entry instances and {upstreams:d} upstreams in {domains:d} failure domains, "
    "with {shards:d} shards and upstreams with {options}"
)
def start_with_options(context, entries, upstreams, domains, shards, options):
    start_cluster(context, entries, upstreams, domains, shards, options)


def _start_cluster(context, topology):
    entries, upstreams, domains, shards, options = topology
    if context.cluster.topology:
        context.cluster = context.cluster_manager.replace_cluster()
    cluster = context.cluster
    cluster.topology = topology
    cluster.start_platform()
    for number in range(upstreams):
        cluster.start_upstream(
            f"u{number + 1}", DOMAINS[number % domains], shards, **json.loads(options)
        )
    cluster.plan_entries({f"e{n + 1}": DOMAINS[n % domains] for n in range(entries)})
    cluster.apply()
    for name in cluster.entries:
        cluster.start_entry(name)


@when("each entry instance answers {count:d} queries")
def send_queries(context, count):
    context.answers = [
        context.cluster.query(name) for name in context.cluster.entries for _ in range(count)
    ]


@then("every answer is complete and from version {version:d}")
def check_answers(context, version):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.body["coverage"]["complete"], answer.body["coverage"]
        assert answer.body["snapshot"]["version"] == version
        assert all(f"@{version} " in row["text"] for row in answer.body["rows"])


@then("these requests are refused as not run")
def check_refusals(context):
    address = context.cluster.entries["e1"]["http"]
    for row in context.table:
        body = row["body"].encode() or None
        reply = send(address, row["path"], body, row["method"])
        error = reply.body["error"]
        observed = (reply.status, error["kind"], error["run_state"])
        assert observed == (int(row["status"]), row["kind"], "not_run"), (row, reply)


@then("a body over the size limit is refused with 413")
def check_large_body(context):
    address = context.cluster.entries["e1"]["http"]
    reply = send(address, "/v1/services/designs/query", b" " * 1_500_000, "POST")
    assert reply.status == 413, reply
    assert reply.body["error"]["kind"] == "body_too_large"
