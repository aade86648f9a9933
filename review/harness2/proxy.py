"""A proxy between one instance and the store that can reset connections."""

import asyncio
import contextlib

WATCH_CALL = b"GET /citronpaddle/kv-watch"
RENEWAL_CALL = b"POST /citronpaddle/kv-keep"
# The watch is reset at most this long after a renewal of the lease, which comes every 2.4 s.
AFTER_RENEWAL_S = 1.0


class StoreProxy:
    """Forwards connections to the store."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        # The connections on which a watch waits for its answer.
        self._watching: set[asyncio.StreamWriter] = set()
        self._renewed_s = 0.0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def reset_watch(self) -> int:
        """Reset the connection of the pending watch; return how many connections were left.

        Wait until a watch is pending and the lease was renewed in the last `AFTER_RENEWAL_S`.
        """
        loop = asyncio.get_running_loop()
        while not self._watching or loop.time() - self._renewed_s > AFTER_RENEWAL_S:
            await asyncio.sleep(0.01)
        watching = set(self._watching)
        for writer in watching:
            writer.transport.abort()
        return len(self._writers - watching)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        server = None
        try:
            answers, server = await asyncio.open_connection("127.0.0.1", self._target_port)
            await asyncio.gather(
                self._send_calls(reader, server, writer), self._send_answers(answers, writer)
            )
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            self._watching.discard(writer)
            if server is not None:
                server.close()

    async def _send_calls(
        self,
        reader: asyncio.StreamReader,
        server: asyncio.StreamWriter,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if data.startswith(WATCH_CALL):
                    self._watching.add(writer)
                elif data.startswith(RENEWAL_CALL):
                    self._renewed_s = asyncio.get_running_loop().time()
                server.write(data)
        server.close()

    async def _send_answers(
        self, answers: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await answers.read(65_536):
                self._watching.discard(writer)
                writer.write(data)
        writer.close()
