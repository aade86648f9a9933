"""An upstream whose answers never end, against the program itself with the smallest limits known.

Guards against a process that exceeds its memory, or that has no processor time left for the other
requests. The crowds and bounds are fixed; they must not be thinned out to pass.
"""

import asyncio
import json
import socket
import threading
import time
from collections.abc import Callable, Iterator
from itertools import repeat

import pytest
from crowdworld import EntryProcess, one_at_a_time
from gatewayworld import Caller
from platformworld import PlatformStandIn

# The smallest machine of the deployments.
MEMORY_MB = 152
MAX_FDS = 1_535
# Each call to the endless upstream may be repeated.
RETRY_SLACK = 2_000
CALLERS = 150
WRITE_BYTES = 65_536
# Routes: one whose third upstream is endless, the same as a part of a query, and another service.
ROUTES = [
    {"prefix": "/p/", "service": "s0", "timeout_ms": 5_000},
    {
        "prefix": "/q/",
        "fanout_services": ["s0", "s1"],
        "top_k": 3,
        "min_shard_ratio": 1.0,
        "timeout_ms": 5_000,
    },
    {"prefix": "/o/", "service": "s1", "timeout_ms": 5_000},
]
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
OTHER_ANSWER = OK + b"Citronpaddle-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n"


def fill(piece: bytes) -> Iterator[bytes]:
    """Yield packets of many such pieces without end."""
    return repeat(piece * (WRITE_BYTES // len(piece)))


# The begin of an answer, and what follows it without end.
ANSWERS: dict[str, tuple[bytes, Callable[[], Iterator[bytes]]]] = {
    "no_answer": (b"", lambda: fill(b"x")),
    "empty_lines": (b"", lambda: fill(b"\r\n")),
    "status_line": (b"HTTP/1.1 200 O", lambda: fill(b"K")),
    "field_name": (OK, lambda: fill(b"x")),
    "field_value": (OK + b"a: ", lambda: fill(b"x")),
    "field_spaces": (OK + b"a:", lambda: fill(b" ")),
    "fields": (OK, lambda: fill(b"a:b\r\n")),
    "fields_without_value": (OK, lambda: fill(b"a:\r\n")),
    "interim_answers": (b"", lambda: fill(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "interim_fields": (b"HTTP/1.1 103 Early\r\n", lambda: fill(b"a:b\r\n")),
    "other_answers": (b"", lambda: fill(OTHER_ANSWER)),
    "body": (OK + b"\r\n", lambda: fill(b"x")),
    "body_with_length": (OK + b"Content-Length: 99999999999\r\n\r\n", lambda: fill(b"x")),
    "chunks": (CHUNKED, lambda: fill(b"4000\r\n" + b"x" * 16_384 + b"\r\n")),
    "chunks_of_a_byte": (CHUNKED, lambda: fill(b"1\r\nx\r\n")),
    "chunks_of_a_record": (CHUNKED, lambda: fill(b"10\r\n" + b"x" * 16 + b"\r\n")),
    "chunk_size": (CHUNKED, lambda: fill(b"0")),
    "chunk_extension": (CHUNKED + b"1;", lambda: fill(b"x")),
    "chunk_extensions": (CHUNKED, lambda: fill(b"1;" + b"x" * 250 + b"\r\nx\r\n")),
    "trailers": (CHUNKED + b"0\r\n", lambda: fill(b"a:b\r\n")),
    "trailer_name": (CHUNKED + b"0\r\n", lambda: fill(b"x")),
    "trailer_value": (CHUNKED + b"0\r\na:", lambda: fill(b"x")),
}
# Packets of some bytes each, since each packet costs processor time.
SMALL_PACKETS = {
    "fields_byte_by_byte": (OK, lambda: repeat(b"a:b\r\n")),
    "value_byte_by_byte": (OK + b"a: ", lambda: repeat(b"x")),
    "body_byte_by_byte": (OK + b"\r\n", lambda: repeat(b"x")),
    "trailer_byte_by_byte": (CHUNKED + b"0\r\na:", lambda: repeat(b"x")),
}


class EndlessServer:
    """Answers each request with a beginning, and what follows without end; a thread for each."""

    def __init__(self, begin: bytes, rest: Callable[[], Iterator[bytes]]) -> None:
        self._begin = begin
        self._rest = rest
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self._listener.getsockname()[1]
        self.answered = 0
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._open.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        try:
            received = b""
            while b"\r\n\r\n" not in received:
                data = connection.recv(65_536)
                if not data:
                    return
                received += data
            self.answered += 1
            connection.sendall(self._begin)
            for packet in self._rest():
                connection.sendall(packet)
                if len(packet) < WRITE_BYTES // 2:
                    time.sleep(0.0001)
        except OSError:
            return
        finally:
            connection.close()
            self._open.discard(connection)

    def stop(self) -> None:
        """Close all connections."""
        self._listener.close()
        for connection in list(self._open):
            connection.close()


async def ask(process: EntryProcess, path: str, number: int) -> int | None:
    """Send one request on a connection of its own; return its status, or None without one."""
    try:
        caller = await Caller(("127.0.0.1", process.ports["callers"])).connect()
        try:
            answer = await caller.ask(path=path, attempt=f"{path[1]}{number}", deadline=5_000)
            return answer[0]
        finally:
            caller.close()
    except (OSError, EOFError, TimeoutError):
        return None


async def play(folder, server: EndlessServer) -> None:
    platform = PlatformStandIn()
    await platform.start()
    await platform.add("a", "s0", [1, 9], slots=50)
    await platform.add("b", "s0", [1, 9], slots=50)
    await platform.add("c", "s1", [5, 7], slots=50)
    entry = {
        "service": "s0",
        "address": f"127.0.0.1:{server.port}",
        "zone": "a",
        "version": "v1",
        "slots": 50,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    platform.store.write("servers/e", json.dumps(entry).encode())
    platform.configure(ROUTES, max_connections=600)
    process = EntryProcess(folder, platform, MEMORY_MB, MAX_FDS, RETRY_SLACK)
    try:
        await process.start()
        statuses: dict[str, list[int | None]] = {"/p/": [], "/q/": [], "/o/": []}
        for _ in range(3):
            paths = list(statuses) * (CALLERS // 3)
            answers = await asyncio.gather(
                *(ask(process, path + "x", number) for number, path in enumerate(paths))
            )
            for path, status in zip(paths, answers, strict=True):
                statuses[path].append(status)
        await process.settle()
        peak = process.read_memory_bytes() if process.is_running else 0
        shares = {path: got.count(200) / len(got) for path, got in statuses.items()}
        print(f"peak {peak / 1e6:.1f} MB of {MEMORY_MB} MB, answered {shares}, {server.answered}")
        assert process.is_running, "the process has ended"
        assert server.answered > 0
        assert peak < MEMORY_MB * 1_000_000
        assert shares["/o/"] == 1.0
        assert min(shares.values()) >= 0.9
    finally:
        server.stop()
        await process.stop()
        await platform.stop()


# Listed in KNOWN-RED.txt.
RED = ("trailer_byte_by_byte", "value_byte_by_byte", "body_byte_by_byte")
PLACES = [place for place in (*ANSWERS, *SMALL_PACKETS) if place not in RED]


@pytest.mark.crowd
@pytest.mark.parametrize(
    "place", [*PLACES, *(pytest.param(place, marks=pytest.mark.known_red) for place in RED)]
)
def test_an_endless_answer_costs_neither_memory_nor_other_answers(tmp_path, place):
    """Guards against an upstream that sends without end at one place of its answers."""
    with one_at_a_time():
        asyncio.run(play(tmp_path, EndlessServer(*(ANSWERS | SMALL_PACKETS)[place])))
