"""A silent or forgotten connection between instances costs deadlines, memory or pings."""

import asyncio

from citronpaddle.adapters.frames import FrameKind
from citronpaddle.adapters.peers import FrameClient, PeerServer
from citronpaddle.clock import VirtualClock
from citronpaddle.errors import ErrorKind, Failure


async def _answer(body, replier):
    replier.send(body)


def test_an_idle_connection_is_closed_and_the_next_call_opens_another_one():
    async def run():
        clock = VirtualClock()
        server = PeerServer({FrameKind.HEARTBEAT: _answer})
        address = await server.start("127.0.0.1", 0)
        client = FrameClient(clock)
        try:
            assert await client.call(address, FrameKind.HEARTBEAT, b"1", 1000) == b"1"
            assert client.count_connections() == 1
            for _ in range(40):
                clock.advance(250)
                await asyncio.sleep(0.05)
                if client.count_connections() == 0:
                    break
            assert client.count_connections() == 0
            assert await client.call(address, FrameKind.HEARTBEAT, b"2", 1000) == b"2"
        finally:
            await client.close()
            await server.close()

    asyncio.run(run())


def test_replies_that_cross_reach_their_own_requests():
    async def run():
        async def answer_later(body, replier):
            await asyncio.sleep(0.1 if body == b"slow" else 0)
            replier.send(body)

        server = PeerServer({FrameKind.HEARTBEAT: answer_later})
        address = await server.start("127.0.0.1", 0)
        client = FrameClient(VirtualClock())
        try:
            bodies = [b"slow", b"fast", b"slow", b"other"]
            calls = [client.call(address, FrameKind.HEARTBEAT, body, 1000) for body in bodies]
            replies = await asyncio.gather(*calls)
            assert replies == bodies and not any(isinstance(r, Failure) for r in replies)
            assert client.count_connections() == 1
        finally:
            await client.close()
            await server.close()

    asyncio.run(run())


def test_a_stopping_server_answers_the_requests_that_cross_its_goodbye():
    """Peers call without a pause while the server stops: a lost reply would be a doubtful order."""

    async def run():
        async def answer_soon(body, replier):
            await asyncio.sleep(0.002)
            replier.send(body)

        outcomes = []
        many_answered = asyncio.Event()
        clients = [FrameClient(VirtualClock()) for _ in range(8)]

        async def call_on(client, address, number, enough):
            while True:
                outcome = await client.call(address, FrameKind.ORDER, b"%d" % number, 1000)
                outcomes.append(outcome)
                if len(outcomes) >= enough:
                    many_answered.set()
                if isinstance(outcome, Failure):
                    return

        for _ in range(5):
            many_answered.clear()
            enough = len(outcomes) + 200
            server = PeerServer({FrameKind.ORDER: answer_soon})
            address = await server.start("127.0.0.1", 0)
            calls = [
                asyncio.create_task(call_on(client, address, number, enough))
                for number in range(4)
                for client in clients
            ]
            await many_answered.wait()
            await server.close()
            await asyncio.gather(*calls)
        for client in clients:
            await client.close()
        return outcomes

    outcomes = asyncio.run(run())
    failures = [outcome.kind for outcome in outcomes if isinstance(outcome, Failure)]
    assert len(failures) == 5 * 32
    assert set(failures) == {ErrorKind.UPSTREAM_UNAVAILABLE}, failures
