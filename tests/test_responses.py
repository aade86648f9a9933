"""Responses of the store and of instances that aiohttp reads: endless ones and late copies."""

import asyncio
import json

import aiohttp
import pytest
from test_httpclient import ScriptedServer, endless_body, endless_chunks

from citronpaddle.adapters.keyvalue import EtcdStore
from citronpaddle.adapters.responses import ResponseTooLarge, read_body
from citronpaddle.ports import Put, TransactionOutcome


@pytest.mark.parametrize("script", [endless_body, endless_chunks])
def test_endless_body_is_given_up(script):
    """Guards against memory that grows while the store or an instance sends without end."""

    async def run() -> None:
        async with ScriptedServer(script) as server, aiohttp.ClientSession() as session:
            host, port = server.address
            async with asyncio.timeout(20):
                async with session.get(f"http://{host}:{port}/") as response:
                    with pytest.raises(ResponseTooLarge):
                        await read_body(response, 1024 * 1024)
            await server.wait_until_closed()

    asyncio.run(run())


def test_second_copy_of_a_reply_is_not_the_outcome_of_the_next_write():
    """Guards against a claim that seems written because an earlier write's reply came twice."""
    revisions = iter(range(1, 10))

    async def serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
                await reader.readexactly(int(fields["Content-Length"]))
                revision = str(next(revisions))
                body = json.dumps({"header": {"revision": revision}, "succeeded": True}).encode()
                reply = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                writer.write(reply)
                await asyncio.sleep(0.02)
                writer.write(reply)
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    async def run() -> list[TransactionOutcome]:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        store = EtcdStore(f"{host}:{port}")
        outcomes = []
        for number in range(3):
            put = Put(f"key-{number}", b"value")
            outcomes.append(await store.transact([], [put], 5_000))
            await asyncio.sleep(0.05)
        await store.close()
        server.close()
        return outcomes

    assert [outcome.store_revision for outcome in asyncio.run(run())] == [1, 2, 3]
