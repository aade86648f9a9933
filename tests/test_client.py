"""Guards against a client that repeats requests that may have run or uses excluded instances."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from citronpaddle.client import Client, RetryBudget
from citronpaddle.clock import VirtualClock
from citronpaddle.errors import ANSWERS, ErrorKind, Failure
from citronpaddle.randomness import RandomSource

# A planned step: the instance resets the connection after it has received the request.
LOSE_CONNECTION = "lose the connection after the request"
LEAVING = {"X-Citronpaddle-Leaving": "1"}
QUERY_ANSWER = {
    "request_id": "r1",
    "snapshot": {"service": "lots", "version": 7},
    "coverage": {"share": 0.5, "complete": False, "missing": [[0, 2**31]], "reasons": ["late"]},
    "rows": [{"key": "k"}],
    "truncated": False,
    "took_ms": 1.5,
    "config_revision": 3,
}
ORDER_ANSWER = {"request_id": "r2", "answer": {"placed": 1}, "replayed": True}


def refuse(kind):
    status, run_state, retryable = ANSWERS[kind]
    error = {"kind": kind, "message": "m", "run_state": run_state, "retryable": retryable}
    return status, {"error": error | {"request_id": "r"}}, {}


class EntryInstances:
    """Entry instances that share a plan: one answer per request, in order of arrival.

    After the plan is used up they give the default answer.
    """

    def __init__(self, plan, default, keep_ms=60_000):
        self.plan, self.default, self.keep_ms = list(plan), default, keep_ms
        self.listed, self.received, self.runners = [], [], []

    async def add(self, domain):
        async def answer(request):
            self.received.append((domain, request.headers.get("Idempotency-Key")))
            await request.read()
            step = self.plan.pop(0) if self.plan else self.default
            if step is LOSE_CONNECTION:
                request.transport.abort()
                return web.Response()
            status, document, headers = step
            return web.json_response(document, status=status, headers=headers)

        async def list_addresses(request):
            return web.json_response({"addresses": self.listed, "keep_ms": self.keep_ms})

        application = web.Application()
        application.router.add_get("/v1/addresses", list_addresses)
        application.router.add_post("/v1/services/lots/{verb}", answer)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.runners.append(runner)
        self.list(f"127.0.0.1:{runner.addresses[0][1]}", domain)

    def list(self, address, domain, weight=1.0):
        self.listed.append({"address": address, "failure_domain": domain, "weight": weight})

    async def stop(self):
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))


def run(scenario, plan=(), default=(200, QUERY_ANSWER, {}), domains="ab", **options):
    """Run `scenario` with a client and one entry instance in each failure domain.

    Returns the result of the scenario and the instances.
    """

    async def body():
        instances = EntryInstances(plan, default)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(instances.stop)
            for domain in domains:
                await instances.add(domain)
            seeds = [item["address"] for item in instances.listed]
            client = Client(seeds, random=RandomSource(1), **options)
            await stack.enter_async_context(client)
            return await scenario(client, instances), instances

    return asyncio.run(body())


async def query(client, instances):
    return await client.query("lots", "batch", 20_000)


async def order(client, instances):
    return await client.order("lots", {"lot": 1}, "key-1", 20_000)


def test_an_answer_has_its_version_and_missing_ranges():
    answer, _ = run(query)
    assert (answer.version, answer.coverage.share, answer.coverage.missing[0]) == (
        7,
        0.5,
        (0, 2**31),
    )


@pytest.mark.parametrize("call", [query, order])
@pytest.mark.parametrize("kind", [ErrorKind.OVERLOADED, ErrorKind.LEAVING])
def test_a_refused_request_is_retried_at_another_instance(call, kind):
    default = (200, QUERY_ANSWER if call is query else ORDER_ANSWER, {})
    answer, instances = run(call, [refuse(kind)], default)
    assert not isinstance(answer, Failure)
    assert sorted(domain for domain, _ in instances.received) == ["a", "b"]


def test_a_refused_request_is_not_repeated_at_the_only_instance():
    failure, instances = run(query, default=refuse(ErrorKind.OVERLOADED), domains="a")
    assert (failure.kind, len(instances.received)) == (ErrorKind.OVERLOADED, 1)


@pytest.mark.parametrize("call", [query, order])
def test_a_refused_connection_is_not_reported_as_a_request_that_may_have_run(call):
    async def scenario(client, instances):
        await query(client, instances)
        await instances.stop()
        return await call(client, instances)

    failure, _ = run(scenario)
    assert failure.kind is ErrorKind.NOT_READY


def test_a_query_that_loses_every_connection_is_repeated_once():
    failure, instances = run(query, default=LOSE_CONNECTION, domains="abc")
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(instances.received) == 2


@pytest.mark.parametrize("domains", ["a", "ab"])
@pytest.mark.parametrize("first", [LOSE_CONNECTION, refuse(ErrorKind.IN_PROGRESS)])
def test_a_lost_order_is_not_repeated_under_another_key(domains, first):
    answer, instances = run(order, [first], (200, ORDER_ANSWER, {}), domains)
    assert answer.replayed
    assert [key for _, key in instances.received] == ["key-1", "key-1"]


@pytest.mark.parametrize("call", [query, order])
def test_a_later_refusal_does_not_hide_that_a_lost_request_may_have_run(call):
    failure, _ = run(call, [LOSE_CONNECTION], refuse(ErrorKind.STORE_UNAVAILABLE))
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN


@pytest.mark.parametrize("kind", [kind for kind, answer in ANSWERS.items() if not answer.retryable])
def test_a_request_with_a_final_answer_is_not_repeated(kind):
    failure, instances = run(order, default=refuse(kind))
    assert failure.kind is kind
    assert len(instances.received) == 1


def test_an_unclear_run_state_overrides_the_kind_of_error():
    status, document, headers = refuse(ErrorKind.NO_OWNER)
    document["error"]["run_state"] = "unknown"
    failure, instances = run(order, default=(status, document, headers))
    assert failure.kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(instances.received) == 1


def test_retries_do_not_multiply_an_overload():
    async def scenario(client, instances):
        for _ in range(100):
            await query(client, instances)

    budget = RetryBudget(ratio=0.1, burst=5)
    _, instances = run(scenario, default=refuse(ErrorKind.OVERLOADED), budget=budget)
    assert len(instances.received) <= 100 + 5 + 10


def test_a_leaving_instance_gets_no_further_request():
    async def scenario(client, instances):
        for _ in range(30):
            await query(client, instances)

    _, instances = run(scenario, [(200, QUERY_ANSWER, LEAVING)])
    assert len(instances.received) == 30
    assert instances.received[0] not in instances.received[1:]


def test_queries_do_not_leave_the_callers_failure_domain_without_need():
    async def scenario(client, instances):
        for _ in range(20):
            await query(client, instances)

    _, instances = run(scenario, failure_domain="b")
    assert {domain for domain, _ in instances.received} == {"b"}


def test_expired_addresses_are_not_used_when_look_ups_fail():
    clock = VirtualClock()

    async def scenario(client, instances):
        await query(client, instances)
        instances.listed = []
        clock.advance(instances.keep_ms)
        return await query(client, instances)

    failure, instances = run(scenario, clock=clock)
    assert failure.kind is ErrorKind.NOT_READY
    assert len(instances.received) == 1


def test_addresses_are_refreshed_before_they_expire():
    clock = VirtualClock()

    async def scenario(client, instances):
        await query(client, instances)
        await instances.add("c")
        del instances.listed[:2]
        clock.advance(instances.keep_ms * 0.6)
        while not any(domain == "c" for domain, _ in instances.received):
            await query(client, instances)
            await asyncio.sleep(0.01)

    run(lambda client, instances: asyncio.wait_for(scenario(client, instances), 30), clock=clock)


def test_a_malformed_answer_neither_raises_nor_counts_as_not_run():
    failure, _ = run(order, default=(200, {"answer": 1}, {}))
    assert failure.kind is ErrorKind.INTERNAL
