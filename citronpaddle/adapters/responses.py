"""Bounded reading of responses with aiohttp, which itself has no limit on the size of a body."""

import aiohttp

# The largest responses are those of the store, with values of up to a megabyte each.
MAX_BODY_BYTES = 16 * 1024 * 1024


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response whose body exceeds the limit; its connection is closed."""


async def read_body(response: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the whole body; raise ResponseTooLarge if it has more than `max_bytes`."""
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > max_bytes:
            response.close()
            raise ResponseTooLarge(f"the body has more than {max_bytes} bytes")
    return bytes(body)
