"""Steps for planned restarts while callers send requests by the client."""

import asyncio
import threading
from signal import SIGTERM

from behave import step, then, when

from citronpaddle.client import Client, OrderAnswer
from citronpaddle.errors import Failure


class Callers:
    """A thread whose callers send requests by the client and record the results."""

    def __init__(self, seeds, service, count):
        self.results = []
        self.retry_count = 0
        self._stopped = False
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run(seeds, service, count)), daemon=True
        )
        self._thread.start()

    def stop(self):
        self._stopped = True
        self._thread.join(10)
        return self.results

    async def _run(self, seeds, service, count):
        async with Client(seeds) as client:
            await asyncio.gather(*(self._call(client, service, n) for n in range(count)))
            self.retry_count = client.retry_count

    async def _call(self, client, service, number):
        count = 0
        while not self._stopped:
            count += 1
            if number % 4 == 0:
                key = f"key-{id(self)}-{number}-{count}"
                result = await client.order(service, {"lot": "truss"}, key, 3000)
            else:
                result = await client.query(service, f"oak {number}", 3000)
            self.results.append(result)
            await asyncio.sleep(0.03)


@step("{count:d} callers send queries and orders by the client")
def start_callers(context, count):
    seeds = [entry["http"] for entry in context.cluster.entries.values()]
    context.traffic = Callers(seeds, context.cluster.service, count)


def _stop(context, names):
    for name in names:
        context.cluster.signal(name, SIGTERM)
    for name in names:
        code = context.cluster.processes[name].wait(30)
        assert code == 0, f"{name} ended with {code}"


@when('"{names}" stop with SIGTERM and start again')
def restart(context, names):
    _stop(context, names.split(","))
    for name in names.split(","):
        context.cluster.start_entry(name)
    for name in names.split(","):
        context.cluster.wait_complete(name)


def _is_complete(result):
    if isinstance(result, OrderAnswer):
        return not result.replayed
    return not isinstance(result, Failure) and result.coverage.is_complete


@then("no request of the callers failed, was cut or answered in part")
def check_callers(context):
    results = context.traffic.stop()
    failed = [r for r in results if not _is_complete(r)]
    retries = context.traffic.retry_count
    slowest_ms = max(getattr(r, "took_ms", 0.0) for r in results)
    print(f"{len(results)} requests, {len(failed)} failed or partial, {retries} retries")
    print(f"slowest {slowest_ms:.0f} ms")
    assert len(results) > 100, len(results)
    # A retry would hide a request that was aborted.
    assert retries == 0, retries
    assert not failed, (len(results), len(failed), failed[:3])
