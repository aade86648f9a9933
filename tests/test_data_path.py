"""Tests of delays that must not occur on the data path."""

import asyncio
import socket

from citronpaddle.adapters.callers import CallerServer
from citronpaddle.adapters.logs import LogFactory
from citronpaddle.clock import VirtualClock
from citronpaddle.documents import Configuration, Head, ServiceSpec, UpstreamSpec
from citronpaddle.environment import Environment
from citronpaddle.owner import Leases, Owner
from citronpaddle.ports import OrderCall, OrderReply, UpstreamReport, UpstreamTransport
from citronpaddle.randomness import RandomSource
from citronpaddle.settings import LogSettings


def test_answers_do_not_wait_for_an_acknowledgement():
    """Guards against answers that Nagle's algorithm delays by about 40 ms."""

    async def read_option() -> int:
        server = CallerServer(None)
        host, port = (await server.start("127.0.0.1", 0)).split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        for _ in range(200):
            if server._server.server_state.connections:
                break
            await asyncio.sleep(0.05)
        (connection,) = server._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        option = accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()
        await server.close()
        return option

    assert asyncio.run(read_option()) != 0


class SwitchableLeases(Leases):
    """Leases of all upstreams, held or not according to `is_held`."""

    is_held = False

    def can_dispatch(self, upstream, now_ms):
        return self.is_held

    def open_call(self, upstream, now_ms):
        return self.is_held

    def close_call(self, upstream):
        pass

    def find_holder(self, upstream):
        return ""


class ReportCounter(UpstreamTransport):
    """Counts the reports that are requested; orders end when `release_order` is set."""

    def __init__(self):
        self.count = 0
        self.disconnected = []
        self.release_order = asyncio.Event()

    async def fetch_report(self, address, max_connections, timeout_ms):
        self.count += 1
        return UpstreamReport("boot-1", False, ())

    async def search(self, address, max_connections, call):
        raise AssertionError("no search is expected")

    async def order(self, address, max_connections, call):
        await self.release_order.wait()
        return OrderReply("{}")

    async def cancel(self, address, max_connections, call_id):
        raise AssertionError("no cancellation is expected")

    async def close(self):
        pass

    async def disconnect(self, address):
        self.disconnected.append(address)


UPSTREAM = UpstreamSpec(
    name="u1", address="127.0.0.1:1", failure_domain="a", slots=2, max_connections=5
)


def make_owner(leases, transport):
    """Return an owner of one upstream, on a virtual clock."""
    service = ServiceSpec(name="designs", group="test", upstreams=(UPSTREAM,))
    head = Head(revision=1, change_id="c1", services={"designs": 1})
    configuration = Configuration(head=head, services={"designs": service})
    logs = LogFactory("test", LogSettings(level="critical"))
    environment = Environment(VirtualClock(), RandomSource(1), logs.make_logger)
    owner = Owner(environment, "e1", "a", transport, leases, lambda: configuration)
    owner.apply_configuration(configuration)
    return owner


def test_a_gained_upstream_is_described_at_once():
    """Guards against a new owner that requests its first report only at the next interval."""

    async def count_reports() -> tuple[int, int]:
        leases, transport = SwitchableLeases(), ReportCounter()
        owner = make_owner(leases, transport)
        task = asyncio.create_task(owner.run())
        await asyncio.sleep(0.2)
        before = transport.count
        leases.is_held = True
        owner.restart_admission("u1")
        # The virtual clock does not advance, so only a report that is due at once is requested.
        for _ in range(200):
            if transport.count:
                break
            await asyncio.sleep(0.05)
        task.cancel()
        return before, transport.count

    assert asyncio.run(count_reports()) == (0, 1)


def test_connections_close_when_the_calls_of_a_lost_lease_have_ended():
    """Guards against connections of a former owner that count against the upstream's limit."""

    async def run() -> tuple[list, list, list]:
        leases, transport = SwitchableLeases(), ReportCounter()
        leases.is_held = True
        owner = make_owner(leases, transport)
        call = OrderCall("c1", "designs", "u1", "key", b"{}", 2_000, 1)
        order = asyncio.create_task(owner.order(call))
        await asyncio.sleep(0.05)
        leases.is_held = False
        owner.disconnect(["u1"])
        await asyncio.sleep(0.05)
        during = list(transport.disconnected)
        transport.release_order.set()
        assert isinstance(await order, OrderReply)
        await asyncio.sleep(0.05)
        after_order = list(transport.disconnected)
        owner.disconnect(["u1"])
        await asyncio.sleep(0.05)
        return during, after_order, transport.disconnected

    address = UPSTREAM.address
    assert asyncio.run(run()) == ([], [address], [address, address])
