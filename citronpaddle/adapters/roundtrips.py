"""Reads the round-trip time of a TCP connection from the kernel."""

import socket
import struct

# The smoothed round-trip time in us (tcpi_rtt) in the kernel's struct tcp_info.
_ROUND_TRIP_US = struct.Struct("I")
_ROUND_TRIP_OFFSET_BYTES = 68
_TCP_INFO_BYTES = 104


def read_round_trip_ms(sock: socket.socket) -> float | None:
    """Return the smoothed round-trip time in ms, or None if the kernel does not report it."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except OSError:
        return None
    if len(info) < _ROUND_TRIP_OFFSET_BYTES + _ROUND_TRIP_US.size:
        return None
    return _ROUND_TRIP_US.unpack_from(info, _ROUND_TRIP_OFFSET_BYTES)[0] / 1_000
