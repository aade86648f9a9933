"""Server side of the calls between instances: decodes frames and calls the node."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any

from ..documents import ConfigurationUpdate, PullRequest
from ..errors import Failure
from ..models import SubReply, SubRequest, UpstreamIndex
from ..policy.leases import GrantReply, GrantRequest, HandOver, Release
from ..ports import HeartbeatMessage, OrderCall, OrderReply
from .frames import FrameError, FrameKind
from .heartbeats import decode_heartbeat, encode_heartbeat
from .leasemessages import (
    decode_grant_request,
    decode_hand_over,
    decode_release,
    encode_grant_reply,
)
from .messages import (
    decode_calls,
    decode_cancel,
    decode_describe,
    decode_order,
    encode_indexes,
    encode_order_result,
    encode_reply,
)
from .peers import Handler, Replier


class PeerService(ABC):
    """The operations that an instance offers to its peers."""

    @abstractmethod
    async def execute(self, call: SubRequest) -> SubReply:
        """Run a sub-request and return its reply; a failure is reported in the reply."""

    @abstractmethod
    def cancel(self, call_ids: Iterable[str]) -> None:
        """Cancel calls whose replies are no longer needed."""

    @abstractmethod
    def describe_upstreams(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Return what this instance has recorded about each of `upstreams`."""

    @abstractmethod
    async def run_order(self, call: OrderCall) -> OrderReply | Failure:
        """Run an order at most once and return the upstream's reply."""

    @abstractmethod
    def handle_request(self, request: GrantRequest) -> GrantReply:
        """Vote on a request for owner leases and return the grants and refusals."""

    @abstractmethod
    def handle_notice(self, message: Release | HandOver) -> None:
        """Handle a release of owner leases or a request to hand upstreams over."""

    @abstractmethod
    def handle_heartbeat(self, message: HeartbeatMessage) -> HeartbeatMessage:
        """Handle a heartbeat and return the heartbeat of this instance."""

    @abstractmethod
    def handle_pull(self, request: PullRequest) -> ConfigurationUpdate:
        """Return the parts of the configuration that are missing at the peer."""


def make_handlers(service: PeerService) -> dict[int, Handler]:
    """Return the handler of each frame kind; malformed bodies get no reply."""

    async def handle_order(body: bytes, replier: Replier) -> None:
        replier.send(encode_order_result(await service.run_order(decode_order(body))))

    handlers: dict[int, Handler] = {
        FrameKind.EXECUTE: _make_execute_handler(service),
        FrameKind.ORDER: handle_order,
        FrameKind.CANCEL: _make_single_reply_handler(decode_cancel, service.cancel, _encode_empty),
        FrameKind.DESCRIBE: _make_single_reply_handler(
            decode_describe, service.describe_upstreams, encode_indexes
        ),
        FrameKind.GRANT: _make_single_reply_handler(
            decode_grant_request, service.handle_request, encode_grant_reply
        ),
        FrameKind.RELEASE: _make_single_reply_handler(
            decode_release, service.handle_notice, _encode_empty
        ),
        FrameKind.HAND_OVER: _make_single_reply_handler(
            decode_hand_over, service.handle_notice, _encode_empty
        ),
        FrameKind.HEARTBEAT: _make_single_reply_handler(
            decode_heartbeat, service.handle_heartbeat, encode_heartbeat
        ),
        FrameKind.PULL_CONFIG: _make_single_reply_handler(
            PullRequest.from_bytes, service.handle_pull, ConfigurationUpdate.to_bytes
        ),
    }
    return {kind: _ignore_malformed(handler) for kind, handler in handlers.items()}


def _make_execute_handler(service: PeerService) -> Handler:
    async def handle_execute(body: bytes, replier: Replier) -> None:
        calls = decode_calls(body)
        remaining = len(calls)

        async def run(call: SubRequest) -> None:
            nonlocal remaining
            reply = await service.execute(call)
            remaining -= 1
            replier.send(encode_reply(reply), last=remaining == 0)

        await asyncio.gather(*(run(call) for call in calls))

    return handle_execute


def _make_single_reply_handler(
    decode: Callable[[bytes], Any], respond: Callable[[Any], Any], encode: Callable[[Any], bytes]
) -> Handler:
    """Return the handler of a frame kind with a single reply that is computed synchronously."""

    async def handle(body: bytes, replier: Replier) -> None:
        replier.send(encode(respond(decode(body))))

    return handle


def _encode_empty(_: None) -> bytes:
    return b""


def _ignore_malformed(handler: Handler) -> Handler:
    async def handle(body: bytes, replier: Replier) -> None:
        try:
            await handler(body, replier)
        except (FrameError, ValueError):
            return

    return handle
