"""Length-prefixed thrift frames on a byte stream, and the encoding of their bodies."""

import asyncio
import struct
from enum import IntEnum
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.binary import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

MAX_FRAME_BYTES = 8 * 1024 * 1024
# Frames of one stream that are handled before other tasks run.
FRAMES_PER_PASS = 32

protocol = thriftpy2.load(
    str(Path(__file__).parent.parent / "protocol.thrift"), module_name="citronpaddle_thrift"
)

_FACTORY = TBinaryProtocolFactory()
_LENGTH_PREFIX = struct.Struct("!I")

try:
    from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory

    _FACTORY = TCyBinaryProtocolFactory()
except ImportError:  # the Cython protocol is optional in thriftpy2
    pass


class FrameKind(IntEnum):
    """The kinds of frames; the kind determines what the body holds."""

    PING = 1
    HEARTBEAT = 2
    EXECUTE = 3
    CANCEL = 4
    DESCRIBE = 5
    GRANT = 6
    RELEASE = 7
    PULL_CONFIG = 8
    ORDER = 9
    HAND_OVER = 10
    GOODBYE = 11


# Frame kinds that carry requests of callers; all others are control traffic.
DATA_KINDS = frozenset({FrameKind.EXECUTE, FrameKind.CANCEL, FrameKind.ORDER})


class FrameError(Exception):
    """Malformed bytes instead of a frame or message, or a frame over the size limit."""


def encode_body(message: Any) -> bytes:
    """Return `message`, an instance of a thrift struct, in the thrift binary encoding."""
    return serialize(message, _FACTORY)


def decode_body(kind: type, body: bytes) -> Any:
    """Return the struct of type `kind` in `body`; raise FrameError if it is malformed."""
    try:
        return deserialize(kind(), body, _FACTORY)
    except Exception as error:
        raise FrameError(f"malformed {kind.__name__}: {error}") from error


def encode_frame(frame: Any) -> bytes:
    """Return the frame with its length prefix; raise FrameError if it is too large."""
    data = encode_body(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return _LENGTH_PREFIX.pack(len(data)) + data


class FrameReader:
    """Reads the frames of one stream, and lets other tasks run after some of them.

    Without that a stream that always has another complete frame would keep the event loop.
    """

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader
        self._count = 0

    async def read(self) -> Any:
        """Return the next frame; the errors are those of `read_frame`."""
        self._count += 1
        if self._count % FRAMES_PER_PASS == 0:
            await asyncio.sleep(0)
        return await read_frame(self._reader)


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """Return the next frame.

    Raise IncompleteReadError at the end of the stream and FrameError if the bytes are malformed.
    """
    (size,) = _LENGTH_PREFIX.unpack(await reader.readexactly(_LENGTH_PREFIX.size))
    if size > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return decode_body(protocol.Frame, await reader.readexactly(size))
