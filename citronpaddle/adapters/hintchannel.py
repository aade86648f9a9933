"""Messages between instances: thrift in datagrams."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..generated.hints import ttypes
from ..policy.feed import FeedBatch
from ..policy.hints import Hint, HintKind
from ..statestore import StoreItem
from .connections import Address

# Datagrams beyond this size are not ours.
MAX_BYTES = 8_192


class PeerMessage(NamedTuple):
    """What one instance tells others; `strain_ms` is how late its timers fire."""

    sender: str
    strain_ms: float
    hints: tuple[Hint, ...] = ()
    feed: FeedBatch | None = None


def encode(message: PeerMessage) -> bytes:
    """Return a message as bytes."""
    buffer = TMemoryBuffer()
    hints = [ttypes.Hint(int(hint.kind), hint.upstream, hint.value) for hint in message.hints]
    feed = _encode_feed(message.feed) if message.feed is not None else None
    ttypes.Message(message.sender, message.strain_ms, hints, feed).write(
        TBinaryProtocolAccelerated(buffer)
    )
    return buffer.getvalue()


def decode(data: bytes) -> PeerMessage | str:
    """Return a message, or why the bytes are none."""
    if len(data) > MAX_BYTES:
        return "too long"
    message = ttypes.Message()
    try:
        message.read(TBinaryProtocolAccelerated(TMemoryBuffer(data), string_length_limit=MAX_BYTES))
        hints = tuple(
            Hint(HintKind(item.kind), str(item.upstream), float(item.value))
            for item in message.hints
        )
        feed = _decode_feed(message.feed) if message.feed is not None else None
        return PeerMessage(str(message.sender), float(message.strain_ms), hints, feed)
    except Exception as error:
        # The library raises whatever the bytes lead it to, from EOFError to UnicodeDecodeError.
        return repr(error)


def _encode_feed(batch: FeedBatch) -> ttypes.Feed:
    changes = [ttypes.Change(item.key, item.value, item.revision) for item in batch.changes]
    return ttypes.Feed(batch.from_revision, batch.to_revision, batch.age_ms, changes)


def _decode_feed(feed: ttypes.Feed) -> FeedBatch:
    changes = tuple(
        StoreItem(str(item.key), item.value, int(item.revision)) for item in feed.changes
    )
    return FeedBatch(int(feed.from_revision), int(feed.to_revision), float(feed.age_ms), changes)


class HintChannel(asyncio.DatagramProtocol):
    """Sends and receives messages."""

    def __init__(
        self,
        on_message: Callable[[PeerMessage], None],
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
            self._on_message(message)

    def error_received(self, error: OSError) -> None:
        self._on_refused(repr(error))
