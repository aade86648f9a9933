"""Thrift frames on a byte stream and the codec of their bodies."""

import asyncio
import struct
from enum import IntEnum
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.binary import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

MAX_FRAME_BYTES = 8 * 1024 * 1024

protocol = thriftpy2.load(
    str(Path(__file__).parent.parent / "protocol.thrift"), module_name="citronpaddle_thrift"
)

_FACTORY = TBinaryProtocolFactory()
_LENGTH = struct.Struct("!I")

try:
    from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory

    _FACTORY = TCyBinaryProtocolFactory()
except ImportError:  # the compiled protocol is optional in thriftpy2
    pass


class FrameKind(IntEnum):
    """What the body of a frame holds."""

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


# Frames that carry callers' work; all others are control traffic.
DATA_KINDS = frozenset({FrameKind.EXECUTE, FrameKind.CANCEL, FrameKind.ORDER})


class FrameError(Exception):
    """The peer sent bytes that are not a frame, or a frame over the size limit."""


def encode_body(message: Any) -> bytes:
    """Return the thrift binary form of a generated type."""
    return serialize(message, _FACTORY)


def decode_body(kind: type, body: bytes) -> Any:
    """Return the message of type `kind` in `body`; raise FrameError if it is malformed."""
    try:
        return deserialize(kind(), body, _FACTORY)
    except Exception as error:
        raise FrameError(f"malformed {kind.__name__}: {error}") from error


def encode_frame(frame: Any) -> bytes:
    """Return the frame with its length in front; raise FrameError if it is too large."""
    data = encode_body(frame)
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes is over the limit of {MAX_FRAME_BYTES}")
    return _LENGTH.pack(len(data)) + data


async def read_frame(reader: asyncio.StreamReader) -> Any:
    """Return the next frame; raise IncompleteReadError at the end, FrameError on bad bytes."""
    (size,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if size > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {size} bytes is over the limit of {MAX_FRAME_BYTES}")
    return decode_body(protocol.Frame, await reader.readexactly(size))
