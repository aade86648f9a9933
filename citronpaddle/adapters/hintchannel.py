"""Messages between instances: thrift structs in UDP datagrams."""

import asyncio
import zlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from ..generated.hints import ttypes
from ..policy.feed import FeedBatch
from ..policy.hints import LIMIT_KINDS, Hint, HintKind
from ..policy.quotapeers import QuotaReport
from ..statestore import StoreItem
from .addresses import Address

# Instances send no larger datagram; larger ones are refused.
MAX_DATAGRAM_BYTES = 8_192
# Changes that decompress to more than this are refused: a configuration has 262,144 bytes at most.
MAX_DECOMPRESSED_BYTES = 524_288
# More changes are refused: watchers send at most 500, and each costs processor time.
MAX_CHANGES = 1_024
# The fastest level: store entries compress nearly as well as with the highest one.
_COMPRESSION_LEVEL = 1


class PeerMessage(NamedTuple):
    """What an instance sends to others; `loop_lag_ms` is the lag of its event loop timers."""

    sender: str
    loop_lag_ms: float
    hints: tuple[Hint, ...] = ()
    feed: FeedBatch | None = None
    quota: QuotaReport | None = None

    @property
    def reports_only_limits(self) -> bool:
        """Return whether the message was sent only because a rate limit began or ended."""
        return bool(self.hints) and all(hint.kind in LIMIT_KINDS for hint in self.hints)


def encode(message: PeerMessage) -> bytes:
    """Return the encoded message.

    If it exceeds `MAX_DATAGRAM_BYTES`, the feed is sent without its changes and reports only the
    revision of the sender.
    """
    hints = [ttypes.Hint(int(hint.kind), hint.upstream, hint.value) for hint in message.hints]
    feed = _encode_feed(message.feed) if message.feed is not None else None
    quota = _encode_quota(message.quota) if message.quota is not None else None
    data = _write(ttypes.Message(message.sender, message.loop_lag_ms, hints, feed, quota))
    if len(data) > MAX_DATAGRAM_BYTES and message.feed is not None and message.feed.changes:
        return encode(message._replace(feed=message.feed.without_changes))
    return data


def decode(data: bytes) -> PeerMessage | str:
    """Return the message in `data`, or the reason why `data` is malformed."""
    if len(data) > MAX_DATAGRAM_BYTES:
        return "too long"
    message = ttypes.Message()
    try:
        message.read(
            TBinaryProtocolAccelerated(
                TMemoryBuffer(data),
                string_length_limit=MAX_DATAGRAM_BYTES,
                container_length_limit=MAX_DATAGRAM_BYTES,
            )
        )
        hints = tuple(
            Hint(HintKind(item.kind), str(item.upstream), float(item.value))
            for item in message.hints
        )
        feed = _decode_feed(message.feed) if message.feed is not None else None
        quota = _decode_quota(message.quota) if message.quota is not None else None
        return PeerMessage(str(message.sender), float(message.strain_ms), hints, feed, quota)
    except Exception as error:
        # On malformed bytes the library raises many types, from EOFError to UnicodeDecodeError.
        return repr(error)


def _encode_feed(batch: FeedBatch) -> ttypes.Feed:
    items = [ttypes.Change(item.key, item.value, item.revision) for item in batch.changes]
    compressed = zlib.compress(_write(ttypes.Changes(items)), _COMPRESSION_LEVEL) if items else None
    return ttypes.Feed(batch.from_revision, batch.to_revision, batch.age_ms, compressed, batch.era)


def _decode_feed(feed: ttypes.Feed) -> FeedBatch:
    items: tuple[StoreItem, ...] = ()
    if feed.changes is not None:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(feed.changes, MAX_DECOMPRESSED_BYTES)
        if not decompressor.eof:
            raise ValueError("changes are truncated or exceed the limit when decompressed")
        changes = ttypes.Changes()
        changes.read(
            TBinaryProtocolAccelerated(
                TMemoryBuffer(data),
                string_length_limit=MAX_DECOMPRESSED_BYTES,
                container_length_limit=MAX_CHANGES,
            )
        )
        items = tuple(
            StoreItem(str(item.key), item.value, int(item.revision)) for item in changes.items
        )
    return FeedBatch(
        int(feed.from_revision),
        int(feed.to_revision),
        float(feed.age_ms),
        items,
        int(feed.era or 0),
    )


def _encode_quota(report: QuotaReport) -> ttypes.QuotaReport:
    counts = [ttypes.TeamCount(team, count) for team, count in report.counts]
    return ttypes.QuotaReport(
        report.incarnation, report.uptime_ms, counts, list(report.missed), report.is_in_use
    )


def _decode_quota(quota: ttypes.QuotaReport) -> QuotaReport:
    return QuotaReport(
        str(quota.incarnation),
        float(quota.uptime_ms),
        tuple((str(item.team), float(item.count)) for item in quota.counts),
        tuple(str(name) for name in quota.missed),
        bool(quota.is_in_use),
    )


def _write(message: ttypes.Message | ttypes.Changes) -> bytes:
    buffer = TMemoryBuffer()
    message.write(TBinaryProtocolAccelerated(buffer))
    return buffer.getvalue()


class HintChannel(asyncio.DatagramProtocol):
    """UDP socket that sends encoded messages and passes received ones to `on_message`.

    `on_refused` gets the reason for each malformed datagram and each socket error.
    """

    def __init__(
        self,
        on_message: Callable[[PeerMessage], None],
        on_refused: Callable[[str], None],
    ) -> None:
        self._on_message = on_message
        self._on_refused = on_refused
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: Address) -> None:
        """Bind the socket to `address`; raise OSError if that fails."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self) -> None:
        """Close the socket; nothing is sent or received afterwards."""
        if self._transport is not None:
            self._transport.close()

    def send(self, data: bytes, addresses: Iterable[Address]) -> None:
        """Send `data` to each address, without acknowledgement or retransmission."""
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
