"""Network addresses in the form `host:port`."""

import re

Address = tuple[str, int]

# Digits of other scripts count as digits for `str.isdigit` and are refused or misread by `int`.
_PORT = re.compile(r"[0-9]{1,5}")
_PORT_LIMIT = 65_536


def parse_address(text: str) -> Address:
    """Return the host and the port of `host:port`; raise ValueError if the form differs."""
    host, _, port = text.rpartition(":")
    if not host or not _PORT.fullmatch(port) or not 0 < int(port) < _PORT_LIMIT:
        raise ValueError("not host:port with a port from 1 to 65535")
    return host, int(port)


def join_address(address: Address | None) -> str:
    """Return `host:port`, or an empty string for no address."""
    return f"{address[0]}:{address[1]}" if address else ""
