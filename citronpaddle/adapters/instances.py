"""HTTP client of the platform's instance list."""

import json
from typing import Any

import aiohttp

from ..errors import ErrorKind, Failure
from ..models import ListedInstance
from ..ports import InstanceList
from .responses import read_body


class HttpInstanceList(InstanceList):
    """The list at `address` (`host:port`); all failures are of kind `upstream_unavailable`."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._session: aiohttp.ClientSession | None = None

    async def fetch(self, timeout_ms: float) -> tuple[ListedInstance, ...] | Failure:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        timeout = aiohttp.ClientTimeout(total=max(timeout_ms, 1.0) / 1000)
        url = f"http://{self._address}/v1/instances"
        try:
            async with self._session.get(url, timeout=timeout, allow_redirects=False) as response:
                if response.status != 200:
                    return self._fail(f"status {response.status}")
                body = json.loads(await read_body(response))
            return tuple(_parse_instance(item) for item in body["instances"])
        except TimeoutError:
            return self._fail(f"no reply within {timeout_ms:.0f} ms")
        except (aiohttp.ClientError, OSError) as error:
            return self._fail(str(error) or type(error).__name__)
        except (KeyError, ValueError, TypeError) as error:
            return self._fail(f"the reply is not an instance list ({error!r})")

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _fail(self, message: str) -> Failure:
        text = f"instance list {self._address}: {message}"
        return Failure(ErrorKind.UPSTREAM_UNAVAILABLE, text)


def _parse_instance(item: dict[str, Any]) -> ListedInstance:
    return ListedInstance(
        item["name"],
        item["failure_domain"],
        item["peer_address"],
        item["http_address"],
        item["state"] == "leaving",
    )
