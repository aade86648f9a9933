"""Thrift encoding of heartbeats."""

from typing import Any

from ..models import Member, MemberState, Witness
from ..policy.membership import Heartbeat, Report, VoterListState
from ..ports import HeartbeatMessage, OrderKnowledge
from .frames import decode_body, encode_body, protocol


def encode_heartbeat(message: HeartbeatMessage) -> bytes:
    """Return the body of a `HEARTBEAT` frame or of its reply."""
    heartbeat = message.heartbeat
    return encode_body(
        protocol.Heartbeat(
            sender=_encode_member(heartbeat.sender),
            list_revision=heartbeat.voter_list.revision,
            settled_revision=heartbeat.voter_list.settled_revision,
            is_list_confirmed=heartbeat.voter_list.is_confirmed,
            reports=[
                protocol.Report(member=_encode_member(report.member), age_ms=report.age_ms)
                for report in heartbeat.reports
            ],
            orders=_encode_knowledge(message.orders),
            head_age_ms=message.head_age_ms,
        )
    )


def decode_heartbeat(body: bytes) -> HeartbeatMessage:
    """Return the heartbeat in `body`; raise FrameError or ValueError if it is malformed."""
    message = decode_body(protocol.Heartbeat, body)
    reports = tuple(
        Report(_decode_member(report.member), report.age_ms) for report in message.reports or ()
    )
    voter_list = VoterListState(
        message.list_revision, message.settled_revision, bool(message.is_list_confirmed)
    )
    return HeartbeatMessage(
        Heartbeat(_decode_member(message.sender), voter_list, reports),
        _decode_knowledge(message.orders),
        message.head_age_ms,
    )


def _encode_member(member: Member) -> Any:
    return protocol.Member(
        name=member.name,
        incarnation=member.incarnation,
        failure_domain=member.failure_domain,
        peer_address=member.peer_address,
        http_address=member.http_address,
        state=member.state.value,
        config_revision=member.config_revision,
        load=member.load,
    )


def _decode_member(message: Any) -> Member:
    return Member(
        message.name,
        message.incarnation,
        message.failure_domain,
        message.peer_address,
        message.http_address or "",
        MemberState(message.state),
        message.config_revision,
        message.load,
    )


def _encode_knowledge(knowledge: OrderKnowledge | None) -> Any:
    if knowledge is None:
        return None
    witness = knowledge.witness
    return protocol.OrderKnowledge(
        floor=knowledge.floor,
        regressed_from=knowledge.regressed_from,
        witness=protocol.OrderWitness(**witness._asdict()) if witness else None,
    )


def _decode_knowledge(message: Any) -> OrderKnowledge | None:
    if message is None:
        return None
    witness_message = message.witness
    witness = None
    if witness_message is not None:
        witness = Witness(
            witness_message.order_revision,
            witness_message.key,
            witness_message.mod_revision,
            witness_message.wall_ms,
        )
    return OrderKnowledge(message.floor, message.regressed_from, witness)
