"""Tests of the connections between instances: idle timeout, multiplexing and shutdown."""

import asyncio
from unittest.mock import Mock

from citronpaddle.adapters.frames import FrameKind, encode_frame, protocol
from citronpaddle.adapters.peers import FrameClient, PeerServer
from citronpaddle.clock import VirtualClock
from citronpaddle.errors import ErrorKind, Failure


async def _echo(body, replier):
    replier.send(body)


def test_an_idle_connection_is_closed_and_the_next_call_opens_another_one():
    """Guards against connections that are kept and pinged indefinitely after their last use."""

    async def run():
        clock = VirtualClock()
        server = PeerServer({FrameKind.HEARTBEAT: _echo})
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
    """Guards against replies delivered to the wrong request when they arrive out of order."""

    async def run():
        async def echo_with_delay(body, replier):
            await asyncio.sleep(0.1 if body == b"slow" else 0)
            replier.send(body)

        server = PeerServer({FrameKind.HEARTBEAT: echo_with_delay})
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
    """Guards against orders of unknown outcome: replies lost when a server stops under load."""

    async def run():
        async def echo_after_pause(body, replier):
            await asyncio.sleep(0.002)
            replier.send(body)

        outcomes = []
        is_target_reached = asyncio.Event()
        clients = [FrameClient(VirtualClock()) for _ in range(8)]

        async def call_until_failure(client, address, body_number, target_count):
            while True:
                outcome = await client.call(address, FrameKind.ORDER, b"%d" % body_number, 1000)
                outcomes.append(outcome)
                if len(outcomes) >= target_count:
                    is_target_reached.set()
                if isinstance(outcome, Failure):
                    return

        for _ in range(5):
            is_target_reached.clear()
            target_count = len(outcomes) + 200
            server = PeerServer({FrameKind.ORDER: echo_after_pause})
            address = await server.start("127.0.0.1", 0)
            calls = [
                asyncio.create_task(call_until_failure(client, address, body_number, target_count))
                for body_number in range(4)
                for client in clients
            ]
            await is_target_reached.wait()
            await server.close()
            await asyncio.gather(*calls)
        for client in clients:
            await client.close()
        return outcomes

    outcomes = asyncio.run(run())
    failures = [outcome.kind for outcome in outcomes if isinstance(outcome, Failure)]
    assert len(failures) == 5 * 32
    assert set(failures) == {ErrorKind.UPSTREAM_UNAVAILABLE}, failures


def test_many_frames_of_one_peer_leave_time_for_other_tasks():
    """Guards against a stream of complete frames that keeps the event loop until all are read."""

    async def run():
        reader = asyncio.StreamReader()
        for number in range(2_000):
            frame = protocol.Frame(id=number, kind=int(FrameKind.PING), body=b"")
            reader.feed_data(encode_frame(frame))
        reader.feed_eof()
        writer = Mock()
        writer.is_closing.return_value = False
        serving = asyncio.ensure_future(PeerServer({})._serve(reader, writer))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert 0 < writer.write.call_count < 100
        await serving
        assert writer.write.call_count == 2_000

    asyncio.run(run())
