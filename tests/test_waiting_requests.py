"""Requests that wait for room at an entry instance: their order, their log lines and metrics.

The load that is replayed is a few requests more than the upstreams may have connections.
"""

import asyncio

from gatewayworld import SINGLE_ROUTE, run_scenario

from citronpaddle.explanation import explain

TEAMS = [
    {"name": "alder", "api_keys": ["low"], "priority": 9},
    {"name": "birch", "api_keys": ["high"], "priority": 1},
]


class HeldUpstreams:
    """Upstreams that answer only when they are told to; `attempts` lists what they received."""

    def __init__(self, platform) -> None:
        self.attempts = []
        self._held = []
        for upstream in platform.upstreams.values():
            upstream.answer = lambda request, link, owner=upstream: self._hold(owner, request, link)

    def _hold(self, upstream, request, connection):
        self.attempts.append(request.headers["citronpaddle-attempt-id"])
        self._held.append((upstream, request, connection))
        return True

    def answer_oldest(self):
        upstream, request, connection = self._held.pop(0)
        connection.reply(200, upstream.make_headers(request), upstream.body)


def _run(scenario) -> None:
    """Run `scenario` with two upstreams that hold one request each."""

    async def run(setup):
        setup.platform.configure([SINGLE_ROUTE], tenants=TEAMS, max_connections=1)
        await setup.wait_for_configuration()
        upstreams = HeldUpstreams(setup.platform)
        callers = [await setup.connect() for _ in range(4)]
        for number in (0, 1):
            callers[number].send(attempt=f"t{number}", headers=["Authorization: Token low"])
            await setup.wait_until(lambda count=number + 1: len(upstreams.attempts) == count)
        await scenario(setup, upstreams, callers)
        for caller in callers:
            caller.close()

    run_scenario(run)


def test_urgent_request_starts_first_when_room_appears():
    """Guards against waiting requests that start in any order, or that nothing wakes."""

    async def scenario(setup, upstreams, callers):
        for number, (key, priority) in enumerate((("low", "9"), ("high", "1")), 2):
            callers[number].send(attempt=f"t{number}", headers=[f"Authorization: Token {key}"])
            row = f'citronpaddle_waiting_parts{{priority="{priority}"}} 1.0'.encode()
            await setup.wait_until(lambda row=row: row in setup.gateway.render_metrics())
        for count in (3, 4):
            upstreams.answer_oldest()
            await setup.wait_until(lambda count=count: len(upstreams.attempts) == count)
        assert upstreams.attempts == ["t0", "t1", "t3", "t2"]
        upstreams.answer_oldest()
        upstreams.answer_oldest()
        assert [(await caller.read())[0] for caller in callers] == [200] * 4

    _run(scenario)


def test_request_without_room_is_refused_at_once_with_the_reason():
    """Guards against waiting for room that comes too late, and an unexplained refusal."""

    async def scenario(setup, upstreams, callers):
        # Answers take at least this long, which is longer than the last request has time.
        await asyncio.sleep(0.3)
        callers[2].send(attempt="t2", headers=["Authorization: Token low"])
        upstreams.answer_oldest()
        await setup.wait_until(lambda: len(upstreams.attempts) == 3)
        callers[3].send(attempt="t3", headers=["Authorization: Token low"], deadline=250)
        status, headers, _ = await callers[3].read()
        assert status == 503 and float(headers["retry-after"]) > 0
        (line,) = [one for one in setup.list_logged("request_ended") if one["id"] == "t3"]
        assert (line["reason"], line["team"], line["priority"]) == ("no_room", "alder", 9)
        assert any("service s0 was full" in one for one in explain("t3", [line]).findings)
        assert b'without_room_total{kind="alder"} 1.0' in setup.gateway.render_metrics()
        assert "t3" not in upstreams.attempts

    _run(scenario)


def test_caller_that_leaves_gives_up_its_place():
    """Guards against a queue that is blocked by a request whose caller has left."""

    async def scenario(setup, upstreams, callers):
        callers[2].send(attempt="t2", headers=["Authorization: Token high"])
        await setup.wait_until(lambda: b"waiting_parts{" in setup.gateway.render_metrics())
        callers[2].close()
        await setup.wait_until(lambda: b"waiting_parts{" not in setup.gateway.render_metrics())
        callers[3].send(attempt="t3", headers=["Authorization: Token low"])
        upstreams.answer_oldest()
        await setup.wait_until(lambda: len(upstreams.attempts) == 3)
        assert upstreams.attempts[2] == "t3"

    _run(scenario)
