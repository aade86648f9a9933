"""Client of the calls between instances, and the thrift encoding of their messages."""

from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from typing import TypeVar

from ..documents import ConfigurationUpdate, PullRequest
from ..errors import ErrorKind, Failure
from ..models import KeyRange, ShardInfo, SubReply, SubRequest, UpstreamIndex, UpstreamState
from ..policy.leases import GrantReply, GrantRequest, HandOver, Release
from ..ports import HeartbeatMessage, OrderCall, OrderReply, Peers
from .frames import FrameError, FrameKind, decode_body, encode_body, protocol
from .heartbeats import decode_heartbeat, encode_heartbeat
from .leasemessages import decode_grant_reply, encode_grant_request, encode_notice
from .peers import FrameClient

Reply = TypeVar("Reply")

CANCEL_TIMEOUT_MS = 500
# Added to the deadline of a call, so that the owner's reply arrives before the local timeout.
REPLY_MARGIN_MS = 50


class ThriftPeers(Peers):
    """Client side of the calls between instances, over the connections of a FrameClient."""

    def __init__(self, client: FrameClient) -> None:
        self._client = client

    async def describe(
        self, address: str, upstreams: Sequence[str], timeout_ms: float
    ) -> list[UpstreamIndex] | Failure:
        body = encode_body(protocol.DescribeRequest(upstreams=list(upstreams)))
        return await self._call(address, FrameKind.DESCRIBE, body, timeout_ms, decode_indexes)

    async def execute(
        self, address: str, calls: Sequence[SubRequest], timeout_ms: float
    ) -> AsyncIterator[SubReply]:
        open_calls = {call.call_id: call for call in calls}
        failure = Failure(ErrorKind.INTERNAL, f"peer {address} sent no reply to a call")
        replies = self._client.stream(
            address, FrameKind.EXECUTE, encode_calls(calls), timeout_ms + REPLY_MARGIN_MS
        )
        async for body in replies:
            if isinstance(body, Failure):
                failure = body
                break
            try:
                reply = decode_reply(body)
            except FrameError as error:
                failure = Failure(ErrorKind.INTERNAL, str(error))
                break
            if open_calls.pop(reply.call_id, None) is not None:
                yield reply
        for call in open_calls.values():
            yield SubReply(call.call_id, call.upstream, failure.kind, failure.message, b"")

    async def cancel(self, address: str, call_ids: Sequence[str]) -> None:
        body = encode_body(protocol.CancelRequest(call_ids=list(call_ids)))
        await self._client.call(address, FrameKind.CANCEL, body, CANCEL_TIMEOUT_MS)

    async def order(self, address: str, call: OrderCall) -> OrderReply | Failure:
        timeout_ms = call.deadline_ms + REPLY_MARGIN_MS
        body = encode_order(call)
        # After a malformed reply it is unknown whether the order was executed.
        return await self._call(
            address,
            FrameKind.ORDER,
            body,
            timeout_ms,
            decode_order_result,
            ErrorKind.OUTCOME_UNKNOWN,
        )

    async def request_grant(
        self, address: str, request: GrantRequest, timeout_ms: float
    ) -> GrantReply | Failure:
        body = encode_grant_request(request)
        return await self._call(address, FrameKind.GRANT, body, timeout_ms, decode_grant_reply)

    async def notify(self, address: str, message: Release | HandOver, timeout_ms: float) -> None:
        kind = FrameKind.RELEASE if isinstance(message, Release) else FrameKind.HAND_OVER
        await self._client.call(address, kind, encode_notice(message), timeout_ms)

    async def heartbeat(
        self, address: str, message: HeartbeatMessage, timeout_ms: float
    ) -> HeartbeatMessage | Failure:
        body = encode_heartbeat(message)
        return await self._call(address, FrameKind.HEARTBEAT, body, timeout_ms, decode_heartbeat)

    async def pull(
        self, address: str, request: PullRequest, timeout_ms: float
    ) -> ConfigurationUpdate | Failure:
        body = request.to_bytes()
        decode = ConfigurationUpdate.from_bytes
        return await self._call(address, FrameKind.PULL_CONFIG, body, timeout_ms, decode)

    async def close(self) -> None:
        await self._client.close()

    async def _call(
        self,
        address: str,
        kind: FrameKind,
        body: bytes,
        timeout_ms: float,
        decode: Callable[[bytes], Reply],
        malformed: ErrorKind = ErrorKind.INTERNAL,
    ) -> Reply | Failure:
        """Return the decoded reply; a malformed one becomes a failure of kind `malformed`."""
        reply = await self._client.call(address, kind, body, timeout_ms)
        if isinstance(reply, Failure):
            return reply
        try:
            return decode(reply)
        except (FrameError, ValueError) as error:
            return Failure(malformed, f"peer {address}: {error}")


