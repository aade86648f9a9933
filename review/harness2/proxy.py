"""A proxy between one instance and the store that can reset connections."""

import asyncio
import contextlib

WATCH_CALL = b"GET /citronpaddle/kv-watch"


class StoreProxy:
    """Forwards connections to the store."""

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self._target_port = target_port
        self._writers: set[asyncio.StreamWriter] = set()
        # The connections on which a watch waits for its answer.
        self._watching: set[asyncio.StreamWriter] = set()
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

        Wait for the next watch if none is pending.
        """
        while not self._watching:
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
