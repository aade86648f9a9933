"""Steps that take failure domains and upstreams out of service and bring them back."""

import time

from behave import then, when
from cluster import send

from citronpaddle.policy.changes import SetDomainOut, SetUpstreamOut


def _count_searches(context, upstream):
    address = context.cluster.upstreams[upstream]["control_address"]
    return send(address, "/control/stats").body["calls_by_kind"].get("POST /search", 0)


def _set_domain_out(context, domain, is_out):
    context.cluster.edit(SetDomainOut(domain, is_out))
    context.change_s = time.monotonic()


@when('failure domain "{domain}" is taken out')
def take_out(context, domain):
    _set_domain_out(context, domain, True)


@when('failure domain "{domain}" is brought back')
def bring_back(context, domain):
    _set_domain_out(context, domain, False)


@when('upstream "{upstream}" is taken out')
def take_upstream_out(context, upstream):
    context.cluster.edit(SetUpstreamOut(upstream, True))
    context.change_s = time.monotonic()


@when("{seconds:g} s have passed since the change")
def wait_since(context, seconds):
    time.sleep(max(0.0, context.change_s + seconds - time.monotonic()))
    context.count_start_s = context.change_s + seconds
    context.search_counts = {
        name: _count_searches(context, name) for name in context.cluster.upstreams
    }


@when("the store takes {latency:d} ms for a call")
def slow_store(context, latency):
    assert send(context.cluster.store, "/control", {"latency_ms": latency}, "PUT").status == 200


@then('"{upstream}" got no search since then')
def check_no_search(context, upstream):
    new_searches = _count_searches(context, upstream) - context.search_counts[upstream]
    assert new_searches == 0, f"{new_searches} more searches"


@then('"{entry}" refused every query since then and named other addresses')
def check_refusals(context, entry):
    own_address = context.cluster.entries[entry]["http"]
    late_records = [
        r for r in context.records if r.entry == entry and r.start_s > context.count_start_s
    ]
    assert late_records
    for record in late_records:
        assert record.status == 503 and record.body["error"]["kind"] == "leaving", record
        addresses = {item["address"] for item in record.body["addresses"]}
        assert addresses and own_address not in addresses, record


@then('every query through "{entries}" was answered completely')
def check_served(context, entries):
    records = [r for r in context.records if r.entry in entries.split(",")]
    failed = [r for r in records if not r.is_complete]
    assert records and not failed, (len(records), len(failed), failed[:3])


@then('"{upstream}" got at most {count:d} calls at a time')
def check_max_calls(context, upstream, count):
    address = context.cluster.upstreams[upstream]["control_address"]
    stats = send(address, "/control/stats").body
    assert 0 < stats["max_calls"] <= count, stats


@then('"{upstream}" got its last call at most {limit:d} ms after it began to leave')
def check_last_call(context, upstream, limit):
    address = context.cluster.upstreams[upstream]["control_address"]
    stats = send(address, "/control/stats").body
    assert stats["last_call_after_leaving_ms"] <= limit, stats
