"""All error kinds, and how each one is answered over HTTP."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class RunState(StrEnum):
    """Whether the request took effect at an upstream."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(StrEnum):
    """Every kind of error that is returned to callers, peers and operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    NO_DEADLINE = "no_deadline"
    DEADLINE_PAST = "deadline_past"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    SERVICE_DISABLED = "service_disabled"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    OVERLOADED = "overloaded"
    HEDGE_REFUSED = "hedge_refused"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_REGRESSED = "store_regressed"
    NO_OWNER = "no_owner"
    NOT_OWNER = "not_owner"
    UPSTREAM_UNAVAILABLE = "upstream_unavailable"
    VERSION_GONE = "version_gone"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_ERROR = "upstream_error"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


class Answer(NamedTuple):
    """How a kind of error is answered over HTTP.

    `run_state` is reported to the caller; `retryable` permits sending the same request again.
    """

    http_status: int
    run_state: RunState
    retryable: bool


_NOT_RUN = RunState.NOT_RUN
_UNKNOWN = RunState.UNKNOWN

ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, _NOT_RUN, False),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _NOT_RUN, False),
    ErrorKind.NO_DEADLINE: Answer(400, _NOT_RUN, False),
    ErrorKind.DEADLINE_PAST: Answer(504, _NOT_RUN, False),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, _NOT_RUN, False),
    ErrorKind.NOT_FOUND: Answer(404, _NOT_RUN, False),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _NOT_RUN, False),
    ErrorKind.KEY_MISSING: Answer(400, _NOT_RUN, False),
    ErrorKind.KEY_REUSED: Answer(422, _NOT_RUN, False),
    ErrorKind.IN_PROGRESS: Answer(409, _UNKNOWN, True),
    ErrorKind.SERVICE_DISABLED: Answer(503, _NOT_RUN, False),
    ErrorKind.NOT_READY: Answer(503, _NOT_RUN, True),
    ErrorKind.LEAVING: Answer(503, _NOT_RUN, True),
    ErrorKind.OVERLOADED: Answer(503, _NOT_RUN, True),
    ErrorKind.HEDGE_REFUSED: Answer(503, _NOT_RUN, True),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.STORE_REGRESSED: Answer(503, _NOT_RUN, False),
    ErrorKind.NO_OWNER: Answer(503, _NOT_RUN, True),
    ErrorKind.NOT_OWNER: Answer(503, _NOT_RUN, True),
    ErrorKind.UPSTREAM_UNAVAILABLE: Answer(503, _NOT_RUN, True),
    ErrorKind.VERSION_GONE: Answer(503, _NOT_RUN, True),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, _UNKNOWN, False),
    ErrorKind.UPSTREAM_ERROR: Answer(502, RunState.RAN, False),
    ErrorKind.CANCELLED: Answer(499, _UNKNOWN, False),
    ErrorKind.INTERNAL: Answer(500, _UNKNOWN, False),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """A failed operation: its kind, and a message for people."""

    kind: ErrorKind
    message: str

    @property
    def answer(self) -> Answer:
        """Return the HTTP answer for this kind of error."""
        return ANSWERS[self.kind]
