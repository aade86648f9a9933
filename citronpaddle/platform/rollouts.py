"""Decodes the operator's orders for roll-outs and encodes their status."""

import json

from ..policy.rollout import RolloutOrder, RolloutState, RolloutStatus
from ..rolloutstate import InvalidOrder, RolloutCodec
from .fields import DocumentError, parse_object, require_field

ORDER_PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"


class PlatformRolloutCodec(RolloutCodec):
    """Decodes and encodes the keys and documents of roll-outs."""

    def find_order_service(self, key: str) -> str | None:
        return key[len(ORDER_PREFIX) :] if key.startswith(ORDER_PREFIX) else None

    def find_status_service(self, key: str) -> str | None:
        return key[len(STATUS_PREFIX) :] if key.startswith(STATUS_PREFIX) else None

    def make_order_key(self, service: str) -> str:
        return ORDER_PREFIX + service

    def make_status_key(self, service: str) -> str:
        return STATUS_PREFIX + service

    def decode_order(self, service: str, value: bytes) -> RolloutOrder | InvalidOrder:
        version: str | None = None
        try:
            document = parse_object(value)
            version = require_field(document, "target_version", str) or None
            if version is None:
                raise DocumentError("field target_version is empty")
            if require_field(document, "service", str) != service:
                raise DocumentError("field service differs from the key")
            duration_s = require_field(document, "duration_s", (int, float))
            if duration_s <= 0:
                raise DocumentError("field duration_s is not above 0")
            return RolloutOrder(service, version, 1_000.0 * duration_s)
        except DocumentError as error:
            return InvalidOrder(str(error), version)

    def decode_status(self, value: bytes) -> RolloutStatus | None:
        try:
            document = parse_object(value)
            state = RolloutState(require_field(document, "state", str))
            return RolloutStatus(state, require_field(document, "target_version", str))
        except ValueError:
            return None

    def encode_status(self, status: RolloutStatus) -> bytes:
        return json.dumps(status._asdict()).encode()
