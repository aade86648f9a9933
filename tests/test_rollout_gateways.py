"""Roll-outs by three entry instances on loopback, with stand-ins for the store and upstreams.

The load is a closed loop of one caller. Time limits only end a test that would hang.
"""

import asyncio
import json

from gatewayworld import SINGLE_ROUTE, GatewaySetup
from platformworld import PlatformStandIn

from citronpaddle.policy.exposure import ExposureLimits

LIMIT_S = 30


class ThreeGateways:
    """Three instances, two upstreams of v1 and two of v2 for service s0, and an order for v2."""

    def __init__(self) -> None:
        self.platform = PlatformStandIn()
        self.setups: list[GatewaySetup] = []
        self.statuses: list[int] = []

    async def start(self, duration_s: float) -> None:
        """Start everything, the new upstreams last."""
        await self.platform.start()
        for name in ("old-0", "old-1"):
            await self.platform.add(name, "s0")
        self.platform.configure([SINGLE_ROUTE])
        for number in range(3):
            setup = GatewaySetup(self.platform, f"i{number}", ExposureLimits(0.1, 50.0))
            self.setups.append(setup)
            await setup.gateway.start()
        for setup in self.setups:
            await setup.wait_for_configuration()
        order = {"service": "s0", "target_version": "v2", "duration_s": duration_s}
        self.platform.store.write("op/rollout/s0", json.dumps(order).encode())
        for name in ("new-0", "new-1"):
            await self.platform.add(name, "s0", version="v2")

    async def stop(self) -> None:
        """Stop everything."""
        for setup in self.setups:
            await setup.gateway.stop()
        await self.platform.stop()

    async def ask_all(self) -> None:
        """Send one request to each instance, and keep the statuses of the answers."""
        for setup in self.setups:
            self.statuses.append((await setup.ask())[0])

    async def ask_until(self, state: str) -> None:
        """Send requests until the operator sees `state`."""
        async with asyncio.timeout(LIMIT_S):
            while self.read_state() != state:
                await self.ask_all()

    def read_state(self) -> str | None:
        """Return the state in the status, or None without one."""
        item = self.platform.store.keys.get("status/rollout/s0")
        return json.loads(item.value)["state"] if item else None

    def count(self, prefix: str) -> int:
        """Return the requests that the upstreams with this prefix have executed."""
        upstreams = self.platform.upstreams.values()
        return sum(len(one.executed_requests) for one in upstreams if one.id.startswith(prefix))

    async def wait_until_known(self, state: str) -> None:
        """Wait until all instances have read the state."""
        for setup in self.setups:
            rollouts = setup.gateway._rollouts.routing.rollouts
            await setup.wait_until(lambda rollouts=rollouts: rollouts["s0"].state == state)


def run(scenario, duration_s: float) -> None:
    async def play() -> None:
        gateways = ThreeGateways()
        await gateways.start(duration_s)
        try:
            await scenario(gateways)
        finally:
            await gateways.stop()

    asyncio.run(play())


def test_old_upstreams_that_stop_on_success_cost_no_request():
    """Guards against failed requests when the old upstreams stop, and against calls to them.

    One of them goes on, and would answer.
    """

    async def scenario(gateways):
        await gateways.ask_until("succeeded")
        await gateways.platform.upstreams["old-0"].stop()
        await gateways.ask_all()
        await gateways.wait_until_known("succeeded")
        await asyncio.sleep(0.1)
        before = gateways.count("old")
        for _ in range(10):
            await gateways.ask_all()
        assert set(gateways.statuses) == {200}
        assert gateways.count("old") == before > 0

    run(scenario, 3.0)


def test_bad_version_costs_no_request_and_is_left():
    """Guards against answers of a bad version that reach callers, and calls after its roll-back."""

    async def scenario(gateways):
        received = 0

        def answer(request, connection):
            nonlocal received
            received += 1
            connection.reply(500, {"Citronpaddle-Server-Stamp": "x"}, b"")
            return True

        for name in ("new-0", "new-1"):
            gateways.platform.upstreams[name].answer = answer
        await gateways.ask_until("rolled_back")
        await gateways.wait_until_known("rolled_back")
        before = received
        for _ in range(10):
            await gateways.ask_all()
        assert 0 < received == before <= 0.1 * len(gateways.statuses) + 50
        assert set(gateways.statuses) == {200}

    run(scenario, 20.0)
