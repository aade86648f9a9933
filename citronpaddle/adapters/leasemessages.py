"""Thrift encoding of the messages about owner leases."""

from typing import Any

from ..policy.leases import (
    GrantReply,
    GrantRequest,
    HandOver,
    HolderId,
    Refusal,
    RefusalReason,
    Release,
    VoterList,
)
from .frames import decode_body, encode_body, protocol


def encode_grant_request(request: GrantRequest) -> bytes:
    """Return the body of a `GRANT` frame."""
    voters = protocol.VoterList(revision=request.voters.revision, names=list(request.voters.names))
    return encode_body(
        protocol.GrantRequest(
            holder=request.holder.name,
            incarnation=request.holder.incarnation,
            sequence=request.sequence,
            voters=voters,
            upstreams=list(request.upstreams),
        )
    )


def decode_grant_request(body: bytes) -> GrantRequest:
    """Return the request in a `GRANT` frame; raise FrameError if it is malformed."""
    message = decode_body(protocol.GrantRequest, body)
    return GrantRequest(
        _decode_holder(message),
        message.sequence,
        VoterList(message.voters.revision, tuple(message.voters.names or ())),
        tuple(message.upstreams or ()),
    )


def encode_grant_reply(reply: GrantReply) -> bytes:
    """Return the body of the reply to a `GRANT` frame."""
    return encode_body(
        protocol.GrantReply(
            voter=reply.voter,
            list_revision=reply.list_revision,
            holder=reply.holder.name,
            incarnation=reply.holder.incarnation,
            sequence=reply.sequence,
            granted=list(reply.granted),
            refused=[
                protocol.Refusal(
                    upstream=item.upstream,
                    reason=item.reason.value,
                    holder=item.holder,
                    wait_ms=item.wait_ms,
                )
                for item in reply.refused
            ],
        )
    )


def decode_grant_reply(body: bytes) -> GrantReply:
    """Return the grant reply in `body`; raise FrameError or ValueError if it is malformed."""
    message = decode_body(protocol.GrantReply, body)
    return GrantReply(
        message.voter,
        message.list_revision,
        _decode_holder(message),
        message.sequence,
        tuple(message.granted or ()),
        tuple(
            Refusal(item.upstream, RefusalReason(item.reason), item.holder or "", item.wait_ms)
            for item in message.refused or ()
        ),
    )


def encode_notice(message: Release | HandOver) -> bytes:
    """Return the body of a `RELEASE` or `HAND_OVER` frame."""
    if isinstance(message, HandOver):
        return encode_body(
            protocol.HandOver(asker=message.asker, upstreams=list(message.upstreams))
        )
    return encode_body(
        protocol.Release(
            holder=message.holder.name,
            incarnation=message.holder.incarnation,
            sequence=message.sequence,
            upstreams=list(message.upstreams),
        )
    )


def decode_release(body: bytes) -> Release:
    """Return the message in a `RELEASE` frame; raise FrameError if it is malformed."""
    message = decode_body(protocol.Release, body)
    return Release(_decode_holder(message), message.sequence, tuple(message.upstreams or ()))


def decode_hand_over(body: bytes) -> HandOver:
    """Return the message in a `HAND_OVER` frame; raise FrameError if it is malformed."""
    message = decode_body(protocol.HandOver, body)
    return HandOver(message.asker, tuple(message.upstreams or ()))


def _decode_holder(message: Any) -> HolderId:
    return HolderId(message.holder, message.incarnation)
