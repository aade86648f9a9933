"""Hints between instances: thrift messages in datagrams."""

import asyncio
from collections.abc import Callable, Iterable

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..generated.hints import ttypes
from ..policy.hints import Hint, HintKind
from .connections import Address

# Datagrams beyond this size are not ours.
MAX_BYTES = 8_192


def encode(sender: str, strain_ms: float, hints: list[Hint]) -> bytes:
    """Return a message as bytes."""
    buffer = TMemoryBuffer()
    items = [ttypes.Hint(int(hint.kind), hint.upstream, hint.value) for hint in hints]
    ttypes.Message(sender, strain_ms, items).write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(data: bytes) -> tuple[str, float, list[Hint]] | str:
    """Return sender, strain and hints, or why the bytes are no message."""
    if len(data) > MAX_BYTES:
        return "too long"
    message = ttypes.Message()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data), string_length_limit=MAX_BYTES))
        hints = [
            Hint(HintKind(item.kind), str(item.upstream), float(item.value))
            for item in message.hints
        ]
        return str(message.sender), float(message.strain_ms), hints
    except Exception as error:
        # The library raises whatever the bytes lead it to, from EOFError to UnicodeDecodeError.
        return repr(error)


class HintChannel(asyncio.DatagramProtocol):
    """Sends and receives messages; `on_message` gets sender, strain in ms and hints."""

    def __init__(
        self,
        on_message: Callable[[str, float, list[Hint]], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._on_message = on_message
        self._on_refused = on_refused
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Listen; raise OSError if the address can't be used."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Stop."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data: bytes, addresses: Iterable[Address]) -> None:
        """Send the bytes to each address; what the network loses is lost."""
        if self._transport is None:
            return
        for address in addresses:
            self._transport.sendto(data, address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        message = decode(data)
        if isinstance(message, str):
            self._on_refused(message)
        else:
            self._on_message(*message)

    def error_received(self, error: OSError) -> None:
        self._on_refused(repr(error))