def encode_calls(calls: Iterable[SubRequest]) -> bytes:
    """Return the body of an `EXECUTE` frame."""
    return encode_body(
        protocol.ExecuteRequest(
            calls=[
                protocol.ExecuteCall(
                    call_id=call.call_id,
                    service_name=call.service,
                    upstream=call.upstream,
                    shards=list(call.shards),
                    version=call.version,
                    query=call.query,
                    limit=call.limit,
                    deadline_ms=call.deadline_ms,
                    priority=call.priority,
                    is_hedge=call.is_hedge,
                )
                for call in calls
            ]
        )
    )


def decode_calls(body: bytes) -> list[SubRequest]:
    """Return the calls of an `EXECUTE` frame; raise FrameError if it is malformed."""
    request = decode_body(protocol.ExecuteRequest, body)
    return [
        SubRequest(
            call.call_id,
            call.service_name,
            call.upstream,
            tuple(call.shards or ()),
            call.version,
            call.query,
            call.limit,
            call.deadline_ms,
            call.priority,
            bool(call.is_hedge),
        )
        for call in request.calls or ()
    ]


def encode_reply(reply: SubReply) -> bytes:
    """Return the body of one of the replies to an `EXECUTE` frame."""
    return encode_body(
        protocol.ExecuteReply(
            call_id=reply.call_id,
            upstream=reply.upstream,
            error=str(reply.error),
            message=reply.message,
            body=reply.body,
        )
    )


def decode_reply(body: bytes) -> SubReply:
    """Return the sub-reply in a reply to an `EXECUTE` frame; raise FrameError if malformed."""
    reply = decode_body(protocol.ExecuteReply, body)
    return SubReply(
        reply.call_id, reply.upstream, reply.error or "", reply.message or "", reply.body or b""
    )


def decode_cancel(body: bytes) -> list[str]:
    """Return the call ids of a `CANCEL` frame; raise FrameError if it is malformed."""
    return list(decode_body(protocol.CancelRequest, body).call_ids or ())


def decode_describe(body: bytes) -> list[str]:
    """Return the upstreams of a `DESCRIBE` frame; raise FrameError if it is malformed."""
    return list(decode_body(protocol.DescribeRequest, body).upstreams or ())


def encode_order(call: OrderCall) -> bytes:
    """Return the body of an `ORDER` frame."""
    return encode_body(
        protocol.OrderCall(
            request_id=call.call_id,
            service_name=call.service,
            upstream=call.upstream,
            idempotency_key=call.idempotency_key,
            body=call.body,
            deadline_ms=call.deadline_ms,
            priority=call.priority,
        )
    )


def decode_order(body: bytes) -> OrderCall:
    """Return the order of an `ORDER` frame; raise FrameError if it is malformed."""
    call = decode_body(protocol.OrderCall, body)
    return OrderCall(
        call.request_id,
        call.service_name,
        call.upstream,
        call.idempotency_key,
        call.body,
        call.deadline_ms,
        call.priority,
    )


def encode_order_result(result: OrderReply | Failure) -> bytes:
    """Return the body of the reply to an `ORDER` frame."""
    if isinstance(result, Failure):
        return encode_body(protocol.OrderAnswer(error=result.kind.value, message=result.message))
    return encode_body(protocol.OrderAnswer(error="", message="", body=result.body.encode()))


def decode_order_result(body: bytes) -> OrderReply | Failure:
    """Return the result in the reply to an `ORDER` frame.

    Raise FrameError or ValueError if it is malformed.
    """
    answer = decode_body(protocol.OrderAnswer, body)
    if answer.error:
        return Failure(ErrorKind(answer.error), answer.message or "")
    return OrderReply((answer.body or b"").decode())


def encode_indexes(indexes: Iterable[UpstreamIndex]) -> bytes:
    """Return the body of the reply to a `DESCRIBE` frame."""
    return encode_body(
        protocol.DescribeReply(
            upstreams=[
                protocol.UpstreamDescription(
                    upstream=index.upstream,
                    owner=index.owner,
                    state=index.state.value,
                    allowance=index.allowance,
                    shards=[
                        protocol.ShardDescription(
                            shard=shard.shard,
                            low=shard.range.low,
                            high=shard.range.high,
                            versions=list(shard.versions),
                        )
                        for shard in index.shards
                    ],
                )
                for index in indexes
            ]
        )
    )


def decode_indexes(body: bytes) -> list[UpstreamIndex]:
    """Return the indexes in the reply to a `DESCRIBE` frame.

    Raise FrameError or ValueError if it is malformed.
    """
    reply = decode_body(protocol.DescribeReply, body)
    return [
        UpstreamIndex(
            item.upstream,
            item.owner or "",
            UpstreamState(item.state),
            item.allowance,
            tuple(
                ShardInfo(shard.shard, KeyRange(shard.low, shard.high), tuple(shard.versions or ()))
                for shard in item.shards or ()
            ),
        )
        for item in reply.upstreams or ()
    ]
