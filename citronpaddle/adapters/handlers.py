"""Server side of the calls between instances: decodes frames and calls the parts of the node."""

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
from .heartbeats import decode_beat, encode_beat
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
    """What an instance does for its peers."""

    @abstractmethod
    async def execute(self, call: SubRequest) -> SubReply:
        """Run a sub-request."""

    @abstractmethod
    def cancel(self, call_ids: Iterable[str]) -> None:
        """Drop calls that nobody waits for."""

    @abstractmethod
    def describe_upstreams(self, upstreams: Iterable[str]) -> list[UpstreamIndex]:
        """Describe upstreams."""

    @abstractmethod
    async def run_order(self, call: OrderCall) -> OrderReply | Failure:
        """Run an order once."""

    @abstractmethod
    def handle_request(self, request: GrantRequest) -> GrantReply:
        """Vote on owner leases."""

    @abstractmethod
    def handle_notice(self, message: Release | HandOver) -> None:
        """Take note of a release or a hand-over."""

    @abstractmethod
    def handle_heartbeat(self, beat: HeartbeatMessage) -> HeartbeatMessage:
        """Take in a heartbeat and return the own one."""

    @abstractmethod
    def handle_pull(self, request: PullRequest) -> ConfigurationUpdate:
        """Return the parts of the configuration that the peer lacks."""


def make_handlers(service: PeerService) -> dict[int, Handler]:
    """Return the handler of each kind of frame; a malformed body is left without a reply."""

    async def order(body: bytes, replier: Replier) -> None:
        replier.send(encode_order_result(await service.run_order(decode_order(body))))

    handlers: dict[int, Handler] = {
        FrameKind.EXECUTE: _make_execute(service),
        FrameKind.ORDER: order,
        FrameKind.CANCEL: _answer(decode_cancel, service.cancel, _encode_nothing),
        FrameKind.DESCRIBE: _answer(decode_describe, service.describe_upstreams, encode_indexes),
        FrameKind.GRANT: _answer(decode_grant_request, service.handle_request, encode_grant_reply),
        FrameKind.RELEASE: _answer(decode_release, service.handle_notice, _encode_nothing),
        FrameKind.HAND_OVER: _answer(decode_hand_over, service.handle_notice, _encode_nothing),
        FrameKind.HEARTBEAT: _answer(decode_beat, service.handle_heartbeat, encode_beat),
        FrameKind.PULL_CONFIG: _answer(
            PullRequest.from_bytes, service.handle_pull, ConfigurationUpdate.to_bytes
        ),
    }
    return {kind: _ignore_malformed(handler) for kind, handler in handlers.items()}


def _make_execute(service: PeerService) -> Handler:
    async def execute(body: bytes, replier: Replier) -> None:
        calls = decode_calls(body)
        left = len(calls)

        async def run(call: SubRequest) -> None:
            nonlocal left
            reply = await service.execute(call)
            left -= 1
            replier.send(encode_reply(reply), last=left == 0)

        await asyncio.gather(*(run(call) for call in calls))

    return execute


def _answer(
    decode: Callable[[bytes], Any], act: Callable[[Any], Any], encode: Callable[[Any], bytes]
) -> Handler:
    """Return the handler of a kind with one reply that needs no waiting."""

    async def handle(body: bytes, replier: Replier) -> None:
        replier.send(encode(act(decode(body))))

    return handle


def _encode_nothing(_: None) -> bytes:
    return b""


def _ignore_malformed(handler: Handler) -> Handler:
    async def handle(body: bytes, replier: Replier) -> None:
        try:
            await handler(body, replier)
        except (FrameError, ValueError):
            return

    return handle
